#include "controllers/supervision_state.h"

#include <algorithm>

namespace monsoon {

namespace {

// A worker that has not answered for this long gets no more renewals: its leases expire, and its
// tasks may be repeated elsewhere.
constexpr Duration kUnresponsiveAfter = seconds(5);
// Longest lease and start deadline that any previous owner may have granted.
constexpr Duration kMaxLease = seconds(30);
constexpr std::size_t kMaxSettled = 100000;

Duration AddDrift(Duration aValue)
{
  return std::chrono::duration_cast<Duration>(aValue * (1 + kClockDrift));
}

}  // namespace

SupervisionState::SupervisionState(Epoch aEpoch, TimePoint aNow)
  : mEpoch(aEpoch)
  , mSince(aNow)
  , mLeaseUntil(aNow + AddDrift(kMaxLease) + kWorkerTransit)
  , mLastAnswer(aNow)
{
}

Result<void> SupervisionState::BeginStart(const Attempt& aAttempt, TimePoint aStartUntil)
{
  if (mSettled.contains(aAttempt))
    return MakeFailure(FailureKind::Fenced, "a query has settled that the attempt does not start");
  SupervisedTask task;
  task.mStartUntil = aStartUntil;
  task.mStartEnded = TimePoint::max();
  if (!mTasks.emplace(aAttempt, task).second)
    return MakeFailure(FailureKind::AlreadyExists, "the attempt was started before");
  return {};
}

void SupervisionState::EndStart(const Attempt& aAttempt, const Failure* aFailure, TimePoint aNow)
{
  auto it = mTasks.find(aAttempt);
  if (it == mTasks.end())
    return;
  it->second.mStartEnded = aNow;
  if (aFailure == nullptr) {
    it->second.mConfirmed = true;
    it->second.mRunningReported = true;  // by the reply to the start
    return;
  }
  const bool refused = aFailure->mKind == FailureKind::EndpointRefused ||
                       aFailure->mKind == FailureKind::EndpointUnreachable;
  if (refused && !it->second.mConfirmed && it->second.mEnd == TaskEnd::Running)
    mTasks.erase(it);
}

std::vector<SupervisionState::Attempt> SupervisionState::ListRenewals(TimePoint aNow) const
{
  std::vector<Attempt> renewals;
  if (aNow - mLastAnswer > kUnresponsiveAfter)
    return renewals;
  for (const auto& [attempt, task] : mTasks)
    if (task.mEnd == TaskEnd::Running && !task.mDisowned)
      renewals.push_back(attempt);
  return renewals;
}

std::vector<SupervisionState::Attempt> SupervisionState::ListAcknowledgements() const
{
  std::vector<Attempt> attempts;
  for (const auto& [attempt, task] : mTasks)
    if (task.mReported && task.mEnd != TaskEnd::Running)
      attempts.push_back(attempt);
  return attempts;
}

void SupervisionState::NoteLease(TimePoint aSentAt,
                                 Duration aLease,
                                 Duration aDeadline,
                                 bool aReached)
{
  if (aReached)
    mLeaseUntil = std::max(mLeaseUntil, aSentAt + aDeadline + kWorkerTransit + AddDrift(aLease));
}

void SupervisionState::End(const Attempt& aAttempt, TaskEnd aEnd, std::vector<Attempt>& aEnded)
{
  SupervisedTask& task = mTasks[aAttempt];
  if (task.mEnd != TaskEnd::Running)
    return;
  task.mEnd = aEnd;
  aEnded.push_back(aAttempt);
}

void SupervisionState::ApplyTask(const WorkerTask& aTask,
                                 bool aSameIncarnation,
                                 std::vector<Attempt>& aEnded)
{
  const Attempt attempt{ aTask.mTask, aTask.mAttempt };
  auto it = mTasks.find(attempt);
  // Not tracked: found on the worker, settled, or already acknowledged and dropped.
  if (it == mTasks.end())
    it = mTasks.emplace(attempt, SupervisedTask{}).first;
  SupervisedTask& task = it->second;
  task.mConfirmed = true;
  task.mUsed = aTask.mUsed;
  task.mRan = aTask.mRan;
  if (aTask.mEnd != TaskEnd::Running && aSameIncarnation) {
    End(attempt, aTask.mEnd, aEnded);
    return;
  }
  // It was declared lost or settled, so it may run elsewhere by now.
  if (aTask.mEnd == TaskEnd::Running &&
      (task.mEnd != TaskEnd::Running || mSettled.contains(attempt)))
    task.mDisowned = true;
}

std::vector<SupervisionState::Attempt> SupervisionState::ApplyInventory(const Inventory& aInventory,
                                                                        TimePoint aSentAt,
                                                                        TimePoint aNow)
{
  std::vector<Attempt> ended;
  mLastAnswer = std::max(mLastAnswer, aNow);
  if (aSentAt < mReadSentAt)
    return ended;  // out of order: a read that was sent later is already applied
  mReadSentAt = aSentAt;
  const bool restarted = mRead && mIncarnation != aInventory.mIncarnation;
  mIncarnation = aInventory.mIncarnation;
  mRead = true;
  mFenced = mFenced || aInventory.mHighestEpoch == mEpoch || aSentAt >= mSince + kTaskStartWithin;
  std::set<Attempt> listed;
  for (const WorkerTask& it : aInventory.mTasks) {
    listed.insert({ it.mTask, it.mAttempt });
    ApplyTask(it, true, ended);
  }
  std::vector<Attempt> absent;
  for (const auto& [attempt, task] : mTasks)
    if (!listed.contains(attempt))
      absent.push_back(attempt);
  for (const Attempt& attempt : absent) {
    SupervisedTask& task = mTasks[attempt];
    const bool startReturned = task.mStartEnded < aSentAt;
    task.mInDoubt = task.mInDoubt || restarted;
    if (task.mReported && task.mEnd != TaskEnd::Running)
      mTasks.erase(attempt);  // the worker has forgotten it after the acknowledgement
    else if (startReturned && (task.mConfirmed || task.mInDoubt))
      End(attempt, TaskEnd::Unknown, ended);  // it ran, or may have, and the worker lost it
    else if (!task.mConfirmed && startReturned && task.mStartUntil < aSentAt)
      // Had it started it would be listed: workers keep ended tasks until they are acknowledged.
      End(attempt, TaskEnd::NeverStarted, ended);
  }
  return ended;
}

void SupervisionState::DropAcknowledged(const std::vector<Attempt>& aAcknowledged)
{
  for (const Attempt& it : aAcknowledged) {
    auto task = mTasks.find(it);
    if (task != mTasks.end() && task->second.mReported && !task->second.mDisowned)
      mTasks.erase(task);
  }
}

std::vector<SupervisionState::Attempt> SupervisionState::DeclareLost(TimePoint aNow)
{
  std::vector<Attempt> ended;
  if (aNow - mLastAnswer <= kUnresponsiveAfter || aNow < mLeaseUntil)
    return ended;
  std::vector<Attempt> running;
  for (const auto& [attempt, task] : mTasks)
    if (task.mEnd == TaskEnd::Running && task.mStartEnded < aNow)
      running.push_back(attempt);
  for (const Attempt& attempt : running)
    End(attempt, TaskEnd::Unknown, ended);
  return ended;
}

std::vector<TaskReport> SupervisionState::ListReports(const WorkerName& aWorker) const
{
  std::vector<TaskReport> reports;
  for (const auto& [attempt, task] : mTasks) {
    const bool ended = task.mEnd != TaskEnd::Running;
    const bool reported = ended ? task.mReported : task.mRunningReported || !task.mConfirmed;
    if (!reported)
      reports.push_back(
        { attempt.first, attempt.second, aWorker, task.mEnd, task.mUsed, task.mRan });
  }
  return reports;
}

void SupervisionState::NoteReported(const TaskReport& aReport)
{
  auto it = mTasks.find({ aReport.mTask, aReport.mAttempt });
  if (it == mTasks.end())
    return;
  if (aReport.mEnd == TaskEnd::Running)
    it->second.mRunningReported = true;
  else
    it->second.mReported = true;
}

Result<TaskReports> SupervisionState::Answer(const TaskQuery& aQuery, TimePoint aNow)
{
  // Before the first inventory, and while a previous owner's starts may still arrive, it proves
  // nothing that an attempt is not tracked here. For a worker that never answers, attempts are
  // settled once all leases have expired.
  const bool leasesExpired = aNow - mLastAnswer > kUnresponsiveAfter && aNow >= mLeaseUntil;
  if (!mFenced && !leasesExpired)
    return MakeFailure(FailureKind::NotReady,
                       "no inventory was read yet that rules out starts of a previous owner");
  TaskReports reports;
  for (const Attempt& attempt : aQuery.mAttempts) {
    TaskReport report{ attempt.first, attempt.second, aQuery.mWorker };
    auto it = mTasks.find(attempt);
    if (it != mTasks.end()) {
      // Its start is pending or in doubt: leave it out of this answer.
      if (it->second.mEnd == TaskEnd::Running && !it->second.mConfirmed)
        continue;
      report.mEnd = it->second.mEnd;
      report.mUsed = it->second.mUsed;
      report.mRan = it->second.mRan;
      reports.mReports.push_back(std::move(report));
      continue;
    }
    // Only the owner under whose epoch the attempt was assigned knows that it never sent the start.
    report.mEnd = aQuery.mEpoch == mEpoch ? TaskEnd::NeverStarted : TaskEnd::Unknown;
    if (mSettled.size() >= kMaxSettled)
      return MakeFailure(FailureKind::NotReady, "too many attempts are settled");
    mSettled.insert(attempt);
    reports.mReports.push_back(std::move(report));
  }
  return reports;
}

std::vector<SupervisionState::Attempt> SupervisionState::ListDisowned() const
{
  std::vector<Attempt> attempts;
  for (const auto& [attempt, task] : mTasks)
    if (task.mDisowned)
      attempts.push_back(attempt);
  return attempts;
}

}  // namespace monsoon
