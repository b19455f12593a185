// Refusals while the store is away: when callers return.
#include <catch2/catch.hpp>

#include <array>
#include <random>

#include "policy/return_time.h"

using namespace monsoon;

TEST_CASE("return time: returns lie beyond the outage's age, and crowds are spread")
{
  CHECK(ChooseRetryAfter({ .mLasted = seconds(3), .mAreOthersServed = true }, 0.9) == 0);
  CHECK(ChooseRetryAfter({ .mLasted = milliseconds(100) }, 0.999) == 2);
  CHECK(ChooseRetryAfter({ .mLasted = seconds(5) }, 0.999) == 5);
  CHECK(ChooseRetryAfter({ .mLasted = std::chrono::hours(1) }, 0.999) == 8);
  std::mt19937 random(1);
  std::array<std::size_t, 12> returns{};
  for (int n = 0; n < 400; ++n)
    ++returns.at(ChooseRetryAfter({ .mLasted = seconds(4), .mRefusedLately = 100 },
                                  std::uniform_real_distribution<double>(0, 1)(random)));
  for (std::size_t n = 0; n < returns.size(); ++n)
    CHECK(returns[n] < 120);
  CHECK(returns[4] > 0);
  CHECK(returns[8] > 0);
}
