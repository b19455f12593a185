// JobsController runs the job shards that this process owns: it accepts jobs, places their tasks
// and tracks the tasks until they end. Each shard has one JobTable and one journal.
//
// Everything runs on the executor that is passed in. A journal entry is committed before the action
// that depends on it: the answer to a submission, a start, the acknowledgement of a report.
//
// Index
//   Requests     from callers and other processes
//   Events       start, stop and changes that wake the shards
//   Shards       takeover, rounds, reports
//   Commits      group commit to the journal, snapshots
//   Placement    offers, holds, starts, preemption
#pragma once

#include <functional>
#include <memory>

#include "controllers/job_table.h"
#include "controllers/jobs_commit.h"
#include "controllers/supervision_parallel.h"
#include "controllers/views.h"
#include "journal/journal_types.h"
#include "observe/log.h"
#include "policy/placement.h"

namespace monsoon {

struct JobsSettings
{
  ProcessName mSelf{};
  ZoneName mZone{};
  std::map<ProcessName, ZoneName> mZones{};  // zone of each process of the cell
  ShardIndex mShards = 8;                    // number of job shards of the cell
  Duration mPeerDeadline = seconds(2);
  Duration mHoldExpiry = seconds(3);   // a hold must last through the commit and the start
  Duration mStartWithin = seconds(2);  // the worker refuses a start that arrives later
  Duration mFallbackInterval = milliseconds(500);  // interval of rounds when no event wakes a shard
  std::uint32_t mMaxTasksPerRound = 512;
  std::uint32_t mMaxPlacements = 64;      // groups being placed per shard
  std::uint32_t mSnapshotInterval = 256;  // journal values between snapshots
};

template<JournalLike Journal, PeerCaller Peers, OwnershipView Ownership, ConfigurationView Config>
class JobsController
{
public:
  // Called for each placed group with its number of tasks, how long it waited for capacity and how
  // long the placement took.
  using PlacedHandler = std::function<
    void(const TaskShape& aShape, std::size_t aTasks, Duration aWaited, Duration aTook)>;

  using JournalFactory = std::function<std::shared_ptr<Journal>(ShardIndex aShard)>;

  JobsController(asio::any_io_executor aExecutor,
                 JournalFactory aMakeJournal,
                 Peers& aPeers,
                 const Ownership& aOwnership,
                 const Config& aConfig,
                 JobsSettings aSettings);

  // Requests
  Async<Result<PeerReply>> Handle(JobSubmit aRequest);    // JobStatus once committed; Conflict
  Async<Result<PeerReply>> Handle(JobCancel aRequest);    // JobStatus
  Async<Result<PeerReply>> Handle(JobQuery aRequest);     // JobStatus; NotFound
  Async<Result<PeerReply>> Handle(JobList aRequest);      // JobStatuses
  Async<Result<PeerReply>> Handle(TaskReports aRequest);  // Done once all reports are journaled

  // Events
  // Must be called before Start.
  void SetPlacedHandler(PlacedHandler aHandler) { mOnPlaced = std::move(aHandler); }
  void Start();
  void Stop();
  void Wake();                                         // call when ownership changed
  void OnFleetChanged(std::set<WorkerName> aLeaving);  // VMs were added, removed or are leaving

private:
  struct Shard
  {
    Shard(const asio::any_io_executor& aExecutor, ShardIndex aIndex)
      : mIndex(aIndex)
      , mTable(aIndex + 1)
      , mTimer(aExecutor)
    {
    }
    ShardIndex mIndex = 0;
    JobTable mTable;
    std::shared_ptr<Journal> mJournal{};
    Epoch mEpoch = 0;
    bool mReady = false;  // the journal is replayed and fenced under mEpoch
    bool mWakeRequested = false;
    bool mWriting = false;  // a writer runs
    bool mFleetChanged = false;
    std::vector<CommitPtr> mQueue{};   // commits that wait for the writer
    std::uint32_t mSinceSnapshot = 0;  // journal values since the last snapshot
    std::uint32_t mPlacements = 0;     // groups being placed
    asio::steady_timer mTimer;
    std::multimap<JobId, asio::steady_timer*> mWaiters{};  // long polls, by job
  };
  using ShardPtr = std::shared_ptr<Shard>;

