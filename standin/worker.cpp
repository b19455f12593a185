#include "standin/worker.h"

#include <boost/json.hpp>

#include <map>
#include <mutex>
#include <set>

#include "core/json.h"
#include "worker/wire.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr Duration kDefaultRun = milliseconds(50);
constexpr std::size_t kMaxEvidence = 200000;

std::int64_t ReadNowMs()
{
  return std::chrono::duration_cast<milliseconds>(BootClock::now().time_since_epoch()).count();
}

struct Behaviour
{
  Duration mRun = kDefaultRun;
  bool mFail = false;
};

Behaviour ParseBehaviour(const std::string& aText)
{
  Behaviour behaviour;
  auto value = ParseJson(aText);
  if (!value)
    return behaviour;
  behaviour.mRun = milliseconds(GetUnsigned(*value, "run_ms", 50));
  behaviour.mFail = GetBool(*value, "fail");
  return behaviour;
}

HttpResponse MakeRefusal(std::string aWhy)
{
  HttpResponse response = MakeJsonResponse(http::status::conflict, std::move(aWhy));
  response.set(kRefusedHeader, "1");
  return response;
}

struct EvidenceLine
{
  std::string mWhat{};  // "request" or "task"
  std::string mId{};    // request id, or job/index
  std::uint32_t mAttempt = 0;
  Epoch mEpoch = 0;
  std::int64_t mStartMs = 0;
  std::int64_t mEndMs = 0;  // 0 while running
  std::string mEnd{};
};

struct RunningTask
{
  WorkerTask mTask{};
  TimePoint mStarted{};
  TimePoint mEndsAt{};
  TimePoint mLeaseUntil{};
  bool mWillFail = false;
  std::size_t mEvidence = 0;  // index of its line
};

using AttemptKey = std::pair<TaskKey, std::uint32_t>;

}  // namespace

