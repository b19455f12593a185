// The clock and the duration types for deadlines, leases and measurements.
#pragma once

#include <chrono>

namespace monsoon {

// A clock that keeps running while the VM is suspended (CLOCK_BOOTTIME), so that a resumed holder
// sees that its lease has expired.
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;  // valid within one VM only; never sent to another process
using Duration = std::chrono::nanoseconds;  // messages carry durations instead of time points
using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the milliseconds since the Unix epoch. For logs and reports only: no decision may depend
// on the wall clock.
[[nodiscard]] std::int64_t ReadWallMillis() noexcept;

}  // namespace monsoon
