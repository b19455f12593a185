// A Store around a Store: bounds the call rate below the platform's, retries reads under a budget,
// counts calls by purpose, and knows whether the store answers. Writes are never retried here: only
// their caller can settle one in doubt. Safe to use from several threads.
//
// Index
//   Settings
//   CallPacer     rate bound
//   ReadRetryBudget   retries in proportion to calls
//   StoreHealth   whether the store answers
//   GuardedStore
#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <random>

#include "core/concepts.h"

namespace monsoon {

// Settings
struct GuardSettings
{
  double mReadsPerSecond = 200;         // this process's share of the platform's rate
  double mWritesPerSecond = 30;         // this process's share of the platform's rate
  Duration mBurst = seconds(1);         // calls of so long may come at once after a pause
  Duration mMaxWait = seconds(2);       // for a call's turn; above: BudgetExhausted, nothing sent
  Duration mReadDeadline = seconds(5);  // of a read with its retries
  Duration mInitialBackoff = milliseconds(20);
  Duration mMaxBackoff = seconds(1);
  double mRetriesPerCall = 0.1;             // earned by each call,
  double mMaxRetries = 20;                  // saved up to this many
  Duration mUnreachableAfter = seconds(1);  // failures for so long, without a success: unreachable
  std::uint64_t mSeed = 1;                  // of the jitter; differs between processes
  std::function<TimePoint()> mNow = &BootClock::now;
  std::function<Async<void>(Duration)> mSleep = [](Duration aDelay) { return Sleep(aDelay); };
};

// CallPacer: token bucket that hands out turns in order. Not locked.
class CallPacer
{
public:
  CallPacer(double aPerSecond, Duration aBurst);
  // How long the caller must wait for its turn; nothing if that is above aMaxWait.
  std::optional<Duration> Reserve(TimePoint aNow, Duration aMaxWait);
  void ReserveNow(TimePoint aNow);  // a call that can't wait; later ones wait longer for it

private:
  Duration mInterval;  // between two calls at the full rate
  Duration mBurst;
  TimePoint mNextTurn{};  // when the bucket would be empty; in the past: saved turns
};

// ReadRetryBudget: retries can't multiply an outage's load. Not locked.
class ReadRetryBudget
{
public:
  ReadRetryBudget(double aPerCall, double aMax);
  void Earn() noexcept;
  bool Spend() noexcept;  // false: no retry now

private:
  double mPerCall;
  double mMax;
  double mAvailable;
};

// StoreHealth
struct StoreHealth
{
  bool mReachable = true;
  TimePoint mLastSuccess{};  // any answer that the store itself gave
  TimePoint mLastFailure{};
  std::optional<TimePoint> mFailingSince = std::nullopt;  // first failure after the last success
};

struct StoreCounts  // calls sent to the store
{
  std::array<std::uint64_t, kCallPurposes> mCalls{};
  std::uint64_t mRetries = 0;
  std::uint64_t mRefused = 0;  // by the rate bound, not sent
};

// Which failures say that the store did not answer.
[[nodiscard]] bool IsStoreFailure(FailureKind aKind) noexcept;

// Everything of GuardedStore that does not depend on the store's type.
class StoreGuard
{
public:
  explicit StoreGuard(GuardSettings aSettings);

  Async<Result<void>> AwaitTurn(bool aWrite, CallPurpose aPurpose);  // counts the call
  void RecordResult(std::optional<FailureKind> aFailure);
  // Waits before a retry; false: give up.
  Async<bool> BackOff(int aAttempt, TimePoint aDeadline);
  [[nodiscard]] TimePoint GetReadDeadline() const;

  [[nodiscard]] StoreHealth GetHealth() const;
  [[nodiscard]] StoreCounts GetCounts() const;

private:
  GuardSettings mSettings;
  mutable std::mutex mMutex{};
  CallPacer mReads;
  CallPacer mWrites;
  ReadRetryBudget mRetries;
  StoreHealth mHealth{};
  StoreCounts mCounts{};
  std::mt19937_64 mRandom;
};

// GuardedStore
template<Store S>
class GuardedStore
{
public:
  explicit GuardedStore(S& aStore, GuardSettings aSettings = {})
    : mStore(aStore)
    , mGuard(std::move(aSettings))
  {
  }

