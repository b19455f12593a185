// Tests the drivers of membership, session and ownership together: several scheduler processes run
// inside the test over an in-memory store. Waits end as soon as their condition holds; their limit
// is generous and no measure of speed.
#include <catch2/catch.hpp>

#include "control_mocks.h"
#include "controllers/membership_driver.h"
#include "controllers/ownership.h"
#include "controllers/session_driver.h"
#include "journal/journal.h"

using namespace monsoon;
using namespace monsoon::mocks;

namespace {

using TestSession = Session<AsyncStore, MemoryPeers>;
using TestOwnership =
  OwnershipController<Journal<AsyncStore>, AsyncStore, MemoryPeers, TestSession, Membership>;

struct Cell;

struct Process
{
  Process(Cell& aCell, ProcessName aName, ZoneName aZone);

  AsyncStore mStore;
  MemoryPeers mPeers;
  std::unique_ptr<Membership> mMembers{};
  std::unique_ptr<TestSession> mSession{};
  std::unique_ptr<TestOwnership> mOwnership{};
  std::vector<OwnershipEvent> mEvents{};
  bool mDead = false;
};

struct Cell
{
  asio::io_context mContext{ 1 };
  MemoryStore mMemory{};
  std::map<ProcessName, MemoryPeers::Handler> mHandlers{};
  std::map<ProcessName, std::unique_ptr<Process>> mProcesses{};
  std::vector<WorkerSpec> mWorkers{};
  SessionSettings mSession{ .mLease = milliseconds(600),
                            .mRenewEvery = milliseconds(100),
                            .mDrift = milliseconds(50),
                            .mRetryAfter = milliseconds(20) };

  static std::vector<MemberAddress> ListOthers(const ProcessName& aSelf)
  {
    std::vector<MemberAddress> others;
    for (const auto* name : { "a1", "a2", "b1" })
      if (name != aSelf)
        others.push_back({ name, name[0] == 'a' ? "zone-a" : "zone-b" });
    return others;
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const TimePoint bound = BootClock::now() + seconds(60);
    while (!aCondition() && BootClock::now() < bound)
      mContext.run_for(milliseconds(5));
    return aCondition();
  }

  void Kill(const ProcessName& aName)
  {
    Process& process = *mProcesses.at(aName);
    process.mDead = true;
    mHandlers.erase(aName);
    process.mMembers->Stop();
    process.mSession->Stop();
    process.mOwnership->Stop();
  }

  // Returns whether every live process sees all workers and shards owned by one of aOwners.
  bool IsOwnedBy(const std::set<ProcessName>& aOwners)
  {
    for (const auto& [name, process] : mProcesses) {
      if (process->mDead)
        continue;
      for (const WorkerSpec& worker : mWorkers) {
        const auto owner = process->mOwnership->FindWorkerOwner(worker.mName);
        if (!owner || !aOwners.contains(owner->mProcess))
          return false;
      }
      for (ShardIndex i = 0; i < 4; ++i) {
        const auto owner = process->mOwnership->FindShardOwner(i);
        if (!owner || !aOwners.contains(owner->mProcess))
          return false;
      }
    }
    return true;
  }
};

Process::Process(Cell& aCell, ProcessName aName, ZoneName aZone)
  : mStore{ aCell.mMemory }
  , mPeers{ aCell.mHandlers, aName }
{
  MembershipSettings membership;
  membership.mInterval = milliseconds(20);
  membership.mSuspectAfter = milliseconds(200);
  membership.mFreezeThreshold = seconds(30);
  const auto others = Cell::ListOthers(aName);
  mMembers = std::make_unique<Membership>(
    aName, aZone, others, membership, [&aCell](const ProcessName& aTo, const Heartbeat& aHeart) {
      auto it = aCell.mProcesses.find(aTo);
      if (it != aCell.mProcesses.end() && !it->second->mDead)
        it->second->mMembers->OnHeartbeat(aHeart);
    });
  std::vector<ProcessName> names;
  for (const MemberAddress& other : others)
    names.push_back(other.mName);
  mSession = std::make_unique<TestSession>(
    mStore, mPeers, aName, names, aCell.mSession, HashPair(aName, "nonce"));
  OwnershipSettings settings;
  settings.mZones = { "zone-a", "zone-b" };
  settings.mShards = 4;
  settings.mTick = milliseconds(20);
  settings.mSession = aCell.mSession;
  settings.mPlan.mClaimGrace = milliseconds(300);
  settings.mPlan.mSettleTime = milliseconds(200);
  settings.mFollower.mWatchWait = milliseconds(200);
  settings.mFollower.mPoll = milliseconds(5);
  mOwnership = std::make_unique<TestOwnership>(
    mStore, mPeers, *mSession, *mMembers, aName, aZone, settings, [this](std::string aJournal) {
      return std::make_unique<Journal<AsyncStore>>(mStore, std::move(aJournal));
    });
  mOwnership->SetWorkers(aCell.mWorkers);
  mOwnership->SetObserver([this](const OwnershipEvent& aEvent) { mEvents.push_back(aEvent); });
  mMembers->SetLocalStatus([this] {
    LocalStatus status;
    status.mSession = mSession->GetIncarnation();
    status.mReady = mSession->MayAct(BootClock::now());
    status.mStoreReachable = mSession->IsStoreReachable();
    mOwnership->AddHeads(status.mHeads, BootClock::now());
    return status;
  });
  mMembers->SetObserver([this](const Heartbeat& aHeartbeat, TimePoint aNow) {
    mOwnership->OnHeartbeat(aHeartbeat, aNow);
  });
  aCell.mHandlers[aName] = [this](ProcessName, PeerRequest aRequest) -> Result<PeerReply> {
    if (const auto* fetch = std::get_if<JournalFetch>(&aRequest)) {
      auto slice = mOwnership->OnFetch(*fetch);
      if (!slice)
        return slice.error();
      return PeerReply(*slice);
    }
    if (const auto* promise = std::get_if<OutagePromiseRequest>(&aRequest))
      return PeerReply(mSession->OnPromiseRequest(*promise));
    return MakeFailure(FailureKind::BadInput);
  };
  asio::co_spawn(aCell.mContext, mMembers->Run(), asio::detached);
  asio::co_spawn(aCell.mContext, mSession->Run(), asio::detached);
  asio::co_spawn(aCell.mContext, mSession->RunPromises(), asio::detached);
  asio::co_spawn(aCell.mContext, mOwnership->Run(), asio::detached);
}

void Fill(Cell& aCell)
{
  for (int i = 0; i < 12; ++i) {
    WorkerSpec worker;
    worker.mName = "worker-" + std::to_string(i);
    worker.mZone = i % 2 == 0 ? "zone-a" : "zone-b";
    aCell.mWorkers.push_back(worker);
  }
  for (const auto* name : { "a1", "a2", "b1" })
    aCell.mProcesses[name] =
      std::make_unique<Process>(aCell, name, name[0] == 'a' ? "zone-a" : "zone-b");
}

}  // namespace

