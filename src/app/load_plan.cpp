#include "app/load_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace monsoon {

namespace {

// A drying floor: most arrivals are humidity checks; curing orders and runs must not run twice.
LoadProfile MakeDrying()
{
  LoadProfile profile{ "drying", {} };
  profile.mClasses = {
    { .mName = "humidity check", .mShare = 0.90, .mPriority = Priority::Urgent },
    { .mName = "tray plan", .mShare = 0.06, .mRun = milliseconds(40) },
    { .mName = "curing order", .mShare = 0.02, .mRepeatable = false, .mRun = milliseconds(30) },
    { .mName = "curing run",
      .mShare = 0.01,
      .mJob = true,
      .mRepeatable = false,
      .mTasks = 4,
      .mShape = { 2000, 1024, 0, 0, 0 },
      .mRun = milliseconds(400) },
    { .mName = "kiln watch",
      .mShare = 0.004,
      .mJob = true,
      .mKind = JobKind::Watch,
      .mShape = { 100, 64, 0, 0, 0 },
      .mRun = seconds(2) },
    { .mName = "drying model",
      .mShare = 0.004,
      .mJob = true,
      .mKind = JobKind::Gang,
      .mTasks = 3,
      .mShape = { 4000, 2048, 0, 0, 0 },
      .mRun = milliseconds(500) },
    { .mName = "floor planner",
      .mShare = 0.002,
      .mJob = true,
      .mKind = JobKind::Service,
      .mTasks = 2,
      .mShape = { 500, 256, 0, 0, 0 },
      .mRun = seconds(2) },
  };
  return profile;
}

// A dairy dashboard: summaries on demand, reports in the background, watches on feeds.
LoadProfile MakeDairy()
{
  LoadProfile profile{ "dairy", {} };
  profile.mClasses = {
    { .mName = "yield summary", .mShare = 0.85, .mRun = milliseconds(25) },
    { .mName = "herd query", .mShare = 0.11, .mPriority = Priority::Low, .mRun = milliseconds(60) },
    { .mName = "vet alert",
      .mShare = 0.02,
      .mPriority = Priority::Urgent,
      .mRepeatable = false,
      .mRun = milliseconds(10) },
    { .mName = "health report",
      .mShare = 0.012,
      .mJob = true,
      .mPriority = Priority::Low,
      .mTasks = 6,
      .mShape = { 1000, 2048, 0, 0, 0 },
      .mRun = milliseconds(600) },
    { .mName = "feed watch",
      .mShare = 0.005,
      .mJob = true,
      .mKind = JobKind::Watch,
      .mShape = { 50, 64, 0, 0, 0 },
      .mRun = seconds(2) },
    { .mName = "herd model",
      .mShare = 0.002,
      .mJob = true,
      .mKind = JobKind::Gang,
      .mTasks = 2,
      .mShape = { 8000, 4096, 0, 0, 0 },
      .mRun = milliseconds(800) },
    { .mName = "dashboard",
      .mShare = 0.001,
      .mJob = true,
      .mKind = JobKind::Service,
      .mTasks = 2,
      .mShape = { 1000, 512, 0, 0, 0 },
      .mRun = seconds(2) },
  };
  return profile;
}

// Random numbers that depend on the seed alone: the distributions of the standard library differ
// between implementations, which would make plans differ too.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }
  double Next()  // uniform in [0, 1)
  {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(mEngine() >> 11U) * kScale;
  }
  double NextExponential() { return -std::log1p(-Next()); }
  double NextFactor(double aMaxFactor)  // log-uniform in [1/aMaxFactor, aMaxFactor]
  {
    return std::exp((2 * Next() - 1) * std::log(aMaxFactor));
  }

private:
  std::mt19937_64 mEngine;
};

double GetRate(const LoadOptions& aOptions, double aAt)
{
  const double length = std::chrono::duration<double>(aOptions.mLength).count();
  const bool peak = aAt > 0.4 * length && aAt < 0.6 * length;
  return aOptions.mRate * (peak ? aOptions.mPeakFactor : 1.0);
}

std::size_t PickClass(const LoadProfile& aProfile, double aRandom)
{
  double total = 0;
  for (const WorkClass& it : aProfile.mClasses)
    total += it.mShare;
  double left = aRandom * total;
  for (std::size_t i = 0; i + 1 < aProfile.mClasses.size(); ++i) {
    left -= aProfile.mClasses[i].mShare;
    if (left < 0)
      return i;
  }
  return aProfile.mClasses.size() - 1;
}

Duration Scale(Duration aValue, double aFactor)
{
  return std::max<Duration>(std::chrono::duration_cast<Duration>(aValue * aFactor),
                            milliseconds(1));
}

LoadItem MakeItem(const LoadOptions& aOptions, double aAt, Random& aRandom)
{
  LoadItem item;
  item.mAt = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aAt));
  item.mClass = PickClass(aOptions.mProfile, aRandom.Next());
  const WorkClass& work = aOptions.mProfile.mClasses[item.mClass];
  constexpr double kMaxRunFactor = 4;  // times the mean
  item.mRun = Scale(work.mRun, std::min(aRandom.NextExponential(), kMaxRunFactor));
  const double sizeFactor = aRandom.NextFactor(aOptions.mSizeErrorFactor);
  item.mDeclaredRun = Scale(work.mRun, sizeFactor);
  item.mDeclared = work.mShape;
  item.mDeclared.mMilliCores = std::max<std::int64_t>(
    1, std::llround(static_cast<double>(work.mShape.mMilliCores) * sizeFactor));
  item.mDeclared.mMemoryMiB = std::max<std::int64_t>(
    1, std::llround(static_cast<double>(work.mShape.mMemoryMiB) * sizeFactor));
  return item;
}

}  // namespace

Result<LoadProfile> FindProfile(std::string_view aName)
{
  for (LoadProfile profile : { MakeDrying(), MakeDairy() })
    if (profile.mName == aName)
      return profile;
  return MakeFailure(FailureKind::BadInput, "profile: expected drying or dairy");
}

std::vector<LoadItem> PlanLoad(const LoadOptions& aOptions)
{
  Random random(aOptions.mSeed);
  std::vector<LoadItem> items;
  const double length = std::chrono::duration<double>(aOptions.mLength).count();
  for (double at = 0;;) {
    at += random.NextExponential() / GetRate(aOptions, at);
    if (at >= length)
      break;
    items.push_back(MakeItem(aOptions, at, random));
  }
  if (aOptions.mCancelShare > 0)
    for (Duration at = aOptions.mCancelInterval; at < aOptions.mLength;
         at += aOptions.mCancelInterval)
      items.push_back({ .mAt = at, .mCancelWave = true });
  std::stable_sort(items.begin(), items.end(), [](const LoadItem& aLeft, const LoadItem& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return items;
}

}  // namespace monsoon
