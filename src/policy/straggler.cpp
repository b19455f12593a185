#include "policy/straggler.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr Duration kMinWindow = milliseconds(250);  // percents are rounded to whole numbers
constexpr double kWindowShare = 0.15;               // of the estimate; shows a third of the speed
constexpr double kStragglerSpeedRatio =
  1.0 / 3;  // of the expected one; estimates are wrong by up to half
constexpr Duration kExpectedStallRest = seconds(3);  // typical rest of a stall once it is seen
constexpr double kMinSpeedup = 1.5;                  // the other run must be sooner by this factor

double ToMs(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

}  // namespace

void ObserveProgress(RunProgress& aProgress, double aPercent, Duration aEstimate, TimePoint aNow)
{
  if (aProgress.mWindowStart != TimePoint{}) {
    const Duration window =
      std::max(kMinWindow, std::chrono::duration_cast<Duration>(kWindowShare * aEstimate));
    const Duration passed = aNow - aProgress.mWindowStart;
    if (passed < window)
      return;
    aProgress.mPercentPerMs = std::max(0.0, aPercent - aProgress.mPercent) / ToMs(passed);
  }
  aProgress.mPercent = aPercent;
  aProgress.mWindowStart = aNow;
}

bool IsStraggler(const RunProgress& aProgress, Duration aEstimate)
{
  if (aProgress.mPercentPerMs < 0 || aEstimate <= Duration::zero())
    return false;
  return aProgress.mPercentPerMs < kStragglerSpeedRatio * 100 / ToMs(aEstimate);
}

bool IsRestartSooner(const RunProgress& aProgress,
                     Duration aEstimate,
                     double aSavedPercent,
                     Duration aOverhead)
{
  if (aProgress.mPercentPerMs < 0)
    return false;
  const double left = 100 - aProgress.mPercent;
  const double expectedPerMs = 100 / ToMs(aEstimate);
  // After a stall it goes on at its usual speed; a slow worker may recover as well.
  const double stalled = ToMs(kExpectedStallRest) + left / expectedPerMs;
  const double rest =
    aProgress.mPercentPerMs > 0 ? std::min(stalled, left / aProgress.mPercentPerMs) : stalled;
  return rest > kMinSpeedup * (ToMs(aOverhead) + (100 - aSavedPercent) / expectedPerMs);
}

}  // namespace monsoon
