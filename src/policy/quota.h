// Team quotas with borrowing and reclaim.
#pragma once

#include <map>

#include "core/model.h"

namespace monsoon {

enum class QuotaDecision : std::uint8_t
{
  Guaranteed,  // within the team's guarantee
  Borrowed,    // above it; runs while others leave room
  Refused,     // above it, and the team may not borrow
};

// What each team uses now.
class QuotaLedger
{
public:
  void Add(const TeamName& aTeam, const Resources& aNeed);
  void Remove(const TeamName& aTeam, const Resources& aNeed);
  [[nodiscard]] Resources GetUsed(const TeamName& aTeam) const;
  // Teams without a declared quota have no guarantee and may borrow.
  [[nodiscard]] QuotaDecision Check(const std::map<TeamName, TeamQuota>& aQuotas,
                                    const TeamName& aTeam,
                                    const Resources& aNeed) const;
  // Whether the team uses more than its guarantee, so that its tasks may be reclaimed.
  [[nodiscard]] bool IsBorrowing(const std::map<TeamName, TeamQuota>& aQuotas,
                                 const TeamName& aTeam) const;

private:
  std::map<TeamName, Resources> mUsed{};
};

}  // namespace monsoon
