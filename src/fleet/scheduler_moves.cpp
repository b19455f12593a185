// Scheduler: moves of stragglers.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

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
constexpr Duration kReviewInterval = milliseconds(40);  // speeds are measured over longer windows

Duration Multiply(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

}  // namespace

struct Scheduler::SpeedCounts
{
  std::size_t mSlow = 0;
  std::size_t mNormal = 0;
};

struct Scheduler::StageSpeed : SpeedCounts
{
  std::vector<Duration> mWork{};  // implied by the speed of its runs
  Duration mRunTime{};            // of its tasks on a worker with factor 1
};

struct Scheduler::MeasuredRun
{
  Worker* mWorker = nullptr;
  std::size_t mRun = 0;  // index
  StageSpeed* mStage = nullptr;
  bool mIsSlow = false;
  [[nodiscard]] Run& GetRun() const { return mWorker->mRuns[mRun]; }
};

void Scheduler::MoveTask(Worker& aWorker,
                         Run& aRun,
                         Task& aTask,
                         Duration aExpected,
                         TimePoint aNow)
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
        { "expected_ms", aExpected },
        { "factor", aWorker.mRunTimeFactor },
        { "seen_ago_ms", aNow - aRun.mProgress.mWindowStart } });
}

// Lists the runs whose speed is known, and adds what that implies of their stages.
std::vector<Scheduler::MeasuredRun> Scheduler::ListMeasuredRuns(StageSpeeds& aStages)
{
  std::vector<MeasuredRun> runs;
  for (auto& [id, worker] : mWorkers) {
    for (std::size_t n = 0; n < worker.mRuns.size(); ++n) {
      const Run& run = worker.mRuns[n];
      if (!run.mKnown || run.mPhase != RunPhase::Running || run.mProgress.mPercentPerMs < 0 ||
          run.mEstimate <= Duration::zero())
        continue;
      const StageRun* stageRun = FindStage(run.mRef);
      if (!stageRun)
        continue;
      auto [it, inserted] = aStages.try_emplace(stageRun);
      if (inserted)
        for (const SpeedSample& sample : stageRun->mSamples)
          it->second.mWork.push_back(GetWork(sample));
      const double percentPerMs = run.mProgress.mPercentPerMs * worker.mRunTimeFactor;
      if (percentPerMs > 0)
        it->second.mWork.push_back(Multiply(milliseconds(1), 100 / percentPerMs));
      runs.push_back({ &worker, n, &it->second });
    }
  }
  return runs;
}

// Returns how long tasks of the run's stage take on a worker with factor 1: as its other runs show
// or, while they are few, at most as long as estimates of its kind have been wrong by.
Duration Scheduler::ExpectRunTime(const Run& aRun, std::vector<Duration> aWork) const
{
  const Duration typical = EstimateStage(std::move(aWork));
  const Job* job = FindJob(aRun.mRef.mJob);
  if (typical > Duration::zero() || !job)
    return std::max<Duration>(typical, kMinEstimate);
  const std::string kind = GetEstimateKind(*job, aRun.mRef.mStage);
  return Multiply(aRun.mEstimate, mEstimateErrors.GetUpperFactor(kind));
}

// Moves a straggler if a new run is expected to end sooner. Prefers other workers for a while.
void Scheduler::ReviewStraggler(const MeasuredRun& aRun, TimePoint aNow)
{
  Worker& worker = *aRun.mWorker;
  Run& run = aRun.GetRun();
  Job* job = FindJobMutable(run.mRef.mJob);
  Task* task = job ? FindTask(run.mRef) : nullptr;
  if (!task || task->mDone || task->mWorker != worker.mEntry.mId || task->mRun != run.mRun ||
      task->mMoves >= kMaxMoves)
    return;
  worker.mSlowUntil = aNow + kSlowDuration;
  const std::optional<QueueTerms>& terms = job->mSpec.mTerms;
  const StageSpec& spec = job->mSpec.mStages[run.mRef.mStage];
  if (!terms)
    return;
  const Ready ready{ job, &*terms, ChooseService(*job), &spec, FindStage(run.mRef), run.mRef };
  const Worker* target = PickWorker(ready, *task, aNow);
  const bool hasTarget = target && target != &worker && aNow >= target->mSlowUntil;
  if (!hasTarget && !terms->mNeedsAdvice)
    return;
  const Duration overhead =
    hasTarget ? kMoveOverhead : kMoveOverhead + terms->mAdviceBase + 30 * terms->mAdvicePerWorker;
  const double saved = spec.mCheckpointed && !spec.mSpeculative ? run.mProgress.mPercent : 0;
  const Duration expected = Multiply(aRun.mStage->mRunTime, hasTarget ? target->mRunTimeFactor : 1);
  if (IsRestartSooner(run.mProgress, expected, saved, overhead))
    MoveTask(worker, run, *task, expected, aNow);
}

// Moves stragglers off slow workers where a new run is expected to end sooner. A straggler is left
// alone when its task seems to be long instead: other tasks on its worker run at normal speed, or
// its stage has several stragglers and more of them than tasks of normal speed.
void Scheduler::PlanMoves(TimePoint aNow)
{
  if (aNow - mMovesAt < kReviewInterval)
    return;
  mMovesAt = aNow;
  StageSpeeds stages;
  std::unordered_map<const Worker*, SpeedCounts> byWorker;
  std::vector<MeasuredRun> runs = ListMeasuredRuns(stages);
  for (MeasuredRun& it : runs) {
    StageSpeed& stage = *it.mStage;
    if (stage.mRunTime == Duration::zero())
      stage.mRunTime = ExpectRunTime(it.GetRun(), std::move(stage.mWork));
    const Duration expected = Multiply(stage.mRunTime, it.mWorker->mRunTimeFactor);
    it.mIsSlow = IsStraggler(it.GetRun().mProgress, expected);
    SpeedCounts& here = byWorker[it.mWorker];
    ++(it.mIsSlow ? stage.mSlow : stage.mNormal);
    ++(it.mIsSlow ? here.mSlow : here.mNormal);
  }
  for (const MeasuredRun& it : runs) {
    if (!it.mIsSlow || !it.mWorker->mReachable || !it.mWorker->mFenced || it.GetRun().mDetached ||
        byWorker[it.mWorker].mNormal >= kMinNormalRuns ||
        (it.mStage->mSlow >= kMinSlowStageStragglers && it.mStage->mSlow > it.mStage->mNormal))
      continue;
    ReviewStraggler(it, aNow);
  }
}

}  // namespace monsoon::fleet
