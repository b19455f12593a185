// Scheduler: the choice of a worker for a task.
#include <algorithm>

#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

namespace {

// Added to the rank of workers far from a task's data, which takes half as long again there.
constexpr int kRemoteRank = 1;

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
  const int rankSign = GetRankSign(aReady);
  Worker* best = nullptr;
  std::tuple<bool, Disturbance, int, std::int64_t> bestScore;
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
    const int rank = rankSign * aWorker.mRunTimeRank + (isFar ? kRemoteRank : 0);
    const std::int64_t left = std::int64_t{ aWorker.mEntry.mMilliCores } - aWorker.mUsedMilliCores -
                              aReady.mSpec->mMilliCores;
    // A filler goes where the most cores are free, any other task where the fewest are left (best
    // fit).
    const Disturbance disturbance = EstimateDisturbance(aWorker, *aReady.mSpec, aNow);
    const std::tuple score(isLastChoice, disturbance, rank, aReady.mSpec->mFiller ? -left : left);
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

}  // namespace monsoon::fleet
