#include "policy/pacing.h"

#include <algorithm>
#include <numeric>

namespace monsoon {

namespace {

constexpr double kSlowAbove = 0.9;     // tails beyond it can't be told from those over the target
constexpr double kSurelyBelow = 0.85;  // tails that are not over the target
constexpr double kAim = 0.8;           // where they are to come to rest
constexpr double kRaiseBelow = 0.75;   // tails below it let fillers speed up
constexpr double kHarmless = 0.05;     // a rise that can't be told from the roughness of readings
constexpr double kRoughness = 0.1;     // of the sum of all rises
constexpr double kAssumedRise = 0.5;   // by a filler of unknown effect at full pace
// A serving task that is over its target for this long waits for no further estimates. Reports are
// up to a second apart, and 4 s on end would be too long.
constexpr Duration kMaxOver = seconds(2);
// All fillers are paused for this long then, as one that was harmless may have changed.
constexpr Duration kTrialTime = milliseconds(2500);
constexpr Duration kRaiseInterval = milliseconds(700);
constexpr std::uint32_t kMaxUnknownRaise = 50;  // percent, of a filler of unknown effect
constexpr std::uint32_t kPaceStep = 10;         // a smaller change is not worth an order

using Paces = std::vector<std::uint32_t>;

std::uint32_t RoundPace(double aPercent)
{
  return static_cast<std::uint32_t>(std::max(0.0, aPercent)) / kPaceStep * kPaceStep;
}

double SumKnownRises(const ServingTail& aServing, const Paces& aPaces)
{
  double sum = 0;
  for (std::size_t n = 0; n < aPaces.size(); ++n)
    sum += aServing.mRises[n].value_or(0) * aPaces[n] / kFullPace;
  return sum;
}

bool IsOnTrial(const ServingTail& aServing)
{
  return aServing.mOverFor >= kMaxOver && aServing.mOverFor < kMaxOver + kTrialTime;
}

// Pauses all fillers. Those that are harmless are spared if the tail was high without them, too.
void PauseCauses(const ServingTail& aServing, Paces& aPaces)
{
  const bool isHighWithout =
    !IsOnTrial(aServing) && aServing.mTail > 1 + kRoughness + SumKnownRises(aServing, aPaces);
  for (std::size_t n = 0; n < aPaces.size(); ++n)
    if (!isHighWithout || aServing.mRises[n].value_or(1) > kHarmless)
      aPaces[n] = 0;
}

void SlowDown(const ServingTail& aServing, Paces& aPaces)
{
  double excess = aServing.mTail - kAim;
  Paces order(aPaces.size());
  std::iota(order.begin(), order.end(), 0);
  const auto rise = [&](std::uint32_t aIndex) {
    return aServing.mRises[aIndex].value_or(0) * aPaces[aIndex] / kFullPace;
  };
  std::stable_sort(order.begin(), order.end(), [&](std::uint32_t aLeft, std::uint32_t aRight) {
    return rise(aLeft) > rise(aRight);
  });
  for (const std::uint32_t n : order) {
    if (excess <= 0 || rise(n) <= kHarmless)
      break;
    const double kept = std::max(0.0, 1 - excess / rise(n));
    excess -= (1 - kept) * rise(n);
    aPaces[n] = RoundPace(kept * aPaces[n]);
  }
  if (kAim + excess <= kSlowAbove)
    return;
  // One at a time, so that its effect can be told from that of others.
  const auto pace = [&](std::size_t aIndex) {
    return aServing.mRises[aIndex] ? 0 : aPaces[aIndex];
  };
  const auto fastest = std::max_element(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return pace(aLeft) < pace(aRight);
  });
  if (fastest != order.end() && !aServing.mRises[*fastest])
    aPaces[*fastest] = RoundPace(aPaces[*fastest] / 2.0);
}

bool IsHarmless(std::span<const ServingTail> aServing, std::size_t aFiller)
{
  return std::all_of(aServing.begin(), aServing.end(), [aFiller](const ServingTail& aItem) {
    return aItem.mRises[aFiller].value_or(1) <= kHarmless;
  });
}

// Lets the slowest fillers speed up first, by what each serving task has room for.
void SpeedUp(std::span<const ServingTail> aServing, Paces& aPaces)
{
  std::vector<double> room;
  for (const ServingTail& it : aServing)
    room.push_back(it.mTail > 0 && it.mTail < kRaiseBelow ? kAim - it.mTail : 0);
  Paces order(aPaces.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::uint32_t aLeft, std::uint32_t aRight) {
    return aPaces[aLeft] < aPaces[aRight];
  });
  for (const std::uint32_t n : order) {
    if (aPaces[n] == kFullPace)
      continue;
    const bool isUnknown = std::any_of(
      aServing.begin(), aServing.end(), [n](const ServingTail& aItem) { return !aItem.mRises[n]; });
    double raise = std::min(isUnknown ? kMaxUnknownRaise : kFullPace, kFullPace - aPaces[n]);
    for (std::size_t k = 0; k < aServing.size(); ++k)
      raise = std::min(raise,
                       kFullPace * room[k] /
                         std::max(kHarmless, aServing[k].mRises[n].value_or(kAssumedRise)));
    if (raise < kPaceStep)
      continue;
    for (std::size_t k = 0; k < aServing.size(); ++k)
      room[k] -= aServing[k].mRises[n].value_or(kAssumedRise) * raise / kFullPace;
    aPaces[n] += static_cast<std::uint32_t>(raise);
  }
}

}  // namespace

TimePoint TrackOver(TimePoint aOverSince, double aTail, TimePoint aReadBefore)
{
  if (aTail < kSurelyBelow)
    return {};
  return aOverSince == TimePoint{} && aTail > kSlowAbove ? aReadBefore : aOverSince;
}

std::vector<std::uint32_t> ChoosePaces(std::span<const std::uint32_t> aPaces,
                                       std::span<const ServingTail> aServing,
                                       Duration aSettledFor)
{
  Paces paces(aPaces.begin(), aPaces.end());
  if (aServing.empty())
    return Paces(paces.size(), kFullPace);
  bool isHigh = false;
  for (const ServingTail& it : aServing) {
    if (it.mOverFor >= kMaxOver)
      PauseCauses(it, paces);
    else if (it.mTail > kSlowAbove && aSettledFor >= Duration::zero())
      SlowDown(it, paces);
    isHigh = isHigh || it.mTail > kSlowAbove;
  }
  if (aSettledFor < kRaiseInterval)
    return paces;
  // A serving task that is over its target on its own account does not keep harmless ones back.
  for (std::size_t n = 0; n < paces.size(); ++n) {
    const bool mayBeCause =
      std::any_of(aServing.begin(), aServing.end(), [&](const ServingTail& aItem) {
        return IsOnTrial(aItem) ||
               (aItem.mTail > kSlowAbove &&
                aItem.mTail <=
                  1 + kRoughness + SumKnownRises(aItem, Paces(paces.size(), kFullPace)));
      });
    if (!mayBeCause && IsHarmless(aServing, n))
      paces[n] = kFullPace;
  }
  if (!isHigh)
    SpeedUp(aServing, paces);
  return paces;
}

}  // namespace monsoon
