// What the stand-in platform holds: values with revisions, the history that watches read, leases,
// and the VM list with its changes over time. Plain state on one thread; no I/O.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon::standin {

inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;
inline constexpr std::size_t kMaxHistory = 10000;  // changes that a watch can still be told

using LeaseId = std::uint64_t;

struct Value
{
  std::string mKey{};
  std::string mValue{};
  std::uint64_t mRevision = 0;
  LeaseId mLease = 0;  // 0: none; the key goes when its lease lapses
};

class PlatformData
{
public:
  // Values
  [[nodiscard]] const Value* Find(const std::string& aKey) const;
  Result<std::uint64_t> Create(const std::string& aKey, std::string aValue, LeaseId aLease);
  Result<std::uint64_t> CompareAndSwap(const std::string& aKey,
                                       std::string aValue,
                                       std::uint64_t aRevision,
                                       LeaseId aLease);
  Result<void> Delete(const std::string& aKey, std::uint64_t aRevision);
  [[nodiscard]] std::vector<Value> List(const std::string& aPrefix,
                                        const std::string& aAfter,
                                        std::size_t aLimit) const;
  [[nodiscard]] std::uint64_t GetRevision() const noexcept { return mRevision; }

  // History
  [[nodiscard]] std::vector<Value> ListChanges(const std::string& aPrefix,
                                               std::uint64_t aAfter) const;
  [[nodiscard]] bool IsLost(std::uint64_t aAfter) const noexcept;  // history no longer reaches back

  // Leases
  LeaseId GrantLease(Duration aTtl, TimePoint aNow);
  Result<void> KeepLease(LeaseId aLease, TimePoint aNow);  // NotFound: it has lapsed
  void LapseLeases(TimePoint aNow);                        // drops keys whose lease has run out
  void LapseAllLeases();

  // VM list
  void PutVm(const WorkerSpec& aVm, TimePoint aNow);
  void DeleteVm(const std::string& aName, TimePoint aNow);
  [[nodiscard]] std::vector<WorkerSpec> ListVms(TimePoint aAsOf);  // as the list was then

private:
  struct Lease
  {
    Duration mTtl{};
    TimePoint mUntil{};
  };
  struct VmChange
  {
    TimePoint mAt{};
    std::optional<WorkerSpec> mVm{};  // none: deleted
  };

  std::uint64_t Put(const std::string& aKey, std::string aValue, LeaseId aLease);
  void DropKeysOf(LeaseId aLease);

  std::uint64_t mRevision = 0;
  LeaseId mLastLease = 0;
  std::map<std::string, Value> mValues{};
  std::deque<Value> mHistory{};
  std::map<LeaseId, Lease> mLeases{};
  std::map<std::string, std::deque<VmChange>> mVms{};
};

}  // namespace monsoon::standin
