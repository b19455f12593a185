// Tasks that crash the workers that start them.
#include <catch2/catch.hpp>

#include "fleet_model.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

// A deadly task may start until three workers have crashed under it, and twice more.
constexpr std::size_t kMaxStarts = 5;

QueueConfig MakeQueue()
{
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mMaxAttempts = 3;
  queue.mStretch = 2;
  queue.mSlack = seconds(1);
  return queue;
}

JobSpec MakeJob(std::string aId, std::uint32_t aTasks)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  StageSpec stage;
  stage.mCount = aTasks;
  stage.mMilliCores = 1000;
  stage.mMemoryMiB = 1000;
  stage.mEstimateMs = 1000;
  job.mStages.push_back(stage);
  return job;
}

// Submits jobs that can be done, one each 200 ms.
void SubmitOthers(FleetModel& aModel, int aFrom, int aTo)
{
  for (int n = aFrom; n < aTo; ++n) {
    aModel.Submit(MakeJob("other" + std::to_string(n), 4));
    aModel.RunFor(milliseconds(200));
  }
}

}  // namespace

TEST_CASE("fleet: a task crashes worker after worker")
{
  const auto seed = GENERATE(range(1U, 11U));
  const auto kind = GENERATE(0, 1, 2, 3);
  FleetModel model(seed, {}, 12);
  model.SetQueue(MakeQueue());
  JobSpec job = MakeJob("deadly", 3);
  job.mStages[0].mSpeculative = kind == 1;
  job.mStages[0].mGang = kind == 2;
  job.mStages[0].mLongRunning = kind == 3;
  SubmitOthers(model, 0, 5);
  model.SetDeadly("deadly.0.0.0");
  model.Submit(job);
  SubmitOthers(model, 5, 40);
  model.RunFor(seconds(60));
  INFO("seed " << seed << " kind " << kind);
  CHECK(model.CountStarts("deadly.0.0.0") <= kMaxStarts);
  CHECK(model.FindJob("deadly")->mState == JobState::Failed);
  for (int n = 0; n < 40; ++n) {
    INFO("job " << n);
    CHECK(model.FindJob("other" + std::to_string(n))->mState == JobState::Completed);
  }
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
}

TEST_CASE("fleet: a takeover forgets which workers crashed under a task")
{
  const auto seed = GENERATE(range(1U, 11U));
  const bool isSpeculative = GENERATE(false, true);
  FleetModel model(seed, {}, 12);
  model.SetQueue(MakeQueue());
  JobSpec job = MakeJob("deadly", 1);
  job.mStages[0].mSpeculative = isSpeculative;
  model.SetDeadly("deadly.0.0.0");
  model.Submit(job);
  for (int n = 0; n < 8; ++n) {
    SubmitOthers(model, 10 * n, 10 * n + 10);
    model.TakeOver();
  }
  model.RunFor(seconds(60));
  INFO("seed " << seed << " speculative " << isSpeculative);
  CHECK(model.CountStarts("deadly.0.0.0") <= kMaxStarts);
  CHECK(model.FindJob("deadly")->mState == JobState::Failed);
}
