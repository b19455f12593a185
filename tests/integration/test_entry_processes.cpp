// Tests entry processes as separate programs against the platform's stand-in: how long a job takes
// for a caller while the holder is killed, paused or cut off.
#include <catch2/catch.hpp>

#include <csignal>
#include <set>

#include "tests/integration/entry_fleet.h"

using namespace monsoon;

namespace {

constexpr const char* kOneTask =
  R"({"spec":"ms=50","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":50}]})";
constexpr Duration kMaxWait = seconds(15);  // a fleet starts slowly on a busy machine

// Submits a job of one task, trying aProcesses in turn, and polls its state until it is completed.
// Returns false after kMaxWait.
Async<bool> RunOneJob(testing::EntryFleet& aFleet,
                      std::string aId,
                      std::vector<std::size_t> aProcesses)
{
  aFleet.GetPlatform().RegisterJob(aId, { standin::StandinStage{ 1, 1000, {} } });
  const TimePoint deadline = BootClock::now() + kMaxWait;
  bool isAccepted = false;
  for (std::size_t k = 0; BootClock::now() < deadline; ++k) {
    const std::size_t n = aProcesses[k % aProcesses.size()];
    const http::verb verb = isAccepted ? http::verb::get : http::verb::post;
    auto response = co_await aFleet.Call(n, verb, "/q/" + aId, isAccepted ? "" : kOneTask);
    const bool isGood = response && response->result() == http::status::ok;
    if (isAccepted && isGood && response->body().find("completed") != std::string::npos)
      co_return true;
    isAccepted = isAccepted || isGood;
    co_await Sleep(milliseconds(20));
  }
  co_return false;
}

struct TimedJob
{
  bool mIsDone = false;
  Duration mTook{};
};

Async<TimedJob> TimeOneJob(testing::EntryFleet& aFleet,
                           std::string aId,
                           std::vector<std::size_t> aProcesses)
{
  const TimePoint startedAt = BootClock::now();
  TimedJob job;
  job.mIsDone = co_await RunOneJob(aFleet, std::move(aId), std::move(aProcesses));
  job.mTook = BootClock::now() - startedAt;
  co_return job;
}

void CheckJob(const testing::EntryFleet& aFleet, const TimedJob& aJob, Duration aBound)
{
  CAPTURE(aJob.mTook / milliseconds(1));
  CHECK(aJob.mIsDone);
  CHECK(aJob.mTook < aBound);
  CHECK(aFleet.GetPlatform().ReadViolations().empty());
}

// Lists all processes of the fleet except aExcept.
std::vector<std::size_t> ListProcesses(const testing::EntryFleet& aFleet,
                                       std::size_t aExcept = SIZE_MAX)
{
  std::vector<std::size_t> processes;
  for (std::size_t n = 0; n < aFleet.Count(); ++n)
    if (n != aExcept)
      processes.push_back(n);
  return processes;
}

// Returns the process whose log shows the highest epoch as holder; aFleet.Count() if there is none.
std::size_t FindHolder(const testing::EntryFleet& aFleet)
{
  std::size_t holder = aFleet.Count();
  unsigned long newest = 0;
  for (std::size_t n = 0; n < aFleet.Count(); ++n) {
    const std::string log = aFleet.ReadLog(n);
    const auto at = log.rfind("schedules now epoch=");
    if (at == std::string::npos)
      continue;
    const unsigned long epoch = std::stoul(log.substr(log.find('=', at) + 1));
    if (epoch > newest) {
      newest = epoch;
      holder = n;
    }
  }
  return holder;
}

template<class F>
void RunScript(asio::io_context& aContext, F aScript)
{
  asio::co_spawn(
    aContext,
    [&]() -> Async<void> {
      co_await aScript();
      aContext.stop();
    },
    asio::detached);
  aContext.run();
}

}  // namespace

TEST_CASE("entry processes that are all killed and restarted do not wait for the old lease",
          "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(3, 1.0), "entry-restart");
  TimedJob job;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000a1", ListProcesses(fleet)))
      co_return;
    for (std::size_t n = 0; n < fleet.Count(); ++n)
      fleet.End(n, SIGKILL);
    for (std::size_t n = 0; n < fleet.Count(); ++n)
      fleet.Start(n);
    job = co_await TimeOneJob(fleet, "00000000000000a2", ListProcesses(fleet));
  });
  // The lease of the killed holder has 1.7 s to 2 s left.
  CheckJob(fleet, job, milliseconds(1500));
}

TEST_CASE("an unresponsive holder is replaced before its lease expires", "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(4, 1.0), "entry-silent");
  TimedJob job;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000b1", ListProcesses(fleet)))
      co_return;
    co_await Sleep(seconds(1));  // members learn of each other by their polls
    const std::size_t holder = FindHolder(fleet);
    if (holder == fleet.Count())
      co_return;
    fleet.Signal(holder, SIGSTOP);
    job = co_await TimeOneJob(fleet, "00000000000000b2", ListProcesses(fleet, holder));
    fleet.Signal(holder, SIGCONT);
    co_await Sleep(seconds(1));
  });
  // Without the replacement, the lease would last another 1.7 s to 2 s before the election.
  CheckJob(fleet, job, milliseconds(1700));
}

