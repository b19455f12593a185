// Reports that overtake each other, and late starts: a report proves that a run is absent only if
// it was requested after the proof that the run was there had been received.
#include <catch2/catch.hpp>

#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };

TimePoint At(int aMs)
{
  return kStart + milliseconds(aMs);
}

// Two workers with room for one task each; both have answered.
Scheduler MakeScheduler(std::uint64_t aEpoch)
{
  Scheduler scheduler({ .mEpoch = aEpoch });
  scheduler.SetQueues(MakeFleetConfig());
  for (const char* id : { "w0", "w1" }) {
    scheduler.ListWorker(MakeWorkerEntry(id), true, kStart);
    scheduler.OnReport(id, {}, kStart, kStart);
  }
  return scheduler;
}

WorkerReport ListRunning(const StartOrder& aOrder,
                         double aPercent = 0,
                         std::string aCheckpoint = "")
{
  WorkerReport report;
  report.mRunning.push_back({ aOrder.mTask, aOrder.mRun, std::move(aCheckpoint), aPercent });
  return report;
}

}  // namespace

// A task ran twice: a run that a report had just shown was taken for gone.
TEST_CASE(
  "fleet: a late start is taken for gone by a report from before it, and runs elsewhere too")
{
  Scheduler scheduler = MakeScheduler(1);
  scheduler.AddJob(MakeFleetJob("a", 1), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  const std::string id = orders.mStarts[0].mWorker;
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, At(400));
  // Both are requested after the start timed out. The first one is made after the start took
  // effect, the second one before it.
  scheduler.OnReport(id, ListRunning(orders.mStarts[0]), At(401), At(600));
  scheduler.OnReport(id, {}, At(402), At(601));
  CHECK(scheduler.FindWorker(id)->mRuns.size() == 1);
  CHECK(scheduler.Plan(At(610), 0, true, 0).mStarts.empty());
  // One that is requested later proves that the run is gone.
  scheduler.OnReport(id, {}, At(602), At(700));
  CHECK(scheduler.Plan(At(710), 0, true, 0).mStarts.size() == 1);
}

// Capacity was reserved for a run that had ended, and its task, to be repeated, waited for it.
TEST_CASE("fleet: a run that has ended is adopted again from a report that is older than its end")
{
  Scheduler scheduler = MakeScheduler(1);
  scheduler.AddJob(MakeFleetJob("a", 1), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  const std::string id = orders.mStarts[0].mWorker;
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, At(10));
  WorkerReport ended;
  ended.mEnded.push_back({ 1,
                           orders.mStarts[0].mTask,
                           orders.mStarts[0].mRun,
                           GENERATE(EndKind::Done, EndKind::Failed) });
  scheduler.OnReport(id, ended, At(500), At(700));
  scheduler.OnReport(id, ListRunning(orders.mStarts[0], 90), At(501), At(701));
  CHECK(scheduler.FindWorker(id)->mRuns.empty());
  CHECK(scheduler.FindWorker(id)->mUsedMilliCores == 0);
  const Orders next = scheduler.Plan(At(710), 0, true, 0);
  CHECK(next.mStops.empty());
  CHECK(next.mStarts.size() == (ended.mEnded[0].mKind == EndKind::Failed ? 1 : 0));
}

