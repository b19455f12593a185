// Runs that a holder forgets although they are still on their worker: their capacity is given away
// again, and so are their tasks.
#include <catch2/catch.hpp>

#include "fleet_model.h"
#include "platform/wire.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

QueueConfig MakeQueue(bool aNeedsAdvice)
{
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mMaxAttempts = 50;
  queue.mStretch = 2;
  queue.mSlack = seconds(1);
  queue.mNeedsAdvice = aNeedsAdvice;
  queue.mAdviceBase = milliseconds(30);
  queue.mAdvicePerWorker = milliseconds(1);
  queue.mAdviceValid = seconds(2);
  return queue;
}

JobSpec MakeJob(std::string aId, std::uint32_t aTasks, std::uint32_t aStages)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  for (std::uint32_t n = 0; n < aStages; ++n) {
    StageSpec stage;
    stage.mCount = aTasks;
    stage.mMilliCores = 3000;
    stage.mMemoryMiB = 1000;
    stage.mEstimateMs = 1000;
    if (n > 0)
      stage.mAfter.push_back(n - 1);
    job.mStages.push_back(stage);
  }
  return job;
}

// Submits jobs for 20 s that together need about the capacity of the fleet, stops the faults, and
// checks that every job ends and no invariant was broken.
void CheckRandomJobs(std::uint32_t aSeed, const FleetFaults& aFaults, std::size_t aMaxListedEnds)
{
  FleetModel model(aSeed, aFaults, 8);
  model.SetQueue(MakeQueue(aSeed % 2 == 0));
  model.SetMaxListedEnds(aMaxListedEnds);
  std::mt19937_64 random(aSeed);
  std::vector<std::string> ids;
  std::vector<std::string> lastingIds;
  for (int round = 0; round < 40; ++round) {
    ids.push_back("j" + std::to_string(round));
    // Named first: the order in which arguments are evaluated differs between platforms.
    const std::uint32_t stages = 1 + random() % 2;
    const std::uint32_t tasks = 1 + random() % 14;
    JobSpec job = MakeJob(ids.back(), tasks, stages);
    if (random() % 4 == 0)
      model.SetRunTime(ids.back(), milliseconds(2000 + random() % 3000));
    if (random() % 12 == 0) {
      job.mStages[0].mGang = true;
      job.mStages[0].mCount = 1 + tasks % 2;  // the smallest worker has room for two
    }
    const bool isLasting = random() % 10 == 0;
    if (isLasting)
      for (StageSpec& it : job.mStages) {
        it.mLongRunning = true;
        it.mGang = false;
        it.mCount = 1;
        it.mAfter.clear();
      }
    model.Submit(job);
    if (isLasting) {
      lastingIds.push_back(ids.back());
      ids.pop_back();
    } else if (random() % 10 == 0) {
      model.Cancel(ids.back());
    }
    model.RunFor(milliseconds(500));
  }
  model.StopFaults();
  for (const std::string& id : lastingIds)
    model.Cancel(id);
  model.RunFor(seconds(60));
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
  for (const std::string& id : ids) {
    INFO("job " << id);
    REQUIRE(model.FindJob(id));
    CHECK(IsOver(model.FindJob(id)->mState));
  }
}

constexpr std::size_t kAllEnds = 500;
constexpr TimePoint kStart{ seconds(2000) };

// Returns a scheduler that is told of one worker with room for one task.
Scheduler MakeScheduler(std::uint64_t aEpoch)
{
  Scheduler scheduler({ .mEpoch = aEpoch });
  FleetConfig config;
  config.mQueues.push_back(MakeQueue(false));
  scheduler.SetQueues(config);
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "10.0.0.1:80";
  entry.mService = "pool";
  entry.mMilliCores = 4000;
  entry.mMemoryMiB = 16'000;
  scheduler.ListWorker(entry, true, kStart);
  return scheduler;
}

}  // namespace

