// Decides whether a request whose attempt failed without a response may be retried.
#pragma once

#include "core/errors.h"
#include "core/time.h"

namespace monsoon {

struct RetrySettings
{
  double mRatio = 0.1;                      // retries allowed per request, on average
  double mBurst = 10;                       // maximum of saved retries
  std::uint32_t mMaxAttempts = 8;           // of one request, refused ones included
  Duration mMinTimeLeft = milliseconds(5);  // no attempt begins with less time left
};

// Token bucket: each request adds mRatio tokens and each retry takes one. Without this limit,
// retries would multiply the load on a fleet that already fails.
class RetryBudget
{
public:
  explicit RetryBudget(RetrySettings aSettings = {});

  void RecordRequest();
  [[nodiscard]] bool TakeRetry();  // false: the budget is spent
  [[nodiscard]] double GetTokens() const noexcept;

private:
  RetrySettings mSettings;
  double mTokens = 0;
};

enum class AttemptEnd : std::uint8_t  // of an attempt that ended without a response
{
  NotRun,     // no byte was written, or the endpoint refused
  MayHaveRun  // bytes were written
};

struct RetryContext
{
  AttemptEnd mEnd = AttemptEnd::NotRun;
  bool mRepeatable = true;
  std::uint32_t mAttempts = 1;  // begun so far
  Duration mTimeLeft{};
};

enum class RetryDecision : std::uint8_t
{
  Retry,            // the request did not run, so the budget is not charged
  RetryFromBudget,  // only if RetryBudget::TakeRetry returns true
  Stop
};

// aKind: the failure of a call to an endpoint.
[[nodiscard]] AttemptEnd GetAttemptEnd(FailureKind aKind) noexcept;
[[nodiscard]] RetryDecision DecideRetry(const RetryContext& aContext,
                                        const RetrySettings& aSettings) noexcept;

}  // namespace monsoon