// Work was thrown away: a report that is older than a late start was taken for its absence.
TEST_CASE("fleet: a start without an answer is stopped because of a report from before it")
{
  Scheduler scheduler = MakeScheduler(1);
  scheduler.AddJob(MakeFleetJob("a", 1), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  const std::string id = orders.mStarts[0].mWorker;
  SECTION("the report does not list it")
  {
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, At(400));
    scheduler.OnReport(id, {}, At(300), At(450));
    CHECK(scheduler.Plan(At(460), 0, true, 0).mStops.empty());
    scheduler.OnReport(id, ListRunning(orders.mStarts[0]), At(401), At(600));
    CHECK(scheduler.Plan(At(610), 0, true, 0).mStops.empty());
  }
  SECTION("the report lists it")
  {
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, At(400));
    scheduler.OnReport(id, ListRunning(orders.mStarts[0]), At(300), At(450));
    CHECK(scheduler.Plan(At(460), 0, true, 0).mStops.empty());
    CHECK(scheduler.FindWorker(id)->mRuns[0].mPhase == RunPhase::Running);
  }
  SECTION("a report has listed it before its answer was given up")
  {
    scheduler.OnReport(id, ListRunning(orders.mStarts[0]), At(200), At(300));
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, At(400));
    scheduler.OnReport(id, ListRunning(orders.mStarts[0]), At(300), At(450));
    CHECK(scheduler.Plan(At(460), 0, true, 0).mStops.empty());
  }
  SECTION("a report that was requested later does not list it")
  {
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, At(400));
    scheduler.OnReport(id, {}, At(401), At(500));
    CHECK(scheduler.Plan(At(510), 0, true, 0).mStops.size() == 1);
  }
}

// A task that made progress was taken for a straggler and started anew on another worker.
TEST_CASE("fleet: the progress of a run is measured against an older report")
{
  Scheduler scheduler = MakeScheduler(1);
  JobSpec job = MakeFleetJob("a", 1);
  job.mStages[0].mCheckpointed = true;
  scheduler.AddJob(job, {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  const std::string id = orders.mStarts[0].mWorker;
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, At(10));
  scheduler.OnReport(id, ListRunning(orders.mStarts[0], 10, "c1"), At(100), At(101));
  scheduler.OnReport(id, ListRunning(orders.mStarts[0], 50, "c2"), At(450), At(501));
  scheduler.OnReport(id, ListRunning(orders.mStarts[0], 20, "c1"), At(460), At(800));
  const Run& run = scheduler.FindWorker(id)->mRuns[0];
  CHECK(run.mProgress.mPercentPerMs > 0);
  CHECK(scheduler.FindJob("a")->mOccurrences[0].mStages[0].mTasks[0].mCheckpoint == "c2");
  CHECK(scheduler.Plan(At(810), 0, true, 0).mStops.empty());
}

// After a takeover: a run that a previous holder had started was forgotten again.
TEST_CASE("fleet: a run of a previous holder is dropped by a report from before it, and runs twice")
{
  Scheduler scheduler = MakeScheduler(2);
  const bool isJobRead = GENERATE(true, false);
  INFO("job read " << isJobRead);
  if (isJobRead)
    scheduler.AddJob(MakeFleetJob("x", 1), {}, true, kStart);
  const StartOrder order{ .mWorker = "w0", .mTask = "x.0.0.0", .mRun = 7 };
  scheduler.OnReport("w0", ListRunning(order), At(100), At(300));
  scheduler.OnReport("w0", {}, At(101), At(301));
  scheduler.AddJob(MakeFleetJob("x", 1), {}, true, At(302));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
  CHECK(scheduler.Plan(At(310), 0, true, 0).mStarts.empty());
  scheduler.OnReport("w0", {}, At(302), At(400));
  CHECK(scheduler.Plan(At(410), 0, true, 0).mStarts.size() == 1);
}

// A task of the new incarnation was taken for lost, and its ends were counted by other numbers.
TEST_CASE("fleet: a report of an earlier incarnation that was overtaken ends the present one")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.AddJob(MakeFleetJob("x", 1), {}, true, kStart);
  WorkerReport before;
  before.mBornMs = 5000;
  scheduler.OnReport("w0", before, At(10), At(20));
  // Its machine's time of day was set back before it restarted.
  WorkerReport after = ListRunning({ .mWorker = "w0", .mTask = "x.0.0.0", .mRun = 7 });
  after.mBornMs = 4000;
  scheduler.OnReport("w0", after, At(100), At(300));
  REQUIRE(scheduler.FindWorker("w0")->mRuns.size() == 1);
  scheduler.OnReport("w0", before, At(150), At(320));
  CHECK(scheduler.FindWorker("w0")->mBornMs == 4000);
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
  CHECK(scheduler.Plan(At(330), 0, true, 0).mStarts.empty());
}

