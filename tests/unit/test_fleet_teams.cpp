// Limits of teams: what the tasks of a team use at one time, as the workers see it, also while
// holders change, workers are out of reach, orders take effect late and limits change.
#include <catch2/catch.hpp>

#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr std::int64_t kTaskCores = 3000;  // of a task of MakeFleetJob
constexpr std::int64_t kTaskMemory = 1000;

TeamConfig MakeTeam(std::string aName, std::int64_t aTasks)
{
  TeamConfig team;
  team.mName = std::move(aName);
  team.mLimit.mMilliCores = aTasks * kTaskCores;
  return team;
}

JobSpec MakeTeamJob(std::string aId, std::string aTeam, std::uint32_t aTasks, bool aLasting = false)
{
  JobSpec job = MakeFleetJob(std::move(aId), aTasks, aLasting);
  job.mTeam = std::move(aTeam);
  return job;
}

std::size_t CountRunning(FleetModel& aModel, const std::string& aJob)
{
  std::size_t n = 0;
  for (const auto& [id, worker] : aModel.GetScheduler().GetWorkers())
    for (const Run& it : worker.mRuns)
      n += it.mRef.mJob == aJob && it.mPhase == RunPhase::Running ? 1 : 0;
  return n;
}

// Three teams of which two want more than their limits, under faults for 25 s.
void CheckRandomTeams(std::uint32_t aSeed, const FleetFaults& aFaults)
{
  FleetModel model(aSeed, aFaults, 8);
  model.SetQueue(MakeFleetConfig().mQueues.front());
  model.SetTeam(MakeTeam("small", 2));
  TeamConfig bound = MakeTeam("bound", 8);
  bound.mLimit.mMemoryMiB = 6 * kTaskMemory;
  model.SetTeam(bound);
  model.SetTeam(MakeTeam("free", 0));
  const char* const teams[] = { "small", "bound", "free" };
  std::mt19937_64 random(aSeed);
  std::vector<std::string> ids;
  for (std::size_t n = 0; n < 50; ++n) {
    ids.push_back("j" + std::to_string(n));
    const std::uint32_t tasks = 1 + random() % 6;
    JobSpec job = MakeTeamJob(ids.back(), teams[n % 3], n % 3 == 0 ? 1 + tasks / 3 : tasks);
    job.mStages[0].mGang = n % 3 == 1 && random() % 4 == 0 && tasks <= 3;
    model.Submit(job);
    if (random() % 12 == 0)
      model.Cancel(ids.back());
    model.RunFor(milliseconds(500));
  }
  CheckAllEnd(model, ids);
}

}  // namespace

TEST_CASE("fleet: a team is given no more than its limit, and the others go on")
{
  FleetModel model(1, {}, 8);
  model.SetQueue(MakeFleetConfig().mQueues.front());
  model.SetTeam(MakeTeam("small", 3));
  model.SetTeam(MakeTeam("free", 0));
  model.Submit(MakeTeamJob("a", "small", 20, true));
  model.RunFor(seconds(2));
  model.Submit(MakeTeamJob("b", "free", 10, true));
  model.RunFor(seconds(2));
  CHECK(CountRunning(model, "a") >= 3);
  CHECK(CountRunning(model, "a") <= 4);
  CHECK(CountRunning(model, "b") == 10);
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
}

TEST_CASE("fleet: tasks of no team are limited")
{
  FleetModel model(1, {}, 8);
  model.SetQueue(MakeFleetConfig().mQueues.front());
  model.SetTeam(MakeTeam("small", 1));
  model.Submit(MakeFleetJob("a", 20, true));
  model.RunFor(seconds(2));
  CHECK(CountRunning(model, "a") == 20);
}

TEST_CASE("fleet: a limit that shrinks stops starts, and one that rises is used")
{
  FleetModel model(1, {}, 8);
  model.SetQueue(MakeFleetConfig().mQueues.front());
  model.SetTeam(MakeTeam("t", 10));
  for (int n = 0; n < 60; ++n)
    model.Submit(MakeTeamJob("j" + std::to_string(n), "t", 1));
  model.RunFor(seconds(2));
  model.SetTeam(MakeTeam("t", 2));
  model.RunFor(seconds(5));
  std::size_t running = 0;
  for (int n = 0; n < 60; ++n)
    running += CountRunning(model, "j" + std::to_string(n));
  CHECK(running <= 3);
  model.SetTeam(MakeTeam("t", 12));
  model.RunFor(seconds(12));
  CHECK(model.GetScheduler().CountPending("q") == 0);
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
}

TEST_CASE("fleet: a new holder starts tasks of a team at its limit")
{
  const auto seed = GENERATE(range(1U, 11U));
  const bool isPlanned = GENERATE(true, false);
  INFO("seed " << seed);
  FleetModel model(seed,
                   { .mJobLag = milliseconds(800),
                     .mPlannedTakeover = isPlanned ? 1.0 : 0.0,
                     .mPreviousHolder = seconds(isPlanned ? 0 : 4) },
                   8);
  model.SetQueue(MakeFleetConfig().mQueues.front());
  model.SetTeam(MakeTeam("t", 6));
  model.Submit(MakeTeamJob("a", "t", 6, true));
  model.RunFor(seconds(1));
  for (int n = 0; n < 3; ++n) {
    model.Submit(MakeTeamJob("b" + std::to_string(n), "t", 6));
    model.TakeOver();
    model.RunFor(milliseconds(400));
    model.Submit(MakeTeamJob("c" + std::to_string(n), "t", 6));
    model.RunFor(seconds(6));
  }
  CHECK(CountRunning(model, "a") == 6);
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
  model.Cancel("a");
  CheckAllEnd(model, { "b0", "b1", "b2", "c0", "c1", "c2" });
}

