// Crash budget: when a task is taken for the cause of its workers' crashes.
#include <catch2/catch.hpp>

#include <vector>

#include "policy/crash_budget.h"

using namespace monsoon;

namespace {

constexpr WorkerCrash kLate{ 1, false, false };
constexpr WorkerCrash kSoon{ 1, true, false };
constexpr WorkerCrash kSoonAlone{ 1, true, true };

bool IsPoisonAfter(std::vector<WorkerCrash> aCrashes)
{
  return IsPoison(aCrashes);
}

}  // namespace

TEST_CASE("crash budget: one crash is never enough")
{
  CHECK_FALSE(IsPoisonAfter({}));
  CHECK_FALSE(IsPoisonAfter({ kLate }));
  CHECK_FALSE(IsPoisonAfter({ kSoon }));
  CHECK_FALSE(IsPoisonAfter({ kSoonAlone }));
}

TEST_CASE(
  "crash budget: a second crash soon after the start is enough if no other task is suspected")
{
  CHECK(IsPoisonAfter({ kSoon, kSoonAlone }));
  CHECK(IsPoisonAfter({ kSoonAlone, kSoon }));
  CHECK_FALSE(IsPoisonAfter({ kSoon, kSoon }));
  CHECK_FALSE(IsPoisonAfter({ kSoonAlone, kLate }));
}

TEST_CASE("crash budget: a task never starts three times more after three crashes")
{
  CHECK(IsPoisonAfter({ kSoon, kSoon, kSoon }));
  CHECK_FALSE(IsPoisonAfter({ kLate, kLate, kLate, kLate }));
  CHECK(IsPoisonAfter({ kLate, kLate, kLate, kLate, kLate }));
}

TEST_CASE("crash budget: one copy starts while it is unknown what became of a worker")
{
  CHECK(MayStartCopy({}, { .mCount = 1, .mUnproven = 1 }));
  CHECK_FALSE(MayStartCopy({}, { .mCount = 2, .mUnproven = 2 }));
  CHECK_FALSE(MayStartCopy({ { kSoon } }, { .mCount = 1, .mUnproven = 1 }));
}

TEST_CASE("crash budget: unresolved runs count as if their workers had crashed")
{
  const std::vector<WorkerCrash> two{ kLate, kLate };
  CHECK(MayStartAgain(two, { .mCount = 2 }));
  CHECK_FALSE(MayStartAgain(two, { .mCount = 3 }));
  CHECK(MayStartCopy({}, { .mCount = 4 }));
  CHECK_FALSE(MayStartCopy({}, { .mCount = 5 }));
}