  struct WorkerHold  // capacity held on one worker
  {
    WorkerName mWorker{};
    ProcessName mOwner{};
    HoldReply mReply{};
  };

  // Shards
  Async<void> RunShard(ShardPtr aShard);
  Async<bool> TakeOver(ShardPtr aShard, Epoch aEpoch);
  Async<void> RunRound(ShardPtr aShard);
  Async<void> SendStops(ShardPtr aShard, std::vector<TaskStop> aStops);
  Async<void> SendQueries(ShardPtr aShard, std::vector<TaskQuery> aQueries);
  Async<void> ReleaseHeldJobs(ShardPtr aShard);
  Async<Result<void>> ApplyReports(ShardPtr aShard, std::vector<TaskReport> aReports);
  void WakeShard(Shard& aShard);
  void DropShard(Shard& aShard);
  // Fails with BadInput, NotOwner (details: the owner) or NotReady.
  Result<ShardPtr> FindActingShard(ShardIndex aShard);
  Async<Result<PeerReply>> MakeStatus(ShardPtr aShard, JobId aJob);
  [[nodiscard]] PlanContext MakeContext() const;

  // Commits
  Async<CommitPtr> Commit(ShardPtr aShard, std::vector<JobEntry> aEntries);
  Async<void> Write(ShardPtr aShard);
  Async<void> WriteBatch(ShardPtr aShard);
  Async<void> WriteSnapshot(ShardPtr aShard);
  void WakeWaiters(Shard& aShard);

  // Placement
  Async<void> Place(ShardPtr aShard, PlannedGroup aGroup);
  Async<bool> PlaceGroup(ShardPtr aShard, PlannedGroup& aGroup);
  Async<FitReply> CollectOffers(TaskShape aShape, std::uint32_t aCount, bool aEverywhere);
  Async<FitReply> AskOwners(std::vector<ProcessName> aOwners,
                            TaskShape aShape,
                            std::uint32_t aCount);
  Async<std::vector<WorkerHold>> HoldAll(const PlannedGroup& aGroup, std::vector<Offer> aChosen);
  Async<std::vector<WorkerHold>> HoldGang(const PlannedGroup& aGroup, std::vector<Offer> aChosen);
  Async<void> ReleaseAll(std::vector<WorkerHold> aHeld);
  Async<void> StartAll(ShardPtr aShard,
                       const PlannedGroup& aGroup,
                       std::vector<WorkerHold> aHeld,
                       CommitPtr aCommit);
  // Records why the group found no capacity. Holds the job if no existing VM fits (returns true),
  // or preempts others if the group may.
  Async<bool> HandleNoCapacity(ShardPtr aShard, const PlannedGroup& aGroup, const FitReply& aReply);
  Async<void> Preempt(ShardPtr aShard, const PlannedGroup& aGroup);
  [[nodiscard]] HoldRequest MakeHoldRequest(const PlannedGroup& aGroup,
                                            const GangStep& aStep) const;
  [[nodiscard]] ProcessName FindOwner(const WorkerName& aWorker) const;
  // Returns whether the shard is ready and this process may act on it under aEpoch.
  [[nodiscard]] bool IsActing(const Shard& aShard, Epoch aEpoch) const;

  asio::any_io_executor mExecutor;
  JournalFactory mMakeJournal;
  Peers& mPeers;
  const Ownership& mOwnership;
  const Config& mConfig;
  JobsSettings mSettings{};
  std::vector<ShardPtr> mShards{};
  std::set<WorkerName> mLeaving{};
  PlacedHandler mOnPlaced{};
  bool mStopped = false;
};

}  // namespace monsoon

#include "controllers/jobs_impl.h"
#include "controllers/jobs_place_impl.h"