// A worker was given more than it had room for: its next incarnation, on a machine whose time of
// day was set back, was smaller.
TEST_CASE("fleet: tasks start on a worker while a report shows another incarnation of it")
{
  Scheduler scheduler = MakeScheduler(1);
  WorkerReport report;
  report.mBornMs = 1000;
  scheduler.OnReport("w0", report, At(10), At(20));
  report.mBornMs = 2000;
  scheduler.OnReport("w0", report, At(100), At(300));
  report.mBornMs = 1500;
  scheduler.OnReport("w0", report, At(200), At(320));
  scheduler.AddJob(MakeFleetJob("a", 2), {}, false, At(320));
  const Orders orders = scheduler.Plan(At(330), 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  CHECK(orders.mStarts[0].mWorker == "w1");
  // The next report decides.
  scheduler.OnReport("w0", report, At(321), At(400));
  CHECK(scheduler.Plan(At(410), 0, true, 0).mStarts.size() == 1);
}

// A late start could still take effect on the new incarnation, and its task ran elsewhere too.
TEST_CASE("fleet: a stop that an earlier incarnation confirmed counts for the present one")
{
  Scheduler scheduler = MakeScheduler(1);
  WorkerReport report;
  report.mBornMs = 1000;
  scheduler.OnReport("w0", report, At(10), At(20));
  scheduler.OnReport("w1", report, At(10), At(20));
  scheduler.AddJob(MakeFleetJob("a", 1), {}, false, At(20));
  const Orders orders = scheduler.Plan(At(20), 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  const std::string id = orders.mStarts[0].mWorker;
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, At(420));
  scheduler.OnReport(id, report, At(421), At(430));
  const Orders stops = scheduler.Plan(At(440), 0, true, 0);
  REQUIRE(stops.mStops.size() == 1);
  report.mBornMs = 2000;
  scheduler.OnReport(id, report, At(500), At(510));
  const Orders again = scheduler.Plan(At(520), 0, true, 0);
  REQUIRE(again.mStops.size() == 1);
  scheduler.OnStop(stops.mStops[0], true, At(530));
  scheduler.OnReport(id, report, At(540), At(550));
  CHECK(scheduler.Plan(At(560), 0, true, 0).mStarts.empty());
  scheduler.OnStop(again.mStops[0], true, At(570));
  scheduler.OnReport(id, report, At(580), At(590));
  CHECK(scheduler.Plan(At(600), 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: tasks run twice while starts are late and reports overtake each other")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mSlowCall = 0.6;
  faults.mFailure = 0.05;
  faults.mLostAnswer = 0.03;
  faults.mLostReport = 0.02;
  faults.mTakeoverPerS = seed % 2 == 0 ? 0.1 : 0;
  faults.mPreviousHolder = seconds(seed % 4 == 0 ? 5 : 0);
  faults.mCrashPerS = seed % 3 == 0 ? 0.02 : 0;
  faults.mUnresponsivePerS = seed % 5 == 0 ? 0.05 : 0;
  if (seed % 3 == 1) {
    faults.mRestartPerS = 0.2;
    faults.mRestartTime = milliseconds(100);
    faults.mDirectoryLag = milliseconds(300);
  }
  FleetModel model(seed, faults, 8);
  model.SetQueue(MakeFleetConfig().mQueues[0]);
  std::mt19937_64 random(seed);
  std::vector<std::string> ids;
  for (int round = 0; round < 60; ++round) {
    ids.push_back("j" + std::to_string(round));
    model.Submit(MakeFleetJob(ids.back(), static_cast<std::uint32_t>(1 + random() % 12)));
    if (random() % 10 == 0)
      model.Cancel(ids.back());
    model.RunFor(milliseconds(300));
  }
  CheckAllEnd(model, ids);
}
