// Directory entries that no worker has written: what may be believed of the workers that they name.
#include <catch2/catch.hpp>

#include "fleet/worker_records.h"
#include "platform/wire.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr TimePoint kLater = kStart + seconds(1);

WorkerEntry MakeEntry(std::string aId, std::string aAddress, std::int64_t aBornMs)
{
  WorkerEntry entry;
  entry.mId = std::move(aId);
  entry.mAddress = std::move(aAddress);
  entry.mService = "pool";
  entry.mMilliCores = 8000;
  entry.mMemoryMiB = 16'000;
  entry.mBornMs = aBornMs;
  entry.mCreatedRevision = static_cast<std::uint64_t>(aBornMs);
  return entry;
}

const WorkerEntry kFirst = MakeEntry("w0", "10.0.0.1:80", 1000);
const WorkerEntry kSecond = MakeEntry("w1", "10.0.0.2:80", 1100);

WorkerReport MakeReport(const WorkerEntry& aEntry, const std::vector<StartOrder>& aRunning = {})
{
  WorkerReport report;
  report.mBornMs = aEntry.mBornMs;
  for (const StartOrder& it : aRunning)
    if (it.mWorker == aEntry.mId)
      report.mRunning.push_back({ .mTask = it.mTask, .mRun = it.mRun, .mPercent = 10 });
  return report;
}

Scheduler MakeScheduler(std::uint64_t aEpoch)
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

JobSpec MakeJob(std::string aId)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  StageSpec stage;
  stage.mCount = 1;
  stage.mMilliCores = 5000;
  stage.mMemoryMiB = 1000;
  stage.mEstimateMs = 60'000;
  job.mStages.push_back(stage);
  return job;
}

// Starts a task that fills most of its worker on each of kFirst and kSecond.
std::vector<StartOrder> FillBoth(Scheduler& aScheduler)
{
  for (const WorkerEntry& it : { kFirst, kSecond }) {
    aScheduler.ListWorker(it, true, kStart);
    aScheduler.OnReport(it.mId, MakeReport(it), kStart, kStart);
  }
  aScheduler.AddJob(MakeJob("a"), {}, false, kStart);
  aScheduler.AddJob(MakeJob("b"), {}, false, kStart);
  Orders orders = aScheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 2);
  for (const StartOrder& it : orders.mStarts)
    aScheduler.OnStart(it, StartOutcome::Started, kStart);
  return std::move(orders.mStarts);
}

}  // namespace

