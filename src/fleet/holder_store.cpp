// Writes progress and worker records to the store.
#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kRecordInterval = milliseconds(60);  // checks for workers to record
constexpr Duration kStoreInterval = milliseconds(40);   // collects ends of tasks into one write
constexpr std::size_t kProgressEntries =
  platform::kMaxTransactionEntries - 1;  // and the holder's key
constexpr Duration kForgetInterval = seconds(15);

}  // namespace

// Writes a record for each worker before its first task, so that a later holder finds the worker
// even if its directory entry has expired. While a worker does not answer, no task starts there,
// and its record lists, as final, all tasks that it may run; the list is cleared before another
// task starts there. Each write is conditional on the record that it replaces, so that a write that
// the store applies late changes nothing.
Async<void> Holder::RecordWorkers()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    std::map<std::string, std::optional<std::set<std::string>>> written;  // worker: final tasks
    const auto isFull = [&transaction] {
      return transaction.mConditions.size() + transaction.mWrites.size() +
               transaction.mDeletes.size() + 2 >
             platform::kMaxTransactionEntries;
    };
    for (const auto& [id, worker] : mScheduler.GetWorkers()) {
      const bool isUnresponsive = worker.mFinalWanted && !worker.mReachable;
      const bool clearsFinal =
        (worker.mFinalTasks || worker.mFinalWanted) && worker.mReachable && worker.mFenced;
      const bool isNew = !worker.mRecorded && worker.mListed;
      if ((!isNew && !isUnresponsive && !clearsFinal) || isFull())
        continue;
      WorkerRecord record{ worker.mEntry.mAddress, worker.mEntry.mService };
      record.mBornMs = worker.mBornMs;
      record.mCreatedRevision = worker.mEntry.mCreatedRevision;
      written[id];
      if (isUnresponsive) {
        record.mIsFinal = true;
        for (const Run& run : worker.mRuns)
          record.mTasks.push_back(run.mTask);
        record.mSuspects = mScheduler.ListSuspects(worker);
        written[id] = std::set(record.mTasks.begin(), record.mTasks.end());
      }
      transaction.mConditions.emplace_back(MakeWorkerKey(id), worker.mRecordRevision);
      transaction.mWrites.push_back({ MakeWorkerKey(id), EncodeMessage(record) });
    }
    std::vector<std::string> removed;
    for (const std::string& id : mRecordedWorkers) {
      if (mScheduler.GetWorkers().contains(id) || isFull())
        continue;
      transaction.mDeletes.push_back(MakeWorkerKey(id));
      removed.push_back(id);
    }
    if (written.empty() && removed.empty()) {
      co_await Sleep(kRecordInterval);
      continue;
    }
    auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (!outcome) {
      co_await Sleep(kRetryStore);
      continue;
    }
    if (!outcome->mCommitted) {
      ApplyRecordRevisions(*outcome, written);
      co_await CheckHolderKey();
      continue;
    }
    for (auto& [id, finalTasks] : written) {
      mRecordedWorkers.insert(id);
      Worker* worker = mScheduler.FindWorker(id);
      if (!worker)
        continue;
      worker->mRecorded = true;
      worker->mRecordRevision = outcome->mRevision;
      worker->mFinalWanted = false;
      worker->mFinalTasks = std::move(finalTasks);
    }
    for (const std::string& id : removed)
      mRecordedWorkers.erase(id);
    WakePlan();
  }
}

// Updates the known revisions of the records after a failed condition: an earlier write of this
// process was applied, but its answer was lost.
void Holder::ApplyRecordRevisions(
  const platform::StoreOutcome& aOutcome,
  const std::map<std::string, std::optional<std::set<std::string>>>& aWritten)
{
  for (const auto& [id, tasks] : aWritten)
    if (Worker* worker = mScheduler.FindWorker(id))
      worker->mRecordRevision = 0;
  for (const StoreItem& it : aOutcome.mCurrent)
    if (it.mKey.starts_with(kWorkerPrefix))
      if (Worker* worker = mScheduler.FindWorker(it.mKey.substr(kWorkerPrefix.size())))
        worker->mRecordRevision = it.mRevision;
}

