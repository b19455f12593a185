#include "policy/quarantine.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr std::uint32_t kDistinctFailures = 3;  // distinct failures that quarantine a worker
constexpr Duration kInitialPause = seconds(10);
constexpr std::uint32_t kMaxDoublings = 5;
constexpr Duration kProbeTimeout = seconds(30);  // a probe without an outcome by then is abandoned
constexpr double kRateWeight = 0.2;              // weight of the newest outcome in the failure rate
constexpr std::size_t kMaxJobs = 4096;           // jobs whose last success is remembered

}  // namespace

void Quarantine::Record(const WorkerName& aWorker, const JobId& aJob, bool aFailed, TimePoint aNow)
{
  Health& health = mWorkers[aWorker];
  health.mFailureRate += kRateWeight * ((aFailed ? 1.0 : 0.0) - health.mFailureRate);
  if (!aFailed) {
    const double rate = health.mFailureRate;
    health = Health{};
    health.mFailureRate = rate;
    if (mSucceededOn.size() >= kMaxJobs)
      mSucceededOn.erase(mSucceededOn.begin());
    mSucceededOn[aJob] = aWorker;
    return;
  }
  health.mFailedJobs.insert(aJob);
  auto it = mSucceededOn.find(aJob);
  if (it != mSucceededOn.end() && it->second != aWorker)
    ++health.mAttributedFailures;
  const std::size_t pairs =
    std::max<std::size_t>(health.mFailedJobs.size(), health.mAttributedFailures);
  const bool probeFailed = health.mTrips > 0 && aNow >= health.mUntil;
  if (pairs < kDistinctFailures && !probeFailed)
    return;
  health.mUntil = aNow + kInitialPause * (1 << std::min(health.mTrips, kMaxDoublings));
  health.mProbeUntil = TimePoint{};
  ++health.mTrips;
  health.mFailedJobs.clear();
  health.mAttributedFailures = 0;
}

bool Quarantine::IsExcluded(const WorkerName& aWorker, TimePoint aNow) const
{
  auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end() || it->second.mTrips == 0)
    return false;
  return aNow < it->second.mUntil || aNow < it->second.mProbeUntil;
}

void Quarantine::BeginStart(const WorkerName& aWorker, TimePoint aNow)
{
  auto it = mWorkers.find(aWorker);
  if (it != mWorkers.end() && it->second.mTrips > 0)
    it->second.mProbeUntil = aNow + kProbeTimeout;
}

void Quarantine::Forget(const WorkerName& aWorker)
{
  mWorkers.erase(aWorker);
}

double Quarantine::GetFailureRate(const WorkerName& aWorker) const
{
  auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? 0 : it->second.mFailureRate;
}

}  // namespace monsoon
