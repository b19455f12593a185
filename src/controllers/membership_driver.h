// Runs a MembershipTable: sends its heartbeats and serves reads from any thread. Satisfies the
// concept MembershipView.
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

  // aSend: usually PeerLink::SendHeartbeat. aPeers: all other processes listed in the settings.
  Membership(ProcessName aSelf,
             ZoneName aZone,
             std::vector<MemberAddress> aPeers,
             MembershipSettings aSettings,
             Send aSend);

  // Call these before Run. The callbacks are called on the thread of Run.
  void SetLocalStatus(std::function<LocalStatus()> aStatus);  // called before each round
  void SetObserver(Observer aObserver);                       // called with each accepted heartbeat
  void SetFreezeHandler(std::function<void()> aHandler);      // called after this process froze

  Async<void> Run();  // returns after Stop
  void Stop();
  void OnHeartbeat(const Heartbeat& aHeartbeat);  // handler for PeerLink::SetHeartbeatHandler

  // Any thread
  [[nodiscard]] std::vector<MemberView> ListMembers() const;
  [[nodiscard]] std::vector<MemberStatus> ListMemberStatuses() const;
  [[nodiscard]] bool IsStoreOutForAll() const;
  [[nodiscard]] bool IsAwake(TimePoint aNow) const noexcept;  // check before each action

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
