#include "core/time.h"

#include <ctime>

namespace monsoon {

BootClock::time_point BootClock::now() noexcept
{
  timespec ts{};
  // std::chrono::steady_clock (CLOCK_MONOTONIC) would stop while the VM is suspended.
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

std::int64_t ReadWallMillis() noexcept
{
  using namespace std::chrono;
  return duration_cast<std::chrono::milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace monsoon
