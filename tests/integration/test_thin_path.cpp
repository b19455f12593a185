// The whole path in separate processes: caller, monsoonstage, platform, workers.
#include <catch2/catch.hpp>

#include "tests/integration/cell.h"

using namespace monsoon;
using namespace monsoon::testing;

TEST_CASE("a request gets its own whole answer through any process", "[path]")
{
  Cell cell({ .mProcesses = 2, .mWorkers = 2 });
  REQUIRE(cell.WaitUntilReady());
  for (std::uint32_t i = 0; i < 10; ++i) {
    const std::string body = "tray-" + std::to_string(i);
    const Answer answer =
      Post(cell.GetHttpPort(i % 2), "/v1/requests", body, { { "Request-Id", body } });
    REQUIRE(answer.mStatus == 200);
    CHECK(boost::json::parse(answer.mBody).at("echo").as_string() == body);
  }
  CHECK(cell.SumEvidence("requests_run") == 10);
  CHECK(cell.SumEvidence("overcommits") == 0);
}

TEST_CASE("a batch of 100 tasks ends with 100 run once each", "[path]")
{
  Cell cell({ .mProcesses = 2, .mWorkers = 2 });
  REQUIRE(cell.WaitUntilReady());
  const Answer submitted =
    Post(cell.GetHttpPort(0),
         "/v1/jobs",
         R"({"id":"curing-1","kind":"batch","tasks":100,"payload":"{\"run_ms\":20}"})");
  REQUIRE(submitted.mStatus < 300);
  REQUIRE(WaitFor([&] {
    const Answer answer = Get(cell.GetHttpPort(0), "/v1/jobs/curing-1");
    const boost::json::value job = boost::json::parse(answer.mBody);
    const auto* done = job.at("states").as_object().if_contains("succeeded");
    return done && done->to_number<int>() == 100;
  }));
  CHECK(cell.SumEvidence("tasks_started") == 100);
  CHECK(cell.SumEvidence("doubled") == 0);
  CHECK(cell.SumEvidence("overcommits") == 0);
}

TEST_CASE("requests are served over slow and lossy links between processes", "[path]")
{
  Cell cell({ .mProcesses = 3, .mZones = 3, .mWorkers = 3, .mProxied = true, .mSeed = 11 });
  REQUIRE(cell.WaitUntilReady());
  const LinkFaults zoneLink{ .mDelay = milliseconds(5),
                             .mJitter = milliseconds(2),
                             .mDropDatagrams = 0.05 };
  for (std::uint32_t i = 0; i < 3; ++i)
    for (std::uint32_t k = 0; k < 3; ++k)
      if (i != k)
        cell.SetPeerFaults(i, k, zoneLink);
  for (std::uint32_t i = 0; i < 30; ++i) {
    const std::string body = "tray-" + std::to_string(i);
    const Answer answer =
      Post(cell.GetHttpPort(i % 3), "/v1/requests", body, { { "Request-Id", body } });
    REQUIRE(answer.mStatus == 200);
    CHECK(boost::json::parse(answer.mBody).at("echo").as_string() == body);
  }
  CHECK(cell.SumEvidence("requests_run") == 30);
  CHECK(cell.SumEvidence("overcommits") == 0);
}
