// Incarnations of workers: which of several ids at one address is the living one, and what a
// silent or departed worker still runs.
#include <catch2/catch.hpp>

#include "fleet/scheduler.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };

Scheduler MakeScheduler(std::uint64_t aEpoch = 1)
{
  Scheduler scheduler({ .mEpoch = aEpoch });
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mMaxAttempts = 3;
  FleetConfig config;
  config.mQueues.push_back(queue);
  scheduler.SetQueues(config);
  return scheduler;
}

WorkerEntry MakeEntry(std::string aId, std::int64_t aBornMs)
{
  WorkerEntry entry;
  entry.mId = std::move(aId);
  entry.mAddress = "10.0.0.7:80";
  entry.mService = "pool";
  entry.mMilliCores = 8000;
  entry.mMemoryMiB = 16'000;
  entry.mBornMs = aBornMs;
  return entry;
}

JobSpec MakeJob(std::string aId)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  StageSpec stage;
  stage.mCount = 1;
  stage.mMilliCores = 1000;
  stage.mMemoryMiB = 1000;
  stage.mEstimateMs = 1000;
  job.mStages.push_back(stage);
  return job;
}

WorkerReport MakeReport(std::int64_t aBornMs)
{
  WorkerReport report;
  report.mBornMs = aBornMs;
  return report;
}

// Starts the only task of job "a" on the given worker, and returns the order.
StartOrder StartOn(Scheduler& aScheduler, const std::string& aWorker, std::int64_t aBornMs)
{
  aScheduler.OnReport(aWorker, MakeReport(aBornMs), kStart, kStart);
  aScheduler.AddJob(MakeJob("a"), {}, false, kStart);
  const Orders orders = aScheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  REQUIRE(orders.mStarts[0].mWorker == aWorker);
  aScheduler.OnStart(orders.mStarts[0], StartOutcome::Started, kStart);
  return orders.mStarts[0];
}

// Starts the only task of job "a" on worker "w0", which drains from then on.
void StartOnDraining(Scheduler& aScheduler)
{
  aScheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  StartOn(aScheduler, "w0", 1000);
  WorkerEntry draining = MakeEntry("w0", 1000);
  draining.mDraining = true;
  draining.mJustWritten = true;
  aScheduler.ListWorker(draining, true, kStart);
  aScheduler.FindWorker("w0")->mLeaseSentAt = kStart;
}

}  // namespace

TEST_CASE("fleet: a stale directory entry does not replace the worker that succeeded it")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("old", 1000), true, kStart);
  scheduler.ListWorker(MakeEntry("new", 2000), true, kStart);
  scheduler.OnReplaced("old", MakeEntry("old", 1000).mAddress, kStart);
  CHECK(!scheduler.FindWorker("old"));
  StartOn(scheduler, "new", 2000);
  scheduler.ListWorker(MakeEntry("old", 1000), false, kStart + seconds(1));
  CHECK(!scheduler.FindWorker("old"));
  REQUIRE(scheduler.FindWorker("new"));
  CHECK(scheduler.FindWorker("new")->mRuns.size() == 1);
  CHECK(scheduler.Plan(kStart + seconds(1), 0, true, 0).mStarts.empty());
}

TEST_CASE("fleet: the order in which a new holder reads the directory does not matter")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.ListWorker(MakeEntry("new", 2000), false, kStart);
  scheduler.ListWorker(MakeEntry("old", 1000), false, kStart);
  scheduler.OnReport("new", MakeReport(2000), kStart, kStart);
  scheduler.OnReplaced("old", MakeEntry("old", 1000).mAddress, kStart);
  CHECK(scheduler.FindWorker("new"));
  CHECK(!scheduler.FindWorker("old"));
}

TEST_CASE("fleet: a stored record without a start time does not end the worker at its address")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.ListWorker(MakeEntry("living", 0), true, kStart);
  scheduler.UnlistWorker("living", kStart);
  scheduler.ListWorker(MakeEntry("older", 0), true, kStart);
  scheduler.UnlistWorker("older", kStart);
  CHECK(scheduler.FindWorker("living"));
  CHECK(scheduler.FindWorker("older"));
}

