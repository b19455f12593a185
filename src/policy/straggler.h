// Straggler detection: finds running tasks that would end sooner if restarted on another worker.
// For seconds at a time, some workers make no progress or run several times slower, while they
// still answer requests.
#pragma once

#include "core/time.h"

namespace monsoon {

struct RunProgress
{
  double mPercent = 0;        // of the work done at mWindowStart
  TimePoint mWindowStart{};   // start of the current window; zero: no report yet
  double mPercentPerMs = -1;  // over the last complete window; negative: unknown
};

// Records the progress that a worker reported for a run. Speed is measured over windows of a
// fraction of aEstimate, so reports within a window are ignored.
void ObserveProgress(RunProgress& aProgress, double aPercent, Duration aEstimate, TimePoint aNow);

// Returns whether the run is known to proceed at less than a third of the speed that its estimate
// implies.
[[nodiscard]] bool IsStraggler(const RunProgress& aProgress, Duration aEstimate);

// Returns whether a new run on another worker, which starts after aOverhead with aSavedPercent of
// the work already done, is expected to end clearly sooner than this one.
[[nodiscard]] bool IsRestartSooner(const RunProgress& aProgress,
                                   Duration aEstimate,
                                   double aSavedPercent,
                                   Duration aOverhead);

}  // namespace monsoon
