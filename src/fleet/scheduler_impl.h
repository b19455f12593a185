// Internal to scheduler*.cpp.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/scheduler.h"

namespace monsoon::fleet {

// The estimated length of the longest chain of stages.
inline Duration EstimateChain(const std::vector<StageSpec>& aStages, const QueueConfig& aQueue)
{
  std::vector<Duration> ends(aStages.size(), Duration::zero());
  Duration longest{};
  for (std::size_t n = 0; n < aStages.size(); ++n) {
    Duration start{};
    for (const std::uint32_t before : aStages[n].mAfter)
      if (before < n)
        start = std::max(start, ends[before]);
    ends[n] = start + milliseconds(aStages[n].mEstimateMs);
    if (aQueue.mNeedsAdvice)
      ends[n] += aQueue.mAdviceBase + 30 * aQueue.mAdvicePerWorker;
    longest = std::max(longest, ends[n]);
  }
  return longest;
}

inline constexpr Duration kLeastEstimate = milliseconds(150);  // short ones are too often wrong

// The run time that a task's progress is compared with; zero where progress says nothing.
inline Duration GetProgressEstimate(const StageSpec& aSpec)
{
  if (aSpec.mLongRunning || aSpec.mFiller || aSpec.mGang)
    return Duration::zero();
  return std::max<Duration>(kLeastEstimate, milliseconds(aSpec.mEstimateMs));
}

struct Scheduler::Ready
{
  Job* mJob = nullptr;
  const QueueConfig* mQueue = nullptr;
  const StageSpec* mSpec = nullptr;
  StageRun* mStage = nullptr;
  TaskRef mRef{};  // index unused
};

}  // namespace monsoon::fleet
