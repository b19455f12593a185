// Scheduler: which workers a call of the policy service names, and the tickets that it returns.
#include <algorithm>
#include <limits>

#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

namespace {

// Policy calls are slow from this mAdviceBase on.
constexpr Duration kMinSlowAdvice = milliseconds(200);
// Workers named by a policy call that is not the first of its stage.
constexpr std::size_t kMaxRenewedTickets = 16;
constexpr Duration kAdviceRetryDelay = milliseconds(150);  // after a policy call that failed
constexpr Duration kDefaultAdviceValid = seconds(1);       // if nothing states the validity

// A first call names workers with room for this many times the waiting tasks, by the share usually
// admitted, as other stages are told of the same room.
constexpr double kRoomMargin = 3;
constexpr std::size_t kMinNamed = 16;

// Returns how many tasks of the stage the worker has room for.
std::uint32_t CountRoom(const Worker& aWorker, const StageSpec& aSpec)
{
  const auto divide = [](std::uint32_t aAll, std::uint32_t aUsed, std::uint32_t aOne) {
    return aOne == 0 ? std::numeric_limits<std::uint32_t>::max()
                     : (aAll - std::min(aAll, aUsed)) / aOne;
  };
  const WorkerEntry& entry = aWorker.mEntry;
  std::uint32_t room = divide(entry.mMemoryMiB, aWorker.mUsedMemoryMiB, aSpec.mMemoryMiB);
  if (!aSpec.mFiller)
    room = std::min(room, divide(entry.mMilliCores, aWorker.mUsedMilliCores, aSpec.mMilliCores));
  room =
    std::min(room, divide(entry.mAccelerators, aWorker.mUsedAccelerators, aSpec.mAccelerators));
  return aSpec.mMaxPerWorker != 0 ? std::min(room, aSpec.mMaxPerWorker) : room;
}

// Returns whether an idle worker of this size has the capacity for a task.
bool IsLargeEnough(const Worker& aWorker, const StageSpec& aSpec)
{
  return (aSpec.mFiller || aSpec.mMilliCores <= aWorker.mEntry.mMilliCores) &&
         aSpec.mMemoryMiB <= aWorker.mEntry.mMemoryMiB &&
         aSpec.mAccelerators <= aWorker.mEntry.mAccelerators;
}

}  // namespace

