#include "policy/quota.h"

namespace monsoon {

namespace {

// A limit of 0 means that the quota does not limit the dimension.
bool IsWithin(const Resources& aUse, const Resources& aLimit) noexcept
{
  return (aLimit.mMilliCores == 0 || aUse.mMilliCores <= aLimit.mMilliCores) &&
         (aLimit.mMemoryMiB == 0 || aUse.mMemoryMiB <= aLimit.mMemoryMiB) &&
         (aLimit.mAccelerators == 0 || aUse.mAccelerators <= aLimit.mAccelerators);
}

}  // namespace

void QuotaLedger::Add(const TeamName& aTeam, const Resources& aNeed)
{
  Resources& used = mUsed[aTeam];
  used = monsoon::Add(used, aNeed);
}

void QuotaLedger::Remove(const TeamName& aTeam, const Resources& aNeed)
{
  Resources& used = mUsed[aTeam];
  used = Subtract(used, aNeed);
}

Resources QuotaLedger::GetUsed(const TeamName& aTeam) const
{
  auto it = mUsed.find(aTeam);
  return it == mUsed.end() ? Resources{} : it->second;
}

QuotaDecision QuotaLedger::Check(const std::map<TeamName, TeamQuota>& aQuotas,
                                 const TeamName& aTeam,
                                 const Resources& aNeed) const
{
  auto it = aQuotas.find(aTeam);
  if (it == aQuotas.end())
    return QuotaDecision::Borrowed;
  if (IsWithin(monsoon::Add(GetUsed(aTeam), aNeed), it->second.mGuaranteed))
    return QuotaDecision::Guaranteed;
  return it->second.mMayBorrow ? QuotaDecision::Borrowed : QuotaDecision::Refused;
}

bool QuotaLedger::IsBorrowing(const std::map<TeamName, TeamQuota>& aQuotas,
                              const TeamName& aTeam) const
{
  auto it = aQuotas.find(aTeam);
  return it == aQuotas.end() || !IsWithin(GetUsed(aTeam), it->second.mGuaranteed);
}

}  // namespace monsoon
