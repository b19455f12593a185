// What the tasks of each team have at one time, over all workers, and the limits on it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fleet/model.h"

namespace monsoon::fleet {

[[nodiscard]] TeamResources Multiply(const TeamResources& aNeed, std::int64_t aCount);
[[nodiscard]] TeamResources Add(const TeamResources& aLeft, const TeamResources& aRight);

class TeamLimits
{
public:
  TeamLimits();
  TeamLimits(TeamLimits&&) noexcept;
  TeamLimits& operator=(TeamLimits&&) noexcept;
  ~TeamLimits();
  void SetTeams(const std::vector<TeamConfig>& aTeams);
  void Add(const std::string& aTeam, const TeamResources& aNeed);
  void Remove(const std::string& aTeam, const TeamResources& aNeed);
  [[nodiscard]] TeamResources GetUse(const std::string& aTeam) const;
  [[nodiscard]] TeamResources GetLimit(const std::string& aTeam) const;
  // Returns whether the team may have aNeed more. Without a limit it may.
  [[nodiscard]] bool Allows(const std::string& aTeam, const TeamResources& aNeed) const;
  [[nodiscard]] bool IsLimited(const std::string& aTeam) const;

private:
  struct State;  // core/model.h has other jobs and priorities under the names of this part's

  std::unique_ptr<State> mState;
};

}  // namespace monsoon::fleet
