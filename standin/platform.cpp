#include "standin/platform.h"

#include <boost/json.hpp>

#include <deque>
#include <map>

#include "core/json.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr std::size_t kMaxHistory = 10000;

struct Value
{
  std::string mValue{};
  std::uint64_t mRevision = 0;
};

struct Change
{
  std::string mKey{};
  std::string mValue{};
  std::uint64_t mRevision = 0;
};

json::object MakeJson(const std::string& aKey, const std::string& aValue, std::uint64_t aRevision)
{
  json::object object;
  object["key"] = aKey;
  object["value"] = aValue;
  object["revision"] = aRevision;
  return object;
}

HttpResponse MakeStatus(http::status aStatus)
{
  return MakeJsonResponse(aStatus, "{}");
}

}  // namespace

struct Platform::State : std::enable_shared_from_this<State>
{
  explicit State(asio::io_context& aContext)
    : mContext(aContext)
    , mChanged(aContext)
  {
    mChanged.expires_at(std::chrono::steady_clock::time_point::max());
  }

  asio::io_context& mContext;
  std::unique_ptr<HttpServer> mServer{};
  asio::steady_timer mChanged;  // cancelled at each change, to wake the watches
  std::uint64_t mRevision = 0;
  std::map<std::string, Value> mValues{};
  std::deque<Change> mHistory{};
  std::map<std::string, WorkerSpec> mVms{};
  std::map<std::string, std::uint64_t> mCalls{};

  Async<HttpResponse> Handle(HttpRequest aRequest);
  HttpResponse Get(const std::string& aKey);
  HttpResponse Put(const std::string& aKey, const std::string& aTarget, std::string aValue);
  HttpResponse Delete(const std::string& aKey, const std::string& aTarget);
  HttpResponse List(const std::string& aTarget);
  Async<HttpResponse> Watch(std::string aTarget);
  HttpResponse ListVms();
  HttpResponse ShowStats();
  void Record(Change aChange);
};

void Platform::State::Record(Change aChange)
{
  mHistory.push_back(std::move(aChange));
  if (mHistory.size() > kMaxHistory)
    mHistory.pop_front();
  mChanged.cancel();
}

HttpResponse Platform::State::Get(const std::string& aKey)
{
  auto it = mValues.find(aKey);
  if (it == mValues.end())
    return MakeStatus(http::status::not_found);
  return MakeJsonResponse(http::status::ok,
                          json::serialize(MakeJson(aKey, it->second.mValue, it->second.mRevision)));
}

HttpResponse Platform::State::Put(const std::string& aKey,
                                  const std::string& aTarget,
                                  std::string aValue)
{
  if (aValue.size() > kMaxValueBytes)
    return MakeStatus(http::status::payload_too_large);
  auto it = mValues.find(aKey);
  if (GetQuery(aTarget, "create") == "1") {
    if (it != mValues.end())
      return MakeStatus(http::status::precondition_failed);
  } else {
    const std::uint64_t expected =
      std::strtoull(GetQuery(aTarget, "revision").c_str(), nullptr, 10);
    if (it == mValues.end() || it->second.mRevision != expected)
      return MakeStatus(http::status::conflict);
  }
  mValues[aKey] = { aValue, ++mRevision };
  Record({ aKey, std::move(aValue), mRevision });
  json::object answer;
  answer["revision"] = mRevision;
  return MakeJsonResponse(http::status::ok, json::serialize(answer));
}

HttpResponse Platform::State::Delete(const std::string& aKey, const std::string& aTarget)
{
  auto it = mValues.find(aKey);
  const std::uint64_t expected = std::strtoull(GetQuery(aTarget, "revision").c_str(), nullptr, 10);
  if (it == mValues.end())
    return MakeStatus(expected == 0 ? http::status::ok : http::status::conflict);
  if (expected != 0 && it->second.mRevision != expected)
    return MakeStatus(http::status::conflict);
  mValues.erase(it);
  ++mRevision;
  return MakeStatus(http::status::ok);
}

HttpResponse Platform::State::List(const std::string& aTarget)
{
  const std::string prefix = GetQuery(aTarget, "prefix");
  const std::string after = GetQuery(aTarget, "after");
  const std::size_t limit = std::strtoull(GetQuery(aTarget, "limit").c_str(), nullptr, 10);
  json::array values;
  for (auto it = mValues.lower_bound(std::max(prefix, after)); it != mValues.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0 || values.size() >= limit)
      break;
    if (it->first == after)
      continue;
    values.push_back(MakeJson(it->first, it->second.mValue, it->second.mRevision));
  }
  json::object answer;
  answer["values"] = std::move(values);
  return MakeJsonResponse(http::status::ok, json::serialize(answer));
}

