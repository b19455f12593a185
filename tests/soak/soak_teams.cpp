#include "tests/soak/soak_teams.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr std::uint64_t kNoLimit = 0;
constexpr std::uint64_t kLimits[] = { 4'000, 24'000, kNoLimit };  // in milli-cores
constexpr const char* kNames[] = { "small", "middle", "large" };
constexpr std::size_t kMaxKeys = 4;  // of one team

}  // namespace

SoakTeams::SoakTeams(std::uint64_t aSeed, Duration aBound)
  : mRandom(aSeed + 2'000'000)
  , mBound(aBound)
{
  for (std::size_t n = 0; n < std::size(kNames); ++n) {
    mTeams.push_back({ kNames[n], {}, kLimits[n] });
    AddKey(mTeams.back(), GetLastingKey(kNames[n]));
  }
}

std::string SoakTeams::GetLastingKey(const std::string& aTeam)
{
  return aTeam + "-lasting";
}

void SoakTeams::AddKey(standin::StandinTeam& aTeam, std::string aKey)
{
  mKeys[aKey].mAddedAt = BootClock::now();
  aTeam.mKeys.push_back(std::move(aKey));
}

std::string SoakTeams::DrawTeam()
{
  const std::uint64_t n = Draw(10);
  if (n == 0)
    return {};
  return n == 1 ? kNames[0] : n < 4 ? kNames[1] : kNames[2];
}

std::string SoakTeams::DrawOther(const std::string& aTeam)
{
  const auto at = std::find(std::begin(kNames), std::end(kNames), aTeam) - std::begin(kNames);
  return kNames[(static_cast<std::size_t>(at) + 1 + Draw(2)) % std::size(kNames)];
}

std::string SoakTeams::DrawKey(const std::string& aTeam)
{
  const std::uint64_t kind = Draw(20);
  if (kind == 0)
    return "nobody-" + std::to_string(Draw(1000));
  if (kind < 3) {
    std::vector<std::string> revoked;
    for (const auto& [key, times] : mKeys)
      if (key.starts_with(aTeam) && times.mRevokedAt != TimePoint::max())
        revoked.push_back(key);
    if (!revoked.empty())
      return revoked[Draw(revoked.size())];
  }
  for (const standin::StandinTeam& it : mTeams)
    if (it.mName == aTeam)
      return it.mKeys[Draw(it.mKeys.size())];
  return {};
}

const std::vector<standin::StandinTeam>& SoakTeams::RevokeKey()
{
  standin::StandinTeam& team = mTeams[Draw(mTeams.size())];
  if (team.mKeys.size() < 2)
    return Change();
  const auto key =
    team.mKeys.begin() + 1 + static_cast<std::ptrdiff_t>(Draw(team.mKeys.size() - 1));
  mKeys[*key].mRevokedAt = BootClock::now();
  team.mKeys.erase(key);
  return mTeams;
}

const std::vector<standin::StandinTeam>& SoakTeams::Change()
{
  const std::size_t n = Draw(mTeams.size());
  standin::StandinTeam& team = mTeams[n];
  switch (Draw(4)) {
    case 0:
      team.mMilliCores = std::max(kLimits[0], kLimits[n] / 2);
      if (kLimits[n] == kNoLimit)
        team.mMilliCores = kNoLimit;
      break;
    case 1:
      team.mMilliCores = 2 * kLimits[n];
      break;
    case 2:
      if (team.mKeys.size() > 1)
        return RevokeKey();
      [[fallthrough]];
    default:
      if (team.mKeys.size() < kMaxKeys)
        AddKey(team, team.mName + "-" + std::to_string(mNextKey++));
      break;
  }
  return mTeams;
}

const std::vector<standin::StandinTeam>& SoakTeams::RestoreLimits()
{
  for (std::size_t n = 0; n < mTeams.size(); ++n)
    mTeams[n].mMilliCores = kLimits[n];
  return mTeams;
}

std::optional<std::string> SoakTeams::Check(const KeyedCall& aCall) const
{
  const bool isServed = aCall.mAnswer == http::status::ok;
  const auto key = mKeys.find(aCall.mKey);
  if (key == mKeys.end())
    return isServed
             ? std::optional("a call with a key that no version held is served: " + aCall.mKey)
             : std::nullopt;
  const KeyTimes& times = key->second;
  if (!aCall.mInTouch)
    return {};
  if (isServed && times.mRevokedAt != TimePoint::max() && aCall.mSentAt > times.mRevokedAt + mBound)
    return "a call with a key that was revoked " +
           std::to_string((aCall.mSentAt - times.mRevokedAt) / milliseconds(1)) +
           " ms before is served: " + aCall.mKey;
  if (aCall.mAnswer == http::status::unauthorized && times.mRevokedAt == TimePoint::max() &&
      aCall.mSentAt > times.mAddedAt + mBound)
    return "a call with a valid key is refused: " + aCall.mKey;
  return {};
}

}  // namespace monsoon
