// Scheduler: starts of the tasks of ready stages, and the plan that all orders come from.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::uint64_t kRunsPerEpoch = 1000;  // run numbers reserved for a task in each epoch
// When there was no fast policy call for this long, slow calls may take all advisors.
constexpr Duration kFastAdviceIdle = seconds(2);

template<class T>
bool Contains(const std::vector<T>& aItems, const T& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

}  // namespace

void Scheduler::PlaceTask(const Ready& aReady,
                          std::uint32_t aIndex,
                          std::uint64_t aRun,
                          Worker& aWorker,
                          TimePoint aNow,
                          Orders& aOrders)
{
  Task& task = aReady.mStage->mTasks[aIndex];
  Run run;
  run.mRef = aReady.mRef;
  run.mRef.mIndex = aIndex;
  run.mTask = FormatTask(run.mRef);
  run.mKnown = true;
  run.mSized = true;
  run.mRun = aRun;
  run.mMilliCores = aReady.mSpec->mFiller ? 0 : aReady.mSpec->mMilliCores;
  run.mMemoryMiB = aReady.mSpec->mMemoryMiB;
  run.mAccelerators = aReady.mSpec->mAccelerators;
  run.mFiller = aReady.mSpec->mFiller;
  run.mLongRunning = aReady.mSpec->mLongRunning;
  run.mEstimate = GetProgressEstimate(*aReady.mSpec);
  run.mLatencyTargetMs = aReady.mSpec->mLatencyTargetMs;
  run.mSentAt = aNow;
  run.mProgressAt = aNow;
  ChargeTeam(run, *aReady.mJob);
  StartOrder order;
  order.mWorker = aWorker.mEntry.mId;
  order.mTask = run.mTask;
  order.mRun = aRun;
  order.mPayload = aReady.mJob->mSpec.mPayload;
  order.mCheckpoint = aReady.mSpec->mGang ? aReady.mStage->mGangCheckpoint : task.mCheckpoint;
  if (auto ticket = aReady.mStage->mTickets.find(order.mWorker);
      ticket != aReady.mStage->mTickets.end())
    order.mTicket = ticket->second.first;
  if (aReady.mSpec->mLongRunning && task.mSeenAt != TimePoint{})
    Log(LogPart::Place,
        LogLevel::Info,
        "starting a lasting task again",
        { { "task", order.mTask },
          { "run", aRun },
          { "worker", order.mWorker },
          { "away_ms", aNow - task.mSeenAt } });
  task.mWorker = order.mWorker;
  task.mRun = aRun;
  task.mNeverRan = false;
  --aReady.mStage->mWaiting;
  aWorker.mUsedMilliCores += run.mMilliCores;
  aWorker.mUsedMemoryMiB += run.mMemoryMiB;
  aWorker.mUsedAccelerators += run.mAccelerators;
  CountPlacement(aWorker, *aReady.mSpec, aNow);
  ++aWorker.mUnprovenCount;
  aWorker.mSuspectCount += IsSuspect(task, run.mRef) ? 1 : 0;
  aWorker.mRuns.push_back(std::move(run));
  aOrders.mStarts.push_back(std::move(order));
}

void Scheduler::PlaceStage(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  const std::uint64_t base = (mSettings.mEpoch - 1) * kRunsPerEpoch;
  for (std::uint32_t n = 0; n < aReady.mStage->mTasks.size(); ++n) {
    Task& task = aReady.mStage->mTasks[n];
    const TaskRef ref{ aReady.mRef.mJob, aReady.mRef.mOccurrence, aReady.mRef.mStage, n };
    if (task.mDone || !task.mWorker.empty() || MayRunSomewhere(ref) ||
        !MayStartAgain(task.mCrashes, GetUnresolved(ref)))
      continue;
    Worker* worker = IsWithinTeamLimit(aReady, 1) ? PickWorker(aReady, task, aNow) : nullptr;
    if (!worker)
      return;
    PlaceTask(aReady, n, std::max(task.mRun, base) + 1, *worker, aNow, aOrders);
  }
}

void Scheduler::PlaceGang(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  const StageSpec& spec = *aReady.mSpec;
  if (!IsWithinTeamLimit(aReady, aReady.mStage->mTasks.size()))
    return;
  std::uint64_t run = (mSettings.mEpoch - 1) * kRunsPerEpoch;
  for (std::uint32_t n = 0; n < aReady.mStage->mTasks.size(); ++n) {
    const TaskRef ref{ aReady.mRef.mJob, aReady.mRef.mOccurrence, aReady.mRef.mStage, n };
    if (MayRunSomewhere(ref) ||
        !MayStartAgain(aReady.mStage->mTasks[n].mCrashes, GetUnresolved(ref)))
      return;
  }
  std::vector<Worker*> hosts;
  for (const Task& task : aReady.mStage->mTasks) {
    run = std::max(run, task.mRun);
    Worker* worker = PickWorker(aReady, task, aNow);
    if (!worker)
      break;
    // Reserved while hosts are searched, so that the next member finds this capacity taken. Undone
    // below.
    worker->mUsedMilliCores += spec.mMilliCores;
    worker->mUsedMemoryMiB += spec.mMemoryMiB;
    worker->mUsedAccelerators += spec.mAccelerators;
    Run trial;
    trial.mRef = aReady.mRef;
    worker->mRuns.push_back(std::move(trial));
    hosts.push_back(worker);
  }
  for (Worker* worker : hosts) {
    worker->mUsedMilliCores -= spec.mMilliCores;
    worker->mUsedMemoryMiB -= spec.mMemoryMiB;
    worker->mUsedAccelerators -= spec.mAccelerators;
    worker->mRuns.pop_back();
  }
  if (hosts.size() < aReady.mStage->mTasks.size())
    return;
  for (std::uint32_t n = 0; n < hosts.size(); ++n)
    PlaceTask(aReady, n, run + 1, *hosts[n], aNow, aOrders);
}

