// The idempotency keys of one job shard, kept in its journal. Runs on one executor, which must be a
// single thread.
//
// The shard's owner replays the journal: it calls RestoreSnapshot, then ApplyEntry for each key
// entry, then BeginOwning. The journal's snapshot contains EncodeSnapshot's bytes next to those of
// the jobs.
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
  // NotFound: not a key entry; it may be an entry of the shard's jobs.
  Result<void> ApplyEntry(std::string_view aBytes)
  {
    if (!IsKeyEntry(aBytes))
      return MakeFailure(FailureKind::NotFound, "not a key entry");
    auto entry = DecodeKeyEntry(aBytes);
    if (!entry)
      return entry.error();
    mTable.Apply(*entry);
    return {};
  }
  void BeginOwning()  // called after the replay, when the previous owner is fenced
  {
    mBaseTime = mTable.GetLastTime();
    mOwnedSince = BootClock::now();
  }
  [[nodiscard]] std::string EncodeSnapshot()
  {
    mTable.Forget(Now());
    return mTable.EncodeSnapshot();
  }

  // Answers with a KeyReply; Fresh only after the entry was journaled. NotOwner: the detail names
  // the owner.
  Async<Result<PeerReply>> Record(KeyRecord aRecord)
  {
    if (auto failure = CheckOwner())
      co_return *failure;
    KeyReply reply = mTable.LookUp(aRecord, Now());
    if (reply.mState != KeyState::Fresh)
      co_return PeerReply(std::move(reply));
    // Whether the key is fresh is unknown until the journal has answered, so the caller must retry.
    if (!mPending.insert(aRecord.mKey).second)
      co_return MakeFailure(FailureKind::Conflict, "this key is being recorded");
    auto entry = mTable.MakeEntry(aRecord, Now());
    if (!entry) {
      mPending.erase(aRecord.mKey);
      co_return entry.error();
    }
    auto appended = co_await Append(*entry);
    mPending.erase(aRecord.mKey);
    if (!appended)
      co_return appended.error();
    co_return PeerReply(std::move(reply));
  }

  // Records the outcome of a call. NotFound: the key was dropped. Conflict: another call holds it.
  Async<Result<PeerReply>> Report(KeyOutcome aOutcome)
  {
    if (auto failure = CheckOwner())
      co_return *failure;
    if (mPending.contains(aOutcome.mKey))
      co_return MakeFailure(FailureKind::StoreUnavailable, "this key is being recorded");
    auto entry = mTable.MakeEntry(aOutcome, Now());
    if (!entry)
      co_return entry.error();
    auto appended = co_await Append(*entry);
    if (!appended)
      co_return appended.error();
    co_return PeerReply(Done{});
  }

  [[nodiscard]] const KeyTable& GetTable() const noexcept { return mTable; }

private:
  [[nodiscard]] ShardTime Now() const { return mBaseTime + (BootClock::now() - mOwnedSince); }

  std::optional<Failure> CheckOwner() const
  {
    if (mOwnership.MayActOnShard(mShard, BootClock::now()))
      return std::nullopt;
    const std::optional<OwnerOf> owner = mOwnership.FindShardOwner(mShard);
    return MakeFailure(FailureKind::NotOwner, owner ? owner->mProcess : ProcessName());
  }

  // The journal's compare-and-swap is the fence: a process that has lost the shard can't append,
  // also after a long freeze. An entry whose write is in doubt is not applied; its call gets the
  // failure and sends nothing to an endpoint.
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
  ShardTime mBaseTime{};
  TimePoint mOwnedSince{};
};

}  // namespace monsoon
