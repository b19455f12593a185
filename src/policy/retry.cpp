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

RetryAnswer DecideRetry(const RetryQuestion& aQuestion, const RetrySettings& aSettings) noexcept
{
  if (aQuestion.mTimeLeft < aSettings.mLeastTime || aQuestion.mAttempts >= aSettings.mMaxAttempts)
    return RetryAnswer::Stop;
  if (aQuestion.mEnd == AttemptEnd::NotRun)
    return RetryAnswer::Retry;
  return aQuestion.mRepeatable ? RetryAnswer::RetryFromBudget : RetryAnswer::Stop;
}

}  // namespace monsoon
