#include "fleet/team_limits.h"

#include "policy/quota.h"

namespace monsoon::fleet {

namespace {

Resources ToResources(const TeamResources& aValue)
{
  return { aValue.mMilliCores, aValue.mMemoryMiB, aValue.mAccelerators, 0, 0 };
}

TeamResources FromResources(const Resources& aValue)
{
  return { aValue.mMilliCores, aValue.mMemoryMiB, aValue.mAccelerators };
}

}  // namespace

TeamResources Multiply(const TeamResources& aNeed, std::int64_t aCount)
{
  return { aNeed.mMilliCores * aCount, aNeed.mMemoryMiB * aCount, aNeed.mAccelerators * aCount };
}

TeamResources Add(const TeamResources& aLeft, const TeamResources& aRight)
{
  return { aLeft.mMilliCores + aRight.mMilliCores,
           aLeft.mMemoryMiB + aRight.mMemoryMiB,
           aLeft.mAccelerators + aRight.mAccelerators };
}

struct TeamLimits::State
{
  QuotaLedger mLedger{};
  std::map<std::string, TeamQuota> mQuotas{};
};

TeamLimits::TeamLimits()
  : mState(std::make_unique<State>())
{
}
TeamLimits::TeamLimits(TeamLimits&&) noexcept = default;
TeamLimits& TeamLimits::operator=(TeamLimits&&) noexcept = default;
TeamLimits::~TeamLimits() = default;

void TeamLimits::SetTeams(const std::vector<TeamConfig>& aTeams)
{
  mState->mQuotas.clear();
  for (const TeamConfig& it : aTeams)
    mState->mQuotas[it.mName] = { it.mName, ToResources(it.mLimit), false };
}

void TeamLimits::Add(const std::string& aTeam, const TeamResources& aNeed)
{
  if (!aTeam.empty())
    mState->mLedger.Add(aTeam, ToResources(aNeed));
}

void TeamLimits::Remove(const std::string& aTeam, const TeamResources& aNeed)
{
  if (!aTeam.empty())
    mState->mLedger.Remove(aTeam, ToResources(aNeed));
}

TeamResources TeamLimits::GetUse(const std::string& aTeam) const
{
  return FromResources(mState->mLedger.GetUsed(aTeam));
}

TeamResources TeamLimits::GetLimit(const std::string& aTeam) const
{
  const auto it = mState->mQuotas.find(aTeam);
  return it == mState->mQuotas.end() ? TeamResources{} : FromResources(it->second.mGuaranteed);
}

bool TeamLimits::Allows(const std::string& aTeam, const TeamResources& aNeed) const
{
  return mState->mLedger.Check(mState->mQuotas, aTeam, ToResources(aNeed)) !=
         QuotaDecision::Refused;
}

bool TeamLimits::IsLimited(const std::string& aTeam) const
{
  return mState->mQuotas.contains(aTeam);
}

}  // namespace monsoon::fleet
