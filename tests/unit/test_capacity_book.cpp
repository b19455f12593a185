// CapacityBook allocates no capacity twice, whichever messages are lost or late and whatever an
// inventory contains.
#include <catch2/catch.hpp>

#include "controllers/capacity.h"

using namespace monsoon;

namespace {

const TimePoint kStart{ seconds(1000) };

WorkerSpec MakeWorker(std::int64_t aSlots = 2)
{
  return { .mName = "w", .mPort = 1, .mCapacity = { 4000, 4096, 0, aSlots, 60 } };
}

Inventory MakeInventory(Epoch aEpoch, std::vector<RequestId> aRequests = {})
{
  return { .mNowMs = 500000, .mHighestEpoch = aEpoch, .mRequests = std::move(aRequests) };
}

CapacityBook MakeBook(std::int64_t aSlots = 2)
{
  CapacityBook book;
  book.PutWorker(MakeWorker(aSlots), 7);
  book.ApplyInventory("w", MakeInventory(7), kStart, kStart);
  return book;
}

HoldRequest MakeHold(std::uint32_t aTasks, Resources aNeed)
{
  HoldRequest hold{ .mShape = { .mJob = "j", .mNeed = aNeed }, .mWorker = "w" };
  hold.mExpiry = seconds(5);
  for (std::uint32_t i = 0; i < aTasks; ++i)
    hold.mTasks.push_back({ "j", i });
  return hold;
}

TaskStart MakeStart(const HoldReply& aHold, std::uint32_t aTask)
{
  TaskStart start;
  start.mHold = aHold.mId;
  start.mEpoch = aHold.mEpoch;
  start.mWorker = "w";
  start.mTask = { "j", aTask };
  start.mAttempt = 1;
  start.mNeed = { 1000, 1024, 0, 0, 0 };
  return start;
}

std::int64_t CountFree(const CapacityBook& aBook)
{
  return aBook.FindView("w")->mFree.mSlots;
}

}  // namespace

TEST_CASE("a worker is full until its inventory was read under the present epoch", "[capacity]")
{
  CapacityBook book;
  book.PutWorker(MakeWorker(), 7);
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart).error().mKind == FailureKind::CapacityFull);
  book.ApplyInventory("w", MakeInventory(6), kStart, kStart);
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart).has_error());
  book.ApplyInventory("w", MakeInventory(7), kStart, kStart);
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart).has_value());
  book.PutWorker(MakeWorker(), 8);
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart).has_error());
  book.ApplyInventory(
    "w", MakeInventory(9), kStart, kStart);  // a later owner has acted on the worker
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart).has_error());
}

TEST_CASE("an inventory read sent within the quiet time makes no slot available", "[capacity]")
{
  CapacityBook book;
  book.PutWorker(MakeWorker(), 7);
  book.SetQuietUntil("w", kStart + seconds(3));
  book.ApplyInventory("w", MakeInventory(7), kStart + seconds(2), kStart + seconds(4));
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart + seconds(5)).has_error());
  book.ApplyInventory("w", MakeInventory(7), kStart + seconds(3), kStart + seconds(4));
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart + seconds(5)).has_value());
}

TEST_CASE("an expired grant keeps its slot until a later inventory lacks its request", "[capacity]")
{
  CapacityBook book = MakeBook(1);
  REQUIRE(book.TakeSlot("w", "r", seconds(5), kStart).has_value());
  CHECK(book.Expire(kStart + seconds(4)).empty());
  CHECK(book.Expire(kStart + seconds(6)).size() == 1);
  CHECK(book.Expire(kStart + seconds(6)).empty());
  CHECK(book.TakeSlot("w", "s", seconds(5), kStart + seconds(6)).has_error());
  book.ApplyInventory("w", MakeInventory(7), kStart + seconds(4), kStart + seconds(7));
  CHECK(CountFree(book) == 0);
  book.ApplyInventory("w", MakeInventory(7, { "r" }), kStart + seconds(7), kStart + seconds(8));
  CHECK(CountFree(book) == 0);
  book.ApplyInventory("w", MakeInventory(7), kStart + seconds(9), kStart + seconds(9));
  CHECK(CountFree(book) == 1);
  CHECK(book.FindInvariantViolation().empty());
}

