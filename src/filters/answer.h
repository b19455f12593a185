// Answer: turns the outcome into HTTP. A whole body, or a problem that names the outcome.
// Outcomes: none of its own.
#pragma once

#include "filters/context.h"
#include "observe/log.h"

namespace monsoon {

inline constexpr const char* kReplayedHeader = "Replayed";

// Answered: the endpoint's status and body. Else: the problem of aContext.mFailure.
[[nodiscard]] HttpResponse MakeAnswer(RequestContext& aContext);

template<class Environment>
struct AnswerFilter
{
  static constexpr std::array<FilterOutcome, 0> kOutcomes{};

  Environment mEnvironment;

  Async<FilterStep> Enter(RequestContext&) { co_return FilterStep::Next; }

  // Entered first and so left last: whatever decides the request, it is answered here.
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
    aContext.mResponse = MakeAnswer(aContext);
    co_return;
  }
};

}  // namespace monsoon
