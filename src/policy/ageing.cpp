#include "policy/ageing.h"

namespace monsoon {

Duration GetClassDelay(Priority aPriority) noexcept
{
  switch (aPriority) {
    case Priority::Urgent:
      return Duration::zero();
    case Priority::Normal:
      return kNormalDelay;
    case Priority::Low:
      return kLowDelay;
  }
  return kLowDelay;
}

TimePoint ComputeDue(TimePoint aSince, Priority aPriority, bool aBorrows) noexcept
{
  return aSince + GetClassDelay(aPriority) + (aBorrows ? kBorrowDelay : Duration::zero());
}

bool MayBackfill(const BlockedJob& aBlocked,
                 TimePoint aDue,
                 Duration aExpectedRun,
                 bool aAccelerated,
                 TimePoint aNow) noexcept
{
  const Duration waited = aNow - aBlocked.mSince;
  if (waited < kReserveAfter || aDue < aBlocked.mDue)
    return true;
  // Accelerator VMs are given to others last, so these hardly compete.
  if (aBlocked.mAccelerated && !aAccelerated)
    return true;
  // Declared run times are far off: only what is short against the wait so far counts as short.
  return aExpectedRun <= waited / 4;
}

}  // namespace monsoon
