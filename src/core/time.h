// Clock and durations that every deadline, lease and log line uses.
#pragma once

#include <chrono>

namespace monsoon {

// A clock that goes on while the VM is suspended (CLOCK_BOOTTIME): a frozen holder sees its lease
// lapse.
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using TimePoint =
  BootClock::time_point;  // comparable within one VM only; never sent to another process
using Duration = std::chrono::nanoseconds;  // what messages carry in place of time points
using std::chrono::milliseconds;
using std::chrono::seconds;

// Milliseconds since the Unix epoch, for logs and reports only: no decision may depend on it.
[[nodiscard]] std::int64_t ReadWallMillis() noexcept;

}  // namespace monsoon
