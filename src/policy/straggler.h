// Which running tasks are better started again elsewhere. The load pattern: some workers stand
// still, or work several times slower, for seconds, and answer all the while. Pure.
#pragma once

#include "core/time.h"

namespace monsoon {

struct RunProgress
{
  double mPercent = 0;        // of the work, at mWindowStart
  TimePoint mWindowStart{};   // start of the window; zero: not seen yet
  double mPercentPerMs = -1;  // over the last whole window; negative: not known
};

// Takes in what a worker reports of a run; windows are a fraction of aEstimate.
void ObserveProgress(RunProgress& aProgress, double aPercent, Duration aEstimate, TimePoint aNow);

// True when it is known to work at less than a third of the speed that its estimate implies.
[[nodiscard]] bool IsStraggler(const RunProgress& aProgress, Duration aEstimate);

// True when a new run elsewhere, begun after aOverhead with aSavedPercent of the work done, is
// expected to end clearly sooner than this one.
[[nodiscard]] bool IsRestartSooner(const RunProgress& aProgress,
                                   Duration aEstimate,
                                   double aSavedPercent,
                                   Duration aOverhead);

}  // namespace monsoon
