// Keeps a copy of a journal's state up to date. A few processes watch the store. The others learn
// the journal's head from heartbeats and fetch new entries from a peer. Runs on one thread.
//
// Index
//   JournalSink        applies entries to a state
//   Slices             encoding of the entries in a JournalSlice
//   JournalFollower
#pragma once

#include <deque>
#include <functional>
#include <map>

#include "core/concepts.h"
#include "journal/journal_types.h"

namespace monsoon {

// JournalSink
template<class T>
concept JournalSink = requires(T& aSink, Sequence aSequence, const std::string& aBytes)
{
  aSink.ApplyEntry(aSequence, aBytes);     // ignored unless above GetApplied
  aSink.ApplySnapshot(aSequence, aBytes);  // ignored unless above GetApplied
  aSink.SkipTo(aSequence);                 // moves GetApplied past values that could not be decoded
  {
    aSink.EncodeState()
    } -> std::same_as<std::string>;  // for a snapshot
  {
    aSink.GetApplied()
    } -> std::same_as<Sequence>;
};

// Slices
[[nodiscard]] std::string EncodeSliceEntry(const JournalEntry& aEntry);
[[nodiscard]] Result<JournalEntry> DecodeSliceEntry(const std::string& aBytes);

inline constexpr Duration kMaxHeadAge = std::chrono::hours(24);  // heartbeats cap a head's age

struct FollowerSettings
{
  Duration mWatchWait = seconds(2);          // longest wait of one watch call
  Duration mPoll = milliseconds(50);         // between checks of the heads from heartbeats
  Duration mRetryAfter = milliseconds(300);  // after a failure
  Duration mMaxUnconfirmed = seconds(3);     // a head unconfirmed for longer is read from the store
  // Usual upper bound of a heartbeat's transit, added to the age of the heads in it.
  Duration mMaxHeartbeatTransit = milliseconds(200);
  Duration mFetchDeadline = seconds(1);
  std::size_t mKeep = 256;           // last entries kept for peers
  std::size_t mSnapshotEvery = 512;  // entries
};

template<JournalLike Journal, Store StoreType, PeerCaller Peers, JournalSink Sink>
class JournalFollower
{
public:
  JournalFollower(StoreType& aStore,
                  Journal& aJournal,
                  Peers& aPeers,
                  Sink& aSink,
                  std::string aName,
                  FollowerSettings aSettings)
    : mStore(aStore)
    , mJournal(aJournal)
    , mPeers(aPeers)
    , mSink(aSink)
    , mName(std::move(aName))
    , mSettings(aSettings)
  {
  }

  // Follows the journal until Stop. aWatches: whether this process is one of those that watch the
  // store; asked before each wait.
  Async<void> Run(std::function<bool()> aWatches);
  void Stop() { mStopped = true; }

  // Appends an entry after the last applied one, and applies it. Conflict: new entries were
  // applied, so the caller must decide again. WriteUnknown: the caller must Refresh before it
  // decides again.
  Async<Result<Sequence>> Append(std::string aBytes);
  Async<Result<void>> Refresh();  // reads new entries from the store

  void OnHead(const ProcessName& aFrom, const JournalHead& aHead, TimePoint aNow);
  [[nodiscard]] JournalHead GetHead(TimePoint aNow) const;
  [[nodiscard]] JournalSlice OnFetch(const JournalFetch& aFetch) const;

  // Returns whether the state was read from the store or a peer.
  [[nodiscard]] bool IsLoaded() const noexcept { return mLoaded; }
  [[nodiscard]] TimePoint GetConfirmedAt() const noexcept { return mConfirmedAt; }

private:
  Async<void> Replay();
  Async<void> Watch();
  Async<void> Follow();
  Async<bool> Fetch();
  Async<void> Snapshot();
  void ApplyNew(const std::vector<JournalEntry>& aEntries);
  void Confirm(TimePoint aAt) { mConfirmedAt = std::max(mConfirmedAt, aAt); }

