// Runs a MembershipTable: sends its heartbeats, and answers reads from any thread. Satisfies
// MembershipView.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>

#include "controllers/membership.h"
#include "core/async.h"

namespace monsoon {

class Membership
{
public:
  using Send = std::function<void(const ProcessName& aTo, const Heartbeat& aHeartbeat)>;
  using Observer = std::function<void(const Heartbeat& aHeartbeat, TimePoint aNow)>;

  // aSend: PeerLink::SendHeartbeat. aPeers: the other processes of the settings.
  Membership(ProcessName aSelf,
             ZoneName aZone,
             std::vector<MemberAddress> aPeers,
             MembershipSettings aSettings,
             Send aSend);

  // Set before Run; all three are called on its thread.
  void SetLocalStatus(std::function<LocalStatus()> aStatus);  // asked before each round
  void SetObserver(Observer aObserver);                       // each heartbeat that was taken
  void SetFreezeHandler(std::function<void()> aHandler);      // the process stood still

  Async<void> Run();  // until Stop
  void Stop();
  void OnHeartbeat(const Heartbeat& aHeartbeat);  // give it to PeerLink::SetHeartbeatHandler

  // Any thread
  [[nodiscard]] std::vector<MemberView> ListMembers() const;
  [[nodiscard]] std::vector<MemberStatus> ListMemberStatuses() const;
  [[nodiscard]] bool IsStoreOutForAll() const;
  [[nodiscard]] bool IsAwake(TimePoint aNow) const noexcept;  // check before each act

private:
  MembershipSettings mSettings;
  Send mSend;
  std::function<LocalStatus()> mGetLocalStatus{};
  Observer mObserver{};
  std::function<void()> mOnFreeze{};
  mutable std::mutex mLock{};
  MembershipTable mTable;
  std::atomic<bool> mStopped = false;
  std::atomic<Duration::rep> mLastTick;  // BootClock, nanoseconds
};

}  // namespace monsoon