Async<HttpResponse> Platform::State::Watch(std::string aTarget)
{
  auto self = shared_from_this();
  const std::string prefix = GetQuery(aTarget, "prefix");
  const std::uint64_t after = std::strtoull(GetQuery(aTarget, "after").c_str(), nullptr, 10);
  const TimePoint until =
    BootClock::now() +
    milliseconds(std::strtoull(GetQuery(aTarget, "wait_ms").c_str(), nullptr, 10));
  json::array changes;
  while (true) {
    for (const Change& change : mHistory)
      if (change.mRevision > after && change.mKey.compare(0, prefix.size(), prefix) == 0)
        changes.push_back(MakeJson(change.mKey, change.mValue, change.mRevision));
    if (!changes.empty() || BootClock::now() >= until)
      break;
    // A short poll beside the wake-up: one timer serves all watches and its cancellation wakes them
    // together.
    asio::steady_timer timeout(mContext,
                               std::min<Duration>(until - BootClock::now(), milliseconds(20)));
    [[maybe_unused]] auto [ec] = co_await timeout.async_wait(kNoThrow);
  }
  json::object answer;
  answer["lost"] = !mHistory.empty() && after != 0 && mHistory.front().mRevision > after + 1 &&
                   mHistory.size() >= kMaxHistory;
  answer["revision"] = mRevision;
  answer["changes"] = std::move(changes);
  co_return MakeJsonResponse(http::status::ok, json::serialize(answer));
}

HttpResponse Platform::State::ListVms()
{
  json::array vms;
  for (const auto& [name, vm] : mVms)
    vms.push_back(monsoon::MakeJson(vm));
  json::object answer;
  answer["vms"] = std::move(vms);
  return MakeJsonResponse(http::status::ok, json::serialize(answer));
}

HttpResponse Platform::State::ShowStats()
{
  json::object calls;
  for (const auto& [name, n] : mCalls)
    calls[name] = n;
  json::object answer;
  answer["calls"] = std::move(calls);
  answer["revision"] = mRevision;
  return MakeJsonResponse(http::status::ok, json::serialize(answer));
}

Async<HttpResponse> Platform::State::Handle(HttpRequest aRequest)
{
  const std::string target(aRequest.target());
  const std::string path(GetPath(target));
  const http::verb verb = aRequest.method();
  if (path == "/v1/stats")
    co_return ShowStats();
  static constexpr std::string_view kKv = "/v1/kv/";
  static constexpr std::string_view kVms = "/v1/vms/";
  if (path.starts_with(kKv)) {
    const std::string key = DecodeTarget(std::string_view(path).substr(kKv.size()));
    ++mCalls[std::string(http::to_string(verb))];
    if (verb == http::verb::get)
      co_return Get(key);
    if (verb == http::verb::put)
      co_return Put(key, target, std::move(aRequest.body()));
    if (verb == http::verb::delete_)
      co_return Delete(key, target);
  }
  if (path.starts_with(kVms)) {
    const std::string name(path.substr(kVms.size()));
    if (verb == http::verb::delete_) {
      mVms.erase(name);
      co_return MakeStatus(http::status::ok);
    }
    auto body = ParseJson(aRequest.body());
    if (!body)
      co_return MakeStatus(http::status::bad_request);
    mVms[name] = ParseWorkerSpec(*body);
    co_return MakeStatus(http::status::ok);
  }
  ++mCalls[path];
  if (path == "/v1/list")
    co_return List(target);
  if (path == "/v1/watch")
    co_return co_await Watch(target);
  if (path == "/v1/vms")
    co_return ListVms();
  co_return MakeStatus(http::status::bad_request);
}

Platform::Platform(asio::io_context& aContext)
  : mState(std::make_shared<State>(aContext))
{
}

Platform::~Platform()
{
  Stop();
}

Result<std::uint16_t> Platform::Listen(const std::string& aHost, std::uint16_t aPort)
{
  HttpLimits limits;
  limits.mMaxBodyBytes = 2 * kMaxValueBytes;
  HttpHandler handler = [state = mState](HttpRequest aRequest, std::string) {
    return state->Handle(std::move(aRequest));
  };
  mState->mServer = std::make_unique<HttpServer>(limits, std::move(handler));
  return mState->mServer->Listen(aHost, aPort, { &mState->mContext });
}

void Platform::Stop()
{
  if (mState->mServer)
    mState->mServer->StopAccepting();
}

void Platform::AddVm(const WorkerSpec& aWorker)
{
  asio::post(mState->mContext, [state = mState, aWorker] { state->mVms[aWorker.mName] = aWorker; });
}

}  // namespace monsoon::standin
