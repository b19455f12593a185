// Reads jobs and workers from the store, and writes progress and worker records to it.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kWatchWait = milliseconds(1500);  // detects a dead connection within this
constexpr Duration kLateWatch = kWatchWait + milliseconds(500);
constexpr Duration kWatchBatchDelay = milliseconds(200);  // collects changes into one answer
constexpr Duration kRecordInterval = milliseconds(60);    // checks for workers to record
constexpr Duration kStoreInterval = milliseconds(40);     // collects ends of tasks into one write
constexpr std::size_t kProgressEntries =
  platform::kMaxTransactionEntries - 1;  // and the holder's key
constexpr Duration kForgetInterval = seconds(15);

}  // namespace

// Reads the stored state, retrying until the store answers, then starts the other loops.
Async<void> Holder::Load()
{
  auto self = shared_from_this();
  const TimePoint startedAt = BootClock::now();
  platform::StorePage state;
  platform::StorePage directory;
  for (bool isDone = false; !isDone && !mSteppedDown;) {
    auto page = co_await mStore.List(std::string(kRoot), 3 * platform::kStoreDeadline);
    if (page) {
      state = std::move(*page);
      auto workers =
        co_await mStore.List(std::string(platform::kDirectoryPrefix), 3 * platform::kStoreDeadline);
      if (workers) {
        directory = std::move(*workers);
        isDone = true;
        break;
      }
    }
    co_await Sleep(kRetryStore);
  }
  if (mSteppedDown)
    co_return;
  const bool isInherited = mGrant.mPreviousHolder.has_value();
  for (const StoreItem& it : state.mItems) {
    if (it.mKey.starts_with(kProgressPrefix)) {
      const std::string id = it.mKey.substr(kProgressPrefix.size());
      mEarlyProgress[id] = it.mValue;
      mProgressRevisions[id] = it.mRevision;
    }
  }
  for (const StoreItem& it : state.mItems)
    ApplyJobItem(it, isInherited);
  for (const StoreItem& it : state.mItems) {
    if (!it.mKey.starts_with(kWorkerPrefix))
      continue;
    auto record = DecodeMessage<WorkerRecord>(it.mValue);
    if (!record) {
      Log(LogPart::Task,
          LogLevel::Error,
          "a worker's record in the store can't be decoded",
          { { "key", it.mKey }, { "what", record.error().mDetail } });
      continue;
    }
    WorkerEntry worker;
    worker.mId = it.mKey.substr(kWorkerPrefix.size());
    worker.mAddress = record->mAddress;
    worker.mService = record->mService;
    worker.mBornMs = record->mBornMs;
    worker.mCreatedRevision = record->mCreatedRevision;
    mScheduler.ListWorker(worker, true, mElectedAt);
    mScheduler.UnlistWorker(worker.mId, BootClock::now());
    mRecordedWorkers.insert(worker.mId);
    if (Worker* known = mScheduler.FindWorker(worker.mId))
      known->mRecordRevision = it.mRevision;
    if (record->mIsFinal)
      mScheduler.SetFinalTasks(worker.mId,
                               std::set(record->mTasks.begin(), record->mTasks.end()),
                               std::move(record->mSuspects));
  }
  for (const StoreItem& it : directory.mItems)
    ApplyWorkerItem(it);
  mEarlyProgress.clear();
  mEarlyCancels.clear();
  mLoaded = true;
  Log(LogPart::Ownership,
      LogLevel::Info,
      "loaded the stored jobs and the worker directory",
      { { "items", state.mItems.size() },
        { "workers", directory.mItems.size() },
        { "took_ms", BootClock::now() - startedAt } });
  for (const auto& [id, worker] : mScheduler.GetWorkers())
    EnsureWatched(id);
  Spawn(mContext, WatchJobs(state.mRevision));
  Spawn(mContext, WatchWorkers(directory.mRevision));
  Spawn(mContext, RecordWorkers());
  Spawn(mContext, RunPlan());
  Spawn(mContext, StoreProgress());
  Spawn(mContext, ForgetEndedJobs());
  Spawn(mContext, YieldToLarger());
}

void Holder::ApplyJobItem(const StoreItem& aItem, bool aInherited)
{
  if (!aItem.mKey.starts_with(kJobPrefix) || aItem.mDeleted)
    return;
  std::string id = aItem.mKey.substr(kJobPrefix.size());
  if (id.ends_with(kCancelSuffix)) {
    id.resize(id.size() - kCancelSuffix.size());
    if (mScheduler.FindJob(id))
      mScheduler.CancelJob(id, BootClock::now());
    else
      mEarlyCancels.insert(id);
    return;
  }
  if (mScheduler.FindJob(id))
    return;
  auto spec = DecodeMessage<JobSpec>(aItem.mValue);
  if (!spec) {
    Log(LogPart::Job,
        LogLevel::Error,
        "a job in the store can't be decoded",
        { { "job", id }, { "what", spec.error().mDetail } });
    return;
  }
  // The wall clocks of VMs differ by little. The clamp bounds the error of a clock that jumped.
  const std::int64_t age = aInherited ? ReadWallMillis() - spec->mAcceptedMs : 0;
  const Duration waited =
    std::clamp<Duration>(milliseconds(age), Duration::zero(), mSettings.mKeepEnded);
  auto progress = mEarlyProgress.find(id);
  mScheduler.AddJob(std::move(*spec),
                    progress == mEarlyProgress.end() ? std::string_view() : progress->second,
                    aInherited,
                    BootClock::now(),
                    waited);
  if (mEarlyCancels.erase(id) != 0)
    mScheduler.CancelJob(id, BootClock::now());
}

