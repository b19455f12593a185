// Appends and group commit of Journal. Included by journal.h only.
#pragma once

namespace monsoon {

// Returns whether this failure of a write proves that the write had no effect.
[[nodiscard]] inline bool ProvesNotWritten(FailureKind aKind) noexcept
{
  switch (aKind) {
    case FailureKind::AlreadyExists:
    case FailureKind::Conflict:
    case FailureKind::StoreUnavailable:
    case FailureKind::BudgetExhausted:
    case FailureKind::RateLimited:
    case FailureKind::TooLarge:
    case FailureKind::BadInput:
      return true;
    default:
      return false;
  }
}

template<Store S>
Failure Journal<S>::MakeRefusal() const
{
  return MakeFailure(*mRefusal, "journal " + mName + " refuses appends until the next Replay");
}

template<Store S>
Async<Result<Sequence>> Journal<S>::Append(std::string aBytes)
{
  if (mRefusal)
    co_return MakeRefusal();
  const std::size_t size = aBytes.size() + kEntryOverheadBytes;
  if (size > mSettings.mMaxValueBytes)
    co_return MakeFailure(FailureKind::TooLarge, "the entry exceeds the size limit of a value");
  if (mPendingBytes + size > mSettings.mMaxPendingBytes)
    co_return MakeFailure(FailureKind::BudgetExhausted,
                          "too many bytes of appends wait for the store");

  auto executor = co_await asio::this_coro::executor;
  auto waiter = std::make_shared<Waiter>(executor, std::move(aBytes));
  mPending.push_back(waiter);
  mPendingBytes += size;
  if (!std::exchange(mWriting, true))
    asio::co_spawn(executor, WritePending(), asio::detached);
  while (!waiter->mResult)
    [[maybe_unused]] auto [ec] = co_await waiter->mTimer.async_wait(kNoThrow);
  co_return *waiter->mResult;
}

template<Store S>
typename Journal<S>::Batch Journal<S>::PopBatch()
{
  Batch batch;
  std::size_t bytes = 0;
  while (!mPending.empty()) {
    const std::size_t size = mPending.front()->mBytes.size() + kEntryOverheadBytes;
    if (bytes + size > mSettings.mMaxValueBytes)
      break;
    bytes += size;
    batch.push_back(std::move(mPending.front()));
    mPending.pop_front();
  }
  mPendingBytes -= bytes;
  return batch;
}

template<Store S>
void Journal<S>::CompleteBatch(const Batch& aBatch, const Result<Sequence>& aResult)
{
  for (const auto& waiter : aBatch) {
    waiter->mResult = aResult;
    waiter->mTimer.cancel();
  }
}

// Group commit without a delay: each write carries all appends that arrived during the previous
// write, as far as they fit into one value.
template<Store S>
Async<void> Journal<S>::WritePending()
{
  while (!mPending.empty()) {
    const CoroutineMutex::Guard guard = co_await mMutex->Lock();
    const Batch batch = PopBatch();
    std::vector<std::string> entries;
    for (const auto& waiter : batch)
      entries.push_back(std::move(waiter->mBytes));
    auto result = co_await WriteNext(std::move(entries));
    if (!result && result.error().mKind == FailureKind::AlreadyExists) {
      mRefusal = FailureKind::Fenced;
      result = MakeFailure(FailureKind::Fenced, "another writer has appended");
    }
    CompleteBatch(batch, result);
    while (mRefusal && !mPending.empty())
      CompleteBatch(PopBatch(), MakeRefusal());
  }
  mWriting = false;
}

template<Store S>
Async<Result<Sequence>> Journal<S>::AppendAt(Sequence aSequence, std::string aBytes)
{
  if (aBytes.size() + kEntryOverheadBytes > mSettings.mMaxValueBytes)
    co_return MakeFailure(FailureKind::TooLarge, "the entry exceeds the size limit of a value");
  const CoroutineMutex::Guard guard = co_await mMutex->Lock();
  if (aSequence <= mHead)
    co_return MakeFailure(FailureKind::Conflict, "the sequence is already written");
  if (aSequence != mHead + 1)
    co_return MakeFailure(FailureKind::BadInput, "only the sequence after the head can be written");
  std::vector<std::string> entries;
  entries.push_back(std::move(aBytes));
  auto result = co_await WriteNext(std::move(entries));
  if (!result && result.error().mKind == FailureKind::AlreadyExists)
    co_return MakeFailure(FailureKind::Conflict, "the sequence is already written");
  co_return result;
}

// Writes the entries as the value after mHead. The caller holds mMutex. AlreadyExists: another
// writer has written that value.
template<Store S>
Async<Result<Sequence>> Journal<S>::WriteNext(std::vector<std::string> aEntries)
{
  if (mRefusal)
    co_return MakeRefusal();
  const Sequence sequence = mHead + 1;
  const TimePoint startedAt = mSettings.mNow();
  auto written = co_await WriteValue(sequence, std::move(aEntries));
  if (!written) {
    const FailureKind kind = written.error().mKind;
    if (kind == FailureKind::WriteUnknown || kind == FailureKind::Fenced)
      mRefusal = kind;
    co_return written.error();
  }
  mHead = sequence;
  mConfirmedAt = startedAt;
  co_return sequence;
}

// Creates one value. When the result of the write is unknown, reads the key back and compares the
// nonce. The value is sent again, with the same nonce, only if the key is empty: both requests
// create the same key, so whichever arrives first, the value is written once.
template<Store S>
Async<Result<void>> Journal<S>::WriteValue(Sequence aSequence, std::vector<std::string> aEntries)
{
  JournalValue value;
  value.mNonce.mWriter = mSettings.mWriter;
  value.mNonce.mCount = ++mNonceCount;
  value.mEntries = std::move(aEntries);
  const std::string bytes = EncodeValue(value);
  const std::string key = MakeValueKey(mName, aSequence);
  const TimePoint deadline = mSettings.mNow() + mSettings.mResolveFor;
  Duration backoff = mSettings.mInitialBackoff;
  bool inDoubt = false;
  while (true) {
    auto written = co_await mStore.Create(key, bytes, CallPurpose::Journal);
    if (written.has_value())
      break;
    if (!inDoubt && ProvesNotWritten(written.error().mKind))
      co_return written.error();
    inDoubt = true;
    auto committed = co_await IsCommitted(aSequence, value.mNonce, deadline);
    if (!committed)
      co_return committed.error();
    if (*committed)
      break;
    if (mSettings.mNow() >= deadline)
      co_return MakeFailure(FailureKind::WriteUnknown,
                            "the result of the append is unknown: the store has no value yet");
    co_await Sleep(backoff);
    backoff = DoubleBackoff(backoff);
  }
  co_return co_await CheckNotTrimmed(aSequence, deadline);
}

// Returns whether the value with this nonce exists; false: the key is empty. AlreadyExists: the key
// has another value. WriteUnknown: the key could not be read before the deadline.
template<Store S>
Async<Result<bool>> Journal<S>::IsCommitted(Sequence aSequence,
                                            WriteNonce aNonce,
                                            TimePoint aDeadline)
{
  Duration backoff = mSettings.mInitialBackoff;
  while (true) {
    auto found = co_await mReader.ReadValue(aSequence, CallPurpose::Journal);
    if (found.has_value() && !*found)
      co_return false;
    if (found.has_value()) {
      auto value = DecodeValue((*found)->mValue);
      if (value.has_value() && value->mNonce == aNonce)
        co_return true;
      co_return MakeFailure(FailureKind::AlreadyExists, "another writer has written this sequence");
    }
    if (mSettings.mNow() >= aDeadline)
      co_return MakeFailure(FailureKind::WriteUnknown,
                            "the result of the append is unknown: it could not be read back");
    co_await Sleep(backoff);
    backoff = DoubleBackoff(backoff);
  }
}

// Checks after a successful write that the sequence was not free merely because a snapshot had
// replaced an older value there; then the append fails with Fenced.
template<Store S>
Async<Result<void>> Journal<S>::CheckNotTrimmed(Sequence aSequence, TimePoint aDeadline)
{
  Duration backoff = mSettings.mInitialBackoff;
  while (MayBeTrimmed(mConfirmedAt)) {
    auto snapshot = co_await mReader.ReadSnapshotHead(CallPurpose::Journal);
    if (snapshot.has_value() && snapshot->mHead.mAt >= aSequence)
      co_return MakeFailure(FailureKind::Fenced,
                            "a snapshot by another writer already covers this sequence");
    if (snapshot.has_value())
      break;
    if (mSettings.mNow() >= aDeadline)
      co_return MakeFailure(FailureKind::WriteUnknown,
                            "the result of the append is unknown: the snapshot could not be read");
    co_await Sleep(backoff);
    backoff = DoubleBackoff(backoff);
  }
  co_return Result<void>();
}

}  // namespace monsoon
