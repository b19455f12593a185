// Speeds of workers: what is learned from runs, and which workers stages get.
#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include "policy/estimate_error.h"
#include "policy/worker_speed.h"

using namespace monsoon;

namespace {

constexpr TimePoint kStart{ seconds(100) };

SpeedSample MakeSample(int aWorker, Duration aRan)
{
  return { "w" + std::to_string(aWorker), aWorker % 3 == 2 ? "slow" : "fast", aRan };
}

// Lets stages of ten tasks, of very different work, run on 30 workers of which each third takes 2.5
// times as long.
void RunStages(WorkerSpeeds& aSpeeds, int aCount, TimePoint aNow)
{
  std::mt19937 random(7);
  std::lognormal_distribution<double> work(6, 1);
  std::normal_distribution<double> uneven(0, 0.3);
  for (int n = 0; n < aCount; ++n) {
    const double ms = work(random);
    std::vector<SpeedSample> stage;
    for (int task = 0; task < 10; ++task) {
      const int worker = static_cast<int>(random() % 30);
      const double factor = worker % 3 == 2 ? 2.5 : 1;
      const auto ran = milliseconds(std::lround(ms * factor * std::exp(uneven(random))));
      stage.push_back(MakeSample(worker, ran));
    }
    aSpeeds.Observe(stage, aNow);
  }
}

double GetFactor(const WorkerSpeeds& aSpeeds, int aWorker, TimePoint aNow)
{
  const SpeedSample it = MakeSample(aWorker, {});
  return aSpeeds.GetRunTimeFactor(it.mWorker, it.mKind, aNow);
}

}  // namespace

TEST_CASE("worker speed: a few stages of unlike work tell slow kinds of workers")
{
  WorkerSpeeds speeds;
  CHECK(GetFactor(speeds, 0, kStart) == Approx(1));
  RunStages(speeds, 60, kStart);
  const double ratio = GetFactor(speeds, 2, kStart) / GetFactor(speeds, 0, kStart);
  CHECK(ratio > 2);
  CHECK(ratio < 3);
  // A worker that is new has the speed of its kind.
  CHECK(GetFactor(speeds, 302, kStart) > 1.8 * GetFactor(speeds, 300, kStart));
}

TEST_CASE("worker speed: a worker that turns slow is told from its kind, and forgotten")
{
  WorkerSpeeds speeds;
  RunStages(speeds, 60, kStart);
  const double before = GetFactor(speeds, 0, kStart);
  for (int n = 0; n < 8; ++n) {
    std::vector<SpeedSample> stage{ MakeSample(0, seconds(5)) };
    for (int other = 3; other < 12; other += 3)
      stage.push_back(MakeSample(other, seconds(1)));
    speeds.Observe(stage, kStart);
    if (n == 0)  // one run may have stalled
      CHECK(GetFactor(speeds, 0, kStart) < 1.3 * before);
  }
  CHECK(GetFactor(speeds, 0, kStart) > 1.8 * before);
  CHECK(GetFactor(speeds, 0, kStart + seconds(60)) < 1.2 * before);
}

TEST_CASE("worker speed: jobs that are due soon get fast workers, however few are free")
{
  const FleetSpeed ample{ .mSlow = 1.7, .mFreeFast = 0.5, .mSlowWorkers = 10 };
  const FleetSpeed scarce{ .mSlow = 1.7, .mFreeFast = 0.1, .mSlowWorkers = 10 };
  CHECK(ChooseSpeedNeed(false, 1.5, scarce) == SpeedNeed::Fast);
  CHECK(ChooseSpeedNeed(false, 2.2, ample) == SpeedNeed::Fast);
  CHECK(ChooseSpeedNeed(false, 2.2, scarce) == SpeedNeed::Slow);
  CHECK(ChooseSpeedNeed(true, 2.2, ample) == SpeedNeed::Slow);
}

TEST_CASE("worker speed: in an even fleet all workers share a rank")
{
  CHECK(RankRunTime(0.9) == RankRunTime(1.15));
  CHECK(RankRunTime(0.68) < RankRunTime(1));
  CHECK(RankRunTime(1.65) > RankRunTime(1));
}

TEST_CASE("estimate error: a wide spread of errors widens the limit, known few don't")
{
  EstimateErrors errors;
  for (int n = 0; n < 7; ++n)
    errors.Record("q/0", seconds(1), seconds(n % 2 == 0 ? 4 : 1));
  CHECK(errors.GetUpperFactor("q/0") == Approx(1));
  errors.Record("q/0", seconds(1), seconds(4));
  CHECK(errors.GetUpperFactor("q/0") > 4);
  for (int n = 0; n < 20; ++n)
    errors.Record("q/1", seconds(1), milliseconds(500));
  CHECK(errors.GetUpperFactor("q/1") == Approx(1));
}
