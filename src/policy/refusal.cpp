#include "policy/refusal.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr Duration kMaxAge = seconds(2);         // of a load summary
constexpr int kUsefulTargets = 3;                // a job is of use until then, in its targets
constexpr double kEstimateShare = 0.5;           // of a caller's estimate, at least
constexpr std::int64_t kMaxRetryAfter = 60;      // s
constexpr std::uint32_t kChangeRetryAfter = 30;  // s; until limits or workers may have changed

bool IsAbove(std::uint64_t aNeed, std::uint64_t aLimit)
{
  return aLimit != 0 && aNeed > aLimit;
}

bool IsAbove(const CapacityLimit& aNeed, const CapacityLimit& aLimit)
{
  return IsAbove(aNeed.mMilliCores, aLimit.mMilliCores) ||
         IsAbove(aNeed.mMemoryMiB, aLimit.mMemoryMiB) ||
         IsAbove(aNeed.mAccelerators, aLimit.mAccelerators);
}

// A pool without accelerators has none to offer, whereas 0 is no limit elsewhere.
bool IsTooLarge(const CapacityLimit& aTask, const CapacityLimit& aWorker)
{
  return aTask.mMilliCores > aWorker.mMilliCores || aTask.mMemoryMiB > aWorker.mMemoryMiB ||
         aTask.mAccelerators > aWorker.mAccelerators;
}

const PoolCapacity* FindPool(const LoadSummary& aLoad, std::string_view aName)
{
  const auto it = std::find_if(aLoad.mPools.begin(), aLoad.mPools.end(), [&](const auto& aItem) {
    return aItem.mPool == aName && aItem.mMilliCores > 0;
  });
  return it == aLoad.mPools.end() ? nullptr : &*it;
}

// Returns the work that surely goes before the job: of more urgent queues, and of its own queue's
// jobs that are due earlier. Of a range that reaches beyond its due time, nothing is counted.
double SumAhead(const JobDemand& aJob, const TeamBacklog& aBacklog)
{
  double sum = 0;
  for (std::size_t n = 0; n < kDueRangesMs.size(); ++n)
    if (milliseconds(kDueRangesMs[n]) <= aJob.mTarget)
      sum += static_cast<double>(aBacklog.mWork[n]);
  return sum;
}

}  // namespace

std::string_view GetReasonName(RefusalReason aReason) noexcept
{
  switch (aReason) {
    case RefusalReason::None:
      return "none";
    case RefusalReason::TooLarge:
      return "too_large";
    case RefusalReason::OverLimit:
      return "over_limit";
    case RefusalReason::Backlog:
      return "backlog";
  }
  return "none";
}

Duration EstimateLeastWait(const JobDemand& aJob,
                           const CapacityLimit& aLimit,
                           const LoadSummary& aLoad)
{
  const PoolCapacity* pool = FindPool(aLoad, aJob.mPool);
  if (!pool)
    return Duration::zero();
  std::uint64_t milliCores = pool->mMilliCores;
  if (aLimit.mMilliCores != 0)
    milliCores = std::min(milliCores, aLimit.mMilliCores);
  double ahead = 0;
  for (const TeamBacklog& it : aLoad.mBacklogs)
    if (it.mPool == aJob.mPool && it.mTeam == aJob.mTeam && it.mPriority <= aJob.mPriority)
      ahead += SumAhead(aJob, it);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    kEstimateShare * ahead / static_cast<double>(std::max<std::uint64_t>(1, milliCores))));
}

RefusalDecision DecideRefusal(const JobDemand& aJob,
                              const CapacityLimit& aLimit,
                              const LoadSummary& aLoad,
                              Duration aAge,
                              double aDraw)
{
  const auto spread = [aDraw](std::uint32_t aLeast) {
    return aLeast + static_cast<std::uint32_t>(aDraw * (aLeast + 1));
  };
  if (IsAbove(aJob.mLargestTask, aLimit) || IsAbove(aJob.mLargestTogether, aLimit))
    return { RefusalReason::OverLimit, {}, spread(kChangeRetryAfter) };
  if (aAge > kMaxAge)
    return {};
  const PoolCapacity* pool = FindPool(aLoad, aJob.mPool);
  if (pool && IsTooLarge(aJob.mLargestTask, pool->mLargest))
    return { RefusalReason::TooLarge, {}, spread(kChangeRetryAfter) };
  const Duration wait = EstimateLeastWait(aJob, aLimit, aLoad);
  const Duration useful = kUsefulTargets * aJob.mTarget;
  if (wait <= useful)
    return {};
  // A caller who returns when the backlog is shorter by the excess finds just enough room.
  const auto excess = std::chrono::ceil<std::chrono::seconds>(wait - useful).count();
  const std::int64_t least = std::clamp<std::int64_t>(excess, 1, kMaxRetryAfter / 2);
  return { RefusalReason::Backlog, wait, spread(static_cast<std::uint32_t>(least)) };
}

}  // namespace monsoon
