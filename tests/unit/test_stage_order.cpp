// Replays loads under which stages wait for capacity, in virtual time and without a network.
#include <catch2/catch.hpp>

#include <deque>
#include <functional>

#include "fleet/scheduler.h"
#include "policy/stage_order.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(1000) };
constexpr Duration kStep = milliseconds(50);
constexpr Duration kEstimate = seconds(1);  // of the run time of each task
constexpr Duration kTarget = milliseconds(2500);

struct ReplayJob  // one stage of equal tasks
{
  std::uint32_t mTeam = 0;
  TimePoint mAt{};  // when it is accepted
  std::size_t mTasks = 0;
  std::size_t mWaiting = 0;
  std::size_t mDone = 0;
  TimePoint mEndedAt = TimePoint::max();
  bool mHasTurn = false;
};

// Runs the jobs on a pool that has room for aSlots tasks, for aTime.
void Replay(std::vector<ReplayJob>& aJobs,
            std::size_t aSlots,
            std::size_t aTeams,
            Duration aTime,
            Duration aRunTime = kEstimate)
{
  std::deque<std::pair<TimePoint, ReplayJob*>> running;
  const CapacityShare slot{ .mCores = 1.0 / static_cast<double>(aSlots) };
  TimePoint nextTurnAt{};
  std::size_t turns = 0;
  for (TimePoint now = kStart; now < kStart + aTime; now += kStep) {
    for (; !running.empty() && running.front().first <= now; running.pop_front())
      if (ReplayJob& job = *running.front().second; ++job.mDone == job.mTasks)
        job.mEndedAt = now;
    std::vector<StageDemand> demands;
    std::vector<ReplayJob*> waiting;
    std::vector<TeamUse> teams(aTeams);
    for (ReplayJob& it : aJobs) {
      const CapacityShare runs = slot * static_cast<double>(it.mTasks - it.mDone - it.mWaiting);
      if (aTeams > 0)
        teams[it.mTeam].mRuns += runs;
      if (it.mAt > now || it.mWaiting == 0)
        continue;
      waiting.push_back(&it);
      const Prospect prospect = JudgeProspect(it.mAt + kTarget, kTarget, kEstimate, now);
      demands.push_back({ .mHasTurn = it.mHasTurn,
                          .mTeam = aTeams > 0 ? it.mTeam : kNoTeam,
                          .mProspect = prospect,
                          .mDueAt = it.mAt + kTarget,
                          .mWaited = now - it.mAt,
                          .mChain = kEstimate,
                          .mUseUntil = GetUseUntil(it.mAt + kTarget, kTarget),
                          .mRemaining = (slot * static_cast<double>(it.mTasks - it.mDone)).mCores,
                          .mRuns = runs,
                          .mNeeds = slot * static_cast<double>(it.mWaiting) });
    }
    if (const std::size_t n =
          ChooseTurn(demands, turns % 8 == 0 ? Prospect::Hopeless : Prospect::Late);
        n < demands.size() && now >= nextTurnAt) {
      demands[n].mHasTurn = true;
      waiting[n]->mHasTurn = true;
      ++turns;
      nextTurnAt = now + GetTurnInterval(demands[n]);
    }
    for (const std::size_t n : OrderStages(demands, teams, now))
      for (; waiting[n]->mWaiting > 0 && running.size() < aSlots; --waiting[n]->mWaiting)
        running.emplace_back(now + aRunTime, waiting[n]);
  }
}

void AddJobs(std::vector<ReplayJob>& aJobs, std::uint32_t aTeam, double aPerS, Duration aFor)
{
  const auto every = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / aPerS));
  for (Duration at = every / 20 * (aTeam + 1); at < aFor; at += every)
    aJobs.push_back({ .mTeam = aTeam, .mAt = kStart + at, .mTasks = 4, .mWaiting = 4 });
}

double CountShare(const std::vector<ReplayJob>& aJobs, Duration aWithin)
{
  const auto n = std::count_if(aJobs.begin(), aJobs.end(), [&](const ReplayJob& aItem) {
    return aItem.mEndedAt <= aItem.mAt + aWithin;
  });
  return static_cast<double>(n) / static_cast<double>(aJobs.size());
}

// Returns the mean time from acceptance to end of the jobs of all teams but the first.
double MeasureOthers(double aFactorOfFirst)
{
  std::vector<ReplayJob> jobs;
  for (std::uint32_t team = 0; team < 20; ++team)
    AddJobs(jobs, team, 0.9 * (team == 0 ? aFactorOfFirst : 1), seconds(20));
  Replay(jobs, 80, 20, seconds(120));
  double sum = 0;
  std::size_t n = 0;
  for (const ReplayJob& it : jobs)
    if (it.mTeam != 0) {
      sum += std::chrono::duration<double>(it.mEndedAt - it.mAt).count();
      ++n;
    }
  return sum / static_cast<double>(n);
}

}  // namespace

TEST_CASE("stage order: at 1.8 times the capacity, what the pool can do is done in time")
{
  std::vector<ReplayJob> jobs;
  AddJobs(jobs, 0, 18, seconds(20));
  Replay(jobs, 40, 0, seconds(120));
  CHECK(CountShare(jobs, kTarget) > 0.8 / 1.8);
  CHECK(CountShare(jobs, seconds(100)) == 1);
}

TEST_CASE("stage order: so it is if tasks run a fifth longer than their callers estimate")
{
  std::vector<ReplayJob> jobs;
  AddJobs(jobs, 0, 18, seconds(20));
  Replay(jobs, 40, 0, seconds(120), kEstimate * 6 / 5);
  CHECK(CountShare(jobs, kTarget) > 0.7 / 1.8 / 1.2);
}

