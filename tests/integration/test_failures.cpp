// What must hold while processes are killed, frozen and replaced, and while the store is out.
#include <catch2/catch.hpp>

#include <csignal>

#include "tests/integration/load.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

std::vector<std::uint16_t> ListPorts(const Cell& aCell, std::uint32_t aCount)
{
  std::vector<std::uint16_t> ports;
  for (std::uint32_t i = 0; i < aCount; ++i)
    ports.push_back(aCell.GetHttpPort(i));
  return ports;
}

// Every refusal was true, every answer whole and its own.
void CheckTold(const std::vector<RequestRecord>& aRecords, const RunsById& aRuns)
{
  std::vector<std::string> lies;
  std::vector<std::string> broken;
  for (const RequestRecord& it : aRecords) {
    if (it.mOutcome == "not_run" && aRuns.contains(it.mId))
      lies.push_back(it.mId);
    if (it.mStatus == 200 && !it.mWhole)
      broken.push_back(it.mId);
  }
  CHECK(lies.empty());
  CHECK(broken.empty());
}

std::map<std::string, std::uint64_t> CountStarts(const Cell& aCell)
{
  std::map<std::string, std::uint64_t> starts;
  for (const auto& it : aCell.ReadEvidence())
    starts[std::string(it.at("worker").as_string())] =
      it.at("requests_run").to_number<std::uint64_t>();
  return starts;
}

bool EveryWorkerRanMore(const Cell& aCell, const std::map<std::string, std::uint64_t>& aBefore)
{
  for (const auto& [worker, n] : CountStarts(aCell))
    if (n <= aBefore.at(worker))
      return false;
  return true;
}

std::uint64_t CountTasks(std::uint16_t aPort, const std::string& aJob, std::string_view aState)
{
  const Answer answer = Get(aPort, "/v1/jobs/" + aJob);
  boost::system::error_code ec;
  const boost::json::value job = boost::json::parse(answer.mBody, ec);
  if (ec || answer.mStatus != 200)
    return 0;
  const auto* n = job.at("states").as_object().if_contains(aState);
  return n ? n->to_number<std::uint64_t>() : 0;
}

std::optional<std::uint64_t> ReadRevision(const Cell& aCell, std::uint32_t aProcess)
{
  const Answer shown = Post(aCell.GetHttpPort(aProcess), "/v1/commands", "show config");
  boost::system::error_code ec;
  const boost::json::value table = boost::json::parse(shown.mBody, ec);
  if (ec || shown.mStatus != 200)
    return std::nullopt;
  const boost::json::value& row = table.at("rows").as_array().front();
  return std::stoull(std::string(row.at("name").as_string()));
}

}  // namespace

TEST_CASE("workers of a killed process take new work again, and nothing is given twice", "[kill]")
{
  Cell cell({ .mProcesses = 3, .mWorkers = 6, .mSlots = 2 });
  REQUIRE(cell.WaitUntilReady());
  RequestLoad load({ .mPorts = ListPorts(cell, 3), .mThreads = 12 });
  REQUIRE(WaitFor([&] { return load.CountAnswered() > 200; }));
  cell.GetProcess(0).Signal(SIGKILL);
  cell.GetProcess(0).Wait();
  const auto before = CountStarts(cell);
  // Those in flight at the kill may still end; a worker has new work when it ran more than its
  // slots since.
  std::map<std::string, std::uint64_t> bar = before;
  for (auto& [worker, n] : bar)
    n += 10;
  CHECK(WaitFor([&] { return EveryWorkerRanMore(cell, bar); }));
  const auto records = load.Stop();
  CheckTold(records, CollectRuns(cell.ReadEvidence(), "request"));
  CHECK(cell.SumEvidence("overcommits") == 0);
}