TEST_CASE("a store that answers again after an outage is used at once", "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(4, 1.0), "entry-outage");
  TimedJob job;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000c1", ListProcesses(fleet)))
      co_return;
    const std::size_t holder = FindHolder(fleet);
    if (holder == fleet.Count())
      co_return;
    fleet.GetPlatform().SetStoreMode(standin::StoreMode::Silent);
    co_await Sleep(seconds(2));
    fleet.End(holder, SIGKILL);
    co_await Sleep(milliseconds(1500));
    fleet.GetPlatform().SetStoreMode(standin::StoreMode::Serving);
    job = co_await TimeOneJob(fleet, "00000000000000c2", ListProcesses(fleet, holder));
  });
  // A probe every 150 ms, an election of some 100 ms and a job of 50 ms. A call from before the end
  // of the outage takes up to 1 s.
  CheckJob(fleet, job, milliseconds(1500));
}

TEST_CASE("a process that is cut off from the store only learns of a new holder from members",
          "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(5, 1.0), "entry-closed");
  TimedJob job;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000d1", ListProcesses(fleet)))
      co_return;
    co_await Sleep(seconds(1));  // members learn of each other by their polls
    const std::size_t holder = FindHolder(fleet);
    if (holder == fleet.Count())
      co_return;
    const std::size_t other = (holder + 1) % fleet.Count();
    testing::LinkFaults faults;
    faults.mCut = true;
    fleet.Get(holder).mStoreLink->SetFaults(faults);
    fleet.Get(other).mStoreLink->SetFaults(faults);
    co_await Sleep(seconds(3));  // the holder's lease ends, and another is elected
    const std::vector<std::size_t> asked{ other };
    job = co_await TimeOneJob(fleet, "00000000000000d2", asked);
    fleet.Get(holder).mStoreLink->SetFaults({});
    fleet.Get(other).mStoreLink->SetFaults({});
  });
  CheckJob(fleet, job, milliseconds(1000));  // a relayed write and a job of 50 ms
}

TEST_CASE(
  "a job is stored through a member while the store serves neither its process nor the holder",
  "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(5, 1.0), "entry-relay");
  std::size_t other = 0;
  const auto isRelayed = [&] {
    return fleet.ReadLog(other).find("accepted through a member") != std::string::npos;
  };
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000d3", ListProcesses(fleet)))
      co_return;
    co_await Sleep(seconds(1));  // members learn of each other by their polls
    const std::size_t holder = FindHolder(fleet);
    if (holder == fleet.Count())
      co_return;
    other = (holder + 1) % fleet.Count();
    testing::LinkFaults faults;
    faults.mCut = true;
    fleet.Get(holder).mStoreLink->SetFaults(faults);
    fleet.Get(other).mStoreLink->SetFaults(faults);
    // Until the holder is replaced, which then stores the job itself.
    for (std::size_t n = 0; n < 20 && !isRelayed(); ++n) {
      co_await Sleep(milliseconds(50));
      const std::string id = "000000000000d4" + std::to_string(10 + n);
      fleet.GetPlatform().RegisterJob(id, { standin::StandinStage{ 1, 1000, {} } });
      co_await fleet.Call(other, http::verb::post, "/q/" + id, kOneTask);
    }
    fleet.Get(holder).mStoreLink->SetFaults({});
    fleet.Get(other).mStoreLink->SetFaults({});
  });
  CHECK(isRelayed());
  CHECK(fleet.GetPlatform().ReadViolations().empty());
}

TEST_CASE("small processes hand over to the largest within two elections", "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(
    context, {}, { 0.12, 0.12, 0.12, 0.25, 0.12, 0.12, 0.5 }, "entry-sizes");
  RunScript(context, [&]() -> Async<void> { co_await Sleep(seconds(6)); });
  CHECK(FindHolder(fleet) == 6);
  std::size_t elections = 0;
  for (std::size_t n = 0; n < fleet.Count(); ++n) {
    const std::string log = fleet.ReadLog(n);
    for (auto at = log.find("schedules now"); at != std::string::npos;
         at = log.find("schedules now", at + 1))
      ++elections;
  }
  CHECK(elections <= 2);
}

TEST_CASE("the holder hands over to a process with five thirds of its cores", "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, { 0.3, 0.3, 0.3, 0.3, 0.5 }, "entry-five-thirds");
  RunScript(context, [&]() -> Async<void> { co_await Sleep(seconds(4)); });
  CHECK(FindHolder(fleet) == 4);
}

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

// A soak called the readiness port of one process as the callers' port of another one.
TEST_CASE("two processes of a fleet are given the same port")
{
  testing::PortReservation ports;
  std::set<std::uint16_t> reserved;
  constexpr std::size_t kPorts = 700;
  for (std::size_t n = 0; n < kPorts; ++n)
    reserved.insert(ports.Reserve());
  CHECK(reserved.size() == kPorts);
}
