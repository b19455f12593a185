#include "policy/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace monsoon {

namespace {

// A worker may turn slow and recover within seconds; a kind keeps its speed.
constexpr Duration kWorkerHalfLife = seconds(8);
constexpr Duration kKindHalfLife = seconds(60);
// The kind counts as much as this many runs of a worker, and 1 as much as these runs of a kind.
constexpr double kKindWeight = 4;
constexpr double kUnknownWeight = 12;
// Earlier runs count less and less beyond as many.
constexpr double kMaxWorkerWeight = 8;
constexpr double kMaxKindWeight = 500;
// A single run changes nothing by more than this factor: it may have stalled.
constexpr double kMaxDeviation = 4;
constexpr Duration kMinRun = milliseconds(20);  // shorter runs are measured too roughly
constexpr std::size_t kMinStageRuns = 4;        // that a stage's work can be told from
constexpr double kSlowFactor = 1.25;            // see IsSlowWorker
constexpr double kRankStep = 1.5;               // run times that differ by less share a rank
constexpr double kMinFreeFast = 1.0 / 3;        // below this share fast workers run short

double ToLogMs(Duration aTime)
{
  return std::log(std::chrono::duration<double, std::milli>(std::max(aTime, kMinRun)).count());
}

}  // namespace

double WorkerSpeeds::Average::GetDecay(TimePoint aNow, Duration aHalfLife) const
{
  const double passed = std::chrono::duration<double>(aNow - mAt).count();
  return std::exp2(-std::max(0.0, passed) / std::chrono::duration<double>(aHalfLife).count());
}

void WorkerSpeeds::Average::Add(double aValue,
                                TimePoint aNow,
                                Duration aHalfLife,
                                double aMaxWeight)
{
  const double decay =
    std::min(GetDecay(aNow, aHalfLife), (aMaxWeight - 1) / std::max(mWeight, 1.0));
  mSum = mSum * decay + aValue;
  mWeight = mWeight * decay + 1;
  mAt = aNow;
}

double WorkerSpeeds::GetLogFactor(const std::string& aWorker,
                                  const std::string& aKind,
                                  TimePoint aNow) const
{
  double factor = 0;
  if (const auto kind = mKinds.find(aKind); kind != mKinds.end())
    factor = kind->second.mSum / (kind->second.mWeight + kUnknownWeight);
  if (const auto worker = mWorkers.find(aWorker); worker != mWorkers.end()) {
    const double decay = worker->second.GetDecay(aNow, kWorkerHalfLife);
    factor += worker->second.mSum * decay / (worker->second.mWeight * decay + kKindWeight);
  }
  return factor;
}

double WorkerSpeeds::GetRunTimeFactor(const std::string& aWorker,
                                      const std::string& aKind,
                                      TimePoint aNow) const
{
  return std::exp(GetLogFactor(aWorker, aKind, aNow));
}

// Takes the mean work of the stage's tasks, with all speeds as known so far, and then each run's
// deviation from it.
void WorkerSpeeds::Observe(std::span<const SpeedSample> aStage, TimePoint aNow)
{
  if (aStage.size() < 2)
    return;
  std::vector<double> work;
  for (const SpeedSample& it : aStage)
    work.push_back(ToLogMs(it.mRan) - GetLogFactor(it.mWorker, it.mKind, aNow));
  std::vector<double> sorted = work;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  double median = *middle;
  if (sorted.size() % 2 == 0)
    median = (median + *std::max_element(sorted.begin(), middle)) / 2;
  const double maxDeviation = std::log(kMaxDeviation);
  for (std::size_t n = 0; n < aStage.size(); ++n) {
    const SpeedSample& it = aStage[n];
    const double deviation = std::clamp(work[n] - median, -maxDeviation, maxDeviation);
    const double known = GetLogFactor(it.mWorker, it.mKind, aNow);
    Average& kind = mKinds[it.mKind];
    const double kindFactor = kind.mSum / (kind.mWeight + kUnknownWeight);
    kind.Add(known + deviation, aNow, kKindHalfLife, kMaxKindWeight);
    mWorkers[it.mWorker].Add(
      known + deviation - kindFactor, aNow, kWorkerHalfLife, kMaxWorkerWeight);
  }
}

Duration EstimateStage(std::vector<Duration> aWork)
{
  if (aWork.size() < kMinStageRuns)
    return Duration::zero();
  const auto middle = aWork.begin() + static_cast<std::ptrdiff_t>(aWork.size() / 2);
  std::nth_element(aWork.begin(), middle, aWork.end());
  return *middle;
}

bool IsSlowWorker(double aFactor)
{
  return aFactor > kSlowFactor;
}

std::vector<double> DivideByMean(std::vector<double> aFactors)
{
  const double sum = std::accumulate(aFactors.begin(), aFactors.end(), 0.0);
  for (double& it : aFactors)
    it *= static_cast<double>(aFactors.size()) / sum;
  return aFactors;
}

SpeedNeed ChooseSpeedNeed(bool aLasting, double aStretch, const FleetSpeed& aFleet)
{
  if (aLasting)
    return SpeedNeed::Slow;
  const bool mayRunSlow = aFleet.mSlowWorkers > 0 && aStretch > aFleet.mSlow;
  return mayRunSlow && aFleet.mFreeFast < kMinFreeFast ? SpeedNeed::Slow : SpeedNeed::Fast;
}

int RankRunTime(double aFactor)
{
  return static_cast<int>(std::lround(std::log(aFactor) / std::log(kRankStep)));
}

}  // namespace monsoon
