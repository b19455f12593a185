// Scheduler: tasks that slow each other down on one worker: what reports tell of them, and which
// workers they are kept from.
#include <algorithm>
#include <functional>

#include "fleet/scheduler_impl.h"
#include "policy/pacing.h"

namespace monsoon::fleet {

namespace {

// A report tells of the last half second, and an order of a pace takes effect late.
constexpr Duration kTailWindow = milliseconds(600);
// A task that uses few cores in this window may use more in the next one.
constexpr double kMinLoad = 0.25;
constexpr double kMaxLoad = 1.5;
constexpr double kCloseTail = 0.8;   // relative to the target
constexpr double kSmallRise = 0.05;  // can't be told from the roughness of tails

bool IsServing(const Run& aRun)
{
  return aRun.mLatencyTargetMs > 0;
}

double GetTail(const Run& aServing)  // relative to the target; 0: not known yet
{
  return aServing.mActivity / double(aServing.mLatencyTargetMs);
}

// Returns whether a task may disturb serving tasks, or be disturbed. Any other one stays within the
// cores that are reserved for it.
bool IsSharing(const Run& aRun)
{
  return aRun.mFiller || IsServing(aRun);
}

// Returns the cores in use, as a share of those that the task asks for.
double GetLoad(const Run& aRun, const StageSpec& aSpec)
{
  if (IsServing(aRun))
    return 1;
  const double pace = double(aRun.mPace) / kFullPace;
  const double used = aSpec.mMilliCores > 0 ? aRun.mActivity / aSpec.mMilliCores : pace;
  return pace > 0 ? std::clamp(used, kMinLoad * pace, kMaxLoad) : 0;
}

// Returns whether the pace of a filler is to be decided even with no serving task beside it.
bool IsPaceUnusual(const Run& aFiller)
{
  return aFiller.mPace != kFullPace || aFiller.mPaceUnsure || aFiller.mPaceCheckAt != TimePoint{};
}

std::size_t HashMix(const Worker& aWorker)
{
  std::size_t mix = 0;  // of a sum, as the order of runs tells nothing
  for (const Run& it : aWorker.mRuns)
    if (it.mReported && IsSharing(it))
      mix += std::hash<std::string>()(it.mTask) * (2 * it.mRun + 1);
  return mix;
}

Disturbance Rate(double aTail, double aRise)
{
  if (aRise <= kSmallRise)
    return Disturbance::None;
  if (aTail + aRise > 1)
    return Disturbance::Expected;
  return aTail + aRise > kCloseTail ? Disturbance::Possible : Disturbance::None;
}

}  // namespace

const StageSpec* Scheduler::FindSpec(const Run& aRun) const
{
  const Job* job = FindJob(aRun.mRef.mJob);
  if (!job || aRun.mRef.mStage >= job->mSpec.mStages.size())
    return nullptr;
  return &job->mSpec.mStages[aRun.mRef.mStage];
}

// Learns from the tail of a serving task what the others on its worker do to it.
void Scheduler::LearnTail(const Worker& aWorker, const Run& aServing, TimePoint aNow)
{
  const StageSpec* serving = FindSpec(aServing);
  if (!serving || serving->mImage.empty())
    return;
  std::vector<NeighborLoad> beside;
  for (const Run& it : aWorker.mRuns) {
    if (&it == &aServing || !it.mReported || !IsSharing(it) || aNow - it.mConfirmedAt < kTailWindow)
      continue;
    if (const StageSpec* spec = FindSpec(it); spec && !spec->mImage.empty())
      beside.push_back({ spec->mImage, GetLoad(it, *spec) });
  }
  ObserveTail(mInterference, serving->mImage, GetTail(aServing), beside, aNow);
}

// Takes in what a report tells of serving tasks, and of fillers whose pace may have to change.
void Scheduler::ObserveSharing(Worker& aWorker, TimePoint aNow)
{
  bool hasServing = false;
  bool hasFiller = false;
  bool hasUnusualPace = false;
  for (const Run& it : aWorker.mRuns) {
    hasServing = hasServing || IsServing(it);
    hasFiller = hasFiller || it.mFiller;
    hasUnusualPace = hasUnusualPace || (it.mFiller && IsPaceUnusual(it));
  }
  if (hasFiller && (hasServing || hasUnusualPace))
    mToPace.insert(aWorker.mEntry.mId);
  if (!hasServing)
    return;
  mHasServing = true;
  const std::size_t mix = HashMix(aWorker);
  if (mix != aWorker.mSharingMix)
    aWorker.mSharingChangedAt = aNow;
  aWorker.mSharingMix = mix;
  const bool isSteady = aNow - std::max(aWorker.mSharingChangedAt, aWorker.mPacedAt) >= kTailWindow;
  const bool hasFillerAtWork =
    std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const Run& aItem) {
      return aItem.mFiller && aItem.mPace > 0;
    });
  const TimePoint readBefore = std::exchange(aWorker.mTailsReadAt, aNow);
  for (Run& it : aWorker.mRuns) {
    if (!IsServing(it) || it.mActivity <= 0)
      continue;
    const bool isOver = GetTail(it) > 1;
    it.mOverSince = TrackOver(it.mOverSince, GetTail(it), std::max(readBefore, it.mConfirmedAt));
    ++mSharing.mTails;
    mSharing.mOver += isOver ? 1 : 0;
    mSharing.mOverBeside += isOver && hasFillerAtWork ? 1 : 0;
    if (isSteady)
      LearnTail(aWorker, it, aNow);
  }
  for (Run& it : aWorker.mRuns) {
    const StageSpec* spec = it.mFiller && it.mPace > 0 && isSteady ? FindSpec(it) : nullptr;
    if (spec)
      it.mFullLoad = std::clamp(GetLoad(it, *spec) * kFullPace / it.mPace, kMinLoad, kMaxLoad);
  }
}

