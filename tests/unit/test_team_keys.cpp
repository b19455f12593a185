// Keys of teams: who may submit, see and cancel jobs.
#include <catch2/catch.hpp>

#include "fleet/peer_messages.h"
#include "fleet/team_keys.h"
#include "platform/wire.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr std::string_view kConfig = R"({"version":3,
  "routes":[{"name":"open","anonymous":true},{"name":"closed","anonymous":false}],
  "tenants":[{"name":"red","api_keys":["r1","r2"],"weight":3,"max_count":{"cpu":4000,"mem_mb":0}},
             {"name":"blue","api_keys":["b1"]}]})";

struct Keys
{
  FleetConfig mConfig = platform::ParseConfig(kConfig).value();
  TeamKeys mTeams{};
  Keys() { mTeams.Set(mConfig); }
  CallerAccess Get(std::size_t aQueue, std::string_view aHeader) const
  {
    return GetAccess(mConfig, mTeams, mConfig.mQueues[aQueue], aHeader);
  }
};

}  // namespace

TEST_CASE("fleet: a configuration's teams have keys, shares and limits")
{
  const FleetConfig config = platform::ParseConfig(kConfig).value();
  REQUIRE(config.mTeams.size() == 2);
  CHECK(config.mNeedsKeys);
  CHECK(config.mTeams[0].mWeight == 3);
  CHECK(config.mTeams[0].mLimit.mMilliCores == 4000);
  CHECK(config.mTeams[0].mLimit.mMemoryMiB == 0);
  CHECK_FALSE(platform::ParseConfig(R"({"version":1})").value().mNeedsKeys);
}

TEST_CASE("fleet: callers need a key of a team, except for anonymous queues")
{
  const Keys keys;
  CHECK(keys.Get(1, "Bearer r2").mTeam == "red");
  CHECK(keys.Get(1, "bearer  b1 ").mTeam == "blue");
  for (const char* header : { "", "Bearer ", "Bearer x", "r1", "Basic r1", "Bearer r" })
    CHECK_FALSE(keys.Get(1, header).mIsKnown);
  CHECK(keys.Get(0, "").mIsKnown);
  CHECK(keys.Get(0, "Bearer r1").mTeam == "red");
  CHECK(GetAccess({}, {}, {}, "").mIsKnown);  // no teams are configured
}

TEST_CASE("fleet: a key that was taken away is unknown with the next configuration")
{
  Keys keys;
  keys.mConfig.mTeams[0].mKeys = { "r2" };
  keys.mTeams.Set(keys.mConfig);
  CHECK_FALSE(keys.Get(1, "Bearer r1").mIsKnown);
  CHECK(keys.Get(1, "Bearer r2").mTeam == "red");
  keys.mConfig.mTeams.clear();  // keys are still needed
  keys.mTeams.Set(keys.mConfig);
  CHECK_FALSE(keys.Get(1, "Bearer r2").mIsKnown);
}

TEST_CASE("fleet: callers see the jobs of their own team")
{
  const Keys keys;
  const CallerAccess red = keys.Get(1, "Bearer r1");
  CHECK(MayAccess(red, "red", "closed"));
  CHECK_FALSE(MayAccess(red, "blue", "closed"));
  CHECK(MayAccess(red, "", "closed"));  // of an earlier release
  const CallerAccess anonymous = keys.Get(0, "");
  CHECK(MayAccess(anonymous, "red", "open"));
  CHECK_FALSE(MayAccess(anonymous, "red", "closed"));
  CHECK(MayAccess(CallerAccess{}, "red", "closed"));  // no teams are configured
}

TEST_CASE("fleet: a submission does not pass for that of another team's job of the same id")
{
  const auto makeJob = [](std::string aTeam, std::string aQueue) {
    JobSpec job;
    job.mTeam = std::move(aTeam);
    job.mQueue = std::move(aQueue);
    return job;
  };
  const JobSpec stored = makeJob("red", "closed");
  CHECK_FALSE(IsOfAnotherTeam(stored, makeJob("red", "closed")));
  CHECK(IsOfAnotherTeam(stored, makeJob("blue", "closed")));
  CHECK(IsOfAnotherTeam(stored, makeJob("", "open")));
  CHECK_FALSE(IsOfAnotherTeam(makeJob("red", "open"), makeJob("", "open")));
  CHECK_FALSE(IsOfAnotherTeam(makeJob("", "closed"), makeJob("blue", "closed")));
}

namespace {

struct EarlierJobSpec : JobSpec  // reads and writes what the release before did
{
  void SerializeLater(auto&) const = delete;
};

}  // namespace

TEST_CASE("fleet: stored jobs are read by the release before, and its jobs have no team")
{
  JobSpec job;
  job.mId = "j";
  job.mTeam = "red";
  job.mTerms = QueueTerms{ .mPriority = 2 };
  job.mStages.resize(2);
  job.mStages[1].mImage = "resize";
  const std::string bytes = EncodeMessage(job);
  const auto read = DecodeMessage<JobSpec>(bytes);
  REQUIRE(read.has_value());
  CHECK(read->mTeam == "red");
  CHECK(read->mStages[1].mImage == "resize");
  const auto earlier = DecodeMessage<EarlierJobSpec>(bytes);
  REQUIRE(earlier.has_value());
  CHECK(earlier->mTerms->mPriority == 2);
  const auto upgraded = DecodeMessage<JobSpec>(EncodeMessage(*earlier));
  REQUIRE(upgraded.has_value());
  CHECK(upgraded->mTeam.empty());
  CHECK(upgraded->mTerms->mPriority == 2);
}

TEST_CASE("fleet: messages between processes are read by the release before")
{
  const CancelRequest cancel{ "j", { true, false, "red", "open" } };
  CHECK(DecodeMessage<std::string>(EncodeMessage(cancel)).value() == "j");
  CHECK(DecodeMessage<CancelRequest>(EncodeMessage(std::string("j"))).value().mAccess.mSeesAllJobs);
  const auto read = DecodeMessage<CancelRequest>(EncodeMessage(cancel));
  REQUIRE(read.has_value());
  CHECK(read->mAccess.mTeam == "red");
  CHECK_FALSE(read->mAccess.mSeesAllJobs);
}
