// Who else is alive. Heartbeats go by UDP to the processes of the own zone; a few speakers per zone
// talk to the speakers of other zones. Each heartbeat carries a bounded sample of gossip, so the
// traffic of one process does not grow with the fleet.
//
// Index
//   MembershipSettings
//   MemberStatus          what the other controllers ask
//   MembershipTable      pure state: time is passed in
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
  Duration mInterval = milliseconds(300);      // between two rounds in the zone
  Duration mSuspectAfter = milliseconds(700);  // silence of a process of the own zone
  Duration mSuspicion = seconds(2);            // suspect before it counts as dead
  Duration mFreezeThreshold = seconds(1);      // a longer gap between own ticks is a freeze
  Duration mFreezeSettleTime =
    milliseconds(300);                 // after a freeze: queued datagrams are old, ignored
  std::uint32_t mCrossZoneRounds = 4;  // rounds between two of the speakers
  std::uint32_t mSpeakers = 2;         // per zone
  std::uint32_t mFanout = 12;          // receivers per round at most
  std::uint32_t mGossip = 6;           // members per heartbeat at most
};

struct MemberAddress  // another process of the settings
{
  ProcessName mName{};
  ZoneName mZone{};
};

struct MemberStatus
{
  ProcessName mName{};
  ZoneName mZone{};
  MemberState mState = MemberState::Dead;
  std::uint64_t mSession = 0;  // 0: none, or not known
  bool mReady = false;
  bool mStoreReachable = true;
  std::uint32_t mFreeSlots = 0;
  TimePoint mSince{};  // since when in mState
};

struct LocalStatus  // what a process says of itself
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
  bool mFroze = false;  // a gap above the bound lies behind: nothing known before it holds
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
  // False: ignored, since it is old, unknown, or was queued while this process was frozen.
  bool Handle(const Heartbeat& aHeartbeat, TimePoint aNow);
  TickResult Tick(TimePoint aNow);
  [[nodiscard]] std::vector<MemberChange> TakeChanges();  // since the last call; for the log

  // False from the moment a freeze could have begun until the tick that noticed it has run.
  [[nodiscard]] bool IsAwake(TimePoint aNow) const noexcept;
  [[nodiscard]] std::vector<MemberStatus> ListMemberStatuses() const;  // without the process itself
  [[nodiscard]] std::vector<MemberView> ListMembers() const;
  [[nodiscard]] bool IsStoreOutForAll() const;  // every other process is heard of and says so
  [[nodiscard]] std::uint64_t GetIncarnation() const noexcept;

private:
  struct Member
  {
    ZoneName mZone{};
    MemberMachine mMachine{};
    MemberGossip mLast{};            // newest known
    TimePoint mUpdatedAt{};          // when the newest was learnt
    TimePoint mLastDirectAt{};       // last direct heartbeat
    TimePoint mSince{};              // of the present state
    bool mHeardDirectly = false;     // heard of directly since it was last suspected
    std::uint32_t mSpreadsLeft = 0;  // heartbeats that still spread the last change
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
  LocalStatus mOwn{};
  std::uint64_t mIncarnation = 1;
  std::uint64_t mCount = 0;
  std::uint64_t mRound = 0;
  std::size_t mCrossZoneCursor = 0;
  std::size_t mGossipCursor = 0;
  TimePoint mLastTick{};
  TimePoint mIgnoreUntil{};
};

}  // namespace monsoon