// Returns how much a filler at full pace raises the tail of a serving task, relative to its target.
std::optional<double> Scheduler::EstimateFillerRise(const Run& aServing,
                                                    const Run& aFiller,
                                                    TimePoint aNow) const
{
  const StageSpec* serving = FindSpec(aServing);
  const StageSpec* filler = FindSpec(aFiller);
  if (!serving || !filler)
    return {};
  const auto rise = EstimateRise(mInterference, serving->mImage, filler->mImage, aNow);
  return rise ? std::optional(*rise * aFiller.mFullLoad) : std::nullopt;
}

// Returns how likely a task of the stage would push a serving task on the worker over its target,
// or be pushed over its own.
Disturbance Scheduler::EstimateDisturbance(const Worker& aWorker,
                                           const StageSpec& aSpec,
                                           TimePoint aNow) const
{
  if (!mHasServing || (!aSpec.mFiller && aSpec.mLatencyTargetMs == 0))
    return Disturbance::None;
  Disturbance worst =
    aSpec.mLatencyTargetMs > 0 ? EstimateDisturbanceOf(aWorker, aSpec, aNow) : Disturbance::None;
  for (const Run& it : aWorker.mRuns) {
    const StageSpec* serving = IsServing(it) ? FindSpec(it) : nullptr;
    if (!serving || worst == Disturbance::Expected)
      continue;
    if (const auto rise = EstimateRise(mInterference, serving->mImage, aSpec.mImage, aNow))
      worst = std::max(worst, Rate(GetTail(it), *rise));
    else if (aSpec.mFiller)
      worst = std::max(worst, Disturbance::Possible);
  }
  return worst;
}

// Returns how likely what runs on the worker would push a serving task over its target.
Disturbance Scheduler::EstimateDisturbanceOf(const Worker& aWorker,
                                             const StageSpec& aServing,
                                             TimePoint aNow) const
{
  double rises = 0;
  bool hasUnknown = false;
  for (const Run& it : aWorker.mRuns) {
    const StageSpec* spec = IsSharing(it) ? FindSpec(it) : nullptr;
    if (!spec)
      continue;
    if (const auto rise = EstimateRise(mInterference, aServing.mImage, spec->mImage, aNow))
      rises += *rise * (it.mFiller ? it.mFullLoad : GetLoad(it, *spec));
    else
      hasUnknown = hasUnknown || it.mFiller;
  }
  const double own = EstimateOwnTail(mInterference, aServing.mImage, aNow).value_or(0);
  return std::max(Rate(own, rises), hasUnknown ? Disturbance::Possible : Disturbance::None);
}

void Scheduler::CountPlacement(const Worker& aWorker, const StageSpec& aSpec, TimePoint aNow)
{
  if (!mHasServing || (!aSpec.mFiller && aSpec.mLatencyTargetMs == 0))
    return;
  const bool isApart = EstimateDisturbance(aWorker, aSpec, aNow) == Disturbance::None;
  ++(isApart ? mSharing.mPlacedApart : mSharing.mPlacedClose);
}

SharingStats Scheduler::TakeSharingStats()
{
  SharingStats stats = std::exchange(mSharing, {});
  stats.mPairs = CountPairs(mInterference);
  return stats;
}

}  // namespace monsoon::fleet
