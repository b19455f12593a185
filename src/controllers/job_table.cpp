#include "controllers/job_table.h"

#include <algorithm>
#include <cassert>

#include "controllers/job_table_machine.h"
#include "policy/restart.h"

namespace monsoon {

namespace {

constexpr std::size_t kMaxFinishedJobs = 20000;   // kept for queries and repeated submissions
constexpr Duration kConfirmTimeout = seconds(3);  // then an unconfirmed start is queried
constexpr std::uint32_t kMaxTasksPerJob = 100000;

bool IsUnassigned(TaskState aState) noexcept
{
  return aState == TaskState::Waiting || aState == TaskState::Held;
}

bool HoldsWorker(TaskState aState) noexcept
{
  return aState == TaskState::Assigned || aState == TaskState::Running;
}

// Returns the event that takes a task whose attempt ended to state aNext.
TaskEvent GetEndEvent(TaskState aNext) noexcept
{
  switch (aNext) {
    case TaskState::Succeeded:
      return TaskEvent::Succeed;
    case TaskState::Cancelled:
      return TaskEvent::Withdraw;
    case TaskState::DeadLetter:
      return TaskEvent::GiveUp;
    default:
      return TaskEvent::Requeue;
  }
}

Failure MakeConflict(std::string aWhy)
{
  return MakeFailure(FailureKind::Conflict, std::move(aWhy));
}

}  // namespace

bool AreSame(const JobSpec& aLeft, const JobSpec& aRight)
{
  const std::vector<JobEntry> left{ JobSubmitted{ aLeft } };
  const std::vector<JobEntry> right{ JobSubmitted{ aRight } };
  return EncodeEntries(left) == EncodeEntries(right);
}

JobTable::JobTable(std::uint32_t aSeed)
  : mRandom(aSeed)
{
}

double JobTable::DrawJitter()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

JobRecord* JobTable::FindJob(const JobId& aJob)
{
  auto it = mJobs.find(aJob);
  return it == mJobs.end() ? nullptr : &it->second;
}

TaskRecord* JobTable::FindTask(const TaskKey& aTask)
{
  JobRecord* job = FindJob(aTask.mJob);
  return job && aTask.mIndex < job->mTasks.size() ? &job->mTasks[aTask.mIndex] : nullptr;
}

Result<void> JobTable::Apply(const JobEntry& aEntry, Sequence aAt, TimePoint aNow)
{
  mAt = aAt;
  mNow = aNow;
  return std::visit([this](const auto& aIt) { return ApplyEntry(aIt); }, aEntry);
}

Result<void> JobTable::ApplyEntry(const JobSubmitted& aEntry)
{
  const JobSpec& spec = aEntry.mSpec;
  if (const JobRecord* job = FindJob(spec.mId)) {
    if (AreSame(job->mSpec, spec))
      return MakeFailure(FailureKind::AlreadyExists, spec.mId);
    return MakeConflict("job " + spec.mId + " exists with another specification");
  }
  if (spec.mId.empty() || spec.mTasks == 0 || spec.mTasks > kMaxTasksPerJob)
    return MakeFailure(FailureKind::BadInput, "a job needs an id and 1 to 100000 tasks");
  JobRecord& job = mJobs[spec.mId];
  job.mSpec = spec;
  job.mAt = mAt;
  job.mSince = mNow;
  job.mTasks.resize(spec.mTasks);
  Recount(job);
  return {};
}

Result<void> JobTable::ApplyEntry(const JobCancelled& aEntry)
{
  JobRecord* job = FindJob(aEntry.mJob);
  if (!job)
    return MakeFailure(FailureKind::NotFound, aEntry.mJob);
  if (job->mCancelled || job->mOpen == 0)
    return {};
  job->mCancelled = true;
  job->mAt = mAt;
  job->mReason = "cancelled";
  for (TaskRecord& task : job->mTasks)
    if (IsUnassigned(task.mState))
      SetState(*job, task, *FindNextState(task.mState, TaskEvent::Cancel));
  Recount(*job);
  return {};
}

Result<void> JobTable::ApplyEntry(const TaskAssigned& aEntry)
{
  JobRecord* job = FindJob(aEntry.mTask.mJob);
  TaskRecord* task = FindTask(aEntry.mTask);
  if (!task)
    return MakeFailure(FailureKind::NotFound, aEntry.mTask.mJob);
  if (job->mCancelled)
    return MakeConflict("the job is already cancelled");
  if (aEntry.mAttempt != task->mLastAttempt + 1)
    return MakeConflict("another attempt is already assigned");
  if (aEntry.mReplaces) {
    if (job->mSpec.mKind != JobKind::Service || task->mState != TaskState::Running)
      return MakeConflict("only running replicas of a service can be replaced");
    if (task->mRetiring.mAttempt != 0)
      return MakeConflict("the replica is already being replaced");
    task->mRetiring = { task->mAttempt, task->mWorker, task->mEpoch, task->mNeed };
    task->mState = TaskState::Assigned;
  } else {
    const auto next = FindNextState(task->mState, TaskEvent::Assign);
    if (!next)
      return MakeConflict("the task is not waiting");
    SetState(*job, *task, *next);
  }
  task->mAttempt = aEntry.mAttempt;
  task->mLastAttempt = aEntry.mAttempt;
  task->mWorker = aEntry.mWorker;
  task->mEpoch = aEntry.mEpoch;
  task->mNeed = aEntry.mNeed;
  task->mPlacing = false;
  task->mStarted = mNow;
  task->mStopAgain = TimePoint{};
  task->mQueryAgain = mNow + kConfirmTimeout;
  mLedger.Add(job->mSpec.mTeam, task->mNeed);
  job->mAt = mAt;
  job->mFailedTries = 0;
  job->mReason.clear();
  Recount(*job);
  return {};
}

void JobTable::RecordFailure(JobRecord& aJob, TaskRecord& aTask, const TaskEnded& aEntry)
{
  mSizes.Record(MakeSizeClass(aJob.mSpec), aJob.mSpec.mShape, aEntry.mUsed);
  if (CountsAsFailure(aEntry.mEnd)) {
    ++aTask.mFailures;
    if (std::ranges::find(aTask.mFailedOn, aTask.mWorker) == aTask.mFailedOn.end())
      aTask.mFailedOn.push_back(aTask.mWorker);
  }
  if (aEntry.mNext == TaskState::DeadLetter)
    aJob.mReason = aEntry.mEnd == TaskEnd::Unknown || !aJob.mSpec.mRepeatable
                     ? "ended without a known success and is not to be repeated"
                     : "failed on " + std::to_string(aTask.mFailedOn.size()) + " distinct workers";
}

void JobTable::EndRetiring(const JobRecord& aJob, TaskRecord& aTask)
{
  mLedger.Remove(aJob.mSpec.mTeam, aTask.mRetiring.mNeed);
  aTask.mRetiring = {};
}

Result<void> JobTable::ApplyEntry(const TaskEnded& aEntry)
{
  JobRecord* job = FindJob(aEntry.mTask.mJob);
  TaskRecord* task = FindTask(aEntry.mTask);
  if (!task)
    return MakeFailure(FailureKind::NotFound, aEntry.mTask.mJob);
  if (task->mRetiring.mAttempt != 0 && aEntry.mAttempt == task->mRetiring.mAttempt) {
    EndRetiring(*job, *task);
    Recount(*job);
    return {};
  }
  if (aEntry.mAttempt != task->mAttempt || !HoldsWorker(task->mState))
    return MakeConflict("the attempt is not the current one");
  // The restart may have been decided before a cancellation that precedes it in the journal; the
  // cancellation wins.
  const bool cancelled = job->mCancelled && aEntry.mNext == TaskState::Waiting;
  const TaskState wanted = cancelled ? TaskState::Cancelled : aEntry.mNext;
  const auto next = FindNextState(task->mState, GetEndEvent(wanted));
  if (!next)
    return MakeConflict("the task's state does not allow this end");

  RecordFailure(*job, *task, aEntry);
  mLedger.Remove(job->mSpec.mTeam, task->mNeed);
  task->mPlacing = false;
  job->mAt = mAt;
  if (task->mRetiring.mAttempt != 0 && *next == TaskState::Waiting) {
    // The replacement ended before it took over: the old replica still serves and becomes current.
    task->mState = TaskState::Running;
    task->mWorker = task->mRetiring.mWorker;
    task->mEpoch = task->mRetiring.mEpoch;
    task->mNeed = task->mRetiring.mNeed;
    task->mAttempt = task->mRetiring.mAttempt;
    task->mRetiring = {};
    return {};
  }
  SetState(*job, *task, *next);
  task->mNotBefore =
    mNow + ComputeRestartDelay(job->mSpec.mKind, aEntry.mEnd, task->mFailures, DrawJitter());
  if (*next == TaskState::Waiting)
    job->mSince = std::max(job->mSince, mNow);
  Recount(*job);
  return {};
}

Result<void> JobTable::ApplyEntry(const JobHeld& aEntry)
{
  JobRecord* job = FindJob(aEntry.mJob);
  if (!job)
    return MakeFailure(FailureKind::NotFound, aEntry.mJob);
  const TaskEvent event = aEntry.mHeld ? TaskEvent::Hold : TaskEvent::Release;
  for (TaskRecord& task : job->mTasks)
    if (const auto next = FindNextState(task.mState, event))
      SetState(*job, task, *next);
  job->mAt = mAt;
  job->mReason = aEntry.mReason;
  job->mNotBefore = TimePoint{};
  Recount(*job);
  return {};
}

Result<void> JobTable::ApplyEntry(const ShardFenced&)
{
  return {};
}

void JobTable::SetState(JobRecord& aJob, TaskRecord& aTask, TaskState aNext)
{
  assert(!IsFinal(aTask.mState) && "a final task state can't change: call FindNextState first");
  aTask.mState = aNext;
  aTask.mPlacing = false;
  if (!HoldsWorker(aNext))
    aTask.mNeed = {};
  if (!HoldsWorker(aNext) && aTask.mRetiring.mAttempt != 0 && aNext != TaskState::Waiting)
    aTask.mStopAgain = TimePoint{};
  aJob.mAt = mAt;
}

// Recomputes the counts from the states of all tasks. Incremental counts could drift, and a job
// with a wrong count would never be placed or finished.
void JobTable::Recount(JobRecord& aJob)
{
  const JobId& id = aJob.mSpec.mId;
  const bool wasOpen = mActiveJobs.contains(id);
  aJob.mOpen = 0;
  aJob.mWaiting = 0;
  for (const TaskRecord& task : aJob.mTasks) {
    if (!IsFinal(task.mState) || task.mRetiring.mAttempt != 0)
      ++aJob.mOpen;
    if (task.mState == TaskState::Waiting)
      ++aJob.mWaiting;
  }
  if (aJob.mWaiting > 0)
    mWaitingJobs.insert(id);
  else
    mWaitingJobs.erase(id);
  if (aJob.mOpen > 0) {
    mActiveJobs.insert(id);
    return;
  }
  mActiveJobs.erase(id);
  if (!wasOpen)
    return;
  mFinished[mAt].push_back(id);
  ++mFinishedCount;
  DropOldFinished();
}

// Drops the jobs that finished first. The choice depends on the journal alone, so that every replay
// drops the same jobs.
void JobTable::DropOldFinished()
{
  while (mFinishedCount > kMaxFinishedJobs) {
    auto it = mFinished.begin();
    mJobs.erase(it->second.front());
    it->second.erase(it->second.begin());
    if (it->second.empty())
      mFinished.erase(it);
    --mFinishedCount;
  }
}

std::optional<TaskEnded> JobTable::DecideEnd(const TaskReport& aReport) const
{
  const JobRecord* job = Find(aReport.mTask.mJob);
  if (!job || aReport.mTask.mIndex >= job->mTasks.size() || aReport.mEnd == TaskEnd::Running)
    return std::nullopt;
  const TaskRecord& task = job->mTasks[aReport.mTask.mIndex];
  TaskEnded ended{
    aReport.mTask, aReport.mAttempt, aReport.mEnd, TaskState::Waiting, aReport.mUsed
  };
  if (task.mRetiring.mAttempt != 0 && aReport.mAttempt == task.mRetiring.mAttempt)
    return ended;
  if (aReport.mAttempt != task.mAttempt || !HoldsWorker(task.mState))
    return std::nullopt;
  RestartContext facts;
  facts.mKind = job->mSpec.mKind;
  facts.mEnd = aReport.mEnd;
  facts.mRepeatable = job->mSpec.mRepeatable;
  facts.mCancelled = job->mCancelled;
  const bool isNew = std::ranges::find(task.mFailedOn, task.mWorker) == task.mFailedOn.end();
  facts.mDistinctWorkers = static_cast<std::uint32_t>(task.mFailedOn.size()) + (isNew ? 1 : 0);
  facts.mFailures = task.mFailures + 1;
  facts.mMaxAttempts = job->mSpec.mMaxAttempts;
  ended.mNext = DecideAfterEnd(facts);
  return ended;
}

}  // namespace monsoon
