// Snapshots of Journal and deletion of the values that they cover. Included by journal.h only.
#pragma once

namespace monsoon {

template<Store S>
Async<Result<void>> Journal<S>::WriteSnapshot(Sequence aSequence, std::string aBytes)
{
  static constexpr int kMaxTries = 5;
  if (aSequence == 0 || aSequence > mHead)
    co_return MakeFailure(FailureKind::BadInput,
                          "a snapshot cannot cover sequences after the journal's head");
  RecordHead();
  SnapshotHead head;
  head.mNonce.mWriter = mSettings.mWriter;
  head.mNonce.mCount = ++mNonceCount;
  head.mAt = aSequence;
  head.mLength = aBytes.size();
  head.mCrc = GetChecksum(aBytes);
  auto parts = co_await WriteParts(head, aBytes);
  if (!parts)
    co_return parts.error();

  // Each attempt reads first: this settles a previous write with unknown result before the next
  // one.
  const std::string bytes = EncodeSnapshot(head);
  Result<std::uint64_t> written =
    MakeFailure(FailureKind::Conflict, "other writers kept replacing the snapshot");
  SnapshotHead superseded;
  for (int n = 0; n < kMaxTries && !written.has_value(); ++n) {
    auto stored = co_await mReader.ReadSnapshotHead(CallPurpose::Snapshot);
    if (!stored)
      co_return stored.error();
    if (stored->mHead.mAt >= aSequence) {
      const bool ours = stored->mHead.mNonce == head.mNonce;
      written = stored->mRevision;
      if (!ours)
        superseded = head;  // an equal or newer snapshot exists: delete our parts
      break;
    }
    superseded = stored->mHead;
    written = co_await ReplaceHead(*stored, bytes);
  }
  if (!written)
    co_return written.error();
  co_await DeleteParts(superseded);
  co_await DeleteOldValues(aSequence);
  co_return Result<void>();
}

template<Store S>
Async<Result<std::uint64_t>> Journal<S>::ReplaceHead(const StoredSnapshot& aOld, std::string aBytes)
{
  const std::string key = MakeSnapshotKey(mName);
  if (aOld.mRevision == 0)
    co_return co_await mStore.Create(key, std::move(aBytes), CallPurpose::Snapshot);
  co_return co_await mStore.CompareAndSwap(
    key, std::move(aBytes), aOld.mRevision, CallPurpose::Snapshot);
}

// Puts a small snapshot into the head record itself. Writes the parts of a large one before the
// head, under keys that only this call uses.
template<Store S>
Async<Result<void>> Journal<S>::WriteParts(SnapshotHead& aHead, const std::string& aBytes)
{
  const std::size_t partBytes = mSettings.mMaxValueBytes;
  if (aBytes.size() <= partBytes) {
    aHead.mBytes = aBytes;
    co_return Result<void>();
  }
  for (std::size_t at = 0; at < aBytes.size(); at += partBytes) {
    const std::string key = MakePartKey(mName, aHead, aHead.mParts);
    auto written = co_await mStore.Create(key, aBytes.substr(at, partBytes), CallPurpose::Snapshot);
    if (!written && !ProvesNotWritten(written.error().mKind)) {
      auto found = co_await mStore.Get(key, CallPurpose::Snapshot);
      if (found.has_value() && found->has_value())
        written = (*found)->mRevision;  // only this call writes the key
    }
    if (!written) {
      co_await DeleteParts(aHead);
      co_return written.error();
    }
    ++aHead.mParts;
  }
  co_return Result<void>();
}

template<Store S>
Async<void> Journal<S>::DeleteParts(SnapshotHead aHead)
{
  for (std::uint32_t n = 0; n < aHead.mParts; ++n)
    co_await mStore.Delete(MakePartKey(mName, aHead, n), 0, CallPurpose::Snapshot);
}

// Records that all values up to the head exist now; they may be deleted mRetention later.
template<Store S>
void Journal<S>::RecordHead()
{
  if (mHeadHistory.empty() || mHeadHistory.back().second < mHead)
    mHeadHistory.emplace_back(mSettings.mNow(), mHead);
}

// Returns the last sequence, at most aUpTo, that is old enough to be deleted; 0: none.
template<Store S>
Sequence Journal<S>::FindLastDeletable(Sequence aUpTo)
{
  const TimePoint oldest = mSettings.mNow() - mSettings.mRetention;
  while (mHeadHistory.size() > 1 && mHeadHistory[1].first <= oldest)
    mHeadHistory.pop_front();
  if (mHeadHistory.empty() || mHeadHistory.front().first > oldest)
    return 0;
  return std::min(aUpTo, mHeadHistory.front().second);
}

// Deletes the oldest values first, so that the remaining ones have no gap. Stops at the first
// failure; the next snapshot deletes the rest.
template<Store S>
Async<void> Journal<S>::DeleteOldValues(Sequence aUpTo)
{
  const Sequence last = FindLastDeletable(aUpTo);
  for (std::size_t n = 0; last > 0 && n < mSettings.mMaxDeletes;) {
    const std::size_t limit = std::min(mSettings.mPageValues, mSettings.mMaxDeletes - n);
    auto page = co_await mStore.List(MakeValuePrefix(mName), "", limit, CallPurpose::Snapshot);
    if (!page || page->empty())
      co_return;
    for (const StoreValue& it : *page) {
      const Sequence sequence = ParseValueKey(it.mKey);
      if (sequence > last)
        co_return;
      auto deleted = co_await mStore.Delete(it.mKey, it.mRevision, CallPurpose::Snapshot);
      if (!deleted)
        co_return;
      ++n;
    }
  }
}

}  // namespace monsoon
