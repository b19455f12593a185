// Admission control: refuses at once a request that, by recent waiting times, can't start before
// its deadline.
//
// Outcomes: not_run (capacity_full, timeout).
#pragma once

#include "filters/context.h"

namespace monsoon {

template<class Environment>
struct AdmissionFilter
{
  static constexpr std::array kOutcomes{
    FilterOutcome{ Outcome::NotRun, FailureKind::CapacityFull },
    FilterOutcome{ Outcome::NotRun, FailureKind::Timeout },
  };

  Environment mEnvironment;

  Async<FilterStep> Enter(RequestContext& aContext)
  {
    const TimePoint now = BootClock::now();
    const Duration left = aContext.GetTimeLeft(now);
    if (left < mEnvironment.mSettings.mRetry.mMinTimeLeft)
      co_return StopRequest(aContext, FailureKind::Timeout, "the deadline has passed");
    if (!mEnvironment.mShared.MayStartInTime(aContext.mSpec.mPriority, left, now))
      co_return StopRequest(aContext,
                            FailureKind::CapacityFull,
                            "the request is not expected to start before its deadline");
    co_return FilterStep::Next;
  }

  Async<void> Leave(RequestContext&) { co_return; }
};

}  // namespace monsoon
