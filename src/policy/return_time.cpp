#include "policy/return_time.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr std::uint32_t kMinReturn = 2;        // s; a shorter outage is over before most returns
constexpr std::uint32_t kMaxReturn = 8;        // s
constexpr std::size_t kReturnsPerSecond = 10;  // of one process, that do not crowd each other

}  // namespace

// An outage of unknown length is most likely to go on for as long as it has lasted.
std::uint32_t ChooseRetryAfter(const OutageView& aOutage, double aDraw) noexcept
{
  if (aOutage.mAreOthersServed)
    return 0;
  const auto lasted = std::chrono::ceil<std::chrono::seconds>(aOutage.mLasted).count();
  const std::uint32_t wait =
    static_cast<std::uint32_t>(std::clamp<std::int64_t>(lasted, kMinReturn, kMaxReturn));
  // All who are refused during the wait return; they are spread over as many seconds as they need.
  const std::size_t crowd = aOutage.mRefusedLately * wait / kReturnsPerSecond;
  const auto spread = std::min<std::uint32_t>(static_cast<std::uint32_t>(crowd), wait);
  return wait + static_cast<std::uint32_t>(aDraw * (spread + 1));
}

}  // namespace monsoon
