// Tests entry processes as separate programs for callers of teams: which keys are served, also by a
// process that is cut off from the store, and which jobs a key shows.
#include <catch2/catch.hpp>

#include <csignal>

#include "tests/integration/entry_jobs.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

constexpr Duration kConfigTime = seconds(3);  // until a configuration is in effect

struct TeamCall
{
  std::size_t mProcess = 0;
  http::verb mVerb = http::verb::get;
  std::string mTarget{};
  std::string mKey{};
};

const std::vector<standin::StandinTeam> kTeams{ { "red", { "red-1", "red-2" }, 0 },
                                                { "blue", { "blue-1" }, 0 } };
const std::vector<standin::StandinTeam> kWithoutRed2{ { "red", { "red-1", "red-3" }, 0 },
                                                      { "blue", { "blue-1" }, 0 } };

standin::FleetStandinOptions MakeOptions()
{
  standin::FleetStandinOptions options;
  options.mTeams = kTeams;
  return options;
}

// Returns the status of the answer; unknown: there was none.
Async<http::status> Ask(testing::EntryFleet& aFleet, TeamCall aCall)
{
  const bool isPost = aCall.mVerb == http::verb::post;
  auto response = co_await aFleet.Call(
    aCall.mProcess, aCall.mVerb, aCall.mTarget, isPost ? kOneTask : "", aCall.mKey);
  co_return response ? response->result() : http::status::unknown;
}

// Repeats a call until it is answered by aStatus, for at most aTime. Returns whether it was.
Async<bool> AskUntil(testing::EntryFleet& aFleet,
                     TeamCall aCall,
                     http::status aStatus,
                     Duration aTime)
{
  const TimePoint deadline = BootClock::now() + aTime;
  do {
    if (co_await Ask(aFleet, aCall) == aStatus)
      co_return true;
    co_await Sleep(milliseconds(50));
  } while (BootClock::now() < deadline);
  co_return false;
}

}  // namespace

TEST_CASE("a key opens the jobs of its team only", "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, MakeOptions(), std::vector<double>(3, 1.0), "entry-teams");
  const std::string job = "/q/00000000000000a1";
  const std::string open = "/open/00000000000000a2";
  fleet.GetPlatform().RegisterJob("00000000000000a1", { { 1, 1000, {} } }, "red");
  fleet.GetPlatform().RegisterJob("00000000000000a2", { { 1, 1000, {} } });
  constexpr auto kPost = http::verb::post;
  constexpr auto kGet = http::verb::get;
  bool isAccepted = false;
  bool isOpenAccepted = false;
  std::vector<std::pair<TeamCall, http::status>> calls{
    { { 0, kPost, "/q/00000000000000a3", "green-1" }, http::status::unauthorized },
    { { 1, kPost, "/q/00000000000000a3", "" }, http::status::unauthorized },
    { { 2, kGet, job, "red-4" }, http::status::unauthorized },
    { { 0, kGet, job, "red-2" }, http::status::ok },
    { { 1, kPost, job, "red-2" }, http::status::ok },
    { { 1, kPost, job, "blue-1" }, http::status::conflict },
    { { 1, kGet, job, "blue-1" }, http::status::gone },
    { { 2, http::verb::delete_, job, "blue-1" }, http::status::gone },
    { { 2, kGet, "/open/00000000000000a1", "" }, http::status::gone },
    { { 0, kGet, "/q/00000000000000a2", "blue-1" }, http::status::ok },
    { { 1, kGet, "/q/", "blue-1" }, http::status::ok },
    { { 1, kGet, "/q/", "green-1" }, http::status::unauthorized },
  };
  std::vector<http::status> answers;
  RunScript(context, [&]() -> Async<void> {
    const TeamCall submit{ 0, kPost, job, "red-1" };
    const TeamCall submitOpen{ 1, kPost, open, "" };
    isAccepted = co_await AskUntil(fleet, submit, http::status::ok, kMaxWait);
    isOpenAccepted = co_await AskUntil(fleet, submitOpen, http::status::ok, kMaxWait);
    const TeamCall ready{ 2, kGet, job, "red-1" };
    co_await AskUntil(fleet, ready, http::status::ok, kMaxWait);
    for (const auto& [call, expected] : calls)
      answers.push_back(co_await Ask(fleet, call));
    const TimePoint deadline = BootClock::now() + kMaxWait;
    while (fleet.GetPlatform().CountEnds("00000000000000a1") == 0 && BootClock::now() < deadline)
      co_await Sleep(milliseconds(50));
  });
  REQUIRE(isAccepted);
  REQUIRE(isOpenAccepted);
  for (std::size_t n = 0; n < calls.size(); ++n) {
    INFO(calls[n].first.mTarget << " with " << calls[n].first.mKey << " at "
                                << calls[n].first.mProcess);
    CHECK(static_cast<unsigned>(answers[n]) == static_cast<unsigned>(calls[n].second));
  }
  CHECK(fleet.GetPlatform().CountEnds("00000000000000a1") == 1);
  CHECK(fleet.GetPlatform().ReadViolations().empty());
}