TEST_CASE("fleet: starts on workers that a new holder doesn't reach are left out of a team's use")
{
  const auto seed = GENERATE(range(1U, 31U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mTakeoverPerS = 0.15;
  faults.mPreviousHolder = seconds(5);
  faults.mPreviousCut = seed % 2 == 0 ? 0.5 : 0;
  faults.mPartitioned = 0.4;
  faults.mUnresponsivePerS = 0.05;
  faults.mLostReport = 0.02;
  faults.mLostAnswer = 0.05;
  CheckRandomTeams(seed, faults);
}

TEST_CASE("fleet: a start that takes effect late brings a team over its limit")
{
  const auto seed = GENERATE(range(1U, 31U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mDelayed = 0.15;
  faults.mSlowCall = 0.2;
  faults.mNoConnection = 0.05;
  faults.mTakeoverPerS = seed % 2 == 0 ? 0.1 : 0;
  faults.mPreviousHolder = seconds(3);
  CheckRandomTeams(seed, faults);
}

TEST_CASE("fleet: teams are over their limits while these change")
{
  const auto seed = GENERATE(range(1U, 31U));
  INFO("seed " << seed);
  FleetFaults faults;
  faults.mLimitChangePerS = 0.4;
  faults.mLostAnswer = 0.03;
  faults.mRestartPerS = 0.04;
  faults.mTakeoverPerS = seed % 2 == 0 ? 0.15 : 0;
  faults.mPreviousHolder = seconds(4);
  faults.mPartitioned = seed % 4 == 0 ? 0.3 : 0;
  CheckRandomTeams(seed, faults);
}

namespace {

constexpr TimePoint kStart{ seconds(2000) };

// A holder of a second epoch, which knows aWorkers workers and one team with room for four tasks.
Scheduler MakeLimitedScheduler(std::size_t aWorkers)
{
  Scheduler scheduler({ .mEpoch = 2 });
  FleetConfig config = MakeFleetConfig();
  config.mVersion = 1;
  config.mTeams.push_back(MakeTeam("t", 4));
  scheduler.SetQueues(config);
  for (std::size_t n = 0; n < aWorkers; ++n)
    scheduler.ListWorker(MakeWorkerEntry("w" + std::to_string(n)), true, kStart);
  return scheduler;
}

}  // namespace

TEST_CASE("fleet: tasks of jobs that a new holder has not read are left out of a team's use")
{
  Scheduler scheduler = MakeLimitedScheduler(8);
  for (std::size_t n = 0; n < 8; ++n) {
    WorkerReport report;
    if (n < 4)
      report.mRunning.push_back({ .mTask = "x.0.0." + std::to_string(n), .mRun = 7 });
    scheduler.OnReport("w" + std::to_string(n), report, kStart, kStart);
  }
  scheduler.AddJob(MakeTeamJob("a", "t", 4), {}, false, kStart);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.empty());
  // The unread job turns out to be of another team.
  const TimePoint later = kStart + milliseconds(500);
  scheduler.AddJob(MakeTeamJob("x", "other", 4), {}, true, later);
  CHECK(scheduler.Plan(later, 0, true, 0).mStarts.size() == 4);
}

TEST_CASE("fleet: tasks of a cancelled job that may still run are left out of a team's use")
{
  Scheduler scheduler = MakeLimitedScheduler(8);
  scheduler.AddJob(MakeTeamJob("x", "t", 4), {}, true, kStart);
  scheduler.CancelJob("x", kStart);
  for (std::size_t n = 4; n < 8; ++n)  // the others may run x
    scheduler.OnReport("w" + std::to_string(n), {}, kStart, kStart);
  scheduler.AddJob(MakeTeamJob("a", "t", 4), {}, false, kStart);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.empty());
  for (std::size_t n = 0; n < 4; ++n)
    scheduler.OnReport("w" + std::to_string(n), {}, kStart, kStart);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.size() == 4);
}

TEST_CASE("fleet: a task that is larger than the rest of its team's limit never starts")
{
  // Of tasks of 3 cores each: the limit, and how many run at once.
  const auto [limit, expected] = GENERATE(
    table<std::int64_t, std::size_t>({ { 1000, 1 }, { 5000, 1 }, { 6000, 2 }, { 7000, 2 } }));
  Scheduler scheduler({ .mEpoch = 1 });
  FleetConfig config = MakeFleetConfig();
  config.mVersion = 1;
  config.mTeams.push_back(MakeTeam("t", 0));
  config.mTeams[0].mLimit.mMilliCores = limit;
  scheduler.SetQueues(config);
  for (std::size_t n = 0; n < 8; ++n) {
    scheduler.ListWorker(MakeWorkerEntry("w" + std::to_string(n)), true, kStart);
    scheduler.OnReport("w" + std::to_string(n), {}, kStart, kStart);
  }
  scheduler.AddJob(MakeTeamJob("a", "t", 4), {}, false, kStart);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.size() == expected);
}

TEST_CASE("fleet: a holder that has read no configuration starts tasks of teams")
{
  Scheduler scheduler({ .mEpoch = 1 });
  scheduler.ListWorker(MakeWorkerEntry("w0"), true, kStart);
  scheduler.OnReport("w0", {}, kStart, kStart);
  JobSpec job = MakeTeamJob("a", "t", 1);
  job.mTerms = MakeFleetConfig().mQueues.front();
  scheduler.AddJob(job, {}, false, kStart);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.empty());
  FleetConfig config = MakeFleetConfig();
  config.mVersion = 1;
  config.mTeams.push_back(MakeTeam("t", 4));
  scheduler.SetQueues(config);
  CHECK(scheduler.Plan(kStart, 0, true, 0).mStarts.size() == 1);
}
