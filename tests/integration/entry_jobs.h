// Calls of a script to a fleet of entry processes: a job of one task, and who schedules.
#pragma once

#include "tests/integration/entry_fleet.h"

namespace monsoon::testing {

inline constexpr const char* kOneTask =
  R"({"spec":"ms=50","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":50}]})";
inline constexpr Duration kMaxWait = seconds(15);  // a fleet starts slowly on a busy machine

// Runs a script, and the context until it has ended.
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

// Submits a job of one task, trying aProcesses in turn, and polls its state until it is completed.
// Returns false after kMaxWait.
inline Async<bool> RunOneJob(EntryFleet& aFleet,
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

// Lists all processes of the fleet except aExcept.
inline std::vector<std::size_t> ListProcesses(const EntryFleet& aFleet,
                                              std::size_t aExcept = SIZE_MAX)
{
  std::vector<std::size_t> processes;
  for (std::size_t n = 0; n < aFleet.Count(); ++n)
    if (n != aExcept)
      processes.push_back(n);
  return processes;
}

// Returns the process whose log shows the highest epoch as holder; aFleet.Count() if there is none.
inline std::size_t FindHolder(const EntryFleet& aFleet)
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

}  // namespace monsoon::testing
