// Refusal of jobs that can't be done in time, and the load summary that it is decided by.
#include <catch2/catch.hpp>

#include <deque>

#include "fleet/peer_messages.h"
#include "fleet_jobs.h"
#include "policy/refusal.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr CapacityLimit kLimit{ 10'000, 0, 0 };  // of the team under test: 10 cores

JobDemand MakeTeamJob(Duration aTarget = seconds(2))
{
  JobDemand job;
  job.mPool = "pool";
  job.mTeam = "team-a";
  job.mTarget = aTarget;
  job.mLargestTask = { 1000, 100, 0 };
  job.mLargestTogether = job.mLargestTask;
  return job;
}

// aWork: of jobs that are due within 1 s, in milli-cores x seconds.
LoadSummary MakeLoad(std::uint64_t aWork, std::uint32_t aPriority = 0)
{
  LoadSummary load;
  load.mPools.push_back({ "pool", 1'000'000, { 16'000, 32'000, 0 } });
  load.mBacklogs.push_back({ "pool", "team-a", aPriority, { 0, aWork } });
  return load;
}

RefusalReason Judge(const JobDemand& aJob, const LoadSummary& aLoad, Duration aAge = {})
{
  return DecideRefusal(aJob, kLimit, aLoad, aAge, 0.5).mReason;
}

JobSpec MakeTeamSpec(std::string aId)
{
  JobSpec job = MakeFleetJob(std::move(aId), 4);
  job.mTeam = "team-a";
  job.mTerms = MakeFleetConfig().mQueues.front();
  return job;
}

}  // namespace

