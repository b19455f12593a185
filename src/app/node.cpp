#include "app/node.h"

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

#include "core/json.h"
#include "http/client.h"
#include "http/server.h"
#include "peer/link.h"
#include "platform/http_store.h"
#include "worker/http_worker.h"

namespace monsoon {

namespace json = boost::json;

namespace {

constexpr Duration kVmListInterval = seconds(1);
constexpr Duration kTaskPollInterval = milliseconds(50);
constexpr Duration kTaskLease = seconds(30);
constexpr Duration kPeerDeadline = seconds(2);

}  // namespace

struct Node::State
{
  explicit State(Settings aSettings)
    : mSettings(std::move(aSettings))
    , mStore(mClient, { { mSettings.mPlatform.mHost, mSettings.mPlatform.mPort } })
    , mWorkerClient(mClient)
  {
  }

  Settings mSettings;
  std::vector<std::unique_ptr<asio::io_context>> mContexts{};
  std::vector<std::thread> mThreads{};
  std::atomic<bool> mStopping = false;
  HttpClient mClient{};
  HttpStore mStore;
  HttpWorker mWorkerClient;
  std::unique_ptr<HttpServer> mServer{};
  std::unique_ptr<PeerLink> mLink{};
  std::uint16_t mHttpPort = 0;
  std::atomic<std::uint64_t> mNextId = 1;

  std::mutex mLock{};
  std::map<WorkerName, WorkerSpec> mWorkers{};
  std::map<WorkerName, Resources> mUsed{};
  std::map<GrantId, std::pair<WorkerName, Resources>> mGrants{};
  std::map<JobId, JobStatus> mJobs{};

  ProcessName FindOwner(const WorkerName& aWorker) const;
  Result<Grant> Take(const Resources& aNeed, const WorkerName& aOnly);
  void GiveBack(GrantId aId);
  std::string MakeId(std::string_view aPrefix);

