// The keys of one job shard, kept in its journal. Runs on one executor, which is one thread.
//
// Whoever owns the shard replays the journal, gives each key entry to ApplyEntry (RestoreSnapshot
// first), then calls BeginOwning. The journal's snapshot holds EncodeSnapshot's bytes beside those
// of the jobs.
#pragma once

#include <set>

#include "controllers/key_table.h"
#include "controllers/views.h"
#include "journal/journal_types.h"

namespace monsoon {

template<JournalLike Journal, OwnershipView Ownership>
class KeyController
{
public:
  KeyController(ShardIndex aShard,
                Journal& aJournal,
                const Ownership& aOwnership,
                KeySettings aSettings = {})
    : mShard(aShard)
    , mJournal(aJournal)
    , mOwnership(aOwnership)
    , mTable(aSettings)
  {
  }

  // Replay
  Result<void> RestoreSnapshot(std::string_view aBytes) { return mTable.RestoreSnapshot(aBytes); }
  Result<void> ApplyEntry(std::string_view aBytes)  // NotFound: not a key entry; the jobs' perhaps
  {
    if (!IsKeyEntry(aBytes))
      return MakeFailure(FailureKind::NotFound, "not a key entry");
    auto entry = DecodeKeyEntry(aBytes);
    if (!entry)
      return entry.error();
    mTable.Apply(*entry);
    return {};
  }
  void BeginOwning()  // after the replay and the fence
  {
    mBase = mTable.GetLastTime();
    mBegan = BootClock::now();
  }
  [[nodiscard]] std::string EncodeSnapshot()
  {
    mTable.Forget(Now());
    return mTable.EncodeSnapshot();
  }

  // Answers KeyReply. Fresh comes only after the journal entry stands. NotOwner names the owner.
  Async<Result<PeerReply>> Record(KeyRecord aRecord)
  {
    if (auto failure = CheckOwner())
      co_return *failure;
    KeyReply reply = mTable.Look(aRecord, Now());
    if (reply.mState != KeyState::Fresh)
      co_return PeerReply(std::move(reply));
    // The caller asks again: neither fresh nor taken can be said until the journal has answered.
    if (!mPending.insert(aRecord.mKey).second)
      co_return MakeFailure(FailureKind::Conflict, "a record of this key is under way");
    auto entry = mTable.MakeEntry(aRecord, Now());
    if (!entry) {
      mPending.erase(aRecord.mKey);
      co_return entry.error();
    }
    auto stands = co_await Append(*entry);
    mPending.erase(aRecord.mKey);
    if (!stands)
      co_return stands.error();
    co_return PeerReply(std::move(reply));
  }

  // Answers Done. NotFound: the key was forgotten. Conflict: another call holds it.
  Async<Result<PeerReply>> Report(KeyOutcome aOutcome)
  {
    if (auto failure = CheckOwner())
      co_return *failure;
    if (mPending.contains(aOutcome.mKey))
      co_return MakeFailure(FailureKind::StoreUnavailable, "a record of this key is under way");
    auto entry = mTable.MakeEntry(aOutcome, Now());
    if (!entry)
      co_return entry.error();
    auto stands = co_await Append(*entry);
    if (!stands)
      co_return stands.error();
    co_return PeerReply(Done{});
  }

  [[nodiscard]] const KeyTable& GetTable() const noexcept { return mTable; }

private:
  [[nodiscard]] ShardTime Now() const { return mBase + (BootClock::now() - mBegan); }

  std::optional<Failure> CheckOwner() const
  {
    if (mOwnership.MayActOnShard(mShard, BootClock::now()))
      return std::nullopt;
    const std::optional<OwnerOf> owner = mOwnership.FindShardOwner(mShard);
    return MakeFailure(FailureKind::NotOwner, owner ? owner->mProcess : ProcessName());
  }

  // The journal's compare-and-swap is the fence: a process that lost the shard can't append,
  // however late it wakes. An entry whose fate is unknown is not applied; its call is told so and
  // sends nothing.
  Async<Result<void>> Append(KeyEntry aEntry)
  {
    auto sequence = co_await mJournal.Append(Encode(aEntry));
    if (!sequence)
      co_return sequence.error();
    mTable.Apply(aEntry);
    mTable.Forget(Now());
    co_return Result<void>();
  }

  ShardIndex mShard;
  Journal& mJournal;
  const Ownership& mOwnership;
  KeyTable mTable;
  std::set<std::string> mPending{};  // keys whose record is being journaled
  ShardTime mBase{};
  TimePoint mBegan{};
};

}  // namespace monsoon
