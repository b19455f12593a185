// Tests entry processes as separate programs against the platform's stand-in: how long a job takes
// for a caller while the holder is killed, paused or cut off.
#include <catch2/catch.hpp>

#include <csignal>
#include <set>

#include "tests/integration/entry_jobs.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

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