TEST_CASE("an owner frozen past its lease starts nothing after it wakes", "[freeze]")
{
  Cell cell({ .mProcesses = 3, .mWorkers = 6, .mSlots = 2 });
  REQUIRE(cell.WaitUntilReady());
  RequestLoad load({ .mPorts = { cell.GetHttpPort(1), cell.GetHttpPort(2) }, .mThreads = 12 });
  RequestLoad frozen({ .mPorts = { cell.GetHttpPort(0) }, .mThreads = 4, .mPrefix = "f" });
  REQUIRE(WaitFor([&] { return load.CountAnswered() > 100 && frozen.CountAnswered() > 50; }));
  cell.GetProcess(0).Signal(SIGSTOP);
  auto bar = CountStarts(cell);
  for (auto& [worker, n] : bar)
    n += 10;
  CHECK(WaitFor([&] { return EveryWorkerRanMore(cell, bar); }));
  cell.GetProcess(0).Signal(SIGCONT);
  const auto answered = frozen.CountAnswered();
  CHECK(WaitFor([&] { return frozen.CountAnswered() > answered + 50; }));
  auto records = load.Stop();
  const auto others = frozen.Stop();
  records.insert(records.end(), others.begin(), others.end());
  CheckTold(records, CollectRuns(cell.ReadEvidence(), "request"));
  CHECK(cell.SumEvidence("overcommits") == 0);
}

TEST_CASE("a batch survives the kill of any process, each task once and in one place", "[kill]")
{
  for (std::uint32_t victim = 0; victim < 3; ++victim) {
    Cell cell({ .mProcesses = 3, .mWorkers = 3 });
    REQUIRE(cell.WaitUntilReady());
    const std::uint32_t survivor = (victim + 1) % 3;
    const Answer submitted = Post(
      cell.GetHttpPort(survivor),
      "/v1/jobs",
      R"({"id":"curing","kind":"batch","tasks":200,"shape":{"milli_cores":4000,"memory_mib":64},)"
      R"("payload":"{\"run_ms\":150}"})");
    REQUIRE(submitted.mStatus < 300);
    REQUIRE(
      WaitFor([&] { return CountTasks(cell.GetHttpPort(survivor), "curing", "succeeded") > 20; }));
    cell.GetProcess(victim).Signal(SIGKILL);
    cell.GetProcess(victim).Wait();
    CHECK(WaitFor(
      [&] { return CountTasks(cell.GetHttpPort(survivor), "curing", "succeeded") == 200; }));
    const RunsById runs = CollectRuns(cell.ReadEvidence(), "task");
    CHECK(runs.size() == 200);
    CHECK(FindOverlaps(runs).empty());
    CHECK(FindRepeats(runs).empty());
    CHECK(cell.SumEvidence("overcommits") == 0);
  }
}

TEST_CASE("work not to be repeated runs at most once, whichever process is killed", "[once]")
{
  Cell cell({ .mProcesses = 3, .mWorkers = 3, .mSlots = 4 });
  REQUIRE(cell.WaitUntilReady());
  RequestLoad load(
    { .mPorts = ListPorts(cell, 3), .mThreads = 6, .mRepeatable = false, .mPrefix = "alert" });
  REQUIRE(WaitFor([&] { return load.CountAnswered() > 100; }));
  cell.GetProcess(1).Signal(SIGKILL);
  cell.GetProcess(1).Wait();
  const auto answered = load.CountAnswered();
  CHECK(WaitFor([&] { return load.CountAnswered() > answered + 100; }));
  const auto records = load.Stop();
  // Callers whose connection broke come back through another process with the same key.
  for (const RequestRecord& it : records) {
    if (it.mStatus != 0)
      continue;
    const Headers headers{ { "Request-Id", it.mId + "-again" },
                           { "Repeatable", "no" },
                           { "Idempotency-Key", it.mId } };
    Post(cell.GetHttpPort(2), "/v1/requests", "{\"run_ms\":20,\"id\":\"" + it.mId + "\"}", headers);
  }
  const RunsById runs = CollectRuns(cell.ReadEvidence(), "request");
  CHECK(FindRepeats(runs).empty());
  for (const RequestRecord& it : records)
    if (it.mStatus == 0)
      CHECK_FALSE((runs.contains(it.mId) && runs.contains(it.mId + "-again")));
  CheckTold(records, runs);
}

