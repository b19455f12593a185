// JobTable holds the jobs of one shard. Their journaled state changes through journal entries only.
// The caller passes the time and the random seed. No function blocks or locks: the caller holds the
// shard's lock or runs the table on one thread.
//
// An entry takes effect at its position in the journal or not at all: Apply checks every transition
// and returns whether the entry took effect. Starts and answers to callers follow only from entries
// that took effect, so a cancellation that precedes a restart in the journal always wins.
//
// Index
//   Journal       apply, snapshot, restore
//   Placement     which tasks need workers next, and the results of placements
//   Attempts      ends and confirmations, which attempts to stop or to query
//   Reading       status of jobs, check of invariants
#pragma once

#include <map>
#include <random>
#include <set>
#include <span>

#include "controllers/job_entries.h"
#include "policy/ageing.h"
#include "policy/gang.h"
#include "policy/quota.h"
#include "policy/sizing.h"

namespace monsoon {

using AttemptId = std::pair<TaskKey, std::uint32_t>;

struct RetiringAttempt  // attempt of a service's replica that is being replaced
{
  std::uint32_t mAttempt = 0;  // 0: none
  WorkerName mWorker{};
  Epoch mEpoch = 0;
  Resources mNeed{};
};

struct TaskRecord
{
  TaskState mState = TaskState::Waiting;
  std::uint32_t mAttempt = 0;           // current attempt; 0: none yet
  std::uint32_t mLastAttempt = 0;       // highest attempt assigned so far
  std::uint32_t mFailures = 0;          // number of failed attempts
  WorkerName mWorker{};                 // worker of attempt mAttempt
  Epoch mEpoch = 0;                     // epoch of that worker's ownership
  Resources mNeed{};                    // resources reserved for the attempt
  std::vector<WorkerName> mFailedOn{};  // distinct workers on which attempts failed
  RetiringAttempt mRetiring{};
  // Not journaled
  bool mPlacing = false;    // a placement is in progress
  TimePoint mNotBefore{};   // earliest next placement (backoff)
  TimePoint mStarted{};     // when the attempt was assigned or confirmed
  TimePoint mStopAgain{};   // earliest time to send a stop (again)
  TimePoint mQueryAgain{};  // earliest time to query the worker's owner
};

struct JobRecord
{
  JobSpec mSpec{};
  bool mCancelled = false;
  std::string mReason{};  // why the job waits, is held or failed; shown to users
  Sequence mAt = 0;       // journal position of the last change
  std::vector<TaskRecord> mTasks{};
  // Not journaled
  std::uint32_t mOpen = 0;         // tasks not in a final state, or with a retiring attempt
  std::uint32_t mWaiting = 0;      // tasks in state Waiting
  TimePoint mSince{};              // since when the job has waited
  TimePoint mNotBefore{};          // earliest next try after one that found no capacity
  std::uint32_t mFailedTries = 0;  // consecutive placements that found no capacity
};

struct PlannedGroup  // tasks of one job, of equal shape, to be placed now
{
  TaskShape mShape{};
  Resources mDeclared{};
  std::vector<std::uint32_t> mTasks{};  // indices of the tasks in their job
  Duration mExpectedRun{};
  bool mAllOrNone = false;
  bool mReplaces = false;    // the tasks are replicas to move off leaving workers
  bool mGuaranteed = false;  // within the team's guarantee; may preempt borrowers
  Duration mWaited{};
};

struct PlanContext
{
  TimePoint mNow{};
  std::map<TeamName, TeamQuota> mQuotas{};
  std::set<WorkerName> mLeaving{};  // workers that are leaving or drained
  std::uint32_t mMaxTasks = 512;    // limit for all groups of one plan; a gang may exceed it
};

// Returns whether two submissions have the same specification.
[[nodiscard]] bool AreSame(const JobSpec& aLeft, const JobSpec& aRight);

class JobTable
{
public:
  explicit JobTable(std::uint32_t aSeed = 1);

  // Journal
  // Applies an entry at its journal position. Fails with Conflict if the state does not allow it,
  // and with AlreadyExists if the same job was submitted before; the table is then unchanged.
  Result<void> Apply(const JobEntry& aEntry, Sequence aAt, TimePoint aNow);
  [[nodiscard]] std::string MakeSnapshot() const;
  Result<void> Restore(std::string_view aSnapshot, TimePoint aNow);  // fails with CorruptEntry
  void Clear();