TEST_CASE("fleet: a draining worker that is silent and unlisted keeps its tasks")
{
  Scheduler scheduler = MakeScheduler();
  StartOnDraining(scheduler);
  // A partition: no answers, and after three missed heartbeats no directory entry.
  scheduler.OnSilence("w0", kStart + seconds(1));
  scheduler.UnlistWorker("w0", kStart + milliseconds(4500));
  scheduler.DropLapsed(kStart + milliseconds(4600));
  REQUIRE(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
  scheduler.DropLapsed(kStart + milliseconds(6400));
  CHECK(!scheduler.FindWorker("w0"));
}

TEST_CASE("fleet: a draining worker whose entry has expired counts as gone after one lost answer")
{
  Scheduler scheduler = MakeScheduler();
  StartOnDraining(scheduler);
  // It does not reach the store, but answers the holder.
  WorkerReport report = MakeReport(1000);
  report.mRunning.push_back({ "a.0.0.0", 1, "", 10 });
  scheduler.OnReport("w0", report, kStart + milliseconds(4400), kStart + milliseconds(4400));
  scheduler.FindWorker("w0")->mLeaseSentAt = kStart + milliseconds(4400);
  scheduler.UnlistWorker("w0", kStart + milliseconds(4500));
  const bool answersAgain = GENERATE(false, true);
  if (answersAgain)
    scheduler.OnReport("w0", report, kStart + milliseconds(4600), kStart + milliseconds(4600));
  scheduler.OnSilence("w0", kStart + milliseconds(4700));
  scheduler.DropLapsed(kStart + milliseconds(4750));
  REQUIRE(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
}

TEST_CASE("fleet: the tasks of a draining worker that left start elsewhere at once")
{
  Scheduler scheduler = MakeScheduler();
  StartOnDraining(scheduler);
  scheduler.OnReport(
    "w0",
    [] {
      WorkerReport report = MakeReport(1000);
      report.mRunning.push_back({ "a.0.0.0", 1, "", 10 });
      return report;
    }(),
    kStart + milliseconds(900),
    kStart + milliseconds(900));
  scheduler.UnlistWorker("w0", kStart + milliseconds(1200));
  scheduler.OnSilence("w0", kStart + milliseconds(1300));
  scheduler.DropLapsed(kStart + milliseconds(1350));
  CHECK(!scheduler.FindWorker("w0"));
}

TEST_CASE("fleet: a start that waits in a queue is not sent once its task is done elsewhere")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  scheduler.OnReport("w0", MakeReport(1000), kStart, kStart);
  JobSpec job = MakeJob("a");
  scheduler.AddJob(job, {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  const StartOrder& order = orders.mStarts[0];
  CHECK(scheduler.IsStartWanted(order));

  SECTION("done elsewhere")
  {
    WorkerEntry other = MakeEntry("w1", 1000);
    other.mAddress = "10.0.0.8:80";
    scheduler.ListWorker(other, true, kStart);
    WorkerReport report = MakeReport(1000);
    report.mEnded.push_back({ 1, order.mTask, order.mRun + 1, EndKind::Done, "" });
    scheduler.OnReport("w1", report, kStart, kStart);
  }
  SECTION("cancelled")
  {
    scheduler.CancelJob("a", kStart);
  }
  SECTION("the worker no longer answers")
  {
    scheduler.OnSilence("w0", kStart);
  }
  SECTION("the worker was replaced")
  {
    scheduler.OnReplaced("w0", "10.0.0.7:80", kStart);
  }
  CHECK(!scheduler.IsStartWanted(order));
}

TEST_CASE("fleet: an id whose address answers as another incarnation stays gone")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  StartOn(scheduler, "w0", 1000);
  scheduler.OnReplaced("w0", "10.0.0.7:80", kStart);
  CHECK(!scheduler.FindWorker("w0"));
  scheduler.ListWorker(MakeEntry("w0", 1000), false, kStart);
  CHECK(!scheduler.FindWorker("w0"));
  scheduler.ListWorker(MakeEntry("w0", 3000), false, kStart);  // the id started again
  CHECK(scheduler.FindWorker("w0"));
}

TEST_CASE("fleet: contradicting signs of order keep both workers")
{
  Scheduler scheduler = MakeScheduler();
  WorkerEntry first = MakeEntry("w0", 1000);
  first.mCreatedRevision = 90;  // listed again by a write that was delayed
  WorkerEntry second = MakeEntry("w1", 2000);
  second.mCreatedRevision = 80;
  scheduler.ListWorker(first, true, kStart);
  scheduler.ListWorker(second, true, kStart);
  CHECK(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w1"));
}

TEST_CASE("fleet: where tokens are not checked, only reports after the last old order count")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.SetFencedFrom(kStart + seconds(3));
  scheduler.AddJob(MakeJob("a"), {}, true, kStart);
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  scheduler.OnReport("w0", MakeReport(1000), kStart + seconds(1), kStart + seconds(1));
  CHECK(!scheduler.AreAllResolved());
  CHECK(scheduler.Plan(kStart + seconds(1), 0, true, 0).mStarts.empty());
  scheduler.OnReport("w0", MakeReport(1000), kStart + seconds(3), kStart + seconds(3));
  CHECK(scheduler.AreAllResolved());
  CHECK(scheduler.Plan(kStart + seconds(3), 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a worker that restarted under its id is given the capacity that it had before")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  StartOn(scheduler, "w0", 1000);
  scheduler.AddJob(MakeJob("b"), {}, false, kStart);
  WorkerEntry smaller = MakeEntry("w0", 2000);
  smaller.mMilliCores = 500;

  SECTION("it answers before its entry is listed")
  {
    scheduler.OnReport("w0", MakeReport(2000), kStart + seconds(1), kStart + seconds(1));
    CHECK(scheduler.Plan(kStart + seconds(1), 0, true, 0).mStarts.empty());
    scheduler.ListWorker(smaller, false, kStart + seconds(2));
  }
  SECTION("the entry of its former incarnation is listed again")
  {
    scheduler.ListWorker(smaller, false, kStart + seconds(1));
    scheduler.ListWorker(MakeEntry("w0", 1000), false, kStart + seconds(1));
    scheduler.OnReport("w0", MakeReport(2000), kStart + seconds(2), kStart + seconds(2));
  }
  CHECK(scheduler.Plan(kStart + seconds(2), 0, true, 0).mStarts.empty());
  WorkerEntry present = MakeEntry("w0", 2000);
  present.mMilliCores = 1000;
  scheduler.ListWorker(present, false, kStart + seconds(3));
  CHECK(scheduler.Plan(kStart + seconds(3), 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: ends of a restarted worker are skipped, as its clock was set back")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 5000), true, kStart);
  StartOn(scheduler, "w0", 5000);
  WorkerReport report = MakeReport(5000);
  report.mEnded.push_back({ 7, "x.0.0.0", 1, EndKind::Stopped, "" });
  report.mRunning.push_back({ "a.0.0.0", 1, "", 10 });
  scheduler.OnReport("w0", report, kStart, kStart);

  // The new incarnation counts its ends from 1, and was born before the one that it follows.
  scheduler.OnReport("w0", MakeReport(3000), kStart + seconds(1), kStart + seconds(1));
  scheduler.ListWorker(MakeEntry("w0", 3000), false, kStart + seconds(1));
  const Orders orders = scheduler.Plan(kStart + seconds(1), 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, kStart + seconds(1));
  report = MakeReport(3000);
  report.mEnded.push_back({ 1, "a.0.0.0", orders.mStarts[0].mRun, EndKind::Done, "" });
  scheduler.OnReport("w0", report, kStart + seconds(2), kStart + seconds(2));
  CHECK(scheduler.FindJob("a")->mState == JobState::Completed);

  // The directory shows the former entry once more: the tasks of the present incarnation run on.
  scheduler.AddJob(MakeJob("b"), {}, false, kStart);
  const Orders next = scheduler.Plan(kStart + seconds(2), 0, true, 0);
  REQUIRE(next.mStarts.size() == 1);
  scheduler.OnStart(next.mStarts[0], StartOutcome::Started, kStart + seconds(2));
  scheduler.ListWorker(MakeEntry("w0", 5000), false, kStart + seconds(3));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
}

TEST_CASE("fleet: an end of a restarted worker is acknowledged for one of its former incarnation")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  WorkerReport report = MakeReport(1000);
  report.mEnded.push_back({ 1, "x.0.0.0", 1, EndKind::Stopped, "" });
  scheduler.OnReport("w0", report, kStart, kStart);
  // The end counts as that of a job that is not known; wait until it is given up.
  const TimePoint later = kStart + seconds(10);
  const ProgressBatch batch = scheduler.CollectProgress(10, later);
  REQUIRE(batch.mEnds.size() == 1);
  report = MakeReport(2000);
  report.mEnded.push_back({ 1, "y.0.0.0", 1, EndKind::Done, "" });
  scheduler.OnReport("w0", report, later, later);
  scheduler.OnProgressStored(batch);
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 0);
}

TEST_CASE("fleet: a start without an answer runs on the next incarnation of its worker, unnoticed")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  scheduler.OnReport("w0", MakeReport(1000), kStart, kStart);
  scheduler.AddJob(MakeJob("a"), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  WorkerEntry other = MakeEntry("w1", 1000);
  other.mAddress = "10.0.0.8:80";
  scheduler.ListWorker(other, true, kStart);
  scheduler.OnReport("w1", MakeReport(1000), kStart, kStart);
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, kStart + milliseconds(400));
  scheduler.ListWorker(MakeEntry("w0", 2000), false, kStart + milliseconds(500));
  CHECK(scheduler.Plan(kStart + milliseconds(500), 0, true, 0).mStarts.empty());
  // A stop settles it: the worker refuses the run from then on.
  scheduler.OnReport(
    "w0", MakeReport(2000), kStart + milliseconds(600), kStart + milliseconds(600));
  const Orders stops = scheduler.Plan(kStart + milliseconds(600), 0, true, 0);
  REQUIRE(stops.mStops.size() == 1);
  scheduler.OnStop(stops.mStops[0], true, kStart + milliseconds(650));
  scheduler.OnReport(
    "w0", MakeReport(2000), kStart + milliseconds(700), kStart + milliseconds(700));
  CHECK(scheduler.Plan(kStart + milliseconds(700), 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a worker that started again at another address is lost with its former address")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  scheduler.OnReport("w0", MakeReport(1000), kStart, kStart);
  // A poll is on its way to the former address, where another worker answers.
  const std::string polled = scheduler.FindWorker("w0")->mEntry.mAddress;
  WorkerEntry moved = MakeEntry("w0", 2000);
  moved.mAddress = "10.0.0.9:80";
  scheduler.ListWorker(moved, false, kStart + seconds(1));
  scheduler.OnReport("w0", MakeReport(2000), kStart, kStart, moved.mAddress);
  StartOn(scheduler, "w0", 2000);
  scheduler.OnReplaced("w0", polled, kStart + seconds(2));
  REQUIRE(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
  scheduler.OnReplaced("w0", moved.mAddress, kStart + seconds(3));
  CHECK_FALSE(scheduler.FindWorker("w0"));
}

TEST_CASE("fleet: a task that already runs on the next incarnation of its worker starts elsewhere")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  scheduler.OnReport("w0", MakeReport(1000), kStart, kStart);
  scheduler.AddJob(MakeJob("a"), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  WorkerEntry other = MakeEntry("w1", 1000);
  other.mAddress = "10.0.0.8:80";
  scheduler.ListWorker(other, true, kStart);
  scheduler.OnReport("w1", MakeReport(1000), kStart, kStart);

  // The new incarnation has carried out the order; no report has told of it yet.
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, kStart + milliseconds(10));
  scheduler.ListWorker(MakeEntry("w0", 2000), false, kStart + milliseconds(20));
  CHECK(scheduler.Plan(kStart + milliseconds(20), 0, true, 0).mStarts.empty());
  WorkerReport report = MakeReport(2000);
  report.mRunning.push_back({ "a.0.0.0", orders.mStarts[0].mRun, "", 10 });
  scheduler.OnReport("w0", report, kStart + milliseconds(30), kStart + milliseconds(40));
  const Orders next = scheduler.Plan(kStart + milliseconds(40), 0, true, 0);
  CHECK(next.mStarts.empty());
  CHECK(next.mStops.empty());
}

TEST_CASE(
  "fleet: a start that is being stopped runs on the next incarnation of its worker, unnoticed")
{
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeEntry("w0", 1000), true, kStart);
  scheduler.OnReport("w0", MakeReport(1000), kStart, kStart);
  scheduler.AddJob(MakeJob("a"), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  WorkerEntry other = MakeEntry("w1", 1000);
  other.mAddress = "10.0.0.8:80";
  scheduler.ListWorker(other, true, kStart);
  scheduler.OnReport("w1", MakeReport(1000), kStart, kStart);

  // The order was not answered, so it may still be carried out; the worker restarts before it
  // answers the stop.
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, kStart + milliseconds(400));
  scheduler.OnReport(
    "w0", MakeReport(1000), kStart + milliseconds(410), kStart + milliseconds(410));
  const Orders stops = scheduler.Plan(kStart + milliseconds(410), 0, true, 0);
  REQUIRE(stops.mStops.size() == 1);
  scheduler.ListWorker(MakeEntry("w0", 2000), false, kStart + milliseconds(500));
  CHECK(scheduler.Plan(kStart + milliseconds(500), 0, true, 0).mStarts.empty());
  // The new incarnation has to be told as well.
  scheduler.OnReport(
    "w0", MakeReport(2000), kStart + milliseconds(600), kStart + milliseconds(600));
  const Orders again = scheduler.Plan(kStart + seconds(1), 0, true, 0);
  REQUIRE(again.mStops.size() == 1);
  scheduler.OnStop(again.mStops[0], true, kStart + milliseconds(1050));
  scheduler.OnReport(
    "w0", MakeReport(2000), kStart + milliseconds(1100), kStart + milliseconds(1100));
  CHECK(scheduler.Plan(kStart + milliseconds(1100), 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a queued start is sent to a worker that restarted as one without the label")
{
  Scheduler scheduler = MakeScheduler();
  WorkerEntry entry = MakeEntry("w0", 1000);
  entry.mLabels = { "big" };
  scheduler.ListWorker(entry, true, kStart);
  scheduler.OnReport("w0", MakeReport(1000), kStart, kStart);
  JobSpec job = MakeJob("a");
  job.mStages[0].mRequiredLabel = "big";
  scheduler.AddJob(job, {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  WorkerEntry next = MakeEntry("w0", 2000);
  SECTION("without the label")
  {
    next.mLabels = { "small" };
  }
  SECTION("of another service")
  {
    next.mLabels = { "big" };
    next.mService = "other";
  }
  scheduler.ListWorker(next, false, kStart + milliseconds(100));
  scheduler.OnReport(
    "w0", MakeReport(2000), kStart + milliseconds(110), kStart + milliseconds(110));
  CHECK_FALSE(scheduler.IsStartWanted(orders.mStarts[0]));
}

TEST_CASE("fleet: a late entry of an unknown former incarnation ends the present one")
{
  Scheduler scheduler = MakeScheduler(2);
  WorkerEntry other = MakeEntry("w1", 1000);
  other.mAddress = "10.0.0.8:80";
  scheduler.ListWorker(MakeEntry("w0", 3000), true, kStart);
  StartOn(scheduler, "w0", 3000);
  scheduler.ListWorker(other, true, kStart);
  scheduler.OnReport("w1", MakeReport(1000), kStart, kStart);
  WorkerReport report = MakeReport(3000);
  report.mRunning.push_back({ "a.0.0.0", scheduler.FindWorker("w0")->mRuns[0].mRun, "", 10 });
  scheduler.OnReport("w0", report, kStart + seconds(1), kStart + seconds(1));
  // Written before the machine's clock was set back and this holder was elected, listed only now.
  scheduler.ListWorker(MakeEntry("w0", 5000), false, kStart + seconds(2));
  CHECK(scheduler.Plan(kStart + seconds(2), 0, true, 0).mStarts.empty());
}
