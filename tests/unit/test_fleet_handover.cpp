// What a holder that stops as planned leaves to the next one: how long the leases of tasks on
// unresponsive workers still last.
#include <catch2/catch.hpp>

#include "fleet/peer_messages.h"
#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr Duration kMaxAway = seconds(9);  // of a lasting task, from the loss of its worker

// A holder that takes over the two workers of the one before; w1 answers.
std::unique_ptr<Scheduler> TakeOver(std::uint64_t aEpoch,
                                    const std::vector<LeaseWait>& aWaits,
                                    TimePoint aElectedAt)
{
  auto scheduler = std::make_unique<Scheduler>(SchedulerSettings{ .mEpoch = aEpoch });
  scheduler->SetQueues(MakeFleetConfig());
  for (const char* id : { "w0", "w1" }) {
    scheduler->ListWorker(MakeWorkerEntry(id, 1000), true, aElectedAt);
    scheduler->UnlistWorker(id, aElectedAt);
  }
  for (const LeaseWait& it : aWaits)
    scheduler->SetLeaseWait(it, aElectedAt);
  scheduler->ListWorker(MakeWorkerEntry("w1", 1000), true, aElectedAt);
  WorkerReport report;
  report.mBornMs = 1000;
  scheduler->OnReport("w1", report, aElectedAt, aElectedAt);
  scheduler->AddJob(MakeFleetJob("a", 1, true), {}, true, aElectedAt);
  return scheduler;
}

// Lets the first holder lose w0, which ran the task of job a, and returns it.
std::unique_ptr<Scheduler> LoseWorker()
{
  auto scheduler = std::make_unique<Scheduler>(SchedulerSettings{ .mEpoch = 1 });
  scheduler->SetQueues(MakeFleetConfig());
  WorkerReport report;
  report.mBornMs = 1000;
  scheduler->ListWorker(MakeWorkerEntry("w0", 1000), true, kStart);
  scheduler->OnReport("w0", report, kStart, kStart);
  scheduler->AddJob(MakeFleetJob("a", 1, true), {}, false, kStart);
  const Orders orders = scheduler->Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  scheduler->OnStart(orders.mStarts[0], StartOutcome::Started, kStart);
  static_cast<void>(scheduler->RenewTaskLeases(*scheduler->FindWorker("w0"), kStart, kStart));
  scheduler->OnSilence("w0", kStart + milliseconds(100));
  scheduler->UnlistWorker("w0", kStart + milliseconds(100));
  return scheduler;
}

bool StartsTask(Scheduler& aScheduler, TimePoint aNow)
{
  aScheduler.DropLapsed(aNow);
  return !aScheduler.Plan(aNow, 0, true, 0).mStarts.empty();
}

}  // namespace

// Lasting tasks were away for up to 45 s while the scheduling process was stopped time and again.
TEST_CASE("fleet: each planned hand-over starts the wait for workers that have left anew")
{
  auto scheduler = LoseWorker();
  TimePoint now = kStart;
  for (std::uint64_t epoch = 2; epoch < 4; ++epoch) {
    now += seconds(3);
    scheduler = TakeOver(epoch, scheduler->ListLeaseWaits(now), now + milliseconds(100));
    CHECK_FALSE(StartsTask(*scheduler, now + milliseconds(200)));
  }
  CHECK(StartsTask(*scheduler, kStart + kMaxAway));
}

TEST_CASE("fleet: the wait for a worker is cut short, though its leases may have been renewed")
{
  const auto scheduler = LoseWorker();
  std::vector<LeaseWait> waits = scheduler->ListLeaseWaits(kStart + seconds(3));
  REQUIRE(waits.size() == 1);
  const TimePoint electedAt = kStart + seconds(3);
  SECTION("another incarnation is recorded")
  {
    waits[0].mBornMs = 999;
    CHECK_FALSE(StartsTask(*TakeOver(2, waits, electedAt), kStart + kMaxAway));
  }
  SECTION("another incarnation is listed")
  {
    auto next = TakeOver(2, waits, electedAt);
    next->ListWorker(MakeWorkerEntry("w0", 2000), false, electedAt);
    CHECK_FALSE(StartsTask(*next, kStart + kMaxAway));
  }
  SECTION("it has answered")
  {
    auto next = TakeOver(2, waits, electedAt);
    WorkerReport report = { .mBornMs = 1000, .mRunning = { { .mTask = "a.0.0.0", .mRun = 1001 } } };
    next->OnReport("w0", report, electedAt, electedAt);
    static_cast<void>(next->RenewTaskLeases(*next->FindWorker("w0"), electedAt, electedAt));
    next->OnSilence("w0", electedAt + milliseconds(100));
    CHECK_FALSE(StartsTask(*next, kStart + kMaxAway));
  }
}

TEST_CASE("fleet: tasks run twice after planned hand-overs")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mTakeoverPerS = 0.4;
  faults.mPlannedTakeover = 0.8;
  faults.mPreviousHolder = seconds(5);
  faults.mUnresponsivePerS = 0.06;
  faults.mLostReport = 0.03;
  faults.mLostAnswer = 0.03;
  faults.mSlowCall = seed % 2 == 0 ? 0.2 : 0;
  faults.mDirectoryLag = milliseconds(300);
  faults.mRestartPerS = seed % 3 == 0 ? 0.05 : 0;
  faults.mDrainPerS = seed % 3 == 1 ? 0.03 : 0;
  FleetModel model(seed, faults, 8);
  model.SetQueue(MakeFleetConfig().mQueues[0]);
  std::mt19937_64 random(seed);
  std::vector<std::string> ids;
  for (int round = 0; round < 50; ++round) {
    ids.push_back("j" + std::to_string(round));
    model.Submit(MakeFleetJob(ids.back(), static_cast<std::uint32_t>(1 + random() % 8)));
    if (random() % 3 == 0)
      model.SetRunTime(ids.back(), milliseconds(2000 + random() % 6000));
    model.RunFor(milliseconds(500));
  }
  CheckAllEnd(model, ids);
}

TEST_CASE("fleet: a hand-over record does not survive the store")
{
  HandoverRecord record;
  record.mEpoch = 7;
  record.mLeaseWaits.push_back({ "w0", 1000, 250 });
  const auto read = DecodeMessage<HandoverRecord>(EncodeMessage(record));
  REQUIRE(read.has_value());
  CHECK(read->mEpoch == 7);
  REQUIRE(read->mLeaseWaits.size() == 1);
  CHECK(read->mLeaseWaits[0].mWorker == "w0");
  CHECK(read->mLeaseWaits[0].mBornMs == 1000);
  CHECK(read->mLeaseWaits[0].mLeftMs == 250);
  CHECK_FALSE(DecodeMessage<HandoverRecord>("x").has_value());
}
