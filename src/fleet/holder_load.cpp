// Reads jobs and workers from the store, and watches them for changes.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kWatchWait = milliseconds(1500);  // detects a dead connection within this
constexpr Duration kLateWatch = kWatchWait + milliseconds(500);
constexpr Duration kWatchBatchDelay = milliseconds(200);  // collects changes into one answer

}  // namespace

// Reads the stored state, retrying until the store answers, then starts the other loops.
Async<void> Holder::Load()
{
  auto self = shared_from_this();
  const TimePoint startedAt = BootClock::now();
  platform::StorePage state;
  platform::StorePage directory;
  TimePoint listedAt{};
  for (bool isDone = false; !isDone && !mSteppedDown;) {
    listedAt = BootClock::now();
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
    ApplyCancelledIds(it);
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
    mRecords.SetRevision(worker.mId, it.mRevision);
    if (record->mIsFinal)
      mScheduler.SetFinalTasks(worker.mId,
                               std::set(record->mTasks.begin(), record->mTasks.end()),
                               std::move(record->mSuspects));
  }
  for (const StoreItem& it : state.mItems)
    if (it.mKey == kHandoverKey)
      ApplyHandover(it.mValue);
  for (const StoreItem& it : directory.mItems)
    ApplyWorkerItem(it, false);
  mScheduler.SetJobsReadUntil(listedAt);
  mEarlyProgress.clear();
  mEarlyCancels.clear();
  mLoaded = true;
  Log(LogPart::Ownership,
      LogLevel::Info,
      "loaded the stored jobs and the worker directory",
      { { "items", state.mItems.size() },
        { "workers", directory.mItems.size() },
        { "took_ms", BootClock::now() - startedAt } });
  for (const auto& [id, worker] : mScheduler.GetWorkers()) {
    EnsureWatched(id);
    if (IsListedElsewhere(worker))
      Spawn(mContext, PollListedAddress(id));
  }
  Spawn(mContext, WatchJobs(state.mRevision));
  Spawn(mContext, WatchWorkers(directory.mRevision));
  Spawn(mContext, RecordWorkers());
  Spawn(mContext, RunPlan());
  Spawn(mContext, StoreProgress());
  Spawn(mContext, ForgetEndedJobs());
  Spawn(mContext, LogStats());
  Spawn(mContext, YieldToLarger());
}

// Takes over the waits for unresponsive workers, if the holder that stored them was the last one:
// since then nobody has renewed leases there. It stored them before this one was elected.
void Holder::ApplyHandover(std::string_view aRecord)
{
  const auto record = DecodeMessage<HandoverRecord>(aRecord);
  if (!record) {
    Log(LogPart::Ownership,
        LogLevel::Error,
        "the record of a hand-over can't be decoded; leases count from this election",
        { { "what", record.error().mDetail } });
    return;
  }
  if (!mGrant.mPreviousHolder || record->mEpoch != mGrant.mPreviousHolder->mEpoch)
    return;
  for (const LeaseWait& it : record->mLeaseWaits)
    mScheduler.SetLeaseWait(it, mElectedAt);
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
  if (mScheduler.FindJob(id)) {
    if (!aInherited)
      mScheduler.ClearInherited(id);
    return;
  }
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
  const bool isCancelled = mEarlyCancels.erase(id) != 0 || mCancelledIds.Contains(*spec);
  auto progress = mEarlyProgress.find(id);
  mScheduler.AddJob(std::move(*spec),
                    progress == mEarlyProgress.end() ? std::string_view() : progress->second,
                    aInherited,
                    BootClock::now(),
                    waited);
  if (isCancelled)
    mScheduler.CancelJob(id, BootClock::now());
}

void Holder::ApplyCancelledIds(const StoreItem& aItem)
{
  if (!aItem.mKey.starts_with(kCancelledPrefix))
    return;
  const auto record = DecodeMessage<CancelledIdsRecord>(aItem.mValue);
  if (record)
    mCancelledIds.AddRecord(aItem.mKey, *record, BootClock::now());
  else
    Log(LogPart::Job,
        LogLevel::Error,
        "a record of cancelled ids in the store can't be decoded",
        { { "key", aItem.mKey }, { "what", record.error().mDetail } });
}