Async<void> Holder::CheckHolderKey()
{
  auto self = shared_from_this();
  auto holder = co_await mStore.Get(std::string(kHolderKey), platform::kStoreDeadline);
  if (holder && (!*holder || (*holder)->mRevision != mGrant.mKeyRevision))
    StepDown("another process holds the lease, or the holder key is deleted");
}

Async<bool> Holder::StoreProgressOnce()
{
  auto self = shared_from_this();
  if (mStoring)
    co_return false;
  mStoring = true;
  const bool isStored = co_await StoreBatch();
  mStoring = false;
  co_return isStored;
}

Async<bool> Holder::StoreBatch()
{
  auto self = shared_from_this();
  ProgressBatch batch = mScheduler.CollectProgress(kProgressEntries, BootClock::now());
  if (batch.mJobs.empty()) {
    mScheduler.OnProgressStored(batch);
    co_return true;
  }
  StoreTransaction transaction;
  transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
  for (const StoredProgress& it : batch.mJobs) {
    // The condition keeps a write that is applied late from overwriting a newer one. The end of a
    // job needs no condition, because no newer write follows it.
    if (!IsOver(it.mState))
      transaction.mConditions.emplace_back(MakeProgressKey(it.mJob), mProgressRevisions[it.mJob]);
    transaction.mWrites.push_back({ MakeProgressKey(it.mJob), it.mBytes });
  }
  auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
  if (!outcome) {
    mScheduler.OnProgressLost(batch);
    co_return false;
  }
  if (!outcome->mCommitted) {
    mScheduler.OnProgressLost(batch);
    std::set<std::string> present;
    for (const StoreItem& it : outcome->mCurrent) {
      if (it.mKey.starts_with(kProgressPrefix)) {
        const std::string id = it.mKey.substr(kProgressPrefix.size());
        present.insert(id);
        mProgressRevisions[id] = it.mRevision;
      }
    }
    for (const StoredProgress& it : batch.mJobs)
      if (!IsOver(it.mState) && !present.contains(it.mJob))
        mProgressRevisions[it.mJob] = 0;
    if (!mSteppedDown)
      co_await CheckHolderKey();
    co_return false;
  }
  for (const StoredProgress& it : batch.mJobs)
    mProgressRevisions[it.mJob] = outcome->mRevision;
  mScheduler.OnProgressStored(batch);
  co_return true;
}

Async<void> Holder::StoreProgress()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    if (!mScheduler.HasProgress()) {
      mStoreTimer.expires_after(kPlanInterval);
      co_await mStoreTimer.async_wait(kNoThrow);
      continue;
    }
    const bool isStored = co_await StoreProgressOnce();
    if (mSteppedDown)
      co_return;
    if (!isStored) {
      co_await Sleep(kRetryStore);
      continue;
    }
    for (const auto& [id, worker] : mScheduler.GetWorkers())
      if (worker.mLastEnd == worker.mStoredEnd)
        WakeWorker(id);
    mStoreTimer.expires_after(kStoreInterval);
    co_await mStoreTimer.async_wait(kNoThrow);
  }
}

Async<void> Holder::ForgetEndedJobs()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    co_await Sleep(kForgetInterval);
    if (mSteppedDown)
      co_return;
    std::vector<std::string> ids =
      mScheduler.ForgetEnded(BootClock::now(), mSettings.mKeepEnded + seconds(30));
    while (!ids.empty() && !mSteppedDown) {
      StoreTransaction transaction;
      transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
      for (int n = 0; n < 10 && !ids.empty(); ++n) {
        transaction.mDeletes.push_back(MakeJobKey(ids.back()));
        transaction.mDeletes.push_back(MakeCancelKey(ids.back()));
        transaction.mDeletes.push_back(MakeProgressKey(ids.back()));
        mProgressRevisions.erase(ids.back());
        ids.pop_back();
      }
      // If this delete fails, the ended job stays in the store until the next holder deletes it.
      co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    }
  }
}

}  // namespace monsoon::fleet
