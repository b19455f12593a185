// Order among waiting jobs. Each job has a due time that never changes while it waits: classes and
// quotas only delay it, so whatever waits long enough comes first and nothing starves.
#pragma once

#include "core/model.h"

namespace monsoon {

inline constexpr Duration kNormalDelay = seconds(30);   // how long Urgent goes before Normal
inline constexpr Duration kLowDelay = seconds(120);     // how long Urgent goes before Low
inline constexpr Duration kBorrowDelay = seconds(60);   // for teams above their guarantee
inline constexpr Duration kReserveAfter = seconds(30);  // a blocked job then stops long backfill

[[nodiscard]] Duration GetClassDelay(Priority aPriority) noexcept;
[[nodiscard]] TimePoint ComputeDue(TimePoint aSince, Priority aPriority, bool aBorrows) noexcept;

// A job that found no room, first in order of those that did not.
struct BlockedJob
{
  TimePoint mSince{};         // since when it waits
  TimePoint mDue{};           // its place in the order
  bool mAccelerated = false;  // it waits for accelerators
};

// Whether a job later in the order may take room now. Short work may always; long work would keep
// the blocked job waiting for ever on a busy fleet.
[[nodiscard]] bool MayBackfill(const BlockedJob& aBlocked,
                               TimePoint aDue,
                               Duration aExpectedRun,
                               bool aAccelerated,
                               TimePoint aNow) noexcept;

}  // namespace monsoon
