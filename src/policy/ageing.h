// Order of waiting jobs. Jobs are sorted by a due time that stays fixed while they wait. A lower
// priority class or a team above its quota only moves the due time later, so every job eventually
// comes first and none starves.
#pragma once

#include "core/model.h"

namespace monsoon {

inline constexpr Duration kNormalDelay = seconds(30);   // added to the due time of Normal jobs
inline constexpr Duration kLowDelay = seconds(120);     // added to the due time of Low jobs
inline constexpr Duration kBorrowDelay = seconds(60);   // added for teams above their guarantee
inline constexpr Duration kReserveAfter = seconds(30);  // blocked for longer: see MayBackfill

[[nodiscard]] Duration GetClassDelay(Priority aPriority) noexcept;
[[nodiscard]] TimePoint ComputeDue(TimePoint aSince, Priority aPriority, bool aBorrows) noexcept;

// The first job in due order for which no worker has enough free capacity.
struct BlockedJob
{
  TimePoint mSince{};         // when it began to wait
  TimePoint mDue{};           // see ComputeDue
  bool mAccelerated = false;  // it needs accelerators
};

// Returns whether another job may take free capacity now although aBlocked waits. Short jobs always
// may. Long jobs may not once aBlocked has waited for kReserveAfter, unless they are due earlier or
// hardly compete with it: on a busy fleet they would keep the blocked job waiting forever.
[[nodiscard]] bool MayBackfill(const BlockedJob& aBlocked,
                               TimePoint aDue,
                               Duration aExpectedRun,
                               bool aAccelerated,
                               TimePoint aNow) noexcept;

}  // namespace monsoon