TEST_CASE("a grant returned in doubt keeps its slot until an inventory shows the endpoint free",
          "[capacity]")
{
  CapacityBook book = MakeBook(1);
  const Grant grant = book.TakeSlot("w", "r", seconds(30), kStart).value();
  const GrantReturn end{ grant.mId, "w", 7, GrantEnd::Unknown };
  REQUIRE(book.ReturnSlot(end, kStart + seconds(1)).has_value());
  CHECK(CountFree(book) == 0);
  // Sent before the start deadline: the request may still arrive.
  const TimePoint early = kStart + milliseconds(1500);
  book.ApplyInventory("w", MakeInventory(7), early, early);
  CHECK(CountFree(book) == 0);
  book.ApplyInventory("w", MakeInventory(7), kStart + seconds(3), kStart + seconds(3));
  CHECK(CountFree(book) == 1);
}

TEST_CASE("a return under another epoch, or a second return, changes nothing", "[capacity]")
{
  CapacityBook book = MakeBook(2);
  const Grant grant = book.TakeSlot("w", "r", seconds(5), kStart).value();
  GrantReturn end{ grant.mId, "w", 6, GrantEnd::Answered };
  CHECK(book.ReturnSlot(end, kStart).error().mKind == FailureKind::Fenced);
  end.mEpoch = 7;
  CHECK(book.ReturnSlot(end, kStart).has_value());
  CHECK(book.ReturnSlot(end, kStart).error().mKind == FailureKind::NotFound);
  CHECK(CountFree(book) == 2);
}

TEST_CASE("an older inventory that arrives late changes nothing", "[capacity]")
{
  CapacityBook book = MakeBook(1);
  book.ApplyInventory("w", MakeInventory(7, { "r" }), kStart + seconds(2), kStart + seconds(2));
  book.ApplyInventory("w", MakeInventory(7), kStart + seconds(1), kStart + seconds(3));
  CHECK(CountFree(book) == 0);
}

TEST_CASE("unknown requests and tasks in an inventory count as used", "[capacity]")
{
  CapacityBook book = MakeBook(2);
  Inventory inventory = MakeInventory(7, { "stranger" });
  inventory.mTasks.push_back(
    { .mTask = { "k", 0 }, .mAttempt = 1, .mNeed = { 3000, 10, 0, 0, 0 } });
  book.ApplyInventory("w", inventory, kStart + seconds(1), kStart + seconds(1));
  CHECK(book.FindView("w")->mFree == Resources{ 1000, 4086, 0, 1, 59 });
  CHECK(book.ListStarted("w").size() == 1);
  book.ApplyInventory("w", MakeInventory(7), kStart + seconds(2), kStart + seconds(2));
  CHECK(book.FindView("w")->mFree == MakeWorker().mCapacity);
  CHECK(book.ListStarted("w").empty());
}

TEST_CASE("a request that ended after the read was sent is not counted from that read",
          "[capacity]")
{
  CapacityBook book = MakeBook(1);
  const Grant grant = book.TakeSlot("w", "r", seconds(5), kStart).value();
  const TimePoint ended = kStart + seconds(2);
  REQUIRE(book.ReturnSlot({ grant.mId, "w", 7, GrantEnd::Answered }, ended).has_value());
  book.ApplyInventory("w", MakeInventory(7, { "r" }), kStart + seconds(1), kStart + seconds(3));
  CHECK(CountFree(book) == 1);
  book.ApplyInventory("w", MakeInventory(7, { "r" }), kStart + seconds(4), kStart + seconds(4));
  CHECK(CountFree(book) == 0);
}

TEST_CASE("start deadlines are on the worker's clock and need a recent reading", "[capacity]")
{
  CapacityBook book;
  book.PutWorker(MakeWorker(), 7);
  book.ApplyInventory("w", MakeInventory(7), kStart, kStart + seconds(1));
  // The reading of 500,000 ms may have been taken as late as kStart + 1 s.
  const Grant grant = book.TakeSlot("w", "r", seconds(5), kStart + seconds(3)).value();
  CHECK(grant.mStartBefore <= 500000 + 2000 + 2000);
  CHECK(grant.mStartBefore >= 500000 + 2000 + 1900);
  const TimePoint late = kStart + kMaxReadingAge + milliseconds(1);
  CHECK(book.TakeSlot("w", "s", seconds(5), late).error().mKind == FailureKind::NotReady);
}

