#include "policy/gang.h"

#include <algorithm>
#include <map>

namespace monsoon {

namespace {

constexpr Duration kInitialGangDelay = milliseconds(20);
constexpr std::uint32_t kMaxDoublings = 6;

bool MayPreempt(const PreemptionCandidate& aVictim, Priority aPriority, bool aReclaim)
{
  return aVictim.mPriority > aPriority || (aReclaim && aVictim.mBorrows);
}

// The work at risk when the task is preempted: its run time weighted by its processors.
double ComputeCost(const PreemptionCandidate& aVictim)
{
  return std::chrono::duration<double>(aVictim.mRan).count() *
         static_cast<double>(std::max<std::int64_t>(aVictim.mNeed.mMilliCores, 1));
}

// Lowest priority first, then borrowed capacity, then least work at risk.
bool IsPreemptedFirst(const PreemptionCandidate& aLeft, const PreemptionCandidate& aRight)
{
  if (aLeft.mPriority != aRight.mPriority)
    return aLeft.mPriority > aRight.mPriority;
  if (aLeft.mBorrows != aRight.mBorrows)
    return aLeft.mBorrows;
  return ComputeCost(aLeft) < ComputeCost(aRight);
}

}  // namespace

std::vector<GangStep> PlanGang(std::span<const Offer> aChosen,
                               std::span<const std::uint32_t> aTasks)
{
  std::vector<Offer> offers(aChosen.begin(), aChosen.end());
  std::ranges::sort(offers, {}, &Offer::mWorker);
  std::vector<GangStep> steps;
  std::size_t next = 0;
  for (const Offer& offer : offers) {
    const std::size_t n = std::min<std::size_t>(offer.mCount, aTasks.size() - next);
    if (n == 0)
      continue;
    const auto part = aTasks.subspan(next, n);
    steps.push_back({ offer.mWorker, { part.begin(), part.end() } });
    next += n;
  }
  if (next < aTasks.size())
    steps.clear();
  return steps;
}

Duration ComputeGangDelay(std::uint32_t aAttempts, std::minstd_rand& aRandom)
{
  const Duration maxDelay = kInitialGangDelay * (1 << std::min(aAttempts, kMaxDoublings));
  std::uniform_int_distribution<std::int64_t> jitter(kInitialGangDelay.count() / 2,
                                                     maxDelay.count());
  return Duration(jitter(aRandom));
}

std::vector<PreemptionCandidate> ChooseVictims(std::span<const PreemptionCandidate> aRunning,
                                               const Resources& aNeed,
                                               Priority aPriority,
                                               bool aReclaim)
{
  std::map<WorkerName, std::vector<PreemptionCandidate>> byWorker;
  for (const PreemptionCandidate& it : aRunning)
    if (MayPreempt(it, aPriority, aReclaim))
      byWorker[it.mWorker].push_back(it);

  std::vector<PreemptionCandidate> best;
  double bestCost = 0;
  for (auto& [worker, candidates] : byWorker) {
    std::ranges::sort(candidates, IsPreemptedFirst);
    std::vector<PreemptionCandidate> victims;
    Resources freed;
    double cost = 0;
    for (const PreemptionCandidate& it : candidates) {
      if (Fits(aNeed, freed))
        break;
      victims.push_back(it);
      freed = Add(freed, it.mNeed);
      cost += ComputeCost(it);
    }
    if (!Fits(aNeed, freed) || (!best.empty() && cost >= bestCost))
      continue;
    best = std::move(victims);
    bestCost = cost;
  }
  return best;
}

}  // namespace monsoon
