// Uneven workers: a steady load of short jobs, beside lasting tasks, on a fleet of which each third
// worker takes 2.4 times as long; estimates that are wrong by factors; the size of policy calls.
#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr std::size_t kWorkers = 24;
constexpr Duration kWork = milliseconds(800);     // of each task, on a worker of usual speed
constexpr Duration kTarget = milliseconds(1200);  // a stretch of 1.5

JobSpec MakeShortJob(std::size_t aNumber)
{
  JobSpec job = MakeFleetJob("short" + std::to_string(aNumber), 8);
  job.mStages[0].mEstimateMs = aNumber % 3 == 0 ? 200 : 3000;  // wrong by factors
  return job;
}

// Returns the share of 60 short jobs that completed in time, after the fleet has run for a while.
double RunLoad(const std::vector<double>& aFactors)
{
  FleetModel model(5, {}, kWorkers);
  model.SetRunTimeFactors(aFactors);
  QueueConfig queue = MakeFleetConfig().mQueues[0];
  queue.mStretch = 1.5;
  model.SetQueue(queue);
  model.Submit(MakeFleetJob("lasting", 30, true));
  std::size_t inTime = 0;
  for (std::size_t n = 0; n < 80; ++n) {
    const JobSpec job = MakeShortJob(n);
    model.SetRunTime(job.mId, kWork);
    model.Submit(job);
    model.RunFor(milliseconds(150));
  }
  model.RunFor(seconds(5));
  for (std::size_t n = 20; n < 80; ++n) {
    const Job* job = model.FindJob("short" + std::to_string(n));
    REQUIRE(job);
    inTime += job->mState == JobState::Completed && job->mEndedAt - job->mSeenAt < kTarget ? 1 : 0;
  }
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
  return double(inTime) / 60;
}

}  // namespace

TEST_CASE("fleet uneven: short jobs run on fast workers once the slow ones are known")
{
  CHECK(RunLoad({ 0.7, 0.7, 1.7 }) >= 0.95);
}

TEST_CASE("fleet uneven: an even fleet serves the same load")
{
  CHECK(RunLoad({ 1 }) >= 0.95);
}

// Each move starts a task anew: with moves, short jobs were late for no other reason.
TEST_CASE("fleet uneven: estimates that are far too short move nothing but what stalls")
{
  FleetModel model(9, {}, kWorkers);
  model.SetQueue(MakeFleetConfig().mQueues[0]);
  JobSpec job = MakeFleetJob("j", 12);
  job.mStages[0].mEstimateMs = 150;
  model.SetRunTime("j", milliseconds(1200));
  model.Submit(job);
  model.RunFor(milliseconds(600));
  model.Stall("j.0.0.3", seconds(20));
  model.RunFor(seconds(8));
  REQUIRE(model.FindJob("j"));
  CHECK(model.FindJob("j")->mState == JobState::Completed);
  std::size_t starts = 0;
  for (int n = 0; n < 12; ++n)
    starts += model.CountStarts("j.0.0." + std::to_string(n));
  CHECK(model.CountStarts("j.0.0.3") == 2);
  CHECK(starts < 12 + 6);  // no more than what ran on the stalled worker
}

TEST_CASE("fleet uneven: a policy call names as many workers as its stage needs")
{
  const TimePoint now{ seconds(1000) };
  Scheduler scheduler({});
  FleetConfig config = MakeFleetConfig();
  config.mQueues[0].mNeedsAdvice = true;
  scheduler.SetQueues(config);
  for (int n = 0; n < 80; ++n) {
    const WorkerEntry entry = MakeWorkerEntry("w" + std::to_string(n));
    scheduler.ListWorker(entry, true, now);
    scheduler.OnReport(entry.mId, WorkerReport{}, now, now);
  }
  const auto countNamed = [&](const JobSpec& aJob) {
    scheduler.AddJob(aJob, {}, false, now);
    const Orders orders = scheduler.Plan(now, 0, true, 1);
    return orders.mAdvice.empty() ? 0 : orders.mAdvice[0].mWorkers.size();
  };
  CHECK(countNamed(MakeFleetJob("small", 1)) == 16);
  CHECK(countNamed(MakeFleetJob("large", 40)) == 60);
  CHECK(countNamed(MakeFleetJob("lasting", 1, true)) == 60);
}
