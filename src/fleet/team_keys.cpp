#include "fleet/team_keys.h"

#include "observe/log.h"

namespace monsoon::fleet {

void TeamKeys::Set(const FleetConfig& aConfig)
{
  mTeams.clear();
  for (const TeamConfig& team : aConfig.mTeams)
    for (const std::string& key : team.mKeys)
      if (!mTeams.emplace(key, team.mName).second)
        Log(LogPart::Config,
            LogLevel::Warn,
            "two teams have the same key; it counts for the first one",
            { { "team", team.mName }, { "first", mTeams[key] } });
}

const std::string* TeamKeys::FindTeam(std::string_view aKey) const
{
  const auto it = mTeams.find(aKey);
  return it == mTeams.end() ? nullptr : &it->second;
}

std::string_view ReadBearerKey(std::string_view aAuthorization)
{
  constexpr std::string_view kScheme = "bearer ";
  if (aAuthorization.size() <= kScheme.size())
    return {};
  for (std::size_t n = 0; n < kScheme.size(); ++n)
    if (std::tolower(static_cast<unsigned char>(aAuthorization[n])) != kScheme[n])
      return {};
  aAuthorization.remove_prefix(kScheme.size());
  const auto first = aAuthorization.find_first_not_of(' ');
  if (first == std::string_view::npos)
    return {};
  const auto last = aAuthorization.find_last_not_of(' ');
  return aAuthorization.substr(first, last - first + 1);
}

CallerAccess GetAccess(const FleetConfig& aConfig,
                       const TeamKeys& aKeys,
                       const QueueConfig& aQueue,
                       std::string_view aAuthorization)
{
  CallerAccess access;
  if (!aConfig.mNeedsKeys)
    return access;
  access.mSeesAllJobs = false;
  const std::string* team = aKeys.FindTeam(ReadBearerKey(aAuthorization));
  if (team)
    access.mTeam = *team;
  access.mIsKnown = team || aQueue.mIsAnonymous;
  if (aQueue.mIsAnonymous)
    access.mAnonymousQueue = aQueue.mName;
  return access;
}

bool MayAccess(const CallerAccess& aAccess, std::string_view aTeam, std::string_view aQueue)
{
  return aAccess.mSeesAllJobs || aTeam.empty() || aTeam == aAccess.mTeam ||
         (!aQueue.empty() && aQueue == aAccess.mAnonymousQueue);
}

bool IsOfAnotherTeam(const JobSpec& aStored, const JobSpec& aJob)
{
  if (aStored.mTeam.empty() || aStored.mTeam == aJob.mTeam)
    return false;
  return !aJob.mTeam.empty() || aStored.mQueue != aJob.mQueue;
}

}  // namespace monsoon::fleet
