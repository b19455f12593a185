// JobTable: the shard's next placements, stops and queries.
#include <algorithm>
#include <cassert>

#include "controllers/job_table.h"
#include "controllers/job_table_machine.h"

namespace monsoon {

namespace {

constexpr Duration kNoCapacityDelay = milliseconds(200);  // per consecutive failed try
constexpr Duration kMaxNoCapacityDelay = seconds(2);
constexpr Duration kStopInterval = seconds(1);  // between stops of one attempt
constexpr Duration kUnconfirmedQueryInterval = seconds(2);
constexpr Duration kRunningQueryInterval = seconds(30);  // finds lost end reports
constexpr std::size_t kMaxAvoidedWorkers = 16;

bool IsAssignedOrRunning(const TaskRecord& aTask) noexcept
{
  return aTask.mState == TaskState::Assigned || aTask.mState == TaskState::Running;
}

bool IsReady(const TaskRecord& aTask, TimePoint aNow) noexcept
{
  return aTask.mState == TaskState::Waiting && !aTask.mPlacing && aTask.mNotBefore <= aNow;
}

Resources Multiply(const Resources& aNeed, std::size_t aCount)
{
  const auto n = static_cast<std::int64_t>(aCount);
  return { aNeed.mMilliCores * n,
           aNeed.mMemoryMiB * n,
           aNeed.mAccelerators * n,
           aNeed.mSlots * n,
           aNeed.mConnections * n };
}

struct Candidate  // a job with waiting tasks
{
  TimePoint mDue{};
  bool mGang = false;
  double mSize = 0;
  JobRecord* mJob = nullptr;
};

// Returns the larger of the task's shares of cores and memory of one large VM.
double ComputeSize(const Resources& aNeed)
{
  return std::max(static_cast<double>(aNeed.mMilliCores) / 64000,
                  static_cast<double>(aNeed.mMemoryMiB) / 262144);
}

// Orders jobs by the second in which they are due. Jobs due in the same second are ordered as for
// offline bin packing: gangs first, while large free capacity is left, then larger tasks first.
bool IsPlacedBefore(const Candidate& aLeft, const Candidate& aRight)
{
  const auto left = std::chrono::floor<seconds>(aLeft.mDue.time_since_epoch());
  const auto right = std::chrono::floor<seconds>(aRight.mDue.time_since_epoch());
  if (left != right)
    return left < right;
  if (aLeft.mGang != aRight.mGang)
    return aLeft.mGang;
  if (aLeft.mSize != aRight.mSize)
    return aLeft.mSize > aRight.mSize;
  return aLeft.mJob->mAt < aRight.mJob->mAt;
}

void AddAvoidedWorkers(TaskShape& aShape, const TaskRecord& aTask)
{
  for (const WorkerName& it : aTask.mFailedOn)
    if (aShape.mAvoid.size() < kMaxAvoidedWorkers &&
        std::ranges::find(aShape.mAvoid, it) == aShape.mAvoid.end())
      aShape.mAvoid.push_back(it);
}

}  // namespace

PlannedGroup JobTable::MakeGroup(const JobRecord& aJob) const
{
  PlannedGroup group;
  const JobSpec& spec = aJob.mSpec;
  group.mShape = { spec.mId, spec.mKind, spec.mTeam, spec.mPriority };
  group.mShape.mNeed = mSizes.Correct(MakeSizeClass(spec), spec.mShape);
  group.mShape.mAcceleratorType = spec.mAcceleratorType;
  // Services and watches must survive the loss of a zone or rack, so they are always spread.
  const bool longRunning = spec.mKind == JobKind::Service || spec.mKind == JobKind::Watch;
  group.mShape.mSpreadZones = spec.mSpreadZones || longRunning;
  group.mShape.mSpreadRacks = spec.mSpreadRacks || longRunning;
  group.mDeclared = spec.mShape;
  group.mExpectedRun = spec.mExpectedRun;
  group.mAllOrNone = spec.mKind == JobKind::Gang;
  return group;
}

std::optional<PlannedGroup> JobTable::PlanJob(JobRecord& aJob, const PlanContext& aContext)
{
  if (aJob.mNotBefore > aContext.mNow)
    return std::nullopt;
  PlannedGroup group = MakeGroup(aJob);
  group.mWaited = aContext.mNow - aJob.mSince;
  for (std::uint32_t i = 0; i < aJob.mTasks.size(); ++i) {
    const TaskRecord& task = aJob.mTasks[i];
    if (!IsReady(task, aContext.mNow)) {
      // A gang starts only when none of its tasks runs or backs off; finished tasks don't count.
      const bool blocksGang = task.mState == TaskState::Waiting || IsAssignedOrRunning(task);
      if (group.mAllOrNone && blocksGang && aJob.mSpec.mRepeatable)
        return std::nullopt;
      continue;
    }
    if (!group.mAllOrNone && group.mTasks.size() >= aContext.mMaxTasks)
      break;
    group.mTasks.push_back(i);
    AddAvoidedWorkers(group.mShape, task);
  }
  if (group.mTasks.empty())
    return std::nullopt;
  // Avoiding workers is a preference: if no other worker had capacity, all are tried again.
  if (aJob.mFailedTries > 0)
    group.mShape.mAvoid.clear();

  const TeamName& team = aJob.mSpec.mTeam;
  const std::size_t first = group.mAllOrNone ? group.mTasks.size() : 1;
  const Resources need = Multiply(group.mShape.mNeed, first);
  const QuotaDecision verdict = mLedger.Check(aContext.mQuotas, team, need);
  if (verdict == QuotaDecision::Refused) {
    aJob.mReason = "team " + team + " has no quota left and may not borrow";
    return std::nullopt;
  }
  group.mGuaranteed = verdict == QuotaDecision::Guaranteed;
  // Limits the group of a team that may not borrow to the tasks that fit its guarantee.
  auto quota = aContext.mQuotas.find(team);
  if (quota != aContext.mQuotas.end() && !quota->second.mMayBorrow && !group.mAllOrNone) {
    std::size_t n = group.mTasks.size();
    while (n > 1 && mLedger.Check(aContext.mQuotas, team, Multiply(group.mShape.mNeed, n)) ==
                      QuotaDecision::Refused)
      --n;
    group.mTasks.resize(n);
  }
  return group;
}

// Plans replacements for replicas on leaving workers. Each new replica runs before the old one is
// stopped.
std::optional<PlannedGroup> JobTable::PlanReplacements(JobRecord& aJob,
                                                       const PlanContext& aContext) const
{
  if (aJob.mSpec.mKind != JobKind::Service || aJob.mCancelled || aContext.mLeaving.empty())
    return std::nullopt;
  PlannedGroup group = MakeGroup(aJob);
  group.mReplaces = true;
  for (std::uint32_t i = 0; i < aJob.mTasks.size(); ++i) {
    const TaskRecord& task = aJob.mTasks[i];
    if (task.mState != TaskState::Running || task.mPlacing || task.mRetiring.mAttempt != 0)
      continue;
    if (task.mNotBefore > aContext.mNow || !aContext.mLeaving.contains(task.mWorker))
      continue;
    group.mTasks.push_back(i);
  }
  if (group.mTasks.empty())
    return std::nullopt;
  for (const WorkerName& it : aContext.mLeaving)
    group.mShape.mAvoid.push_back(it);
  return group;
}

std::vector<PlannedGroup> JobTable::PlanNext(const PlanContext& aContext)
{
  std::vector<PlannedGroup> groups;
  std::uint32_t n = 0;
  const auto addGroup = [&](PlannedGroup aGroup) {
    JobRecord& job = *FindJob(aGroup.mShape.mJob);
    for (const std::uint32_t index : aGroup.mTasks)
      job.mTasks[index].mPlacing = true;
    n += static_cast<std::uint32_t>(aGroup.mTasks.size());
    groups.push_back(std::move(aGroup));
  };

  if (!aContext.mLeaving.empty())
    for (const JobId& id : mActiveJobs)
      if (auto group = PlanReplacements(*FindJob(id), aContext))
        addGroup(std::move(*group));

  std::vector<Candidate> candidates;
  for (const JobId& id : mWaitingJobs) {
    JobRecord& job = *FindJob(id);
    const bool borrows = mLedger.Check(aContext.mQuotas, job.mSpec.mTeam, job.mSpec.mShape) !=
                         QuotaDecision::Guaranteed;
    candidates.push_back({ ComputeDue(job.mSince, job.mSpec.mPriority, borrows),
                           job.mSpec.mKind == JobKind::Gang,
                           ComputeSize(job.mSpec.mShape),
                           &job });
  }
  std::ranges::sort(candidates, IsPlacedBefore);
  ClearStaleBlock(aContext.mNow);
  for (const Candidate& it : candidates) {
    if (n >= aContext.mMaxTasks)
      break;
    const JobSpec& spec = it.mJob->mSpec;
    const bool accelerated = spec.mShape.mAccelerators > 0;
    if (mBlocked && mBlockedId != spec.mId &&
        !MayBackfill(*mBlocked, it.mDue, spec.mExpectedRun, accelerated, aContext.mNow))
      continue;
    if (auto group = PlanJob(*it.mJob, aContext))
      addGroup(std::move(*group));
  }
  return groups;
}

// Lifts the limit on backfill once the job that caused it no longer waits for capacity.
void JobTable::ClearStaleBlock(TimePoint aNow)
{
  if (!mBlocked)
    return;
  const JobRecord* job = Find(mBlockedId);
  if (!job || job->mWaiting == 0 || job->mFailedTries == 0 || job->mSince > aNow)
    mBlocked.reset();
}

void JobTable::EndPlacing(const PlannedGroup& aGroup, bool aFoundCapacity, TimePoint aNow)
{
  JobRecord* job = FindJob(aGroup.mShape.mJob);
  if (!job)
    return;
  for (const std::uint32_t index : aGroup.mTasks) {
    TaskRecord& task = job->mTasks[index];
    if (aGroup.mReplaces && task.mPlacing)
      task.mNotBefore = aNow + kMaxNoCapacityDelay;
    task.mPlacing = false;
  }
  if (aGroup.mReplaces)
    return;
  if (aFoundCapacity) {
    job->mFailedTries = 0;
    return;
  }
  ++job->mFailedTries;
  const Duration longest = std::min(kNoCapacityDelay * job->mFailedTries, kMaxNoCapacityDelay);
  job->mNotBefore =
    aNow + (aGroup.mAllOrNone
              ? ComputeGangDelay(job->mFailedTries, mRandom)
              : std::chrono::duration_cast<Duration>(longest * (0.5 + DrawJitter())));
  const TimePoint due = ComputeDue(job->mSince, job->mSpec.mPriority, !aGroup.mGuaranteed);
  if (mBlocked && mBlocked->mDue <= due)
    return;
  mBlocked = BlockedJob{ job->mSince, due, job->mSpec.mShape.mAccelerators > 0 };
  mBlockedId = job->mSpec.mId;
}

void JobTable::SetReason(const JobId& aJob, std::string aReason)
{
  if (JobRecord* job = FindJob(aJob))
    job->mReason = std::move(aReason);
}

void JobTable::RecordStopSent(const TaskKey& aTask, TimePoint aAgain)
{
  if (TaskRecord* task = FindTask(aTask))
    task->mStopAgain = aAgain;
}

// A gang keeps its backoff: without it, contending gangs would collide again.
void JobTable::OnCapacityFreed()
{
  for (const JobId& id : mWaitingJobs) {
    JobRecord& job = *FindJob(id);
    if (job.mSpec.mKind != JobKind::Gang)
      job.mNotBefore = TimePoint{};
  }
}

void JobTable::OnFleetChanged()
{
  for (const JobId& id : mWaitingJobs) {
    JobRecord& job = *FindJob(id);
    job.mNotBefore = TimePoint{};
  }
}

std::vector<JobId> JobTable::ListHeld() const
{
  std::vector<JobId> held;
  for (const JobId& id : mActiveJobs)
    if (std::ranges::any_of(Find(id)->mTasks,
                            [](const TaskRecord& aIt) { return aIt.mState == TaskState::Held; }))
      held.push_back(id);
  return held;
}

std::vector<PreemptionCandidate> JobTable::ListPreemptible(const PlanContext& aContext) const
{
  std::vector<PreemptionCandidate> candidates;
  for (const JobId& id : mActiveJobs) {
    const JobRecord& job = *Find(id);
    // Only repeatable batch jobs lose nothing but time when they are checkpointed.
    if (job.mSpec.mKind != JobKind::Batch || !job.mSpec.mRepeatable || job.mCancelled)
      continue;
    const bool borrows = mLedger.IsBorrowing(aContext.mQuotas, job.mSpec.mTeam);
    for (std::uint32_t i = 0; i < job.mTasks.size(); ++i) {
      const TaskRecord& task = job.mTasks[i];
      if (task.mState != TaskState::Running || task.mStopAgain > aContext.mNow)
        continue;
      candidates.push_back({ { id, i },
                             task.mAttempt,
                             task.mWorker,
                             task.mNeed,
                             job.mSpec.mPriority,
                             borrows,
                             aContext.mNow - task.mStarted });
    }
  }
  return candidates;
}

std::vector<TaskStop> JobTable::ListStops(TimePoint aNow, std::size_t aLimit)
{
  std::vector<TaskStop> stops;
  for (const JobId& id : mActiveJobs) {
    JobRecord& job = *FindJob(id);
    const bool lostMember =
      job.mSpec.mKind == JobKind::Gang && job.mSpec.mRepeatable && job.mWaiting > 0;
    for (std::uint32_t i = 0; i < job.mTasks.size(); ++i) {
      TaskRecord& task = job.mTasks[i];
      if (stops.size() >= aLimit)
        return stops;
      if (task.mStopAgain > aNow)
        continue;
      const bool stop = IsAssignedOrRunning(task) && (job.mCancelled || lostMember);
      const bool retire =
        task.mRetiring.mAttempt != 0 && (job.mCancelled || task.mState != TaskState::Assigned);
      if (!stop && !retire)
        continue;
      task.mStopAgain = aNow + kStopInterval;
      if (retire)
        stops.push_back(
          { task.mRetiring.mWorker, { id, i }, task.mRetiring.mAttempt, TaskStopMode::Stop });
      if (stop)
        stops.push_back({ task.mWorker, { id, i }, task.mAttempt, TaskStopMode::Stop });
    }
  }
  return stops;
}

std::vector<TaskQuery> JobTable::ListQueries(TimePoint aNow)
{
  std::map<std::pair<WorkerName, Epoch>, TaskQuery> queries;
  const auto addAttempt =
    [&](const WorkerName& aWorker, Epoch aEpoch, TaskKey aTask, std::uint32_t aAttempt) {
      TaskQuery& query = queries[{ aWorker, aEpoch }];
      query.mWorker = aWorker;
      query.mEpoch = aEpoch;
      query.mAttempts.emplace_back(std::move(aTask), aAttempt);
    };
  for (const JobId& id : mActiveJobs) {
    JobRecord& job = *FindJob(id);
    for (std::uint32_t i = 0; i < job.mTasks.size(); ++i) {
      TaskRecord& task = job.mTasks[i];
      const bool running = IsAssignedOrRunning(task);
      if ((!running && task.mRetiring.mAttempt == 0) || task.mQueryAgain > aNow)
        continue;
      task.mQueryAgain = aNow + (task.mState == TaskState::Running ? kRunningQueryInterval
                                                                   : kUnconfirmedQueryInterval);
      if (running)
        addAttempt(task.mWorker, task.mEpoch, { id, i }, task.mAttempt);
      if (task.mRetiring.mAttempt != 0)
        addAttempt(
          task.mRetiring.mWorker, task.mRetiring.mEpoch, { id, i }, task.mRetiring.mAttempt);
    }
  }
  std::vector<TaskQuery> list;
  for (auto& [key, query] : queries)
    list.push_back(std::move(query));
  return list;
}

void JobTable::QueryAllNow()
{
  for (const JobId& id : mActiveJobs)
    for (TaskRecord& task : FindJob(id)->mTasks)
      task.mQueryAgain = TimePoint{};
}

bool JobTable::ConfirmRunning(const TaskKey& aTask, std::uint32_t aAttempt, TimePoint aNow)
{
  TaskRecord* task = FindTask(aTask);
  if (!task)
    return false;
  if (task->mRetiring.mAttempt != 0 && task->mRetiring.mAttempt == aAttempt)
    return true;
  if (task->mAttempt != aAttempt)
    return false;
  const auto next = FindNextState(task->mState, TaskEvent::Confirm);
  if (!next)
    return false;
  if (task->mState != TaskState::Running)
    task->mStarted = aNow;
  task->mState = *next;
  task->mQueryAgain = aNow + kRunningQueryInterval;
  return true;
}

}  // namespace monsoon
