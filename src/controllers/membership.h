// Group membership and failure detection. Each process sends UDP heartbeats to processes of its own
// zone; a few speakers per zone also exchange heartbeats with the speakers of other zones. Every
// heartbeat carries a bounded sample of gossip about other members, so the traffic of one process
// does not grow with the fleet.
//
// Index
//   MembershipSettings
//   MemberStatus         what is known about another process
//   LocalStatus          what this process reports about itself
//   MembershipTable      the protocol; does no I/O, the current time is passed in
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "controllers/member_machine.h"
#include "controllers/views.h"
#include "peer/messages.h"

namespace monsoon {

struct MembershipSettings
{
  Duration mInterval = milliseconds(300);      // between two heartbeat rounds within the zone
  Duration mSuspectAfter = milliseconds(700);  // without heartbeats from a process of the own zone
  Duration mSuspicion = seconds(2);            // time as Suspect before a member becomes Dead
  Duration mFreezeThreshold = seconds(1);      // a longer gap between two ticks is a freeze
  Duration mFreezeSettleTime = milliseconds(300);  // after a freeze, stale heartbeats are ignored
  std::uint32_t mCrossZoneRounds = 4;  // cross-zone heartbeats are sent every so many rounds
  std::uint32_t mSpeakers = 2;         // per zone
  std::uint32_t mFanout = 12;          // max receivers per round, in the own zone and in all others
  std::uint32_t mGossip = 6;           // max members per heartbeat
};

struct MemberAddress  // another process listed in the settings
{
  ProcessName mName{};
  ZoneName mZone{};
};

struct MemberStatus
{
  ProcessName mName{};
  ZoneName mZone{};
  MemberState mState = MemberState::Dead;
  std::uint64_t mSession = 0;  // incarnation of its session lease; 0: none or unknown
  bool mReady = false;
  bool mStoreReachable = true;
  std::uint32_t mFreeSlots = 0;
  TimePoint mSince{};  // when it entered mState
};

struct LocalStatus  // sent in every heartbeat
{
  std::uint64_t mSession = 0;
  bool mLeaving = false;
  bool mReady = false;
  bool mStoreReachable = true;
  std::uint32_t mFreeSlots = 0;
  std::vector<JournalHead> mHeads{};
};

struct MemberChange
{
  ProcessName mName{};
  MemberState mBefore = MemberState::Dead;
  MemberState mAfter = MemberState::Dead;
};

struct HeartbeatSend
{
  ProcessName mTo{};
  Heartbeat mHeartbeat{};
};

struct TickResult
{
  bool mFroze = false;  // this process was frozen: conclusions from before are outdated
  std::vector<HeartbeatSend> mSends{};
};

class MembershipTable
{
public:
  MembershipTable(ProcessName aSelf,
                  ZoneName aZone,
                  std::vector<MemberAddress> aPeers,
                  MembershipSettings aSettings,
                  TimePoint aNow);

  void SetLocalStatus(LocalStatus aStatus);
  // Returns false when the heartbeat is ignored: it is stale, its sender is unknown, or it may have
  // been queued while this process was frozen.
  bool Handle(const Heartbeat& aHeartbeat, TimePoint aNow);
  TickResult Tick(TimePoint aNow);                        // runs one round; call it every mInterval
  [[nodiscard]] std::vector<MemberChange> TakeChanges();  // since the last call

  // Returns false once the last tick is older than mFreezeThreshold, until the next tick has run.
  [[nodiscard]] bool IsAwake(TimePoint aNow) const noexcept;
  [[nodiscard]] std::vector<MemberStatus> ListMemberStatuses() const;  // all but this process
  [[nodiscard]] std::vector<MemberView> ListMembers() const;
  [[nodiscard]] bool IsStoreOutForAll() const;  // every other member is present and reports it
  [[nodiscard]] std::uint64_t GetIncarnation() const noexcept;

private:
  struct Member
  {
    ZoneName mZone{};
    MemberMachine mMachine{};
    MemberGossip mLast{};            // newest update
    TimePoint mUpdatedAt{};          // when mLast arrived
    TimePoint mLastDirectAt{};       // last direct heartbeat
    TimePoint mSince{};              // when the current state was entered
    bool mHeardDirectly = false;     // sent a heartbeat here since it was last suspected
    std::uint32_t mSpreadsLeft = 0;  // heartbeats that will still carry the last change
  };

  void ApplyGossip(Member& aMember, const MemberGossip& aGossip, TimePoint aNow);
  void RefuteOwnGossip(const MemberGossip& aGossip);
  void Advance(Member& aMember, MemberEvent aEvent, TimePoint aNow);
  void DetectFailures(TimePoint aNow);
  [[nodiscard]] Duration GetSuspectTimeout(const Member& aMember) const;
  [[nodiscard]] std::vector<ProcessName> ListSpeakers(const ZoneName& aZone) const;
  [[nodiscard]] std::vector<ProcessName> ChooseReceivers();
  [[nodiscard]] Heartbeat MakeHeartbeat(const ProcessName& aTo);

  ProcessName mSelf;
  ZoneName mZone;
  MembershipSettings mSettings;
  std::map<ProcessName, Member> mMembers{};
  std::vector<MemberChange> mChanges{};
  LocalStatus mLocalStatus{};
  std::uint64_t mIncarnation = 1;
  std::uint64_t mCount = 0;
  std::uint64_t mRound = 0;
  std::size_t mCrossZoneCursor = 0;
  std::size_t mGossipCursor = 0;
  TimePoint mLastTick{};
  TimePoint mIgnoreUntil{};
};

}  // namespace monsoon
