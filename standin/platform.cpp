#include "standin/platform.h"

#include <boost/json.hpp>
#include <cereal/external/base64.hpp>

#include <list>

#include "core/json.h"
#include "standin/platform_data.h"
#include "standin/platform_faults.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr std::string_view kKvPath = "/v1/kv/";
constexpr std::string_view kVmPath = "/v1/vms/";
constexpr std::string_view kLeasePath = "/v1/leases/";
constexpr std::uint64_t kLongestWaitMs = 24 * 3600 * 1000;
constexpr Duration kHangStep = milliseconds(50);

json::object MakeJson(const Value& aValue)
{
  json::object object;
  object["key"] = aValue.mKey;
  object["value"] = cereal::base64::encode(
    reinterpret_cast<const unsigned char*>(aValue.mValue.data()), aValue.mValue.size());
  object["revision"] = aValue.mRevision;
  return object;
}

json::array MakeJson(const std::vector<Value>& aValues)
{
  json::array values;
  for (const Value& it : aValues)
    values.push_back(MakeJson(it));
  return values;
}

HttpResponse MakeStatus(http::status aStatus)
{
  return MakeJsonResponse(aStatus, "{}");
}

// The connection closes without an answer.
HttpResponse MakeNoAnswer()
{
  return HttpResponse(kCloseWithoutResponse, 11);
}

HttpResponse MakeAnswer(json::object aObject)
{
  return MakeJsonResponse(http::status::ok, json::serialize(aObject));
}

http::status GetFailureStatus(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::AlreadyExists:
      return http::status::precondition_failed;
    case FailureKind::Conflict:
      return http::status::conflict;
    case FailureKind::TooLarge:
      return http::status::payload_too_large;
    default:
      return http::status::not_found;
  }
}

std::uint64_t GetNumber(const std::string& aTarget, std::string_view aKey)
{
  return std::strtoull(GetQuery(aTarget, aKey).c_str(), nullptr, 10);
}

// The name under which a call is counted.
std::string GetOperation(http::verb aVerb, std::string_view aPath)
{
  if (aPath.starts_with(kKvPath))
    return aVerb == http::verb::get ? "get" : aVerb == http::verb::put ? "put" : "delete";
  if (aPath.starts_with("/v1/leases"))
    return "lease";
  return std::string(aPath.substr(std::min(aPath.size(), std::string_view("/v1/").size())));
}

}  // namespace

