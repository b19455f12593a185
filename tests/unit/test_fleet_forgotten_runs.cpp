// Runs that a holder forgets although they are still on their worker: their capacity is given away
// again, and so are their tasks.
#include <catch2/catch.hpp>

#include "fleet_model.h"

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

TEST_CASE(
  "fleet: a previous holder that goes on starts tasks of jobs that its successor has not read")
{
  const auto seed = GENERATE(range(1U, 41U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mTakeoverPerS = 0.15;
  faults.mPreviousHolder = seconds(5);
  faults.mJobLag = milliseconds(seed % 4 < 2 ? 500 : 5000);
  faults.mPartitioned = 0.3;
  faults.mLostReport = 0.02;
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