TEST_CASE("requests and running tasks outlive an outage of the store", "[outage]")
{
  Cell cell({ .mProcesses = 3, .mWorkers = 3, .mSlots = 4 });
  REQUIRE(cell.WaitUntilReady());
  const Answer submitted =
    Post(cell.GetHttpPort(0),
         "/v1/jobs",
         R"({"id":"kiln","kind":"batch","tasks":6,"payload":"{\"run_ms\":12000}"})");
  REQUIRE(submitted.mStatus < 300);
  REQUIRE(WaitFor([&] { return cell.SumEvidence("tasks_started") == 6; }));
  RequestLoad load({ .mPorts = ListPorts(cell, 3), .mThreads = 6 });
  REQUIRE(WaitFor([&] { return load.CountAnswered() > 100; }));
  REQUIRE(
    Put(cell.GetPlatform().GetPort(), "/v1/faults", R"({"down":{"mode":"refuse","for_ms":10000}})")
      .mStatus == 200);
  // Longer than the lease: requests are still being answered after it must have lapsed at the
  // store.
  std::this_thread::sleep_for(seconds(6));
  const auto answered = load.CountAnswered();
  CHECK(WaitFor([&] { return load.CountAnswered() > answered + 200; }, seconds(3)));
  CHECK(WaitFor([&] { return CountTasks(cell.GetHttpPort(0), "kiln", "succeeded") == 6; }));
  CheckTold(load.Stop(), CollectRuns(cell.ReadEvidence(), "request"));
  CHECK(FindRepeats(CollectRuns(cell.ReadEvidence(), "task")).empty());
  CHECK(cell.SumEvidence("overcommits") == 0);
  CHECK(cell.SumEvidence("lapsed") == 0);
}

// The mechanism above switched off: an owner past its lease gives no new work.
TEST_CASE("without promises owners stop at the end of their lease", "[outage]")
{
  Cell cell({ .mProcesses = 3, .mWorkers = 3, .mLeaseSettings = "outage_promises = \"off\"" });
  REQUIRE(cell.WaitUntilReady());
  RequestLoad load({ .mPorts = ListPorts(cell, 3), .mThreads = 6 });
  REQUIRE(WaitFor([&] { return load.CountAnswered() > 100; }));
  REQUIRE(
    Put(cell.GetPlatform().GetPort(), "/v1/faults", R"({"down":{"mode":"refuse","for_ms":9000}})")
      .mStatus == 200);
  std::this_thread::sleep_for(seconds(5));
  const auto answered = load.CountAnswered();
  std::this_thread::sleep_for(seconds(2));
  CHECK(load.CountAnswered() == answered);
  // Once the store answers again they go on.
  CHECK(WaitFor([&] { return load.CountAnswered() > answered + 100; }));
  CheckTold(load.Stop(), CollectRuns(cell.ReadEvidence(), "request"));
}