TEST_CASE("a process that is cut off from the store learns of a revoked key from the holder",
          "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, MakeOptions(), std::vector<double>(3, 1.0), "entry-revoke");
  const std::string job = "/q/00000000000000b1";
  fleet.GetPlatform().RegisterJob("00000000000000b1", { { 1, 1000, {} } }, "red");
  bool isReady = true;
  bool isServedCut = false;
  bool isRevoked = false;
  bool isAdded = false;
  bool isIsolated = false;
  std::vector<http::status> isolated;
  std::size_t cut = 0;
  RunScript(context, [&]() -> Async<void> {
    const TeamCall submit{ 0, http::verb::post, job, "red-1" };
    isReady = co_await AskUntil(fleet, submit, http::status::ok, kMaxWait);
    for (std::size_t n = 0; n < 3; ++n) {
      const TeamCall show{ n, http::verb::get, job, "red-2" };
      isReady = isReady && co_await AskUntil(fleet, show, http::status::ok, kMaxWait);
    }
    cut = fleet.ReadLog(0).find("schedules now epoch=") == std::string::npos ? 0 : 1;
    fleet.Get(cut).mStoreLink->SetFaults({ .mCut = true });
    co_await Sleep(seconds(1));
    const TeamCall asRed1{ cut, http::verb::get, job, "red-1" };
    const TeamCall asRed2{ cut, http::verb::get, job, "red-2" };
    const TeamCall asRed3{ cut, http::verb::get, job, "red-3" };
    isServedCut = co_await AskUntil(fleet, asRed2, http::status::ok, kConfigTime);
    fleet.GetPlatform().SetTeams(kWithoutRed2);
    isRevoked = co_await AskUntil(fleet, asRed2, http::status::unauthorized, kConfigTime);
    isAdded = co_await AskUntil(fleet, asRed3, http::status::ok, kConfigTime);

    // Neither the store nor the holder: the process can't know which keys are valid.
    for (std::size_t n = 0; n < 3; ++n)
      if (n != cut)
        fleet.Signal(n, SIGSTOP);
    constexpr auto kUnavailable = http::status::service_unavailable;
    isIsolated = co_await AskUntil(fleet, asRed1, kUnavailable, kConfigTime);
    const TeamCall asNobody{ cut, http::verb::get, job, "green-1" };
    for (const TeamCall& it : { asRed1, asRed2, asNobody })
      isolated.push_back(co_await Ask(fleet, it));
    for (std::size_t n = 0; n < 3; ++n)
      fleet.Signal(n, SIGCONT);
  });
  REQUIRE(isReady);
  CHECK(isServedCut);
  CHECK(isRevoked);
  CHECK(isAdded);
  CHECK(isIsolated);
  for (const http::status it : isolated)
    CHECK(it == http::status::service_unavailable);
  CHECK(fleet.GetPlatform().ReadViolations().empty());
}