void Holder::OnJobAccepted(const std::string& aId, std::string_view aValue)
{
  if (!mLoaded || mSteppedDown)
    return;
  ApplyJobItem({ MakeJobKey(aId), std::string(aValue), 0, false }, false);
  WakePlan();
}

void Holder::OnJobCancelled(const std::string& aId)
{
  if (!mLoaded || mSteppedDown)
    return;
  mScheduler.CancelJob(aId, BootClock::now());
  WakePlan();
}

void Holder::ApplyWorkerItem(const StoreItem& aItem)
{
  if (!aItem.mKey.starts_with(platform::kDirectoryPrefix))
    return;
  std::string id = aItem.mKey.substr(platform::kDirectoryPrefix.size());
  const TimePoint now = BootClock::now();
  if (aItem.mDeleted) {
    mScheduler.UnlistWorker(id, now);
    return;
  }
  auto entry = platform::ParseWorkerEntry(id, aItem.mValue);
  if (!entry) {
    Log(LogPart::Task,
        LogLevel::Warn,
        "an entry of the worker directory is invalid",
        { { "worker", id }, { "what", entry.error().mDetail } });
    mScheduler.UnlistWorker(id, now);
    return;
  }
  entry->mCreatedRevision = aItem.mCreated;
  mScheduler.ListWorker(std::move(*entry), false, now);
  if (mLoaded)
    EnsureWatched(id);
}

// Waits for changes below a prefix of the store. Logs an answer that was late and, in a series of
// failures, the first one.
Async<Result<platform::StorePage>> Holder::AwaitChanges(std::string aPrefix,
                                                        std::uint64_t aRevision,
                                                        bool& aIsFailing)
{
  auto self = shared_from_this();
  const TimePoint sentAt = BootClock::now();
  auto page = co_await mStore.Watch(aPrefix, aRevision, kWatchWait);
  const Duration took = BootClock::now() - sentAt;
  if (!page && !aIsFailing)
    Log(LogPart::Store,
        LogLevel::Warn,
        "a watch failed",
        { { "prefix", aPrefix }, { "what", page.error().mDetail }, { "took_ms", took } });
  else if (page && took > kLateWatch)
    Log(LogPart::Store,
        LogLevel::Warn,
        "a watch was answered late",
        { { "prefix", aPrefix }, { "changes", page->mItems.size() }, { "took_ms", took } });
  aIsFailing = !page;
  co_return page;
}

Async<void> Holder::WatchJobs(std::uint64_t aRevision)
{
  auto self = shared_from_this();
  bool isFailing = false;
  while (!mSteppedDown) {
    auto page = co_await AwaitChanges(std::string(kJobPrefix), aRevision, isFailing);
    if (mSteppedDown)
      co_return;
    if (!page && page.error().mKind == FailureKind::Conflict)
      page = co_await mStore.List(std::string(kJobPrefix), 3 * platform::kStoreDeadline);
    if (!page) {
      co_await Sleep(kRetryStore);
      continue;
    }
    aRevision = page->mRevision;
    if (page->mItems.empty())
      continue;
    for (const StoreItem& it : page->mItems)
      ApplyJobItem(it, false);
    WakePlan();
    // The processes that accept jobs also notify the holder directly. This watch finds the jobs
    // whose notification was lost, so it can be slower.
    co_await Sleep(kWatchBatchDelay);
  }
}

Async<void> Holder::WatchWorkers(std::uint64_t aRevision)
{
  auto self = shared_from_this();
  bool isFailing = false;
  while (!mSteppedDown) {
    auto page =
      co_await AwaitChanges(std::string(platform::kDirectoryPrefix), aRevision, isFailing);
    if (mSteppedDown)
      co_return;
    if (!page && page.error().mKind == FailureKind::Conflict) {
      page =
        co_await mStore.List(std::string(platform::kDirectoryPrefix), 3 * platform::kStoreDeadline);
      if (page) {
        std::set<std::string> listed;
        for (const StoreItem& it : page->mItems)
          listed.insert(it.mKey.substr(platform::kDirectoryPrefix.size()));
        for (const auto& [id, worker] : mScheduler.GetWorkers())
          if (!listed.contains(id))
            mScheduler.UnlistWorker(id, BootClock::now());
      }
    }
    if (!page) {
      co_await Sleep(kRetryStore);
      continue;
    }
    aRevision = page->mRevision;
    for (const StoreItem& it : page->mItems)
      ApplyWorkerItem(it);
    if (!page->mItems.empty())
      WakePlan();
  }
}

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
      record.mBornMs = worker.mEntry.mBornMs;
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