TEST_CASE("a rolling replacement fails no request in flight and loses no job", "[rolling]")
{
  Cell cell({ .mProcesses = 3, .mWorkers = 3, .mSlots = 4 });
  REQUIRE(cell.WaitUntilReady());
  REQUIRE(
    Post(
      cell.GetHttpPort(0),
      "/v1/jobs",
      R"({"id":"reports","kind":"batch","tasks":300,"shape":{"milli_cores":4000,"memory_mib":64},)"
      R"("payload":"{\"run_ms\":200}"})")
      .mStatus < 300);
  for (std::uint32_t i = 0; i < 3; ++i) {
    // The balancer sends new requests to the others once readiness is gone; the callers here do the
    // same.
    RequestLoad others({ .mPorts = { cell.GetHttpPort((i + 1) % 3), cell.GetHttpPort((i + 2) % 3) },
                         .mThreads = 6,
                         .mPrefix = "o" + std::to_string(i) });
    REQUIRE(WaitFor([&] { return others.CountAnswered() > 50; }));
    std::atomic<int> status = 0;
    std::thread inFlight(
      [&] { status = Post(cell.GetHttpPort(i), "/v1/requests", R"({"run_ms":1500})").mStatus; });
    std::this_thread::sleep_for(milliseconds(200));
    cell.GetProcess(i).Signal(SIGTERM);
    CHECK(cell.GetProcess(i).Wait() == 0);
    inFlight.join();
    CHECK(status == 200);
    cell.StartProcess(i);
    REQUIRE(cell.WaitUntilReady());
    std::map<std::string, std::uint64_t> failed;
    for (const RequestRecord& it : others.Stop())
      if (!it.mWhole)
        ++failed[std::to_string(it.mStatus) + " " + it.mOutcome + " " + it.mDetail];
    for (const auto& [answer, n] : failed)
      UNSCOPED_INFO(n << " times " << answer);
    CHECK(failed.empty());
  }
  CHECK(WaitFor([&] { return CountTasks(cell.GetHttpPort(1), "reports", "succeeded") == 300; }));
  const RunsById runs = CollectRuns(cell.ReadEvidence(), "task");
  CHECK(FindOverlaps(runs).empty());
  CHECK(FindRepeats(runs).empty());
}

TEST_CASE("a leaving VM gets no new work", "[drain]")
{
  Cell cell({ .mProcesses = 2, .mWorkers = 3, .mSlots = 4 });
  REQUIRE(cell.WaitUntilReady());
  RequestLoad load({ .mPorts = ListPorts(cell, 2), .mThreads = 8 });
  REQUIRE(WaitFor([&] { return load.CountAnswered() > 100; }));
  const boost::json::value vms =
    boost::json::parse(Get(cell.GetPlatform().GetPort(), "/v1/vms").mBody);
  boost::json::object vm = vms.at("vms").as_array().front().as_object();
  vm["leaving"] = true;
  const std::string name(vm["name"].as_string());
  REQUIRE(
    Put(cell.GetPlatform().GetPort(), "/v1/vms/" + name, boost::json::serialize(vm)).mStatus ==
    200);
  std::this_thread::sleep_for(seconds(3));
  const auto before = CountStarts(cell);
  const auto answered = load.CountAnswered();
  REQUIRE(WaitFor([&] { return load.CountAnswered() > answered + 200; }));
  CHECK(CountStarts(cell).at(name) == before.at(name));
}

TEST_CASE("racing operators are told the truth and all processes end on one configuration",
          "[config]")
{
  Cell cell({ .mProcesses = 3, .mWorkers = 1 });
  REQUIRE(cell.WaitUntilReady());
  std::atomic<int> accepted = 0;
  std::atomic<int> conflicts = 0;
  std::atomic<int> others = 0;
  const auto race = [&](std::uint32_t aProcess, int aValue) {
    for (int i = 0; i < 100; ++i) {
      const auto revision = ReadRevision(cell, aProcess);
      if (!revision)
        continue;
      const std::string command = "set probe = \"" + std::to_string(aValue + i) +
                                  "\" if revision " + std::to_string(*revision);
      const Answer answer = Post(cell.GetHttpPort(aProcess), "/v1/commands", command);
      ++(answer.mStatus == 200 ? accepted : answer.mStatus == 409 ? conflicts : others);
    }
  };
  std::thread left([&] { race(0, 1000); });
  std::thread right([&] { race(1, 2000); });
  left.join();
  right.join();
  CHECK(accepted > 0);
  CHECK(others == 0);
  // A change that one process accepted is in force at the others within 5 s.
  const auto isInForce = [&](std::uint32_t aProcess) {
    return ReadRevision(cell, aProcess) == static_cast<std::uint64_t>(accepted);
  };
  const auto isInForceEverywhere = [&] { return isInForce(0) && isInForce(1) && isInForce(2); };
  CHECK(WaitFor(isInForceEverywhere, seconds(5)));
  CHECK(isInForceEverywhere());
}