void Scheduler::RepairGang(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  StageRun& stage = *aReady.mStage;
  if (stage.mGangBrokenAt == TimePoint{})
    stage.mGangBrokenAt = aNow;
  for (std::uint32_t n = 0; n < stage.mTasks.size(); ++n) {
    Task& task = stage.mTasks[n];
    if (!task.mWorker.empty() || !IsWithinTeamLimit(aReady, 1))
      continue;
    Worker* worker = PickWorker(aReady, task, aNow);
    if (worker && !Contains(task.mFailedOn, worker->mEntry.mId))
      PlaceTask(aReady, n, task.mRun, *worker, aNow, aOrders);
  }
  if (stage.mWaiting == 0) {
    stage.mGangBrokenAt = TimePoint{};
    return;
  }
  if (aNow - stage.mGangBrokenAt < mSettings.mGangWait / 2)
    return;
  Log(LogPart::Place,
      LogLevel::Warn,
      "a gang can't be completed; its members are stopped and start together later",
      { { "stage", FormatStage(aReady.mRef) }, { "missing", stage.mWaiting } });
  stage.mGangBrokenAt = TimePoint{};
  for (auto& [id, worker] : mWorkers)
    for (Run& run : worker.mRuns)
      if (run.mRef.mJob == aReady.mRef.mJob && run.mRef.mOccurrence == aReady.mRef.mOccurrence &&
          run.mRef.mStage == aReady.mRef.mStage && run.mPhase != RunPhase::Starting)
        run.mPhase = RunPhase::Stopping;
  for (Task& it : stage.mTasks)
    it.mNeverRan = false;
}

void Scheduler::PlaceReady(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  if (aReady.mSpec->mGang && aReady.mStage->mWaiting < aReady.mStage->mTasks.size())
    RepairGang(aReady, aNow, aOrders);
  else if (aReady.mSpec->mGang)
    PlaceGang(aReady, aNow, aOrders);
  else
    PlaceStage(aReady, aNow, aOrders);
}

Orders Scheduler::Plan(TimePoint aNow,
                       std::int64_t aWallMs,
                       bool aMayStart,
                       std::size_t aFreeAdvisors)
{
  Orders orders;
  CountUnproven();
  RefreshSpeeds(aNow);
  CountFreeFast();
  if (aMayStart)
    PlanMoves(aNow);
  PlanStops(aNow, orders);
  if (!aMayStart)
    return orders;
  PlanPace(aNow, orders);
  PlanCopies(aNow);
  std::size_t slowInFlight = 0;
  for (const auto& [number, isSlow] : mAdviceInFlight)
    slowInFlight += isSlow ? 1 : 0;
  const std::size_t advisors = aFreeAdvisors + mAdviceInFlight.size();
  std::size_t slowAdvisors = mSettings.mSlowAdvisors;
  if (slowAdvisors == 0)
    slowAdvisors = aNow - mLastFastAdviceAt > kFastAdviceIdle
                     ? advisors
                     : std::max<std::size_t>(1, advisors * 3 / 4);
  std::size_t freeSlow = slowAdvisors > slowInFlight ? slowAdvisors - slowInFlight : 0;
  std::vector<Ready> yielding;
  std::set<std::string> askedAtLimit;
  const std::vector<Ready> all = CollectReady(aNow, aWallMs);
  CountPossibleTeamUse();
  for (const Ready& ready : all) {
    if (!ready.mIsHeld)
      PlaceReady(ready, aNow, orders);
    if (ready.mStage->mWaiting == 0 || !ready.mTerms->mNeedsAdvice)
      continue;
    // At its limit, only a team's next stage obtains tickets.
    if (!IsWithinTeamLimit(ready, 1) && !askedAtLimit.insert(ready.mJob->mSpec.mTeam).second)
      continue;
    if (!RequestAdvice(ready, aNow, true, aFreeAdvisors, freeSlow, orders))
      yielding.push_back(ready);
  }
  for (const Ready& ready : yielding)
    RequestAdvice(ready, aNow, false, aFreeAdvisors, freeSlow, orders);
  return orders;
}

}  // namespace monsoon::fleet
