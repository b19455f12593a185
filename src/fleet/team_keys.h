// Which team a caller belongs to, and which jobs it may see, by the key that it sends.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "fleet/model.h"

namespace monsoon::fleet {

class TeamKeys
{
public:
  void Set(const FleetConfig& aConfig);
  // Returns the team that has the key, or nullptr.
  [[nodiscard]] const std::string* FindTeam(std::string_view aKey) const;

private:
  std::map<std::string, std::string, std::less<>> mTeams{};  // by key
};

struct CallerAccess  // what the key of a request, or its absence, allows
{
  bool mIsKnown = true;           // false: refuse the request
  bool mSeesAllJobs = true;       // no teams are configured
  std::string mTeam{};            // sees its own jobs; empty: none
  std::string mAnonymousQueue{};  // and all jobs of this one
  bool operator==(const CallerAccess&) const = default;
};

// Returns the key of an Authorization header "Bearer KEY"; empty if there is none.
[[nodiscard]] std::string_view ReadBearerKey(std::string_view aAuthorization);

[[nodiscard]] CallerAccess GetAccess(const FleetConfig& aConfig,
                                     const TeamKeys& aKeys,
                                     const QueueConfig& aQueue,
                                     std::string_view aAuthorization);

// Returns whether the caller may see and cancel a job of this team and queue. Jobs without a team
// were accepted by an earlier release, without teams, or from an anonymous caller: anyone with a
// valid key may name them.
[[nodiscard]] bool MayAccess(const CallerAccess& aAccess,
                             std::string_view aTeam,
                             std::string_view aQueue);

// Returns whether a stored job was submitted by another team than one of the same id. A caller
// without a key may repeat what an anonymous queue has accepted.
[[nodiscard]] bool IsOfAnotherTeam(const JobSpec& aStored, const JobSpec& aJob);

}  // namespace monsoon::fleet
