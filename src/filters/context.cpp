#include "filters/context.h"

#include <boost/functional/hash.hpp>

namespace monsoon {

namespace {

// FNV-1a. Every process must map a key to the same shard, and std::hash may differ between standard
// libraries.
constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

}  // namespace

FilterStep StopRequest(RequestContext& aContext, FailureKind aKind, std::string aDetail)
{
  aContext.mFailure = MakeFailure(aKind, std::move(aDetail));
  aContext.mMachine.GiveUp();
  return FilterStep::Done;
}

RequestShared::RequestShared(const RequestSettings& aSettings)
  : mSettings(aSettings)
  , mStartNonce(std::random_device()())
  , mBudget(aSettings.mRetry)
  , mWaits(aSettings.mAdmission)
  , mRandom(mStartNonce)
{
}

std::string RequestShared::MakeCallId(const ProcessName& aSelf)
{
  return aSelf + "-" + std::to_string(mStartNonce) + "-" + std::to_string(mNextCall++);
}

bool RequestShared::BeginRequest(const std::string& aCaller)
{
  if (++mInFlight > mSettings.mLimits.mMaxInFlight) {
    --mInFlight;
    return false;
  }
  Shard& shard = mShards[boost::hash<std::string>()(aCaller) % kShards];
  {
    std::lock_guard lock(shard.mLock);
    std::uint32_t& n = shard.mInFlight[aCaller];
    if (n >= mSettings.mLimits.mMaxInFlightPerCaller) {
      --mInFlight;
      return false;
    }
    ++n;
  }
  std::lock_guard lock(mPolicyLock);
  mBudget.RecordRequest();
  return true;
}

void RequestShared::EndRequest(const std::string& aCaller)
{
  --mInFlight;
  Shard& shard = mShards[boost::hash<std::string>()(aCaller) % kShards];
  std::lock_guard lock(shard.mLock);
  const auto it = shard.mInFlight.find(aCaller);
  if (it != shard.mInFlight.end() && --it->second == 0)
    shard.mInFlight.erase(it);
}

bool RequestShared::TakeRetry()
{
  std::lock_guard lock(mPolicyLock);
  return mBudget.TakeRetry();
}

void RequestShared::RecordWait(Priority aPriority, Duration aWaited, TimePoint aNow)
{
  std::lock_guard lock(mPolicyLock);
  mWaits.Record(aPriority, aWaited, aNow);
}

bool RequestShared::MayStartInTime(Priority aPriority, Duration aTimeLeft, TimePoint aNow)
{
  std::lock_guard lock(mPolicyLock);
  return mWaits.MayStartInTime(aPriority, aTimeLeft, aNow);
}

std::uint64_t RequestShared::MakeSeed()
{
  std::lock_guard lock(mPolicyLock);
  return mRandom();
}

std::uint32_t RequestShared::CountInFlight() const noexcept
{
  return mInFlight;
}

ShardIndex FindKeyShard(std::string_view aKey, std::uint32_t aShards) noexcept
{
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char it : aKey)
    hash = (hash ^ static_cast<unsigned char>(it)) * kFnvPrime;
  return static_cast<ShardIndex>(hash % (aShards == 0 ? 1 : aShards));
}

}  // namespace monsoon
