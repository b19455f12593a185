// The idempotency keys of the job shards that this process owns, each in a journal of its own. A
// shard is taken over at its first call, so that shards without such work cost no store call.
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

  // One thread. NotOwner names the owner; StoreUnavailable: the shard could not be taken over.
  Async<Result<PeerReply>> Handle(KeyRecord aRecord);
  Async<Result<PeerReply>> Handle(KeyOutcome aOutcome);

private:
  using CellJournal = Journal<CellStore>;
  using Controller = KeyController<CellJournal, ControlPlane>;

  struct OwnedShard  // one shard under one epoch
  {
    OwnedShard(CellStore& aStore, const ControlPlane& aControl, ShardIndex aShard, Epoch aEpoch);
    Epoch mEpoch = 0;
    CellJournal mJournal;
    Controller mController;
    std::uint32_t mInFlight = 0;            // calls inside the controller
    std::uint32_t mCallsSinceSnapshot = 0;  // calls
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
    mTakeovers{};  // cancelled when the takeover ends
};

}  // namespace monsoon
