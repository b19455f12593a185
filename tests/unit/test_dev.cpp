#include <catch2/catch.hpp>

#include "app/dev_cell.h"

using namespace monsoon;

TEST_CASE("a second run of an id is a duplicate; for tasks only if the runs overlap", "[dev]")
{
  std::vector<RunInterval> runs{ { "a", 10, 20 }, { "b", 12, 15 }, { "a", 20, 30 } };
  CHECK(CountDuplicateRuns(runs, false) == 1);
  CHECK(CountDuplicateRuns(runs, true) == 0);
  runs.push_back({ "a", 25, 26 });
  CHECK(CountDuplicateRuns(runs, true) == 1);
  std::vector<RunInterval> endless{ { "w", 5, 0 }, { "w", 50, 60 } };
  CHECK(CountDuplicateRuns(endless, true) == 1);
}
