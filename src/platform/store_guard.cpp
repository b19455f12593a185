#include "platform/store_guard.h"

#include <algorithm>

namespace monsoon {

// CallPacer

CallPacer::CallPacer(double aPerSecond, Duration aBurst)
  : mInterval(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / std::max(aPerSecond, 0.001))))
  , mBurst(std::max(aBurst, mInterval))
{
}

std::optional<Duration> CallPacer::Reserve(TimePoint aNow, Duration aMaxWait)
{
  const TimePoint turn = std::max(mNextTurn, aNow - mBurst + mInterval);
  const Duration wait = std::max(turn - aNow, Duration::zero());
  if (wait > aMaxWait)
    return std::nullopt;
  mNextTurn = turn + mInterval;
  return wait;
}

void CallPacer::ReserveNow(TimePoint aNow)
{
  mNextTurn = std::max(mNextTurn, aNow - mBurst + mInterval) + mInterval;
}

// ReadRetryBudget

ReadRetryBudget::ReadRetryBudget(double aPerCall, double aMax)
  : mPerCall(aPerCall)
  , mMax(aMax)
  , mAvailable(aMax)
{
}

void ReadRetryBudget::Earn() noexcept
{
  mAvailable = std::min(mAvailable + mPerCall, mMax);
}

bool ReadRetryBudget::Spend() noexcept
{
  if (mAvailable < 1)
    return false;
  mAvailable -= 1;
  return true;
}

// StoreGuard

bool IsStoreFailure(FailureKind aKind) noexcept
{
  return aKind == FailureKind::StoreUnavailable || aKind == FailureKind::WriteUnknown ||
         aKind == FailureKind::Timeout;
}

StoreGuard::StoreGuard(GuardSettings aSettings)
  : mSettings(std::move(aSettings))
  , mReads(mSettings.mReadsPerSecond, mSettings.mBurst)
  , mWrites(mSettings.mWritesPerSecond, mSettings.mBurst)
  , mRetries(mSettings.mRetriesPerCall, mSettings.mMaxRetries)
  , mRandom(mSettings.mSeed)
{
}

// A session's renewals are never held back, because the lease could expire while they wait.
Async<Result<void>> StoreGuard::AwaitTurn(bool aWrite, CallPurpose aPurpose)
{
  std::optional<Duration> wait = Duration::zero();
  {
    std::lock_guard lock(mMutex);
    CallPacer& pacer = aWrite ? mWrites : mReads;
    const TimePoint now = mSettings.mNow();
    if (aPurpose == CallPurpose::Session)
      pacer.ReserveNow(now);
    else
      wait = pacer.Reserve(now, mSettings.mMaxWait);
    if (!wait)
      ++mCounts.mRefused;
    else
      ++mCounts.mCalls[static_cast<std::size_t>(aPurpose)];
    if (wait)
      mRetries.Earn();
  }
  if (!wait)
    co_return MakeFailure(FailureKind::BudgetExhausted,
                          "the rate limit of calls to the store is exhausted");
  if (*wait > Duration::zero())
    co_await mSettings.mSleep(*wait);
  co_return Result<void>();
}

void StoreGuard::RecordResult(std::optional<FailureKind> aFailure)
{
  std::lock_guard lock(mMutex);
  const TimePoint now = mSettings.mNow();
  if (!aFailure || !IsStoreFailure(*aFailure)) {
    mHealth.mLastSuccess = now;
    mHealth.mFailingSince.reset();
    return;
  }
  mHealth.mLastFailure = now;
  if (!mHealth.mFailingSince)
    mHealth.mFailingSince = now;
}

TimePoint StoreGuard::GetReadDeadline() const
{
  return mSettings.mNow() + mSettings.mReadDeadline;
}

Async<bool> StoreGuard::BackOff(int aAttempt, TimePoint aDeadline)
{
  Duration backoff{};
  {
    std::lock_guard lock(mMutex);
    const int doublings = std::min(aAttempt - 1, 20);
    const Duration maxBackoff =
      std::min(mSettings.mInitialBackoff * (1 << doublings), mSettings.mMaxBackoff);
    backoff = std::chrono::duration_cast<Duration>(
      maxBackoff * std::uniform_real_distribution<double>(0, 1)(mRandom));
    if (mSettings.mNow() + backoff >= aDeadline || !mRetries.Spend())
      co_return false;
    ++mCounts.mRetries;
  }
  co_await mSettings.mSleep(backoff);
  co_return true;
}

StoreHealth StoreGuard::GetHealth() const
{
  std::lock_guard lock(mMutex);
  StoreHealth health = mHealth;
  health.mReachable =
    !health.mFailingSince || mSettings.mNow() - *health.mFailingSince < mSettings.mUnreachableAfter;
  return health;
}

StoreCounts StoreGuard::GetCounts() const
{
  std::lock_guard lock(mMutex);
  return mCounts;
}

}  // namespace monsoon
