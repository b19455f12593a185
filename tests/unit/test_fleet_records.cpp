// Records of workers, by which a new holder finds the workers that may run tasks.
#include <catch2/catch.hpp>

#include "fleet/worker_records.h"
#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr std::size_t kManyEntries = 31;

using Revisions = std::vector<std::pair<std::string, std::uint64_t>>;

WorkerEntry MakeEntry()
{
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "10.0.0.1:80";
  entry.mService = "pool";
  return entry;
}

void ListAnsweringWorker(Scheduler& aScheduler, const WorkerEntry& aEntry, TimePoint aAt)
{
  aScheduler.ListWorker(aEntry, false, aAt);
  aScheduler.OnReport(aEntry.mId, {}, aAt, aAt);
}

// Lets the worker report the end of a task, and become unresponsive. Returns its stored list.
std::vector<std::string> ListFinalTasks(Scheduler& aScheduler, EndKind aKind)
{
  WorkerRecords records;
  records.OnCommitted(records.Plan(aScheduler, kManyEntries), 5, aScheduler);
  WorkerReport report;
  report.mRunning.push_back({ .mTask = "a.0.0.1", .mRun = 1 });
  report.mEnded.push_back({ 1, "a.0.0.0", 1, aKind, "" });
  aScheduler.OnReport("w0", report, kStart, kStart);
  aScheduler.OnSilence("w0", kStart + seconds(1));
  static_cast<void>(aScheduler.Plan(kStart + seconds(2), 0, true, 0));
  return records.Plan(aScheduler, kManyEntries).mWrites["w0"].mTasks;
}

}  // namespace

// The next holder started a task again whose end had been received and was not stored yet.
TEST_CASE("fleet: the stored list of an unresponsive worker leaves out ends that are not stored")
{
  const EndKind kind = GENERATE(EndKind::Done, EndKind::Failed);
  const bool isJobKnown = GENERATE(true, false);
  Scheduler scheduler({ .mEpoch = 1 });
  ListAnsweringWorker(scheduler, MakeEntry(), kStart);
  if (isJobKnown)
    scheduler.AddJob(MakeFleetJob("a", 3), {}, false, kStart);
  CHECK_THAT(ListFinalTasks(scheduler, kind),
             Catch::UnorderedEquals(std::vector<std::string>{ "a.0.0.0", "a.0.0.1" }));
}

TEST_CASE("fleet: the stored list of an unresponsive worker holds back tasks that have no end to "
          "be stored")
{
  Scheduler scheduler({ .mEpoch = 1 });
  ListAnsweringWorker(scheduler, MakeEntry(), kStart);
  const std::vector<std::string> running{ "a.0.0.1" };
  SECTION("it was stopped")
  {
    scheduler.AddJob(MakeFleetJob("a", 3), {}, false, kStart);
    CHECK(ListFinalTasks(scheduler, EndKind::Stopped) == running);
  }
  SECTION("it lasts, and starts again after each end")
  {
    scheduler.AddJob(MakeFleetJob("a", 3, true), {}, false, kStart);
    CHECK(ListFinalTasks(scheduler, EndKind::Failed) == running);
  }
  SECTION("its end is stored")
  {
    scheduler.AddJob(MakeFleetJob("a", 3), {}, false, kStart);
    const WorkerReport report{ .mEnded = { { 1, "a.0.0.0", 1, EndKind::Done, "" } } };
    scheduler.OnReport("w0", report, kStart, kStart);
    scheduler.OnProgressStored(scheduler.CollectProgress(kManyEntries, kStart));
    CHECK(ListFinalTasks(scheduler, EndKind::Done) == running);
  }
}

