// Placement: best fit over VMs of different sizes, spread over failure domains, and the counts of
// workers that do not fit, by reason.
#include <catch2/catch.hpp>

#include "policy/placement.h"

using namespace monsoon;

namespace {

WorkerView MakeWorker(WorkerName aName, Resources aFree, ZoneName aZone = "a", RackName aRack = "1")
{
  WorkerView view;
  view.mSpec.mName = std::move(aName);
  view.mSpec.mZone = std::move(aZone);
  view.mSpec.mRack = std::move(aRack);
  view.mSpec.mCapacity = aFree;
  view.mFree = aFree;
  view.mKnown = true;
  return view;
}

TaskShape MakeShape(Resources aNeed)
{
  TaskShape shape;
  shape.mJob = "j";
  shape.mNeed = aNeed;
  return shape;
}

}  // namespace

TEST_CASE("the tightest worker that fits comes first", "[placement]")
{
  const std::vector<WorkerView> workers{ MakeWorker("large", { 32000, 131072 }),
                                         MakeWorker("small", { 4000, 16384 }),
                                         MakeWorker("tiny", { 1000, 4096 }) };
  const FitReply reply = RankWorkers(workers, MakeShape({ 2000, 8192 }), 4);
  REQUIRE(reply.mOffers.size() == 2);
  CHECK(reply.mOffers[0].mWorker == "small");
  CHECK(reply.mOffers[0].mCount == 2);
  CHECK(reply.mNeverFits == 1);
}

TEST_CASE("the scarce resource decides which worker fits best", "[placement]")
{
  const std::vector<WorkerView> workers{ MakeWorker("cores", { 16000, 16384 }),
                                         MakeWorker("memory", { 4000, 131072 }) };
  CHECK(RankWorkers(workers, MakeShape({ 2000, 12000 }), 1).mOffers[0].mWorker == "cores");
  CHECK(RankWorkers(workers, MakeShape({ 3000, 100000 }), 1).mOffers[0].mWorker == "memory");
  CHECK(RankWorkers(workers, MakeShape({ 12000, 2000 }), 1).mOffers[0].mWorker == "cores");
}

TEST_CASE("accelerator VMs are kept for tasks that need accelerators", "[placement]")
{
  std::vector<WorkerView> workers{ MakeWorker("accelerated", { 4000, 16384, 4 }),
                                   MakeWorker("plain", { 64000, 262144 }) };
  workers[0].mSpec.mAcceleratorType = "tensor";
  CHECK(RankWorkers(workers, MakeShape({ 4000, 16384 }), 1).mOffers[0].mWorker == "plain");
  TaskShape shape = MakeShape({ 1000, 1024, 1 });
  shape.mAcceleratorType = "tensor";
  REQUIRE(RankWorkers(workers, shape, 1).mOffers.size() == 1);
  shape.mAcceleratorType = "vision";
  CHECK(RankWorkers(workers, shape, 1).mNeverFits == 2);
}

TEST_CASE("excluded, unknown, leaving and avoided workers are not counted as full", "[placement]")
{
  std::vector<WorkerView> workers;
  for (const char* name : { "excluded", "unknown", "leaving", "avoided", "full" })
    workers.push_back(MakeWorker(name, { 4000, 16384 }));
  workers[0].mExcluded = true;
  workers[1].mKnown = false;
  workers[2].mSpec.mLeaving = true;
  workers[4].mFree = {};
  TaskShape shape = MakeShape({ 1000, 1024 });
  shape.mAvoid = { "avoided" };
  const FitReply reply = RankWorkers(workers, shape, 1);
  CHECK(reply.mOffers.empty());
  CHECK(reply.mExcluded == 4);
  CHECK(reply.mFullNow == 1);
  CHECK(PlaceFirstFit(workers, shape) == workers.size());
}

TEST_CASE("spread tasks go to different zones, then racks", "[placement]")
{
  std::vector<WorkerView> workers;
  for (const char* zone : { "a", "b" })
    for (const char* rack : { "1", "2" })
      workers.push_back(
        MakeWorker(std::string(zone) + rack, { 8000, 32768 }, zone, std::string(zone) + rack));
  TaskShape shape = MakeShape({ 1000, 1024 });
  shape.mSpreadZones = true;
  shape.mSpreadRacks = true;
  const FitReply reply = RankWorkers(workers, shape, 4);
  const auto chosen = ChooseOffers(reply.mOffers, shape, 4);
  REQUIRE(chosen.size() == 4);
  for (const Offer& it : chosen)
    CHECK(it.mCount == 1);
  shape.mSpreadZones = shape.mSpreadRacks = false;
  CHECK(ChooseOffers(reply.mOffers, shape, 4).size() == 1);
}

TEST_CASE("a worker never gets more tasks than it offered", "[placement]")
{
  const std::vector<Offer> offers{ { "w1", "a", "1", 2, 0.5 }, { "w2", "a", "1", 3, 0.1 } };
  for (const bool spread : { false, true }) {
    TaskShape shape = MakeShape({ 1, 1 });
    shape.mSpreadRacks = spread;
    std::uint32_t n = 0;
    for (const Offer& it : ChooseOffers(offers, shape, 10)) {
      CHECK(it.mCount <= (it.mWorker == "w1" ? 2U : 3U));
      n += it.mCount;
    }
    CHECK(n == 5);
  }
}
