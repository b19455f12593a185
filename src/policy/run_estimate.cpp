#include "policy/run_estimate.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr std::size_t kMaxJobs = 1024;
constexpr int kWeightDivisor = 4;  // a new run has a weight of 1 / kWeightDivisor in the average

}  // namespace

void RunEstimates::Record(const JobId& aJob, Duration aRan, TimePoint aNow)
{
  auto [it, inserted] = mObservations.try_emplace(aJob, Observation{ aRan, aNow });
  if (!inserted)
    it->second.mAverage += (aRan - it->second.mAverage) / kWeightDivisor;
  it->second.mLastAt = aNow;
  if (mObservations.size() > kMaxJobs)
    DropOldest();
}

void RunEstimates::DropOldest()
{
  const auto oldest = std::min_element(
    mObservations.begin(), mObservations.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mLastAt < aRight.second.mLastAt;
    });
  mObservations.erase(oldest);
}

Duration RunEstimates::Estimate(const JobId& aJob, Duration aDeclared) const
{
  const auto it = mObservations.find(aJob);
  return it == mObservations.end() ? aDeclared : it->second.mAverage;
}

}  // namespace monsoon
