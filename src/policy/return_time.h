// When callers whose requests the store could not serve are to return. Answers this load: the store
// is away for seconds while callers arrive as before. Each has a few tries and one time budget for
// all of them. Whoever returns too early uses up his tries, and those who return together meet.
// Performs no I/O and draws no numbers; the draw is passed in.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace monsoon {

struct OutageView
{
  Duration mLasted{};              // since calls to the store began to fail
  bool mAreOthersServed = false;   // the store serves other processes: a caller may go there now
  std::size_t mRefusedLately = 0;  // requests that this process refused in the last second
};

// Returns the Retry-After of a refusal, in seconds. aDraw: uniform in [0, 1).
[[nodiscard]] std::uint32_t ChooseRetryAfter(const OutageView& aOutage, double aDraw) noexcept;

}  // namespace monsoon