// Returns whether an earlier holder may have started tasks of a job that was read after the
// election: it may have been told of the job sooner. The revision of a job that this process was
// told of is not known; the watch delivers it.
bool Holder::MayBeStarted(const StoreItem& aJob) const
{
  if (!mGrant.mPreviousHolder || mScheduler.AreAllResolved())
    return false;
  return !mTakeoverRevision || aJob.mRevision <= *mTakeoverRevision;
}

void Holder::OnJobAccepted(const std::string& aId, std::string_view aValue)
{
  if (!mLoaded || mSteppedDown || mScheduler.FindJob(aId))
    return;
  const StoreItem job{ MakeJobKey(aId), std::string(aValue), 0, false };
  ApplyJobItem(job, MayBeStarted(job));
  WakePlan();
}

void Holder::OnJobCancelled(const std::string& aId)
{
  if (!mLoaded || mSteppedDown)
    return;
  mScheduler.CancelJob(aId, BootClock::now());
  WakePlan();
}

void Holder::ApplyWorkerItem(const StoreItem& aItem, bool aIsRecent)
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
    if (Worker* worker = mScheduler.FindWorker(id))
      worker->mWrittenAt = {};  // this is no sign that it has left
    return;
  }
  entry->mCreatedRevision = aItem.mCreated;
  entry->mJustWritten = aIsRecent;
  const Worker* known = mScheduler.FindWorker(id);
  const bool wasReachable = known && known->mReachable;
  const std::string before = known ? known->mEntry.mAddress : std::string();
  mScheduler.ListWorker(std::move(*entry), false, now);
  known = mScheduler.FindWorker(id);
  if (!mLoaded || !known)
    return;
  EnsureWatched(id);
  if (wasReachable && !known->mReachable)
    WakeWorker(id);  // it was restarted
  if (known->mEntry.mAddress != before)
    VerifyAddress(id);
}

// Only one worker answers at an address. The directory does not tell which one: it may show an
// entry after its worker has ended, and entries of other writers.
void Holder::VerifyAddress(const std::string& aId)
{
  const Worker* worker = mScheduler.FindWorker(aId);
  if (!worker)
    return;
  for (std::string& it : mScheduler.ListWorkersAt(worker->mEntry.mAddress))
    if (it != aId)
      Spawn(mContext, ProbeWorker(std::move(it)));
  if (IsListedElsewhere(*worker))
    Spawn(mContext, PollListedAddress(aId));
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
    TimePoint sentAt = BootClock::now();
    auto page = co_await AwaitChanges(std::string(kJobPrefix), aRevision, isFailing);
    if (mSteppedDown)
      co_return;
    if (!page && platform::MustListAgain(page.error())) {
      sentAt = BootClock::now();
      page = co_await mStore.List(std::string(kJobPrefix), 3 * platform::kStoreDeadline);
    }
    if (!page) {
      co_await Sleep(kRetryStore);
      continue;
    }
    aRevision = page->mRevision;
    for (const StoreItem& it : page->mItems)
      ApplyJobItem(it, MayBeStarted(it));
    mScheduler.SetJobsReadUntil(sentAt);
    if (page->mItems.empty())
      continue;
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
    const bool wasFailing = isFailing;
    const TimePoint sentAt = BootClock::now();
    auto page =
      co_await AwaitChanges(std::string(platform::kDirectoryPrefix), aRevision, isFailing);
    if (mSteppedDown)
      co_return;
    // After a gap, changes of any age arrive together.
    const bool areRecent = page && !wasFailing && BootClock::now() - sentAt < kLateWatch;
    if (!page && platform::MustListAgain(page.error())) {
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
      ApplyWorkerItem(it, areRecent);
    if (!page->mItems.empty())
      WakePlan();
  }
}

}  // namespace monsoon::fleet