// Holders are replaced while the store is slow and workers are cut off: successors started tasks
// that had ended `done` on those workers.
TEST_CASE("fleet: tasks that have ended run again after a takeover while the store is slow")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mWriteTime = seconds(1);
  faults.mBatchEntries = 6;
  faults.mLostWrite = seed % 2 == 0 ? 0.1 : 0;
  faults.mUnresponsivePerS = 0.1;
  faults.mTakeoverPerS = 0.3;
  faults.mPlannedTakeover = 0.7;
  faults.mPreviousHolder = seconds(3);
  faults.mLostReport = 0.02;
  faults.mFailure = 0.02;
  faults.mRestartPerS = seed % 3 == 0 ? 0.02 : 0;
  FleetModel model(seed, faults, 8);
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mMaxAttempts = 50;
  model.SetQueue(queue);
  std::vector<std::string> jobs;
  for (int n = 0; n < 60; ++n) {
    JobSpec job = MakeFleetJob("j" + std::to_string(n), 1 + n % 6);
    job.mStages[0].mMilliCores = 500;
    model.SetRunTime(job.mId, milliseconds(200 + 40 * (n % 20)));
    jobs.push_back(job.mId);
    model.Submit(std::move(job));
    model.RunFor(milliseconds(300));
  }
  CheckAllEnd(model, jobs);
}

TEST_CASE("fleet: a delete that the store applies late removes the record of a worker that is back")
{
  Scheduler scheduler({ .mEpoch = 1 });
  WorkerRecords records;
  ListAnsweringWorker(scheduler, MakeEntry(), kStart);
  const RecordPlan first = records.Plan(scheduler, kManyEntries);
  REQUIRE(first.mWrites.contains("w0"));
  CHECK(first.mConditions == Revisions{ { "w0", 0 } });
  records.OnCommitted(first, 5, scheduler);
  CHECK(records.Plan(scheduler, kManyEntries).IsEmpty());

  // It is gone for good, and the answer to the delete is lost.
  scheduler.OnSilence("w0", kStart + seconds(1));
  scheduler.UnlistWorker("w0", kStart + seconds(1));
  scheduler.DropLapsed(kStart + seconds(60));
  const RecordPlan removal = records.Plan(scheduler, kManyEntries);
  CHECK(removal.mDeletes == std::vector<std::string>{ "w0" });
  CHECK(removal.mConditions == Revisions{ { "w0", 5 } });

  // It is listed again, and its record is written anew: the delete fails from then on.
  ListAnsweringWorker(scheduler, MakeEntry(), kStart + seconds(61));
  const RecordPlan second = records.Plan(scheduler, kManyEntries);
  REQUIRE(second.mWrites.contains("w0"));
  CHECK(second.mConditions == Revisions{ { "w0", 5 } });
  SECTION("the delete was not applied")
  {
    records.OnCommitted(second, 6, scheduler);
    CHECK(scheduler.FindWorker("w0")->mRecorded);
  }
  SECTION("the delete was applied")
  {
    records.OnConflict(second, {});
    CHECK(records.Plan(scheduler, kManyEntries).mConditions == Revisions{ { "w0", 0 } });
  }
}

TEST_CASE("fleet: a record whose write was applied without an answer is replaced")
{
  Scheduler scheduler({ .mEpoch = 1 });
  WorkerRecords records;
  ListAnsweringWorker(scheduler, MakeEntry(), kStart);
  const RecordPlan plan = records.Plan(scheduler, kManyEntries);
  records.OnConflict(plan, { { "w0", 9 } });
  CHECK_FALSE(scheduler.FindWorker("w0")->mRecorded);
  CHECK(records.Plan(scheduler, kManyEntries).mConditions == Revisions{ { "w0", 9 } });
}

TEST_CASE("fleet: a plan of records has more entries than a transaction")
{
  Scheduler scheduler({ .mEpoch = 1 });
  WorkerRecords records;
  for (int n = 0; n < 40; ++n) {
    WorkerEntry entry = MakeEntry();
    entry.mId = "w" + std::to_string(n);
    entry.mAddress = "10.0.0." + std::to_string(n) + ":80";
    ListAnsweringWorker(scheduler, entry, kStart);
    records.SetRevision("gone" + std::to_string(n), 3);
  }
  const RecordPlan plan = records.Plan(scheduler, kManyEntries);
  CHECK(plan.mConditions.size() + plan.mWrites.size() + plan.mDeletes.size() <= kManyEntries);
  CHECK_FALSE(plan.IsEmpty());
}