TEST_CASE("fleet: an entry of another writer at the address of a worker makes its tasks run twice")
{
  Scheduler scheduler = MakeScheduler(1);
  const std::vector<StartOrder> running = FillBoth(scheduler);
  WorkerEntry foreign = MakeEntry("x", kFirst.mAddress, GENERATE(0, 500, 1000, 2000));
  foreign.mService = GENERATE("pool", "other");
  scheduler.ListWorker(foreign, false, kLater);
  CHECK(scheduler.ListWorkersAt(kFirst.mAddress) == std::vector<std::string>{ "w0", "x" });
  REQUIRE(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
  // The worker answers both: it is not "x".
  scheduler.OnReplaced("x", foreign.mAddress, kLater);
  scheduler.OnReport("w0", MakeReport(kFirst, running), kLater, kLater);
  CHECK_FALSE(scheduler.FindWorker("x"));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
  CHECK(scheduler.Plan(kLater, 0, true, 0).mStarts.empty());
  for (const char* id : { "a", "b" })
    CHECK(scheduler.FindJob(id)->mOccurrences[0].mStages[0].mTasks[0].mCrashes.empty());
}

TEST_CASE("fleet: a worker is not used again after an entry of another writer at its address")
{
  Scheduler scheduler = MakeScheduler(2);
  const WorkerEntry foreign = MakeEntry("x", kFirst.mAddress, 2000);
  const bool isFirst = GENERATE(true, false);  // as a new holder reads the directory
  scheduler.ListWorker(isFirst ? foreign : kFirst, false, kStart);
  scheduler.ListWorker(isFirst ? kFirst : foreign, false, kStart);
  scheduler.OnReplaced("x", foreign.mAddress, kStart);
  scheduler.OnReport("w0", MakeReport(kFirst), kStart, kStart);
  scheduler.FindWorker("w0")->mRecorded = true;
  scheduler.AddJob(MakeJob("a"), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  CHECK(orders.mStarts[0].mWorker == "w0");
}

TEST_CASE("fleet: an id under which another writer wrote an entry is never used")
{
  Scheduler scheduler = MakeScheduler(1);
  FillBoth(scheduler);
  const WorkerEntry foreign = MakeEntry("x", kFirst.mAddress, 9'000'000);
  scheduler.ListWorker(foreign, false, kLater);
  scheduler.OnReplaced("x", foreign.mAddress, kLater);
  scheduler.ListWorker(foreign, false, kLater);
  CHECK_FALSE(scheduler.FindWorker("x"));

  SECTION("a worker starts under that id, at another address")
  {
    scheduler.ListWorker(MakeEntry("x", "10.0.0.3:80", 3000), false, kLater);
    CHECK(scheduler.FindWorker("x"));
  }
  SECTION("a worker starts under that id, at the same address")
  {
    scheduler.ListWorker(MakeEntry("x", kFirst.mAddress, 3000), false, kLater);
    CHECK(scheduler.FindWorker("x"));
  }
  SECTION("the entry was removed")
  {
    scheduler.UnlistWorker("x", kLater);
    scheduler.ListWorker(foreign, false, kLater);
    CHECK(scheduler.FindWorker("x"));
  }
}

TEST_CASE("fleet: an entry with the address of another worker ends the tasks of its own")
{
  Scheduler scheduler = MakeScheduler(1);
  const std::vector<StartOrder> running = FillBoth(scheduler);
  WorkerEntry foreign = kFirst;
  foreign.mAddress = kSecond.mAddress;
  scheduler.ListWorker(foreign, false, kLater);
  REQUIRE(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w0")->mAddress == kFirst.mAddress);
  scheduler.OnReplaced("w0", kSecond.mAddress, kLater);
  REQUIRE(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
  CHECK(scheduler.Plan(kLater, 0, true, 0).mStarts.empty());

  // Its size is not known either, until it has written its entry again.
  JobSpec small = MakeJob("c");
  small.mStages[0].mMilliCores = 1000;
  small.mStages[0].mCount = 6;
  scheduler.AddJob(small, {}, false, kLater);
  for (const StartOrder& it : scheduler.Plan(kLater, 0, true, 0).mStarts)
    CHECK(it.mWorker == "w1");
  scheduler.ListWorker(kFirst, false, kLater + seconds(1));
  scheduler.OnReport("w0", MakeReport(kFirst, running), kLater, kLater + seconds(1));
  const Orders orders = scheduler.Plan(kLater + seconds(1), 0, true, 0);
  REQUIRE_FALSE(orders.mStarts.empty());
  CHECK(orders.mStarts[0].mWorker == "w0");
}

TEST_CASE("fleet: a holder looks for a recorded worker where another writer's entry names one")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.ListWorker(kFirst, true, kStart);  // as recorded
  scheduler.UnlistWorker("w0", kStart);
  WorkerEntry foreign = kFirst;
  foreign.mAddress = kSecond.mAddress;
  scheduler.ListWorker(foreign, false, kStart);
  CHECK(scheduler.FindWorker("w0")->mAddress == kFirst.mAddress);
  scheduler.OnReplaced("w0", kSecond.mAddress, kStart);
  CHECK_FALSE(scheduler.AreAllResolved());  // its tasks are not known yet
  // Another worker lives where it was recorded, so it may run where it is listed.
  scheduler.OnReplaced("w0", kFirst.mAddress, kStart);
  REQUIRE(scheduler.FindWorker("w0"));
  CHECK(scheduler.FindWorker("w0")->mAddress == kSecond.mAddress);
  CHECK_FALSE(scheduler.AreAllResolved());
  scheduler.OnReport("w0", MakeReport(kFirst), kStart, kStart);
  CHECK(scheduler.AreAllResolved());
}

TEST_CASE("fleet: the tasks of a worker that has a successor at its address wait for their leases")
{
  Scheduler scheduler = MakeScheduler(1);
  FillBoth(scheduler);
  const WorkerEntry successor = MakeEntry("w2", kFirst.mAddress, 2000);
  scheduler.ListWorker(successor, false, kLater);
  scheduler.OnReplaced("w0", kFirst.mAddress, kLater);
  CHECK_FALSE(scheduler.FindWorker("w0"));
  scheduler.OnReport("w2", MakeReport(successor), kLater, kLater);
  scheduler.FindWorker("w2")->mRecorded = true;
  const Orders orders = scheduler.Plan(kLater, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  CHECK(orders.mStarts[0].mWorker == "w2");
}

TEST_CASE("fleet: the next holder waits for an entry behind which no worker ever answered")
{
  Scheduler scheduler = MakeScheduler(1);
  FillBoth(scheduler);
  WorkerRecords records;
  scheduler.ListWorker(MakeEntry("x", "10.0.0.9:80", 2000), false, kLater);
  CHECK(records.Plan(scheduler, 31).IsEmpty());
  scheduler.OnReport("x", {}, kLater, kLater);
  CHECK(records.Plan(scheduler, 31).mWrites.contains("x"));
}

TEST_CASE("fleet: a worker is recorded at an address where it has not answered")
{
  Scheduler scheduler = MakeScheduler(1);
  FillBoth(scheduler);
  scheduler.FindWorker("w0")->mFinalWanted = true;
  scheduler.FindWorker("w0")->mReachable = false;
  WorkerEntry foreign = kFirst;
  foreign.mAddress = kSecond.mAddress;
  foreign.mBornMs = 0;
  foreign.mCreatedRevision = 0;
  scheduler.ListWorker(foreign, false, kLater);
  const RecordPlan plan = WorkerRecords{}.Plan(scheduler, 31);
  REQUIRE(plan.mWrites.contains("w0"));
  CHECK(plan.mWrites.at("w0").mAddress == kFirst.mAddress);
}

TEST_CASE("platform: a directory entry with an address that can't be read is taken for a worker")
{
  const auto parse = [](const std::string& aAddress) {
    return platform::ParseWorkerEntry(
      "w0",
      R"({"service":"pool","state":"ready","capacity":{"cpu":1,"mem_mb":1},"address":")" +
        aAddress + "\"}");
  };
  CHECK(parse("10.0.0.1:80").has_value());
  for (const char* it :
       { "10.0.0.1", "10.0.0.1:", "10.0.0.1:http", "10.0.0.1:70000", "worker:80" }) {
    INFO(it);
    const auto entry = parse(it);
    REQUIRE_FALSE(entry.has_value());
    CHECK(entry.error().mKind == FailureKind::BadInput);
  }
}
