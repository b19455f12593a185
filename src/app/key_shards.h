// The idempotency keys of the job shards that this process owns, with one journal per shard. A
// shard's journal is taken over at the first call for the shard, so that shards without such calls
// cost no store calls.
#pragma once

#include <map>

#include "app/control_plane.h"
#include "controllers/keys.h"
#include "journal/journal.h"

namespace monsoon {

class KeyShards
{
public:
  KeyShards(CellStore& aStore, const ControlPlane& aControl, ProcessName aSelf, ShardIndex aShards);

  // Both must be called on one thread. NotOwner: the detail names the owner. StoreUnavailable: the
  // shard could not be taken over.
  Async<Result<PeerReply>> Handle(KeyRecord aRecord);
  Async<Result<PeerReply>> Handle(KeyOutcome aOutcome);

private:
  using CellJournal = Journal<CellStore>;
  using Controller = KeyController<CellJournal, ControlPlane>;

  struct OwnedShard  // a shard that this process owns in one epoch
  {
    OwnedShard(CellStore& aStore, const ControlPlane& aControl, ShardIndex aShard, Epoch aEpoch);
    Epoch mEpoch = 0;
    CellJournal mJournal;
    Controller mController;
    std::uint32_t mInFlight = 0;  // calls inside the controller
    std::uint32_t mCallsSinceSnapshot = 0;
  };
  using OwnedShardPtr = std::shared_ptr<OwnedShard>;

  Async<Result<OwnedShardPtr>> Acquire(ShardIndex aShard);
  Async<Result<void>> Replay(OwnedShardPtr aOwned);
  Async<void> FinishCall(OwnedShardPtr aOwned);

  CellStore& mStore;
  const ControlPlane& mControl;
  ProcessName mSelf;
  ShardIndex mShards;
  std::map<ShardIndex, OwnedShardPtr> mOwned{};
  std::map<ShardIndex, std::shared_ptr<asio::steady_timer>>
    mTakeovers{};  // takeovers in progress; the timer is cancelled at the end
};

}  // namespace monsoon
