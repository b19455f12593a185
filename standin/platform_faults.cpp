#include "standin/platform_faults.h"

#include <algorithm>

#include "core/json.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr std::int64_t kLongestMs = 60 * 60 * 1000;

double GetProbability(const json::value& aValue, std::string_view aKey)
{
  const json::value& value = GetMember(aValue, aKey);
  return value.is_number() ? value.to_number<double>() : 0;
}

bool IsProbability(double aValue)
{
  return aValue >= 0 && aValue <= 1;
}

Duration ParseDelay(const json::value& aValue, std::string_view aKey)
{
  return milliseconds(std::clamp<std::int64_t>(GetSigned(aValue, aKey), 0, kLongestMs));
}

FaultPeriod ParsePeriod(const json::value& aFault, TimePoint aNow)
{
  FaultPeriod period;
  period.mOn = aFault.is_object();
  if (period.mOn && GetUnsigned(aFault, "for_ms") != 0)
    period.mUntil = aNow + ParseDelay(aFault, "for_ms");
  return period;
}

}  // namespace

Result<FaultSettings> ParseFaults(const json::value& aValue, TimePoint aNow)
{
  if (!aValue.is_object())
    return MakeFailure(FailureKind::BadInput, "expected a JSON object");
  FaultSettings faults;
  faults.mSeed = GetUnsigned(aValue, "seed", 1);

  const json::value& down = GetMember(aValue, "down");
  const std::string mode = GetString(down, "mode", "refuse");
  if (mode != "refuse" && mode != "hang")
    return MakeFailure(FailureKind::BadInput, "down.mode: expected refuse or hang");
  faults.mDown = ParsePeriod(down, aNow);
  faults.mDownMode = mode == "hang" ? DownMode::Hang : DownMode::Refuse;

  const json::value& slow = GetMember(aValue, "slow");
  faults.mSlow = ParsePeriod(slow, aNow);
  faults.mLeastDelay = ParseDelay(slow, "min_ms");
  faults.mMeanDelay = ParseDelay(slow, "mean_ms");

  const json::value& lose = GetMember(aValue, "lose_answers");
  faults.mLose = ParsePeriod(lose, aNow);
  faults.mLoseProbability = GetProbability(lose, "probability");

  const json::value& limit = GetMember(aValue, "rate_limit");
  faults.mLimit = ParsePeriod(limit, aNow);
  faults.mWritesPerSecond = GetUnsigned(limit, "writes_per_s");
  faults.mReadsPerSecond = GetUnsigned(limit, "reads_per_s");
  faults.mLimitStatus = static_cast<unsigned>(GetUnsigned(limit, "status", 429));
  if (faults.mLimitStatus != 429 && faults.mLimitStatus != 503)
    return MakeFailure(FailureKind::BadInput, "rate_limit.status: expected 429 or 503");

  const json::value& watches = GetMember(aValue, "watches");
  faults.mWatches = ParsePeriod(watches, aNow);
  faults.mDropProbability = GetProbability(watches, "drop");
  faults.mReplayProbability = GetProbability(watches, "replay");

  const json::value& vms = GetMember(aValue, "vms");
  faults.mVms = ParsePeriod(vms, aNow);
  faults.mVmLag = ParseDelay(vms, "lag_ms");
  faults.mLapseLeases = GetBool(aValue, "lapse_leases");

  const bool sound = IsProbability(faults.mLoseProbability) &&
                     IsProbability(faults.mDropProbability) &&
                     IsProbability(faults.mReplayProbability);
  if (!sound)
    return MakeFailure(FailureKind::BadInput, "a probability must be between 0 and 1");
  return faults;
}

// Faults

void PlatformFaults::Set(const FaultSettings& aSettings)
{
  mSettings = aSettings;
  mRandom.seed(aSettings.mSeed);
}

bool PlatformFaults::Happens(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

DownMode PlatformFaults::GetDownMode(TimePoint aNow) const noexcept
{
  return mSettings.mDown.IsOn(aNow) ? mSettings.mDownMode : DownMode::Up;
}

Duration PlatformFaults::PickDelay(TimePoint aNow)
{
  if (!mSettings.mSlow.IsOn(aNow))
    return Duration::zero();
  if (mSettings.mMeanDelay == Duration::zero())
    return mSettings.mLeastDelay;
  const double mean = std::chrono::duration<double>(mSettings.mMeanDelay).count();
  const std::chrono::duration<double> more(
    std::exponential_distribution<double>(1 / mean)(mRandom));
  return mSettings.mLeastDelay + std::chrono::duration_cast<Duration>(more);
}

bool PlatformFaults::PickLostAnswer(TimePoint aNow)
{
  return mSettings.mLose.IsOn(aNow) && Happens(mSettings.mLoseProbability);
}

bool PlatformFaults::PickDroppedChange(TimePoint aNow)
{
  return mSettings.mWatches.IsOn(aNow) && Happens(mSettings.mDropProbability);
}

bool PlatformFaults::PickReplay(TimePoint aNow)
{
  return mSettings.mWatches.IsOn(aNow) && Happens(mSettings.mReplayProbability);
}

Duration PlatformFaults::GetVmLag(TimePoint aNow) const noexcept
{
  return mSettings.mVms.IsOn(aNow) ? mSettings.mVmLag : Duration::zero();
}

unsigned PlatformFaults::GetLimitStatus(bool aWrite, std::uint64_t aCount, TimePoint aNow) const
{
  const std::uint64_t limit = aWrite ? mSettings.mWritesPerSecond : mSettings.mReadsPerSecond;
  const bool over = mSettings.mLimit.IsOn(aNow) && limit != 0 && aCount > limit;
  return over ? mSettings.mLimitStatus : 0;
}

// Stats

std::uint64_t PlatformStats::Rate::Add(std::int64_t aSecond)
{
  if (aSecond != mSecond)
    mCount = 0;
  mSecond = aSecond;
  ++mCount;
  mPeak = std::max(mPeak, mCount);
  return mCount;
}

std::uint64_t PlatformStats::Count(const std::string& aOperation,
                                   const std::string& aPurpose,
                                   bool aWrite,
                                   TimePoint aNow)
{
  ++mOperations[aOperation];
  ++mPurposes[aPurpose.empty() ? "none" : aPurpose];
  const auto second = std::chrono::duration_cast<seconds>(aNow.time_since_epoch()).count();
  return (aWrite ? mWrites : mReads).Add(second);
}

json::object PlatformStats::MakeJson() const
{
  json::object operations;
  for (const auto& [name, n] : mOperations)
    operations[name] = n;
  json::object purposes;
  for (const auto& [name, n] : mPurposes)
    purposes[name] = n;
  json::object stats;
  stats["calls"] = std::move(operations);
  stats["purposes"] = std::move(purposes);
  stats["peak_reads_per_s"] = mReads.mPeak;
  stats["peak_writes_per_s"] = mWrites.mPeak;
  return stats;
}

}  // namespace monsoon::standin
