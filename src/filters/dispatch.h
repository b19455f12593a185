// Dispatch: sends the request to the endpoint of its grant and decides whether a failed attempt is
// retried. An attempt that the endpoint refused, or that could not reach it, did not run and is
// retried at another endpoint. After bytes were written without a whole answer, only a repeatable
// request is retried, within the retry budget and the deadline.
//
// Outcomes: answered; not_run (endpoint_unreachable, endpoint_refused, timeout); unknown
// (endpoint_unknown, timeout, budget_exhausted, endpoint_unreachable, endpoint_refused).
#pragma once

#include "filters/background.h"

namespace monsoon {

template<class Environment>
struct DispatchFilter
{
  static constexpr std::array kOutcomes{
    FilterOutcome{ Outcome::Answered, FailureKind::Internal },
    FilterOutcome{ Outcome::NotRun, FailureKind::EndpointUnreachable },
    FilterOutcome{ Outcome::NotRun, FailureKind::EndpointRefused },
    FilterOutcome{ Outcome::NotRun, FailureKind::Timeout },
    FilterOutcome{ Outcome::Unknown, FailureKind::EndpointUnreachable },
    FilterOutcome{ Outcome::Unknown, FailureKind::EndpointRefused },
    FilterOutcome{ Outcome::Unknown, FailureKind::EndpointUnknown },
    FilterOutcome{ Outcome::Unknown, FailureKind::Timeout },
    FilterOutcome{ Outcome::Unknown, FailureKind::BudgetExhausted },
  };

  Environment mEnvironment;

  Async<FilterStep> Enter(RequestContext& aContext)
  {
    const auto executor = co_await asio::this_coro::executor;
    const Grant grant = *aContext.mGrant;
    aContext.mGrant.reset();
    const Duration left = aContext.GetTimeLeft(BootClock::now());
    if (left < mEnvironment.mSettings.mRetry.mMinTimeLeft) {
      asio::co_spawn(executor, ReturnGrant(mEnvironment, grant, GrantEnd::Unused), asio::detached);
      co_return StopRequest(
        aContext, FailureKind::Timeout, "the deadline passed before the request was sent");
    }
    if (aContext.mAttempts == 0)
      aContext.mFirstSentAt = BootClock::now();
    ++aContext.mAttempts;
    aContext.mMachine.Send();
    auto answer = co_await mEnvironment.mWorkers.Run(grant.mWorker, aContext.mSpec, grant, left);
    const GrantEnd end = GetGrantEnd(answer);
    asio::co_spawn(executor, ReturnGrant(mEnvironment, grant, end), asio::detached);
    if (!answer)
      co_return co_await EndAttempt(aContext, answer.error());
    aContext.mMachine.Answer();
    aContext.mAnswer = std::move(*answer);
    co_return FilterStep::Done;
  }

  Async<void> Leave(RequestContext&) { co_return; }

private:
  static constexpr std::uint32_t kFirstServerError = 500;
  static constexpr Duration kRetryBackoff = milliseconds(2);  // multiplied by the attempts made

  static GrantEnd GetGrantEnd(const Result<RunAnswer>& aAnswer)
  {
    if (aAnswer)
      return aAnswer->mStatus >= kFirstServerError ? GrantEnd::Failed : GrantEnd::Answered;
    if (GetAttemptEnd(aAnswer.error().mKind) == AttemptEnd::NotRun)
      return GrantEnd::Refused;
    return aAnswer.error().mKind == FailureKind::Timeout ? GrantEnd::Unknown : GrantEnd::Broken;
  }

  // Decides on a retry after a failed attempt. Only EndpointUnreachable and EndpointRefused prove
  // that the attempt did not run; after any other failure it may have.
  Async<FilterStep> EndAttempt(RequestContext& aContext, Failure aFailure)
  {
    const AttemptEnd end = GetAttemptEnd(aFailure.mKind);
    if (end == AttemptEnd::NotRun)
      aContext.mMachine.RefuseAttempt();
    else
      aContext.mMachine.BreakAttempt();
    const RetryContext retryContext{ .mEnd = end,
                                     .mRepeatable = aContext.mSpec.mRepeatable,
                                     .mAttempts = aContext.mAttempts,
                                     .mTimeLeft = aContext.GetTimeLeft(BootClock::now()) };
    const RetryDecision decision = DecideRetry(retryContext, mEnvironment.mSettings.mRetry);
    if (decision == RetryDecision::Stop)
      co_return StopRequest(aContext, GetReportedKind(aFailure.mKind), aFailure.mDetail);
    if (decision == RetryDecision::RetryFromBudget && !mEnvironment.mShared.TakeRetry())
      co_return StopRequest(aContext, FailureKind::BudgetExhausted, aFailure.mDetail);
    co_await Sleep(std::min<Duration>(kRetryBackoff * aContext.mAttempts, retryContext.mTimeLeft));
    co_return FilterStep::NewAttempt;
  }

  // Maps failures that are not in kOutcomes to EndpointUnknown.
  static FailureKind GetReportedKind(FailureKind aKind)
  {
    const bool known = GetAttemptEnd(aKind) == AttemptEnd::NotRun || aKind == FailureKind::Timeout;
    return known ? aKind : FailureKind::EndpointUnknown;
  }
};

}  // namespace monsoon
