// What happens to tasks that run: stops, copies, moves, pace.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kRepeatStop = milliseconds(400);  // a stop without an answer is sent again
constexpr Duration kCopyAfter = milliseconds(300);   // of silence; a lost answer is noticed sooner
constexpr Duration kMoveTime = milliseconds(300);    // a stop, its report, and a start
constexpr std::uint32_t kMostMoves = 2;              // of one task: then it is slow itself
constexpr Duration kSlowFor = milliseconds(1500);    // since stragglers were seen on a worker
constexpr std::size_t kSlowStage = 3;  // stragglers of one stage: then the stage is slow itself
constexpr std::size_t kNormalRuns =
  2;  // others of normal speed on its worker: then the task is slow

}  // namespace

void Scheduler::PlanStops(TimePoint aNow, Orders& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mReachable)
      continue;
    for (Run& run : worker.mRuns) {
      if (run.mStopAckedAt != TimePoint{} || aNow - run.mStopSentAt < kRepeatStop)
        continue;
      bool mustStop = run.mPhase == RunPhase::Stopping;
      if (!run.mKnown)
        mustStop = mustStop || FindJob(run.mRef.mJob) || aNow - run.mProgressAt > kOrphanAge;
      else if (!mustStop) {
        const Job* job = FindJob(run.mRef.mJob);
        const Task* task = FindTask(run.mRef);
        // An end of the worker's own says when a completed task's room is free.
        mustStop =
          !job || !task || job->mState == JobState::Cancelled || job->mState == JobState::Failed ||
          (!task->mDone && !run.mDetached && (task->mWorker != id || task->mRun != run.mRun)) ||
          (task->mDone && job->mSpec.mStages[run.mRef.mStage].mSpeculative) ||
          (run.mPhase == RunPhase::Unconfirmed && worker.mAnsweredAt > run.mSentAt);
      }
      if (!mustStop || run.mPhase == RunPhase::Starting)
        continue;
      run.mPhase = RunPhase::Stopping;
      run.mStopSentAt = aNow;
      aOrders.mStops.push_back({ id, run.mTask, run.mRun });
    }
  }
}

// Copies of a speculative task cost room only, and a worker that is silent may be gone.
void Scheduler::PlanCopies(TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    // Before it has answered this epoch, nobody here knows what it runs.
    if (worker.mReachable || !worker.mFenced || aNow - worker.mSilentSince < kCopyAfter)
      continue;
    worker.mFinalWanted = !worker.mFinalTasks.has_value();
    for (Run& run : worker.mRuns) {
      const Job* job = run.mKnown && !run.mDetached ? FindJob(run.mRef.mJob) : nullptr;
      Task* task = job ? FindTask(run.mRef) : nullptr;
      if (!task || !job->mSpec.mStages[run.mRef.mStage].mSpeculative || task->mDone ||
          task->mWorker != id || task->mRun != run.mRun)
        continue;
      DetachRun(run, *task);
    }
  }
}

// The run goes on, and another one of its task may start elsewhere.
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
        { "seen_ago_ms", aNow - aRun.mProgress.mSeenAt } });
}

// Stragglers on a slow worker start again elsewhere, where that ends sooner. A stage with
// stragglers on several workers, or a straggler among tasks of normal speed, takes longer than its
// estimate.
void Scheduler::PlanMoves(TimePoint aNow)
{
  struct Speeds
  {
    std::size_t mSlow = 0;
    std::size_t mNormal = 0;
  };
  std::map<std::string, Speeds> byStage;
  std::map<std::string, Speeds> byWorker;
  std::vector<std::pair<Worker*, std::size_t>> stragglers;
  for (auto& [id, worker] : mWorkers) {
    for (std::size_t n = 0; n < worker.mRuns.size(); ++n) {
      const Run& run = worker.mRuns[n];
      if (!run.mKnown || run.mPhase != RunPhase::Running || run.mProgress.mPercentPerMs < 0 ||
          run.mEstimate <= Duration::zero())
        continue;
      const bool isSlow = IsStraggler(run.mProgress, run.mEstimate);
      Speeds& stage = byStage[FormatStage(run.mRef)];
      Speeds& here = byWorker[id];
      ++(isSlow ? stage.mSlow : stage.mNormal);
      ++(isSlow ? here.mSlow : here.mNormal);
      if (isSlow && worker.mReachable && worker.mFenced && !run.mDetached)
        stragglers.emplace_back(&worker, n);
    }
  }
  for (const auto& [worker, n] : stragglers) {
    Run& run = worker->mRuns[n];
    const Speeds& stage = byStage[FormatStage(run.mRef)];
    const Job* job = FindJob(run.mRef.mJob);
    Task* task = job ? FindTask(run.mRef) : nullptr;
    if (!task || task->mDone || task->mWorker != worker->mEntry.mId || task->mRun != run.mRun ||
        task->mMoves >= kMostMoves || byWorker[worker->mEntry.mId].mNormal >= kNormalRuns ||
        (stage.mSlow >= kSlowStage && stage.mSlow > stage.mNormal))
      continue;
    worker->mSlowUntil = aNow + kSlowFor;
    const QueueConfig* queue = FindQueue(job->mSpec.mQueue);
    const StageSpec& spec = job->mSpec.mStages[run.mRef.mStage];
    if (!queue)
      continue;
    const Ready ready{ FindJobMutable(run.mRef.mJob), queue, &spec, FindStage(run.mRef), run.mRef };
    const Worker* target = PickWorker(ready, *task, aNow);
    const bool hasTarget = target && target != worker && aNow >= target->mSlowUntil;
    if (!hasTarget && !queue->mNeedsAdvice)
      continue;
    const Duration overhead =
      hasTarget ? kMoveTime : kMoveTime + queue->mAdviceBase + 30 * queue->mAdvicePerWorker;
    const double saved = spec.mCheckpointed && !spec.mSpeculative ? run.mProgress.mPercent : 0;
    if (IsRestartSooner(run.mProgress, run.mEstimate, saved, overhead))
      MoveTask(*worker, run, *task, aNow);
  }
}

void Scheduler::PlanPace(Orders& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    bool isNear = false;  // a serving task is close to its target
    for (const Run& run : worker.mRuns)
      isNear = isNear || (run.mLatencyTargetMs > 0 &&
                          run.mTailLatencyMs > 0.8 * double(run.mLatencyTargetMs));
    for (Run& run : worker.mRuns) {
      const std::uint32_t pace = isNear ? 0 : 100;
      if (!run.mFiller || run.mPhase != RunPhase::Running || run.mPace == pace)
        continue;
      run.mPace = pace;
      aOrders.mPaces.push_back({ id, run.mTask, run.mRun, pace });
    }
  }
}

}  // namespace monsoon::fleet
