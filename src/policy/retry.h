// Whether a request that got no answer may be tried again. Pure.
#pragma once

#include "core/errors.h"
#include "core/time.h"

namespace monsoon {

struct RetrySettings
{
  double mRatio = 0.1;                      // retries per request, over time
  double mBurst = 10;                       // retries kept in store
  std::uint32_t mMaxAttempts = 8;           // of one request, refusals included
  Duration mMinTimeLeft = milliseconds(5);  // no attempt is begun with less time left
};

// Token bucket: each request pays in a share of a retry, each retry takes one out. Without it
// retries would multiply the load of a fleet that is failing already.
class RetryBudget
{
public:
  explicit RetryBudget(RetrySettings aSettings = {});

  void RecordRequest();
  [[nodiscard]] bool TakeRetry();  // false: spent
  [[nodiscard]] double GetTokens() const noexcept;

private:
  RetrySettings mSettings;
  double mTokens = 0;
};

enum class AttemptEnd : std::uint8_t  // how an attempt ended without an answer
{
  NotRun,     // no byte was written, or the endpoint refused
  MayHaveRun  // bytes were written
};

struct RetryContext
{
  AttemptEnd mEnd = AttemptEnd::NotRun;
  bool mRepeatable = true;
  std::uint32_t mAttempts = 1;  // made so far
  Duration mTimeLeft{};
};

enum class RetryDecision : std::uint8_t
{
  Retry,            // costs nothing of the budget: it did not run
  RetryFromBudget,  // only if RetryBudget::TakeRetry agrees
  Stop
};

[[nodiscard]] AttemptEnd GetAttemptEnd(FailureKind aKind) noexcept;  // of a call to an endpoint
[[nodiscard]] RetryDecision DecideRetry(const RetryContext& aContext,
                                        const RetrySettings& aSettings) noexcept;

}  // namespace monsoon
