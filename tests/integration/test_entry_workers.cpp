// Tests entry processes as separate programs against the platform's stand-in: workers and queues
// that change under running jobs, and directory entries that are wrong.
#include <catch2/catch.hpp>

#include <csignal>

#include "tests/integration/entry_jobs.h"

using namespace monsoon;
using namespace monsoon::testing;

TEST_CASE("workers that restart smaller under their ids are not overcommitted", "[entry]")
{
  constexpr std::uint32_t kWorkers = 6;
  constexpr std::size_t kJobs = 40;
  constexpr const char* kJob =
    R"({"spec":"ms=700","steps":[{"count":4,"cpu":2000,"mem_mb":100,"estimate_ms":700}]})";
  asio::io_context context{ 1 };
  standin::FleetStandinOptions platform;
  platform.mWorkers = kWorkers;
  platform.mAdmitted = 1;
  testing::EntryFleet fleet(context, platform, std::vector<double>(3, 1.0), "entry-smaller");
  std::size_t completed = 0;
  std::uint64_t before = 0;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000e1", ListProcesses(fleet)))
      co_return;
    std::vector<std::string> ids;
    for (std::size_t n = 0; n < kJobs; ++n) {
      ids.push_back("00000000000001" + std::to_string(10 + n));
      fleet.GetPlatform().RegisterJob(ids.back(), { standin::StandinStage{ 4, 2000, {} } });
      auto response =
        co_await fleet.Call(n % fleet.Count(), http::verb::post, "/q/" + ids.back(), kJob);
      if (!response || response->result() != http::status::ok)
        co_return;
    }
    before = fleet.GetPlatform().CountStarts();
    for (std::uint32_t n = 0; n < kWorkers / 2; ++n) {
      co_await Sleep(milliseconds(300));
      fleet.GetPlatform().RestartWorker(n, 4000);
    }
    const TimePoint deadline = BootClock::now() + kMaxWait;
    while (completed < ids.size() && BootClock::now() < deadline) {
      auto response = co_await fleet.Call(0, http::verb::get, "/q/" + ids[completed], "");
      if (response && response->body().find("completed") != std::string::npos)
        ++completed;
      else
        co_await Sleep(milliseconds(50));
    }
  });
  CHECK(before < 4 * kJobs);  // the restarts come before the last start
  CHECK(completed == kJobs);
  CHECK_THAT(fleet.GetPlatform().ReadViolations(), Catch::Equals(std::vector<std::string>()));
}

TEST_CASE("entries of other writers make the tasks of running workers run twice", "[entry]")
{
  constexpr std::uint32_t kWorkers = 4;
  constexpr std::uint64_t kTasks = 12;
  constexpr const char* kId = "00000000000000f2";
  constexpr const char* kJob =
    R"({"spec":"ms=4000","steps":[{"count":12,"cpu":2000,"mem_mb":100,"estimate_ms":4000}]})";
  asio::io_context context{ 1 };
  standin::FleetStandinOptions platform;
  platform.mWorkers = kWorkers;
  platform.mAdmitted = 1;
  testing::EntryFleet fleet(context, platform, std::vector<double>(3, 1.0), "entry-foreign");
  standin::FleetStandin& workers = fleet.GetPlatform();
  bool isDone = false;
  std::uint64_t starts = 0;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000f1", ListProcesses(fleet)))
      co_return;
    const std::uint64_t before = workers.CountStarts();
    workers.RegisterJob(kId, { standin::StandinStage{ kTasks, 2000, {} } });
    std::string target = "/q/";
    target += kId;
    auto accepted = co_await fleet.Call(0, http::verb::post, target, kJob);
    const TimePoint deadline = BootClock::now() + kMaxWait;
    while (workers.CountStarts() < before + kTasks && BootClock::now() < deadline)
      co_await Sleep(milliseconds(20));
    for (std::uint32_t n = 0; n < kWorkers; ++n) {
      const auto kind = static_cast<standin::ForeignEntry>(n % 2);
      workers.WriteForeignEntry(n, kind);
      co_await Sleep(milliseconds(100));
    }
    while (!isDone && BootClock::now() < deadline) {
      auto response = co_await fleet.Call(0, http::verb::get, target, "");
      isDone = response && response->body().find("completed") != std::string::npos;
      co_await Sleep(milliseconds(50));
    }
    starts = workers.CountStarts() - before;
  });
  CHECK(isDone);
  CHECK(starts == kTasks);
  CHECK_THAT(workers.ReadViolations(), Catch::Equals(std::vector<std::string>()));
}

