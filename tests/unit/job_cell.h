// In-memory mocks of journal, ownership, configuration, workers and peers, and JobCell, which runs
// the real controllers on them. Everything runs on one thread.
#pragma once

#include <functional>

#include "controllers/capacity.h"
#include "controllers/jobs.h"
#include "controllers/supervision.h"

namespace monsoon::testing {

struct MemoryLog  // contents of the store, shared by successive owners of a shard
{
  std::vector<std::string> mValues{};
  std::string mSnapshot{};
  Sequence mSnapshotAt = 0;
  std::vector<FailureKind> mNextFailures{};  // results of the next appends, taken from the back
};

class MemoryJournal
{
public:
  explicit MemoryJournal(MemoryLog& aLog)
    : mLog(aLog)
  {
  }
  Async<Result<JournalState>> Replay()
  {
    JournalState state;
    state.mSnapshot = mLog.mSnapshot;
    state.mSnapshotAt = mLog.mSnapshotAt;
    for (Sequence i = mLog.mSnapshotAt; i < mLog.mValues.size(); ++i)
      state.mEntries.push_back({ i + 1, mLog.mValues[i] });
    mHead = state.mHead = mLog.mValues.size();
    co_return state;
  }
  Async<Result<std::vector<JournalEntry>>> ReadNew() { co_return std::vector<JournalEntry>(); }
  Async<Result<Sequence>> Append(std::string aBytes)
  {
    co_await Sleep(milliseconds(1));
    if (!mLog.mNextFailures.empty()) {
      const FailureKind kind = mLog.mNextFailures.back();
      mLog.mNextFailures.pop_back();
      if (kind == FailureKind::WriteUnknown)
        mLog.mValues.push_back(std::move(aBytes));
      co_return MakeFailure(kind);
    }
    if (mHead != mLog.mValues.size())
      co_return MakeFailure(FailureKind::Fenced);
    mLog.mValues.push_back(std::move(aBytes));
    mHead = mLog.mValues.size();
    co_return mHead;
  }
  Async<Result<Sequence>> AppendAt(Sequence, std::string) { co_return MakeFailure({}); }
  Async<Result<void>> WriteSnapshot(Sequence aAt, std::string aBytes)
  {
    mLog.mSnapshotAt = aAt;
    mLog.mSnapshot = std::move(aBytes);
    co_return Result<void>();
  }
  Sequence GetHead() { return mHead; }

private:
  MemoryLog& mLog;
  Sequence mHead = 0;
};

struct MemoryOwnership
{
  std::map<WorkerName, OwnerOf> mWorkers{};
  std::map<ShardIndex, OwnerOf> mShards{};
  ProcessName mSelf{};

  std::optional<OwnerOf> FindWorkerOwner(std::string_view aWorker) const
  {
    auto it = mWorkers.find(WorkerName(aWorker));
    return it == mWorkers.end() ? std::nullopt : std::optional(it->second);
  }
  std::optional<OwnerOf> FindShardOwner(ShardIndex aShard) const
  {
    auto it = mShards.find(aShard);
    return it == mShards.end() ? std::nullopt : std::optional(it->second);
  }
  std::optional<Epoch> MayActOnWorker(std::string_view aWorker, TimePoint) const
  {
    const auto owner = FindWorkerOwner(aWorker);
    return owner && owner->mProcess == mSelf ? std::optional(owner->mEpoch) : std::nullopt;
  }
  std::optional<Epoch> MayActOnShard(ShardIndex aShard, TimePoint) const
  {
    const auto owner = FindShardOwner(aShard);
    return owner && owner->mProcess == mSelf ? std::optional(owner->mEpoch) : std::nullopt;
  }
  std::vector<WorkerName> ListOwnedWorkers() const { return {}; }
  std::vector<ProcessName> ListOwners() const
  {
    std::set<ProcessName> owners;
    for (const auto& [name, owner] : mWorkers)
      owners.insert(owner.mProcess);
    return { owners.begin(), owners.end() };
  }
};

struct MemoryConfig
{
  std::shared_ptr<Configuration> mConfiguration = std::make_shared<Configuration>();
  std::shared_ptr<const Configuration> GetConfiguration() const { return mConfiguration; }
  bool IsConfirmed() const { return true; }
};

// Worker endpoints that run tasks for mRun, refuse low epochs and late starts, and count starts.
class MemoryWorkers
{
public:
  struct Task
  {
    WorkerTask mTask{};
    TimePoint mEndsAt{};
  };
  struct Endpoint
  {
    Epoch mHighest = 0;
    std::string mIncarnation = "1";
    std::map<AttemptId, Task> mTasks{};
    bool mUnresponsive = false;  // does not answer
    bool mFailsAll = false;
    bool mLosesReplies = false;  // starts tasks, but the replies are lost
  };