TEST_CASE("fleet: the capacity of workers that shrink and grow is exceeded")
{
  const auto seed = GENERATE(range(1U, 21U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mResizePerS = 0.15;
  faults.mLostAnswer = 0.03;
  faults.mLostReport = 0.02;
  faults.mUnresponsivePerS = 0.03;
  faults.mTakeoverPerS = 0.1;
  faults.mDirectoryLag = milliseconds(300);
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: a worker that restarts under its id with another capacity is overloaded")
{
  const auto seed = GENERATE(range(1U, 21U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mRestartPerS = 0.08;
  faults.mLostAnswer = 0.03;
  faults.mLostReport = 0.02;
  faults.mDelayed = 0.02;
  faults.mTakeoverPerS = 0.1;
  faults.mDirectoryLag = milliseconds(800);
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: a successful end is acknowledged to a restarted worker before it is read")
{
  const auto seed = GENERATE(range(1U, 21U));
  INFO("seed " << seed);
  FleetModel model(seed,
                   { .mRestartPerS = 0.3,
                     .mRestartTime = milliseconds(100),
                     .mIdlePollInterval = seconds(3),
                     .mDirectoryLag = milliseconds(500) },
                   8);
  model.SetQueue(MakeQueue(false));
  for (int n = 0; n < 100; ++n) {
    const std::string id = "j" + std::to_string(n);
    model.SetRunTime(id, milliseconds(20));
    model.Submit(MakeJob(id, 2, 1));  // the smallest worker has room for two
    model.RunFor(milliseconds(200));
  }
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
}

TEST_CASE(
  "fleet: a previous holder that goes on starts tasks of jobs that its successor has not read")
{
  const auto seed = GENERATE(range(1U, 41U), values({ 222U, 367U, 518U }));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mTakeoverPerS = 0.15;
  faults.mPreviousHolder = seconds(5);
  faults.mJobLag = milliseconds(seed % 4 < 2 ? 500 : 5000);
  faults.mPartitioned = 0.3;
  faults.mLostReport = 0.02;
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: a worker that runs nothing restarts smaller between two polls and is overloaded")
{
  const auto seed = GENERATE(range(1U, 21U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mRestartPerS = 0.15;
  faults.mRestartTime = milliseconds(100);
  faults.mIdlePollInterval = seconds(3);
  faults.mDirectoryLag = milliseconds(500);
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: a previous holder starts tasks on a worker that its successor reached before it "
          "restarted")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mRestartPerS = 0.4;
  faults.mRestartTime = milliseconds(500);
  faults.mRestartsResized = false;
  faults.mIdlePollInterval = seconds(3);
  faults.mDirectoryLag = milliseconds(100);
  faults.mTakeoverPerS = 0.3;
  faults.mPreviousHolder = seconds(5);
  faults.mPreviousCut = 0.85;
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: tasks of a worker whose entry is missing for a while run twice")
{
  const auto seed = GENERATE(range(1U, 21U), values({ 299U }));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mUnlistPerS = 0.08;
  faults.mDrainPerS = 0.02;
  faults.mUnresponsivePerS = 0.05;
  faults.mLostReport = 0.03;
  faults.mTakeoverPerS = 0.05;
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: an end that a report has no room for is taken for a lost run")
{
  const auto seed = GENERATE(range(1U, 21U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mFailure = 0.05;
  faults.mLostAnswer = 0.03;
  faults.mTakeoverPerS = 0.1;
  CheckRandomJobs(seed, faults, 3);
}

TEST_CASE("fleet: tasks run twice while other writers write entries into the directory")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mForeignEntryPerS = 0.1;
  faults.mCrashPerS = 0.02;
  faults.mRestartPerS = seed % 2 == 0 ? 0.03 : 0;
  faults.mDirectoryLag = milliseconds(500);
  faults.mUnresponsivePerS = 0.03;
  faults.mLostAnswer = 0.02;
  faults.mTakeoverPerS = 0.1;
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: jobs of replaced queues do not end, as another process schedules")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mQueueChangePerS = 0.2;
  faults.mTakeoverPerS = 0.1;
  faults.mFailure = 0.03;
  faults.mLostReport = 0.02;
  CheckRandomJobs(seed, faults, kAllEnds);
}

TEST_CASE("fleet: a run whose end is not listed yet starts again")
{
  WorkerReport cut;
  cut.mHasMoreEnds = true;
  SECTION("of this holder")
  {
    Scheduler scheduler = MakeScheduler(1);
    scheduler.OnReport("w0", {}, kStart, kStart);
    scheduler.AddJob(MakeJob("a", 1, 1), {}, false, kStart);
    const Orders orders = scheduler.Plan(kStart, 0, true, 0);
    REQUIRE(orders.mStarts.size() == 1);
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, kStart);
    scheduler.OnReport("w0", cut, kStart + seconds(1), kStart + seconds(1));
    CHECK(scheduler.Plan(kStart + seconds(1), 0, true, 0).mStarts.empty());
  }
  SECTION("of the previous holder")
  {
    Scheduler scheduler = MakeScheduler(2);
    scheduler.AddJob(MakeJob("a", 1, 1), {}, true, kStart);
    scheduler.OnReport("w0", cut, kStart + seconds(1), kStart + seconds(1));
    CHECK_FALSE(scheduler.AreAllResolved());
    CHECK(scheduler.Plan(kStart + seconds(1), 0, true, 0).mStarts.empty());
  }
}

TEST_CASE("platform: a report that lists as many ends as fit is taken for a complete one")
{
  const auto ends = GENERATE(std::size_t{ 499 }, std::size_t{ 500 });
  std::string rows;
  for (std::size_t n = 1; n <= ends; ++n) {
    rows += n == 1 ? "" : ",";
    rows.append("[").append(std::to_string(n)).append(R"(,"a.0.0.0",1,"done",""])");
  }
  const auto report =
    platform::ParseReport(R"({"clock_ms":1,"running":[],"ended":[)" + rows + "]}");
  REQUIRE(report.has_value());
  CHECK(report->mEnded.size() == ends);
  CHECK(report->mHasMoreEnds == (ends == 500));
}

TEST_CASE("fleet: a worker that runs a task of an unread job is given more than it has room for")
{
  Scheduler scheduler = MakeScheduler(2);
  WorkerReport report;
  report.mRunning.push_back({ .mTask = "x.0.0.0", .mRun = 7 });
  scheduler.OnReport("w0", report, kStart, kStart);
  scheduler.AddJob(MakeJob("a", 1, 1), {}, false, kStart);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.empty());
  scheduler.AddJob(MakeJob("x", 1, 1), {}, true, kStart + milliseconds(200));
  CHECK(scheduler.Plan(kStart + milliseconds(200), 0, true, 0).mStarts.empty());
  scheduler.OnReport("w0", {}, kStart + seconds(1), kStart + seconds(1));
  CHECK(scheduler.Plan(kStart + seconds(1), 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a queued start is sent to a worker that runs a task of an unread job")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.OnReport("w0", {}, kStart, kStart);
  scheduler.AddJob(MakeJob("a", 1, 1), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  WorkerReport report;
  report.mRunning.push_back({ .mTask = "x.0.0.0", .mRun = 7 });
  scheduler.OnReport("w0", report, kStart, kStart);
  CHECK_FALSE(scheduler.IsStartWanted(orders.mStarts[0]));
}

TEST_CASE("fleet: a task starts while its run of a previous holder is being stopped")
{
  Scheduler scheduler = MakeScheduler(2);
  WorkerEntry other;
  other.mId = "w1";
  other.mAddress = "10.0.0.2:80";
  other.mService = "pool";
  other.mMilliCores = 4000;
  other.mMemoryMiB = 16'000;
  scheduler.ListWorker(other, true, kStart);
  scheduler.OnReport("w1", {}, kStart, kStart);
  WorkerReport report;
  report.mRunning.push_back({ .mTask = "x.0.0.0", .mRun = 7 });
  scheduler.OnReport("w0", report, kStart, kStart);
  const TimePoint later = kStart + seconds(4);
  scheduler.OnReport("w0", report, later, later);
  const Orders orders = scheduler.Plan(later, 0, true, 0);
  REQUIRE(orders.mStops.size() == 1);
  scheduler.AddJob(MakeJob("x", 1, 1), {}, true, later);
  CHECK(scheduler.Plan(later, 0, true, 0).mStarts.empty());
  scheduler.OnStop(orders.mStops[0], true, later);
  scheduler.OnReport("w0", {}, later + seconds(1), later + seconds(1));
  CHECK(scheduler.Plan(later + seconds(1), 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a successful end is acknowledged, and forgotten, before its job is read")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.SetJobsReadUntil(kStart);
  WorkerReport report;
  report.mEnded.push_back({ 1, "x.0.0.0", 7, EndKind::Done, "" });
  scheduler.OnReport("w0", report, kStart + seconds(1), kStart + seconds(1));
  CHECK(scheduler.CollectProgress(10, kStart + seconds(10)).mEnds.empty());
  scheduler.AddJob(MakeJob("x", 1, 1), {}, true, kStart + seconds(10));
  CHECK(scheduler.FindJob("x")->mState == JobState::Completed);
}

TEST_CASE("fleet: a job that no previous holder was told of waits for workers that do not answer")
{
  Scheduler scheduler = MakeScheduler(2);
  scheduler.OnReport("w0", {}, kStart, kStart);
  WorkerEntry silent;
  silent.mId = "w1";
  silent.mAddress = "10.0.0.2:80";
  scheduler.ListWorker(silent, true, kStart);
  scheduler.AddJob(MakeJob("a", 1, 1), {}, true, kStart);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.empty());
  scheduler.ClearInherited("a");
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a task is blamed for the crash of an incarnation that it did not run on")
{
  Scheduler scheduler = MakeScheduler(1);
  WorkerReport report;
  report.mBornMs = 1000;
  scheduler.OnReport("w0", report, kStart, kStart);
  scheduler.AddJob(MakeJob("a", 1, 1), {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  // The worker has restarted meanwhile, and the new incarnation carries the order out.
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, kStart + milliseconds(10));
  report.mBornMs = 2000;
  report.mRunning.push_back({ .mTask = "a.0.0.0", .mRun = orders.mStarts[0].mRun });
  scheduler.OnReport("w0", report, kStart + milliseconds(20), kStart + milliseconds(20));
  CHECK(scheduler.FindJob("a")->mOccurrences[0].mStages[0].mTasks[0].mCrashes.empty());
  CHECK(scheduler.FindWorker("w0")->mRuns.size() == 1);
}

TEST_CASE("fleet: an answered start hides that its worker may have restarted")
{
  Scheduler scheduler = MakeScheduler(1);
  scheduler.OnReport("w0", {}, kStart, kStart);
  JobSpec job = MakeJob("a", 2, 1);
  job.mStages[0].mMilliCores = 1000;
  scheduler.AddJob(job, {}, false, kStart);
  const Orders orders = scheduler.Plan(kStart, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 2);
  scheduler.OnConnectionsClosed("w0", kStart);
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, kStart + milliseconds(1));
  CHECK_FALSE(scheduler.IsStartWanted(orders.mStarts[1]));
}
