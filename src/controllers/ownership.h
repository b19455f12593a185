// Assigns owners to workers and job shards. Follows the zones' ownership journals, claims free
// resources, ends the sessions of failed processes and takes over what they owned, and hands over
// resources for balance and before a planned stop. Satisfies the concept OwnershipView.
//
// Index
//   OwnershipSettings
//   OwnershipEvent         told to the observer
//   OwnershipSink          applies a zone's journal to an OwnershipTable
//   OwnershipController    runs on one thread; the views may be called from any
#pragma once

#include <functional>
#include <set>
#include <span>

#include "controllers/journal_follower.h"
#include "controllers/ownership_index.h"
#include "controllers/ownership_plan.h"
#include "controllers/rendezvous.h"
#include "controllers/takeover.h"
#include "observe/log.h"

namespace monsoon {

struct OwnershipSettings
{
  std::vector<ZoneName> mZones{};  // of all processes in the settings; the same on each process
  std::uint32_t mShards = 8;       // number of job shards; the same on each process, never changed
  std::uint32_t mWatchers = 2;     // processes that watch a zone's journal in the store
  Duration mTick = milliseconds(200);
  Duration mTakeoverRankDelay = seconds(1);  // wait before a takeover, times own rank (from 0)
  PlanSettings mPlan{};
  SessionSettings mSession{};
  FollowerSettings mFollower{ .mWatchWait = seconds(10) };
};

struct OwnershipEvent  // this process gained or lost a resource
{
  bool mGained = false;
  bool mIsShard = false;
  WorkerName mWorker{};
  ShardIndex mShard = 0;
  Epoch mEpoch = 0;
  TimePoint mQuietUntil{};  // gained: starts sent by the previous owner may still arrive until then
};

// Returns the zone whose journal tracks a job shard.
[[nodiscard]] ZoneName ChooseShardZone(std::span<const ZoneName> aZones, ShardIndex aShard);
[[nodiscard]] OwnershipEvent MakeOwnershipEvent(const ResourceKey& aResource, bool aGained);
// Returns the members that may own resources, without this process.
[[nodiscard]] std::vector<Eligible> ListEligible(std::span<const MemberStatus> aStatuses);
// Returns whether to start a takeover from aOwner: it is unresponsive, no longer in the settings,
// or can't reach the store while this process can.
[[nodiscard]] bool IsTakeoverDue(std::span<const MemberStatus> aStatuses,
                                 const ProcessName& aOwner,
                                 std::uint64_t aIncarnation,
                                 bool aStoreReachable);
[[nodiscard]] std::string MakeOwnershipJournal(const ZoneName& aZone);

struct OwnershipSink  // applies a zone's journal and reports each change
{
  OwnershipTable mTable{};
  std::function<void(const OwnershipChange&)> mOnChange{};
  Duration mSnapshotQuiet{};  // mQuietFor of all changes from a snapshot, which has no entry times

  void ApplyEntry(Sequence aSequence, const std::string& aBytes);
  void ApplySnapshot(Sequence aSequence, const std::string& aBytes);
  void SkipTo(Sequence aSequence) { mTable.SkipTo(aSequence); }
  [[nodiscard]] std::string EncodeState() const { return mTable.EncodeSnapshot(); }
  [[nodiscard]] Sequence GetApplied() const { return mTable.GetApplied(); }
};

// SessionType: MayAct, GetIncarnation, IsStoreReachable, GetPromiseIssuer. MembersType:
// ListMemberStatuses, IsAwake.
template<JournalLike Journal,
         Store StoreType,
         PeerCaller Peers,
         class SessionType,
         class MembersType>
class OwnershipController
{
public:
  using MakeJournal = std::function<std::unique_ptr<Journal>(std::string aName)>;
  using Observer = std::function<void(const OwnershipEvent&)>;

  OwnershipController(StoreType& aStore,
                      Peers& aPeers,
                      SessionType& aSession,
                      MembersType& aMembers,
                      ProcessName aSelf,
                      ZoneName aZone,
                      OwnershipSettings aSettings,
                      MakeJournal aMakeJournal)
    : mStore(aStore)
    , mPeers(aPeers)
    , mSession(aSession)
    , mMembers(aMembers)
    , mSelf(aSelf)
    , mZone(std::move(aZone))
    , mSettings(std::move(aSettings))
    , mMakeJournal(std::move(aMakeJournal))
    , mIndex(std::move(aSelf))
  {
  }

