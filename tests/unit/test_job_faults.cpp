// Runs random faults against the job table, placement, supervision and the capacity ledger. Every
// guarantee about tasks is an invariant that is checked after each step. For each invariant, an
// injected fault shows that its violation is detected.
#include <catch2/catch.hpp>

#include "tests/unit/job_model.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

constexpr std::uint32_t kSeeds = 100;
constexpr std::uint32_t kSteps = 300;

int Draw(JobModel& aModel, int aBelow)
{
  return std::uniform_int_distribution<int>(0, aBelow - 1)(aModel.mRandom);
}

WorkerName DrawWorker(JobModel& aModel)
{
  return "w" + std::to_string(Draw(aModel, static_cast<int>(aModel.mWorkers.size())));
}

void SubmitRandomJob(JobModel& aModel, std::uint32_t aStep)
{
  JobSpec spec;
  spec.mId = "job-" + std::to_string(aStep);
  spec.mKind = Draw(aModel, 4) == 0 ? JobKind::Gang : JobKind::Batch;
  spec.mTasks = static_cast<std::uint32_t>(1 + Draw(aModel, 8));
  spec.mRepeatable = Draw(aModel, 2) == 0;
  spec.mShape = { 500 * (1 + Draw(aModel, 8)), 512 * (1 + Draw(aModel, 8)) };
  spec.mPriority = static_cast<Priority>(Draw(aModel, 3));
  [[maybe_unused]] const auto done = aModel.Submit(spec);
}

void RunRandomStep(JobModel& aModel, std::uint32_t aStep)
{
  switch (Draw(aModel, 24)) {
    case 0:
    case 1:
      SubmitRandomJob(aModel, aStep);
      break;
    case 2:
      aModel.Cancel("job-" + std::to_string(Draw(aModel, static_cast<int>(aStep) + 1)));
      break;
    case 3:
      aModel.mCancelDuringPlace.push_back(
        "job-" + std::to_string(Draw(aModel, static_cast<int>(aStep) + 1)));
      break;
    case 4:
      aModel.KillShardOwner();
      break;
    case 5:
      aModel.KillWorkerOwner(DrawWorker(aModel));
      break;
    case 6:
      if (Draw(aModel, 4) == 0)
        aModel.RestartWorker(DrawWorker(aModel));
      break;
    case 7:
      aModel.mWorkers[DrawWorker(aModel)].mResponsive = Draw(aModel, 3) > 0;
      break;
    case 8:
      if (Draw(aModel, 8) == 0)
        aModel.SetLeaving("w0");
      break;
    case 9:
      if (Draw(aModel, 6) == 0)
        aModel.Advance(seconds(40));  // task leases expire
      break;
    case 10:
    case 11:
    case 12:
      aModel.RenewAll();
      break;
    case 13:
      aModel.SendStops();
      break;
    case 14:
      aModel.SendQueries();
      break;
    case 15:
    case 16:
    case 17:
      aModel.DeliverStarts();
      break;
    default:
      aModel.Advance(milliseconds(Draw(aModel, 800)));
      aModel.Place();
      break;
  }
}

std::string RunSeed(std::uint32_t aSeed, InjectedFault aFault)
{
  JobModel model(aSeed, aFault);
  for (std::uint32_t i = 0; i < 6; ++i)
    model.AddWorker("w" + std::to_string(i), { 8000 + 4000 * (i % 3), 32768 });
  model.mLoss = 0.15;
  model.mWriteUnknown = 0.02;
  for (std::uint32_t i = 0; i < kSteps; ++i) {
    RunRandomStep(model, i);
    if (std::string violation = model.FindViolation(); !violation.empty())
      return violation;
  }
  model.Settle(300);
  if (std::string violation = model.FindViolation(); !violation.empty())
    return violation;
  return model.AreAllDone() ? std::string() : "not all jobs ended";
}

// Returns whether any of the seeds reports a violation that starts with aName.
bool IsCaught(InjectedFault aFault, const std::string& aName)
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed)
    if (RunSeed(seed, aFault).find(aName) == 0)
      return true;
  return false;
}

}  // namespace

TEST_CASE("100 seeds of random faults violate no invariant, and all jobs end", "[faults]")
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const std::string violation = RunSeed(seed, InjectedFault::None);
    INFO(violation);
    CHECK(violation.empty());
  }
}

TEST_CASE("each invariant detects its injected fault", "[faults]")
{
  CHECK(IsCaught(InjectedFault::StartWithoutHold, "overcommit"));
  CHECK(IsCaught(InjectedFault::RepeatRunning, "runs in two places"));
  CHECK(IsCaught(InjectedFault::RepeatUnknown, "a non-repeatable task ran twice"));
  CHECK(IsCaught(InjectedFault::ReportNeverStarted, "reported as never started but ran"));
  CHECK(IsCaught(InjectedFault::StartOnLeaving, "new work on a leaving endpoint"));
  CHECK(IsCaught(InjectedFault::ForgetEntry, "an accepted job was lost"));
  CHECK(IsCaught(InjectedFault::IgnoreCancel, "started after its cancellation"));
  CHECK(IsCaught(InjectedFault::ForgetEndPlacing, "not all jobs ended"));
}
