// The owner's waiting queue, grant service and outlier detection.
#include <catch2/catch.hpp>

#include "controllers/grants.h"
#include "tests/unit/request_mocks.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

const TimePoint kStart{ seconds(1000) };

Waiter MakeWaiter(std::string aCaller, Priority aPriority, Duration aDeadline)
{
  Waiter waiter;
  waiter.mRequest = aCaller;
  waiter.mCaller = std::move(aCaller);
  waiter.mPriority = aPriority;
  waiter.mDeadline = kStart + aDeadline;
  waiter.mArrivedAt = kStart;
  return waiter;
}

Ticket ServeNext(WaitingQueue& aQueue)
{
  const Ticket ticket = aQueue.ListNext(1).front();
  aQueue.Serve(ticket);
  return ticket;
}

struct GrantFixture
{
  asio::io_context mContext{ 1 };
  CapacityShards mCapacity{};
  MockOwnership mOwnership{};
  std::shared_ptr<GrantService<MockOwnership>> mService{};

  explicit GrantFixture(std::int64_t aSlots = 1)
  {
    mService = std::make_shared<GrantService<MockOwnership>>(
      mContext.get_executor(), "p1", mCapacity, mOwnership);
    mCapacity.SetSlotsHandler([this] { mService->OnSlotsChanged(); });
    mOwnership.mWorkers["w"] = { "p1", 3 };
    mCapacity.With("w", [&](CapacityBook& aBook) {
      WorkerSpec spec{ .mName = "w" };
      spec.mCapacity.mSlots = aSlots;
      aBook.PutWorker(spec, 3);
      aBook.ApplyInventory("w", { .mHighestEpoch = 3 }, BootClock::now(), BootClock::now());
    });
  }

  // Starts a request; the returned optional gets its result.
  std::shared_ptr<std::optional<Result<PeerReply>>> Begin(RequestId aId, Duration aWait)
  {
    auto result = std::make_shared<std::optional<Result<PeerReply>>>();
    GrantRequest want;
    want.mRequest = std::move(aId);
    want.mWait = aWait;
    want.mHold = seconds(5);
    asio::co_spawn(
      mContext,
      [](auto aService, GrantRequest aWant, auto aOut) -> Async<void> {
        aOut->emplace(co_await aService->Request(aWant));
      }(mService, want, result),
      asio::detached);
    Poll();
    return result;
  }
  void Poll()
  {
    mContext.restart();
    mContext.poll();
  }
  std::int64_t CountFree()
  {
    return mCapacity.With("w",
                          [](CapacityBook& aBook) { return aBook.FindView("w")->mFree.mSlots; });
  }
};

FailureKind GetKind(const std::shared_ptr<std::optional<Result<PeerReply>>>& aResult)
{
  return (*aResult)->error().mKind;
}

}  // namespace

TEST_CASE("waiters are served by class, then deadline, then age", "[grants]")
{
  WaitingQueue queue;
  const Ticket low = queue.Push(MakeWaiter("a", Priority::Low, seconds(1)));
  const Ticket late = queue.Push(MakeWaiter("b", Priority::Normal, seconds(9)));
  const Ticket soon = queue.Push(MakeWaiter("c", Priority::Normal, seconds(2)));
  Waiter older = MakeWaiter("d", Priority::Normal, seconds(9));
  older.mArrivedAt = kStart - seconds(1);
  const Ticket old = queue.Push(older);
  const Ticket urgent = queue.Push(MakeWaiter("e", Priority::Urgent, seconds(9)));
  CHECK(queue.ListNext(9) == std::vector<Ticket>{ urgent, soon, old, late, low });
  CHECK(queue.Remove(soon));
  CHECK_FALSE(queue.Remove(soon));
  CHECK(queue.ListNext(2) == std::vector<Ticket>{ urgent, old });
}

