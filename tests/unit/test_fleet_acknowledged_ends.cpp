// When workers are told that they may forget the ends of tasks.
#include <catch2/catch.hpp>

#include "fleet_model.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr std::size_t kBatchEntries = 31;  // of one transaction, without the holder's key

JobSpec MakeJob(std::string aId, std::uint32_t aTasks)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  job.mTerms = QueueTerms{ .mMaxAttempts = 3 };
  StageSpec stage;
  stage.mCount = aTasks;
  stage.mMilliCores = 1000;
  stage.mMemoryMiB = 1000;
  stage.mEstimateMs = 500;
  job.mStages.push_back(stage);
  return job;
}

std::string MakeWorkerId(int aNumber)
{
  return "w" + std::to_string(aNumber);
}

// Workers that list ends of tasks until these are acknowledged.
class EndingWorkers
{
public:
  EndingWorkers(Scheduler& aScheduler, int aCount)
    : mScheduler(aScheduler)
    , mReports(static_cast<std::size_t>(aCount))
  {
    for (int n = 0; n < aCount; ++n) {
      WorkerEntry entry;
      entry.mId = MakeWorkerId(n);
      entry.mAddress = "10.0.0." + std::to_string(n) + ":80";
      entry.mService = "pool";
      mScheduler.ListWorker(entry, true, kStart);
      mScheduler.OnReport(entry.mId, {}, kStart, kStart);
    }
  }

  void End(int aWorker, const std::string& aTask, EndKind aKind = EndKind::Done)
  {
    mReports[aWorker].mEnded.push_back({ ++mNumbers[aWorker], aTask, 1, aKind, "" });
  }

  void Report(int aWorker, TimePoint aNow)
  {
    const Worker* worker = mScheduler.FindWorker(MakeWorkerId(aWorker));
    const std::uint64_t forgotten = Scheduler::GetAcknowledgedEnd(*worker);
    std::erase_if(mReports[aWorker].mEnded,
                  [forgotten](const EndedTask& aItem) { return aItem.mNumber <= forgotten; });
    mListed += mReports[aWorker].mEnded.size();
    mScheduler.OnReport(MakeWorkerId(aWorker), mReports[aWorker], aNow, aNow);
  }

  std::size_t mListed = 0;  // rows in all reports

private:
  Scheduler& mScheduler;
  std::vector<WorkerReport> mReports{};
  std::map<int, std::uint64_t> mNumbers{};
};

}  // namespace

TEST_CASE("fleet: no end is acknowledged while any job of the fleet has progress to store")
{
  constexpr int kWorkers = 40;
  constexpr int kJobsPerBatch = 15;
  constexpr int kRounds = 200;
  constexpr std::size_t kMaxListings = 5;  // of one end: the backlog takes three batches
  Scheduler scheduler({});
  EndingWorkers workers(scheduler, kWorkers);
  // A backlog of two batches stays: in each round, as many jobs change as a batch can hold.
  std::size_t ends = 0;
  TimePoint now = kStart;
  for (int round = 0; round < kRounds; ++round) {
    for (int n = 0; n < (round == 0 ? 3 : 1) * kJobsPerBatch; ++n) {
      const std::string id = "j" + std::to_string(10'000 + ends);
      scheduler.AddJob(MakeJob(id, 2), {}, false, now);
      workers.End(static_cast<int>(ends % kWorkers), id + ".0.0.0");
      ++ends;
    }
    for (int n = 0; n < kWorkers; ++n)
      workers.Report(n, now);
    scheduler.OnProgressStored(scheduler.CollectProgress(kBatchEntries, now));
    now += milliseconds(50);
  }
  INFO(ends << " ends, " << workers.mListed << " rows");
  CHECK(workers.mListed <= kMaxListings * ends);
}

TEST_CASE("fleet: a job that changes all the time is stored before one that has waited for longer")
{
  constexpr int kJobsPerBatch = 15;
  Scheduler scheduler({});
  EndingWorkers workers(scheduler, 1);
  scheduler.AddJob(MakeJob("z", 2), {}, false, kStart);
  workers.End(0, "z.0.0.0");
  for (int n = 0; n < kJobsPerBatch; ++n)
    scheduler.AddJob(MakeJob("a" + std::to_string(n), 100), {}, false, kStart);
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < kJobsPerBatch; ++n)
      workers.End(0, "a" + std::to_string(n) + ".0.0." + std::to_string(round));
    workers.Report(0, kStart);
    scheduler.OnProgressStored(scheduler.CollectProgress(kBatchEntries, kStart));
  }
  CHECK(scheduler.FindWorker("w0")->mStoredEnd > 1);
}

