// Internal to holder*.cpp.
#pragma once

#include <exception>

#include "fleet/holder.h"
#include "observe/log.h"

namespace monsoon::fleet {

using platform::StoreItem;
using platform::StoreTransaction;

// How long a holder may send orders after the last renewal of its lease.
inline constexpr Duration kOutageGrace = seconds(5);
// The same for starts where workers don't check fencing tokens. A successor that gets no answer
// from its predecessor then always waits for this to end.
inline constexpr Duration kUncheckedGrace = milliseconds(1200);
// A start order that reaches its worker later than this is refused by the worker.
inline constexpr milliseconds kStartValidity = milliseconds(800);
// From the sending of a start order to the last moment at which it may take effect: a worker's
// clock may be slower by 2 %, and the estimate of it is as old as the last answer.
inline constexpr Duration kStartEffect = kStartValidity + milliseconds(150);
inline constexpr Duration kQuiet = seconds(60);  // longer than any order takes effect
inline constexpr Duration kRetryStore = milliseconds(100);
inline constexpr Duration kPlanInterval = milliseconds(50);  // while no event wakes the planner
// Longest time that the holder keeps a member's poll open; a member detects an unresponsive holder
// by a late answer.
inline constexpr Duration kLoadInterval = milliseconds(250);  // between summaries of the load
inline constexpr Duration kPollWait = milliseconds(400);
inline constexpr Duration kMemberAge = seconds(3);  // since its last poll; then it may be down

template<class F>
void Spawn(asio::io_context& aContext, F&& aCoroutine)
{
  asio::co_spawn(aContext, std::forward<F>(aCoroutine), [](const std::exception_ptr& aError) {
    if (!aError)
      return;
    try {
      std::rethrow_exception(aError);
    } catch (const std::exception& error) {
      Log(LogPart::Process,
          LogLevel::Error,
          "a coroutine of the holder failed",
          { { "what", error.what() } });
    }
  });
}

}  // namespace monsoon::fleet