TEST_CASE("a cell gets owners, survives the death of one, and hands over before a stop",
          "[ownership][drivers]")
{
  static_assert(OwnershipView<TestOwnership>);
  static_assert(MembershipView<Membership>);
  Cell cell;
  Fill(cell);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnedBy({ "a1", "a2", "b1" }); }));
  // Processes of a worker's own zone take precedence.
  REQUIRE(cell.RunUntil([&] {
    for (const WorkerSpec& worker : cell.mWorkers) {
      const auto owner = cell.mProcesses["a1"]->mOwnership->FindWorkerOwner(worker.mName);
      if (owner->mProcess[0] != worker.mZone.back())
        return false;
    }
    return true;
  }));

  // An idle cell calls the store only for lease renewals and watches.
  cell.mContext.run_for(milliseconds(500));
  const auto callsBefore = cell.mMemory.mByPurpose;
  const TimePoint since = BootClock::now();
  cell.mContext.run_for(seconds(2));
  const double elapsed = std::chrono::duration<double>(BootClock::now() - since).count();
  const auto count = [&](CallPurpose aPurpose) {
    const auto i = static_cast<std::size_t>(aPurpose);
    return cell.mMemory.mByPurpose[i] - callsBefore[i];
  };
  CHECK(count(CallPurpose::Journal) == 0);
  CHECK(count(CallPurpose::Recovery) == 0);
  WARN("store calls per second when idle, 3 processes, 10 renewals and 5 watches a second each: "
       << static_cast<double>(count(CallPurpose::Session)) / elapsed << " renewals, "
       << static_cast<double>(count(CallPurpose::Watch)) / elapsed << " watches");

  const auto before = cell.mProcesses["a2"]->mOwnership->FindWorkerOwner("worker-1")->mEpoch;
  cell.Kill("b1");
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnedBy({ "a1", "a2" }); }));
  CHECK(cell.mProcesses["a2"]->mOwnership->FindWorkerOwner("worker-1")->mEpoch > before);

  std::optional<Result<void>> handed;
  asio::co_spawn(
    cell.mContext,
    [&]() -> Async<void> {
      handed = co_await cell.mProcesses["a1"]->mOwnership->HandOverAll(seconds(30));
    },
    asio::detached);
  REQUIRE(cell.RunUntil([&] { return handed.has_value(); }));
  CHECK(handed->has_value());
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnedBy({ "a2" }); }));
  CHECK(cell.mProcesses["a1"]->mOwnership->ListOwnedWorkers().empty());
  CHECK(cell.mProcesses["a2"]->mOwnership->ListOwnedWorkers().size() == 12);
  CHECK(cell.mProcesses["a2"]->mOwnership->MayActOnWorker("worker-0", BootClock::now()));
  cell.Kill("a1");
  cell.Kill("a2");
  cell.mContext.run_for(milliseconds(500));
}
