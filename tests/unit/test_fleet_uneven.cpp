// Uneven workers: a steady load of short jobs, beside lasting tasks, on a fleet of which each third
// worker takes 2.4 times as long.
#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr std::size_t kWorkers = 24;
constexpr Duration kWork = milliseconds(800);  // of each task, on a worker of usual speed
constexpr Duration kTarget = milliseconds(1500);

JobSpec MakeShortJob(std::size_t aNumber)
{
  JobSpec job = MakeFleetJob("short" + std::to_string(aNumber), 5);
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
