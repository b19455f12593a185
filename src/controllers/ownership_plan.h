// Who should own what: pure decisions over an ownership table and the members that could own.
//
// Index
//   Eligible, PlanSettings
//   Plans            each returns the entries of one journal value; empty: nothing to do
#pragma once

#include <span>

#include "controllers/membership.h"
#include "controllers/ownership_table.h"

namespace monsoon {

struct Eligible  // a process that could own: alive, ready, not leaving, with a session
{
  ProcessName mName{};
  ZoneName mZone{};
  std::uint64_t mSession = 0;  // 0: alive, but its session is not known here
  TimePoint mSince{};          // alive since
};

struct PlanSettings
{
  Duration mStartDeadline = milliseconds(500);  // longest Start-Before that an owner hands out
  Duration mClaimGrace = seconds(1);  // the next in rank claims what the first left free so long
  Duration mSettleTime = seconds(5);  // a member is given resources only after so long
  Duration mRebalanceInterval = seconds(1);  // between two hand-overs for balance
  std::uint32_t mMaxMovesPerRebalance = 4;   // resources per such hand-over
};

struct OwnershipPlanContext
{
  ProcessName mSelf{};
  std::uint64_t mIncarnation = 0;         // of the own session
  ZoneName mZone{};                       // of the journal
  std::span<const Eligible> mEligible{};  // with the process itself
  PlanSettings mSettings{};
  TimePoint mNow{};
};

// The zone's own processes if any is there, else all; by falling rendezvous score.
[[nodiscard]] std::vector<Eligible> RankOwners(const OwnershipPlanContext& aContext,
                                               const ResourceKey& aResource);

// Whether aSelf is one of the few of a zone (of all, when it has no own) that watch a journal in
// the store. Everybody watches where nobody is eligible.
[[nodiscard]] bool IsWatcher(std::span<const Eligible> aEligible,
                             const ZoneName& aZone,
                             const ProcessName& aSelf,
                             const std::string& aKey,
                             std::size_t aCount);

// Claims of free resources. aFreeSince is kept between calls.
[[nodiscard]] std::vector<OwnershipEntry> PlanClaims(const OwnershipPlanContext& aContext,
                                                     const OwnershipTable& aTable,
                                                     std::span<const ResourceKey> aResources,
                                                     std::map<ResourceKey, TimePoint>& aFreeSince);

// The victim's incarnations up to aEnded have surely ended, and sent nothing after aInactiveSince:
// frees all it owned and gives it to the best owners at once.
[[nodiscard]] std::vector<OwnershipEntry> PlanTakeover(const OwnershipPlanContext& aContext,
                                                       const OwnershipTable& aTable,
                                                       const ProcessName& aFailedProcess,
                                                       std::uint64_t aEnded,
                                                       TimePoint aInactiveSince);

// A few own resources that a settled member should have. An owner keeps what it has otherwise.
[[nodiscard]] std::vector<OwnershipEntry> PlanRebalance(const OwnershipPlanContext& aContext,
                                                        const OwnershipTable& aTable);

// Everything owned: to the best others, or released when there is none.
[[nodiscard]] std::vector<OwnershipEntry> PlanStop(const OwnershipPlanContext& aContext,
                                                   const OwnershipTable& aTable);

}  // namespace monsoon
