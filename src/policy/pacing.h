// Pacing: how fast fillers may work beside serving tasks. Load pattern: fillers and serving tasks
// share a worker because there is no room elsewhere, and the serving tasks' load comes and goes.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/time.h"

namespace monsoon {

inline constexpr std::uint32_t kFullPace = 100;  // percent

struct ServingTail  // of one serving task on the worker
{
  double mTail = 0;                             // relative to the target; 0: not known yet
  Duration mOverFor{};                          // how long it may have been over the target
  std::vector<std::optional<double>> mRises{};  // by each filler at full pace; empty: unknown
};

// Returns since when a serving task may be over its target without a break, zero if it is not.
// aOverSince: as returned before. aReadBefore: when its tail was read before. Readings are rough,
// so one just below the target proves nothing.
[[nodiscard]] TimePoint TrackOver(TimePoint aOverSince, double aTail, TimePoint aReadBefore);

// Returns the pace of each filler, given the present ones. aSettledFor: since when all tails
// reflect the present paces; negative: they don't yet. Fillers that disturb most are slowed first,
// only as far as needed; those of unknown effect step by step. As long as a serving task stays over
// its target, no filler works on that may be the cause.
[[nodiscard]] std::vector<std::uint32_t> ChoosePaces(std::span<const std::uint32_t> aPaces,
                                                     std::span<const ServingTail> aServing,
                                                     Duration aSettledFor);

}  // namespace monsoon
