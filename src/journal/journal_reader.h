// Reads a journal from the store: the snapshot, then the values after it. Keeps no state between
// calls; Journal uses it for replay, tail reads and read-back.
#pragma once

#include <algorithm>

#include "core/concepts.h"
#include "journal/journal_types.h"
#include "journal/journal_value.h"

namespace monsoon {

struct StoredSnapshot
{
  SnapshotHead mHead{};         // mAt 0: no snapshot
  std::uint64_t mRevision = 0;  // of the snapshot's key; 0: the key has no value
};

struct Tail  // the values after a given sequence
{
  std::vector<JournalEntry> mEntries{};
  std::vector<UnreadableValue> mUnreadable{};
  Sequence mHead = 0;  // last existing value; the given sequence if there is none after it
};

template<Store S>
class JournalReader
{
public:
  JournalReader(S& aStore, std::string aName, std::size_t aPageValues)
    : mStore(aStore)
    , mName(std::move(aName))
    , mPageValues(aPageValues)
  {
  }

  // Returns the snapshot's head record. CorruptEntry: a snapshot exists but can't be decoded.
  Async<Result<StoredSnapshot>> ReadSnapshotHead(CallPurpose aPurpose);
  // Returns the snapshot's bytes, joined from its parts. Conflict: a newer snapshot replaced the
  // parts.
  Async<Result<std::string>> ReadSnapshotBytes(SnapshotHead aHead);
  // Returns the values after aAfter, page by page up to the last one.
  Async<Result<Tail>> ReadTail(Sequence aAfter, CallPurpose aPurpose);
  // Returns the value at a sequence, or std::nullopt if there is none.
  Async<Result<std::optional<StoreValue>>> ReadValue(Sequence aSequence, CallPurpose aPurpose);

private:
  // Decodes one value into the tail and reports it, or a gap before it, as unreadable.
  static void AddValue(const StoreValue& aValue, Tail& aTail);

  S& mStore;
  std::string mName;
  std::size_t mPageValues;  // values per list call
};

template<Store S>
Async<Result<StoredSnapshot>> JournalReader<S>::ReadSnapshotHead(CallPurpose aPurpose)
{
  StoredSnapshot snapshot;
  auto found = co_await mStore.Get(MakeSnapshotKey(mName), aPurpose);
  if (!found)
    co_return found.error();
  if (!*found)
    co_return snapshot;
  auto head = DecodeSnapshot((*found)->mValue);
  if (!head)
    co_return MakeFailure(FailureKind::CorruptEntry,
                          "snapshot of journal " + mName + ": " + head.error().mDetail);
  snapshot.mHead = std::move(*head);
  snapshot.mRevision = (*found)->mRevision;
  co_return snapshot;
}

template<Store S>
Async<Result<std::string>> JournalReader<S>::ReadSnapshotBytes(SnapshotHead aHead)
{
  std::string bytes = aHead.mBytes;
  for (std::uint32_t n = 0; n < aHead.mParts; ++n) {
    auto part = co_await mStore.Get(MakePartKey(mName, aHead, n), CallPurpose::Recovery);
    if (!part)
      co_return part.error();
    if (!*part)
      co_return MakeFailure(FailureKind::Conflict, "a part of the snapshot was deleted");
    bytes += (*part)->mValue;
  }
  if (bytes.size() != aHead.mLength || GetChecksum(bytes) != aHead.mCrc)
    co_return MakeFailure(FailureKind::CorruptEntry,
                          "snapshot of journal " + mName + ": checksum mismatch");
  co_return bytes;
}

template<Store S>
void JournalReader<S>::AddValue(const StoreValue& aValue, Tail& aTail)
{
  const Sequence sequence = ParseValueKey(aValue.mKey);
  // Upper bound on the missing values listed for one gap; of a longer gap the last ones are listed.
  static constexpr Sequence kMaxListed = 1000;
  const Sequence firstListed =
    sequence > kMaxListed ? std::max(aTail.mHead + 1, sequence - kMaxListed) : aTail.mHead + 1;
  for (Sequence n = firstListed; n < sequence; ++n)
    aTail.mUnreadable.push_back({ n, ValueFault::Missing });
  aTail.mHead = sequence;

  ValueFault fault = ValueFault::Corrupt;
  auto value = DecodeValue(aValue.mValue, &fault);
  if (!value) {
    aTail.mUnreadable.push_back({ sequence, fault });
    return;
  }
  for (std::string& entry : value->mEntries)
    aTail.mEntries.push_back({ sequence, std::move(entry) });
}

template<Store S>
Async<Result<Tail>> JournalReader<S>::ReadTail(Sequence aAfter, CallPurpose aPurpose)
{
  Tail tail;
  tail.mHead = aAfter;
  while (true) {
    auto page = co_await mStore.List(
      MakeValuePrefix(mName), MakeValueKey(mName, tail.mHead), mPageValues, aPurpose);
    if (!page)
      co_return page.error();
    for (const StoreValue& it : *page)
      if (ParseValueKey(it.mKey) > tail.mHead)
        AddValue(it, tail);
    if (page->size() < mPageValues)
      co_return tail;
  }
}

template<Store S>
Async<Result<std::optional<StoreValue>>> JournalReader<S>::ReadValue(Sequence aSequence,
                                                                     CallPurpose aPurpose)
{
  co_return co_await mStore.Get(MakeValueKey(mName, aSequence), aPurpose);
}

}  // namespace monsoon
