// Store in memory that injects seeded random faults. Several clients, each with faults of its own,
// can share one MemoryData.
#pragma once

#include <map>
#include <random>

#include "core/concepts.h"

namespace monsoon::test {

struct MemoryData
{
  std::map<std::string, StoreValue> mValues{};
  std::uint64_t mRevision = 0;
  TimePoint mNow = TimePoint(std::chrono::hours(24));  // simulated time; advances with every call
  std::uint64_t mCalls = 0;
  std::uint64_t mCreates = 0;
};

struct MemoryFaults  // probabilities per call, 0 to 1
{
  double mLoseAfterEffect = 0;   // a write takes effect, but its response is lost
  double mLoseBeforeEffect = 0;  // a write is lost before it takes effect
  double mDelayEffect = 0;       // the response is lost, and the write takes effect later
  double mUnavailable = 0;       // a call other than a read is refused without effect
  double mReadFails = 0;         // a read fails with StoreUnavailable
};

class MemoryStore
{
public:
  MemoryStore(MemoryData& aData, std::uint64_t aSeed)
    : mData(aData)
    , mRandom(aSeed)
  {
  }

  MemoryFaults mFaults{};
  bool mDown = false;                            // every read and write fails
  std::function<Async<void>()> mBeforeCreate{};  // runs before a Create reaches the store
  std::function<Async<void>()> mBeforeList{};    // runs before a List reads the values

  Async<Result<std::optional<StoreValue>>> Get(std::string aKey, CallPurpose)
  {
    co_await DelayCall();
    if (IsReadLost())
      co_return MakeFailure(FailureKind::StoreUnavailable);
    const auto it = mData.mValues.find(aKey);
    if (it == mData.mValues.end())
      co_return std::optional<StoreValue>();
    co_return std::optional<StoreValue>(it->second);
  }

  Async<Result<std::vector<StoreValue>>> List(std::string aPrefix,
                                              std::string aAfter,
                                              std::size_t aLimit,
                                              CallPurpose)
  {
    co_await DelayCall();
    if (const auto before = mBeforeList)
      co_await before();
    if (IsReadLost())
      co_return MakeFailure(FailureKind::StoreUnavailable);
    std::vector<StoreValue> values;
    for (auto it = mData.mValues.lower_bound(aPrefix); it != mData.mValues.end(); ++it) {
      if (!it->first.starts_with(aPrefix) || values.size() >= aLimit)
        break;
      if (it->first > aAfter)
        values.push_back(it->second);
    }
    co_return values;
  }

  Async<Result<std::uint64_t>> Create(std::string aKey, std::string aValue, CallPurpose)
  {
    if (mBeforeCreate)
      co_await mBeforeCreate();
    ++mData.mCreates;
    auto write = [this, aKey, aValue] { return Put(aKey, aValue, 0, true); };
    co_return co_await Write(std::move(write));
  }

  Async<Result<std::uint64_t>> CompareAndSwap(std::string aKey,
                                              std::string aValue,
                                              std::uint64_t aRevision,
                                              CallPurpose)
  {
    auto write = [this, aKey, aValue, aRevision] { return Put(aKey, aValue, aRevision, false); };
    co_return co_await Write(std::move(write));
  }

  Async<Result<void>> Delete(std::string aKey, std::uint64_t aRevision, CallPurpose)
  {
    auto write = [this, aKey, aRevision]() -> Result<std::uint64_t> {
      const auto it = mData.mValues.find(aKey);
      if (it == mData.mValues.end() || (aRevision != 0 && it->second.mRevision != aRevision))
        return MakeFailure(FailureKind::Conflict);
      mData.mValues.erase(it);
      return ++mData.mRevision;
    };
    auto result = co_await Write(std::move(write));
    if (!result)
      co_return result.error();
    co_return Result<void>();
  }

  Async<Result<WatchBatch>> Watch(std::string, std::uint64_t, Duration)
  {
    co_await DelayCall();
    co_return WatchBatch();
  }

private:
  using Action = std::function<Result<std::uint64_t>()>;

  bool DrawFault(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
  }

  bool IsReadLost() { return mDown || DrawFault(mFaults.mReadFails); }

  // Suspends a call for a few iterations of the context, so that calls of several clients
  // interleave.
  Async<void> DelayCall()
  {
    ++mData.mCalls;
    mData.mNow += milliseconds(1);
    const auto turns = 1 + mRandom() % 3;
    for (std::size_t n = 0; n < turns; ++n)
      co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
  }

  // Lets a delayed write take effect after fewer than 40 iterations of the context.
  Async<void> ApplyLater(Action aWrite)
  {
    const auto turns = mRandom() % 40;
    for (std::size_t n = 0; n < turns; ++n)
      co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    [[maybe_unused]] auto result = aWrite();
  }

  Async<Result<std::uint64_t>> Write(Action aWrite)
  {
    co_await DelayCall();
    if (mDown || DrawFault(mFaults.mUnavailable))
      co_return MakeFailure(FailureKind::StoreUnavailable);
    if (DrawFault(mFaults.mLoseBeforeEffect))
      co_return MakeFailure(FailureKind::WriteUnknown);
    if (DrawFault(mFaults.mDelayEffect)) {
      asio::co_spawn(
        co_await asio::this_coro::executor, ApplyLater(std::move(aWrite)), asio::detached);
      co_return MakeFailure(FailureKind::WriteUnknown);
    }
    auto result = aWrite();
    if (DrawFault(mFaults.mLoseAfterEffect))
      co_return MakeFailure(FailureKind::WriteUnknown);
    co_await DelayCall();
    co_return result;
  }

  Result<std::uint64_t> Put(const std::string& aKey,
                            const std::string& aValue,
                            std::uint64_t aRevision,
                            bool aCreate)
  {
    const auto it = mData.mValues.find(aKey);
    if (aCreate && it != mData.mValues.end())
      return MakeFailure(FailureKind::AlreadyExists);
    if (!aCreate && (it == mData.mValues.end() || it->second.mRevision != aRevision))
      return MakeFailure(FailureKind::Conflict);
    mData.mValues[aKey] = StoreValue{ aKey, aValue, ++mData.mRevision };
    return mData.mRevision;
  }

  MemoryData& mData;
  std::mt19937_64 mRandom;
};

}  // namespace monsoon::test
