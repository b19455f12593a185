// Checks of a configuration before it is sent: entries that can never match, limits that contradict
// each other, and what differs from the version in force. Pure; used by `monsoonstage check`.
#pragma once

#include <string>
#include <vector>

#include "fleet/model.h"

namespace monsoon::fleet {

struct ConfigFinding
{
  bool mIsError = false;  // otherwise a warning: it works, but perhaps not as meant
  std::string mText{};
};

[[nodiscard]] std::vector<ConfigFinding> CheckConfig(const FleetConfig& aConfig);

// Each line tells one difference. Keys are counted, never shown.
[[nodiscard]] std::vector<std::string> ListChanges(const FleetConfig& aInForce,
                                                   const FleetConfig& aNext);

// Returns whether entry processes would take aNext over aInForce.
[[nodiscard]] inline bool IsNewer(const FleetConfig& aNext, const FleetConfig& aInForce)
{
  return aNext.mVersion > aInForce.mVersion;
}

}  // namespace monsoon::fleet
