// A queue, jobs of one stage, and workers for tests of the fleet scheduler.
#pragma once

#include <catch2/catch.hpp>

#include "fleet_model.h"

namespace monsoon::fleet {

inline FleetConfig MakeFleetConfig()
{
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mMaxAttempts = 50;
  queue.mStretch = 2;
  queue.mSlack = seconds(1);
  FleetConfig config;
  config.mQueues.push_back(queue);
  return config;
}

// Tasks of which a worker of MakeWorkerEntry has room for one.
inline JobSpec MakeFleetJob(std::string aId, std::uint32_t aTasks, bool aLasting = false)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  StageSpec stage;
  stage.mCount = aTasks;
  stage.mMilliCores = 3000;
  stage.mMemoryMiB = 1000;
  stage.mEstimateMs = 1000;
  stage.mLongRunning = aLasting;
  job.mStages.push_back(stage);
  return job;
}

inline WorkerEntry MakeWorkerEntry(std::string aId, std::int64_t aBornMs = 0)
{
  WorkerEntry entry;
  entry.mId = std::move(aId);
  entry.mAddress = entry.mId + ":80";
  entry.mService = "pool";
  entry.mMilliCores = 4000;
  entry.mMemoryMiB = 16'000;
  entry.mBornMs = aBornMs;
  return entry;
}

// Stops the faults, and checks that all jobs end and that no invariant was broken.
inline void CheckAllEnd(FleetModel& aModel, const std::vector<std::string>& aJobs)
{
  aModel.StopFaults();
  aModel.RunFor(seconds(60));
  CHECK_THAT(aModel.mViolations, Catch::Equals(std::vector<std::string>()));
  for (const std::string& id : aJobs) {
    INFO("job " << id);
    REQUIRE(aModel.FindJob(id));
    CHECK(IsOver(aModel.FindJob(id)->mState));
  }
}

}  // namespace monsoon::fleet