TEST_CASE("a hold becomes a started task once, and use above the request counts", "[capacity]")
{
  CapacityBook book = MakeBook();
  const HoldReply hold = book.Hold(MakeHold(6, { 1000, 1024, 0, 0, 0 }), kStart).value();
  CHECK(hold.mTasks.size() == 4);
  CHECK(book.Hold(MakeHold(1, { 1000, 1024, 0, 0, 0 }), kStart).has_error());
  REQUIRE(book.BeginStart(MakeStart(hold, 0), kStart).has_value());
  REQUIRE(book.BeginStart(MakeStart(hold, 0), kStart).has_value());  // the same start again
  CHECK(book.ListStarted("w").size() == 1);
  CHECK(book.FindView("w", "j")->mTasksOfJob == 4);
  CHECK(book.BeginStart(MakeStart(hold, 1), kStart + seconds(5)).has_error());
  book.Expire(kStart + seconds(5));
  CHECK(book.BeginStart(MakeStart(hold, 1), kStart + seconds(5)).error().mKind ==
        FailureKind::NotFound);
  CHECK(book.FindView("w")->mFree.mMilliCores == 3000);
  Inventory inventory = MakeInventory(7);
  inventory.mTasks.push_back({ .mTask = { "j", 0 }, .mAttempt = 1, .mUsed = { 3500, 0, 0, 0, 0 } });
  book.ApplyInventory("w", inventory, kStart + seconds(6), kStart + seconds(6));
  CHECK(book.FindView("w")->mFree.mMilliCores == 500);
  inventory.mTasks.front().mEnd = TaskEnd::Succeeded;
  book.ApplyInventory("w", inventory, kStart + seconds(7), kStart + seconds(7));
  CHECK(book.FindView("w")->mFree.mMilliCores == 4000);
  CHECK(book.ListStarted("w").size() == 1);
  book.EndTask("w", { "j", 0 }, 1);
  CHECK(book.ListStarted("w").empty());
  CHECK(book.FindInvariantViolation().empty());
}

TEST_CASE("a request that may still run on a worker gets no second slot there", "[capacity]")
{
  CapacityBook book = MakeBook(2);
  const Grant grant = book.TakeSlot("w", "r", seconds(5), kStart).value();
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart).error().mKind == FailureKind::Conflict);
  REQUIRE(book.ReturnSlot({ grant.mId, "w", 7, GrantEnd::Broken }, kStart).has_value());
  CHECK(book.TakeSlot("w", "r", seconds(5), kStart).error().mKind == FailureKind::Conflict);
}

TEST_CASE("a worker whose capacity shrinks gets no new work and violates no invariant",
          "[capacity]")
{
  CapacityBook book = MakeBook(2);
  const Grant first = book.TakeSlot("w", "a", seconds(5), kStart).value();
  REQUIRE(book.TakeSlot("w", "b", seconds(5), kStart).has_value());
  book.PutWorker(MakeWorker(1), 7);
  CHECK(book.FindInvariantViolation().empty());
  REQUIRE(book.ReturnSlot({ first.mId, "w", 7, GrantEnd::Answered }, kStart).has_value());
  CHECK(book.TakeSlot("w", "c", seconds(5), kStart).has_error());
  CHECK(book.FindInvariantViolation().empty());
}

TEST_CASE("the slots handler is called when slots become free", "[capacity]")
{
  CapacityShards shards;
  int notified = 0;
  shards.SetSlotsHandler([&] { ++notified; });
  shards.With("w", [](CapacityBook& aBook) {
    aBook.PutWorker(MakeWorker(1), 7);
    aBook.ApplyInventory("w", MakeInventory(7), kStart, kStart);
  });
  CHECK(notified == 1);
  const auto grant = shards.With(
    "w", [](CapacityBook& aBook) { return aBook.TakeSlot("w", "r", seconds(5), kStart); });
  REQUIRE(grant.has_value());
  CHECK(notified == 1);
  CHECK(shards.CountFreeSlots() == 0);
  shards.With("w", [&](CapacityBook& aBook) {
    return aBook.ReturnSlot({ grant->mId, "w", 7, GrantEnd::Answered }, kStart);
  });
  CHECK(notified == 2);
  CHECK(shards.ListViews().size() == 1);
}
