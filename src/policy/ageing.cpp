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
  // Placement uses accelerator VMs last for jobs that need no accelerator, so such a job rarely
  // takes capacity that the blocked job needs.
  if (aBlocked.mAccelerated && !aAccelerated)
    return true;
  // Declared run times can be far off, so a job counts as short only relative to the time that the
  // blocked job has waited.
  return aExpectedRun <= waited / 4;
}

}  // namespace monsoon
