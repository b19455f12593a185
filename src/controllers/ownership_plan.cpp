#include "controllers/ownership_plan.h"

#include <algorithm>

#include "controllers/rendezvous.h"

namespace monsoon {

namespace {

bool IsOwn(const OwnershipPlanContext& aContext, const OwnerRecord& aOwner)
{
  return aOwner.mProcess == aContext.mSelf && aOwner.mIncarnation == aContext.mIncarnation;
}

Handover MakeHandover(const OwnershipPlanContext& aContext,
                      const ResourceKey& aKey,
                      const Eligible& aTo)
{
  Handover handover;
  handover.mResource = aKey;
  handover.mFrom = aContext.mSelf;
  handover.mFromIncarnation = aContext.mIncarnation;
  handover.mTo = aTo.mName;
  handover.mToIncarnation = aTo.mSession;
  handover.mQuietFor = aContext.mSettings.mStartDeadline;
  return handover;
}

}  // namespace

std::vector<Eligible> RankOwners(const OwnershipPlanContext& aContext, const ResourceKey& aResource)
{
  std::vector<Eligible> candidates;
  for (const Eligible& it : aContext.mEligible)
    if (it.mZone == aContext.mZone)
      candidates.push_back(it);
  if (candidates.empty())
    candidates.assign(aContext.mEligible.begin(), aContext.mEligible.end());
  std::sort(
    candidates.begin(), candidates.end(), [&](const Eligible& aLeft, const Eligible& aRight) {
      const auto left = HashPair(aResource, aLeft.mName);
      const auto right = HashPair(aResource, aRight.mName);
      return std::tie(left, aLeft.mName) > std::tie(right, aRight.mName);
    });
  return candidates;
}

bool IsWatcher(std::span<const Eligible> aEligible,
               const ZoneName& aZone,
               const ProcessName& aSelf,
               const std::string& aKey,
               std::size_t aCount)
{
  OwnershipPlanContext context;
  context.mZone = aZone;
  context.mEligible = aEligible;
  std::vector<ProcessName> names;
  for (const Eligible& it : RankOwners(context, aKey))
    names.push_back(it.mName);
  return names.empty() || IsChosen(aKey, names, aSelf, aCount);
}

std::vector<OwnershipEntry> PlanClaims(const OwnershipPlanContext& aContext,
                                       const OwnershipTable& aTable,
                                       std::span<const ResourceKey> aResources,
                                       std::map<ResourceKey, TimePoint>& aFreeSince)
{
  std::vector<OwnershipEntry> entries;
  for (const ResourceKey& key : aResources) {
    if (!aTable.IsFree(key)) {
      aFreeSince.erase(key);
      continue;
    }
    const TimePoint since = aFreeSince.try_emplace(key, aContext.mNow).first->second;
    const auto ranked = RankOwners(aContext, key);
    const auto it = std::find_if(ranked.begin(), ranked.end(), [&](const Eligible& aOther) {
      return aOther.mName == aContext.mSelf;
    });
    // A process that is not ranked, being of another zone, has the rank after the last one: it
    // claims the resource once all processes of the zone have left it free.
    const auto rank = it - ranked.begin();
    if (aContext.mNow - since < rank * aContext.mSettings.mClaimGrace)
      continue;
    const auto owner = aTable.Find(key);
    Claim claim;
    claim.mResource = key;
    claim.mProcess = aContext.mSelf;
    claim.mIncarnation = aContext.mIncarnation;
    claim.mReplaces = owner ? owner->mEpoch : 0;
    claim.mQuietFor = owner ? aContext.mSettings.mStartDeadline : Duration{};
    entries.emplace_back(std::move(claim));
  }
  return entries;
}

std::vector<OwnershipEntry> PlanTakeover(const OwnershipPlanContext& aContext,
                                         const OwnershipTable& aTable,
                                         const ProcessName& aFailedProcess,
                                         std::uint64_t aEnded,
                                         TimePoint aInactiveSince)
{
  std::vector<OwnershipEntry> entries;
  const TimePoint quietUntil = aInactiveSince + aContext.mSettings.mStartDeadline;
  for (const auto& [key, owner] : aTable.GetAll()) {
    if (owner.mProcess != aFailedProcess || owner.mIncarnation > aEnded)
      continue;
    if (aTable.IsEnded(aFailedProcess, owner.mIncarnation))
      continue;
    if (entries.empty())
      entries.emplace_back(ProcessEnded{ aFailedProcess, aEnded });
    for (const Eligible& it : RankOwners(aContext, key)) {
      if (it.mSession == 0 || (it.mName == aFailedProcess && it.mSession <= aEnded))
        continue;
      Claim claim;
      claim.mResource = key;
      claim.mProcess = it.mName;
      claim.mIncarnation = it.mSession;
      claim.mReplaces = owner.mEpoch;
      claim.mQuietFor = std::max<Duration>(quietUntil - aContext.mNow, Duration{});
      entries.emplace_back(std::move(claim));
      break;
    }
  }
  return entries;
}

std::vector<OwnershipEntry> PlanRebalance(const OwnershipPlanContext& aContext,
                                          const OwnershipTable& aTable)
{
  std::vector<OwnershipEntry> entries;
  for (const auto& [key, owner] : aTable.GetAll()) {
    if (entries.size() >= aContext.mSettings.mMaxMovesPerRebalance)
      break;
    if (!IsOwn(aContext, owner))
      continue;
    const auto ranked = RankOwners(aContext, key);
    if (ranked.empty() || ranked.front().mName == aContext.mSelf)
      continue;
    const Eligible& best = ranked.front();
    if (best.mSession == 0 || aContext.mNow - best.mSince < aContext.mSettings.mSettleTime)
      continue;
    entries.emplace_back(MakeHandover(aContext, key, best));
  }
  return entries;
}

std::vector<OwnershipEntry> PlanStop(const OwnershipPlanContext& aContext,
                                     const OwnershipTable& aTable)
{
  std::vector<OwnershipEntry> entries;
  for (const auto& [key, owner] : aTable.GetAll()) {
    if (!IsOwn(aContext, owner))
      continue;
    const auto ranked = RankOwners(aContext, key);
    const auto it = std::find_if(ranked.begin(), ranked.end(), [&](const Eligible& aOther) {
      return aOther.mName != aContext.mSelf && aOther.mSession != 0;
    });
    if (it == ranked.end())
      entries.emplace_back(Release{ key, aContext.mSelf, aContext.mIncarnation });
    else
      entries.emplace_back(MakeHandover(aContext, key, *it));
  }
  return entries;
}

}  // namespace monsoon