TEST_CASE("the tasks of a worker that is back under another id wait for its leases", "[entry]")
{
  constexpr const char* kId = "00000000000000f3";
  constexpr const char* kJob =
    R"({"spec":"ms=60000","steps":[{"count":4,"cpu":2000,"mem_mb":100,"estimate_ms":60000}]})";
  asio::io_context context{ 1 };
  standin::FleetStandinOptions platform;
  platform.mWorkers = 1;
  platform.mAdmitted = 1;
  testing::EntryFleet fleet(context, platform, std::vector<double>(3, 1.0), "entry-successor");
  standin::FleetStandin& workers = fleet.GetPlatform();
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  Duration took{};
  RunScript(context, [&]() -> Async<void> {
    workers.RegisterJob(kId, { standin::StandinStage{ 4, 2000, {} } });
    std::string target = "/q/";
    target += kId;
    const TimePoint deadline = BootClock::now() + kMaxWait;
    for (bool isAccepted = false; !isAccepted && BootClock::now() < deadline;) {
      auto response = co_await fleet.Call(0, http::verb::post, target, kJob);
      isAccepted = response && response->result() == http::status::ok;
      co_await Sleep(milliseconds(20));
    }
    while (workers.CountStarts() < 4 && BootClock::now() < deadline)
      co_await Sleep(milliseconds(20));
    co_await Sleep(milliseconds(500));  // its leases are renewed meanwhile
    before = workers.CountStarts();
    workers.CrashWorker(0);
    const TimePoint crashedAt = BootClock::now();
    while (workers.CountStarts() < before + 4 && BootClock::now() < crashedAt + seconds(10))
      co_await Sleep(milliseconds(5));
    took = BootClock::now() - crashedAt;
    after = workers.CountStarts();
  });
  CAPTURE(took / milliseconds(1));
  CHECK(before == 4);
  CHECK(after == before + 4);
  CHECK(took < platform.mLongestLease / 2);
  CHECK(workers.ReadViolations().empty());
}

TEST_CASE("jobs of a replaced queue have nothing running once another process schedules", "[entry]")
{
  constexpr const char* kId = "00000000000000f4";
  constexpr const char* kJob =
    R"({"spec":"ms=1500","steps":[{"count":2,"cpu":2000,"mem_mb":100,"estimate_ms":1500},)"
    R"({"count":2,"cpu":2000,"mem_mb":100,"estimate_ms":1500,"after":[0]}]})";
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(3, 1.0), "entry-queue");
  standin::FleetStandin& workers = fleet.GetPlatform();
  bool isAccepted = false;
  bool isDone = false;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000f0", ListProcesses(fleet)))
      co_return;
    const std::uint64_t before = workers.CountStarts();
    workers.RegisterJob(kId,
                        { standin::StandinStage{ 2, 2000, {} },
                          standin::StandinStage{ 2, 2000, std::vector<std::uint32_t>{ 0 } } });
    std::string target = "/q/";
    target += kId;
    auto accepted = co_await fleet.Call(0, http::verb::post, target, kJob);
    isAccepted = accepted && accepted->result() == http::status::ok;
    const TimePoint deadline = BootClock::now() + kMaxWait;
    while (workers.CountStarts() < before + 2 && BootClock::now() < deadline)
      co_await Sleep(milliseconds(20));
    workers.ReplaceQueue();
    co_await Sleep(milliseconds(300));
    const std::size_t holder = FindHolder(fleet);
    if (holder == fleet.Count())
      co_return;
    fleet.End(holder, SIGKILL);
    fleet.Start(holder);
    while (!isDone && BootClock::now() < deadline) {
      auto response = co_await fleet.Call((holder + 1) % 3, http::verb::get, target, "");
      isDone = response && response->body().find("completed") != std::string::npos;
      co_await Sleep(milliseconds(50));
    }
  });
  CHECK(isAccepted);
  CHECK(isDone);
  CHECK_THAT(workers.ReadViolations(), Catch::Equals(std::vector<std::string>()));
}

TEST_CASE("a directory entry with an address that can't be read stops the holder", "[entry]")
{
  constexpr const char* kId = "00000000000000f5";
  constexpr const char* kJob =
    R"({"spec":"ms=4000","steps":[{"count":8,"cpu":2000,"mem_mb":100,"estimate_ms":4000}]})";
  asio::io_context context{ 1 };
  standin::FleetStandinOptions platform;
  platform.mWorkers = 2;
  platform.mAdmitted = 1;
  testing::EntryFleet fleet(context, platform, std::vector<double>(3, 1.0), "entry-no-port");
  standin::FleetStandin& workers = fleet.GetPlatform();
  std::size_t holder = fleet.Count();
  bool isDone = false;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000f6", ListProcesses(fleet)))
      co_return;
    holder = FindHolder(fleet);
    if (holder == fleet.Count())
      co_return;
    const std::uint64_t before = workers.CountStarts();
    workers.RegisterJob(kId, { standin::StandinStage{ 8, 2000, {} } });
    std::string target = "/q/";
    target += kId;
    auto accepted = co_await fleet.Call(holder, http::verb::post, target, kJob);
    const TimePoint deadline = BootClock::now() + kMaxWait;
    while (workers.CountStarts() < before + 8 && BootClock::now() < deadline)
      co_await Sleep(milliseconds(20));
    // Again and again, so that a poll of the worker begins before its next heartbeat.
    for (int n = 0; n < 20; ++n) {
      workers.WriteForeignEntry(0, standin::ForeignEntry::NoPort);
      co_await Sleep(milliseconds(100));
    }
    while (!isDone && BootClock::now() < deadline) {
      auto response = co_await fleet.Call(holder, http::verb::get, target, "");
      isDone = response && response->body().find("completed") != std::string::npos;
      co_await Sleep(milliseconds(50));
    }
  });
  CHECK(isDone);
  CHECK(FindHolder(fleet) == holder);
  CHECK_THAT(workers.ReadViolations(), Catch::Equals(std::vector<std::string>()));
}
