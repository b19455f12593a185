// Team quotas: a guarantee per team; teams may borrow unused capacity, which can be reclaimed.
#pragma once

#include <map>

#include "core/model.h"

namespace monsoon {

enum class QuotaDecision : std::uint8_t
{
  Guaranteed,  // within the team's guarantee
  Borrowed,    // above it, on capacity that other teams leave unused
  Refused,     // above it, and the team may not borrow
};

// Tracks the resources that each team uses.
class QuotaLedger
{
public:
  void Add(const TeamName& aTeam, const Resources& aNeed);
  void Remove(const TeamName& aTeam, const Resources& aNeed);
  [[nodiscard]] Resources GetUsed(const TeamName& aTeam) const;
  // Decides whether the team may use aNeed more. Teams without a declared quota have no guarantee
  // and may borrow.
  [[nodiscard]] QuotaDecision Check(const std::map<TeamName, TeamQuota>& aQuotas,
                                    const TeamName& aTeam,
                                    const Resources& aNeed) const;
  // Returns whether the team uses more than its guarantee, so that its tasks may be preempted.
  [[nodiscard]] bool IsBorrowing(const std::map<TeamName, TeamQuota>& aQuotas,
                                 const TeamName& aTeam) const;

private:
  std::map<TeamName, Resources> mUsed{};
};

}  // namespace monsoon
