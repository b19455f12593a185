#include "platform/http_store.h"

#include <boost/json.hpp>
#include <cereal/external/base64.hpp>

#include "core/json.h"

namespace monsoon {

namespace json = boost::json;

namespace {

// One list page of values of the maximum size, in base64.
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;

// Values are arbitrary bytes, which JSON strings can't hold, so the platform sends them as base64.
StoreValue ParseValue(const json::value& aValue)
{
  StoreValue value;
  value.mKey = GetString(aValue, "key");
  value.mValue = cereal::base64::decode(GetString(aValue, "value"));
  value.mRevision = GetUnsigned(aValue, "revision");
  return value;
}

std::vector<StoreValue> ParseValues(const json::value& aResponse, std::string_view aMember)
{
  std::vector<StoreValue> values;
  for (const auto& it : GetArray(aResponse, aMember))
    values.push_back(ParseValue(it));
  return values;
}

// Returns WriteUnknown for a write that may have reached the platform, otherwise StoreUnavailable.
Failure MakeCallFailure(const Failure& aFailure, bool aWrite)
{
  const bool notSent = aFailure.mKind == FailureKind::EndpointUnreachable;
  const bool ambiguous = aWrite && !notSent;
  return MakeFailure(ambiguous ? FailureKind::WriteUnknown : FailureKind::StoreUnavailable,
                     aFailure.mDetail);
}

Failure MakeStatusFailure(http::status aStatus)
{
  switch (aStatus) {
    case http::status::conflict:
      return MakeFailure(FailureKind::Conflict, "the key's revision differs");
    case http::status::precondition_failed:
      return MakeFailure(FailureKind::AlreadyExists, "the key already has a value");
    case http::status::payload_too_large:
      return MakeFailure(FailureKind::TooLarge, "the value exceeds the platform's size limit");
    case http::status::bad_request:
      return MakeFailure(FailureKind::BadInput, "the platform rejected the call as malformed");
    default:
      return MakeFailure(FailureKind::StoreUnavailable,
                         "the platform answered with status " + std::to_string(unsigned(aStatus)));
  }
}

}  // namespace

std::string_view GetName(CallPurpose aPurpose) noexcept
{
  switch (aPurpose) {
    case CallPurpose::Journal:
      return "journal";
    case CallPurpose::Snapshot:
      return "snapshot";
    case CallPurpose::Session:
      return "session";
    case CallPurpose::Watch:
      return "watch";
    case CallPurpose::Recovery:
      return "recovery";
    case CallPurpose::Vms:
      return "vms";
  }
  return "none";
}

HttpStore::HttpStore(HttpClient& aClient, PlatformSettings aSettings)
  : mClient(aClient)
  , mSettings(std::move(aSettings))
{
}

Async<Result<HttpResponse>> HttpStore::Call(http::verb aVerb,
                                            std::string aTarget,
                                            std::string aBody,
                                            Duration aDeadline,
                                            CallPurpose aPurpose)
{
  ++mCalls[static_cast<std::size_t>(aPurpose)];
  HttpRequest request(aVerb, aTarget, 11);
  request.body() = std::move(aBody);
  request.set("Purpose", GetName(aPurpose));
  auto response =
    co_await mClient.Call(mSettings.mAddress, std::move(request), aDeadline, kMaxResponseBytes);
  const bool write = aVerb == http::verb::put || aVerb == http::verb::delete_;
  if (!response)
    co_return MakeCallFailure(response.error(), write);
  // After a 5xx response it is unknown whether a write took effect. Only 503 is certain: the
  // platform refuses the call before it writes.
  if (write && response->result_int() >= 500 &&
      response->result() != http::status::service_unavailable)
    co_return MakeFailure(FailureKind::WriteUnknown, "the platform failed during a write");
  co_return response;
}

Async<Result<std::optional<StoreValue>>> HttpStore::Get(std::string aKey, CallPurpose aPurpose)
{
  auto response = co_await Call(
    http::verb::get, "/v1/kv/" + EncodeTarget(aKey), "", mSettings.mCallTimeout, aPurpose);
  if (!response)
    co_return response.error();
  if (response->result() == http::status::not_found)
    co_return std::optional<StoreValue>();
  if (response->result() != http::status::ok)
    co_return MakeStatusFailure(response->result());
  auto value = ParseJson(response->body());
  if (!value)
    co_return value.error();
  StoreValue found = ParseValue(*value);
  found.mKey = aKey;
  co_return std::optional<StoreValue>(std::move(found));
}

Async<Result<std::vector<StoreValue>>> HttpStore::List(std::string aPrefix,
                                                       std::string aAfter,
                                                       std::size_t aLimit,
                                                       CallPurpose aPurpose)
{
  const std::string target = "/v1/list?prefix=" + EncodeTarget(aPrefix) +
                             "&after=" + EncodeTarget(aAfter) + "&limit=" + std::to_string(aLimit);
  auto response = co_await Call(http::verb::get, target, "", mSettings.mCallTimeout, aPurpose);
  if (!response)
    co_return response.error();
  if (response->result() != http::status::ok)
    co_return MakeStatusFailure(response->result());
  auto value = ParseJson(response->body());
  if (!value)
    co_return value.error();
  co_return ParseValues(*value, "values");
}

Async<Result<std::uint64_t>> HttpStore::Create(std::string aKey,
                                               std::string aValue,
                                               CallPurpose aPurpose)
{
  auto response = co_await Call(http::verb::put,
                                "/v1/kv/" + EncodeTarget(aKey) + "?create=1",
                                std::move(aValue),
                                mSettings.mCallTimeout,
                                aPurpose);
  if (!response)
    co_return response.error();
  if (response->result() != http::status::ok)
    co_return MakeStatusFailure(response->result());
  auto value = ParseJson(response->body());
  if (!value)
    co_return MakeFailure(FailureKind::WriteUnknown, "the response to a write cannot be decoded");
  co_return GetUnsigned(*value, "revision");
}

Async<Result<std::uint64_t>> HttpStore::CompareAndSwap(std::string aKey,
                                                       std::string aValue,
                                                       std::uint64_t aRevision,
                                                       CallPurpose aPurpose)
{
  const std::string target =
    "/v1/kv/" + EncodeTarget(aKey) + "?revision=" + std::to_string(aRevision);
  auto response =
    co_await Call(http::verb::put, target, std::move(aValue), mSettings.mCallTimeout, aPurpose);
  if (!response)
    co_return response.error();
  if (response->result() != http::status::ok)
    co_return MakeStatusFailure(response->result());
  auto value = ParseJson(response->body());
  if (!value)
    co_return MakeFailure(FailureKind::WriteUnknown, "the response to a write cannot be decoded");
  co_return GetUnsigned(*value, "revision");
}

Async<Result<void>> HttpStore::Delete(std::string aKey,
                                      std::uint64_t aRevision,
                                      CallPurpose aPurpose)
{
  const std::string target =
    "/v1/kv/" + EncodeTarget(aKey) + "?revision=" + std::to_string(aRevision);
  auto response = co_await Call(http::verb::delete_, target, "", mSettings.mCallTimeout, aPurpose);
  if (!response)
    co_return response.error();
  if (response->result() != http::status::ok)
    co_return MakeStatusFailure(response->result());
  co_return Result<void>();
}

Async<Result<WatchBatch>> HttpStore::Watch(std::string aPrefix,
                                           std::uint64_t aAfter,
                                           Duration aWait)
{
  const auto waitMs = std::chrono::duration_cast<milliseconds>(aWait).count();
  const std::string target = "/v1/watch?prefix=" + EncodeTarget(aPrefix) +
                             "&after=" + std::to_string(aAfter) +
                             "&wait_ms=" + std::to_string(waitMs);
  auto response =
    co_await Call(http::verb::get, target, "", aWait + mSettings.mCallTimeout, CallPurpose::Watch);
  if (!response)
    co_return response.error();
  if (response->result() != http::status::ok)
    co_return MakeStatusFailure(response->result());
  auto value = ParseJson(response->body());
  if (!value)
    co_return value.error();
  WatchBatch batch;
  batch.mRevision = GetUnsigned(*value, "revision");
  batch.mHistoryLost = GetBool(*value, "lost");
  batch.mChanges = ParseValues(*value, "changes");
  co_return batch;
}

Async<Result<std::vector<WorkerSpec>>> HttpStore::ListWorkers()
{
  auto response =
    co_await Call(http::verb::get, "/v1/vms", "", mSettings.mCallTimeout, CallPurpose::Vms);
  if (!response)
    co_return response.error();
  if (response->result() != http::status::ok)
    co_return MakeStatusFailure(response->result());
  auto value = ParseJson(response->body());
  if (!value)
    co_return value.error();
  std::vector<WorkerSpec> workers;
  for (const auto& it : GetArray(*value, "vms"))
    workers.push_back(ParseWorkerSpec(it));
  co_return workers;
}

std::uint64_t HttpStore::CountCalls(CallPurpose aPurpose) const noexcept
{
  return mCalls[static_cast<std::size_t>(aPurpose)];
}

}  // namespace monsoon