  StoreType& mStore;
  Journal& mJournal;
  Peers& mPeers;
  Sink& mSink;
  std::string mName;
  FollowerSettings mSettings;
  std::deque<JournalEntry> mTail{};          // last applied entries without gaps, for peers
  std::map<ProcessName, Sequence> mHeads{};  // from heartbeats, above what is applied
  bool mStopped = false;
  bool mReplayed = false;  // mJournal has read the store and may append
  bool mLoaded = false;
  std::uint64_t mWatchRevision = 0;
  Sequence mSnapshotAt = 0;
  TimePoint mConfirmedAt{};
  TimePoint mStoreReadAt{};  // when Follow last read the store
};

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
void JournalFollower<J, S, P, K>::ApplyNew(const std::vector<JournalEntry>& aEntries)
{
  for (const JournalEntry& entry : aEntries) {
    if (entry.mSequence <= mSink.GetApplied())
      continue;
    mSink.ApplyEntry(entry.mSequence, entry.mBytes);
    mTail.push_back(entry);
    if (mTail.size() > mSettings.mKeep)
      mTail.pop_front();
  }
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<void> JournalFollower<J, S, P, K>::Replay()
{
  const TimePoint sent = BootClock::now();
  const auto state = co_await mJournal.Replay();
  if (!state)
    co_return;
  if (state->mSnapshotAt > mSink.GetApplied()) {
    mTail.clear();  // it must be contiguous
    mSink.ApplySnapshot(state->mSnapshotAt, state->mSnapshot);
  }
  mSnapshotAt = state->mSnapshotAt;
  ApplyNew(state->mEntries);
  mSink.SkipTo(state->mHead);
  mReplayed = true;
  mLoaded = true;
  Confirm(sent);
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<Result<void>> JournalFollower<J, S, P, K>::Refresh()
{
  if (!mReplayed) {
    co_await Replay();
    if (!mReplayed)
      co_return MakeFailure(FailureKind::StoreUnavailable, "journal not read yet");
    co_return Result<void>();
  }
  const TimePoint sent = BootClock::now();
  const auto entries = co_await mJournal.ReadNew();
  if (!entries) {
    const FailureKind kind = entries.error().mKind;
    mReplayed = kind != FailureKind::Fenced && kind != FailureKind::CorruptEntry;
    co_return entries.error();
  }
  ApplyNew(*entries);
  mSink.SkipTo(mJournal.GetHead());
  Confirm(sent);
  co_return Result<void>();
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<Result<Sequence>> JournalFollower<J, S, P, K>::Append(std::string aBytes)
{
  // Entries fetched from a peer may be ahead of what mJournal has read.
  if (!mReplayed || mJournal.GetHead() != mSink.GetApplied()) {
    const Sequence before = mSink.GetApplied();
    const auto read = co_await Refresh();
    if (!read)
      co_return read.error();
    if (mSink.GetApplied() != before)
      co_return MakeFailure(FailureKind::Conflict, "new entries were read");
  }
  const Sequence next = mSink.GetApplied() + 1;
  const TimePoint sent = BootClock::now();
  const auto appended = co_await mJournal.AppendAt(next, aBytes);
  if (appended) {
    JournalEntry own;
    own.mSequence = *appended;
    own.mBytes = std::move(aBytes);
    ApplyNew({ own });
    Confirm(sent);
    co_return *appended;
  }
  const FailureKind kind = appended.error().mKind;
  // The write is in doubt, or a snapshot is ahead: mJournal accepts no append until it is replayed.
  if (kind == FailureKind::WriteUnknown || kind == FailureKind::Fenced)
    mReplayed = false;
  if (kind == FailureKind::Conflict)
    co_await Refresh();
  co_return appended.error();
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<void> JournalFollower<J, S, P, K>::Watch()
{
  const auto batch =
    co_await mStore.Watch("journal/" + mName + "/0", mWatchRevision, mSettings.mWatchWait);
  if (!batch) {
    co_await Sleep(mSettings.mRetryAfter);
    co_return;
  }
  mWatchRevision = batch->mRevision;
  if (batch->mChanges.empty() && !batch->mHistoryLost) {
    Confirm(BootClock::now());
    co_return;
  }
  const auto read = co_await Refresh();
  if (!read)
    co_await Sleep(mSettings.mRetryAfter);
  else
    co_await Snapshot();
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<void> JournalFollower<J, S, P, K>::Snapshot()
{
  const Sequence applied = mSink.GetApplied();
  if (applied < mSnapshotAt + mSettings.mSnapshotEvery)
    co_return;
  const auto written = co_await mJournal.WriteSnapshot(applied, mSink.EncodeState());
  if (written)
    mSnapshotAt = applied;
}

// Fetches new entries from the peer with the highest known head. Returns whether a reply was
// applied.
template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<bool> JournalFollower<J, S, P, K>::Fetch()
{
  ProcessName from;
  Sequence best = mSink.GetApplied();
  for (const auto& [name, head] : mHeads)
    if (head > best) {
      from = name;
      best = head;
    }
  if (from.empty())
    co_return false;
  JournalFetch fetch;
  fetch.mJournal = mName;
  fetch.mAfter = mSink.GetApplied();
  const auto reply = co_await mPeers.Call(from, fetch, mSettings.mFetchDeadline);
  mHeads.erase(from);  // its next heartbeat brings it back
  const auto* slice = reply ? std::get_if<JournalSlice>(&*reply) : nullptr;
  if (slice == nullptr)
    co_return false;
  if (slice->mSnapshotAt > 0) {
    mTail.clear();  // it must be contiguous
    mSink.ApplySnapshot(slice->mSnapshotAt, slice->mSnapshot);
  }
  std::vector<JournalEntry> entries;
  for (const std::string& bytes : slice->mEntries) {
    auto entry = DecodeSliceEntry(bytes);
    if (!entry)
      co_return false;
    entries.push_back(std::move(*entry));
  }
  ApplyNew(entries);
  mSink.SkipTo(slice->mHead);
  mLoaded = true;
  co_return true;
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<void> JournalFollower<J, S, P, K>::Follow()
{
  const bool fetched = co_await Fetch();
  if (fetched)
    co_return;
  const TimePoint now = BootClock::now();
  if (now - std::max(mConfirmedAt, mStoreReadAt) > mSettings.mMaxUnconfirmed) {
    mStoreReadAt = now;
    co_await Refresh();
  }
  co_await Sleep(mSettings.mPoll);
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
Async<void> JournalFollower<J, S, P, K>::Run(std::function<bool()> aWatches)
{
  while (!mStopped) {
    if (!mReplayed) {
      co_await Replay();
      if (mReplayed)
        continue;
      co_await Fetch();  // the store is unavailable: read a peer's copy
      co_await Sleep(mSettings.mRetryAfter);
    } else if (aWatches()) {
      co_await Watch();
    } else {
      co_await Follow();
    }
  }
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
void JournalFollower<J, S, P, K>::OnHead(const ProcessName& aFrom,
                                         const JournalHead& aHead,
                                         TimePoint aNow)
{
  if (aHead.mHead > mSink.GetApplied())
    mHeads[aFrom] = aHead.mHead;
  if (aHead.mHead != mSink.GetApplied())
    return;
  mLoaded = true;  // also for an empty journal while the store is unavailable
  Confirm(aNow - aHead.mAge - mSettings.mMaxHeartbeatTransit);
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
JournalHead JournalFollower<J, S, P, K>::GetHead(TimePoint aNow) const
{
  JournalHead head;
  head.mJournal = mName;
  head.mHead = mSink.GetApplied();
  head.mAge = std::min<Duration>(aNow - mConfirmedAt, kMaxHeadAge);
  return head;
}

template<JournalLike J, Store S, PeerCaller P, JournalSink K>
JournalSlice JournalFollower<J, S, P, K>::OnFetch(const JournalFetch& aFetch) const
{
  JournalSlice slice;
  slice.mJournal = mName;
  slice.mHead = mSink.GetApplied();
  const bool reaches = !mTail.empty() && mTail.front().mSequence <= aFetch.mAfter + 1;
  if (!reaches && slice.mHead > aFetch.mAfter) {
    slice.mSnapshotAt = slice.mHead;
    slice.mSnapshot = mSink.EncodeState();
    return slice;
  }
  for (const JournalEntry& entry : mTail)
    if (entry.mSequence > aFetch.mAfter)
      slice.mEntries.push_back(EncodeSliceEntry(entry));
  return slice;
}

}  // namespace monsoon
