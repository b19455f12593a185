#include "app/control_plane.h"

#include <random>

#include "controllers/configuration.h"
#include "controllers/membership_driver.h"
#include "controllers/ownership.h"
#include "controllers/session_driver.h"
#include "journal/journal.h"
#include "observe/log.h"

namespace monsoon {

namespace {

using CellJournal = Journal<CellStore>;
using CellSession = Session<CellStore, PeerLink>;
using CellOwnership =
  OwnershipController<CellJournal, CellStore, PeerLink, CellSession, Membership>;
using CellConfiguration = ConfigurationController<CellJournal, CellStore, PeerLink>;

constexpr std::uint32_t kConfigurationWatchers = 2;  // processes per zone that watch the store

// Limits how long an append with an unknown outcome blocks these journals: no longer than a change
// may take.
constexpr Duration kResolveFor = seconds(3);

std::unique_ptr<CellJournal> MakeJournal(CellStore& aStore, std::string aName)
{
  JournalSettings settings;
  settings.mResolveFor = kResolveFor;
  return std::make_unique<CellJournal>(aStore, std::move(aName), settings);
}

std::uint64_t DrawNonce()
{
  std::random_device random;
  return (std::uint64_t(random()) << 32) | random();
}

SessionSettings MakeSessionSettings(const Settings& aSettings)
{
  SessionSettings session;
  session.mLease = aSettings.mLease.mSession;
  session.mRenewEvery = aSettings.mLease.mRenewEvery;
  session.mDrift = aSettings.mLease.mDrift;
  session.mExtendByPromises = aSettings.mLease.mOutagePromises == "on";
  return session;
}

MembershipSettings MakeMembershipSettings(const Settings& aSettings)
{
  MembershipSettings membership;
  membership.mInterval = aSettings.mLease.mHeartbeat;
  membership.mSuspectAfter = aSettings.mLease.mSuspectAfter;
  return membership;
}

std::vector<MemberAddress> ListPeers(const Settings& aSettings)
{
  std::vector<MemberAddress> peers;
  for (const PeerSettings& it : aSettings.mPeers)
    peers.push_back({ it.mName, it.mZone });
  return peers;
}

std::vector<ProcessName> ListPeerNames(const Settings& aSettings)
{
  std::vector<ProcessName> names;
  for (const PeerSettings& it : aSettings.mPeers)
    names.push_back(it.mName);
  return names;
}

OwnershipSettings MakeOwnershipSettings(const Settings& aSettings)
{
  OwnershipSettings ownership;
  std::set<ZoneName> zones{ aSettings.mProcess.mZone };
  for (const PeerSettings& it : aSettings.mPeers)
    zones.insert(it.mZone);
  ownership.mZones.assign(zones.begin(), zones.end());
  ownership.mShards = aSettings.mJobs.mShards;
  ownership.mSession = MakeSessionSettings(aSettings);
  return ownership;
}

}  // namespace

struct ControlPlane::State
{
  State(asio::io_context& aContext, const Settings& aSettings, CellStore& aStore, PeerLink& aLink)
    : mContext(aContext)
    , mSettings(aSettings)
    , mStore(aStore)
    , mNonce(DrawNonce())
    , mMembers(aSettings.mProcess.mName,
               aSettings.mProcess.mZone,
               ListPeers(aSettings),
               MakeMembershipSettings(aSettings),
               [&aLink](const ProcessName& aTo, const Heartbeat& aHeartbeat) {
                 aLink.SendHeartbeat(aTo, aHeartbeat);
               })
    , mSession(aStore,
               aLink,
               aSettings.mProcess.mName,
               ListPeerNames(aSettings),
               MakeSessionSettings(aSettings),
               mNonce)
    , mOwnership(aStore,
                 aLink,
                 mSession,
                 mMembers,
                 aSettings.mProcess.mName,
                 aSettings.mProcess.mZone,
                 MakeOwnershipSettings(aSettings),
                 [&aStore](std::string aName) { return MakeJournal(aStore, std::move(aName)); })
    , mConfiguration(aContext.get_executor(),
                     aStore,
                     MakeJournal(aStore, kConfigurationJournal),
                     aLink,
                     aSettings.mProcess.mName,
                     mNonce,
                     ConfigurationSettings{ .mConfirmWithin = aSettings.mLease.mConfirmWithin })
  {
  }

  asio::io_context& mContext;
  const Settings& mSettings;
  CellStore& mStore;
  std::uint64_t mNonce;
  Membership mMembers;
  CellSession mSession;
  CellOwnership mOwnership;
  CellConfiguration mConfiguration;
  ExclusionTable mExclusion{};
  ControlHooks mHooks{};
  std::unique_ptr<StopDriver> mStopDriver{};
  std::atomic<StopState> mStopState = StopState::Ready;
  std::atomic<bool> mStopped = false;
  mutable std::mutex mFleetLock{};
  std::vector<WorkerSpec> mWorkers{};