  // Store
  Async<Result<std::optional<StoreValue>>> Get(std::string aKey, CallPurpose aPurpose)
  {
    auto call = [&] { return mStore.Get(aKey, aPurpose); };
    co_return co_await ReadWithRetries<std::optional<StoreValue>>(call, aPurpose);
  }

  Async<Result<std::vector<StoreValue>>> List(std::string aPrefix,
                                              std::string aAfter,
                                              std::size_t aLimit,
                                              CallPurpose aPurpose)
  {
    auto call = [&] { return mStore.List(aPrefix, aAfter, aLimit, aPurpose); };
    co_return co_await ReadWithRetries<std::vector<StoreValue>>(call, aPurpose);
  }

  Async<Result<std::uint64_t>> Create(std::string aKey, std::string aValue, CallPurpose aPurpose)
  {
    auto call = [&] { return mStore.Create(std::move(aKey), std::move(aValue), aPurpose); };
    co_return co_await CallOnce<std::uint64_t>(call, true, aPurpose);
  }

  Async<Result<std::uint64_t>> CompareAndSwap(std::string aKey,
                                              std::string aValue,
                                              std::uint64_t aRevision,
                                              CallPurpose aPurpose)
  {
    auto call = [&] {
      return mStore.CompareAndSwap(std::move(aKey), std::move(aValue), aRevision, aPurpose);
    };
    co_return co_await CallOnce<std::uint64_t>(call, true, aPurpose);
  }

  Async<Result<void>> Delete(std::string aKey, std::uint64_t aRevision, CallPurpose aPurpose)
  {
    auto call = [&] { return mStore.Delete(std::move(aKey), aRevision, aPurpose); };
    co_return co_await CallOnce<void>(call, true, aPurpose);
  }

  Async<Result<WatchBatch>> Watch(std::string aPrefix, std::uint64_t aAfter, Duration aWait)
  {
    auto call = [&] { return mStore.Watch(std::move(aPrefix), aAfter, aWait); };
    co_return co_await CallOnce<WatchBatch>(call, false, CallPurpose::Watch);
  }

  // VmList, when the store is one too
  Async<Result<std::vector<WorkerSpec>>> ListWorkers() requires VmList<S>
  {
    auto call = [&] { return mStore.ListWorkers(); };
    co_return co_await ReadWithRetries<std::vector<WorkerSpec>>(call, CallPurpose::Vms);
  }

  // Reading of state
  [[nodiscard]] bool IsReachable() const { return mGuard.GetHealth().mReachable; }
  [[nodiscard]] StoreHealth GetHealth() const { return mGuard.GetHealth(); }
  [[nodiscard]] StoreCounts GetCounts() const { return mGuard.GetCounts(); }

private:
  template<class T, class F>
  Async<Result<T>> CallOnce(F& aCall, bool aWrite, CallPurpose aPurpose)
  {
    auto turn = co_await mGuard.AwaitTurn(aWrite, aPurpose);
    if (!turn)
      co_return turn.error();
    Result<T> result = co_await aCall();
    if (result.has_value())
      mGuard.RecordResult(std::nullopt);
    else
      mGuard.RecordResult(result.error().mKind);
    co_return result;
  }

  template<class T, class F>
  Async<Result<T>> ReadWithRetries(F& aCall, CallPurpose aPurpose)
  {
    const TimePoint deadline = mGuard.GetReadDeadline();
    for (int n = 1;; ++n) {
      Result<T> result = co_await CallOnce<T>(aCall, false, aPurpose);
      if (result.has_value() || !IsStoreFailure(result.error().mKind))
        co_return result;
      const bool retry = co_await mGuard.BackOff(n, deadline);
      if (!retry)
        co_return result;
    }
  }

  S& mStore;
  StoreGuard mGuard;
};

}  // namespace monsoon
