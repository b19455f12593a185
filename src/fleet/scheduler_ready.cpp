// Scheduler: which stages have tasks that may be placed now, and in which order.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

// Tickets for lasting tasks are obtained this long before the wait of a takeover ends.
constexpr Duration kTicketLead = milliseconds(1200);

}  // namespace

bool Scheduler::MayRunSomewhere(const TaskRef& aRef) const
{
  return !mPossiblyRunning.empty() && mPossiblyRunning.contains(FormatTask(aRef));
}

// Returns whether all stages that this one waits for have completed.
bool Scheduler::IsStageUnblocked(const Job& aJob,
                                 const Occurrence& aOccurrence,
                                 std::uint32_t aStage)
{
  const std::vector<std::uint32_t>& after = aJob.mSpec.mStages[aStage].mAfter;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aIndex) {
    return aIndex < aOccurrence.mStages.size() &&
           aOccurrence.mStages[aIndex].mDone == aOccurrence.mStages[aIndex].mTasks.size();
  });
}

bool Scheduler::IsStageReady(const Job& aJob,
                             const Occurrence& aOccurrence,
                             std::uint32_t aStage) const
{
  const StageRun& stage = aOccurrence.mStages[aStage];
  if (stage.mWaiting == 0)
    return false;
  const StageSpec& spec = aJob.mSpec.mStages[aStage];
  if (spec.mGang && stage.mWaiting < stage.mTasks.size() && !IsGangRepairable(stage))
    return false;
  return IsStageUnblocked(aJob, aOccurrence, aStage);
}

// Returns whether the missing members of a gang's run can still be started with the same run
// number: each other member is on a worker, and the missing ones never started.
bool Scheduler::IsGangRepairable(const StageRun& aStage)
{
  std::uint64_t run = 0;
  for (const Task& it : aStage.mTasks)
    run = std::max(run, it.mRun);
  return std::all_of(aStage.mTasks.begin(), aStage.mTasks.end(), [run](const Task& aItem) {
    return !aItem.mDone && aItem.mRun == run && (!aItem.mWorker.empty() || aItem.mNeverRan);
  });
}

// Returns whether a waiting task of the stage has run before.
bool Scheduler::HasRunBefore(const StageRun& aStage)
{
  return std::any_of(aStage.mTasks.begin(), aStage.mTasks.end(), [](const Task& aItem) {
    return aItem.mWorker.empty() && aItem.mSeenAt != TimePoint{};
  });
}

std::vector<Scheduler::Ready> Scheduler::CollectReady(TimePoint aNow, std::int64_t aWallMs)
{
  std::vector<Ready> ready;
  // Tasks of an earlier epoch may still run on workers that have not answered in this one. If one
  // of these has no stored task list, no inherited job is ready.
  std::size_t unresolved = 0;
  TimePoint heldUntil{};
  mPossiblyRunning.clear();
  for (const auto& [id, worker] : mWorkers) {
    if (!IsUnresolved(worker))
      continue;
    if (worker.mFinalTasks) {
      mPossiblyRunning.insert(worker.mFinalTasks->begin(), worker.mFinalTasks->end());
    } else {
      ++unresolved;
      heldUntil = std::max(heldUntil, GetLeaseExpiry(worker));
    }
  }
  const bool isResolved = unresolved == 0;
  if (mHoldsInherited == isResolved) {
    mHoldsInherited = !isResolved;
    Log(LogPart::Place,
        LogLevel::Info,
        isResolved ? "jobs of earlier epochs may start tasks again"
                   : "jobs of earlier epochs wait for workers that have not answered",
        { { "workers", unresolved }, { "epoch", mSettings.mEpoch } });
  }
  for (const auto& [id, active] : mActive) {
    Job& job = *active;
    // Of held jobs, lasting stages obtain their tickets: as soon as the hold ends, other tasks take
    // the free capacity.
    const bool isHeld = job.mInherited && !isResolved;
    if (isHeld && heldUntil - aNow > kTicketLead)
      continue;
    if (!job.mSpec.mTerms)
      continue;  // until a configuration is read
    const QueueTerms& terms = *job.mSpec.mTerms;
    const std::string_view service = ChooseService(job);
    for (std::uint32_t k = 0; k < job.mOccurrences.size(); ++k) {
      Occurrence& occurrence = job.mOccurrences[k];
      if (!occurrence.mStarted) {
        if (isHeld || aWallMs < job.mSpec.mFirstMs + std::int64_t{ k } * job.mSpec.mIntervalMs)
          break;
        MakeOccurrence(job, k, aNow);
        job.mDueAt = aNow + EstimateTarget(job.mSpec.mStages, terms);
      }
      for (std::uint32_t n = 0; n < occurrence.mStages.size(); ++n) {
        if (!IsStageReady(job, occurrence, n))
          continue;
        const StageSpec& spec = job.mSpec.mStages[n];
        if (isHeld && !spec.mLongRunning)
          continue;
        ready.push_back(
          { &job, &terms, service, &spec, &occurrence.mStages[n], TaskRef{ id, k, n, 0 } });
        ready.back().mIsRestart =
          spec.mLongRunning && (job.mInherited || HasRunBefore(occurrence.mStages[n]));
        ready.back().mIsHeld = isHeld;
      }
    }
  }
  // Lasting tasks that ran before come first: they are few, and have to be back soon however many
  // urgent jobs ask for policy calls.
  std::sort(ready.begin(), ready.end(), [](const Ready& aLeft, const Ready& aRight) {
    if (aLeft.mIsRestart != aRight.mIsRestart)
      return aLeft.mIsRestart;
    if (aLeft.mTerms->mPriority != aRight.mTerms->mPriority)
      return aLeft.mTerms->mPriority < aRight.mTerms->mPriority;
    return aLeft.mJob->mDueAt < aRight.mJob->mDueAt;
  });
  return ready;
}

}  // namespace monsoon::fleet
