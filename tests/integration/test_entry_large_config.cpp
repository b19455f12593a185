// Tests entry processes as separate programs beside a configuration near the longest value of the
// store, on the slowest links that a deployment has.
#include <catch2/catch.hpp>

#include <csignal>

#include "tests/integration/entry_jobs.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

constexpr std::uint64_t kTenMegabits = 10'000'000 / 8;  // bytes per second
constexpr std::size_t kQueues = 5400;
constexpr std::size_t kMinConfigBytes = 990'000;
constexpr std::size_t kMaxConfigBytes = 1'048'576;  // of a value, in the store

void LimitLinks(testing::EntryFleet& aFleet, std::uint64_t aBytesPerS)
{
  for (std::size_t n = 0; n < aFleet.Count(); ++n)
    aFleet.Get(n).mStoreLink->SetFaults({ .mBytesPerS = aBytesPerS });
}

// Asks for the last added queue until all processes serve it. Returns how long that took.
Async<Duration> AwaitQueue(testing::EntryFleet& aFleet, std::size_t aNumber, Duration aMost)
{
  const TimePoint startedAt = BootClock::now();
  const std::string target = "/new-" + std::to_string(aNumber) + "/";
  for (std::size_t n = 0; n < aFleet.Count() && BootClock::now() - startedAt < aMost;) {
    auto response = co_await aFleet.Call(n, http::verb::get, target, "");
    if (response && response->result() == http::status::ok)
      ++n;
    else
      co_await Sleep(milliseconds(50));
  }
  co_return BootClock::now() - startedAt;
}

}  // namespace

// Reading the configuration took a little longer than the deadline of a call, again and again.
TEST_CASE("no process is ready after a restart beside a large configuration", "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(3, 1.0), "entry-large-config");
  std::size_t bytes = 0;
  bool isDone = false;
  Duration took{};
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000a1", ListProcesses(fleet)))
      co_return;
    bytes = fleet.GetPlatform().AddQueues(kQueues);
    LimitLinks(fleet, kTenMegabits);
    for (std::size_t n = 0; n < fleet.Count(); ++n)
      fleet.End(n, SIGKILL);
    for (std::size_t n = 0; n < fleet.Count(); ++n)
      fleet.Start(n);
    took = co_await AwaitQueue(fleet, kQueues - 1, kMaxWait);
    isDone = co_await RunOneJob(fleet, "00000000000000a2", ListProcesses(fleet));
  });
  REQUIRE(bytes > kMinConfigBytes);
  REQUIRE(bytes < kMaxConfigBytes);
  CHECK(took < kMaxWait);
  CHECK(isDone);
  for (std::size_t n = 0; n < fleet.Count(); ++n)  // the holder's link may be as slow
    CHECK(fleet.ReadLog(n).find("source=holder") == std::string::npos);
}

// Versions that followed each other fast were all read, and in the end none of them.
TEST_CASE("a large configuration that changes quickly is not read on a slow link", "[entry]")
{
  constexpr int kChanges = 12;
  constexpr Duration kApplyTime = seconds(4);  // the platform's config_apply_ms
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(3, 1.0), "entry-config-storm");
  std::size_t bytes = 0;
  Duration took{};
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000b1", ListProcesses(fleet)))
      co_return;
    LimitLinks(fleet, kTenMegabits);
    fleet.GetPlatform().AddQueues(kQueues);
    co_await AwaitQueue(fleet, kQueues - 1, kMaxWait);
    for (int n = 0; n < kChanges; ++n) {
      bytes = fleet.GetPlatform().AddQueues(1);
      co_await Sleep(milliseconds(330));
    }
    took = co_await AwaitQueue(fleet, kQueues + kChanges - 1, kMaxWait);
  });
  REQUIRE(bytes > kMinConfigBytes);
  REQUIRE(bytes < kMaxConfigBytes);
  CAPTURE(took / milliseconds(1));
  CHECK(took < kApplyTime);
}
