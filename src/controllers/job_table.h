// The jobs of one shard: pure state, changed by journal entries only. Time and randomness are
// passed in; nothing waits and nothing locks (its user holds the shard's lock or runs it on one
// thread).
//
// An entry takes effect at its place in the journal or not at all: Apply checks every transition
// and answers whether it did. Acts (starts, answers) follow only from entries that took effect, so
// a cancellation that the journal puts before a restart always wins.
//
// Index
//   Journal       apply, snapshot, restore
//   Placement     what wants a worker next, and what came of it
//   Attempts      what runs where, what must stop, what must be asked after
//   Reading       for queries
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

struct RetiringAttempt  // a service's replica that is being replaced; 0: none
{
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;
  Resources mNeed{};
};

struct TaskRecord
{
  TaskState mState = TaskState::Waiting;
  std::uint32_t mAttempt = 0;           // the current one; 0: none yet
  std::uint32_t mLastAttempt = 0;       // the highest that was ever assigned
  std::uint32_t mFailures = 0;          // attempts that failed
  WorkerName mWorker{};                 // of the latest attempt
  Epoch mEpoch = 0;                     // of that worker's ownership
  Resources mNeed{};                    // reserved for it
  std::vector<WorkerName> mFailedOn{};  // distinct
  RetiringAttempt mRetiring{};
  // Not journaled
  bool mPlacing = false;    // a placement is under way
  TimePoint mNotBefore{};   // back-off
  TimePoint mStarted{};     // when it was assigned or confirmed
  TimePoint mStopAgain{};   // a stop was sent; repeat it then
  TimePoint mQueryAgain{};  // ask the worker's owner then
};

struct JobRecord
{
  JobSpec mSpec{};
  bool mCancelled = false;
  std::string mReason{};  // why it waits, is held or died
  Sequence mAt = 0;       // last change
  std::vector<TaskRecord> mTasks{};
  // Not journaled
  std::uint32_t mOpen = 0;         // tasks that are not final
  std::uint32_t mWaiting = 0;      // tasks that want a worker
  TimePoint mSince{};              // since when it waits
  TimePoint mNotBefore{};          // after a try without room
  std::uint32_t mFailedTries = 0;  // placements without room in a row
};

struct PlannedGroup  // equal tasks of one job that want workers now
{
  TaskShape mShape{};
  Resources mDeclared{};
  std::vector<std::uint32_t> mTasks{};  // indices
  Duration mExpectedRun{};
  bool mAllOrNone = false;
  bool mReplaces = false;    // replicas to be moved off leaving workers
  bool mGuaranteed = false;  // within the team's guarantee: may reclaim
  Duration mWaited{};
};

struct PlanContext
{
  TimePoint mNow{};
  std::map<TeamName, TeamQuota> mQuotas{};
  std::set<WorkerName> mLeaving{};  // leaving or drained
  std::uint32_t mMaxTasks = 512;    // in all groups of one plan; a gang may exceed it
};

// Whether two submissions ask for the same job.
[[nodiscard]] bool AreSame(const JobSpec& aLeft, const JobSpec& aRight);

class JobTable
{
public:
  explicit JobTable(std::uint32_t aSeed = 1);

  // Journal
  // Conflict: the entry is void at this place of the journal. AlreadyExists: the same job again.
  Result<void> Apply(const JobEntry& aEntry, Sequence aAt, TimePoint aNow);
  [[nodiscard]] std::string MakeSnapshot() const;
  Result<void> Restore(std::string_view aSnapshot, TimePoint aNow);  // CorruptEntry
  void Clear();

  // Placement
  std::vector<PlannedGroup> PlanNext(const PlanContext& aContext);  // marks the tasks as placing
  // Ends a placement. Tasks that stayed without room wait for a jittered time; a gang's grows.
  void EndPlacing(const PlannedGroup& aGroup, bool aFoundCapacity, TimePoint aNow);
  void OnCapacityFreed();  // a task ended: whoever found no room may try now, but for gangs
  void OnFleetChanged();   // room may be new: forget back-offs of full fleets
  void SetReason(const JobId& aJob, std::string aReason);  // why it waits, for people
  [[nodiscard]] std::vector<JobId> ListHeld() const;
  [[nodiscard]] std::vector<PreemptionCandidate> ListPreemptible(const PlanContext& aContext) const;

  // Attempts
  // The entry that a report calls for; nothing when the attempt is not current (late, crossed or
  // from a former epoch), so that it may be acknowledged and forgotten.
  [[nodiscard]] std::optional<TaskEnded> DecideEnd(const TaskReport& aReport) const;
  // False: no such current attempt; it must be stopped where it runs.
  bool ConfirmRunning(const TaskKey& aTask, std::uint32_t aAttempt, TimePoint aNow);
  [[nodiscard]] bool IsCurrent(const TaskKey& aTask, std::uint32_t aAttempt) const;
  // Attempts of cancelled jobs, of gangs that lost a member, and replaced replicas.
  std::vector<TaskStop> ListStops(TimePoint aNow, std::size_t aLimit);
  void RecordStopSent(const TaskKey& aTask, TimePoint aAgain);
  // Attempts to ask after, by worker and epoch.
  std::vector<TaskQuery> ListQueries(TimePoint aNow);
  void QueryAllNow();

  // Reading
  [[nodiscard]] const JobRecord* Find(const JobId& aJob) const;
  [[nodiscard]] std::optional<JobStatus> GetStatus(const JobId& aJob) const;
  [[nodiscard]] JobStatuses ListJobs(std::uint32_t aLimit) const;  // newest first
  [[nodiscard]] bool IsDone(const JobId& aJob) const;              // no open tasks
  [[nodiscard]] const QuotaLedger& GetLedger() const { return mLedger; }
  // Asserts that counts and states agree.
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
  std::set<JobId> mWaitingJobs{};                      // have tasks that want a worker
  std::set<JobId> mActiveJobs{};                       // have open tasks
  std::map<Sequence, std::vector<JobId>> mFinished{};  // by when they finished
  std::size_t mFinishedCount = 0;
  QuotaLedger mLedger{};
  SizeCorrector mSizes{};
  std::minstd_rand mRandom;
  Sequence mAt = 0;                      // of the entry under way
  TimePoint mNow{};                      // of the entry under way
  std::optional<BlockedJob> mBlocked{};  // first in order that found no room
  JobId mBlockedId{};
};

}  // namespace monsoon
