// Scheduler: which stages are ready, and on which workers their tasks are placed.
#include <algorithm>
#include <charconv>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::uint64_t kRunsPerEpoch = 1000;  // run numbers reserved for a task in each epoch
// When there was no fast policy call for this long, slow calls may take all advisors.
constexpr Duration kFastAdviceIdle = seconds(2);
// Tickets for lasting tasks are obtained this long before the wait of a takeover ends.
constexpr Duration kTicketLead = milliseconds(1200);

template<class T>
bool Contains(const std::vector<T>& aItems, const T& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

std::string GetRack(const Worker& aWorker)
{
  return aWorker.mEntry.mLabels.size() > 1 ? aWorker.mEntry.mLabels[1] : std::string();
}

}  // namespace

bool Scheduler::MayRunSomewhere(const TaskRef& aRef) const
{
  return !mPossiblyRunning.empty() && mPossiblyRunning.contains(FormatTask(aRef));
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
  return std::all_of(spec.mAfter.begin(), spec.mAfter.end(), [&](std::uint32_t aIndex) {
    return aIndex < aOccurrence.mStages.size() &&
           aOccurrence.mStages[aIndex].mDone == aOccurrence.mStages[aIndex].mTasks.size();
  });
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

bool Scheduler::CanHost(const Worker& aWorker, const Ready& aReady, TimePoint aNow)
{
  if (!aWorker.mListed || !aWorker.mRecorded || aWorker.mFinalTasks || aWorker.mFinalWanted ||
      !aWorker.mFenced || !aWorker.mReachable || aWorker.mEntry.mDraining ||
      aWorker.mUnsizedCount > 0)
    return false;
  if (aNow < aWorker.mQuarantinedUntil || aNow < aWorker.mFullUntil)
    return false;
  return IsSuitable(aWorker, aReady.mService, *aReady.mSpec);
}

bool Scheduler::HasCapacity(const Worker& aWorker, const StageSpec& aSpec)
{
  const std::uint32_t milliCores = aSpec.mFiller ? 0 : aSpec.mMilliCores;
  return aWorker.mUsedMilliCores + milliCores <= aWorker.mEntry.mMilliCores &&
         aWorker.mUsedMemoryMiB + aSpec.mMemoryMiB <= aWorker.mEntry.mMemoryMiB &&
         aWorker.mUsedAccelerators + aSpec.mAccelerators <= aWorker.mEntry.mAccelerators;
}

std::size_t Scheduler::CountRuns(const Worker& aWorker, const TaskRef& aStageRef) const
{
  return static_cast<std::size_t>(
    std::count_if(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const Run& aItem) {
      return aItem.mRef.mJob == aStageRef.mJob && aItem.mRef.mOccurrence == aStageRef.mOccurrence &&
             aItem.mRef.mStage == aStageRef.mStage;
    }));
}

Worker* Scheduler::PickWorker(const Ready& aReady, const Task& aTask, TimePoint aNow)
{
  TaskRef ref = aReady.mRef;
  ref.mIndex = static_cast<std::uint32_t>(&aTask - aReady.mStage->mTasks.data());
  const bool isSuspect = IsSuspect(aTask, ref);
  Worker* best = nullptr;
  std::tuple<bool, bool, std::int64_t> bestScore;
  const auto consider = [&](const std::string& aId, Worker& aWorker) {
    if (!HasCapacity(aWorker, *aReady.mSpec) || !CanHost(aWorker, aReady, aNow))
      return;
    if (aReady.mSpec->mMaxPerWorker != 0 &&
        CountRuns(aWorker, aReady.mRef) >= aReady.mSpec->mMaxPerWorker)
      return;
    // A task under which workers crash starts apart from others, so that the cause of a further
    // crash is known and few tasks are lost with it.
    const bool isLastChoice = Contains(aTask.mFailedOn, aId) || aNow < aWorker.mSlowUntil ||
                              aWorker.mSuspectCount > 0 ||
                              (isSuspect && aWorker.mUnprovenCount > 0);
    const bool isFar =
      !aReady.mSpec->mDataRack.empty() && GetRack(aWorker) != aReady.mSpec->mDataRack;
    const std::int64_t left = std::int64_t{ aWorker.mEntry.mMilliCores } - aWorker.mUsedMilliCores -
                              aReady.mSpec->mMilliCores;
    // A filler goes where the most cores are free, any other task where the fewest are left (best
    // fit).
    const std::tuple score(isLastChoice, isFar, aReady.mSpec->mFiller ? -left : left);
    if (!best || score < bestScore) {
      best = &aWorker;
      bestScore = score;
    }
  };
  if (!aReady.mTerms->mNeedsAdvice) {
    for (auto& [id, worker] : mWorkers)
      consider(id, worker);
    return best;
  }
  for (const auto& [id, ticket] : aReady.mStage->mTickets) {
    if (ticket.second < aNow + kTicketMargin)
      continue;
    if (Worker* worker = FindWorker(id))
      consider(id, *worker);
  }
  return best;
}

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
    Worker* worker = PickWorker(aReady, task, aNow);
    if (!worker)
      return;
    PlaceTask(aReady, n, std::max(task.mRun, base) + 1, *worker, aNow, aOrders);
  }
}

void Scheduler::PlaceGang(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  const StageSpec& spec = *aReady.mSpec;
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
    if (!task.mWorker.empty())
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
  if (aMayStart)
    PlanMoves(aNow);
  PlanStops(aNow, orders);
  if (!aMayStart)
    return orders;
  PlanPace(orders);
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
  for (const Ready& ready : CollectReady(aNow, aWallMs)) {
    if (!ready.mIsHeld)
      PlaceReady(ready, aNow, orders);
    if (ready.mStage->mWaiting > 0 && ready.mTerms->mNeedsAdvice &&
        !RequestAdvice(ready, aNow, true, aFreeAdvisors, freeSlow, orders))
      yielding.push_back(ready);
  }
  for (const Ready& ready : yielding)
    RequestAdvice(ready, aNow, false, aFreeAdvisors, freeSlow, orders);
  return orders;
}

}  // namespace monsoon::fleet
