#include "standin/worker.h"

#include <boost/json.hpp>

#include <map>
#include <set>

#include "core/json.h"
#include "standin/worker_behaviour.h"
#include "standin/worker_evidence.h"
#include "worker/wire.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr Duration kStallCheck = milliseconds(20);

std::int64_t ReadNowMs()
{
  return std::chrono::duration_cast<milliseconds>(BootClock::now().time_since_epoch()).count();
}

HttpResponse MakeRefusal(std::string aWhy)
{
  HttpResponse response = MakeJsonResponse(http::status::conflict, std::move(aWhy));
  response.set(kRefusedHeader, "1");
  return response;
}

struct RunningTask
{
  WorkerTask mTask{};
  TimePoint mStarted{};
  TimePoint mEndsAt{};
  TimePoint mLeaseUntil{};
  Behaviour mBehaviour{};
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
  Behaviour mDefault{};  // of requests and tasks that don't say otherwise
  EvidenceBook mEvidence{};

  Async<HttpResponse> Handle(HttpRequest aRequest);
  Async<HttpResponse> Run(HttpRequest aRequest);
  HttpResponse Start(const json::value& aBody);
  HttpResponse Stop(const json::value& aBody);
  HttpResponse Renew(const json::value& aBody);
  Async<void> Tick();
  std::optional<HttpResponse> RefuseStart(Epoch aEpoch, std::int64_t aStartBefore);
  void Take(const Resources& aNeed);
  void EndTask(RunningTask& aTask, TaskEnd aEnd);
  Async<HttpResponse> AnswerRun(const std::string& aId, std::string aBody, Behaviour aBehaviour);
};

std::optional<HttpResponse> Worker::State::RefuseStart(Epoch aEpoch, std::int64_t aStartBefore)
{
  if (aEpoch < mHighestEpoch) {
    mEvidence.Count(&WorkerEvidence::mLowEpochs);
    return MakeRefusal("epoch is below the highest seen");
  }
  if (aStartBefore != 0 && ReadNowMs() > aStartBefore) {
    mEvidence.Count(&WorkerEvidence::mLateStarts);
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
    mEvidence.Count(&WorkerEvidence::mOvercommits);
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
    mEvidence.Count(&WorkerEvidence::mDoubled);
  const Resources need{ .mSlots = 1 };
  Take(need);
  mEvidence.Count(&WorkerEvidence::mRequestsRun);
  const std::size_t line = mEvidence.AddLine({ "request", id, 0, epoch, ReadNowMs(), 0, "" });
  mRequests[id] = line;

  const Behaviour behaviour = ParseBehaviour(aRequest.body(), mDefault);
  co_await Sleep(behaviour.mRun);

  mInUse = Subtract(mInUse, need);
  mRequests.erase(id);
  mEvidence.EndLine(line, ReadNowMs(), behaviour.mFail ? "failed" : "succeeded");
  co_return co_await AnswerRun(id, std::move(aRequest.body()), behaviour);
}

// The work is done by now; only its answer may stall, be cut or be lost.
Async<HttpResponse> Worker::State::AnswerRun(const std::string& aId,
                                             std::string aBody,
                                             Behaviour aBehaviour)
{
  while (aBehaviour.mStall && !mStopped)
    co_await Sleep(kStallCheck);
  json::object answer;
  answer["worker"] = mSpec.mName;
  answer["request"] = aId;
  answer["echo"] = aBody;
  if (aBehaviour.mBytes > 0)
    answer["padding"] = std::string(aBehaviour.mBytes, 'x');
  HttpResponse response =
    MakeJsonResponse(aBehaviour.mFail ? http::status::internal_server_error : http::status::ok,
                     json::serialize(answer));
  response.set(kRequestIdHeader, aId);
  if (aBehaviour.mHalf)
    response.result(kTruncatedResponse);
  if (aBehaviour.mClose)
    response.result(kCloseWithoutResponse);
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
    mEvidence.Count(&WorkerEvidence::mDoubled);
  Take(start.mNeed);
  mEvidence.Count(&WorkerEvidence::mTasksStarted);
  const Behaviour behaviour = ParseBehaviour(start.mPayload, mDefault);
  const bool endless = start.mPayload.find("forever") != std::string::npos;
  RunningTask task;
  task.mTask = {
    start.mTask, start.mAttempt, start.mEpoch, TaskEnd::Running, start.mNeed, start.mNeed, {}
  };
  task.mStarted = BootClock::now();
  task.mEndsAt = endless ? TimePoint::max() : task.mStarted + behaviour.mRun;
  task.mLeaseUntil = task.mStarted + milliseconds(GetSigned(aBody, "lease_ms", 30000));
  task.mBehaviour = behaviour;
  task.mEvidence = mEvidence.AddLine({ "task",
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
  aTask.mTask.mEnd = aEnd;
  aTask.mTask.mRan = BootClock::now() - aTask.mStarted;
  mInUse = Subtract(mInUse, aTask.mTask.mNeed);
  mEvidence.Count(&WorkerEvidence::mTasksEnded);
  aTask.mTask.mUsed = ComputeUse(aTask.mBehaviour, aTask.mTask.mNeed, aTask.mTask.mRan);
  mEvidence.EndLine(aTask.mEvidence, ReadNowMs(), GetName(aEnd));
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
    mEvidence.Count(&WorkerEvidence::mLowEpochs);
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
    if (task.mTask.mEnd == TaskEnd::Running) {
      task.mTask.mRan = BootClock::now() - task.mStarted;
      task.mTask.mUsed = ComputeUse(task.mBehaviour, task.mTask.mNeed, task.mTask.mRan);
    }
    inventory.mTasks.push_back(task.mTask);
  }
  for (const auto& [id, line] : mRequests)
    inventory.mRequests.push_back(id);
  return MakeJsonResponse(http::status::ok, json::serialize(MakeJson(inventory)));
}

Async<HttpResponse> Worker::State::Handle(HttpRequest aRequest)
{
  const std::string target(aRequest.target());
  if (target == "/v1/run")
    co_return co_await Run(std::move(aRequest));
  if (target == "/v1/evidence")
    co_return MakeJsonResponse(http::status::ok, json::serialize(mEvidence.MakeJson(mSpec.mName)));
  if (target == "/v1/behaviour") {
    mDefault = ParseBehaviour(aRequest.body(), Behaviour{});
    co_return MakeJsonResponse(http::status::ok, "{}");
  }
  // A worker that stalls takes everything and answers nothing.
  while (mDefault.mStall && !mStopped)
    co_await Sleep(kStallCheck);
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeProblem(http::status::bad_request, Outcome::NotRun, body.error());
  if (target == "/v1/tasks/start") {
    HttpResponse response = Start(*body);
    // A start that took effect and whose answer is lost.
    co_return mDefault.mClose ? HttpResponse(kCloseWithoutResponse, 11) : response;
  }
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
        EndTask(task, task.mBehaviour.mFail ? TaskEnd::Failed : TaskEnd::Succeeded);
      } else if (now >= task.mLeaseUntil) {
        EndTask(task, TaskEnd::Stopped);
        mEvidence.Count(&WorkerEvidence::mLapsed);
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
  // Weak: the state owns the server that owns this handler.
  HttpHandler handler = [weak = std::weak_ptr(mState)](HttpRequest aRequest,
                                                       std::string) -> Async<HttpResponse> {
    const auto state = weak.lock();
    if (!state)
      co_return HttpResponse(kCloseWithoutResponse, 11);
    co_return co_await state->Handle(std::move(aRequest));
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
  return mState->mEvidence.GetCounters();
}

}  // namespace monsoon::standin