TEST_CASE("a caller with a thousand waiters delays another one by at most its burst", "[grants]")
{
  WaitingQueue queue;
  for (int i = 0; i < 1000; ++i)
    queue.Push(MakeWaiter("flood", Priority::Normal, seconds(1)));
  for (int i = 0; i < 100; ++i)
    ServeNext(queue);
  const Ticket other = queue.Push(MakeWaiter("farmer", Priority::Normal, seconds(9)));
  int before = 0;
  while (ServeNext(queue) != other)
    ++before;
  CHECK(before <= 4);
}

TEST_CASE("two flooding callers share the slots by their weights", "[grants]")
{
  WaitingQueue queue({ .mWeights = { { "big", 3 } } });
  std::map<Ticket, std::string> callers;
  for (int i = 0; i < 1000; ++i)
    for (const char* caller : { "big", "small" })
      callers[queue.Push(MakeWaiter(caller, Priority::Normal, seconds(1)))] = caller;
  std::map<std::string, int> served;
  for (int i = 0; i < 400; ++i)
    ++served[callers[ServeNext(queue)]];
  CHECK(served["big"] >= 280);
  CHECK(served["big"] <= 320);
}

TEST_CASE("a flood of urgent work delays low work but does not starve it", "[grants]")
{
  WaitingQueue queue;
  const Ticket low = queue.Push(MakeWaiter("l", Priority::Low, seconds(1)));
  for (int i = 0; i < 100; ++i)
    queue.Push(MakeWaiter("u", Priority::Urgent, seconds(1)));
  int before = 0;
  while (ServeNext(queue) != low)
    ++before;
  CHECK(before == 15);
}

TEST_CASE("a waiter gets the slot that another returns", "[grants]")
{
  GrantFixture it;
  const auto first = it.Begin("a", seconds(10));
  REQUIRE(first->has_value());
  const auto second = it.Begin("b", seconds(10));
  CHECK_FALSE(second->has_value());
  const Grant grant = std::get<Grant>(***first);
  CHECK(grant.mOwner == "p1");
  CHECK(grant.mEpoch == 3);
  REQUIRE(it.mService->Return({ grant.mId, "w", 3, GrantEnd::Answered }).has_value());
  it.Poll();
  REQUIRE(second->has_value());
  CHECK((*second)->has_value());
  CHECK(it.CountFree() == 0);
}

TEST_CASE("a request without wait time gets a free slot", "[grants]")
{
  GrantFixture it;
  CHECK((*it.Begin("a", Duration::zero()))->has_value());
}

TEST_CASE("a cancelled or overdue waiter fails accordingly and takes no slot", "[grants]")
{
  GrantFixture it;
  const auto first = it.Begin("a", seconds(10));
  const auto cancelled = it.Begin("b", seconds(10));
  REQUIRE(it.mService->Cancel({ "b" }).has_value());
  it.Poll();
  CHECK(GetKind(cancelled) == FailureKind::Cancelled);
  const auto overdue = it.Begin("c", Duration::zero());
  CHECK(GetKind(overdue) == FailureKind::CapacityFull);
  // A cancellation after the grant frees nothing: the slot may be in use.
  REQUIRE(it.mService->Cancel({ "a" }).has_value());
  it.Poll();
  CHECK(it.CountFree() == 0);
  CHECK(it.mService->CountWaiting() == 0);
}

TEST_CASE("an owner that loses its lease while requests wait grants nothing", "[grants]")
{
  GrantFixture it;
  const auto first = it.Begin("a", seconds(10));
  const Grant grant = std::get<Grant>(***first);
  const auto second = it.Begin("b", seconds(10));
  it.mOwnership.mLease = false;
  REQUIRE(it.mService->Return({ grant.mId, "w", 3, GrantEnd::Answered }).has_value());
  it.Poll();
  CHECK(GetKind(second) == FailureKind::NotOwner);
  CHECK(it.CountFree() == 1);
  CHECK(GetKind(it.Begin("c", seconds(10))) == FailureKind::NotOwner);
}

