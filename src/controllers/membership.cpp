#include "controllers/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "controllers/rendezvous.h"

namespace monsoon {

namespace {

constexpr std::uint32_t kChangeSpreadCount = 8;  // heartbeats that carry a change at priority

bool IsPresent(MemberState aState) noexcept
{
  return aState == MemberState::Alive || aState == MemberState::Leaving;
}

}  // namespace

MembershipTable::MembershipTable(ProcessName aSelf,
                                 ZoneName aZone,
                                 std::vector<MemberAddress> aPeers,
                                 MembershipSettings aSettings,
                                 TimePoint aNow)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mSettings(aSettings)
  , mLastTick(aNow)
{
  for (MemberAddress& peer : aPeers) {
    Member& member = mMembers[peer.mName];
    member.mZone = std::move(peer.mZone);
    member.mLast.mName = peer.mName;
    member.mSince = aNow;
  }
}

void MembershipTable::SetLocalStatus(LocalStatus aStatus)
{
  mLocalStatus = std::move(aStatus);
}

bool MembershipTable::IsAwake(TimePoint aNow) const noexcept
{
  return aNow - mLastTick <= mSettings.mFreezeThreshold;
}

std::uint64_t MembershipTable::GetIncarnation() const noexcept
{
  return mIncarnation;
}

bool MembershipTable::Handle(const Heartbeat& aHeartbeat, TimePoint aNow)
{
  // Datagrams that the kernel queued during a freeze would make dead processes look alive.
  if (!IsAwake(aNow) || aNow < mIgnoreUntil)
    return false;
  auto it = mMembers.find(aHeartbeat.mFrom);
  if (it == mMembers.end())
    return false;
  for (const MemberGossip& gossip : aHeartbeat.mMembers) {
    if (gossip.mName == mSelf) {
      RefuteOwnGossip(gossip);
      continue;
    }
    auto other = mMembers.find(gossip.mName);
    if (other != mMembers.end() && other != it)
      ApplyGossip(other->second, gossip, aNow);
  }
  Member& member = it->second;
  const auto version = std::tie(member.mLast.mIncarnation, member.mLast.mCount);
  if (std::tie(aHeartbeat.mIncarnation, aHeartbeat.mCount) <= version)
    return false;
  member.mLastDirectAt = aNow;
  member.mHeardDirectly = true;
  MemberGossip gossip;
  gossip.mName = aHeartbeat.mFrom;
  gossip.mIncarnation = aHeartbeat.mIncarnation;
  gossip.mCount = aHeartbeat.mCount;
  gossip.mState = aHeartbeat.mLeaving ? MemberState::Leaving : MemberState::Alive;
  gossip.mSession = aHeartbeat.mSession;
  gossip.mReady = aHeartbeat.mReady;
  gossip.mStoreReachable = aHeartbeat.mStoreReachable;
  gossip.mFreeSlots = aHeartbeat.mFreeSlots;
  ApplyGossip(member, gossip, aNow);
  return true;
}

// Raises the own incarnation when another process suspects this one, or knows a newer incarnation
// or count of it. The higher incarnation overrides that gossip everywhere.
void MembershipTable::RefuteOwnGossip(const MemberGossip& aGossip)
{
  const bool newer = aGossip.mIncarnation > mIncarnation ||
                     (aGossip.mIncarnation == mIncarnation && aGossip.mCount > mCount);
  const bool suspected =
    aGossip.mIncarnation == mIncarnation &&
    (aGossip.mState == MemberState::Suspect || aGossip.mState == MemberState::Dead);
  if (newer || suspected)
    mIncarnation = aGossip.mIncarnation + 1;
}

void MembershipTable::ApplyGossip(Member& aMember, const MemberGossip& aGossip, TimePoint aNow)
{
  MemberGossip& last = aMember.mLast;
  if (aGossip.mIncarnation < last.mIncarnation)
    return;
  if (aGossip.mState == MemberState::Suspect || aGossip.mState == MemberState::Dead) {
    // A suspicion from gossip applies unless a newer heartbeat is known here.
    if (aGossip.mIncarnation == last.mIncarnation && aGossip.mCount < last.mCount)
      return;
    if (aGossip.mIncarnation > last.mIncarnation)
      return;
    Advance(aMember, MemberEvent::TimedOut, aNow);
    if (aGossip.mState == MemberState::Dead)
      Advance(aMember, MemberEvent::SuspicionExpired, aNow);
    return;
  }
  const bool newIncarnation = aGossip.mIncarnation > last.mIncarnation;
  if (!newIncarnation && aGossip.mCount <= last.mCount)
    return;
  last = aGossip;
  aMember.mUpdatedAt = aNow;
  Advance(
    aMember, newIncarnation ? MemberEvent::NewIncarnation : MemberEvent::HeartbeatReceived, aNow);
  if (aGossip.mState == MemberState::Leaving)
    Advance(aMember, MemberEvent::StopAnnounced, aNow);
}

void MembershipTable::Advance(Member& aMember, MemberEvent aEvent, TimePoint aNow)
{
  const MemberState before = aMember.mMachine.GetState();
  aMember.mMachine.Process(aEvent);
  if (aMember.mMachine.GetState() == before)
    return;
  mChanges.push_back({ aMember.mLast.mName, before, aMember.mMachine.GetState() });
  aMember.mSince = aNow;
  aMember.mSpreadsLeft = kChangeSpreadCount;
  if (before == MemberState::Alive)
    aMember.mHeardDirectly = false;
}

// Updates about a process that sends no heartbeats here arrive by gossip, which covers all members
// once per rotation; the timeout is longer by two rotations at the pace of cross-zone rounds.
Duration MembershipTable::GetSuspectTimeout(const Member& aMember) const
{
  if (aMember.mHeardDirectly && aMember.mZone == mZone)
    return mSettings.mSuspectAfter;
  const auto rotation = 1 + mMembers.size() / std::max(1U, mSettings.mGossip);
  return mSettings.mSuspectAfter +
         2 * static_cast<std::int64_t>(rotation) * mSettings.mCrossZoneRounds * mSettings.mInterval;
}

void MembershipTable::DetectFailures(TimePoint aNow)
{
  for (auto& [name, member] : mMembers) {
    const MemberState state = member.mMachine.GetState();
    if (IsPresent(state) && aNow - member.mUpdatedAt > GetSuspectTimeout(member))
      Advance(member, MemberEvent::TimedOut, aNow);
    else if (state == MemberState::Suspect && aNow - member.mSince > mSettings.mSuspicion)
      Advance(member, MemberEvent::SuspicionExpired, aNow);
  }
}

std::vector<MemberChange> MembershipTable::TakeChanges()
{
  return std::exchange(mChanges, {});
}

TickResult MembershipTable::Tick(TimePoint aNow)
{
  TickResult result;
  result.mFroze = !IsAwake(aNow);
  mLastTick = aNow;
  if (result.mFroze) {
    // This process missed the heartbeats of the others, so their timeouts restart now. The higher
    // incarnation refutes suspicions that they raised about this process during the freeze.
    ++mIncarnation;
    mIgnoreUntil = aNow + mSettings.mFreezeSettleTime;
    for (auto& [name, member] : mMembers)
      member.mUpdatedAt = std::max(member.mUpdatedAt, aNow);
  }
  DetectFailures(aNow);
  ++mCount;
  ++mRound;
  for (const ProcessName& name : ChooseReceivers())
    result.mSends.push_back({ name, MakeHeartbeat(name) });
  return result;
}

std::vector<ProcessName> MembershipTable::ListSpeakers(const ZoneName& aZone) const
{
  std::vector<ProcessName> present;
  std::vector<ProcessName> all;
  for (const auto& [name, member] : mMembers) {
    if (member.mZone != aZone)
      continue;
    all.push_back(name);
    if (IsPresent(member.mMachine.GetState()))
      present.push_back(name);
  }
  if (aZone == mZone)
    present.push_back(mSelf);
  auto ranked = RankCandidates("speaker/" + aZone, present.empty() ? all : present);
  if (ranked.size() > mSettings.mSpeakers)
    ranked.resize(mSettings.mSpeakers);
  return ranked;
}

std::vector<ProcessName> MembershipTable::ChooseReceivers()
{
  // The names of the zone form a ring; in a zone larger than mFanout a process sends heartbeats
  // only to the mFanout processes that follow it.
  std::vector<ProcessName> zone;
  for (auto it = mMembers.upper_bound(mSelf); it != mMembers.end(); ++it)
    if (it->second.mZone == mZone)
      zone.push_back(it->first);
  for (auto it = mMembers.begin(); it != mMembers.upper_bound(mSelf); ++it)
    if (it->second.mZone == mZone)
      zone.push_back(it->first);
  if (zone.size() > mSettings.mFanout)
    zone.resize(mSettings.mFanout);

  const auto own = ListSpeakers(mZone);
  const bool isSpeaker = std::find(own.begin(), own.end(), mSelf) != own.end();
  if (!isSpeaker || mRound % mSettings.mCrossZoneRounds != 0)
    return zone;
  std::vector<ZoneName> zones;
  for (const auto& [name, member] : mMembers)
    if (member.mZone != mZone)
      zones.push_back(member.mZone);
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  std::vector<ProcessName> remote;
  for (const ZoneName& name : zones)
    for (ProcessName& speaker : ListSpeakers(name))
      remote.push_back(std::move(speaker));
  const std::size_t n = std::min<std::size_t>(remote.size(), mSettings.mFanout);
  for (std::size_t i = 0; i < n; ++i)
    zone.push_back(remote[mCrossZoneCursor++ % remote.size()]);
  return zone;
}

Heartbeat MembershipTable::MakeHeartbeat(const ProcessName& aTo)
{
  Heartbeat heartbeat;
  heartbeat.mFrom = mSelf;
  heartbeat.mZone = mZone;
  heartbeat.mIncarnation = mIncarnation;
  heartbeat.mCount = mCount;
  heartbeat.mSession = mLocalStatus.mSession;
  heartbeat.mLeaving = mLocalStatus.mLeaving;
  heartbeat.mReady = mLocalStatus.mReady;
  heartbeat.mStoreReachable = mLocalStatus.mStoreReachable;
  heartbeat.mFreeSlots = mLocalStatus.mFreeSlots;
  heartbeat.mHeads = mLocalStatus.mHeads;
  const auto addGossip = [&](const Member& aMember) {
    MemberGossip gossip = aMember.mLast;
    gossip.mState = aMember.mMachine.GetState();
    heartbeat.mMembers.push_back(std::move(gossip));
  };
  // Always include what is known about the receiver, so that it can refute a wrong suspicion at
  // once.
  addGossip(mMembers.at(aTo));
  for (auto& [name, member] : mMembers) {
    if (heartbeat.mMembers.size() >= mSettings.mGossip)
      return heartbeat;
    if (member.mSpreadsLeft == 0 || name == aTo)
      continue;
    --member.mSpreadsLeft;
    addGossip(member);
  }
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    if (heartbeat.mMembers.size() >= mSettings.mGossip)
      return heartbeat;
    auto it =
      std::next(mMembers.begin(), static_cast<std::ptrdiff_t>(mGossipCursor++ % mMembers.size()));
    if (it->first != aTo && it->second.mSpreadsLeft == 0 && it->second.mLast.mIncarnation > 0)
      addGossip(it->second);
  }
  return heartbeat;
}

std::vector<MemberStatus> MembershipTable::ListMemberStatuses() const
{
  std::vector<MemberStatus> statuses;
  statuses.reserve(mMembers.size());
  for (const auto& [name, member] : mMembers)
    statuses.push_back({ name,
                         member.mZone,
                         member.mMachine.GetState(),
                         member.mLast.mSession,
                         member.mLast.mReady,
                         member.mLast.mStoreReachable,
                         member.mLast.mFreeSlots,
                         member.mSince });
  return statuses;
}

std::vector<MemberView> MembershipTable::ListMembers() const
{
  std::vector<MemberView> views;
  views.reserve(mMembers.size());
  for (const MemberStatus& it : ListMemberStatuses())
    views.push_back({ it.mName,
                      it.mZone,
                      IsPresent(it.mState),
                      it.mState == MemberState::Leaving,
                      it.mFreeSlots });
  return views;
}

bool MembershipTable::IsStoreOutForAll() const
{
  for (const auto& [name, member] : mMembers)
    if (!IsPresent(member.mMachine.GetState()) || member.mLast.mStoreReachable)
      return false;
  return !mMembers.empty();
}

}  // namespace monsoon
