#include "policy/retry.h"

#include <algorithm>

namespace monsoon {

RetryBudget::RetryBudget(RetrySettings aSettings)
  : mSettings(aSettings)
  , mTokens(aSettings.mBurst)
{
}

void RetryBudget::RecordRequest()
{
  mTokens = std::min(mSettings.mBurst, mTokens + mSettings.mRatio);
}

bool RetryBudget::TakeRetry()
{
  if (mTokens < 1)
    return false;
  mTokens -= 1;
  return true;
}

double RetryBudget::GetTokens() const noexcept
{
  return mTokens;
}

AttemptEnd GetAttemptEnd(FailureKind aKind) noexcept
{
  const bool notRun =
    aKind == FailureKind::EndpointUnreachable || aKind == FailureKind::EndpointRefused;
  return notRun ? AttemptEnd::NotRun : AttemptEnd::MayHaveRun;
}

RetryDecision DecideRetry(const RetryContext& aContext, const RetrySettings& aSettings) noexcept
{
  if (aContext.mTimeLeft < aSettings.mMinTimeLeft || aContext.mAttempts >= aSettings.mMaxAttempts)
    return RetryDecision::Stop;
  if (aContext.mEnd == AttemptEnd::NotRun)
    return RetryDecision::Retry;
  return aContext.mRepeatable ? RetryDecision::RetryFromBudget : RetryDecision::Stop;
}

}  // namespace monsoon
