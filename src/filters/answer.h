// Answer: turns the outcome of a request into its HTTP response, which is either the endpoint's
// whole answer or a problem (application/problem+json) that names the outcome.
//
// Outcomes: none; this filter never decides a request.
#pragma once

#include "filters/context.h"
#include "observe/log.h"

namespace monsoon {

inline constexpr const char* kReplayedHeader = "Replayed";

// Returns the endpoint's status and body if the outcome is Answered, otherwise a problem made from
// aContext.mFailure. Moves the body out of aContext.
[[nodiscard]] HttpResponse MakeResponse(RequestContext& aContext);

template<class Environment>
struct AnswerFilter
{
  static constexpr std::array<FilterOutcome, 0> kOutcomes{};

  Environment mEnvironment;

  Async<FilterStep> Enter(RequestContext&) { co_return FilterStep::Next; }

  // This filter is entered first and so left last: the outcome is final here, whichever filter
  // decided it.
  Async<void> Leave(RequestContext& aContext)
  {
    Log(LogPart::Request,
        LogLevel::Info,
        "decided",
        { { "request", aContext.mSpec.mId },
          { "outcome", GetName(aContext.mMachine.GetOutcome()) },
          { "reason", aContext.mFailure ? GetName(aContext.mFailure->mKind) : "" },
          { "attempts", aContext.mAttempts },
          { "took_ms", BootClock::now() - aContext.mArrivedAt } });
    if (mEnvironment.mShared.mOnDecided)
      mEnvironment.mShared.mOnDecided(aContext);
    aContext.mResponse = MakeResponse(aContext);
    co_return;
  }
};

}  // namespace monsoon
