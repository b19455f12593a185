// Tests entry processes as separate programs: jobs that are cancelled before they are stored.
#include <catch2/catch.hpp>

#include <csignal>

#include "fleet/keys.h"
#include "fleet/peer_messages.h"
#include "platform/store.h"
#include "tests/integration/entry_jobs.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

constexpr const char* kId = "00000000000000c1";
const std::string kJob = std::string("/q/") + kId;

constexpr const char* kLastingTask =
  R"({"spec":"ms=600000","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":50,)"
  R"("long_running":true}]})";

// Calls a process until it answers. Returns the status; unknown: none came in time.
Async<http::status> Ask(testing::EntryFleet& aFleet,
                        std::size_t aProcess,
                        http::verb aVerb,
                        std::string aTarget,
                        std::string aKey = {})
{
  const TimePoint deadline = BootClock::now() + kMaxWait;
  while (BootClock::now() < deadline) {
    const std::string body = aVerb == http::verb::post ? kLastingTask : "";
    auto response = co_await aFleet.Call(aProcess, aVerb, aTarget, body, aKey);
    if (response && response->result() != http::status::service_unavailable)
      co_return response->result();
    co_await Sleep(milliseconds(50));
  }
  co_return http::status::unknown;
}

// Writes a key to the stand-in's store without any condition.
Async<void> WriteKey(const testing::EntryFleet& aFleet, std::string aKey, std::string aValue)
{
  HttpClient client;
  platform::Store store(client, { "127.0.0.1", aFleet.GetPlatform().GetStorePort() });
  platform::StoreTransaction transaction;
  transaction.mWrites.push_back({ std::move(aKey), std::move(aValue) });
  static_cast<void>(co_await store.Commit(std::move(transaction), seconds(3)));
}

}  // namespace

// A caller got no answer to its POST and cancelled the job, which ran on nevertheless.
TEST_CASE("a job that is cancelled before its write is carried out runs all the same", "[entry]")
{
  constexpr Duration kDelay = seconds(3);
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(3, 1.0), "entry-late-write");
  fleet.GetPlatform().RegisterJob(kId, { { 1, 1000, {} } });
  std::vector<http::status> answers;
  std::string state;
  bool isRefused = false;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000c2", ListProcesses(fleet)))
      co_return;
    fleet.GetPlatform().DelayWrites(fleet::MakeJobKey(kId), kDelay);
    auto first =
      co_await fleet.Call(0, http::verb::post, kJob, kLastingTask, {}, milliseconds(600));
    isRefused = first.has_value();
    answers.push_back(co_await Ask(fleet, 1, http::verb::delete_, kJob));
    fleet.GetPlatform().DelayWrites({}, {});
    answers.push_back(co_await Ask(fleet, 2, http::verb::get, kJob));
    co_await Sleep(kDelay + seconds(1));
    answers.push_back(co_await Ask(fleet, 0, http::verb::post, kJob));
    co_await Sleep(seconds(1));
    auto response = co_await fleet.Call(1, http::verb::get, kJob, "");
    state = response ? response->body() : std::string();
    answers.push_back(co_await Ask(fleet, 1, http::verb::delete_, kJob));
  });
  constexpr auto kGone = http::status::gone;
  constexpr auto kOk = http::status::ok;
  CHECK_FALSE(isRefused);
  CHECK(answers == std::vector<http::status>{ kGone, kGone, kOk, kOk });
  CHECK(state.find("cancelled") != std::string::npos);
  CHECK(fleet.GetPlatform().CountStarts() == 1);  // of the other job
}

// The next holder has to know of the cancellation as well.
TEST_CASE("a cancelled job whose write is carried out late runs after a takeover", "[entry]")
{
  asio::io_context context{ 1 };
  testing::EntryFleet fleet(context, {}, std::vector<double>(3, 1.0), "entry-late-takeover");
  fleet.GetPlatform().RegisterJob(kId, { { 1, 1000, {} } });
  http::status answer = http::status::unknown;
  std::string state;
  RunScript(context, [&]() -> Async<void> {
    if (!co_await RunOneJob(fleet, "00000000000000c2", ListProcesses(fleet)))
      co_return;
    answer = co_await Ask(fleet, 1, http::verb::delete_, kJob);
    const std::size_t holder = FindHolder(fleet);
    fleet.End(holder, SIGKILL);
    fleet.Start(holder);
    if (!co_await RunOneJob(fleet, "00000000000000c3", ListProcesses(fleet)))
      co_return;
    fleet::JobSpec job;
    job.mId = kId;
    job.mQueue = "q";
    job.mService = "pool";
    job.mTerms = fleet::QueueTerms{};
    job.mStages.push_back({ .mCount = 1, .mMilliCores = 1000, .mLongRunning = true });
    const std::string value = fleet::EncodeMessage(job);
    co_await WriteKey(fleet, fleet::MakeJobKey(kId), value);
    co_await Sleep(seconds(2));
    auto response = co_await fleet.Call(2, http::verb::get, kJob, "");
    state = response ? response->body() : std::string();
  });
  CHECK(answer == http::status::gone);
  CHECK(state.find("cancelled") != std::string::npos);
  CHECK(fleet.GetPlatform().CountStarts() == 2);  // of the other jobs
}

// A team could keep others from using an id by cancelling it first.
TEST_CASE("an id that a team cancels is refused to other teams", "[entry]")
{
  asio::io_context context{ 1 };
  standin::FleetStandinOptions options;
  options.mTeams = { { "red", { "red-1" }, 0 }, { "blue", { "blue-1" }, 0 } };
  testing::EntryFleet fleet(context, options, std::vector<double>(3, 1.0), "entry-team-cancel");
  fleet.GetPlatform().RegisterJob(kId, { { 1, 1000, {} } }, "red");
  std::vector<http::status> answers;
  RunScript(context, [&]() -> Async<void> {
    for (const char* key : { "blue-1", "" }) {
      const std::string target = *key == '\0' ? std::string("/open/") + kId : kJob;
      answers.push_back(co_await Ask(fleet, 1, http::verb::delete_, target, key));
    }
    answers.push_back(co_await Ask(fleet, 0, http::verb::post, kJob, "red-1"));
    const TimePoint deadline = BootClock::now() + kMaxWait;
    while (fleet.GetPlatform().CountStarts() == 0 && BootClock::now() < deadline)
      co_await Sleep(milliseconds(50));
    answers.push_back(co_await Ask(fleet, 2, http::verb::delete_, kJob, "red-1"));
  });
  constexpr auto kGone = http::status::gone;
  constexpr auto kOk = http::status::ok;
  CHECK(answers == std::vector<http::status>{ kGone, kGone, kOk, kOk });
  CHECK(fleet.GetPlatform().CountStarts() == 1);
}
