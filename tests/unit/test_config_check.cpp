// Checks of a desired state before it is sent.
#include <catch2/catch.hpp>

#include "fleet/config_check.h"
#include "platform/config_errors.h"
#include "platform/wire.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

FleetConfig MakeConfig()
{
  const auto config = platform::ParseConfig(
    R"({"version":7,"services":[{"name":"pool"}],"limits":{"idle_timeout_ms":15000},
      "routes":[{"name":"a","host":"h.example","prefix":"/a/","service":"pool","timeout_ms":3000,
                 "advice":{"decide_ms":25,"each_ms":0.4,"valid_ms":2500}},
                {"name":"b","host":"h.example","prefix":"/b/","service":"pool","anonymous":true}],
      "tenants":[{"name":"red","api_keys":["r1","r2"],"weight":2,"max_count":{"cpu":8000}},
                 {"name":"blue","api_keys":["b1"]}]})");
  REQUIRE(config.has_value());
  return *config;
}

std::vector<std::string> ListErrors(const FleetConfig& aConfig)
{
  std::vector<std::string> errors;
  for (const ConfigFinding& it : CheckConfig(aConfig))
    if (it.mIsError)
      errors.push_back(it.mText);
  return errors;
}

using Lines = std::vector<std::string>;

}  // namespace

TEST_CASE("config check: a sound configuration has no findings")
{
  CHECK(CheckConfig(MakeConfig()).empty());
  CHECK(ListChanges(MakeConfig(), MakeConfig()).empty());
}

TEST_CASE("config check: queues that never match or whose jobs can't run are reported")
{
  FleetConfig config = MakeConfig();
  QueueConfig& queue = config.mQueues[1];
  SECTION("same host and prefix")
  {
    queue.mPrefix = "/a/";
    CHECK_THAT(ListErrors(config),
               Catch::Equals(Lines{
                 "queue \"b\": never matches, as queue \"a\" has the same host and prefix" }));
  }
  SECTION("a longer prefix is no shadow")
  {
    queue.mPrefix = "/a/b/";
    CHECK(ListErrors(config).empty());
  }
  SECTION("host with a port, prefix without a slash")
  {
    queue.mHost = "h.example:80";
    queue.mPrefix = "b/";
    CHECK(ListErrors(config).size() == 2);
  }
  SECTION("unlisted service")
  {
    queue.mService = "other";
    CHECK_THAT(ListErrors(config),
               Catch::Equals(Lines{ "queue \"b\": its service \"other\" is not listed" }));
  }
  SECTION("one name twice")
  {
    queue.mName = "a";
    CHECK_THAT(ListErrors(config), Catch::Equals(Lines{ "queue \"a\": the name occurs twice" }));
  }
}

TEST_CASE("config check: limits that contradict each other are reported")
{
  FleetConfig config = MakeConfig();
  SECTION("tickets end before they arrive")
  {
    config.mQueues[0].mAdviceValid = milliseconds(20);
  }
  SECTION("timeout above the limit of a connection")
  {
    config.mQueues[0].mCallTimeout = seconds(16);
  }
  SECTION("no attempt")
  {
    config.mQueues[0].mMaxAttempts = 0;
  }
  SECTION("no weight")
  {
    config.mTeams[1].mWeight = 0;
  }
  SECTION("a team without keys")
  {
    config.mTeams[1].mKeys.clear();
  }
  SECTION("keys are needed and nobody has one")
  {
    config.mTeams.clear();
  }
  CHECK(ListErrors(config).size() == 1);
}

TEST_CASE("config check: a key of two teams is reported and not shown")
{
  FleetConfig config = MakeConfig();
  config.mTeams[1].mKeys.push_back("r2");
  CHECK_THAT(ListErrors(config),
             Catch::Equals(Lines{ "team \"blue\": holds a key of team \"red\" as well" }));
}

TEST_CASE("config check: differences from the version in force")
{
  const FleetConfig before = MakeConfig();
  FleetConfig after = before;
  CHECK_FALSE(IsNewer(after, before));
  after.mVersion = 8;
  CHECK(IsNewer(after, before));
  after.mQueues[0].mPriority = 2;
  after.mQueues[0].mSlack = milliseconds(300);
  after.mQueues[1].mName = "c";
  after.mServices.emplace_back("other");
  after.mTeams[0].mKeys = { "r2", "r3", "r4" };
  after.mTeams[0].mLimit.mMilliCores = 0;
  after.mTeams.pop_back();
  CHECK_THAT(ListChanges(before, after),
             Catch::Equals(Lines{
               "queue \"a\": priority 0 to 2, slack 0 ms to 300 ms",
               "queue \"c\": added",
               "queue \"b\": removed",
               "service \"other\": added",
               "team \"red\": limit of milli-cores 8000 to none, keys: 2 added, 1 revoked, 1 kept",
               "team \"blue\": removed",
             }));
}

TEST_CASE("config check: all errors of form are listed at once")
{
  CHECK(platform::ListConfigErrors(R"({"version":1,"routes":[],"services":[]})").empty());
  CHECK(platform::ListConfigErrors("{").size() == 1);
  CHECK_THAT(platform::ListConfigErrors(
               R"({"version":0,"routes":[{"name":"a","host":"h","prefix":"/a/","service":4,
                   "max_attempts":0,"priority":1.5,"anonymous":1},7],
                   "services":{},"tenants":[{"name":"t","weight":"2","max_count":{"cpu":-1}}]})"),
             Catch::Equals(Lines{
               "version: expected a whole number from 1 on",
               "routes[0].service: expected a text that isn't empty",
               "routes[0].priority: expected a whole number",
               "routes[0].max_attempts: expected at least 1",
               "routes[0].anonymous: expected true or false",
               "routes[1]: expected an object",
               "services: expected a list",
               "tenants[0].api_keys: expected a list",
               "tenants[0].weight: expected a number",
               "tenants[0].max_count.cpu: expected a number from 0 on",
             }));
}
