#include <catch2/catch.hpp>

#include "fleet_model.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

QueueConfig MakeQueue(std::string aName, bool aNeedsAdvice = false, std::uint32_t aMaxAttempts = 3)
{
  QueueConfig queue;
  queue.mName = std::move(aName);
  queue.mService = "pool";
  queue.mMaxAttempts = aMaxAttempts;
  queue.mStretch = 2;
  queue.mSlack = seconds(1);
  queue.mNeedsAdvice = aNeedsAdvice;
  queue.mAdviceBase = milliseconds(30);
  queue.mAdvicePerWorker = milliseconds(1);
  queue.mAdviceValid = seconds(2);
  return queue;
}

JobSpec MakeJob(std::string aId, std::uint32_t aTasks, std::uint32_t aStages = 1)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  for (std::uint32_t n = 0; n < aStages; ++n) {
    StageSpec stage;
    stage.mCount = aTasks;
    stage.mMilliCores = 3000;
    stage.mMemoryMiB = 4000;
    stage.mEstimateMs = 1000;
    if (n > 0)
      stage.mAfter.push_back(n - 1);
    job.mStages.push_back(stage);
  }
  return job;
}

// Returns a scheduler with the queue "q" and no workers.
Scheduler MakeScheduler(std::uint64_t aEpoch = 1, std::uint32_t aMaxAttempts = 3)
{
  Scheduler scheduler({ .mEpoch = aEpoch });
  FleetConfig config;
  config.mQueues.push_back(MakeQueue("q", false, aMaxAttempts));
  scheduler.SetQueues(config);
  return scheduler;
}

WorkerEntry MakeWorker(std::string aId, std::uint32_t aMilliCores, std::uint32_t aMemoryMiB)
{
  WorkerEntry entry;
  entry.mAddress = aId + ":80";
  entry.mId = std::move(aId);
  entry.mService = "pool";
  entry.mMilliCores = aMilliCores;
  entry.mMemoryMiB = aMemoryMiB;
  return entry;
}

JobState GetState(const FleetModel& aModel, const std::string& aId)
{
  const Job* job = aModel.FindJob(aId);
  REQUIRE(job);
  return job->mState;
}

}  // namespace

TEST_CASE("fleet: stages run in order and the job completes")
{
  FleetModel model(1, {}, 12);
  model.SetQueue(MakeQueue("q", true));
  model.Submit(MakeJob("a", 8, 3));
  model.RunFor(seconds(20));
  CHECK(GetState(model, "a") == JobState::Completed);
  CHECK(model.mViolations.empty());
}