TEST_CASE("an owner frozen between a grant and the waiter's wake-up takes the grant back",
          "[grants]")
{
  GrantFixture it;
  const auto first = it.Begin("a", seconds(10));
  const Grant grant = std::get<Grant>(***first);
  const auto second = it.Begin("b", seconds(10));
  REQUIRE(it.mService->Return({ grant.mId, "w", 3, GrantEnd::Answered }).has_value());
  // The lease expires after the slot was granted and before the waiter's coroutine resumes.
  it.mOwnership.mOnLeaseCheck = [&] {
    if (it.CountFree() == 0)
      it.mOwnership.mLease = false;
  };
  it.Poll();
  it.mOwnership.mOnLeaseCheck = {};
  CHECK(GetKind(second) == FailureKind::NotOwner);
  CHECK(it.CountFree() == 1);
}

TEST_CASE("nothing is granted while the worker is tracked under another epoch than the lease's",
          "[grants]")
{
  GrantFixture it;
  it.mOwnership.mWorkers["w"].mEpoch = 4;
  CHECK(GetKind(it.Begin("a", Duration::zero())) == FailureKind::CapacityFull);
}

TEST_CASE("a draining grant service refuses new and waiting requests", "[grants]")
{
  GrantFixture it;
  const auto first = it.Begin("a", seconds(10));
  const auto second = it.Begin("b", seconds(10));
  it.mService->Drain();
  it.Poll();
  CHECK(GetKind(second) == FailureKind::Draining);
  CHECK(GetKind(it.Begin("c", seconds(10))) == FailureKind::Draining);
}

TEST_CASE("a worker that fails all its work is ejected, probed and used again", "[grants]")
{
  OutlierTable table({ .mFailures = 3, .mEjectFor = seconds(2) });
  for (int i = 0; i < 3; ++i)
    table.Record("w", "c" + std::to_string(i), GrantEnd::Failed, kStart);
  CHECK_FALSE(table.MayUse("w", kStart + seconds(1)));
  const TimePoint later = kStart + seconds(3);
  REQUIRE(table.GetHealth("w", later) == WorkerHealth::Probing);
  CHECK(table.MayUse("w", later));
  table.BeginProbe("w", later);
  CHECK_FALSE(table.MayUse("w", later));  // one probe at a time
  table.Record("w", "c", GrantEnd::Broken, later);
  CHECK_FALSE(table.MayUse("w", later + seconds(3)));  // longer than the first time
  const TimePoint last = later + seconds(5);
  CHECK(table.MayUse("w", last));
  table.BeginProbe("w", last);
  table.Record("w", "c", GrantEnd::Answered, last);
  CHECK(table.GetHealth("w", last) == WorkerHealth::Good);
}

TEST_CASE("a caller whose work fails everywhere ejects no worker", "[grants]")
{
  OutlierTable table;
  for (int round = 0; round < 8; ++round)
    for (const char* worker : { "u", "v", "w", "x" })
      table.Record(worker, "bad", GrantEnd::Failed, kStart);
  for (const char* worker : { "u", "v", "w", "x" })
    CHECK(table.MayUse(worker, kStart));
  CHECK(table.IsSuspect("bad", kStart));
  // An unreachable endpoint is never the caller's fault.
  for (int i = 0; i < 5; ++i)
    table.Record("u", "bad", GrantEnd::Refused, kStart);
  CHECK_FALSE(table.MayUse("u", kStart));
}

TEST_CASE("at most half of the workers are ejected", "[grants]")
{
  OutlierTable table({ .mFailures = 1, .mSuspectWorkers = 99 });
  table.SetWorkerCount(4);
  for (const char* worker : { "u", "v", "w", "x" })
    table.Record(worker, "c", GrantEnd::Refused, kStart);
  int usable = 0;
  for (const char* worker : { "u", "v", "w", "x" })
    usable += table.MayUse(worker, kStart) ? 1 : 0;
  CHECK(usable == 2);
}