struct Worker::State : std::enable_shared_from_this<State>
{
  explicit State(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  asio::io_context& mContext;
  WorkerSpec mSpec{};
  std::string mIncarnation{};
  std::unique_ptr<HttpServer> mServer{};
  bool mStopped = false;
  Epoch mHighestEpoch = 0;
  Resources mInUse{};
  std::map<RequestId, std::size_t> mRequests{};
  std::set<RequestId> mSeenRequests{};
  std::map<AttemptKey, RunningTask> mTasks{};
  std::set<AttemptKey> mSeenTasks{};
  std::vector<EvidenceLine> mLines{};
  mutable std::mutex mEvidenceLock{};
  WorkerEvidence mEvidence{};

  Async<HttpResponse> Handle(HttpRequest aRequest);
  Async<HttpResponse> Run(HttpRequest aRequest);
  HttpResponse Start(const json::value& aBody);
  HttpResponse Stop(const json::value& aBody);
  HttpResponse Renew(const json::value& aBody);
  HttpResponse ShowEvidence();
  Async<void> Tick();
  std::optional<HttpResponse> RefuseStart(Epoch aEpoch, std::int64_t aStartBefore);
  void Take(const Resources& aNeed);
  void EndTask(RunningTask& aTask, TaskEnd aEnd);
  std::size_t AddLine(EvidenceLine aLine);
  void Count(std::uint64_t WorkerEvidence::*aCounter);
};

void Worker::State::Count(std::uint64_t WorkerEvidence::*aCounter)
{
  std::lock_guard lock(mEvidenceLock);
  ++(mEvidence.*aCounter);
}

std::size_t Worker::State::AddLine(EvidenceLine aLine)
{
  if (mLines.size() >= kMaxEvidence)
    return kMaxEvidence;
  mLines.push_back(std::move(aLine));
  return mLines.size() - 1;
}

std::optional<HttpResponse> Worker::State::RefuseStart(Epoch aEpoch, std::int64_t aStartBefore)
{
  if (aEpoch < mHighestEpoch) {
    Count(&WorkerEvidence::mLowEpochs);
    return MakeRefusal("epoch is below the highest seen");
  }
  if (aStartBefore != 0 && ReadNowMs() > aStartBefore) {
    Count(&WorkerEvidence::mLateStarts);
    return MakeRefusal("after the start deadline");
  }
  mHighestEpoch = aEpoch;
  return std::nullopt;
}

// Starts beyond the capacity run all the same, so that the evidence shows the harm.
void Worker::State::Take(const Resources& aNeed)
{
  mInUse = Add(mInUse, aNeed);
  if (!Fits(mInUse, mSpec.mCapacity))
    Count(&WorkerEvidence::mOvercommits);
}

Async<HttpResponse> Worker::State::Run(HttpRequest aRequest)
{
  const std::string id(aRequest[kRequestIdHeader]);
  const Epoch epoch = std::strtoull(std::string(aRequest[kGrantEpochHeader]).c_str(), nullptr, 10);
  const std::int64_t before =
    std::strtoll(std::string(aRequest[kStartBeforeHeader]).c_str(), nullptr, 10);
  if (auto refusal = RefuseStart(epoch, before))
    co_return std::move(*refusal);

  if (!mSeenRequests.insert(id).second)
    Count(&WorkerEvidence::mDoubled);
  const Resources need{ .mSlots = 1 };
  Take(need);
  Count(&WorkerEvidence::mRequestsRun);
  const std::size_t line = AddLine({ "request", id, 0, epoch, ReadNowMs(), 0, "" });
  mRequests[id] = line;

  const Behaviour behaviour = ParseBehaviour(aRequest.body());
  co_await Sleep(behaviour.mRun);

  mInUse = Subtract(mInUse, need);
  mRequests.erase(id);
  if (line < mLines.size()) {
    mLines[line].mEndMs = ReadNowMs();
    mLines[line].mEnd = behaviour.mFail ? "failed" : "succeeded";
  }
  json::object answer;
  answer["worker"] = mSpec.mName;
  answer["request"] = id;
  answer["echo"] = aRequest.body();
  HttpResponse response =
    MakeJsonResponse(behaviour.mFail ? http::status::internal_server_error : http::status::ok,
                     json::serialize(answer));
  response.set(kRequestIdHeader, id);
  co_return response;
}

HttpResponse Worker::State::Start(const json::value& aBody)
{
  const TaskStart start = ParseTaskStart(aBody);
  const AttemptKey key{ start.mTask, start.mAttempt };
  if (mTasks.contains(key))
    return MakeJsonResponse(http::status::ok, "{}");  // a repeat of the same start
  if (auto refusal = RefuseStart(start.mEpoch, GetSigned(aBody, "start_before")))
    return std::move(*refusal);

  if (!mSeenTasks.insert(key).second)
    Count(&WorkerEvidence::mDoubled);
  Take(start.mNeed);
  Count(&WorkerEvidence::mTasksStarted);
  const Behaviour behaviour = ParseBehaviour(start.mPayload);
  const bool endless = start.mPayload.find("forever") != std::string::npos;
  RunningTask task;
  task.mTask = {
    start.mTask, start.mAttempt, start.mEpoch, TaskEnd::Running, start.mNeed, start.mNeed, {}
  };
  task.mStarted = BootClock::now();
  task.mEndsAt = endless ? TimePoint::max() : task.mStarted + behaviour.mRun;
  task.mLeaseUntil = task.mStarted + milliseconds(GetSigned(aBody, "lease_ms", 30000));
  task.mWillFail = behaviour.mFail;
  task.mEvidence = AddLine({ "task",
                             start.mTask.mJob + "/" + std::to_string(start.mTask.mIndex),
                             start.mAttempt,
                             start.mEpoch,
                             ReadNowMs(),
                             0,
                             "" });
  mTasks.emplace(key, std::move(task));
  return MakeJsonResponse(http::status::ok, "{}");
}

void Worker::State::EndTask(RunningTask& aTask, TaskEnd aEnd)
{
  if (aTask.mTask.mEnd != TaskEnd::Running)
    return;
  static constexpr const char* kNames[] = { "running",      "succeeded",     "failed", "stopped",
                                            "checkpointed", "never_started", "unknown" };
  aTask.mTask.mEnd = aEnd;
  aTask.mTask.mRan = BootClock::now() - aTask.mStarted;
  mInUse = Subtract(mInUse, aTask.mTask.mNeed);
  Count(&WorkerEvidence::mTasksEnded);
  if (aTask.mEvidence >= mLines.size())
    return;
  mLines[aTask.mEvidence].mEndMs = ReadNowMs();
  mLines[aTask.mEvidence].mEnd = kNames[static_cast<std::size_t>(aEnd)];
}

HttpResponse Worker::State::Stop(const json::value& aBody)
{
  const TaskStop stop = ParseTaskStop(aBody);
  const AttemptKey key{ stop.mTask, stop.mAttempt };
  auto it = mTasks.find(key);
  // Remembered, so that a start that this stop overtook on the way is seen as a repeat and does not
  // run.
  if (it == mTasks.end()) {
    RunningTask task;
    task.mTask = { stop.mTask, stop.mAttempt, mHighestEpoch, TaskEnd::NeverStarted, {}, {}, {} };
    mTasks.emplace(key, std::move(task));
    return MakeJsonResponse(http::status::ok, "{}");
  }
  EndTask(it->second,
          stop.mMode == TaskStopMode::Checkpoint ? TaskEnd::Checkpointed : TaskEnd::Stopped);
  return MakeJsonResponse(http::status::ok, "{}");
}

HttpResponse Worker::State::Renew(const json::value& aBody)
{
  const LeaseRenewal renewal = ParseLeaseRenewal(aBody);
  if (renewal.mEpoch < mHighestEpoch) {
    Count(&WorkerEvidence::mLowEpochs);
    return MakeRefusal("epoch is below the highest seen");
  }
  mHighestEpoch = renewal.mEpoch;
  const TimePoint until = BootClock::now() + renewal.mLease;
  for (const AttemptKey& key : renewal.mRenew)
    if (auto it = mTasks.find(key); it != mTasks.end())
      it->second.mLeaseUntil = until;
  for (const AttemptKey& key : renewal.mAcknowledge) {
    auto it = mTasks.find(key);
    if (it != mTasks.end() && it->second.mTask.mEnd != TaskEnd::Running)
      mTasks.erase(it);
  }
  Inventory inventory;
  inventory.mIncarnation = mIncarnation;
  inventory.mNowMs = ReadNowMs();
  inventory.mHighestEpoch = mHighestEpoch;
  for (auto& [key, task] : mTasks) {
    if (task.mTask.mEnd == TaskEnd::Running)
      task.mTask.mRan = BootClock::now() - task.mStarted;
    inventory.mTasks.push_back(task.mTask);
  }
  for (const auto& [id, line] : mRequests)
    inventory.mRequests.push_back(id);
  return MakeJsonResponse(http::status::ok, json::serialize(MakeJson(inventory)));
}

HttpResponse Worker::State::ShowEvidence()
{
  json::object object;
  WorkerEvidence evidence;
  {
    std::lock_guard lock(mEvidenceLock);
    evidence = mEvidence;
  }
  object["worker"] = mSpec.mName;
  object["requests_run"] = evidence.mRequestsRun;
  object["tasks_started"] = evidence.mTasksStarted;
  object["tasks_ended"] = evidence.mTasksEnded;
  object["overcommits"] = evidence.mOvercommits;
  object["doubled"] = evidence.mDoubled;
  object["late_starts"] = evidence.mLateStarts;
  object["low_epochs"] = evidence.mLowEpochs;
  object["lapsed"] = evidence.mLapsed;
  json::array lines;
  for (const EvidenceLine& line : mLines) {
    json::object it;
    it["what"] = line.mWhat;
    it["id"] = line.mId;
    it["attempt"] = line.mAttempt;
    it["epoch"] = line.mEpoch;
    it["start_ms"] = line.mStartMs;
    it["end_ms"] = line.mEndMs;
    it["end"] = line.mEnd;
    lines.push_back(std::move(it));
  }
  object["lines"] = std::move(lines);
  return MakeJsonResponse(http::status::ok, json::serialize(object));
}

Async<HttpResponse> Worker::State::Handle(HttpRequest aRequest)
{
  const std::string target(aRequest.target());
  if (target == "/v1/run")
    co_return co_await Run(std::move(aRequest));
  if (target == "/v1/evidence")
    co_return ShowEvidence();
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeProblem(http::status::bad_request, Outcome::NotRun, body.error());
  if (target == "/v1/tasks/start")
    co_return Start(*body);
  if (target == "/v1/tasks/stop")
    co_return Stop(*body);
  if (target == "/v1/renew")
    co_return Renew(*body);
  co_return MakeProblem(
    http::status::not_found, Outcome::NotRun, MakeFailure(FailureKind::NotFound, target));
}

// Ends tasks whose time has come and those whose lease lapsed.
Async<void> Worker::State::Tick()
{
  auto self = shared_from_this();
  while (!mStopped) {
    const TimePoint now = BootClock::now();
    for (auto& [key, task] : mTasks) {
      if (task.mTask.mEnd != TaskEnd::Running)
        continue;
      if (now >= task.mEndsAt) {
        EndTask(task, task.mWillFail ? TaskEnd::Failed : TaskEnd::Succeeded);
      } else if (now >= task.mLeaseUntil) {
        EndTask(task, TaskEnd::Stopped);
        Count(&WorkerEvidence::mLapsed);
      }
    }
    co_await Sleep(milliseconds(5));
  }
}

Worker::Worker(asio::io_context& aContext, WorkerSpec aSpec)
  : mState(std::make_shared<State>(aContext))
{
  mState->mSpec = std::move(aSpec);
  mState->mIncarnation = std::to_string(BootClock::now().time_since_epoch().count());
}

Worker::~Worker()
{
  Stop();
}

Result<std::uint16_t> Worker::Listen()
{
  HttpHandler handler = [state = mState](HttpRequest aRequest, std::string) {
    return state->Handle(std::move(aRequest));
  };
  mState->mServer = std::make_unique<HttpServer>(HttpLimits{}, std::move(handler));
  auto port =
    mState->mServer->Listen(mState->mSpec.mHost, mState->mSpec.mPort, { &mState->mContext });
  if (!port)
    return port.error();
  mState->mSpec.mPort = *port;
  asio::co_spawn(mState->mContext, mState->Tick(), asio::detached);
  return port;
}

void Worker::Stop()
{
  mState->mStopped = true;
  if (mState->mServer)
    mState->mServer->StopAccepting();
}

WorkerSpec Worker::GetSpec() const
{
  return mState->mSpec;
}

WorkerEvidence Worker::GetEvidence() const
{
  std::lock_guard lock(mState->mEvidenceLock);
  return mState->mEvidence;
}

}  // namespace monsoon::standin