TEST_CASE("fleet: a failed end that is reported again to a later holder counts once")
{
  FleetModel model(1, {}, 2);
  model.SetQueue(MakeQueue("q", false, 2));
  model.Submit(MakeJob("a", 1));
  Scheduler& first = model.GetScheduler();
  first.FindWorker("w0")->mReachable = true;
  const TimePoint now{ seconds(2000) };
  WorkerReport report;
  first.OnReport("w0", report, now, now);
  const Orders orders = first.Plan(now, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  first.OnStart(orders.mStarts[0], StartOutcome::Started, now);
  report.mEnded.push_back({ 1, "a.0.0.0", orders.mStarts[0].mRun, EndKind::Failed, "" });
  first.OnReport("w0", report, now + seconds(1), now + seconds(1));
  const ProgressBatch batch = first.CollectProgress(10, now);
  REQUIRE(batch.mJobs.size() == 1);

  // The progress is stored, but the holder stops before it acknowledges the end to the worker.
  Scheduler second = MakeScheduler(2, 2);
  second.AddJob(MakeJob("a", 1), batch.mJobs[0].mBytes, true, now + seconds(2));
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "10.0.0.0:80";
  second.ListWorker(entry, true, now + seconds(2));
  second.OnReport("w0", report, now + seconds(3), now + seconds(3));
  CHECK(second.FindJob("a")->mState != JobState::Failed);
}

TEST_CASE("fleet: a gang member whose start did not reach its worker is started elsewhere")
{
  FleetModel model(1, {}, 6);
  model.SetQueue(MakeQueue("q"));
  JobSpec job = MakeJob("g", 8);
  job.mStages[0].mGang = true;
  model.ForceNextStart(StartOutcome::NotStarted);
  model.Submit(job);
  model.RunFor(seconds(10));
  CHECK(GetState(model, "g") == JobState::Completed);
  CHECK(model.mAloneEnds == 0);
  CHECK(model.mViolations.empty());
}

TEST_CASE("fleet: all members of a gang start with the same checkpoint")
{
  Scheduler scheduler = MakeScheduler();
  const TimePoint now{ seconds(2000) };
  for (const char* id : { "w0", "w1" }) {
    scheduler.ListWorker(MakeWorker(id, 4000, 8000), true, now);
    scheduler.OnReport(id, {}, now, now);
  }
  JobSpec job = MakeJob("g", 2);
  job.mStages[0].mGang = true;
  job.mStages[0].mCheckpointed = true;
  scheduler.AddJob(job, {}, false, now);
  Orders orders = scheduler.Plan(now, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 2);
  std::uint64_t number = 1;
  for (const StartOrder& it : orders.mStarts) {
    scheduler.OnStart(it, StartOutcome::Started, now);
    WorkerReport report;
    report.mEnded.push_back(
      { number, it.mTask, it.mRun, EndKind::Broken, "checkpoint-" + it.mTask });
    scheduler.OnReport(it.mWorker, report, now + seconds(1), now + seconds(1));
  }
  orders = scheduler.Plan(now + seconds(2), 0, true, 0);
  REQUIRE(orders.mStarts.size() == 2);
  CHECK(!orders.mStarts[0].mCheckpoint.empty());
  CHECK(orders.mStarts[0].mCheckpoint == orders.mStarts[1].mCheckpoint);
}

TEST_CASE("fleet: a speculative task of an unresponsive worker is copied elsewhere")
{
  FleetModel model(1, {}, 2);
  model.SetQueue(MakeQueue("q"));
  JobSpec job = MakeJob("a", 1);
  job.mStages[0].mSpeculative = true;
  model.SetRunTime("a", milliseconds(800));
  model.Submit(job);
  model.RunFor(milliseconds(200));
  model.MakeUnresponsive("a.0.0.0", seconds(8));
  model.RunFor(seconds(3));  // much shorter than the lease of the first run
  CHECK(GetState(model, "a") == JobState::Completed);
  CHECK(model.CountStarts("a.0.0.0") == 2);
}

TEST_CASE("fleet: a task that makes no progress on its worker is moved to another")
{
  FleetModel model(1, {}, 2);
  model.SetQueue(MakeQueue("q"));
  JobSpec job = MakeJob("a", 1);
  job.mStages[0].mSpeculative = GENERATE(false, true);
  model.SetRunTime("a", milliseconds(1000));
  model.Submit(job);
  model.RunFor(milliseconds(200));
  model.Stall("a.0.0.0", seconds(8));
  model.RunFor(seconds(3));  // much shorter than the stall
  CHECK(GetState(model, "a") == JobState::Completed);
  CHECK(model.CountStarts("a.0.0.0") == 2);
  CHECK(model.mViolations.empty());
}

TEST_CASE("fleet: a stage whose tasks are all slower than estimated is left where it runs")
{
  FleetModel model(1, {}, 6);
  model.SetQueue(MakeQueue("q"));
  JobSpec job = MakeJob("a", 6);
  job.mStages[0].mMilliCores = 9000;  // one on each worker
  model.SetRunTime("a", seconds(8));  // the estimate is 1 s
  model.Submit(job);
  model.RunFor(seconds(12));
  CHECK(GetState(model, "a") == JobState::Completed);
  for (int n = 0; n < 6; ++n)
    CHECK(model.CountStarts("a.0.0." + std::to_string(n)) == 1);
}

TEST_CASE("fleet: after a takeover an unresponsive worker delays only the tasks that it may run")
{
  FleetModel model(1, {}, 3);
  model.SetQueue(MakeQueue("q"));
  model.SetRunTime("a", milliseconds(800));
  JobSpec job = MakeJob("a", 1, 2);
  model.Submit(job);
  JobSpec other = MakeJob("b", 1);
  other.mStages[0].mMilliCores = 15'000;
  model.RunFor(milliseconds(200));
  model.MakeUnresponsive("a.0.0.0", seconds(8));
  model.RunFor(milliseconds(1000));  // by then the worker's task list is stored
  model.Submit(other);
  model.TakeOver();
  model.RunFor(seconds(3));
  CHECK(GetState(model, "b") == JobState::Completed);
  CHECK(model.CountStarts("a.0.0.0") == 1);
  model.RunFor(seconds(20));
  CHECK(GetState(model, "a") == JobState::Completed);
  CHECK(model.mViolations.empty());
}

TEST_CASE("fleet: a takeover adopts the running tasks of occurrences")
{
  FleetModel model(1, {}, 3);
  model.SetQueue(MakeQueue("q"));
  model.SetRunTime("a", seconds(2));
  JobSpec job = MakeJob("a", 2);
  job.mOccurrences = 2;
  model.Submit(job);  // both are due at once
  model.RunFor(milliseconds(500));
  model.TakeOver();
  model.RunFor(seconds(8));
  CHECK(GetState(model, "a") == JobState::Completed);
  CHECK(model.CountStarts("a.0.0.0") == 1);
  CHECK(model.CountStarts("a.1.0.1") == 1);
  CHECK(model.mViolations.empty());
}

TEST_CASE("fleet: ended jobs are stored before the progress of running jobs")
{
  Scheduler scheduler = MakeScheduler();
  const TimePoint now{ seconds(2000) };
  scheduler.ListWorker(MakeWorker("w0", 600'000, 900'000), true, now);
  scheduler.OnReport("w0", {}, now, now);
  // Many running jobs with progress, and an ended one whose id sorts last.
  WorkerReport report;
  std::uint64_t number = 1;
  for (int n = 0; n < 40; ++n)
    scheduler.AddJob(MakeJob("a" + std::to_string(n), 2), {}, false, now);
  scheduler.AddJob(MakeJob("z", 1), {}, false, now);
  for (const StartOrder& it : scheduler.Plan(now, 0, true, 0).mStarts) {
    scheduler.OnStart(it, StartOutcome::Started, now);
    if (it.mTask.ends_with(".0"))
      report.mEnded.push_back({ number++, it.mTask, it.mRun, EndKind::Done, "" });
    else
      report.mRunning.push_back({ it.mTask, it.mRun, "", 10, 0 });
  }
  scheduler.OnReport("w0", report, now + seconds(1), now + seconds(1));
  REQUIRE(scheduler.FindJob("z")->mState == JobState::Completed);
  const ProgressBatch batch = scheduler.CollectProgress(31, now + seconds(1));
  REQUIRE(batch.mJobs.size() == 16);  // one ended job and 15 running ones
  CHECK(batch.mJobs[0].mJob == "z");
  // Ends are acknowledged up to the first one whose job is not in the batch.
  std::set<std::string> stored;
  for (const StoredProgress& it : batch.mJobs)
    stored.insert(it.mJob);
  std::uint64_t covered = 0;
  for (const EndedTask& it : report.mEnded) {
    if (!stored.contains(it.mTask.substr(0, it.mTask.find('.'))))
      break;
    covered = it.mNumber;
  }
  const std::uint64_t acknowledged = batch.mEnds.empty() ? 0 : batch.mEnds[0].mLast;
  CHECK(acknowledged == covered);
  CHECK(acknowledged < report.mEnded.size());
}

TEST_CASE("fleet: no end is acknowledged while an earlier batch of progress is not stored")
{
  Scheduler scheduler = MakeScheduler();
  const TimePoint now{ seconds(2000) };
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "10.0.0.0:80";
  scheduler.ListWorker(entry, true, now);
  scheduler.AddJob(MakeJob("a", 2), {}, false, now);
  WorkerReport report;
  report.mEnded.push_back({ 1, "a.0.0.0", 1, EndKind::Done, "" });
  scheduler.OnReport("w0", report, now, now);
  const ProgressBatch first = scheduler.CollectProgress(31, now);
  CHECK(first.mEnds.size() == 1);
  report.mEnded.push_back({ 2, "a.0.0.1", 1, EndKind::Done, "" });
  scheduler.OnReport("w0", report, now + seconds(1), now + seconds(1));
  const ProgressBatch second = scheduler.CollectProgress(31, now + seconds(1));
  CHECK(second.mEnds.empty());
  scheduler.OnProgressStored(second);
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 0);
  scheduler.OnProgressLost(first);  // its write was refused, so its progress is written again
  const ProgressBatch third = scheduler.CollectProgress(31, now + seconds(2));
  REQUIRE(third.mEnds.size() == 1);
  CHECK(third.mEnds[0].mLast == 2);
}