// Returns false if the call gives way to other stages: a call that names full workers only does so
// after another one if aMayYield, since lasting tasks without capacity ask all the time.
bool Scheduler::RequestAdvice(const Ready& aReady,
                              TimePoint aNow,
                              bool aMayYield,
                              std::size_t& aFree,
                              std::size_t& aFreeSlow,
                              Orders& aOrders)
{
  StageRun& stage = *aReady.mStage;
  if (stage.mAdviceNumber != 0 || aNow < stage.mAdviceRetryAt || aFree == 0)
    return true;
  const bool isSlow = aReady.mTerms->mAdviceBase >= kMinSlowAdvice;
  if (isSlow && aFreeSlow == 0)
    return true;
  // Those with capacity first, then by speed, then the emptiest; a worker with stragglers counts as
  // full.
  using Score = std::tuple<bool, int, std::int64_t>;
  std::vector<std::pair<Score, const Worker*>> candidates;
  const int rankSign = GetRankSign(aReady);
  std::size_t fitting = 0;
  const bool isFirst = stage.mTickets.empty() && stage.mExcluded.empty();
  for (const auto& [id, worker] : mWorkers) {
    const bool fits = HasCapacity(worker, *aReady.mSpec);
    // Lasting tasks that ran before hold tickets of full workers as well: by the time a ticket of a
    // worker that has just become free arrives, other tasks have taken its capacity.
    if (!fits && !isFirst && !(aReady.mIsRestart && IsLargeEnough(worker, *aReady.mSpec)))
      continue;
    if (!CanHost(worker, aReady, aNow) || stage.mExcluded.contains(id))
      continue;
    if (aReady.mSpec->mMaxPerWorker != 0 &&
        CountRuns(worker, aReady.mRef) >= aReady.mSpec->mMaxPerWorker)
      continue;
    auto ticket = stage.mTickets.find(id);
    if (ticket != stage.mTickets.end() && ticket->second.second >= aNow + kTicketMargin)
      continue;
    fitting += fits ? 1 : 0;
    const std::int64_t freeCores =
      std::int64_t{ worker.mEntry.mMilliCores } - worker.mUsedMilliCores;
    const bool isFull = !fits || aNow < worker.mSlowUntil;
    candidates.emplace_back(Score(isFull, rankSign * worker.mRunTimeRank, -freeCores), &worker);
  }
  if (candidates.empty() || (fitting == 0 && !aReady.mIsRestart))
    return true;
  if (fitting == 0 && aMayYield && mLastAdviceWithoutCapacity)
    return false;
  mLastAdviceWithoutCapacity = fitting == 0;
  const bool isScarce = aReady.mIsRestart && fitting < kMaxRenewedTickets;
  const std::size_t maxWorkers =
    isFirst || isScarce ? mSettings.mMaxAdviceWorkers : kMaxRenewedTickets;
  const std::size_t n = std::min(candidates.size(), maxWorkers);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(n),
                    candidates.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return std::tie(aLeft.first, aLeft.second->mEntry.mId) <
                             std::tie(aRight.first, aRight.second->mEntry.mId);
                    });
  candidates.resize(n);
  // Each worker named makes the call longer. Lasting tasks and gangs may wait for room, and use all
  // tickets then.
  double room = 0;
  if (isFirst && !aReady.mSpec->mLongRunning && !aReady.mSpec->mGang) {
    const double wanted =
      kRoomMargin * stage.mWaiting / mAdmittedShares.Get(aReady.mJob->mSpec.mQueue);
    std::size_t named = 0;
    while (named < n && (named < kMinNamed || room < wanted))
      room += CountRoom(*candidates[named++].second, *aReady.mSpec);
    candidates.resize(named);
  }
  AdviceOrder order;
  order.mNumber = mNextAdvice++;
  order.mStage = FormatStage(aReady.mRef);
  for (const auto& [score, worker] : candidates)
    order.mWorkers.push_back(worker->mEntry.mId);
  const Duration expected =
    aReady.mTerms->mAdviceBase + order.mWorkers.size() * aReady.mTerms->mAdvicePerWorker;
  order.mExpectedMs = std::chrono::duration_cast<milliseconds>(expected).count();
  stage.mAdviceNumber = order.mNumber;
  mAdviceInFlight[order.mNumber] = isSlow;
  --aFree;
  if (isSlow)
    --aFreeSlow;
  else
    mLastFastAdviceAt = aNow;
  aOrders.mAdvice.push_back(std::move(order));
  return true;
}

void Scheduler::OnAdvice(const AdviceOrder& aOrder,
                         const std::vector<AdmittedWorker>* aAdmitted,
                         Duration aValid,
                         TimePoint aAskedAt,
                         TimePoint aNow)
{
  mAdviceInFlight.erase(aOrder.mNumber);
  TaskRef ref;
  if (!ParseTask(aOrder.mStage + ".0", ref))
    return;
  StageRun* stage = FindStage(ref);
  if (!stage || stage->mAdviceNumber != aOrder.mNumber)
    return;
  stage->mAdviceNumber = 0;
  if (!aAdmitted) {
    stage->mAdviceRetryAt = aNow + kAdviceRetryDelay;
    return;
  }
  const Job& job = *FindJob(ref.mJob);
  const std::optional<QueueTerms>& terms = job.mSpec.mTerms;
  mAdmittedShares.Record(job.mSpec.mQueue, aOrder.mWorkers.size(), aAdmitted->size());
  if (aValid <= Duration::zero() && terms)  // the answer states no validity
    aValid = terms->mAdviceValid > Duration::zero() ? terms->mAdviceValid : kDefaultAdviceValid;
  for (const std::string& id : aOrder.mWorkers)
    stage->mExcluded.insert(id);
  for (const AdmittedWorker& it : *aAdmitted) {
    stage->mExcluded.erase(it.mWorker);
    // The service counts the validity from the moment of its answer, which is not known here. It is
    // estimated from the expected duration of the call, and lies between the request and now.
    const TimePoint answered = std::max(aAskedAt + milliseconds(aOrder.mExpectedMs), aAskedAt);
    stage->mTickets[it.mWorker] = { it.mTicket, std::min(answered, aNow) + aValid };
  }
}

}  // namespace monsoon::fleet
