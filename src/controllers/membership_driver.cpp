#include "controllers/membership_driver.h"

#include <array>

#include "observe/log.h"

namespace monsoon {

namespace {

std::string_view GetStateName(MemberState aState) noexcept
{
  static constexpr std::array<std::string_view, 4> kNames = {
    "alive", "suspect", "dead", "leaving"
  };
  return kNames[static_cast<std::size_t>(aState)];
}

void LogChanges(const std::vector<MemberChange>& aChanges)
{
  for (const MemberChange& it : aChanges)
    Log(LogPart::Membership,
        LogLevel::Info,
        "member changed state",
        { { "process", it.mName },
          { "from", GetStateName(it.mBefore) },
          { "to", GetStateName(it.mAfter) } });
}

}  // namespace

Membership::Membership(ProcessName aSelf,
                       ZoneName aZone,
                       std::vector<MemberAddress> aPeers,
                       MembershipSettings aSettings,
                       Send aSend)
  : mSettings(aSettings)
  , mSend(std::move(aSend))
  , mTable(std::move(aSelf), std::move(aZone), std::move(aPeers), aSettings, BootClock::now())
  , mLastTick(BootClock::now().time_since_epoch().count())
{
}

void Membership::SetLocalStatus(std::function<LocalStatus()> aStatus)
{
  mGetLocalStatus = std::move(aStatus);
}

void Membership::SetObserver(Observer aObserver)
{
  mObserver = std::move(aObserver);
}

void Membership::SetFreezeHandler(std::function<void()> aHandler)
{
  mOnFreeze = std::move(aHandler);
}

Async<void> Membership::Run()
{
  while (!mStopped) {
    const LocalStatus status = mGetLocalStatus ? mGetLocalStatus() : LocalStatus{};
    TickResult result;
    std::vector<MemberChange> changes;
    {
      std::lock_guard lock(mLock);
      const TimePoint now = BootClock::now();
      mTable.SetLocalStatus(status);
      result = mTable.Tick(now);
      mLastTick = now.time_since_epoch().count();
      changes = mTable.TakeChanges();
    }
    LogChanges(changes);
    if (result.mFroze)
      Log(LogPart::Membership, LogLevel::Warn, "this process was frozen");
    if (result.mFroze && mOnFreeze)
      mOnFreeze();
    for (const HeartbeatSend& send : result.mSends)
      mSend(send.mTo, send.mHeartbeat);
    co_await Sleep(mSettings.mInterval);
  }
}

void Membership::Stop()
{
  mStopped = true;
}

void Membership::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  const TimePoint now = BootClock::now();
  bool accepted = false;
  {
    std::lock_guard lock(mLock);
    accepted = mTable.Handle(aHeartbeat, now);
  }
  if (accepted && mObserver)
    mObserver(aHeartbeat, now);
}

std::vector<MemberView> Membership::ListMembers() const
{
  std::lock_guard lock(mLock);
  return mTable.ListMembers();
}

std::vector<MemberStatus> Membership::ListMemberStatuses() const
{
  std::lock_guard lock(mLock);
  return mTable.ListMemberStatuses();
}

bool Membership::IsStoreOutForAll() const
{
  std::lock_guard lock(mLock);
  return mTable.IsStoreOutForAll();
}

bool Membership::IsAwake(TimePoint aNow) const noexcept
{
  const TimePoint last{ Duration(mLastTick.load()) };
  return aNow - last <= mSettings.mFreezeThreshold;
}

}  // namespace monsoon