// Jobs of 4 core-seconds, with a target of 2 s, are sent at aPerSecond for 20 s to a team that has
// 10 cores. Returns how many were refused; checks that none of them could have been of use.
std::size_t ReplayTeam(std::size_t aPerSecond)
{
  constexpr std::uint64_t kJobWork = 4000;
  std::size_t refused = 0;
  std::deque<std::int64_t> dueMs;  // of waiting jobs, the earliest in front
  double served = 0;
  const std::int64_t stepMs = 1000 / static_cast<std::int64_t>(aPerSecond);
  for (std::int64_t ms = 0; ms < 20'000; ms += stepMs) {
    for (served += 10.0 * static_cast<double>(stepMs); served >= kJobWork && !dueMs.empty();
         served -= kJobWork)
      dueMs.pop_front();
    while (!dueMs.empty() && dueMs.front() <= ms)
      dueMs.pop_front();  // late jobs make way
    LoadSummary load = MakeLoad(0);
    for (const std::int64_t due : dueMs)
      for (std::size_t n = 0; n < kDueRangesMs.size(); ++n)
        if (due - ms <= kDueRangesMs[n]) {
          load.mBacklogs[0].mWork[n] += kJobWork;
          break;
        }
    if (Judge(MakeTeamJob(), load) == RefusalReason::None) {
      dueMs.push_back(ms + 2000);
      continue;
    }
    ++refused;
    CHECK(static_cast<double>(dueMs.size() * kJobWork) / 10'000 > 3 * 2);
  }
  return refused;
}

TEST_CASE("refusal: a team within its limit, or a little above it, is never refused")
{
  CHECK(ReplayTeam(2) == 0);  // of 2.5 jobs a second that its cores are enough for
  CHECK(ReplayTeam(5) == 0);
}

TEST_CASE("refusal: of many times what a team may have, only what is in vain is refused")
{
  const std::size_t refused = ReplayTeam(50);
  CHECK(refused > 100);
  CHECK(refused < 900);
}

TEST_CASE("refusal: only the team's own, more urgent or earlier work counts")
{
  const LoadSummary load = MakeLoad(1'000'000);
  CHECK(Judge(MakeTeamJob(), load) == RefusalReason::Backlog);
  JobDemand other = MakeTeamJob();
  other.mTeam = "team-b";
  CHECK(Judge(other, load) == RefusalReason::None);
  CHECK(Judge(MakeTeamJob(milliseconds(700)), load) == RefusalReason::None);
  CHECK(Judge(MakeTeamJob(), MakeLoad(1'000'000, 1)) == RefusalReason::None);
  other = MakeTeamJob();
  other.mPool = "other";
  CHECK(Judge(other, load) == RefusalReason::None);
}

TEST_CASE("refusal: without a fresh summary of the load, jobs are accepted")
{
  CHECK(Judge(MakeTeamJob(), MakeLoad(1'000'000), seconds(3)) == RefusalReason::None);
  CHECK(Judge(MakeTeamJob(), LoadSummary{}) == RefusalReason::None);
}

TEST_CASE("refusal: what no worker holds, or no limit allows, is refused")
{
  JobDemand job = MakeTeamJob();
  job.mLargestTask.mMemoryMiB = 40'000;
  CHECK(Judge(job, MakeLoad(0)) == RefusalReason::TooLarge);
  CHECK(Judge(job, MakeLoad(0), seconds(3)) == RefusalReason::None);
  job = MakeTeamJob();
  job.mLargestTogether.mMilliCores = 10'001;
  CHECK(Judge(job, MakeLoad(0), seconds(3)) == RefusalReason::OverLimit);
}

TEST_CASE("refusal: callers return when the excess is done, spread over as long again")
{
  // 300 core-seconds on 10 cores, halved: 15 s, of which 6 s are of use.
  const LoadSummary load = MakeLoad(300'000);
  CHECK(DecideRefusal(MakeTeamJob(), kLimit, load, {}, 0).mRetryAfter == 9);
  CHECK(DecideRefusal(MakeTeamJob(), kLimit, load, {}, 0.999).mRetryAfter == 18);
}

TEST_CASE("load: the summary holds a team's waiting work by due time, and what workers have")
{
  const TimePoint now{ seconds(100) };
  Scheduler scheduler{ SchedulerSettings{} };
  scheduler.ListWorker(MakeWorkerEntry("w1"), false, now);
  scheduler.ListWorker(MakeWorkerEntry("w2"), false, now);
  TeamConfig team;
  team.mName = "team-a";
  const std::vector<TeamConfig> teams{ team };
  scheduler.AddJob(MakeTeamSpec("1"), {}, false, now);
  scheduler.AddJob(MakeTeamSpec("2"), {}, false, now);
  JobSpec lasting = MakeFleetJob("3", 9, true);
  lasting.mTeam = "team-a";
  scheduler.AddJob(lasting, {}, false, now);
  scheduler.Plan(now, 1, true, 0);  // makes the occurrences; nothing may start yet
  const LoadSummary load = scheduler.SummarizeLoad(teams, now);
  REQUIRE(load.mPools.size() == 1);
  CHECK(load.mPools[0].mMilliCores == 8000);
  CHECK(load.mPools[0].mLargest.mMemoryMiB == 16'000);
  REQUIRE(load.mBacklogs.size() == 1);
  CHECK(load.mBacklogs[0].mTeam == "team-a");
  CHECK(load.mBacklogs[0].mWork[3] == 2 * 4 * 3000);  // due in 2 x 1 s + 1 s
  CHECK(scheduler.SummarizeLoad({}, now).mPools.empty());
  // Late jobs make way for others, so their work goes before none.
  CHECK(scheduler.SummarizeLoad(teams, now + seconds(4)).mBacklogs.empty());
}

TEST_CASE("load: a summary passes between releases")
{
  PollReply reply;
  reply.mLoad = MakeLoad(7);
  const std::string bytes = EncodeMessage(reply);
  const auto same = DecodeMessage<PollReply>(bytes);
  REQUIRE(same.has_value());
  REQUIRE(same->mLoad.mBacklogs.size() == 1);
  CHECK(same->mLoad.mBacklogs[0].mWork[1] == 7);
  std::ostringstream earlier;  // as the release before wrote it
  cereal::BinaryOutputArchive archive(earlier);
  archive(reply.mOrders, reply.mMembers, reply.mRequestsLeaseEnd);
  const auto old = DecodeMessage<PollReply>(earlier.str());
  REQUIRE(old.has_value());
  CHECK(old->mLoad.mPools.empty());
}