  LocalStatus MakeLocalStatus() const;
  bool IsConfigurationWatcher() const;
  Async<void> FollowVms();
  Async<void> FollowConfiguration();
  static void LogExclusions(const std::vector<ExclusionChange>& aChanges);
  void ReportFleet();
  [[nodiscard]] std::vector<WorkerSpec> CopyWorkers() const
  {
    std::lock_guard lock(mFleetLock);
    return mWorkers;
  }
};

LocalStatus ControlPlane::State::MakeLocalStatus() const
{
  const TimePoint now = BootClock::now();
  LocalStatus status;
  status.mSession = mSession.GetIncarnation();
  status.mLeaving = mStopState != StopState::Ready;
  status.mReady = mSession.MayAct(now) && mConfiguration.IsConfirmed() && !status.mLeaving;
  status.mStoreReachable = mSession.IsStoreReachable();
  status.mFreeSlots = mHooks.mCountFreeSlots ? mHooks.mCountFreeSlots() : 0;
  mOwnership.AddHeads(status.mHeads, now);
  mConfiguration.AddHeads(status.mHeads, now);
  return status;
}

// The first kConfigurationWatchers live processes of the zone, by name, watch the store; the others
// learn the head of the configuration's journal from heartbeats.
bool ControlPlane::State::IsConfigurationWatcher() const
{
  std::uint32_t earlier = 0;
  for (const MemberView& it : mMembers.ListMembers())
    if (it.mAlive && it.mZone == mSettings.mProcess.mZone && it.mName < mSettings.mProcess.mName)
      ++earlier;
  return earlier < kConfigurationWatchers;
}

void ControlPlane::State::LogExclusions(const std::vector<ExclusionChange>& aChanges)
{
  for (const ExclusionChange& it : aChanges)
    Log(LogPart::Drain,
        LogLevel::Info,
        it.mExcluded ? "takes no new work" : "takes new work again",
        { { "worker", it.mWorker } });
}

void ControlPlane::State::ReportFleet()
{
  const std::vector<WorkerSpec> workers = CopyWorkers();
  std::set<WorkerName> excluded;
  for (const WorkerSpec& it : workers)
    if (mExclusion.IsExcluded(it.mName))
      excluded.insert(it.mName);
  if (mHooks.mOnFleetUpdate)
    mHooks.mOnFleetUpdate(workers, excluded);
}

Async<void> ControlPlane::State::FollowVms()
{
  while (!mStopped) {
    auto workers = co_await mStore.ListWorkers();
    if (workers) {
      LogExclusions(mExclusion.UpdateWorkers(*workers));
      {
        std::lock_guard lock(mFleetLock);
        mWorkers = std::move(*workers);
      }
      mOwnership.SetWorkers(CopyWorkers());
      ReportFleet();
    }
    co_await Sleep(mSettings.mPlatform.mVmListInterval);
  }
}

Async<void> ControlPlane::State::FollowConfiguration()
{
  constexpr Duration kPollInterval = milliseconds(100);
  Revision lastRevision = 0;
  while (!mStopped) {
    const auto configuration = mConfiguration.GetConfiguration();
    if (configuration && configuration->mRevision != lastRevision) {
      lastRevision = configuration->mRevision;
      Log(LogPart::Config,
          LogLevel::Info,
          "configuration in force",
          { { "revision", lastRevision } });
      const auto changes = mExclusion.UpdateConfiguration(*configuration);
      LogExclusions(changes);
      if (!changes.empty())
        ReportFleet();
    }
    co_await Sleep(kPollInterval);
  }
}

ControlPlane::ControlPlane(asio::io_context& aContext,
                           const Settings& aSettings,
                           CellStore& aStore,
                           PeerLink& aLink)
  : mState(std::make_shared<State>(aContext, aSettings, aStore, aLink))
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::Start(ControlHooks aHooks)
{
  State& state = *mState;
  state.mHooks = std::move(aHooks);
  state.mMembers.SetLocalStatus([&state] { return state.MakeLocalStatus(); });
  state.mMembers.SetObserver([&state](const Heartbeat& aHeartbeat, TimePoint aNow) {
    state.mOwnership.OnHeartbeat(aHeartbeat, aNow);
    state.mConfiguration.OnHeartbeat(aHeartbeat, aNow);
  });
  state.mOwnership.SetObserver([&state](const OwnershipEvent& aEvent) {
    Log(LogPart::Ownership,
        LogLevel::Info,
        aEvent.mGained ? "gained" : "lost",
        { { aEvent.mIsShard ? "shard" : "worker",
            aEvent.mIsShard ? std::to_string(aEvent.mShard) : aEvent.mWorker },
          { "epoch", aEvent.mEpoch } });
    if (state.mHooks.mOnOwnershipChanged)
      state.mHooks.mOnOwnershipChanged();
  });
  const auto spawn = [&state](Async<void> aLoop) {
    asio::co_spawn(state.mContext, std::move(aLoop), asio::detached);
  };
  spawn(state.mMembers.Run());
  spawn(state.mSession.Run());
  spawn(state.mSession.RunPromises());
  spawn(state.mOwnership.Run());
  spawn(state.mConfiguration.Run(
    [&state] { return state.IsConfigurationWatcher(); },
    [&state] { return !state.mSession.IsStoreReachable() && state.mMembers.IsStoreOutForAll(); }));
  spawn(state.FollowVms());
  spawn(state.FollowConfiguration());
}

void ControlPlane::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  mState->mMembers.OnHeartbeat(aHeartbeat);
}

