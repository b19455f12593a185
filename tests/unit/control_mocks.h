// In-memory store and peers for tests of the control layer.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "core/concepts.h"

namespace monsoon::mocks {

// A synchronous in-memory store for tests of classes that do no I/O; the test injects faults.
struct MemoryStore
{
  std::map<std::string, StoreValue> mValues{};
  std::uint64_t mRevision = 0;
  std::uint64_t mCalls = 0;
  std::array<std::uint64_t, kCallPurposes> mByPurpose{};
  bool mDown = false;
  std::function<bool()> mLoseAnswer{};  // called after each write; true: its answer is lost

  Result<std::optional<StoreValue>> Get(const std::string& aKey)
  {
    ++mCalls;
    if (mDown)
      return MakeFailure(FailureKind::StoreUnavailable);
    auto it = mValues.find(aKey);
    if (it == mValues.end())
      return std::optional<StoreValue>{};
    return std::optional<StoreValue>(it->second);
  }

  Result<std::uint64_t> Create(const std::string& aKey, const std::string& aValue)
  {
    ++mCalls;
    if (mDown)
      return MakeFailure(FailureKind::StoreUnavailable);
    if (mValues.contains(aKey))
      return MakeFailure(FailureKind::AlreadyExists);
    return Put(aKey, aValue);
  }

  Result<std::uint64_t> Swap(const std::string& aKey,
                             const std::string& aValue,
                             std::uint64_t aRevision)
  {
    ++mCalls;
    if (mDown)
      return MakeFailure(FailureKind::StoreUnavailable);
    auto it = mValues.find(aKey);
    if (it == mValues.end() || it->second.mRevision != aRevision)
      return MakeFailure(FailureKind::Conflict);
    return Put(aKey, aValue);
  }

private:
  Result<std::uint64_t> Put(const std::string& aKey, const std::string& aValue)
  {
    mValues[aKey] = { aKey, aValue, ++mRevision };
    if (mLoseAnswer && mLoseAnswer())
      return MakeFailure(FailureKind::WriteUnknown);
    return mRevision;
  }
};

// Satisfies the concept Store over a MemoryStore.
struct AsyncStore
{
  MemoryStore& mMemory;

  void Count(CallPurpose aPurpose) { ++mMemory.mByPurpose[static_cast<std::size_t>(aPurpose)]; }

  Async<Result<std::optional<StoreValue>>> Get(std::string aKey, CallPurpose aPurpose)
  {
    Count(aPurpose);
    co_return mMemory.Get(aKey);
  }
  Async<Result<std::vector<StoreValue>>> List(std::string aPrefix,
                                              std::string aAfter,
                                              std::size_t aLimit,
                                              CallPurpose aPurpose)
  {
    Count(aPurpose);
    ++mMemory.mCalls;
    if (mMemory.mDown)
      co_return MakeFailure(FailureKind::StoreUnavailable);
    std::vector<StoreValue> values;
    for (const auto& [key, value] : mMemory.mValues)
      if (key.starts_with(aPrefix) && key > aAfter && values.size() < aLimit)
        values.push_back(value);
    co_return values;
  }
  Async<Result<std::uint64_t>> Create(std::string aKey, std::string aValue, CallPurpose aPurpose)
  {
    Count(aPurpose);
    co_return mMemory.Create(aKey, aValue);
  }
  Async<Result<std::uint64_t>> CompareAndSwap(std::string aKey,
                                              std::string aValue,
                                              std::uint64_t aRevision,
                                              CallPurpose aPurpose)
  {
    Count(aPurpose);
    co_return mMemory.Swap(aKey, aValue, aRevision);
  }
  Async<Result<void>> Delete(std::string aKey, std::uint64_t, CallPurpose)
  {
    mMemory.mValues.erase(aKey);
    co_return Result<void>();
  }
  Async<Result<WatchBatch>> Watch(std::string aPrefix, std::uint64_t aAfter, Duration aWait)
  {
    Count(CallPurpose::Watch);
    ++mMemory.mCalls;
    const TimePoint until = BootClock::now() + aWait;
    while (true) {
      if (mMemory.mDown)
        co_return MakeFailure(FailureKind::StoreUnavailable);
      WatchBatch batch;
      batch.mRevision = mMemory.mRevision;
      for (const auto& [key, value] : mMemory.mValues)
        if (key.starts_with(aPrefix) && value.mRevision > aAfter)
          batch.mChanges.push_back(value);
      if (!batch.mChanges.empty() || BootClock::now() >= until)
        co_return batch;
      co_await Sleep(milliseconds(2));
    }
  }
};

// Satisfies the concept PeerCaller: calls the handler of the peer directly.
struct MemoryPeers
{
  using Handler = std::function<Result<PeerReply>(ProcessName, PeerRequest)>;
  std::map<ProcessName, Handler>& mHandlers;
  ProcessName mSelf;

  Async<Result<PeerReply>> Call(ProcessName aTo, PeerRequest aRequest, Duration)
  {
    auto it = mHandlers.find(aTo);
    if (it == mHandlers.end())
      co_return MakeFailure(FailureKind::PeerUnreachable);
    co_return it->second(mSelf, std::move(aRequest));
  }
};

}  // namespace monsoon::mocks
