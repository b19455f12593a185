// What a worker's owner answers about attempts, and which starts it refuses: fencing by epochs,
// settled attempts, expired leases, starts in doubt.
#include <catch2/catch.hpp>

#include "tests/unit/job_cell.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

TimePoint At(Duration aSince)
{
  return TimePoint{} + seconds(1000) + aSince;
}

Inventory MakeInventory(Epoch aEpoch, std::string aIncarnation = "1")
{
  Inventory inventory;
  inventory.mIncarnation = std::move(aIncarnation);
  inventory.mHighestEpoch = aEpoch;
  return inventory;
}

const TaskKey kTask{ "j", 0 };
const SupervisionState::Attempt kAttempt{ kTask, 1 };

TaskEnd Ask(SupervisionState& aState, Epoch aEpoch, TimePoint aNow)
{
  const auto reply = aState.Answer({ "w", aEpoch, { kAttempt } }, aNow);
  REQUIRE(reply.has_value());
  REQUIRE(reply->mReports.size() == 1);
  return reply->mReports[0].mEnd;
}

}  // namespace

TEST_CASE("an absent attempt never started only under the epoch that assigned it", "[supervision]")
{
  SupervisionState state(7, At({}));
  CHECK(state.Answer({ "w", 7, { kAttempt } }, At({})).error().mKind == FailureKind::NotReady);
  state.ApplyInventory(MakeInventory(7), At({}), At({}));
  CHECK(Ask(state, 7, At({})) == TaskEnd::NeverStarted);
  CHECK(Ask(state, 5, At({})) == TaskEnd::Unknown);
  // Settled: a start that arrives later is refused.
  CHECK(state.BeginStart(kAttempt, At(seconds(2))).error().mKind == FailureKind::Fenced);
}

TEST_CASE(
  "an inventory without an epoch settles nothing until earlier starts are past their deadline",
  "[supervision]")
{
  SupervisionState state(7, At({}));
  state.ApplyInventory(MakeInventory(0), At(seconds(1)), At(seconds(1)));
  CHECK(state.Answer({ "w", 7, { kAttempt } }, At(seconds(1))).has_error());
  state.ApplyInventory(MakeInventory(0), At(kTaskStartWithin), At(kTaskStartWithin));
  CHECK(state.Answer({ "w", 7, { kAttempt } }, At(kTaskStartWithin)).has_value());
}

TEST_CASE(
  "a start in doubt is settled by an inventory after its deadline, or when all leases expired",
  "[supervision]")
{
  SupervisionState state(7, At({}));
  state.ApplyInventory(MakeInventory(7), At({}), At({}));
  REQUIRE(state.BeginStart(kAttempt, At(seconds(2))).has_value());
  state.NoteLease(At({}), seconds(15), seconds(2), true);
  const Failure lost = MakeFailure(FailureKind::EndpointUnknown);
  state.EndStart(kAttempt, &lost, At(seconds(1)));
  CHECK(state.ApplyInventory(MakeInventory(7), At(seconds(1)), At(seconds(1))).empty());
  SECTION("the deadline has passed and the inventory lacks it")
  {
    CHECK(state.ApplyInventory(MakeInventory(7), At(seconds(3)), At(seconds(3))).size() == 1);
    CHECK(Ask(state, 7, At(seconds(3))) == TaskEnd::NeverStarted);
  }
  SECTION("the worker restarted meanwhile")
  {
    state.ApplyInventory(MakeInventory(7, "2"), At(seconds(3)), At(seconds(3)));
    CHECK(Ask(state, 7, At(seconds(3))) == TaskEnd::Unknown);
  }
  SECTION("the worker is unresponsive until every lease has expired")
  {
    CHECK(state.DeclareLost(At(seconds(20))).empty());
    CHECK(state.DeclareLost(At(seconds(60))).size() == 1);
    CHECK(Ask(state, 7, At(seconds(60))) == TaskEnd::Unknown);
    // The worker answers again and still runs the attempt, which must be stopped.
    Inventory inventory = MakeInventory(7);
    inventory.mTasks.push_back({ kTask, 1, 7 });
    state.ApplyInventory(inventory, At(seconds(61)), At(seconds(61)));
    CHECK(state.ListDisowned().size() == 1);
    CHECK(state.ListRenewals(At(seconds(61))).empty());
  }
}

TEST_CASE("starts of another epoch, on drained workers or without a hold are refused",
          "[supervision][cell]")
{
  JobCell cell(1);
  REQUIRE(cell.RunUntil([&] { return cell.mCapacity.ListViews().size() == 1; }));
  REQUIRE(cell.RunUntil([&] { return cell.mCapacity.ListViews()[0].mKnown; }));
  TaskStart start;
  start.mWorker = "w0";
  start.mTask = kTask;
  start.mAttempt = 1;
  start.mStartWithin = seconds(1);
  start.mEpoch = 9;
  CHECK(cell.Ask(start).error().mKind == FailureKind::Fenced);
  start.mEpoch = 1;
  CHECK(cell.Ask(start).error().mKind == FailureKind::EndpointRefused);
  HoldRequest hold;
  hold.mWorker = "w0";
  hold.mTasks = { kTask };
  hold.mShape.mNeed = { 1000, 256 };
  hold.mExpiry = seconds(3);
  REQUIRE(cell.Ask(hold).has_value());
  cell.mSupervision->SetDrained({ "w0" });
  CHECK(cell.Ask(hold).error().mKind == FailureKind::CapacityFull);
  const auto fit = cell.Ask(FitQuery{ hold.mShape, 1 });
  CHECK(std::get<FitReply>(*fit).mOffers.empty());
  CHECK(std::get<FitReply>(*fit).mExcluded == 1);
}

TEST_CASE("a worker that has seen a higher epoch fences its previous owner", "[supervision][cell]")
{
  JobCell cell(1);
  REQUIRE(cell.RunUntil([&] { return cell.mCapacity.ListViews().size() == 1; }));
  cell.mWorkers.mEndpoints["w0"].mHighest = 4;
  REQUIRE(cell.RunUntil([&] { return cell.mCapacity.ListViews().empty(); }));
  TaskStart start;
  start.mWorker = "w0";
  start.mTask = kTask;
  start.mEpoch = 1;
  CHECK(cell.Ask(start).error().mKind == FailureKind::NotOwner);
}
