// The one durable primitive: entries in a total order, written create-if-absent into the platform's
// store, with group commit, a snapshot and fencing. Satisfies JournalLike; journal_types.h has the
// meaning of the calls.
//
// A journal object is used from one io_context that one thread runs. Any number of coroutines may
// wait in its calls; it must outlive them, and so must the store.
//
// Index
//   Settings
//   Journal
//   Reading
//   Writing
//   Snapshots
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
  std::size_t mMaxValueBytes = kMaxStoreValueBytes - kValueHeadroomBytes;  // entries of one value
  std::size_t mMaxPendingBytes = 16 * 1024 * 1024;  // appends that wait; above: BudgetExhausted
  std::size_t mPageValues = 32;                     // values per list call
  std::size_t mMaxDeletes = 128;                    // old values per WriteSnapshot
  Duration mResolveFor = seconds(30);               // then an ambiguous append is WriteUnknown
  Duration mInitialBackoff = milliseconds(20);      // between reads after an ambiguous write,
  Duration mMaxBackoff = seconds(1);                // doubled up to this
  Duration mRetention = seconds(120);               // least age of a value that is deleted
  std::function<TimePoint()> mNow = &BootClock::now;
  std::uint64_t mWriter = 0;  // nonce of this writer; 0: a random one
};

struct FencedState  // what a new owner starts from
{
  JournalState mState{};  // everything before the fence
  Sequence mFence = 0;    // where the fence entry stands; no other writer can append below it
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
  Async<Result<std::vector<JournalEntry>>> ReadNew();  // Fenced: trimmed meanwhile, Replay.
                                                       // CorruptEntry: Replay reports which
  Async<Result<Sequence>> Append(std::string aBytes);  // WriteUnknown: refuses until Replay
  Async<Result<Sequence>> AppendAt(Sequence aSequence, std::string aBytes);
  Async<Result<void>> WriteSnapshot(Sequence aSequence, std::string aBytes);
  [[nodiscard]] Sequence GetHead() const noexcept { return mHead; }

  // Replays and appends a fence entry right behind what was read. Success proves that the state is
  // complete and that every earlier writer's next append is Fenced.
  Async<Result<FencedState>> ReplayAndFence(std::string aFence);

  // Reading of state
  [[nodiscard]] bool IsRefusing() const noexcept { return mRefusal.has_value(); }
  [[nodiscard]] const std::vector<UnreadableValue>& ListUnreadable() const noexcept
  {
    return mUnreadable;  // of the last Replay
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
    asio::steady_timer mTimer;  // never expires; cancelled when the result is there
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
    std::make_shared<CoroutineMutex>();  // one reads or writes the tail at a time
  Sequence mHead = 0;
  TimePoint mConfirmedAt{};  // mHead was the last value at this time or later
  std::uint64_t mNonceCount = 0;
  std::optional<FailureKind> mRefusal = std::nullopt;
  std::vector<UnreadableValue> mUnreadable{};
  std::deque<std::shared_ptr<Waiter>> mPending{};
  std::size_t mPendingBytes = 0;
  bool mWriting = false;
  std::deque<std::pair<TimePoint, Sequence>> mHeadHistory{};  // values that stood at a time
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
