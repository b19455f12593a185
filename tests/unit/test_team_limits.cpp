// Limits of teams on what their tasks have at one time, over all workers.
#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr std::size_t kWorkers = 20;  // each has room for one task of MakeFleetJob

FleetConfig MakeTeamConfig(std::int64_t aTasks)
{
  FleetConfig config = MakeFleetConfig();
  config.mVersion = 1;
  config.mNeedsKeys = true;
  config.mTeams = { { .mName = "red", .mLimit = { .mMilliCores = 3000 * aTasks } },
                    { .mName = "blue" } };
  return config;
}

JobSpec MakeTeamJob(std::string aId, std::uint32_t aTasks, std::string aTeam = "red")
{
  JobSpec job = MakeFleetJob(std::move(aId), aTasks);
  job.mTeam = std::move(aTeam);
  job.mTerms = MakeFleetConfig().mQueues.front();
  return job;
}

struct LimitedFleet
{
  Scheduler mScheduler;
  TimePoint mNow = kStart;

  explicit LimitedFleet(std::uint64_t aEpoch = 1)
    : mScheduler({ .mEpoch = aEpoch })
  {
    mScheduler.SetQueues(MakeTeamConfig(4));
  }
  void ListWorkers(bool aRecorded, bool aAnswer = true)
  {
    for (std::size_t n = 0; n < kWorkers; ++n) {
      const WorkerEntry entry = MakeWorkerEntry("w" + std::to_string(n));
      mScheduler.ListWorker(entry, aRecorded, mNow);
      if (aAnswer)
        Answer(entry.mId);
      mScheduler.FindWorker(entry.mId)->mRecorded = true;
    }
  }
  void Answer(const std::string& aWorker, WorkerReport aReport = {})
  {
    mNow += milliseconds(1);
    mScheduler.OnReport(aWorker, aReport, mNow, mNow);
  }
  std::vector<StartOrder> Plan()
  {
    mNow += milliseconds(50);
    return mScheduler.Plan(mNow, 0, true, 0).mStarts;
  }
  void End(const StartOrder& aStart, std::uint64_t aNumber = 1)
  {
    WorkerReport report;
    report.mEnded.push_back({ aNumber, aStart.mTask, aStart.mRun, EndKind::Done, {} });
    Answer(aStart.mWorker, std::move(report));
  }
};

}  // namespace

TEST_CASE("fleet: a team's tasks never have more than its limit, and other teams don't wait for it")
{
  LimitedFleet fleet;
  fleet.ListWorkers(false);
  fleet.mScheduler.AddJob(MakeTeamJob("r", 10), {}, false, fleet.mNow);
  fleet.mScheduler.AddJob(MakeTeamJob("b", 10, "blue"), {}, false, fleet.mNow + milliseconds(1));
  const std::vector<StartOrder> starts = fleet.Plan();
  REQUIRE(starts.size() == 14);
  CHECK(fleet.mScheduler.GetTeamUse("red").mMilliCores == 12'000);
  const std::vector<TeamAtLimit> held = fleet.mScheduler.TakeTeamsAtLimit();
  REQUIRE(held.size() == 1);
  CHECK(held[0].mTeam == "red");
  CHECK(held[0].mLimit.mMilliCores == 12'000);

  SECTION("a start without an answer counts until it is known to be gone")
  {
    fleet.mScheduler.OnStart(starts[0], StartOutcome::Unknown, fleet.mNow);
    CHECK(fleet.Plan().empty());
    fleet.mScheduler.OnStart(starts[1], StartOutcome::NotStarted, fleet.mNow);
    CHECK(fleet.Plan().size() == 1);
  }
  SECTION("an end makes room for one task")
  {
    fleet.mScheduler.OnStart(starts[0], StartOutcome::Started, fleet.mNow);
    fleet.End(starts[0]);
    CHECK(fleet.Plan().size() == 1);
  }
  SECTION("a lowered limit stops nothing, and starts nothing until enough has ended")
  {
    fleet.mScheduler.SetQueues(MakeTeamConfig(2));
    for (std::size_t n = 0; n < 3; ++n) {
      fleet.mScheduler.OnStart(starts[n], StartOutcome::Started, fleet.mNow);
      CHECK(fleet.Plan().empty());
      fleet.End(starts[n]);
    }
    CHECK(fleet.Plan().size() == 1);
  }
  SECTION("a raised limit holds from the next plan on")
  {
    fleet.mScheduler.SetQueues(MakeTeamConfig(6));
    CHECK(fleet.Plan().size() == 2);
  }
}

TEST_CASE("fleet: a gang that would take its team over the limit waits as a whole")
{
  LimitedFleet fleet;
  fleet.ListWorkers(false);
  JobSpec gang = MakeTeamJob("g", 3);
  gang.mStages[0].mGang = true;
  fleet.mScheduler.AddJob(MakeTeamJob("a", 2), {}, false, fleet.mNow);
  fleet.mScheduler.AddJob(gang, {}, false, fleet.mNow + milliseconds(1));
  const std::vector<StartOrder> starts = fleet.Plan();
  REQUIRE(starts.size() == 2);
  fleet.mScheduler.OnStart(starts[0], StartOutcome::Started, fleet.mNow);
  fleet.End(starts[0]);
  CHECK(fleet.Plan().size() == 3);
}

TEST_CASE("fleet: after a takeover, what may run on workers that have not answered counts")
{
  // The previous holder had a whole limit of tasks running. They are on workers that the new one
  // has not heard of yet, so a job that was accepted later has no room.
  LimitedFleet fleet(2);
  fleet.ListWorkers(true, false);
  fleet.mScheduler.AddJob(MakeTeamJob("old", 4), {}, true, fleet.mNow);
  fleet.mScheduler.AddJob(MakeTeamJob("new", 4), {}, false, fleet.mNow);
  for (std::size_t n = 4; n < kWorkers; ++n)
    fleet.Answer("w" + std::to_string(n));
  CHECK(fleet.Plan().empty());
  for (std::size_t n = 0; n < 3; ++n) {
    WorkerReport report;
    report.mRunning.push_back({ "old.0.0." + std::to_string(n), 1, {}, 10, 0 });
    fleet.Answer("w" + std::to_string(n), std::move(report));
    CHECK(fleet.Plan().empty());
  }
  fleet.Answer("w3");  // the fourth runs nowhere: it starts again, and the limit is reached
  CHECK(fleet.Plan().size() == 1);
  CHECK(fleet.mScheduler.GetTeamUse("red").mMilliCores == 12'000);
}
