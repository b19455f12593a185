// Wrapper around a Store that keeps the call rate below the platform's limit, retries reads within
// a retry budget, counts calls by purpose, and tracks whether the store is reachable. It never
// retries writes: only the caller can find out whether a write with unknown result took effect.
// Thread-safe.
//
// Index
//   Settings
//   CallPacer         rate limit
//   ReadRetryBudget   limits retries to a fraction of calls
//   StoreHealth       whether the store is reachable
//   GuardedStore      the wrapper
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
  double mReadsPerSecond = 200;         // this process's share of the platform's limit
  double mWritesPerSecond = 30;         // this process's share of the platform's limit
  Duration mBurst = seconds(1);         // after a pause, calls worth this time may start at once
  Duration mMaxWait = seconds(2);       // of a held-back call; longer: BudgetExhausted, not sent
  Duration mReadDeadline = seconds(5);  // of a read including its retries
  Duration mInitialBackoff = milliseconds(20);  // upper bound of the first random backoff,
  Duration mMaxBackoff = seconds(1);            // doubled per attempt up to this
  double mRetriesPerCall = 0.1;                 // added to the retry budget by each call,
  double mMaxRetries = 20;                      // up to this many
  Duration mUnreachableAfter = seconds(1);      // failures without a success for this long
  std::uint64_t mSeed = 1;  // of the backoff's jitter; differs between processes
  std::function<TimePoint()> mNow = &BootClock::now;
  std::function<Async<void>(Duration)> mSleep = [](Duration aDelay) { return Sleep(aDelay); };
};

// CallPacer: token bucket that assigns each call its time to start, in order. Not thread-safe.
class CallPacer
{
public:
  CallPacer(double aPerSecond, Duration aBurst);
  // Reserves the next turn and returns the wait until then. Returns std::nullopt, and reserves
  // nothing, if the wait exceeds aMaxWait.
  std::optional<Duration> Reserve(TimePoint aNow, Duration aMaxWait);
  // Reserves a turn for a call that is sent at once; later calls wait longer instead.
  void ReserveNow(TimePoint aNow);

private:
  Duration mInterval;  // between two calls at the full rate
  Duration mBurst;
  TimePoint mNextTurn{};  // start of the next call; time in the past is saved for a burst
};

// ReadRetryBudget: keeps retries from multiplying the load during an outage. Not thread-safe.
class ReadRetryBudget
{
public:
  ReadRetryBudget(double aPerCall, double aMax);
  void Earn() noexcept;   // adds the share of one call
  bool Spend() noexcept;  // takes one retry; false: the budget is exhausted

private:
  double mPerCall;
  double mMax;
  double mAvailable;  // retries
};

// StoreHealth
struct StoreHealth
{
  bool mReachable = true;
  TimePoint mLastSuccess{};  // last answer of the store, including refusals
  TimePoint mLastFailure{};
  std::optional<TimePoint> mFailingSince = std::nullopt;  // first failure after the last success
};

struct StoreCounts
{
  std::array<std::uint64_t, kCallPurposes> mCalls{};  // sent to the store, retries included
  std::uint64_t mRetries = 0;
  std::uint64_t mRefused = 0;  // by the rate limit, not sent
};

// Returns whether this failure of a call counts against the store's reachability.
[[nodiscard]] bool IsStoreFailure(FailureKind aKind) noexcept;

// The part of GuardedStore that does not depend on the store's type.
class StoreGuard
{
public:
  explicit StoreGuard(GuardSettings aSettings);

  // Waits until the rate limit allows the call, and counts it.
  Async<Result<void>> AwaitTurn(bool aWrite, CallPurpose aPurpose);
  void RecordResult(std::optional<FailureKind> aFailure);  // std::nullopt: success
  // Waits before a retry. Returns false, at once, when the deadline or the retry budget allows
  // none.
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

  // VmList, if the wrapped store is one
  Async<Result<std::vector<WorkerSpec>>> ListWorkers() requires VmList<S>
  {
    auto call = [&] { return mStore.ListWorkers(); };
    co_return co_await ReadWithRetries<std::vector<WorkerSpec>>(call, CallPurpose::Vms);
  }

  // State
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