  Async<Result<RunAnswer>> Run(const WorkerSpec&, const RequestSpec&, const Grant&, Duration)
  {
    co_return MakeFailure(FailureKind::EndpointRefused);
  }
  Async<Result<void>> Start(const WorkerSpec& aWorker,
                            const TaskStart& aStart,
                            std::int64_t aStartBefore,
                            Duration,
                            Duration)
  {
    Endpoint& endpoint = mEndpoints[aWorker.mName];
    if (endpoint.mUnresponsive)
      co_return MakeFailure(FailureKind::EndpointUnknown);
    if (aStart.mEpoch < endpoint.mHighest || ReadNowMs() > aStartBefore)
      co_return MakeFailure(FailureKind::EndpointRefused);
    for (const auto& [id, task] : endpoint.mTasks)
      mDuplicateStarts += id.first == aStart.mTask && task.mTask.mEnd == TaskEnd::Running ? 1 : 0;
    ++mStarts[aStart.mTask];
    Task task;
    task.mTask = { aStart.mTask, aStart.mAttempt, aStart.mEpoch, TaskEnd::Running, aStart.mNeed };
    task.mEndsAt = BootClock::now() + mRun;
    endpoint.mTasks[{ aStart.mTask, aStart.mAttempt }] = task;
    if (endpoint.mLosesReplies)
      co_return MakeFailure(FailureKind::EndpointUnknown);
    co_return Result<void>();
  }
  Async<Result<void>> Stop(const WorkerSpec& aWorker, const TaskStop& aStop, Duration)
  {
    auto& tasks = mEndpoints[aWorker.mName].mTasks;
    auto it = tasks.find({ aStop.mTask, aStop.mAttempt });
    if (it != tasks.end() && it->second.mTask.mEnd == TaskEnd::Running)
      it->second.mTask.mEnd =
        aStop.mMode == TaskStopMode::Stop ? TaskEnd::Stopped : TaskEnd::Checkpointed;
    co_return Result<void>();
  }
  Async<Result<Inventory>> Renew(const WorkerSpec& aWorker, const LeaseRenewal& aRenewal, Duration)
  {
    Endpoint& endpoint = mEndpoints[aWorker.mName];
    if (endpoint.mUnresponsive)
      co_return MakeFailure(FailureKind::EndpointUnknown);
    if (aRenewal.mEpoch < endpoint.mHighest)
      co_return MakeFailure(FailureKind::EndpointRefused);
    endpoint.mHighest = aRenewal.mEpoch;
    for (const auto& it : aRenewal.mAcknowledge)
      if (endpoint.mTasks.contains(it) && endpoint.mTasks[it].mTask.mEnd != TaskEnd::Running)
        endpoint.mTasks.erase(it);
    Inventory inventory;
    inventory.mIncarnation = endpoint.mIncarnation;
    inventory.mNowMs = ReadNowMs();
    inventory.mHighestEpoch = endpoint.mHighest;
    for (auto& [id, task] : endpoint.mTasks) {
      if (task.mTask.mEnd == TaskEnd::Running && BootClock::now() >= task.mEndsAt)
        task.mTask.mEnd = endpoint.mFailsAll ? TaskEnd::Failed : TaskEnd::Succeeded;
      inventory.mTasks.push_back(task.mTask);
    }
    co_return inventory;
  }

  static std::int64_t ReadNowMs()
  {
    return std::chrono::duration_cast<milliseconds>(BootClock::now().time_since_epoch()).count();
  }

  std::map<WorkerName, Endpoint> mEndpoints{};
  std::map<TaskKey, std::uint32_t> mStarts{};
  std::uint32_t mDuplicateStarts = 0;
  Duration mRun = milliseconds(5);
};

// Routes every message to the only process of the cell. mFault may fail a message before or after
// it is handled.
struct MemoryPeers
{
  std::function<Async<Result<PeerReply>>(PeerRequest)> mHandler{};
  std::function<std::optional<Failure>(const PeerRequest&, bool aBefore)> mFault{};

  Async<Result<PeerReply>> Call(ProcessName, PeerRequest aRequest, Duration)
  {
    if (mFault)
      if (auto failure = mFault(aRequest, true))
        co_return *failure;
    auto reply = co_await mHandler(aRequest);
    if (mFault)
      if (auto failure = mFault(aRequest, false))
        co_return *failure;
    co_return reply;
  }
};

class JobCell
{
public:
  using Jobs = JobsController<MemoryJournal, MemoryPeers, MemoryOwnership, MemoryConfig>;
  using Workers = Supervision<MemoryWorkers, MemoryPeers, MemoryOwnership, CapacityShards>;

