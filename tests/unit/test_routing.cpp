// Routing, the choice of a worker's slot, and admission by deadline. The same inputs and seed give
// the same route.
#include <catch2/catch.hpp>

#include <set>

#include "policy/admission.h"
#include "policy/retry.h"
#include "policy/routing.h"

using namespace monsoon;

namespace {

std::vector<OwnerView> MakeOwners()
{
  return { { .mName = "a1", .mZone = "a", .mFreeSlots = 3 },
           { .mName = "a2", .mZone = "a", .mFreeSlots = 1 },
           { .mName = "a3", .mZone = "a", .mUsable = false },
           { .mName = "b1", .mZone = "b", .mFreeSlots = 9 },
           { .mName = "c1", .mZone = "c" },
           { .mName = "c2", .mZone = "c" } };
}

std::vector<RouteStep> Route(RoutingSettings aSettings, std::uint64_t aSeed = 1)
{
  RandomSource random(aSeed);
  return MakeRoute(MakeOwners(), "a2", "a", aSettings, random);
}

}  // namespace

TEST_CASE("late binding asks its own process, its zone, then other zones after a delay",
          "[routing]")
{
  const RoutingSettings settings{ .mZoneStep = milliseconds(1),
                                  .mCrossZonePrice = milliseconds(10),
                                  .mFullZonePrice = milliseconds(100),
                                  .mCrossFanOut = 1 };
  const auto steps = Route(settings);
  REQUIRE(steps.size() == 5);
  CHECK(steps[0].mOwners == std::vector<ProcessName>{ "a2" });
  CHECK(steps[0].mAfter == Duration::zero());
  CHECK(steps[1].mOwners == std::vector<ProcessName>{ "a1" });
  CHECK(steps[1].mAfter == milliseconds(1));
  CHECK(steps[2].mAfter == milliseconds(11));
  CHECK(steps[2].mOwners == std::vector<ProcessName>{ "b1" });  // has free slots
  CHECK(steps[3].mAfter == milliseconds(111));                  // has no free slots
  CHECK(steps[4].mAfter == milliseconds(211));
  std::set<ProcessName> all;
  for (const RouteStep& step : steps)
    all.insert(step.mOwners.begin(), step.mOwners.end());
  CHECK(all == std::set<ProcessName>{ "a1", "a2", "b1", "c1", "c2" });
}

TEST_CASE("the other routings pick one owner and never an unusable one", "[routing]")
{
  for (const char* name : { "random", "least_loaded_gossip", "two_choices" }) {
    RoutingSettings settings{ .mRouting = *ParseRouting(name) };
    CHECK(GetName(settings.mRouting) == name);
    std::map<ProcessName, int> picked;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
      const auto steps = Route(settings, seed);
      REQUIRE(steps.size() == 1);
      ++picked[steps[0].mOwners.at(0)];
    }
    CHECK(picked.count("a3") == 0);
    if (settings.mRouting == Routing::Random)
      CHECK(picked.size() == 5);
    if (settings.mRouting == Routing::TwoChoices)
      CHECK(picked["b1"] > 250);
    if (settings.mRouting == Routing::LeastLoadedGossip)
      CHECK(picked["b1"] == 1000);
  }
  CHECK_FALSE(ParseRouting("fastest").has_value());
}

TEST_CASE("a slot comes from the worker with the largest share of free slots", "[routing]")
{
  const auto makeView = [](std::int64_t aFree, std::int64_t aSlots) {
    WorkerView view{ .mKnown = true };
    view.mSpec.mCapacity.mSlots = aSlots;
    view.mFree.mSlots = aFree;
    return view;
  };
  std::vector<WorkerView> views{ makeView(2, 8), makeView(3, 4), makeView(4, 16) };
  CHECK(PickSlotWorker(views, 0) == 1U);
  views[1].mExcluded = true;
  CHECK(PickSlotWorker(views, 0) == 0U);
  CHECK(PickSlotWorker(views, 1) == 2U);  // aTurn rotates between equal shares
  views[0].mKnown = false;
  views[2].mFree.mSlots = 0;
  CHECK_FALSE(PickSlotWorker(views, 0).has_value());
}

TEST_CASE("admission refuses by the shortest recent wait and ignores old ones", "[routing]")
{
  WaitEstimator waits({ .mWindow = seconds(1), .mMinSamples = 3 });
  const TimePoint now{ seconds(100) };
  for (int i = 0; i < 2; ++i)
    waits.Record(Priority::Normal, milliseconds(100), now);
  CHECK(waits.MayStartInTime(Priority::Normal, milliseconds(50), now));
  waits.Record(Priority::Normal, milliseconds(80), now);
  CHECK_FALSE(waits.MayStartInTime(Priority::Normal, milliseconds(50), now));
  CHECK(waits.MayStartInTime(Priority::Normal, milliseconds(90), now));
  CHECK(waits.MayStartInTime(Priority::Urgent, milliseconds(50), now));
  CHECK(waits.MayStartInTime(Priority::Normal, milliseconds(50), now + seconds(2)));
  CHECK_FALSE(waits.MayStartInTime(Priority::Normal, Duration::zero(), now + seconds(2)));
}
