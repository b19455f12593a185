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

std::optional<Duration> CallPacer::Take(TimePoint aNow, Duration aLongestWait)
{
  const TimePoint turn = std::max(mNextTurn, aNow - mBurst + mInterval);
  const Duration wait = std::max(turn - aNow, Duration::zero());
  if (wait > aLongestWait)
    return std::nullopt;
  mNextTurn = turn + mInterval;
  return wait;
}

void CallPacer::TakeNow(TimePoint aNow)
{
  mNextTurn = std::max(mNextTurn, aNow - mBurst + mInterval) + mInterval;
}

// ReadRetryBudget

ReadRetryBudget::ReadRetryBudget(double aPerCall, double aMax)
  : mPerCall(aPerCall)
  , mMax(aMax)
  , mLeft(aMax)
{
}

void ReadRetryBudget::Earn() noexcept
{
  mLeft = std::min(mLeft + mPerCall, mMax);
}

bool ReadRetryBudget::Spend() noexcept
{
  if (mLeft < 1)
    return false;
  mLeft -= 1;
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

// A session renewal that waits behind other calls may cost the lease: it takes its turn at once.
Async<Result<void>> StoreGuard::AwaitTurn(bool aWrite, CallPurpose aPurpose)
{
  std::optional<Duration> wait = Duration::zero();
  {
    std::lock_guard lock(mLock);
    CallPacer& pacer = aWrite ? mWrites : mReads;
    const TimePoint now = mSettings.mNow();
    if (aPurpose == CallPurpose::Session)
      pacer.TakeNow(now);
    else
      wait = pacer.Take(now, mSettings.mLongestWait);
    if (!wait)
      ++mCounts.mRefused;
    else
      ++mCounts.mCalls[static_cast<std::size_t>(aPurpose)];
    if (wait)
      mRetries.Earn();
  }
  if (!wait)
    co_return MakeFailure(FailureKind::BudgetExhausted, "no call to the store is left");
  if (*wait > Duration::zero())
    co_await mSettings.mSleep(*wait);
  co_return Result<void>();
}

void StoreGuard::NoteAnswer(std::optional<FailureKind> aFailure)
{
  std::lock_guard lock(mLock);
  const TimePoint now = mSettings.mNow();
  if (!aFailure || !IsStoreFailure(*aFailure)) {
    mHealth.mLastSuccess = now;
    mHealth.mOutSince.reset();
    return;
  }
  mHealth.mLastFailure = now;
  if (!mHealth.mOutSince)
    mHealth.mOutSince = now;
}

TimePoint StoreGuard::GetReadDeadline() const
{
  return mSettings.mNow() + mSettings.mReadDeadline;
}

Async<bool> StoreGuard::BackOff(int aTry, TimePoint aDeadline)
{
  Duration pause{};
  {
    std::lock_guard lock(mLock);
    const int doublings = std::min(aTry - 1, 20);
    const Duration longest =
      std::min(mSettings.mFirstBackOff * (1 << doublings), mSettings.mLongestBackOff);
    pause = std::chrono::duration_cast<Duration>(
      longest * std::uniform_real_distribution<double>(0, 1)(mRandom));
    if (mSettings.mNow() + pause >= aDeadline || !mRetries.Spend())
      co_return false;
    ++mCounts.mRetries;
  }
  co_await mSettings.mSleep(pause);
  co_return true;
}

StoreHealth StoreGuard::GetHealth() const
{
  std::lock_guard lock(mLock);
  StoreHealth health = mHealth;
  health.mReachable =
    !health.mOutSince || mSettings.mNow() - *health.mOutSince < mSettings.mOutAfter;
  return health;
}

StoreCounts StoreGuard::GetCounts() const
{
  std::lock_guard lock(mLock);
  return mCounts;
}

}  // namespace monsoon