struct Platform::State : std::enable_shared_from_this<State>
{
  explicit State(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  struct Watcher  // one waiting watch
  {
    std::string mPrefix{};
    asio::steady_timer* mTimer = nullptr;  // cancelled to wake it
  };

  asio::io_context& mContext;
  std::unique_ptr<HttpServer> mServer{};
  PlatformData mData{};
  PlatformFaults mFaults{};
  PlatformStats mStats{};
  std::list<Watcher> mWatchers{};

  Async<HttpResponse> Handle(HttpRequest aRequest);
  Async<HttpResponse> HandleCall(HttpRequest aRequest);
  Async<HttpResponse> Act(HttpRequest aRequest);
  Async<HttpResponse> Hang();
  HttpResponse SetFaults(const std::string& aBody);
  HttpResponse Get(const std::string& aKey);
  HttpResponse Put(const std::string& aKey, const std::string& aTarget, std::string aValue);
  HttpResponse Delete(const std::string& aKey, const std::string& aTarget);
  HttpResponse List(const std::string& aTarget);
  Async<HttpResponse> Watch(std::string aTarget);
  std::vector<Value> PickChanges(const std::string& aPrefix, std::uint64_t aAfter);
  HttpResponse HandleLease(const HttpRequest& aRequest);
  HttpResponse EditVm(const HttpRequest& aRequest);
  HttpResponse ListVms();
  HttpResponse ShowStats();
  void Wake(std::string_view aKey);
};

// Values

HttpResponse Platform::State::Get(const std::string& aKey)
{
  mData.LapseLeases(BootClock::now());
  const Value* value = mData.Find(aKey);
  return value ? MakeAnswer(MakeJson(*value)) : MakeStatus(http::status::not_found);
}

HttpResponse Platform::State::Put(const std::string& aKey,
                                  const std::string& aTarget,
                                  std::string aValue)
{
  mData.LapseLeases(BootClock::now());
  const LeaseId lease = GetNumber(aTarget, "lease");
  auto revision =
    GetQuery(aTarget, "create") == "1"
      ? mData.Create(aKey, std::move(aValue), lease)
      : mData.CompareAndSwap(aKey, std::move(aValue), GetNumber(aTarget, "revision"), lease);
  if (!revision)
    return MakeStatus(GetFailureStatus(revision.error().mKind));
  Wake(aKey);
  json::object answer;
  answer["revision"] = *revision;
  return MakeAnswer(std::move(answer));
}

HttpResponse Platform::State::Delete(const std::string& aKey, const std::string& aTarget)
{
  auto deleted = mData.Delete(aKey, GetNumber(aTarget, "revision"));
  return MakeStatus(deleted ? http::status::ok : GetFailureStatus(deleted.error().mKind));
}

HttpResponse Platform::State::List(const std::string& aTarget)
{
  mData.LapseLeases(BootClock::now());
  json::object answer;
  answer["values"] = MakeJson(mData.List(
    GetQuery(aTarget, "prefix"), GetQuery(aTarget, "after"), GetNumber(aTarget, "limit")));
  return MakeAnswer(std::move(answer));
}

// Watches

void Platform::State::Wake(std::string_view aKey)
{
  for (const Watcher& it : mWatchers)
    if (aKey.starts_with(it.mPrefix))
      it.mTimer->cancel();
}

std::vector<Value> Platform::State::PickChanges(const std::string& aPrefix, std::uint64_t aAfter)
{
  std::vector<Value> changes = mData.ListChanges(aPrefix, aAfter);
  const TimePoint now = BootClock::now();
  std::erase_if(changes, [this, now](const Value&) { return mFaults.PickDroppedChange(now); });
  return changes;
}

Async<HttpResponse> Platform::State::Watch(std::string aTarget)
{
  auto self = shared_from_this();
  const std::string prefix = GetQuery(aTarget, "prefix");
  std::uint64_t after = GetNumber(aTarget, "after");
  const TimePoint until =
    BootClock::now() +
    milliseconds(std::min<std::uint64_t>(GetNumber(aTarget, "wait_ms"), kLongestWaitMs));
  const bool lost = mData.IsLost(after);
  std::vector<Value> changes;
  if (mFaults.PickReplay(BootClock::now()))
    changes = mData.ListChanges(prefix, 0);
  while (!lost && changes.empty()) {
    changes = PickChanges(prefix, after);
    after = mData.GetRevision();
    const TimePoint now = BootClock::now();
    const DownMode down = mFaults.GetDownMode(now);
    if (down == DownMode::Refuse)
      co_return MakeStatus(http::status::service_unavailable);
    if (down == DownMode::Hang)
      co_return co_await Hang();
    if (!changes.empty() || now >= until)
      break;
    asio::steady_timer timer(mContext, until - now);
    const auto it = mWatchers.insert(mWatchers.end(), Watcher{ prefix, &timer });
    [[maybe_unused]] auto [ec] = co_await timer.async_wait(kNoThrow);
    mWatchers.erase(it);
  }
  json::object answer;
  answer["lost"] = lost;
  answer["revision"] = mData.GetRevision();
  answer["changes"] = MakeJson(changes);
  co_return MakeAnswer(std::move(answer));
}

// Leases and VMs

HttpResponse Platform::State::HandleLease(const HttpRequest& aRequest)
{
  const std::string target(aRequest.target());
  const TimePoint now = BootClock::now();
  if (aRequest.method() == http::verb::post) {
    json::object answer;
    answer["lease"] = mData.GrantLease(
      milliseconds(std::min<std::uint64_t>(GetNumber(target, "ttl_ms"), kLongestWaitMs)), now);
    return MakeAnswer(std::move(answer));
  }
  const std::string path(GetPath(target));
  const LeaseId lease = std::strtoull(path.c_str() + kLeasePath.size(), nullptr, 10);
  auto kept = mData.KeepLease(lease, now);
  return MakeStatus(kept ? http::status::ok : http::status::not_found);
}

HttpResponse Platform::State::EditVm(const HttpRequest& aRequest)
{
  const std::string name(GetPath(aRequest.target()).substr(kVmPath.size()));
  if (aRequest.method() == http::verb::delete_) {
    mData.DeleteVm(name, BootClock::now());
    return MakeStatus(http::status::ok);
  }
  auto body = ParseJson(aRequest.body());
  if (!body)
    return MakeStatus(http::status::bad_request);
  WorkerSpec vm = ParseWorkerSpec(*body);
  vm.mName = name;
  mData.PutVm(vm, BootClock::now());
  return MakeStatus(http::status::ok);
}

HttpResponse Platform::State::ListVms()
{
  const TimePoint now = BootClock::now();
  json::array vms;
  for (const WorkerSpec& it : mData.ListVms(now - mFaults.GetVmLag(now)))
    vms.push_back(monsoon::MakeJson(it));
  json::object answer;
  answer["vms"] = std::move(vms);
  return MakeAnswer(std::move(answer));
}

// Steering and counting

HttpResponse Platform::State::SetFaults(const std::string& aBody)
{
  auto body = ParseJson(aBody);
  if (!body)
    return MakeStatus(http::status::bad_request);
  auto faults = ParseFaults(*body, BootClock::now());
  if (!faults)
    return MakeProblem(http::status::bad_request, Outcome::NotRun, faults.error());
  mFaults.Set(*faults);
  if (faults->mLapseLeases)
    mData.LapseAllLeases();
  for (const Watcher& it : mWatchers)
    it.mTimer->cancel();  // an outage cuts waiting watches too
  return MakeStatus(http::status::ok);
}

HttpResponse Platform::State::ShowStats()
{
  json::object answer = mStats.MakeJson();
  answer["revision"] = mData.GetRevision();
  answer["waiting_watches"] = mWatchers.size();
  return MakeAnswer(std::move(answer));
}

// Requests

Async<HttpResponse> Platform::State::Act(HttpRequest aRequest)
{
  const std::string target(aRequest.target());
  const std::string path(GetPath(target));
  const http::verb verb = aRequest.method();
  if (path.starts_with(kKvPath)) {
    const std::string key = DecodeTarget(std::string_view(path).substr(kKvPath.size()));
    if (verb == http::verb::get)
      co_return Get(key);
    if (verb == http::verb::put)
      co_return Put(key, target, std::move(aRequest.body()));
    if (verb == http::verb::delete_)
      co_return Delete(key, target);
  }
  if (path == "/v1/list")
    co_return List(target);
  if (path == "/v1/watch")
    co_return co_await Watch(target);
  if (path == "/v1/vms")
    co_return ListVms();
  if (path == "/v1/leases" || path.starts_with(kLeasePath))
    co_return HandleLease(aRequest);
  co_return MakeStatus(http::status::bad_request);
}

Async<HttpResponse> Platform::State::Hang()
{
  while (mFaults.GetDownMode(BootClock::now()) == DownMode::Hang)
    co_await Sleep(kHangStep);
  co_return MakeNoAnswer();
}

// Half of a delay passes before the effect and half after it, so that a caller that gives up can't
// tell whether its write stands.
Async<HttpResponse> Platform::State::HandleCall(HttpRequest aRequest)
{
  auto self = shared_from_this();
  const std::string target(aRequest.target());
  const http::verb verb = aRequest.method();
  const bool write = verb != http::verb::get;
  const std::string operation = GetOperation(verb, GetPath(target));
  const std::string purpose(aRequest["Purpose"]);
  const std::uint64_t count = mStats.Count(operation, purpose, write, BootClock::now());
  const DownMode down = mFaults.GetDownMode(BootClock::now());
  if (down == DownMode::Refuse)
    co_return MakeStatus(http::status::service_unavailable);
  if (down == DownMode::Hang)
    co_return co_await Hang();
  const unsigned limited = mFaults.GetLimitStatus(write, count, BootClock::now());
  if (limited != 0)
    co_return MakeStatus(http::int_to_status(limited));
  const Duration delay = mFaults.PickDelay(BootClock::now());
  if (delay > Duration::zero())
    co_await Sleep(delay / 2);
  HttpResponse response = co_await Act(std::move(aRequest));
  if (delay > Duration::zero())
    co_await Sleep(delay / 2);
  if (write && response.result() == http::status::ok && mFaults.PickLostAnswer(BootClock::now()))
    co_return MakeNoAnswer();
  co_return response;
}

// Steering, statistics and the fleet's own entries in the VM list are no calls of the product.
Async<HttpResponse> Platform::State::Handle(HttpRequest aRequest)
{
  const std::string path(GetPath(aRequest.target()));
  if (path == "/v1/stats")
    co_return ShowStats();
  if (path == "/v1/faults")
    co_return SetFaults(aRequest.body());
  if (path.starts_with(kVmPath))
    co_return EditVm(aRequest);
  co_return co_await HandleCall(std::move(aRequest));
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
  // Weak, since the state owns the server, which owns the handler.
  HttpHandler handler = [weak = std::weak_ptr(mState)](HttpRequest aRequest,
                                                       std::string) -> Async<HttpResponse> {
    auto state = weak.lock();
    if (!state)
      co_return MakeNoAnswer();
    co_return co_await state->Handle(std::move(aRequest));
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
  asio::post(mState->mContext,
             [state = mState, aWorker] { state->mData.PutVm(aWorker, BootClock::now()); });
}

}  // namespace monsoon::standin