TEST_CASE("fleet: the progress of running jobs is never stored while enough others end")
{
  constexpr int kRounds = 3;
  Scheduler scheduler({});
  EndingWorkers workers(scheduler, 1);
  scheduler.AddJob(MakeJob("running", 2), {}, false, kStart);
  workers.End(0, "running.0.0.0");
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t n = 0; n < kBatchEntries; ++n) {
      const std::string id = std::to_string(round) + "-" + std::to_string(n);
      scheduler.AddJob(MakeJob(id, 1), {}, false, kStart);
      workers.End(0, id + ".0.0.0");
    }
    workers.Report(0, kStart);
    scheduler.OnProgressStored(scheduler.CollectProgress(kBatchEntries, kStart));
  }
  CHECK(scheduler.FindWorker("w0")->mStoredEnd > 0);
}

TEST_CASE("fleet: an end is acknowledged before the job that it belongs to is stored")
{
  Scheduler scheduler({});
  EndingWorkers workers(scheduler, 2);
  for (const char* id : { "a", "b", "c" })
    scheduler.AddJob(MakeJob(id, 4), {}, false, kStart);
  workers.End(0, "a.0.0.0");
  workers.End(0, "b.0.0.0");
  workers.End(0, "c.0.0.0");
  workers.End(1, "a.0.0.1");
  workers.Report(0, kStart);
  workers.Report(1, kStart);
  // Two jobs fit into the batch.
  const ProgressBatch first = scheduler.CollectProgress(4, kStart);
  REQUIRE(first.mJobs.size() == 2);
  const auto isInFirst = [&first](std::string_view aJob) {
    return first.mJobs[0].mJob == aJob || first.mJobs[1].mJob == aJob;
  };
  CHECK(isInFirst("a"));
  CHECK(isInFirst("b"));
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 0);
  scheduler.OnProgressStored(first);
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 2);
  CHECK(scheduler.FindWorker("w1")->mStoredEnd == 1);

  // A batch that is lost acknowledges nothing, nor does what was stored of its jobs before.
  workers.End(1, "b.0.0.1");
  workers.End(1, "a.0.0.2");
  workers.Report(1, kStart);
  const ProgressBatch second = scheduler.CollectProgress(kBatchEntries, kStart);
  workers.End(1, "b.0.0.2");
  workers.Report(1, kStart);
  scheduler.OnProgressLost(second);
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 2);
  CHECK(scheduler.FindWorker("w1")->mStoredEnd == 1);
  const ProgressBatch third = scheduler.CollectProgress(kBatchEntries, kStart);
  REQUIRE(third.mJobs.size() == 3);
  scheduler.OnProgressStored(third);
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 3);
  CHECK(scheduler.FindWorker("w1")->mStoredEnd == 4);
}

TEST_CASE("fleet: the end of a run that a copy has outrun is acknowledged before the copy's effect")
{
  Scheduler scheduler({});
  EndingWorkers workers(scheduler, 2);
  scheduler.AddJob(MakeJob("a", 2), {}, false, kStart);
  workers.End(0, "a.0.0.0");
  workers.Report(0, kStart);
  workers.End(1, "a.0.0.0");  // no effect, as the task is done
  workers.Report(1, kStart);
  const ProgressBatch lost = scheduler.CollectProgress(kBatchEntries, kStart);
  scheduler.OnProgressLost(lost);
  CHECK(scheduler.FindWorker("w1")->mStoredEnd == 0);
  scheduler.OnProgressStored(scheduler.CollectProgress(kBatchEntries, kStart));
  CHECK(scheduler.FindWorker("w1")->mStoredEnd == 1);
}