  // Placement
  // Returns the tasks to place now, in order, and marks them as being placed.
  std::vector<PlannedGroup> PlanNext(const PlanContext& aContext);
  // Ends a placement. If it found no capacity, the job backs off with jitter; the backoff grows
  // with each failed try.
  void EndPlacing(const PlannedGroup& aGroup, bool aFoundCapacity, TimePoint aNow);
  void OnCapacityFreed();  // a task ended: resets the backoff of all waiting jobs but gangs
  void OnFleetChanged();   // workers came or went: resets the backoff of all waiting jobs
  void SetReason(const JobId& aJob, std::string aReason);  // why the job waits, shown to users
  [[nodiscard]] std::vector<JobId> ListHeld() const;
  [[nodiscard]] std::vector<PreemptionCandidate> ListPreemptible(const PlanContext& aContext) const;

  // Attempts
  // Returns the entry that records the reported end, or std::nullopt if the attempt is not current
  // (the report is late, out of order or from an earlier epoch). The caller may acknowledge such a
  // report and drop it.
  [[nodiscard]] std::optional<TaskEnded> DecideEnd(const TaskReport& aReport) const;
  // Returns false if the attempt is not current; the caller must then stop it on its worker.
  bool ConfirmRunning(const TaskKey& aTask, std::uint32_t aAttempt, TimePoint aNow);
  [[nodiscard]] bool IsCurrent(const TaskKey& aTask, std::uint32_t aAttempt) const;
  // Returns the stops to send: for attempts of cancelled jobs and of gangs that lost a task, and
  // for replaced replicas.
  std::vector<TaskStop> ListStops(TimePoint aNow, std::size_t aLimit);
  void RecordStopSent(const TaskKey& aTask, TimePoint aAgain);
  // Returns queries for attempts without a recent report, one per worker and epoch.
  std::vector<TaskQuery> ListQueries(TimePoint aNow);
  void QueryAllNow();  // makes a query due for every attempt

  // Reading
  [[nodiscard]] const JobRecord* Find(const JobId& aJob) const;
  [[nodiscard]] std::optional<JobStatus> GetStatus(const JobId& aJob) const;
  [[nodiscard]] JobStatuses ListJobs(std::uint32_t aLimit) const;  // newest first
  [[nodiscard]] bool IsDone(const JobId& aJob) const;  // no open tasks; false for an unknown job
  [[nodiscard]] const QuotaLedger& GetLedger() const { return mLedger; }
  // Asserts that the indices, the ledger and the states of the tasks agree.
  void CheckInvariants() const;

private:
  Result<void> ApplyEntry(const JobSubmitted& aEntry);
  Result<void> ApplyEntry(const JobCancelled& aEntry);
  Result<void> ApplyEntry(const TaskAssigned& aEntry);
  Result<void> ApplyEntry(const TaskEnded& aEntry);
  Result<void> ApplyEntry(const JobHeld& aEntry);
  Result<void> ApplyEntry(const ShardFenced& aEntry);
  JobRecord* FindJob(const JobId& aJob);
  TaskRecord* FindTask(const TaskKey& aTask);
  void SetState(JobRecord& aJob, TaskRecord& aTask, TaskState aNext);
  void EndRetiring(const JobRecord& aJob, TaskRecord& aTask);
  void RecordFailure(JobRecord& aJob, TaskRecord& aTask, const TaskEnded& aEntry);
  void DropOldFinished();
  void ClearStaleBlock(TimePoint aNow);
  void IndexLoadedJob(JobRecord& aJob);
  void Recount(JobRecord& aJob);
  std::optional<PlannedGroup> PlanJob(JobRecord& aJob, const PlanContext& aContext);
  std::optional<PlannedGroup> PlanReplacements(JobRecord& aJob, const PlanContext& aContext) const;
  [[nodiscard]] PlannedGroup MakeGroup(const JobRecord& aJob) const;
  double DrawJitter();

  std::map<JobId, JobRecord> mJobs{};
  std::set<JobId> mWaitingJobs{};                      // have tasks in state Waiting
  std::set<JobId> mActiveJobs{};                       // have tasks that are not final
  std::map<Sequence, std::vector<JobId>> mFinished{};  // by journal position of the last change
  std::size_t mFinishedCount = 0;
  QuotaLedger mLedger{};
  SizeCorrector mSizes{};
  std::minstd_rand mRandom;
  Sequence mAt = 0;                      // journal position of the entry being applied
  TimePoint mNow{};                      // time at which the entry is applied
  std::optional<BlockedJob> mBlocked{};  // earliest due job that found no capacity; limits backfill
  JobId mBlockedId{};
};

}  // namespace monsoon
