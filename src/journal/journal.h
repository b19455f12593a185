// Durable log on top of the platform's key-value store, on which all durable state is built.
// Entries have a total order: each value is written create-if-absent under the next sequence
// number. Provides group commit, snapshots and fencing. Satisfies JournalLike; journal_types.h
// documents the calls.
//
// A journal is used from one io_context that is run by one thread. Any number of coroutines may
// wait in its calls; the journal and its store must outlive them.
//
// Index
//   Settings
//   Journal
//   Reading     journal_reading.h
//   Writing     journal_writing.h
//   Snapshots   journal_snapshot.h
#pragma once

#include <deque>
#include <functional>
#include <random>

#include "journal/coroutine_mutex.h"
#include "journal/journal_reader.h"

namespace monsoon {

// Settings
struct JournalSettings
{
  std::size_t mMaxValueBytes = kMaxStoreValueBytes - kValueHeadroomBytes;  // of a value's entries
  std::size_t mMaxPendingBytes = 16 * 1024 * 1024;  // of waiting appends; more: BudgetExhausted
  std::size_t mPageValues = 32;                     // values per list call
  std::size_t mMaxDeletes = 128;                    // old values that one WriteSnapshot deletes
  Duration mResolveFor = seconds(30);               // to settle an append; longer: WriteUnknown
  Duration mInitialBackoff = milliseconds(20);      // between attempts to settle a write,
  Duration mMaxBackoff = seconds(1);                // doubled after each up to this
  Duration mRetention = seconds(120);               // values younger than this are not deleted
  std::function<TimePoint()> mNow = &BootClock::now;
  std::uint64_t mWriter = 0;  // writer's part of the write nonces; 0: a random number
};

struct FencedState  // the state from which a new owner starts
{
  JournalState mState{};  // everything before the fence
  Sequence mFence = 0;    // sequence of the fence entry; no other writer can append below it
};

// Journal
template<Store S>
class Journal
{
public:
  Journal(S& aStore, std::string aName, JournalSettings aSettings = {});
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // JournalLike
  Async<Result<JournalState>> Replay();
  Async<Result<std::vector<JournalEntry>>> ReadNew();  // Fenced: values were trimmed, Replay.
                                                       // CorruptEntry: Replay lists the values
  Async<Result<Sequence>> Append(std::string aBytes);  // after WriteUnknown: refused until Replay
  Async<Result<Sequence>> AppendAt(Sequence aSequence, std::string aBytes);
  Async<Result<void>> WriteSnapshot(Sequence aSequence, std::string aBytes);
  [[nodiscard]] Sequence GetHead() const noexcept { return mHead; }

  // Replays the journal and appends a fence entry directly after the last value read. Success
  // proves that the state is complete and that the next append of every earlier writer fails with
  // Fenced.
  Async<Result<FencedState>> ReplayAndFence(std::string aFence);

  // State
  // Whether appends are refused until the next Replay.
  [[nodiscard]] bool IsRefusing() const noexcept { return mRefusal.has_value(); }
  [[nodiscard]] const std::vector<UnreadableValue>& ListUnreadable() const noexcept
  {
    return mUnreadable;  // found by the last Replay
  }
  [[nodiscard]] std::string GetWatchPrefix() const { return MakeValuePrefix(mName); }

private:
  struct Waiter  // one Append call
  {
    Waiter(const asio::any_io_executor& aExecutor, std::string aBytes)
      : mBytes(std::move(aBytes))
      , mTimer(aExecutor, asio::steady_timer::time_point::max())
    {
    }
    std::string mBytes;
    asio::steady_timer mTimer;  // never expires; cancelled when mResult is set
    std::optional<Result<Sequence>> mResult{};
  };
  using Batch = std::vector<std::shared_ptr<Waiter>>;

  Async<Result<JournalState>> ReadOnce();
  bool MayBeTrimmed(TimePoint aSince) const;
  Async<void> WritePending();
  Async<Result<Sequence>> WriteNext(std::vector<std::string> aEntries);
  Async<Result<void>> WriteValue(Sequence aSequence, std::vector<std::string> aEntries);
  Async<Result<bool>> IsCommitted(Sequence aSequence, WriteNonce aNonce, TimePoint aDeadline);
  Async<Result<void>> CheckNotTrimmed(Sequence aSequence, TimePoint aDeadline);
  Batch PopBatch();
  void CompleteBatch(const Batch& aBatch, const Result<Sequence>& aResult);
  Failure MakeRefusal() const;
  Async<Result<void>> WriteParts(SnapshotHead& aHead, const std::string& aBytes);
  Async<Result<std::uint64_t>> ReplaceHead(const StoredSnapshot& aOld, std::string aBytes);
  Async<void> DeleteParts(SnapshotHead aHead);
  Async<void> DeleteOldValues(Sequence aUpTo);
  void RecordHead();
  Sequence FindLastDeletable(Sequence aUpTo);
  Duration DoubleBackoff(Duration aBackoff) const
  {
    return std::min(aBackoff * 2, mSettings.mMaxBackoff);
  }

  S& mStore;
  std::string mName;
  JournalSettings mSettings;
  JournalReader<S> mReader;
  std::shared_ptr<CoroutineMutex> mMutex =
    std::make_shared<CoroutineMutex>();  // serializes reads and writes of the tail
  Sequence mHead = 0;
  TimePoint mConfirmedAt{};       // mHead was the last value at some time at or after this
  std::uint64_t mNonceCount = 0;  // nonces used, by values and snapshots
  std::optional<FailureKind> mRefusal = std::nullopt;  // why appends are refused until Replay
  std::vector<UnreadableValue> mUnreadable{};
  std::deque<std::shared_ptr<Waiter>> mPending{};
  std::size_t mPendingBytes = 0;
  bool mWriting = false;                                      // a WritePending coroutine is running
  std::deque<std::pair<TimePoint, Sequence>> mHeadHistory{};  // when each head was known to exist
};

template<Store S>
Journal<S>::Journal(S& aStore, std::string aName, JournalSettings aSettings)
  : mStore(aStore)
  , mName(std::move(aName))
  , mSettings(std::move(aSettings))
  , mReader(aStore, mName, mSettings.mPageValues)
{
  if (mSettings.mWriter == 0) {
    std::random_device random;
    mSettings.mWriter = (std::uint64_t(random()) << 32) | random();
  }
}

}  // namespace monsoon

#include "journal/journal_reading.h"
#include "journal/journal_snapshot.h"
#include "journal/journal_writing.h"
