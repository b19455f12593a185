#include "policy/straggler.h"

#include <algorithm>

namespace monsoon {

namespace {

// A window of speed measurement is kWindowShare of the estimate, long enough to recognize a third
// of the expected speed. Windows below kMinWindow are inexact: percents are whole numbers.
constexpr Duration kMinWindow = milliseconds(250);
constexpr double kWindowShare = 0.15;
// Share of the expected speed below which a run is a straggler; estimates are wrong by up to half.
constexpr double kStragglerSpeedRatio = 1.0 / 3;
constexpr Duration kExpectedStallRest = seconds(3);  // typical rest of a stall once it is detected
constexpr double kMinSpeedup = 1.5;  // a restart must end sooner by at least this factor

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
  // Assumes that the run continues at its usual speed after a stall; a slow worker may recover,
  // too.
  const double stalled = ToMs(kExpectedStallRest) + left / expectedPerMs;
  const double rest =
    aProgress.mPercentPerMs > 0 ? std::min(stalled, left / aProgress.mPercentPerMs) : stalled;
  return rest > kMinSpeedup * (ToMs(aOverhead) + (100 - aSavedPercent) / expectedPerMs);
}

}  // namespace monsoon
