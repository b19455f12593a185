// Straggler detection: which runs count as slow, and when a restart elsewhere would end sooner.
#include <catch2/catch.hpp>

#include "policy/straggler.h"

using namespace monsoon;

namespace {

constexpr Duration kEstimate = milliseconds(1000);

// Returns the progress of a run that was at aFrom percent and is at aTo percent after aPassed.
RunProgress Observe(double aFrom, double aTo, Duration aPassed)
{
  RunProgress progress;
  const TimePoint start{ seconds(100) };
  ObserveProgress(progress, aFrom, kEstimate, start);
  ObserveProgress(progress, aTo, kEstimate, start + aPassed);
  return progress;
}

}  // namespace

TEST_CASE("straggler: nothing is known of a run before a whole window has passed")
{
  CHECK_FALSE(IsStraggler(RunProgress{}, kEstimate));
  CHECK_FALSE(IsStraggler(Observe(0, 0, milliseconds(100)), kEstimate));
  CHECK_FALSE(IsRestartSooner(Observe(0, 0, milliseconds(100)), kEstimate, 0, Duration::zero()));
}

TEST_CASE("straggler: a run is no straggler because its estimate is wrong by half")
{
  CHECK_FALSE(IsStraggler(Observe(10, 60, milliseconds(1000)), kEstimate));
  CHECK(IsStraggler(Observe(10, 25, milliseconds(1000)), kEstimate));
}

TEST_CASE("straggler: a run without progress is restarted unless it is long")
{
  const RunProgress stalled = Observe(40, 40, milliseconds(400));
  CHECK(IsRestartSooner(stalled, kEstimate, 0, milliseconds(300)));
  // Restarting a long task loses more time than the stall takes. With a recent checkpoint a restart
  // loses little.
  CHECK_FALSE(IsRestartSooner(stalled, seconds(10), 0, milliseconds(300)));
  CHECK(IsRestartSooner(Observe(90, 90, milliseconds(400)), seconds(1), 90, milliseconds(300)));
}

TEST_CASE("straggler: a slow run that is about to end is not restarted")
{
  CHECK_FALSE(
    IsRestartSooner(Observe(70, 90, milliseconds(1000)), kEstimate, 0, milliseconds(300)));
  CHECK(IsRestartSooner(Observe(0, 15, milliseconds(1000)), kEstimate, 0, milliseconds(300)));
}