TEST_CASE("stage order: a hot team at 7.5 times its usual delays other teams by under a tenth")
{
  CHECK(MeasureOthers(7.5) < 1.1 * MeasureOthers(1));
}

TEST_CASE("stage order: hopeless jobs get a turn while the overload lasts")
{
  std::vector<ReplayJob> jobs{ { .mAt = kStart - seconds(60), .mTasks = 4, .mWaiting = 4 },
                               { .mAt = kStart - seconds(50), .mTasks = 4, .mWaiting = 4 } };
  for (int n = 0; n < 10; ++n)
    jobs.push_back({ .mAt = kStart, .mTasks = 4, .mWaiting = 4 });
  AddJobs(jobs, 0, 25, seconds(30));
  Replay(jobs, 40, 0, seconds(30));
  CHECK(jobs[0].mEndedAt < kStart + seconds(10));
  CHECK(jobs[1].mEndedAt < kStart + seconds(15));
}

TEST_CASE("stage order: restarts, the queue's priority, the team's share and the prospect")
{
  const CapacityShare half{ .mCores = 0.5 };
  const std::vector<TeamUse> teams{ { .mWeight = 3, .mRuns = half },
                                    { .mWeight = 1, .mRuns = half } };
  std::vector<StageDemand> stages(6);
  stages[0] = { .mProspect = Prospect::Hopeless };
  stages[1] = { .mPriority = 2, .mTeam = 1 };
  stages[2] = { .mPriority = 2, .mTeam = 0, .mProspect = Prospect::Late };
  stages[3] = { .mPriority = 2, .mTeam = 0 };
  stages[4] = { .mPriority = 1, .mTeam = 1, .mProspect = Prospect::Late };
  stages[5] = { .mIsRestart = true, .mPriority = 3 };
  CHECK(OrderStages(stages, teams, kStart) == std::vector<std::size_t>{ 5, 4, 3, 2, 1, 0 });
  stages[1].mRuns = half;  // it is all that its team runs
  CHECK(OrderStages(stages, teams, kStart) == std::vector<std::size_t>{ 5, 4, 1, 3, 2, 0 });
  stages[0].mHasTurn = true;
  CHECK(OrderStages(stages, teams, kStart) == std::vector<std::size_t>{ 5, 0, 4, 1, 3, 2 });
}

namespace {

QueueConfig MakeQueue()
{
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mStretch = 2;
  queue.mSlack = seconds(1);
  return queue;
}

JobSpec MakeJob(std::string aId, std::string aTeam, std::uint32_t aTasks = 1)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mTeam = std::move(aTeam);
  job.mQueue = "q";
  job.mService = "pool";
  job.mTerms = MakeQueue();
  job.mStages.push_back({ .mCount = aTasks, .mMilliCores = 1000, .mEstimateMs = 1000 });
  return job;
}

// Returns a scheduler with one worker that has room for four tasks.
Scheduler MakeScheduler(std::vector<TeamConfig> aTeams)
{
  Scheduler scheduler({ .mEpoch = 1 });
  FleetConfig config{ .mVersion = 1, .mQueues = { MakeQueue() }, .mTeams = std::move(aTeams) };
  scheduler.SetQueues(config);
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "w0:80";
  entry.mService = "pool";
  entry.mMilliCores = 4000;
  entry.mMemoryMiB = 1000;
  scheduler.ListWorker(entry, true, kStart);
  scheduler.OnReport("w0", {}, kStart, kStart);
  return scheduler;
}

std::vector<std::string> ListStarted(Scheduler& aScheduler)
{
  std::vector<std::string> jobs;
  for (const StartOrder& it : aScheduler.Plan(kStart, 0, true, 0).mStarts)
    jobs.push_back(it.mTask.substr(0, it.mTask.find('.')));
  return jobs;
}

}  // namespace

TEST_CASE("fleet: a job that can't be in time any more yields to jobs that can")
{
  Scheduler scheduler = MakeScheduler({});
  scheduler.AddJob(MakeJob("hopeless", ""), {}, false, kStart, seconds(30));
  scheduler.AddJob(MakeJob("late", ""), {}, false, kStart, seconds(4));
  scheduler.AddJob(MakeJob("old", ""), {}, false, kStart, seconds(1));
  scheduler.AddJob(MakeJob("new", "", 2), {}, false, kStart);
  CHECK(ListStarted(scheduler) == std::vector<std::string>{ "hopeless", "old", "new", "new" });
  const SchedulerBacklog backlog = scheduler.GetBacklog();
  CHECK(backlog.mWaitingInTime == 2);
  CHECK(backlog.mWaitingLate == 1);
  CHECK(backlog.mWaitingHopeless == 1);
}

TEST_CASE("fleet: a team's surplus waits for teams within their shares, if teams are configured")
{
  const bool isOn = GENERATE(true, false);
  std::vector<TeamConfig> teams{ { .mName = "hot", .mWeight = 1 },
                                 { .mName = "cool", .mWeight = 3 } };
  Scheduler scheduler = MakeScheduler(isOn ? teams : std::vector<TeamConfig>());
  scheduler.AddJob(MakeJob("a", "hot", 2), {}, false, kStart, milliseconds(300));
  scheduler.AddJob(MakeJob("b", "hot", 2), {}, false, kStart, milliseconds(200));
  scheduler.AddJob(MakeJob("c", "cool", 2), {}, false, kStart, milliseconds(100));
  CHECK(ListStarted(scheduler) ==
        std::vector<std::string>{ "a", "a", isOn ? "c" : "b", isOn ? "c" : "b" });
}
