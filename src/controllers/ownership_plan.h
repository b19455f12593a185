// Decides who should own what, from an ownership table and the eligible members. Pure functions.
//
// Index
//   Eligible, PlanSettings
//   OwnershipPlanContext      arguments common to all decisions
//   RankOwners, IsWatcher
//   PlanClaims, PlanTakeover, PlanRebalance, PlanStop
//                             return the entries of one journal value; empty: nothing to do
#pragma once

#include <span>

#include "controllers/membership.h"
#include "controllers/ownership_table.h"

namespace monsoon {

struct Eligible  // a process that may own resources: alive, ready and not leaving
{
  ProcessName mName{};
  ZoneName mZone{};
  std::uint64_t mSession = 0;  // 0: its session is not known here
  TimePoint mSince{};          // alive since
};

struct PlanSettings
{
  Duration mStartDeadline = milliseconds(500);  // longest Start-Before that an owner sends
  Duration mClaimGrace =
    seconds(1);  // wait before claiming a free resource, times own rank (from 0)
  Duration mSettleTime = seconds(5);  // a member must be alive so long before it gets resources
  Duration mRebalanceInterval = seconds(1);  // between two rebalancing decisions
  std::uint32_t mMaxMovesPerRebalance = 4;   // resources per decision
};

struct OwnershipPlanContext
{
  ProcessName mSelf{};
  std::uint64_t mIncarnation = 0;         // of this process's session
  ZoneName mZone{};                       // whose journal is planned
  std::span<const Eligible> mEligible{};  // includes this process
  PlanSettings mSettings{};
  TimePoint mNow{};
};

// Returns the eligible processes of the zone, or all eligible ones when the zone has none, by
// descending rendezvous score.
[[nodiscard]] std::vector<Eligible> RankOwners(const OwnershipPlanContext& aContext,
                                               const ResourceKey& aResource);

// Returns whether aSelf is one of the aCount eligible processes of a zone (of all zones, when it
// has none) that watch a journal in the store. Every process watches when none is eligible.
[[nodiscard]] bool IsWatcher(std::span<const Eligible> aEligible,
                             const ZoneName& aZone,
                             const ProcessName& aSelf,
                             const std::string& aKey,
                             std::size_t aCount);

// Claims free resources for this process. The caller keeps aFreeSince between calls.
[[nodiscard]] std::vector<OwnershipEntry> PlanClaims(const OwnershipPlanContext& aContext,
                                                     const OwnershipTable& aTable,
                                                     std::span<const ResourceKey> aResources,
                                                     std::map<ResourceKey, TimePoint>& aFreeSince);

// Frees all that the failed process owned under incarnations up to aEnded, and claims it for the
// highest-ranked owners in the same value. Those incarnations must certainly have ended and have
// sent nothing after aInactiveSince.
[[nodiscard]] std::vector<OwnershipEntry> PlanTakeover(const OwnershipPlanContext& aContext,
                                                       const OwnershipTable& aTable,
                                                       const ProcessName& aFailedProcess,
                                                       std::uint64_t aEnded,
                                                       TimePoint aInactiveSince);

// Hands over a few own resources to higher-ranked members that have been alive for mSettleTime. An
// owner keeps all others.
[[nodiscard]] std::vector<OwnershipEntry> PlanRebalance(const OwnershipPlanContext& aContext,
                                                        const OwnershipTable& aTable);

// Hands over everything owned to the highest-ranked others, or releases it when there are none.
[[nodiscard]] std::vector<OwnershipEntry> PlanStop(const OwnershipPlanContext& aContext,
                                                   const OwnershipTable& aTable);

}  // namespace monsoon
