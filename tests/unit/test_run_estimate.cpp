// Estimates follow the recorded run times, however wrong the declared run time is.
#include <catch2/catch.hpp>

#include "policy/run_estimate.h"

using namespace monsoon;

TEST_CASE("a declared run time that is ten times wrong is ignored after the first run",
          "[estimate]")
{
  RunEstimates runs;
  const TimePoint now{ seconds(100) };
  CHECK(runs.Estimate("a", seconds(60)) == seconds(60));
  runs.Record("a", seconds(6), now);
  CHECK(runs.Estimate("a", seconds(60)) == seconds(6));
  CHECK(runs.Estimate("b", seconds(60)) == seconds(60));
}

TEST_CASE("estimates move towards new runs and stay bounded in number", "[estimate]")
{
  RunEstimates runs;
  TimePoint now{ seconds(100) };
  runs.Record("a", seconds(8), now);
  for (int i = 0; i < 40; ++i)
    runs.Record("a", seconds(4), now);
  CHECK(runs.Estimate("a", seconds(60)) < milliseconds(4100));
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(1);
    runs.Record("job-" + std::to_string(i), seconds(1), now);
  }
  CHECK(runs.Estimate("a", seconds(60)) == seconds(60));  // the oldest was dropped
  CHECK(runs.Estimate("job-4999", seconds(60)) == seconds(1));
}