  explicit JobCell(std::uint32_t aWorkers, Resources aCapacity = { 32000, 131072, 0, 8, 60 })
  {
    mOwnership.mSelf = "p1";
    mOwnership.mShards[0] = { "p1", 1 };
    mPeers.mHandler = [this](PeerRequest aRequest) { return Route(std::move(aRequest)); };
    SupervisionSettings supervision;
    supervision.mSelf = "p1";
    supervision.mShards = 1;
    supervision.mInterval = milliseconds(20);
    supervision.mShortestInterval = milliseconds(2);
    mSupervision = std::make_unique<Workers>(
      mContext.get_executor(), mWorkers, mPeers, mOwnership, mCapacity, supervision);
    StartJobs();
    for (std::uint32_t i = 0; i < aWorkers; ++i)
      AddWorker("w" + std::to_string(i), aCapacity);
  }

  ~JobCell()
  {
    mJobs->Stop();
    mSupervision->Stop();
    mContext.run_for(milliseconds(50));
  }

  void AddWorker(const WorkerName& aName, const Resources& aCapacity)
  {
    WorkerSpec spec;
    spec.mName = aName;
    spec.mZone = "zone-a";
    spec.mRack = "rack-1";
    spec.mCapacity = aCapacity;
    mOwnership.mWorkers[aName] = { "p1", 1 };
    mSupervision->PutWorker(spec);
  }

  // Starts the owner of the shard. A second call replaces the owner; only the journal is kept.
  void StartJobs()
  {
    if (mJobs) {
      mJobs->Stop();
      mStoppedJobs.push_back(std::move(mJobs));
      ++mOwnership.mShards[0].mEpoch;
    }
    JobsSettings settings;
    settings.mSelf = "p1";
    settings.mShards = 1;
    settings.mFallbackInterval = milliseconds(20);
    mJobs = std::make_unique<Jobs>(
      mContext.get_executor(),
      [this](ShardIndex) { return std::make_shared<MemoryJournal>(mLog); },
      mPeers,
      mOwnership,
      mConfig,
      settings);
    mJobs->Start();
  }

  Async<Result<PeerReply>> Route(PeerRequest aRequest)
  {
    return std::visit(
      [this](auto aIt) -> Async<Result<PeerReply>> {
        if constexpr (requires { mJobs->Handle(aIt); })
          return mJobs->Handle(std::move(aIt));
        else if constexpr (requires { mSupervision->Handle(aIt); })
          return mSupervision->Handle(std::move(aIt));
        else
          return Refuse();
      },
      std::move(aRequest));
  }

  static Async<Result<PeerReply>> Refuse() { co_return MakeFailure(FailureKind::BadInput); }

  // Sends a request as an entry process would and repeats it while the shard is not ready.
  Result<PeerReply> Ask(PeerRequest aRequest)
  {
    std::optional<Result<PeerReply>> reply;
    asio::co_spawn(
      mContext,
      [&]() -> Async<void> {
        while (true) {
          auto some = co_await Route(aRequest);
          const bool busy = some.has_error() && (some.error().mKind == FailureKind::NotReady);
          if (!busy) {
            reply.emplace(std::move(some));
            co_return;
          }
          co_await Sleep(milliseconds(2));
        }
      },
      asio::detached);
    RunUntil([&] { return reply.has_value(); });
    return reply ? std::move(*reply) : MakeFailure(FailureKind::Timeout);
  }

  Result<PeerReply> Submit(const JobSpec& aSpec) { return Ask(JobSubmit{ aSpec }); }
  Result<PeerReply> Cancel(const JobId& aJob) { return Ask(JobCancel{ aJob }); }

  std::map<TaskState, std::uint32_t> Count(const JobId& aJob)
  {
    std::map<TaskState, std::uint32_t> counts;
    const auto reply = Ask(JobQuery{ aJob, {} });
    if (reply.has_value())
      for (const TaskStatus& it : std::get<JobStatus>(*reply).mTasks)
        ++counts[it.mState];
    return counts;
  }

  bool WaitFor(const JobId& aJob, TaskState aState, std::uint32_t aCount)
  {
    return RunUntil([&] { return Count(aJob)[aState] == aCount; });
  }

  // Runs the cell until aDone. The limit of 60 s only ends hangs; no check depends on it.
  bool RunUntil(const std::function<bool()>& aDone)
  {
    const TimePoint end = BootClock::now() + seconds(60);
    while (!aDone() && BootClock::now() < end)
      mContext.run_for(milliseconds(1));
    mCapacity.CheckInvariants();
    return aDone();
  }

  asio::io_context mContext{ 1 };
  MemoryLog mLog{};
  MemoryOwnership mOwnership{};
  MemoryConfig mConfig{};
  MemoryPeers mPeers{};
  MemoryWorkers mWorkers{};
  CapacityShards mCapacity{};
  std::unique_ptr<Workers> mSupervision{};
  std::unique_ptr<Jobs> mJobs{};
  std::vector<std::unique_ptr<Jobs>> mStoppedJobs{};
};

}  // namespace monsoon::testing