  Async<void> FollowVms();
  Async<Result<PeerReply>> OnPeer(ProcessName aFrom, PeerRequest aRequest);
  Async<Result<PeerReply>> StartTask(TaskStart aStart);
  Async<void> Supervise(WorkerSpec aWorker, TaskStart aStart, GrantId aGrant);
  Async<HttpResponse> OnHttp(HttpRequest aRequest);
  Async<HttpResponse> RunRequest(HttpRequest aRequest);
  Async<HttpResponse> SubmitJob(HttpRequest aRequest);
  HttpResponse ShowJob(const JobId& aId);
  Async<void> RunTask(JobSpec aSpec, std::uint32_t aIndex);
};

// Rendezvous hashing over the processes of the settings.
ProcessName Node::State::FindOwner(const WorkerName& aWorker) const
{
  std::pair<std::size_t, ProcessName> best;
  const auto consider = [&](const ProcessName& aName) {
    std::size_t hash = 0;
    boost::hash_combine(hash, aName);
    boost::hash_combine(hash, aWorker);
    best = std::max(best, { hash, aName });
  };
  consider(mSettings.mProcess.mName);
  for (const PeerSettings& peer : mSettings.mPeers)
    consider(peer.mName);
  return best.second;
}

std::string Node::State::MakeId(std::string_view aPrefix)
{
  return std::string(aPrefix) + "-" + mSettings.mProcess.mName + "-" + std::to_string(mNextId++);
}

Result<Grant> Node::State::Take(const Resources& aNeed, const WorkerName& aOnly)
{
  std::lock_guard lock(mLock);
  for (const auto& [name, worker] : mWorkers) {
    if (!aOnly.empty() && name != aOnly)
      continue;
    if (FindOwner(name) != mSettings.mProcess.mName)
      continue;
    Resources& used = mUsed[name];
    if (!Fits(aNeed, Subtract(worker.mCapacity, used)))
      continue;
    used = Add(used, aNeed);
    Grant grant{
      .mId = mNextId++, .mWorker = worker, .mOwner = mSettings.mProcess.mName, .mEpoch = 1
    };
    mGrants[grant.mId] = { name, aNeed };
    return grant;
  }
  return MakeFailure(FailureKind::CapacityFull, "no worker has room");
}

void Node::State::GiveBack(GrantId aId)
{
  std::lock_guard lock(mLock);
  auto it = mGrants.find(aId);
  if (it == mGrants.end())
    return;
  Resources& used = mUsed[it->second.first];
  used = Subtract(used, it->second.second);
  mGrants.erase(it);
}

Async<void> Node::State::FollowVms()
{
  while (!mStopping) {
    auto workers = co_await mStore.ListWorkers();
    if (workers) {
      std::lock_guard lock(mLock);
      mWorkers.clear();
      for (const WorkerSpec& worker : *workers)
        mWorkers[worker.mName] = worker;
    }
    co_await Sleep(kVmListInterval);
  }
}

Async<void> Node::State::Supervise(WorkerSpec aWorker, TaskStart aStart, GrantId aGrant)
{
  TaskEnd end = TaskEnd::Running;
  const std::pair<TaskKey, std::uint32_t> attempt{ aStart.mTask, aStart.mAttempt };
  while (end == TaskEnd::Running && !mStopping) {
    co_await Sleep(kTaskPollInterval);
    LeaseRenewal renewal{ .mEpoch = 1, .mLease = kTaskLease };
    renewal.mRenew.push_back(attempt);
    auto inventory = co_await mWorkerClient.Renew(aWorker, renewal, kPeerDeadline);
    if (!inventory)
      continue;
    for (const WorkerTask& task : inventory->mTasks)
      if (task.mTask == aStart.mTask && task.mAttempt == aStart.mAttempt)
        end = task.mEnd;
  }
  LeaseRenewal acknowledgement{ .mEpoch = 1, .mLease = kTaskLease };
  acknowledgement.mAcknowledge.push_back(attempt);
  co_await mWorkerClient.Renew(aWorker, acknowledgement, kPeerDeadline);
  GiveBack(aGrant);
  std::lock_guard lock(mLock);
  auto it = mJobs.find(aStart.mTask.mJob);
  if (it == mJobs.end())
    co_return;
  it->second.mTasks[aStart.mTask.mIndex].mState =
    end == TaskEnd::Succeeded ? TaskState::Succeeded : TaskState::Failed;
}

Async<Result<PeerReply>> Node::State::StartTask(TaskStart aStart)
{
  auto grant = Take(aStart.mNeed, aStart.mWorker);
  if (!grant)
    co_return grant.error();
  auto started = co_await mWorkerClient.Start(grant->mWorker, aStart, 0, kTaskLease, kPeerDeadline);
  if (!started) {
    GiveBack(grant->mId);
    co_return started.error();
  }
  co_return *grant;
}

Async<Result<PeerReply>> Node::State::OnPeer(ProcessName, PeerRequest aRequest)
{
  if (std::holds_alternative<GrantRequest>(aRequest)) {
    auto grant = Take(Resources{ .mSlots = 1 }, "");
    if (!grant)
      co_return grant.error();
    co_return *grant;
  }
  if (auto* end = std::get_if<GrantReturn>(&aRequest)) {
    GiveBack(end->mId);
    co_return Done{};
  }
  if (auto* start = std::get_if<TaskStart>(&aRequest))
    co_return co_await StartTask(*start);
  co_return MakeFailure(FailureKind::BadInput, "unknown peer request");
}

Async<HttpResponse> Node::State::RunRequest(HttpRequest aRequest)
{
  RequestSpec spec;
  spec.mId = std::string(aRequest["Request-Id"]);
  if (spec.mId.empty())
    spec.mId = MakeId("request");
  spec.mBody = std::move(aRequest.body());
  std::vector<ProcessName> owners{ mSettings.mProcess.mName };
  for (const PeerSettings& peer : mSettings.mPeers)
    owners.push_back(peer.mName);

  const TimePoint deadline = BootClock::now() + spec.mTimeout;
  while (BootClock::now() < deadline) {
    for (const ProcessName& owner : owners) {
      GrantRequest want{ .mRequest = spec.mId };
      auto reply = co_await mLink->Call(owner, want, kPeerDeadline);
      if (!reply)
        continue;
      const Grant grant = std::get<Grant>(*reply);
      auto answer =
        co_await mWorkerClient.Run(grant.mWorker, spec, grant, deadline - BootClock::now());
      GrantReturn end{ .mId = grant.mId, .mWorker = grant.mWorker.mName };
      co_await mLink->Call(owner, end, kPeerDeadline);
      if (!answer)
        co_return MakeProblem(GetStatus(answer.error().mKind), Outcome::Unknown, answer.error());
      co_return MakeJsonResponse(http::int_to_status(answer->mStatus), std::move(answer->mBody));
    }
    co_await Sleep(milliseconds(5));
  }
  co_return MakeProblem(http::status::service_unavailable,
                        Outcome::NotRun,
                        MakeFailure(FailureKind::CapacityFull, "no slot before the deadline"));
}

Async<void> Node::State::RunTask(JobSpec aSpec, std::uint32_t aIndex)
{
  while (!mStopping) {
    std::vector<WorkerSpec> workers;
    {
      std::lock_guard lock(mLock);
      for (const auto& [name, worker] : mWorkers)
        workers.push_back(worker);
    }
    for (const WorkerSpec& worker : workers) {
      TaskStart start;
      start.mWorker = worker.mName;
      start.mTask = { aSpec.mId, aIndex };
      start.mAttempt = 1;
      start.mEpoch = 1;
      start.mKind = aSpec.mKind;
      start.mNeed = aSpec.mShape;
      start.mPayload = aSpec.mPayload;
      auto reply = co_await mLink->Call(FindOwner(worker.mName), start, kPeerDeadline);
      if (!reply)
        continue;
      co_await Supervise(worker, start, 0);
      GrantReturn end{ .mId = std::get<Grant>(*reply).mId };
      co_await mLink->Call(FindOwner(worker.mName), end, kPeerDeadline);
      co_return;
    }
    co_await Sleep(milliseconds(20));
  }
}

Async<HttpResponse> Node::State::SubmitJob(HttpRequest aRequest)
{
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeProblem(http::status::bad_request, Outcome::NotRun, body.error());
  auto spec = ParseJobSpec(*body);
  if (!spec)
    co_return MakeProblem(http::status::bad_request, Outcome::NotRun, spec.error());
  if (spec->mId.empty())
    spec->mId = MakeId("job");
  {
    std::lock_guard lock(mLock);
    JobStatus& status = mJobs[spec->mId];
    status.mSpec = *spec;
    for (std::uint32_t i = 0; i < spec->mTasks; ++i)
      status.mTasks.push_back({ .mIndex = i });
  }
  for (std::uint32_t i = 0; i < spec->mTasks; ++i)
    asio::co_spawn(*mContexts.front(), RunTask(*spec, i), asio::detached);
  co_return ShowJob(spec->mId);
}

HttpResponse Node::State::ShowJob(const JobId& aId)
{
  std::lock_guard lock(mLock);
  auto it = mJobs.find(aId);
  if (it == mJobs.end())
    return MakeProblem(
      http::status::not_found, Outcome::NotRun, MakeFailure(FailureKind::NotFound, aId));
  json::object object = MakeJson(it->second.mSpec);
  json::object counts;
  for (const TaskStatus& task : it->second.mTasks) {
    json::value& n = counts[GetName(task.mState)];
    n = n.is_int64() ? n.get_int64() + 1 : 1;
  }
  object["states"] = std::move(counts);
  return MakeJsonResponse(http::status::ok, json::serialize(object));
}

Async<HttpResponse> Node::State::OnHttp(HttpRequest aRequest)
{
  const std::string path(GetPath(std::string_view(aRequest.target())));
  static constexpr std::string_view kJobs = "/v1/jobs/";
  if (path == "/healthz" || path == "/readyz")
    co_return MakeJsonResponse(http::status::ok, "{\"ok\":true}");
  if (path == "/v1/requests")
    co_return co_await RunRequest(std::move(aRequest));
  if (path == "/v1/jobs")
    co_return co_await SubmitJob(std::move(aRequest));
  if (path.starts_with(kJobs))
    co_return ShowJob(path.substr(kJobs.size()));
  co_return MakeProblem(
    http::status::not_found, Outcome::NotRun, MakeFailure(FailureKind::NotFound, path));
}

Node::Node(Settings aSettings)
  : mState(std::make_unique<State>(std::move(aSettings)))
{
}

Node::~Node()
{
  Stop();
}

Result<void> Node::Start()
{
  State& state = *mState;
  for (std::uint32_t i = 0; i < state.mSettings.mProcess.mThreads; ++i)
    state.mContexts.push_back(std::make_unique<asio::io_context>(1));
  asio::io_context& first = *state.mContexts.front();

  std::vector<PeerAddress> peers;
  for (const PeerSettings& peer : state.mSettings.mPeers)
    peers.push_back({ peer.mName, peer.mZone, peer.mHost, peer.mPort });
  const ProcessSettings& process = state.mSettings.mProcess;
  state.mLink = std::make_unique<PeerLink>(first, process.mName, process.mZone, std::move(peers));
  state.mLink->SetRequestHandler([&state](ProcessName aFrom, PeerRequest aRequest) {
    return state.OnPeer(std::move(aFrom), std::move(aRequest));
  });
  auto peerPort =
    state.mLink->Listen(state.mSettings.mListen.mPeerHost, state.mSettings.mListen.mPeerPort);
  if (!peerPort)
    return peerPort.error();

  state.mServer =
    std::make_unique<HttpServer>(HttpLimits{}, [&state](HttpRequest aRequest, std::string) {
      return state.OnHttp(std::move(aRequest));
    });
  std::vector<asio::io_context*> contexts;
  for (const auto& context : state.mContexts)
    contexts.push_back(context.get());
  auto port = state.mServer->Listen(
    state.mSettings.mListen.mHttpHost, state.mSettings.mListen.mHttpPort, contexts);
  if (!port)
    return port.error();
  state.mHttpPort = *port;

  asio::co_spawn(first, state.FollowVms(), asio::detached);
  for (const auto& context : state.mContexts)
    state.mThreads.emplace_back([&context] {
      auto work = asio::make_work_guard(*context);
      context->run();
    });
  return {};
}

void Node::Stop()
{
  State& state = *mState;
  if (state.mStopping.exchange(true))
    return;
  if (state.mServer) {
    state.mServer->StopAccepting();
    while (state.mServer->CountInFlight() > 0)
      std::this_thread::sleep_for(milliseconds(5));
  }
  if (state.mLink)
    state.mLink->Stop();
  for (const auto& context : state.mContexts)
    context->stop();
  for (std::thread& thread : state.mThreads)
    thread.join();
  state.mThreads.clear();
  state.mClient.Clear();
  state.mServer.reset();
  state.mContexts.clear();
}

std::uint16_t Node::GetHttpPort() const noexcept
{
  return mState->mHttpPort;
}

}  // namespace monsoon