TEST_CASE("fleet: an end that waited for its job is acknowledged before its effect is stored")
{
  Scheduler scheduler({});
  EndingWorkers workers(scheduler, 1);
  workers.End(0, "a.0.0.0");
  workers.Report(0, kStart);
  scheduler.OnProgressStored(scheduler.CollectProgress(kBatchEntries, kStart));
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 0);
  scheduler.AddJob(MakeJob("a", 2), {}, false, kStart);
  const ProgressBatch lost = scheduler.CollectProgress(kBatchEntries, kStart);
  scheduler.OnProgressLost(lost);
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 0);
  scheduler.OnProgressStored(scheduler.CollectProgress(kBatchEntries, kStart));
  CHECK(scheduler.FindWorker("w0")->mStoredEnd == 1);
}

// Incarnations of a worker number their ends alike, so the number alone names none.
TEST_CASE("fleet: an end is taken for that of an earlier incarnation, whose job was not known")
{
  Scheduler scheduler({});
  EndingWorkers workers(scheduler, 2);
  for (const char* id : { "b", "c" })
    scheduler.AddJob(MakeJob(id, 9), {}, false, kStart);
  for (int n = 0; n < 3; ++n) {
    workers.End(1, "b.0.0." + std::to_string(n));
    workers.Report(1, kStart);
    scheduler.OnProgressStored(scheduler.CollectProgress(kBatchEntries, kStart));
  }
  const auto report = [&](std::int64_t aBornMs, const std::string& aTask) {
    const WorkerReport it{ .mBornMs = aBornMs, .mEnded = { { 1, aTask, 1, EndKind::Done, "" } } };
    scheduler.OnReport("w0", it, kStart, kStart);
  };
  report(1000, "a.0.0.0");
  workers.End(1, "c.0.0.0");
  workers.Report(1, kStart);
  report(2000, "b.0.0.3");
  const auto storeOneJob = [&] {
    const ProgressBatch batch = scheduler.CollectProgress(2, kStart);
    REQUIRE(batch.mJobs.size() == 1);
    scheduler.OnProgressStored(batch);
    return batch.mJobs[0].mJob;
  };
  SECTION("it is acknowledged before its effect is stored")
  {
    scheduler.AddJob(MakeJob("a", 2), {}, false, kStart);
    REQUIRE(storeOneJob() == "c");
    CHECK(scheduler.FindWorker("w0")->mStoredEnd == 0);
  }
  SECTION("it is acknowledged late")
  {
    REQUIRE(storeOneJob() == "c");
    REQUIRE(storeOneJob() == "b");
    CHECK(scheduler.FindWorker("w0")->mStoredEnd == 1);
  }
}

TEST_CASE("fleet: an end whose effect was not stored is acknowledged, and lost with the holder")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mLostAnswer = 0.02;
  faults.mLostReport = 0.02;
  faults.mFailure = 0.03;
  faults.mCrashPerS = 0.005;
  faults.mRestartPerS = 0.02;
  faults.mTakeoverPerS = 0.4;
  faults.mJobLag = milliseconds(300);
  faults.mWriteTime = milliseconds(150);
  faults.mLostWrite = 0.2;
  faults.mBatchEntries = 5;
  FleetModel model(seed, faults, 8);
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mMaxAttempts = 20;
  model.SetQueue(queue);
  constexpr int kJobs = 60;
  for (int n = 0; n < kJobs; ++n) {
    JobSpec job = MakeJob("j" + std::to_string(n), 1 + n % 5);
    job.mStages.push_back(job.mStages[0]);
    job.mStages[1].mAfter.push_back(0);
    job.mStages[1].mSpeculative = n % 3 == 0;
    model.SetRunTime(job.mId, milliseconds(50 + 10 * (n % 20)));
    model.Submit(std::move(job));
    model.RunFor(milliseconds(200));
  }
  model.StopFaults();
  model.RunFor(seconds(60));
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
  for (int n = 0; n < kJobs; ++n) {
    INFO("job " << n);
    CHECK(model.FindJob("j" + std::to_string(n))->mState == JobState::Completed);
  }
}
