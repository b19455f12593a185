// Scheduler: running tasks: stops, speculative copies, moves of stragglers.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

// An unanswered stop order is sent again after this time.
constexpr Duration kStopRetryInterval = milliseconds(400);
// A worker that was unresponsive for this long gets its tasks copied. A single lost answer is
// noticed sooner, and causes no copies.
constexpr Duration kCopyDelay = milliseconds(300);
// Duration of a stop, the report of its end, and a start.
constexpr Duration kMoveOverhead = milliseconds(300);
// A task that was moved this often is slow itself, not its workers.
constexpr std::uint32_t kMaxMoves = 2;
// Other workers are preferred for this long after a straggler was found on a worker.
constexpr Duration kSlowDuration = milliseconds(1500);
// A stage with this many stragglers, and fewer tasks of normal speed, is slow itself.
constexpr std::size_t kMinSlowStageStragglers = 3;
// With this many tasks of normal speed on a straggler's worker, the task is slow, not the worker.
constexpr std::size_t kMinNormalRuns = 2;

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

void Scheduler::MoveTask(Worker& aWorker, Run& aRun, Task& aTask, TimePoint aNow)
{
  const StageSpec& spec = FindJob(aRun.mRef.mJob)->mSpec.mStages[aRun.mRef.mStage];
  ++aTask.mMoves;
  aTask.mFailedOn.push_back(aWorker.mEntry.mId);
  if (spec.mSpeculative)
    DetachRun(aRun, aTask);
  else
    aRun.mPhase = RunPhase::Stopping;
  Log(LogPart::Place,
      LogLevel::Info,
      spec.mSpeculative ? "copying a straggler to another worker"
                        : "moving a straggler to another worker",
      { { "task", aRun.mTask },
        { "run", aRun.mRun },
        { "worker", aWorker.mEntry.mId },
        { "percent", aRun.mProgress.mPercent },
        { "percent_per_s", 1000 * aRun.mProgress.mPercentPerMs },
        { "estimate_ms", aRun.mEstimate },
        { "seen_ago_ms", aNow - aRun.mProgress.mWindowStart } });
}

// Moves stragglers off slow workers where a new run is expected to end sooner. A straggler is left
// alone when its estimate seems to be too short instead: other tasks on its worker run at normal
// speed, or its stage has several stragglers and more of them than tasks of normal speed.
void Scheduler::PlanMoves(TimePoint aNow)
{
  struct SpeedCounts
  {
    std::size_t mSlow = 0;
    std::size_t mNormal = 0;
  };
  struct Straggler
  {
    Worker* mWorker = nullptr;
    std::size_t mRun = 0;
    const StageRun* mStage = nullptr;
  };
  std::unordered_map<const StageRun*, SpeedCounts> byStage;
  std::unordered_map<const Worker*, SpeedCounts> byWorker;
  std::vector<Straggler> stragglers;
  for (auto& [id, worker] : mWorkers) {
    for (std::size_t n = 0; n < worker.mRuns.size(); ++n) {
      const Run& run = worker.mRuns[n];
      if (!run.mKnown || run.mPhase != RunPhase::Running || run.mProgress.mPercentPerMs < 0 ||
          run.mEstimate <= Duration::zero())
        continue;
      const StageRun* stageRun = FindStage(run.mRef);
      if (!stageRun)
        continue;
      const bool isSlow = IsStraggler(run.mProgress, run.mEstimate);
      SpeedCounts& stage = byStage[stageRun];
      SpeedCounts& here = byWorker[&worker];
      ++(isSlow ? stage.mSlow : stage.mNormal);
      ++(isSlow ? here.mSlow : here.mNormal);
      if (isSlow && worker.mReachable && worker.mFenced && !run.mDetached)
        stragglers.push_back({ &worker, n, stageRun });
    }
  }
  for (const auto& [worker, n, stageRun] : stragglers) {
    Run& run = worker->mRuns[n];
    const SpeedCounts& stage = byStage[stageRun];
    const Job* job = FindJob(run.mRef.mJob);
    Task* task = job ? FindTask(run.mRef) : nullptr;
    if (!task || task->mDone || task->mWorker != worker->mEntry.mId || task->mRun != run.mRun ||
        task->mMoves >= kMaxMoves || byWorker[worker].mNormal >= kMinNormalRuns ||
        (stage.mSlow >= kMinSlowStageStragglers && stage.mSlow > stage.mNormal))
      continue;
    worker->mSlowUntil = aNow + kSlowDuration;
    const std::optional<QueueTerms>& terms = job->mSpec.mTerms;
    const StageSpec& spec = job->mSpec.mStages[run.mRef.mStage];
    if (!terms)
      continue;
    const Ready ready{ FindJobMutable(run.mRef.mJob), &*terms, ChooseService(*job), &spec,
                       FindStage(run.mRef),           run.mRef };
    const Worker* target = PickWorker(ready, *task, aNow);
    const bool hasTarget = target && target != worker && aNow >= target->mSlowUntil;
    if (!hasTarget && !terms->mNeedsAdvice)
      continue;
    const Duration overhead =
      hasTarget ? kMoveOverhead : kMoveOverhead + terms->mAdviceBase + 30 * terms->mAdvicePerWorker;
    const double saved = spec.mCheckpointed && !spec.mSpeculative ? run.mProgress.mPercent : 0;
    if (IsRestartSooner(run.mProgress, run.mEstimate, saved, overhead))
      MoveTask(*worker, run, *task, aNow);
  }
}

}  // namespace monsoon::fleet
