// Scheduler: running tasks: stops, speculative copies.
#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

namespace {

// An unanswered stop order is sent again after this time.
constexpr Duration kStopRetryInterval = milliseconds(400);
// A worker that was unresponsive for this long gets its tasks copied. A single lost answer is
// noticed sooner, and causes no copies.
constexpr Duration kCopyDelay = milliseconds(300);

}  // namespace

void Scheduler::PlanStops(TimePoint aNow, Orders& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mReachable)
      continue;
    for (Run& run : worker.mRuns) {
      if (run.mStopAckedAt != TimePoint{} || aNow - run.mStopSentAt < kStopRetryInterval)
        continue;
      bool mustStop = run.mPhase == RunPhase::Stopping;
      if (!run.mKnown)
        mustStop = mustStop || FindJob(run.mRef.mJob) || IsOrphan(run.mProgressAt, aNow);
      else if (!mustStop) {
        const Job* job = FindJob(run.mRef.mJob);
        const Task* task = job ? FindTask(*job, run.mRef) : nullptr;
        // A completed task is not stopped unless it is speculative: the worker reports its end,
        // which releases its capacity.
        mustStop =
          !job || !task || job->mState == JobState::Cancelled || job->mState == JobState::Failed ||
          (!task->mDone && !run.mDetached && (task->mWorker != id || task->mRun != run.mRun)) ||
          (task->mDone && job->mSpec.mStages[run.mRef.mStage].mSpeculative) ||
          (run.mPhase == RunPhase::Unconfirmed && worker.mReportRequestedAt > run.mSentAt);
      }
      if (!mustStop || run.mPhase == RunPhase::Starting)
        continue;
      run.mPhase = RunPhase::Stopping;
      run.mStopSentAt = aNow;
      aOrders.mStops.push_back({ id, run.mTask, run.mRun, aNow });
    }
  }
}

// Lets the speculative tasks of unresponsive workers start elsewhere as well: the worker may be
// gone, and a copy costs nothing but capacity. Also requests the stored task lists of these
// workers.
void Scheduler::PlanCopies(TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    // Until a worker has answered in this epoch, it is unknown which tasks it runs.
    if (worker.mReachable || !worker.mFenced || aNow - worker.mUnresponsiveSince < kCopyDelay)
      continue;
    worker.mFinalWanted = !worker.mFinalTasks.has_value();
    for (Run& run : worker.mRuns) {
      const Job* job = run.mKnown && !run.mDetached ? FindJob(run.mRef.mJob) : nullptr;
      Task* task = job ? FindTask(run.mRef) : nullptr;
      if (!task || !job->mSpec.mStages[run.mRef.mStage].mSpeculative || task->mDone ||
          task->mWorker != id || task->mRun != run.mRun)
        continue;
      if (!MayStartCopy(task->mCrashes, GetUnresolved(run.mRef)))
        continue;  // its workers may have crashed because of it
      DetachRun(run, *task);
    }
  }
}

// Keeps a run going and lets another run of its task start elsewhere.
void Scheduler::DetachRun(Run& aRun, Task& aTask)
{
  aRun.mDetached = true;
  aTask.mWorker.clear();
  ++FindStage(aRun.mRef)->mWaiting;
}

}  // namespace monsoon::fleet
