#include "policy/crash_budget.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr std::size_t kMaxCrashesAlone = 2;  // soon after the start, at least one of them alone
constexpr std::size_t kMaxCrashesSoon = 3;   // soon after the start
constexpr std::size_t kMaxCrashes = 5;       // at any time of the task's runs

std::size_t CountSoon(std::span<const WorkerCrash> aCrashes)
{
  return static_cast<std::size_t>(
    std::count_if(aCrashes.begin(), aCrashes.end(), [](const auto& aItem) { return aItem.mSoon; }));
}

}  // namespace

bool IsPoison(std::span<const WorkerCrash> aCrashes)
{
  const std::size_t soon = CountSoon(aCrashes);
  const bool wasAlone = std::any_of(aCrashes.begin(), aCrashes.end(), [](const auto& aItem) {
    return aItem.mSoon && aItem.mAlone;
  });
  return soon >= kMaxCrashesSoon || (wasAlone && soon >= kMaxCrashesAlone) ||
         aCrashes.size() >= kMaxCrashes;
}

bool MayStartCopy(std::span<const WorkerCrash> aCrashes, const UnresolvedRuns& aUnresolved)
{
  const bool isSuspect = aUnresolved.mUnproven > 0;
  return MayStartAgain(aCrashes, aUnresolved) &&
         (!isSuspect || CountSoon(aCrashes) + aUnresolved.mUnproven < kMaxCrashesAlone);
}

bool MayStartAgain(std::span<const WorkerCrash> aCrashes, const UnresolvedRuns& aUnresolved)
{
  return aCrashes.size() + aUnresolved.mCount < kMaxCrashes;
}

}  // namespace monsoon
