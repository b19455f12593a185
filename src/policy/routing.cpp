#include "policy/routing.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr std::string_view kNames[] = { "late_binding",
                                        "random",
                                        "least_loaded_gossip",
                                        "two_choices" };

std::vector<OwnerView> ListUsable(std::span<const OwnerView> aOwners)
{
  std::vector<OwnerView> usable;
  std::copy_if(aOwners.begin(), aOwners.end(), std::back_inserter(usable), [](const auto& aOwner) {
    return aOwner.mUsable;
  });
  return usable;
}

std::size_t PickRandom(std::span<const OwnerView> aOwners, RandomSource& aRandom)
{
  std::vector<double> weights;
  for (const OwnerView& it : aOwners)
    weights.push_back(std::max(it.mWorkers, 1U));
  return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(aRandom);
}

ProcessName PickOwner(std::span<const OwnerView> aOwners, Routing aRouting, RandomSource& aRandom)
{
  const OwnerView& first = aOwners[PickRandom(aOwners, aRandom)];
  if (aRouting == Routing::Random)
    return first.mName;
  if (aRouting == Routing::TwoChoices) {
    const OwnerView& second = aOwners[PickRandom(aOwners, aRandom)];
    return second.mFreeSlots > first.mFreeSlots ? second.mName : first.mName;
  }
  return std::max_element(aOwners.begin(),
                          aOwners.end(),
                          [](const auto& aLeft, const auto& aRight) {
                            return aLeft.mFreeSlots < aRight.mFreeSlots;
                          })
    ->mName;
}

// Shuffles the owners, so that the reservations of all entry processes are spread over them, and
// moves those with free slots to the front. Free slots are a gossiped hint: they order reservations
// but never limit them.
void OrderOwners(std::vector<OwnerView>& aOwners, RandomSource& aRandom)
{
  std::shuffle(aOwners.begin(), aOwners.end(), aRandom);
  std::stable_partition(
    aOwners.begin(), aOwners.end(), [](const auto& aOwner) { return aOwner.mFreeSlots > 0; });
}

void AddSteps(std::vector<RouteStep>& aSteps,
              const std::vector<OwnerView>& aOwners,
              Duration aFirst,
              Duration aInterval,
              std::uint32_t aFanOut)
{
  for (std::size_t i = 0; i < aOwners.size(); ++i) {
    const std::size_t turn = i / std::max(aFanOut, 1U);
    if (i % std::max(aFanOut, 1U) == 0)
      aSteps.push_back({ .mAfter = aFirst + aInterval * turn });
    aSteps.back().mOwners.push_back(aOwners[i].mName);
  }
}

}  // namespace

std::optional<Routing> ParseRouting(std::string_view aName)
{
  const auto it = std::find(std::begin(kNames), std::end(kNames), aName);
  if (it == std::end(kNames))
    return std::nullopt;
  return static_cast<Routing>(it - std::begin(kNames));
}

std::string_view GetName(Routing aRouting) noexcept
{
  return kNames[static_cast<std::size_t>(aRouting)];
}

std::vector<RouteStep> MakeRoute(std::span<const OwnerView> aOwners,
                                 const ProcessName& aSelf,
                                 const ZoneName& aZone,
                                 const RoutingSettings& aSettings,
                                 RandomSource& aRandom)
{
  const std::vector<OwnerView> usable = ListUsable(aOwners);
  std::vector<RouteStep> steps;
  if (usable.empty())
    return steps;
  if (aSettings.mRouting != Routing::LateBinding) {
    steps.push_back({ .mOwners = { PickOwner(usable, aSettings.mRouting, aRandom) } });
    return steps;
  }
  std::vector<OwnerView> near;
  std::vector<OwnerView> far;
  for (const OwnerView& it : usable) {
    if (it.mName == aSelf)
      steps.push_back({ .mOwners = { aSelf } });
    else
      (it.mZone == aZone ? near : far).push_back(it);
  }
  OrderOwners(near, aRandom);
  OrderOwners(far, aRandom);
  const auto full =
    std::find_if(far.begin(), far.end(), [](const auto& aOwner) { return aOwner.mFreeSlots <= 0; });
  const std::vector<OwnerView> farFull(full, far.end());
  far.erase(full, far.end());
  Duration delay = steps.empty() ? Duration::zero() : aSettings.mZoneStep;
  AddSteps(steps, near, delay, aSettings.mZoneStep, aSettings.mZoneFanOut);
  // Without an earlier step there is no own-zone owner to wait for, so other zones are asked at
  // once.
  delay = steps.empty() ? Duration::zero() : steps.back().mAfter + aSettings.mCrossZonePrice;
  AddSteps(steps, far, delay, aSettings.mCrossZonePrice, aSettings.mCrossFanOut);
  // A slot used across zones is idle for four one-way delays per request. If two full zones
  // exchanged requests, both would lose that capacity and gain nothing; hence the higher price.
  delay = steps.empty() ? Duration::zero() : steps.back().mAfter + aSettings.mFullZonePrice;
  AddSteps(steps, farFull, delay, aSettings.mFullZonePrice, aSettings.mCrossFanOut);
  return steps;
}

std::optional<std::size_t> PickSlotWorker(std::span<const WorkerView> aWorkers, std::size_t aTurn)
{
  std::optional<std::size_t> best;
  double bestShare = 0;
  for (std::size_t n = 0; n < aWorkers.size(); ++n) {
    const std::size_t i = (n + aTurn) % aWorkers.size();
    const WorkerView& view = aWorkers[i];
    if (!view.mKnown || view.mExcluded || view.mFree.mSlots <= 0)
      continue;
    const auto slots = static_cast<double>(std::max<std::int64_t>(view.mSpec.mCapacity.mSlots, 1));
    const double share = static_cast<double>(view.mFree.mSlots) / slots;
    if (best && share <= bestShare)
      continue;
    best = i;
    bestShare = share;
  }
  return best;
}

}  // namespace monsoon