  // The observer is called on the controller's thread: for a gain before this process may act on
  // the resource, for a loss after it no longer may.
  void SetObserver(Observer aObserver) { mObserver = std::move(aObserver); }
  void SetWorkers(std::span<const WorkerSpec> aWorkers);  // from the VM list; any thread
  Async<void> Run();                                      // returns after Stop
  void Stop();
  // For a planned stop: claims nothing any more and hands over everything owned. Retries until the
  // entries are committed or aDeadline has passed.
  Async<Result<void>> HandOverAll(Duration aDeadline);

  void OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow);
  void AddHeads(std::vector<JournalHead>& aHeads, TimePoint aNow) const;
  [[nodiscard]] Result<JournalSlice> OnFetch(const JournalFetch& aFetch) const;

  // OwnershipView: any thread
  [[nodiscard]] std::optional<OwnerOf> FindWorkerOwner(std::string_view aWorker) const
  {
    return mIndex.Find(MakeWorkerKey(aWorker));
  }
  [[nodiscard]] std::optional<OwnerOf> FindShardOwner(ShardIndex aShard) const
  {
    return mIndex.Find(MakeShardKey(aShard));
  }
  [[nodiscard]] std::optional<Epoch> MayActOnWorker(std::string_view aWorker, TimePoint aNow) const
  {
    return MayAct(MakeWorkerKey(aWorker), aNow);
  }
  [[nodiscard]] std::optional<Epoch> MayActOnShard(ShardIndex aShard, TimePoint aNow) const
  {
    return MayAct(MakeShardKey(aShard), aNow);
  }
  [[nodiscard]] std::vector<WorkerName> ListOwnedWorkers() const;
  [[nodiscard]] std::vector<ProcessName> ListOwners() const { return mIndex.ListOwners("worker/"); }

private:
  using Follower = JournalFollower<Journal, StoreType, Peers, OwnershipSink>;
  struct Zone
  {
    ZoneName mName{};
    std::unique_ptr<Journal> mJournal{};
    OwnershipSink mSink{};
    std::unique_ptr<Follower> mFollower{};
    std::vector<ResourceKey> mResources{};
    std::map<ResourceKey, TimePoint> mFreeSince{};
    std::vector<OwnershipEntry> mUnresolved{};  // entries whose append may still take effect
    TimePoint mRebalancedAt{};
    bool mBusy = false;  // an append is in progress
  };
  struct Ended  // a session that this process ended
  {
    std::uint64_t mIncarnation = 0;
    TimePoint mInactiveSince{};  // it sent nothing after this time
  };

  [[nodiscard]] std::optional<Epoch> MayAct(const ResourceKey& aResource, TimePoint aNow) const;
  void OnChange(const OwnershipChange& aChange);
  void NotifyObserver(const ResourceKey& aResource, bool aGained, Epoch aEpoch, Duration aQuietFor);
  void UpdateSession();
  void GroupResourcesByZone();
  void OpenZone(const ZoneName& aName);
  [[nodiscard]] bool IsZoneWatcher(const Zone& aZone) const;
  [[nodiscard]] OwnershipPlanContext MakeContext(const Zone& aZone) const;
  [[nodiscard]] std::vector<OwnershipEntry> Plan(Zone& aZone, bool aStopping);
  Async<void> CommitNextDecision(Zone& aZone);
  Async<bool> Commit(Zone& aZone, std::vector<OwnershipEntry> aEntries);
  void ResolveHandovers(Zone& aZone);
  void FindFailedProcesses();
  Async<void> TakeOver(ProcessName aFailedProcess, std::uint64_t aLatest);

  StoreType& mStore;
  Peers& mPeers;
  SessionType& mSession;
  MembersType& mMembers;
  ProcessName mSelf;
  ZoneName mZone;
  OwnershipSettings mSettings;
  MakeJournal mMakeJournal;
  Observer mObserver{};
  OwnershipIndex mIndex;
  std::map<ZoneName, std::unique_ptr<Zone>> mZones{};
  std::vector<Eligible> mEligible{};
  std::map<ProcessName, Ended> mEnded{};
  std::map<ProcessName, TimePoint> mFailedProcesses{};  // takeover due since
  std::set<ProcessName> mTakeovers{};                   // coroutines in progress
  std::uint64_t mIncarnation = 0;
  std::optional<asio::any_io_executor> mExecutor{};
  std::atomic<bool> mStopped = false;
  bool mStopping = false;
  std::mutex mWorkersLock{};
  std::map<ResourceKey, ZoneName> mWorkers{};
};

}  // namespace monsoon

#include "controllers/ownership_inl.h"