Result<PeerReply> ControlPlane::OnFetch(const JournalFetch& aFetch)
{
  if (aFetch.mJournal == kConfigurationJournal)
    return PeerReply(mState->mConfiguration.OnFetch(aFetch));
  auto slice = mState->mOwnership.OnFetch(aFetch);
  if (!slice)
    return slice.error();
  return PeerReply(std::move(*slice));
}

Result<PeerReply> ControlPlane::OnPromiseRequest(const OutagePromiseRequest& aRequest)
{
  return PeerReply(mState->mSession.OnPromiseRequest(aRequest));
}

Async<StopReport> ControlPlane::StopGracefully(std::function<std::size_t()> aCountInFlight,
                                               std::function<void()> aOnDraining)
{
  State& state = *mState;
  StopHooks hooks;
  hooks.mCountInFlight =
    [&state, count = std::move(aCountInFlight), notified = false, aOnDraining]() mutable {
      // The first call comes when draining begins.
      if (!notified && aOnDraining)
        aOnDraining();
      notified = true;
      state.mStopState = state.mStopDriver->GetState();
      return count();
    };
  hooks.mHandOver = [&state](Duration aDeadline) {
    return state.mOwnership.HandOverAll(aDeadline);
  };
  hooks.mEndSession = [&state](Duration aDeadline) { return state.mSession.EndWithin(aDeadline); };
  state.mStopState = StopState::Announced;
  StopSettings settings;
  state.mStopDriver = std::make_unique<StopDriver>(settings, std::move(hooks));
  const StopReport report = co_await state.mStopDriver->Run();
  state.mStopState = StopState::Stopped;
  co_return report;
}

void ControlPlane::Stop()
{
  mState->mStopped = true;
  mState->mMembers.Stop();
  mState->mSession.Stop();
  mState->mOwnership.Stop();
  mState->mConfiguration.Stop();
}

// Readiness

bool ControlPlane::IsReady() const
{
  return std::string_view(DescribeReadiness()) == "ready";
}

const char* ControlPlane::DescribeReadiness() const
{
  if (mState->mStopState != StopState::Ready)
    return "stopping";
  if (!mState->mSession.MayAct(BootClock::now()))
    return "no session lease";
  if (!IsConfirmed())
    return "configuration not confirmed";
  if (mState->mOwnership.ListOwners().empty())
    return "no worker has an owner yet";
  return "ready";
}

StopState ControlPlane::GetStopState() const
{
  return mState->mStopState;
}

// Views

std::optional<OwnerOf> ControlPlane::FindWorkerOwner(std::string_view aWorker) const
{
  return mState->mOwnership.FindWorkerOwner(aWorker);
}

std::optional<OwnerOf> ControlPlane::FindShardOwner(ShardIndex aShard) const
{
  return mState->mOwnership.FindShardOwner(aShard);
}

std::optional<Epoch> ControlPlane::MayActOnWorker(std::string_view aWorker, TimePoint aNow) const
{
  return mState->mOwnership.MayActOnWorker(aWorker, aNow);
}

std::optional<Epoch> ControlPlane::MayActOnShard(ShardIndex aShard, TimePoint aNow) const
{
  return mState->mOwnership.MayActOnShard(aShard, aNow);
}

std::vector<WorkerName> ControlPlane::ListOwnedWorkers() const
{
  return mState->mOwnership.ListOwnedWorkers();
}
std::vector<ProcessName> ControlPlane::ListOwners() const
{
  return mState->mOwnership.ListOwners();
}
std::vector<MemberView> ControlPlane::ListMembers() const
{
  return mState->mMembers.ListMembers();
}

std::shared_ptr<const Configuration> ControlPlane::GetConfiguration() const
{
  return mState->mConfiguration.GetConfiguration();
}

bool ControlPlane::IsConfirmed() const
{
  return mState->mConfiguration.IsConfirmed();
}

Async<Result<Revision>> ControlPlane::Change(std::optional<Revision> aExpected,
                                             std::vector<ConfigurationEntry> aEntries)
{
  return mState->mConfiguration.Change(aExpected, std::move(aEntries));
}

std::uint32_t ControlPlane::CountFreeSlots() const
{
  return mState->mHooks.mCountFreeSlots ? mState->mHooks.mCountFreeSlots() : 0;
}

std::vector<WorkerSpec> ControlPlane::ListWorkers() const
{
  return mState->CopyWorkers();
}
bool ControlPlane::IsExcluded(const WorkerName& aWorker) const
{
  return mState->mExclusion.IsExcluded(aWorker);
}

}  // namespace monsoon