TEST_CASE("fleet: an end that is reported before its job is known counts when the job is added")
{
  Scheduler scheduler = MakeScheduler(2);
  const TimePoint now{ seconds(2000) };
  scheduler.ListWorker(MakeWorker("w0", 8000, 16000), true, now);
  WorkerReport report;
  report.mEnded.push_back({ 1, "a.0.0.0", 1, EndKind::Done, "" });
  report.mRunning.push_back({ "a.0.0.1", 1, "", 10, 0 });
  scheduler.OnReport("w0", report, now, now);
  // The end is not acknowledged while its job is unknown.
  CHECK(scheduler.CollectProgress(10, now).mEnds.empty());
  CHECK(scheduler.Plan(now, 0, true, 0).mStops.empty());
  scheduler.AddJob(MakeJob("a", 2), {}, false, now + milliseconds(50));
  CHECK(scheduler.Plan(now + milliseconds(60), 0, true, 0).mStarts.empty());
  report = {};
  report.mEnded.push_back({ 2, "a.0.0.1", 1, EndKind::Done, "" });
  scheduler.OnReport("w0", report, now + seconds(1), now + seconds(1));
  CHECK(scheduler.FindJob("a")->mState == JobState::Completed);
}

TEST_CASE("fleet: a stage starts only where its label, pool and limit per worker allow it")
{
  const TimePoint now{ seconds(2000) };
  Scheduler scheduler = MakeScheduler();
  for (const std::string id : { "plain", "labelled", "elsewhere", "draining" }) {
    WorkerEntry entry = MakeWorker(id, 32'000, 128'000);
    if (id == "elsewhere")
      entry.mService = "other";
    if (id != "plain")
      entry.mLabels = { "ssd", "rack-1" };
    entry.mDraining = id == "draining";
    scheduler.ListWorker(entry, true, now);
    scheduler.OnReport(id, {}, now, now);
  }
  JobSpec job = MakeJob("a", 6);
  job.mStages[0].mRequiredLabel = "ssd";
  job.mStages[0].mMaxPerWorker = 4;
  scheduler.AddJob(job, {}, false, now);
  const Orders orders = scheduler.Plan(now, 0, true, 0);
  CHECK(orders.mStarts.size() == 4);
  for (const StartOrder& it : orders.mStarts)
    CHECK(it.mWorker == "labelled");
  CHECK(scheduler.Plan(now + seconds(1), 0, true, 0).mStarts.empty());
}

