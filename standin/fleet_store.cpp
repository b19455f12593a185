// The store of the platform's stand-in.
#include <cereal/external/base64.hpp>

#include <algorithm>

#include "core/json.h"
#include "standin/fleet.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr std::size_t kHistory = 5000;  // events that a watch can go back
constexpr std::size_t kPage = 200;      // items of one page
constexpr Duration kMinWriteDelay = seconds(1);
constexpr Duration kMaxWriteDelay = seconds(6);

HttpResponse Answer(http::status aStatus, const json::value& aBody)
{
  return MakeJsonResponse(aStatus, json::serialize(aBody));
}

std::string EncodeBase64(const std::string& aBytes)
{
  return cereal::base64::encode(reinterpret_cast<const unsigned char*>(aBytes.data()),
                                aBytes.size());
}

}  // namespace

json::object FleetStandin::MakeItem(const std::string& aKey, const StoredItem& aItem)
{
  return { { "key", aKey },
           { "value", aItem.mValue },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreated },
           { "lease", aItem.mLease } };
}

void FleetStandin::Record(const std::string& aKey, json::object aEvent)
{
  mHistory.push_back({ mRevision, aKey, std::move(aEvent) });
  if (mHistory.size() <= kHistory)
    return;
  mHistory.erase(mHistory.begin(), mHistory.begin() + kHistory / 2);
  mFirstRevision = mHistory.front().mRevision;
}

void FleetStandin::Write(const std::string& aKey, const std::string& aValue, std::uint64_t aLease)
{
  StoredItem& item = mItems[aKey];
  if (item.mCreated == 0)
    item.mCreated = mRevision;
  item.mValue = aValue;
  item.mRevision = mRevision;
  item.mLease = aLease;
  Record(aKey, MakeItem(aKey, item));
}

void FleetStandin::Remove(const std::string& aKey)
{
  if (mItems.erase(aKey) == 0)
    return;
  Record(aKey, { { "key", aKey }, { "revision", mRevision }, { "deleted", true } });
}

void FleetStandin::EndLease(std::uint64_t aLease)
{
  mLeases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : mItems)
    if (item.mLease == aLease)
      keys.push_back(key);
  ++mRevision;
  for (const std::string& key : keys)
    Remove(key);
}

void FleetStandin::PutText(const std::string& aKey, const std::string& aText)
{
  ++mRevision;
  Write(aKey, EncodeBase64(aText), 0);
}

HttpResponse FleetStandin::Commit(const json::value& aBody)
{
  bool holds = true;
  json::array current;
  for (const json::value& it : GetArray(aBody, "precondition")) {
    const std::string key = GetString(it, "key");
    auto item = mItems.find(key);
    holds =
      holds && GetUnsigned(it, "revision") == (item == mItems.end() ? 0 : item->second.mRevision);
    if (item != mItems.end())
      current.push_back(MakeItem(key, item->second));
  }
  if (!holds)
    return Answer(http::status::precondition_failed, json::object{ { "items", current } });
  for (const json::value& it : GetArray(aBody, "writes"))
    if (const auto lease = GetUnsigned(it, "lease"); lease != 0 && !mLeases.contains(lease))
      return Answer(http::status::not_found, json::object{});
  ++mRevision;  // one for the whole transaction
  for (const json::value& it : GetArray(aBody, "writes"))
    Write(GetString(it, "key"), GetString(it, "value"), GetUnsigned(it, "lease"));
  for (const json::value& it : GetArray(aBody, "deletes"))
    Remove(std::string(it.as_string()));
  return Answer(http::status::ok, json::object{ { "revision", mRevision } });
}

HttpResponse FleetStandin::List(const std::string& aPrefix, const std::string& aAfter) const
{
  json::array items;
  bool isMore = false;
  auto it = aAfter.empty() ? mItems.lower_bound(aPrefix) : mItems.upper_bound(aAfter);
  for (; it != mItems.end() && it->first.starts_with(aPrefix); ++it) {
    if (items.size() == kPage) {
      isMore = true;
      break;
    }
    items.push_back(MakeItem(it->first, it->second));
  }
  return Answer(
    http::status::ok,
    json::object{ { "items", items }, { "more_pages", isMore }, { "store_revision", mRevision } });
}

// A connection on which an answer is lost returns nothing further.
Async<HttpResponse> FleetStandin::NeverAnswer()
{
  co_await Sleep(seconds(10));  // callers give up well before
  co_return MakeJsonResponse(kCloseWithoutResponse, "");
}

