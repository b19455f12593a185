// Learns how fast workers are from the runs that end on them. In an uneven fleet a stage ends with
// its slowest task, so a few slow workers make most urgent jobs late while the fleet has room.
//
// Tasks of one stage do about the same work, but callers' estimates of it are wrong by factors. So
// runs are compared within their stage, never with the estimate.
//
// Index
//   Learning    speeds of workers and of their kinds, work of stages
//   Preference  which workers a stage is to run on
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace monsoon {

// Learning
struct SpeedSample  // a run that ended with success
{
  std::string mWorker{};
  std::string mKind{};
  Duration mRan{};
};

class WorkerSpeeds
{
public:
  // Records the runs of a completed stage. A stage with fewer than two tells nothing.
  void Observe(std::span<const SpeedSample> aStage, TimePoint aNow);
  // Returns the run time of a task on the worker, as a multiple of that on a worker of speed 1.
  // Few runs of a worker count less than those of its kind; 1 if neither is known.
  [[nodiscard]] double GetRunTimeFactor(const std::string& aWorker,
                                        const std::string& aKind,
                                        TimePoint aNow) const;
  void Forget(const std::string& aWorker) { mWorkers.erase(aWorker); }

private:
  struct Average  // of logarithms; its weight is halved in each half-life
  {
    double mSum = 0;
    double mWeight = 0;
    TimePoint mAt{};
    void Add(double aValue, TimePoint aNow, Duration aHalfLife, double aMaxWeight);
    [[nodiscard]] double GetDecay(TimePoint aNow, Duration aHalfLife) const;
  };

  [[nodiscard]] double GetLogFactor(const std::string& aWorker,
                                    const std::string& aKind,
                                    TimePoint aNow) const;

  std::map<std::string, Average> mKinds{};    // logarithm of the factor
  std::map<std::string, Average> mWorkers{};  // the same, above that of the kind
};

// Returns the run time of a stage's tasks on a worker with factor 1, from aWork: those of single
// runs, divided by the factors of their workers. Zero if there are too few to tell.
[[nodiscard]] Duration EstimateStage(std::vector<Duration> aWork);

// Preference
// Run time factors of workers are compared with their mean over the fleet, as factors of 1 mean
// nothing by themselves.
enum class SpeedNeed : std::uint8_t
{
  Fast,  // the fastest first
  Slow   // the slowest first, to leave the others to tasks that need them
};

struct FleetSpeed  // of the workers in use
{
  double mSlow = 1;      // mean factor of the slow workers, as a multiple of the fleet's; 1: none
  double mFreeFast = 1;  // share of the cores of workers that are not slow which is free
  std::size_t mSlowWorkers = 0;
};

// Returns whether workers with this factor, as a multiple of the mean, count as slow.
[[nodiscard]] bool IsSlowWorker(double aFactor);

// Returns the factors as multiples of their mean.
[[nodiscard]] std::vector<double> DivideByMean(std::vector<double> aFactors);

// Returns which workers a stage needs. aStretch: its job is due after this multiple of its work.
// Lasting tasks have no end, and leave fast workers to others. A job whose due time allows for slow
// workers leaves the fast ones as they run short.
[[nodiscard]] SpeedNeed ChooseSpeedNeed(bool aLasting, double aStretch, const FleetSpeed& aFleet);

// Returns the rank of a run time: those that differ little share a rank, so that other criteria
// choose among their workers.
[[nodiscard]] int RankRunTime(double aFactor);

}  // namespace monsoon
