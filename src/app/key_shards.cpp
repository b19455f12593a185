#include "app/key_shards.h"

#include "filters/context.h"

namespace monsoon {

namespace {

constexpr std::uint32_t kSnapshotInterval = 1024;  // calls to one shard between two snapshots
constexpr char kFenceTag = 'f';  // first byte of a fence entry; the new owner's name follows

}  // namespace

KeyShards::OwnedShard::OwnedShard(CellStore& aStore,
                                  const ControlPlane& aControl,
                                  ShardIndex aShard,
                                  Epoch aEpoch)
  : mEpoch(aEpoch)
  , mJournal(aStore, "keys-" + std::to_string(aShard))
  , mController(aShard, mJournal, aControl)
{
}

KeyShards::KeyShards(CellStore& aStore,
                     const ControlPlane& aControl,
                     ProcessName aSelf,
                     ShardIndex aShards)
  : mStore(aStore)
  , mControl(aControl)
  , mSelf(std::move(aSelf))
  , mShards(aShards)
{
}

Async<Result<void>> KeyShards::Replay(OwnedShardPtr aOwned)
{
  auto fenced = co_await aOwned->mJournal.ReplayAndFence(std::string(1, kFenceTag) + mSelf);
  if (!fenced)
    co_return fenced.error();
  if (!fenced->mState.mCorrupt.empty())
    co_return MakeFailure(FailureKind::CorruptEntry, "a value of the key journal can't be read");
  auto restored = aOwned->mController.RestoreSnapshot(fenced->mState.mSnapshot);
  if (!restored)
    co_return restored.error();
  for (const JournalEntry& it : fenced->mState.mEntries) {
    auto applied = aOwned->mController.ApplyEntry(it.mBytes);
    const bool fence = !it.mBytes.empty() && it.mBytes.front() == kFenceTag;
    if (!applied && !fence)
      co_return applied.error();
  }
  aOwned->mController.BeginOwning();
  co_return Result<void>();
}

Async<Result<KeyShards::OwnedShardPtr>> KeyShards::Acquire(ShardIndex aShard)
{
  while (mTakeovers.contains(aShard)) {
    const auto timer = mTakeovers.at(aShard);
    [[maybe_unused]] auto [ec] = co_await timer->async_wait(kNoThrow);
  }
  const auto epoch = mControl.MayActOnShard(aShard, BootClock::now());
  if (!epoch) {
    mOwned.erase(aShard);
    const auto owner = mControl.FindShardOwner(aShard);
    co_return MakeFailure(FailureKind::NotOwner, owner ? owner->mProcess : ProcessName());
  }
  const auto it = mOwned.find(aShard);
  // A journal refuses appends after one with an unknown outcome; only a new replay resolves that.
  if (it != mOwned.end() && it->second->mEpoch == *epoch && !it->second->mJournal.IsRefusing())
    co_return it->second;

  const auto executor = co_await asio::this_coro::executor;
  mTakeovers[aShard] =
    std::make_shared<asio::steady_timer>(executor, asio::steady_timer::time_point::max());
  auto owned = std::make_shared<OwnedShard>(mStore, mControl, aShard, *epoch);
  auto replayed = co_await Replay(owned);
  mTakeovers.at(aShard)->cancel();
  mTakeovers.erase(aShard);
  if (!replayed)
    co_return replayed.error();
  mOwned[aShard] = owned;
  co_return owned;
}

// Takes a snapshot only while no call is in the controller: the snapshot would omit an entry that
// is committed but not yet applied, and that entry would be lost.
Async<void> KeyShards::FinishCall(OwnedShardPtr aOwned)
{
  --aOwned->mInFlight;
  if (++aOwned->mCallsSinceSnapshot < kSnapshotInterval || aOwned->mInFlight > 0)
    co_return;
  aOwned->mCallsSinceSnapshot = 0;
  const Sequence head = aOwned->mJournal.GetHead();
  co_await aOwned->mJournal.WriteSnapshot(head, aOwned->mController.EncodeSnapshot());
}

Async<Result<PeerReply>> KeyShards::Handle(KeyRecord aRecord)
{
  auto owned = co_await Acquire(FindKeyShard(aRecord.mKey, mShards));
  if (!owned)
    co_return owned.error();
  ++(*owned)->mInFlight;
  auto reply = co_await (*owned)->mController.Record(std::move(aRecord));
  co_await FinishCall(*owned);
  co_return reply;
}

Async<Result<PeerReply>> KeyShards::Handle(KeyOutcome aOutcome)
{
  auto owned = co_await Acquire(FindKeyShard(aOutcome.mKey, mShards));
  if (!owned)
    co_return owned.error();
  ++(*owned)->mInFlight;
  auto reply = co_await (*owned)->mController.Report(std::move(aOutcome));
  co_await FinishCall(*owned);
  co_return reply;
}

}  // namespace monsoon