TEST_CASE("fleet: a job that waited through a takeover keeps its place ahead of newer ones")
{
  const TimePoint now{ seconds(2000) };
  Scheduler scheduler = MakeScheduler(2);
  scheduler.ListWorker(MakeWorker("w0", 3000, 128'000), true, now);  // capacity for one task
  scheduler.OnReport("w0", {}, now, now);
  scheduler.AddJob(MakeJob("new", 1, 1), {}, true, now, milliseconds(500));
  scheduler.AddJob(MakeJob("old", 1, 4), {}, true, now, seconds(30));  // its chain is longer
  const Orders orders = scheduler.Plan(now, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  CHECK(orders.mStarts[0].mTask == "old.0.0.0");
}

TEST_CASE("fleet: a start exceeds the capacity of a worker that has shrunk")
{
  const TimePoint now{ seconds(2000) };
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeWorker("w0", 9000, 128'000), true, now);  // capacity for three tasks
  scheduler.OnReport("w0", {}, now, now);
  scheduler.AddJob(MakeJob("a", 2), {}, false, now);
  CHECK(scheduler.Plan(now, 0, true, 0).mStarts.size() == 2);
  scheduler.ListWorker(MakeWorker("w0", 4000, 128'000), true, now);  // less than is in use
  scheduler.AddJob(MakeJob("b", 1), {}, false, now);
  CHECK(scheduler.Plan(now, 0, true, 0).mStarts.empty());
  scheduler.CancelJob("a", now);
  CHECK(scheduler.Plan(now, 0, true, 0).mStarts.empty());  // what is being stopped still counts
  scheduler.ListWorker(MakeWorker("w0", 9000, 128'000), true, now);
  CHECK(scheduler.Plan(now, 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a start that waits in a queue is sent although its worker has shrunk")
{
  const TimePoint now{ seconds(2000) };
  Scheduler scheduler = MakeScheduler();
  scheduler.ListWorker(MakeWorker("w0", 9000, 128'000), true, now);
  scheduler.OnReport("w0", {}, now, now);
  scheduler.AddJob(MakeJob("a", 2), {}, false, now);
  const Orders orders = scheduler.Plan(now, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 2);
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, now);
  CHECK(scheduler.IsStartWanted(orders.mStarts[1]));
  scheduler.ListWorker(MakeWorker("w0", 4000, 128'000), true, now);
  CHECK_FALSE(scheduler.IsStartWanted(orders.mStarts[1]));
}

TEST_CASE("fleet: invariants hold over seeds of random faults")
{
  const auto seed = GENERATE(range(1U, 41U));
  FleetFaults faults;
  faults.mLostAnswer = 0.03;
  faults.mDelayed = 0.02;
  faults.mFailure = 0.05;
  faults.mNoConnection = 0.02;
  faults.mCrashPerS = 0.01;
  faults.mUnresponsivePerS = 0.02;
  faults.mTakeoverPerS = 0.1;
  faults.mStallPerS = 0.03;
  FleetModel model(seed, faults, 8);
  model.SetQueue(MakeQueue("q", seed % 2 == 0, 20));
  std::mt19937_64 random(seed);
  std::size_t jobs = 0;
  for (int round = 0; round < 20; ++round) {
    const std::string id = "j" + std::to_string(jobs++);
    // Named first: the order in which arguments are evaluated differs between platforms.
    const std::uint32_t stages = 1 + random() % 3;
    const std::uint32_t tasks = 1 + random() % 6;
    JobSpec job = MakeJob(id, tasks, stages);
    if (random() % 5 == 0) {
      job.mStages[0].mGang = true;
      job.mStages[0].mCount = 1 + job.mStages[0].mCount % 4;
    }
    job.mStages.back().mSpeculative = !job.mStages.back().mGang && random() % 3 == 0;
    model.Submit(job);
    if (random() % 8 == 0)
      model.Cancel(id);
    model.RunFor(milliseconds(1000));
  }
  model.StopFaults();
  model.RunFor(seconds(60));
  INFO("seed " << seed);
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
  for (std::size_t n = 0; n < jobs; ++n) {
    INFO("job " << n);
    const JobState state = GetState(model, "j" + std::to_string(n));
    CHECK((state == JobState::Completed || state == JobState::Cancelled));
  }
}
