// Teams of the soak's callers: keys that are added and revoked during a run, limits that shrink and
// rise, and what must hold of the answers to calls with these keys. Draws by itself, so that the
// other faults of a seed stay the same.
#pragma once

#include <map>
#include <optional>
#include <random>

#include "standin/fleet.h"

namespace monsoon {

struct KeyedCall
{
  std::string mKey{};
  TimePoint mSentAt{};
  http::status mAnswer = http::status::unknown;
  bool mInTouch = false;  // the process that answered it has been in touch for long enough
};

class SoakTeams
{
public:
  // aBound: a version is in effect this long after it was written, in processes in touch.
  SoakTeams(std::uint64_t aSeed, Duration aBound);

  [[nodiscard]] const std::vector<standin::StandinTeam>& List() const { return mTeams; }
  std::uint64_t Draw(std::uint64_t aBound) { return mRandom() % aBound; }
  std::string DrawTeam();                           // empty: the caller uses the open queue
  std::string DrawKey(const std::string& aTeam);    // may be revoked or of nobody
  std::string DrawOther(const std::string& aTeam);  // a team other than aTeam
  [[nodiscard]] static std::string GetLastingKey(const std::string& aTeam);

  // Changes a key or a limit. The caller writes the result at once.
  const std::vector<standin::StandinTeam>& Change();
  const std::vector<standin::StandinTeam>& RevokeKey();
  const std::vector<standin::StandinTeam>& RestoreLimits();
  // Returns what is wrong with the answer to a call.
  [[nodiscard]] std::optional<std::string> Check(const KeyedCall& aCall) const;

private:
  struct KeyTimes
  {
    TimePoint mAddedAt{};
    TimePoint mRevokedAt = TimePoint::max();
  };
  void AddKey(standin::StandinTeam& aTeam, std::string aKey);

  std::mt19937_64 mRandom;
  Duration mBound{};
  std::vector<standin::StandinTeam> mTeams{};
  std::map<std::string, KeyTimes> mKeys{};  // all that any version held
  std::uint64_t mNextKey = 0;
};

}  // namespace monsoon
