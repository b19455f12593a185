// Limits: refuses requests while this process is draining or not ready, and requests above
// the in-flight limits of the process or of their caller.
//
// Outcomes: not_run (draining, not_ready, rate_limited, bad_input).
#pragma once

#include "filters/context.h"

namespace monsoon {

template<class Environment>
struct LimitsFilter
{
  static constexpr std::array kOutcomes{
    FilterOutcome{ Outcome::NotRun, FailureKind::Draining },
    FilterOutcome{ Outcome::NotRun, FailureKind::NotReady },
    FilterOutcome{ Outcome::NotRun, FailureKind::RateLimited },
    FilterOutcome{ Outcome::NotRun, FailureKind::BadInput },
  };

  Environment mEnvironment;
  bool mBegun = false;  // counted as in flight

  Async<FilterStep> Enter(RequestContext& aContext)
  {
    RequestShared& shared = mEnvironment.mShared;
    const RequestSpec& spec = aContext.mSpec;
    if (!spec.mRepeatable && spec.mIdempotencyKey.empty())
      co_return StopRequest(
        aContext, FailureKind::BadInput, "a request with Repeatable: no needs an Idempotency-Key");
    if (shared.mDraining)
      co_return StopRequest(aContext, FailureKind::Draining, "this process is stopping");
    if (!mEnvironment.mConfiguration.IsConfirmed())
      co_return StopRequest(aContext, FailureKind::NotReady, "configuration is not confirmed");
    mBegun = shared.BeginRequest(spec.mCaller);
    if (!mBegun)
      co_return StopRequest(aContext, FailureKind::RateLimited, "too many requests in flight");
    co_return FilterStep::Next;
  }

  Async<void> Leave(RequestContext& aContext)
  {
    if (mBegun)
      mEnvironment.mShared.EndRequest(aContext.mSpec.mCaller);
    co_return;
  }
};

}  // namespace monsoon
