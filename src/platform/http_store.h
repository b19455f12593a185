// HTTP client of the platform's key-value service and VM list. Satisfies Store and VmList.
#pragma once

#include <array>
#include <atomic>

#include "core/concepts.h"
#include "http/client.h"

namespace monsoon {

struct PlatformSettings
{
  HttpAddress mAddress{};
  Duration mCallTimeout = seconds(2);  // of each call; Watch adds its own wait to this
};

// Returns the name under which calls are counted in metrics and sent to the platform, e.g.
// "journal".
[[nodiscard]] std::string_view GetName(CallPurpose aPurpose) noexcept;

class HttpStore
{
public:
  HttpStore(HttpClient& aClient, PlatformSettings aSettings);

  Async<Result<std::optional<StoreValue>>> Get(std::string aKey, CallPurpose aPurpose);
  Async<Result<std::vector<StoreValue>>> List(std::string aPrefix,
                                              std::string aAfter,
                                              std::size_t aLimit,
                                              CallPurpose aPurpose);
  Async<Result<std::uint64_t>> Create(std::string aKey, std::string aValue, CallPurpose aPurpose);
  Async<Result<std::uint64_t>> CompareAndSwap(std::string aKey,
                                              std::string aValue,
                                              std::uint64_t aRevision,
                                              CallPurpose aPurpose);
  Async<Result<void>> Delete(std::string aKey, std::uint64_t aRevision, CallPurpose aPurpose);
  Async<Result<WatchBatch>> Watch(std::string aPrefix, std::uint64_t aAfter, Duration aWait);
  Async<Result<std::vector<WorkerSpec>>> ListWorkers();

  // Returns the number of calls sent so far for this purpose.
  [[nodiscard]] std::uint64_t CountCalls(CallPurpose aPurpose) const noexcept;

private:
  Async<Result<HttpResponse>> Call(http::verb aVerb,
                                   std::string aTarget,
                                   std::string aBody,
                                   Duration aDeadline,
                                   CallPurpose aPurpose);

  HttpClient& mClient;
  PlatformSettings mSettings;
  std::array<std::atomic<std::uint64_t>, kCallPurposes> mCalls{};
};

}  // namespace monsoon
