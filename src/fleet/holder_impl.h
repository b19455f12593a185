// Internal to holder*.cpp.
#pragma once

#include <exception>

#include "fleet/holder.h"
#include "observe/log.h"

namespace monsoon::fleet {

using platform::StoreItem;
using platform::StoreTransaction;

inline constexpr Duration kOutageGrace = seconds(5);  // orders go on so long past the last renewal
inline constexpr Duration kPlanInterval = milliseconds(50);  // without anything new
// Members notice within this that the holder is silent.
inline constexpr Duration kPollWait = milliseconds(400);
inline constexpr Duration kMemberAge = seconds(3);  // of its last poll; then it may be gone

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
          "a task of the holder failed",
          { { "what", error.what() } });
    }
  });
}

}  // namespace monsoon::fleet