Async<HttpResponse> FleetStandin::Watch(std::string aPrefix, std::uint64_t aAfter, Duration aWait)
{
  const TimePoint deadline = BootClock::now() + aWait;
  for (;;) {
    if (mMode == StoreMode::Silent)
      co_return co_await NeverAnswer();
    json::array events;
    std::uint64_t revision = 0;
    {
      const std::lock_guard lock(mLock);
      revision = mRevision;
      if (aAfter + 1 < mFirstRevision)
        co_return Answer(http::status::gone, json::object{});
      for (const Event& it : mHistory)
        if (it.mRevision > aAfter && it.mKey.starts_with(aPrefix))
          events.push_back(it.mBody);
    }
    if (!events.empty() || BootClock::now() >= deadline)
      co_return Answer(http::status::ok,
                       json::object{ { "events", events }, { "store_revision", revision } });
    co_await Sleep(kStep);
  }
}

void FleetStandin::DelayWrites(std::string aKey, Duration aTime)
{
  const std::lock_guard lock(mLock);
  mDelayedKey = std::move(aKey);
  mWriteDelay = aTime;
}

// Returns after which time a transaction is to be carried out without an answer; empty: at once.
std::optional<Duration> FleetStandin::ChooseDelay(const json::value& aTransaction)
{
  const json::array& writes = GetArray(aTransaction, "writes");
  const bool hasKey = std::any_of(writes.begin(), writes.end(), [this](const json::value& aItem) {
    return GetString(aItem, "key") == mDelayedKey;
  });
  if (!mDelayedKey.empty() && hasKey)
    return mWriteDelay;
  if (mMode == StoreMode::DelaysWrites && Happens(0.33))
    return Draw(kMinWriteDelay, kMaxWriteDelay);
  return std::nullopt;
}

Async<HttpResponse> FleetStandin::CommitLate(json::value aTransaction, Duration aDelay)
{
  co_await Sleep(aDelay);
  {
    const std::lock_guard lock(mLock);
    Commit(aTransaction);
  }
  co_return co_await NeverAnswer();
}

Async<HttpResponse> FleetStandin::HandleStore(HttpRequest aRequest)
{
  const StoreMode mode = mMode;
  if (mode == StoreMode::Busy)
    co_return MakeJsonResponse(http::status::service_unavailable, "{}");
  if (mode == StoreMode::Silent)
    co_return co_await NeverAnswer();
  const std::string target(aRequest.target());
  const std::string_view path = GetPath(target);
  auto body = ParseJson(aRequest.body().empty() ? "{}" : aRequest.body());
  if (!body)
    co_return MakeJsonResponse(http::status::bad_request, "{}");
  if (path == "/kv-watch")
    co_return co_await Watch(GetQuery(target, "prefix"),
                             std::strtoull(GetQuery(target, "after").c_str(), nullptr, 10),
                             milliseconds(std::atoi(GetQuery(target, "wait_ms").c_str())));
  if (path == "/kv-txn") {
    std::optional<Duration> delay;
    {
      const std::lock_guard lock(mLock);
      delay = ChooseDelay(*body);
    }
    if (delay)
      co_return co_await CommitLate(std::move(*body), *delay);
  }
  const std::lock_guard lock(mLock);
  if (path == "/kv-key") {
    auto it = mItems.find(GetQuery(target, "key"));
    if (it == mItems.end())
      co_return Answer(http::status::not_found, json::object{ { "store_revision", mRevision } });
    co_return Answer(http::status::ok, MakeItem(it->first, it->second));
  }
  if (path == "/kv-range")
    co_return List(GetQuery(target, "prefix"), GetQuery(target, "after"));
  if (path == "/kv-txn") {
    HttpResponse response = Commit(*body);
    if (mode == StoreMode::LosesWrites && Happens(0.33))
      co_return MakeJsonResponse(kCloseWithoutResponse, "");
    co_return response;
  }
  if (path == "/kv-lease") {
    const Duration lifetime = GetMillis(*body, "ttl_ms", 1000);
    mLeases[mNextLease] = { lifetime, BootClock::now() + lifetime };
    co_return Answer(
      http::status::ok,
      json::object{ { "lease", mNextLease++ }, { "ttl_ms", GetUnsigned(*body, "ttl_ms") } });
  }
  const std::uint64_t lease =
    std::strtoull(std::string(path.substr(path.rfind('/') + 1)).c_str(), nullptr, 10);
  auto it = mLeases.find(lease);
  if (it == mLeases.end())
    co_return MakeJsonResponse(http::status::not_found, "{}");
  if (path.starts_with("/kv-keep/"))
    it->second.second = BootClock::now() + it->second.first;
  else
    EndLease(lease);
  co_return MakeJsonResponse(http::status::ok, "{}");
}

Async<void> FleetStandin::RunClock()
{
  for (;;) {
    co_await Sleep(kStep);
    const std::lock_guard lock(mLock);
    const TimePoint now = BootClock::now();
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : mLeases)
      if (lease.second < now)
        ended.push_back(id);
    for (const std::uint64_t id : ended)
      EndLease(id);
  }
}

}  // namespace monsoon::standin
