// Replay, tail reads and fencing of Journal. Included by journal.h only.
#pragma once

namespace monsoon {

// Returns whether values after the head known at aSince may have been written and deleted since
// then. Values are deleted at the earliest mRetention after they were written. A journal that knew
// the head less than half of that ago by its own clock has missed no deleted value; the other half
// covers clock drift. Otherwise the snapshot must be checked: a writer that was suspended while a
// snapshot was written could find its next sequence free again.
template<Store S>
bool Journal<S>::MayBeTrimmed(TimePoint aSince) const
{
  return mSettings.mNow() - aSince >= mSettings.mRetention / 2;
}

// Reads snapshot and tail once. Conflict: they changed while they were read.
template<Store S>
Async<Result<JournalState>> Journal<S>::ReadOnce()
{
  const TimePoint startedAt = mSettings.mNow();
  auto snapshot = co_await mReader.ReadSnapshotHead(CallPurpose::Recovery);
  if (!snapshot)
    co_return snapshot.error();
  auto bytes = co_await mReader.ReadSnapshotBytes(snapshot->mHead);
  if (!bytes)
    co_return bytes.error();
  auto tail = co_await mReader.ReadTail(snapshot->mHead.mAt, CallPurpose::Recovery);
  if (!tail)
    co_return tail.error();
  const bool gap =
    std::any_of(tail->mUnreadable.begin(), tail->mUnreadable.end(), [](const auto& aValue) {
      return aValue.mFault == ValueFault::Missing;
    });
  if (gap || MayBeTrimmed(startedAt)) {
    auto again = co_await mReader.ReadSnapshotHead(CallPurpose::Recovery);
    if (!again)
      co_return again.error();
    if (again->mRevision != snapshot->mRevision)
      co_return MakeFailure(FailureKind::Conflict, "a snapshot was written during the replay");
  }

  JournalState state;
  state.mSnapshotAt = snapshot->mHead.mAt;
  state.mSnapshot = std::move(*bytes);
  state.mEntries = std::move(tail->mEntries);
  state.mHead = tail->mHead;
  for (const UnreadableValue& it : tail->mUnreadable)
    state.mCorrupt.push_back(it.mSequence);
  mUnreadable = std::move(tail->mUnreadable);
  mHead = state.mHead;
  mConfirmedAt = startedAt;
  co_return state;
}

template<Store S>
Async<Result<JournalState>> Journal<S>::Replay()
{
  static constexpr int kMaxPasses = 8;
  const CoroutineMutex::Guard guard = co_await mMutex->Lock();
  Result<JournalState> state = MakeFailure(FailureKind::Conflict);
  for (int n = 0; n < kMaxPasses; ++n) {
    state = co_await ReadOnce();
    if (state.has_value() || state.error().mKind != FailureKind::Conflict)
      break;
  }
  if (!state)
    co_return state;
  mRefusal.reset();
  RecordHead();
  co_return state;
}

template<Store S>
Async<Result<std::vector<JournalEntry>>> Journal<S>::ReadNew()
{
  const CoroutineMutex::Guard guard = co_await mMutex->Lock();
  const TimePoint startedAt = mSettings.mNow();
  auto tail = co_await mReader.ReadTail(mHead, CallPurpose::Journal);
  if (!tail)
    co_return tail.error();
  if (MayBeTrimmed(mConfirmedAt) || !tail->mUnreadable.empty()) {
    auto snapshot = co_await mReader.ReadSnapshotHead(CallPurpose::Journal);
    if (!snapshot)
      co_return snapshot.error();
    if (snapshot->mHead.mAt > mHead)
      co_return MakeFailure(FailureKind::Fenced,
                            "a snapshot replaced the next entries: replay is needed");
  }
  if (!tail->mUnreadable.empty())
    co_return MakeFailure(FailureKind::CorruptEntry,
                          "journal " + mName + ": unreadable value at sequence " +
                            std::to_string(tail->mUnreadable.front().mSequence));
  mHead = tail->mHead;
  mConfirmedAt = startedAt;
  co_return std::move(tail->mEntries);
}

template<Store S>
Async<Result<FencedState>> Journal<S>::ReplayAndFence(std::string aFence)
{
  static constexpr int kMaxTries = 16;
  FencedState fenced;
  bool replayed = false;  // whether fenced.mState is up to date
  for (int n = 0; n < kMaxTries; ++n) {
    if (!replayed) {
      auto state = co_await Replay();
      if (!state)
        co_return state.error();
      fenced.mState = std::move(*state);
      replayed = true;
    }
    auto at = co_await AppendAt(fenced.mState.mHead + 1, aFence);
    if (at.has_value()) {
      fenced.mFence = *at;
      co_return fenced;
    }
    if (at.error().mKind == FailureKind::Fenced) {
      replayed = false;
      continue;
    }
    if (at.error().mKind != FailureKind::Conflict)
      co_return at.error();
    auto more = co_await ReadNew();
    replayed = more.has_value();
    if (!more)
      continue;
    std::move(more->begin(), more->end(), std::back_inserter(fenced.mState.mEntries));
    fenced.mState.mHead = mHead;
  }
  co_return MakeFailure(FailureKind::Conflict, "other writers kept appending to the journal");
}

}  // namespace monsoon
