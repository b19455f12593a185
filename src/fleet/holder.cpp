#include "fleet/holder.h"

#include <algorithm>

#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

using platform::StoreItem;
using platform::StoreTransaction;

namespace {

constexpr Duration kRenewEvery = milliseconds(300);     // several tries within one lease
constexpr Duration kRenewDeadline = milliseconds(600);  // slow days: some 400 ms
constexpr Duration kOutageGrace = seconds(5);        // orders go on so long past the last renewal
constexpr Duration kWatchWait = milliseconds(1500);  // a silent connection is found out by then
constexpr Duration kRecordEvery = milliseconds(60);  // looks for workers to record
constexpr Duration kRetryStore = milliseconds(100);
constexpr Duration kPlanEvery = milliseconds(50);   // without anything new
constexpr Duration kPlanSoon = milliseconds(4);     // gathers what comes in together
constexpr Duration kStoreEvery = milliseconds(40);  // gathers ends into one write
constexpr std::size_t kProgressEntries = platform::kMostStoreEntries - 1;  // and the holder's key
constexpr std::size_t kOrdersAtOnce = 3;                                   // to one worker
constexpr Duration kOrderDeadline = milliseconds(400);  // a cross-zone round trip takes 9 ms
constexpr Duration kHoldWait = milliseconds(1000);      // a report at least so often
constexpr Duration kHoldMargin = milliseconds(400);
constexpr Duration kShortHoldWait = milliseconds(250);  // while answers get lost
constexpr std::size_t kSilencesForShort = 3;            // within kSilenceAge, in the whole fleet
constexpr Duration kSilenceAge = seconds(3);
constexpr Duration kIdleHold = seconds(3);           // looks at a worker that runs nothing
constexpr Duration kSilentHold = milliseconds(300);  // looks at a worker that does not answer
constexpr Duration kPollWait = milliseconds(1500);
constexpr Duration kAdviceMargin = milliseconds(1500);    // queueing and travel of a policy call
constexpr Duration kResignDeadline = milliseconds(300);   // a cross-zone round trip takes 9 ms
constexpr Duration kTurnedAwayAfter = milliseconds(300);  // of failing calls
constexpr Duration kTravelMargin = milliseconds(50);      // of a poll, between two clocks' readings
constexpr Duration kYieldAfter = milliseconds(700);       // most processes have polled by then
constexpr double kLargerBy = 2;  // times the cores that are worth a handover
constexpr Duration kForgetEvery = seconds(15);

std::string_view GetStartLabel(StartOutcome aOutcome)
{
  switch (aOutcome) {
    case StartOutcome::Started:
      return R"(outcome="started")";
    case StartOutcome::Unknown:
      return R"(outcome="unknown")";
    default:
      return R"(outcome="not_started")";
  }
}

template<class F>
void Spawn(asio::io_context& aContext, F&& aCoroutine)
{
  asio::co_spawn(aContext, std::forward<F>(aCoroutine), [](const std::exception_ptr& aError) {
    if (!aError)
      return;
    try {
      std::rethrow_exception(aError);
    } catch (const std::exception& error) {
      Log(LogPart::Process,
          LogLevel::Error,
          "a task of the holder failed",
          { { "what", error.what() } });
    }
  });
}

}  // namespace

Holder::Holder(asio::io_context& aContext,
               const EntrySettings& aSettings,
               HttpClient& aClient,
               platform::Store& aStore,
               Metrics& aMetrics,
               HolderGrant aGrant)
  : mContext(aContext)
  , mSettings(aSettings)
  , mClient(aClient)
  , mStore(aStore)
  , mMetrics(aMetrics)
  , mGrant(std::move(aGrant))
  , mScheduler(
      SchedulerSettings{ .mEpoch = mGrant.mRecord.mEpoch, .mTaskLease = aSettings.mTaskLease })
  , mTakenAt(BootClock::now())
  , mPlanTimer(aContext)
  , mStoreTimer(aContext)
{
}

void Holder::Start(const FleetConfig& aConfig)
{
  Log(LogPart::Ownership,
      LogLevel::Info,
      "this process schedules now",
      { { "epoch", GetEpoch() }, { "lease", mGrant.mLease } });
  mMetrics.GetCounter("fleet_takeovers_total").Add();
  SetConfig(aConfig);
  mPredecessorGone = !mGrant.mPredecessor.has_value();
  Spawn(mContext, KeepLease());
  Spawn(mContext, Load());
  if (!mPredecessorGone)
    Spawn(mContext, AskPredecessor());
}

void Holder::SetConfig(const FleetConfig& aConfig)
{
  mConfig = aConfig;
  mScheduler.SetQueues(aConfig);
  WakePlan();
}

void Holder::Depose(std::string_view aWhy)
{
  if (mDeposed)
    return;
  mDeposed = true;
  Log(LogPart::Ownership,
      LogLevel::Warn,
      "this process schedules no more",
      { { "epoch", GetEpoch() }, { "why", aWhy } });
  mPlanTimer.cancel();
  mStoreTimer.cancel();
  for (auto& [id, channel] : mChannels)
    if (channel.mWake)
      channel.mWake->cancel();
  for (auto& [name, member] : mMembers)
    if (member.mWaiting)
      member.mWaiting->cancel();
}

Async<void> Holder::Resign(std::string_view aWhy)
{
  auto self = shared_from_this();
  co_await StoreProgressOnce();
  Depose(aWhy);
  auto ended = co_await mStore.EndLease(mGrant.mLease, platform::kStoreDeadline);
  if (!ended)
    Log(LogPart::Ownership,
        LogLevel::Warn,
        "the lease could not be ended; its successor waits until it lapses",
        { { "why", ended.error().mDetail } });
}

// Lease

Async<void> Holder::KeepLease()
{
  auto self = shared_from_this();
  while (!mDeposed) {
    co_await Sleep(kRenewEvery);
    if (mDeposed)
      co_return;
    const TimePoint sentAt = BootClock::now();
    auto kept = co_await mStore.KeepLease(mGrant.mLease, kRenewDeadline);
    if (kept) {
      mGrant.mRenewedAt = sentAt;
    } else if (kept.error().mKind == FailureKind::NotFound) {
      Depose("its lease has ended");
    } else if (!MayRenewTaskLeases()) {
      Depose("its lease could not be renewed");
    } else if (CanAnotherReachStore()) {
      mHasResigned = true;
      Depose("the store turns this process away and serves others");
    }
  }
}

bool Holder::CanAnotherReachStore() const
{
  const auto since = mStore.GetFailingSince();
  const TimePoint now = BootClock::now();
  if (!since || now - *since < kTurnedAwayAfter)
    return false;
  return std::any_of(mMembers.begin(), mMembers.end(), [&since](const auto& aItem) {
    return aItem.second.mStoreServedAt > *since + kTravelMargin;
  });
}

// Another process can hold the lease once this one's has ended. It then either hears from us, or
// reaches every worker first, or waits kOutageGrace before it starts anything: so orders may go on
// until then, and an outage of the store alone stops nothing.
bool Holder::MayRenewTaskLeases() const
{
  return !mDeposed && BootClock::now() < mGrant.mRenewedAt + kOutageGrace;
}

bool Holder::MayStart() const
{
  if (!mLoaded || !MayRenewTaskLeases())
    return false;
  return mPredecessorGone || mScheduler.AreAllResolved() ||
         BootClock::now() > mTakenAt + kOutageGrace;
}

Async<void> Holder::AskPredecessor()
{
  auto self = shared_from_this();
  const HolderRecord& it = *mGrant.mPredecessor;
  for (int n = 0; n < 10 && !mDeposed && !mPredecessorGone; ++n) {
    HttpRequest request(http::verb::post, "/resign", 11);
    request.body() = EncodeMessage(it.mEpoch);
    HttpAddress address{ it.mHost, it.mPort };
    auto response = co_await mClient.Call(std::move(address), std::move(request), kResignDeadline);
    if (response && response->result() == http::status::ok) {
      mPredecessorGone = true;
      WakePlan();
      co_return;
    }
    co_await Sleep(milliseconds(100));
  }
}

// Loading

Async<void> Holder::Load()
{
  auto self = shared_from_this();
  const TimePoint startedAt = BootClock::now();
  platform::StorePage state;
  platform::StorePage directory;
  for (bool isDone = false; !isDone && !mDeposed;) {
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
  if (mDeposed)
    co_return;
  const bool isInherited = mGrant.mPredecessor.has_value();
  for (const StoreItem& it : state.mItems) {
    if (it.mKey.starts_with(kProgressPrefix)) {
      const std::string id = it.mKey.substr(kProgressPrefix.size());
      mEarlyProgress[id] = it.mValue;
      mProgressRevisions[id] = it.mRevision;
    }
  }
  for (const StoreItem& it : state.mItems)
    TakeJobItem(it, isInherited);
  for (const StoreItem& it : state.mItems) {
    if (!it.mKey.starts_with(kWorkerPrefix))
      continue;
    auto record = DecodeMessage<WorkerRecord>(it.mValue);
    if (!record) {
      Log(LogPart::Task,
          LogLevel::Error,
          "a worker's record can't be read",
          { { "key", it.mKey }, { "what", record.error().mDetail } });
      continue;
    }
    WorkerEntry worker;
    worker.mId = it.mKey.substr(kWorkerPrefix.size());
    worker.mAddress = record->mAddress;
    worker.mService = record->mService;
    mScheduler.ListWorker(worker, true, BootClock::now());
    mScheduler.UnlistWorker(worker.mId, BootClock::now());
    mRecords.insert(worker.mId);
    if (Worker* known = mScheduler.FindWorker(worker.mId))
      known->mRecordRevision = it.mRevision;
    if (record->mIsFinal)
      mScheduler.SetFinalTasks(worker.mId, std::set(record->mTasks.begin(), record->mTasks.end()));
  }
  for (const StoreItem& it : directory.mItems)
    TakeWorkerItem(it);
  mEarlyProgress.clear();
  mEarlyCancels.clear();
  mLoaded = true;
  Log(LogPart::Ownership,
      LogLevel::Info,
      "read the stored jobs and the directory",
      { { "items", state.mItems.size() },
        { "workers", directory.mItems.size() },
        { "took_ms", BootClock::now() - startedAt } });
  for (const auto& [id, worker] : mScheduler.GetWorkers())
    EnsureLoop(id);
  Spawn(mContext, WatchJobs(state.mRevision));
  Spawn(mContext, WatchWorkers(directory.mRevision));
  Spawn(mContext, RecordWorkers());
  Spawn(mContext, RunPlan());
  Spawn(mContext, StoreProgress());
  Spawn(mContext, ForgetEndedJobs());
  Spawn(mContext, YieldToLarger());
}

void Holder::TakeJobItem(const StoreItem& aItem, bool aInherited)
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
        "a stored job can't be read",
        { { "job", id }, { "what", spec.error().mDetail } });
    return;
  }
  auto progress = mEarlyProgress.find(id);
  mScheduler.AddJob(std::move(*spec),
                    progress == mEarlyProgress.end() ? std::string_view() : progress->second,
                    aInherited,
                    BootClock::now());
  if (mEarlyCancels.erase(id) != 0)
    mScheduler.CancelJob(id, BootClock::now());
}

void Holder::NoteJob(const std::string& aId, std::string_view aValue)
{
  if (!mLoaded || mDeposed)
    return;
  TakeJobItem({ MakeJobKey(aId), std::string(aValue), 0, false }, false);
  WakePlan();
}

void Holder::NoteCancel(const std::string& aId)
{
  if (!mLoaded || mDeposed)
    return;
  mScheduler.CancelJob(aId, BootClock::now());
  WakePlan();
}

void Holder::TakeWorkerItem(const StoreItem& aItem)
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
        "an entry of the directory names no worker",
        { { "worker", id }, { "what", entry.error().mDetail } });
    mScheduler.UnlistWorker(id, now);
    return;
  }
  mScheduler.ListWorker(std::move(*entry), false, now);
  if (mLoaded)
    EnsureLoop(id);
}

Async<void> Holder::WatchJobs(std::uint64_t aRevision)
{
  auto self = shared_from_this();
  while (!mDeposed) {
    auto page = co_await mStore.Watch(std::string(kJobPrefix), aRevision, kWatchWait);
    if (mDeposed)
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
      TakeJobItem(it, false);
    WakePlan();
  }
}

Async<void> Holder::WatchWorkers(std::uint64_t aRevision)
{
  auto self = shared_from_this();
  while (!mDeposed) {
    auto page =
      co_await mStore.Watch(std::string(platform::kDirectoryPrefix), aRevision, kWatchWait);
    if (mDeposed)
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
      TakeWorkerItem(it);
    if (!page->mItems.empty())
      WakePlan();
  }
}

// A worker is recorded before it gets its first task, so that a later holder finds it also when its
// directory entry has lapsed. While it is silent nothing starts there, and the list of what it may
// run is final; the list is taken back before anything starts there again. Each write is
// conditional on the record that it replaces: one that is carried out late changes nothing.
Async<void> Holder::RecordWorkers()
{
  auto self = shared_from_this();
  while (!mDeposed) {
    StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    std::map<std::string, std::optional<std::set<std::string>>> written;  // and their final tasks
    const auto isFull = [&transaction] {
      return transaction.mConditions.size() + transaction.mWrites.size() +
               transaction.mDeletes.size() + 2 >
             platform::kMostStoreEntries;
    };
    for (const auto& [id, worker] : mScheduler.GetWorkers()) {
      const bool isSilent = worker.mFinalWanted && !worker.mReachable;
      const bool takesBack =
        (worker.mFinalTasks || worker.mFinalWanted) && worker.mReachable && worker.mFenced;
      const bool isNew = !worker.mRecorded && worker.mListed;
      if ((!isNew && !isSilent && !takesBack) || isFull())
        continue;
      WorkerRecord record{ worker.mEntry.mAddress, worker.mEntry.mService };
      written[id];
      if (isSilent) {
        record.mIsFinal = true;
        for (const Run& run : worker.mRuns)
          record.mTasks.push_back(run.mTask);
        written[id] = std::set(record.mTasks.begin(), record.mTasks.end());
      }
      transaction.mConditions.emplace_back(MakeWorkerKey(id), worker.mRecordRevision);
      transaction.mWrites.push_back({ MakeWorkerKey(id), EncodeMessage(record) });
    }
    std::vector<std::string> removed;
    for (const std::string& id : mRecords) {
      if (mScheduler.GetWorkers().contains(id) || isFull())
        continue;
      transaction.mDeletes.push_back(MakeWorkerKey(id));
      removed.push_back(id);
    }
    if (written.empty() && removed.empty()) {
      co_await Sleep(kRecordEvery);
      continue;
    }
    auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (!outcome) {
      co_await Sleep(kRetryStore);
      continue;
    }
    if (!outcome->mCommitted) {
      TakeRecordRevisions(*outcome, written);
      co_await CheckHolderKey();
      continue;
    }
    for (auto& [id, finalTasks] : written) {
      mRecords.insert(id);
      Worker* worker = mScheduler.FindWorker(id);
      if (!worker)
        continue;
      worker->mRecorded = true;
      worker->mRecordRevision = outcome->mRevision;
      worker->mFinalWanted = false;
      worker->mFinalTasks = std::move(finalTasks);
    }
    for (const std::string& id : removed)
      mRecords.erase(id);
    WakePlan();
  }
}

// An earlier write of ours was done without an answer: goes on from what is there.
void Holder::TakeRecordRevisions(
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
    Depose("another process holds the lease, or its key is gone");
}

// Progress

Async<bool> Holder::StoreProgressOnce()
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
    // The condition keeps a write that is carried out late from undoing a newer one. After an end
    // there is none.
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
    if (!mDeposed)
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
  while (!mDeposed) {
    if (!mScheduler.HasProgress()) {
      mStoreTimer.expires_after(kPlanEvery);
      co_await mStoreTimer.async_wait(kNoThrow);
      continue;
    }
    const bool isStored = co_await StoreProgressOnce();
    if (mDeposed)
      co_return;
    if (!isStored) {
      co_await Sleep(kRetryStore);
      continue;
    }
    for (const auto& [id, worker] : mScheduler.GetWorkers())
      if (worker.mLastEnd == worker.mStoredEnd)
        WakeWorker(id);
    mStoreTimer.expires_after(kStoreEvery);
    co_await mStoreTimer.async_wait(kNoThrow);
  }
}

Async<void> Holder::ForgetEndedJobs()
{
  auto self = shared_from_this();
  while (!mDeposed) {
    co_await Sleep(kForgetEvery);
    if (mDeposed)
      co_return;
    std::vector<std::string> ids =
      mScheduler.ForgetEnded(BootClock::now(), mSettings.mKeepEnded + seconds(30));
    while (!ids.empty() && !mDeposed) {
      StoreTransaction transaction;
      transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
      for (int n = 0; n < 10 && !ids.empty(); ++n) {
        transaction.mDeletes.push_back(MakeJobKey(ids.back()));
        transaction.mDeletes.push_back(MakeCancelKey(ids.back()));
        transaction.mDeletes.push_back(MakeProgressKey(ids.back()));
        mProgressRevisions.erase(ids.back());
        ids.pop_back();
      }
      // A delete that is lost leaves an ended job, which the next holder forgets.
      co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    }
  }
}

double Holder::GetLargestCores() const
{
  double cores = mSettings.mCores;
  for (const auto& [name, it] : mMembers)
    if (BootClock::now() - it.mPolledAt < 2 * kPollWait)
      cores = std::max(cores, it.mCores);
  return cores;
}

// Scheduling costs processor time in proportion to the fleet, so it belongs on a large VM.
Async<void> Holder::YieldToLarger()
{
  auto self = shared_from_this();
  while (!mDeposed) {
    co_await Sleep(kYieldAfter);
    if (mDeposed)
      co_return;
    if (GetLargestCores() >= kLargerBy * mSettings.mCores)
      co_await Resign("a larger process is there");
  }
}

// Workers

std::int64_t Holder::ReadWorkerClock(const Channel& aChannel) const
{
  const auto passed =
    std::chrono::duration_cast<milliseconds>(BootClock::now() - aChannel.mClockAt);
  return aChannel.mClockMs + passed.count();
}

void Holder::NoteClock(Channel& aChannel, std::int64_t aClockMs, TimePoint aSentAt)
{
  if (aClockMs == 0 || aSentAt < aChannel.mClockAt)
    return;
  aChannel.mClockMs = aClockMs;
  aChannel.mClockAt = BootClock::now();
}

std::optional<platform::WorkerTarget> Holder::MakeTarget(const std::string& aId)
{
  Worker* worker = mScheduler.FindWorker(aId);
  if (!worker)
    return std::nullopt;
  auto address = ParseAddress(worker->mEntry.mAddress);
  if (!address)
    return std::nullopt;
  return platform::WorkerTarget{ *address, aId, GetEpoch() };
}

void Holder::EnsureLoop(const std::string& aId)
{
  Channel& channel = mChannels[aId];
  if (channel.mLoopRuns)
    return;
  channel.mLoopRuns = true;
  if (!channel.mWake)
    channel.mWake = std::make_unique<asio::steady_timer>(mContext);
  Spawn(mContext, WatchWorker(aId));
}

void Holder::WakeWorker(const std::string& aId)
{
  auto it = mChannels.find(aId);
  if (it != mChannels.end() && it->second.mWake)
    it->second.mWake->cancel();
}

Async<bool> Holder::HoldOnce(std::string aId, Duration aWait)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  Worker* worker = mScheduler.FindWorker(aId);
  if (!target || !worker)
    co_return false;
  const TimePoint sentAt = BootClock::now();
  platform::HoldOrder order;
  order.mToken = GetEpoch();
  order.mNotedEnd = worker->mStoredEnd;
  order.mWaitMs =
    static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(aWait).count());
  Channel& channel = mChannels[aId];
  // A worker that was silent is asked first, without prolonging: its tasks may be waited out.
  if (channel.mClockMs != 0 && worker->mReachable && MayRenewTaskLeases()) {
    order.mUntilMs = ReadWorkerClock(channel) +
                     std::chrono::duration_cast<milliseconds>(mSettings.mTaskLease).count();
    worker->mLeaseSentAt = sentAt;
  }
  auto report = co_await platform::Hold(mClient, std::move(*target), order, aWait + kHoldMargin);
  if (mDeposed)
    co_return false;
  if (!report) {
    if (report.error().mKind == FailureKind::Fenced) {
      Depose("a worker has seen a later epoch");
      co_return false;
    }
    mMetrics.GetCounter("fleet_silent_reports_total").Add();
    mSilences.push_back(BootClock::now());
    mScheduler.OnSilence(aId, BootClock::now());
    co_return false;
  }
  if (sentAt < channel.mReportSentAt)
    co_return true;  // a later order's answer was faster: this report is out of date
  channel.mReportSentAt = sentAt;
  NoteClock(channel, report->mClockMs, sentAt);
  mScheduler.OnReport(aId, *report, sentAt, BootClock::now());
  if (mScheduler.HasEndedJob())
    mStoreTimer.cancel();
  WakePlan();
  co_return true;
}

// A lost answer hides what ended on its worker until the call is given up, so calls are kept short
// while answers get lost.
Duration Holder::ChooseHoldWait()
{
  const TimePoint now = BootClock::now();
  while (!mSilences.empty() && now - mSilences.front() > kSilenceAge)
    mSilences.pop_front();
  return mSilences.size() >= kSilencesForShort ? kShortHoldWait : kHoldWait;
}

Async<void> Holder::ProbeWorker(std::string aId)
{
  auto self = shared_from_this();
  co_await HoldOnce(std::move(aId), Duration::zero());
}

Async<void> Holder::WatchWorker(std::string aId)
{
  auto self = shared_from_this();
  while (!mDeposed) {
    Worker* worker = mScheduler.FindWorker(aId);
    if (!worker)
      break;
    Duration pause{};
    const bool wasReachable = worker->mReachable;
    const bool hasUnstoredEnds = worker->mLastEnd > worker->mStoredEnd;
    const bool isUnsure =
      std::any_of(worker->mRuns.begin(), worker->mRuns.end(), [](const Run& aItem) {
        return aItem.mPhase == RunPhase::Unconfirmed || aItem.mPhase == RunPhase::Stopping;
      });
    const bool isIdle = worker->mRuns.empty() && worker->mFenced && wasReachable;
    if (isIdle && !hasUnstoredEnds && BootClock::now() - worker->mAnsweredAt < kIdleHold) {
      pause = kIdleHold - (BootClock::now() - worker->mAnsweredAt);
    } else {
      const bool mayWait =
        wasReachable && worker->mFenced && !hasUnstoredEnds && !isUnsure && !isIdle;
      const bool isAnswered = co_await HoldOnce(aId, mayWait ? ChooseHoldWait() : Duration::zero());
      if (mDeposed)
        break;
      worker = mScheduler.FindWorker(aId);
      if (!worker)
        break;
      if (!isAnswered)
        pause = wasReachable ? Duration::zero() : kSilentHold;  // one answer may just be lost
      else if (!wasReachable)
        pause = Duration::zero();
      else if (worker->mLastEnd > worker->mStoredEnd || isUnsure)
        pause = milliseconds(100);  // or until the ends are stored
    }
    if (pause > Duration::zero()) {
      Channel& channel = mChannels[aId];
      channel.mWake->expires_after(pause);
      co_await channel.mWake->async_wait(kNoThrow);
    }
  }
  mChannels[aId].mLoopRuns = false;
}

// Orders

Async<void> Holder::Execute(std::string aId)
{
  auto self = shared_from_this();
  for (;;) {
    Channel& channel = mChannels[aId];
    if (mDeposed || channel.mQueue.empty()) {
      --channel.mActive;
      co_return;
    }
    auto order = std::move(channel.mQueue.front());
    channel.mQueue.pop_front();
    if (auto* start = std::get_if<StartOrder>(&order))
      co_await ExecuteStart(aId, std::move(*start));
    else if (auto* stop = std::get_if<StopOrder>(&order))
      co_await ExecuteStop(aId, std::move(*stop));
    else
      co_await ExecutePace(aId, std::move(std::get<PaceOrder>(order)));
  }
}

Async<void> Holder::ExecuteStart(std::string aId, StartOrder aOrder)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  if (!target || !MayStart()) {
    mScheduler.OnStart(aOrder, StartOutcome::NotStarted, BootClock::now());
    co_return;
  }
  const TimePoint sentAt = BootClock::now();
  if (Worker* worker = mScheduler.FindWorker(aId))
    worker->mLeaseSentAt = sentAt;
  const std::int64_t until = ReadWorkerClock(mChannels[aId]) +
                             std::chrono::duration_cast<milliseconds>(mSettings.mTaskLease).count();
  const auto answer =
    co_await platform::StartTask(mClient, std::move(*target), aOrder, until, kOrderDeadline);
  if (mDeposed)
    co_return;
  Log(LogPart::Place,
      answer.mOutcome == StartOutcome::Started ? LogLevel::Debug : LogLevel::Warn,
      answer.mOutcome == StartOutcome::Started ? "started" : "not started",
      { { "task", aOrder.mTask },
        { "run", aOrder.mRun },
        { "worker", aId },
        { "answer", answer.mDetail },
        { "took_ms", BootClock::now() - sentAt } });
  mMetrics.GetCounter("fleet_starts_total", GetStartLabel(answer.mOutcome)).Add();
  mMetrics.GetDistribution("fleet_start_seconds").Record(BootClock::now() - sentAt);
  if (answer.mFenced) {
    Depose("a worker has seen a later epoch");
    co_return;
  }
  NoteClock(mChannels[aId], answer.mClockMs, sentAt);
  mScheduler.OnStart(aOrder, answer.mOutcome, BootClock::now());
  if (answer.mOutcome == StartOutcome::Unknown || answer.mOutcome == StartOutcome::OldRun)
    Spawn(mContext, ProbeWorker(aId));
  if (answer.mOutcome != StartOutcome::Started)
    WakePlan();
  else
    WakeWorker(aId);
}

Async<void> Holder::ExecuteStop(std::string aId, StopOrder aOrder)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  if (!target || !MayRenewTaskLeases())
    co_return;
  auto stopped = co_await platform::StopTask(mClient, std::move(*target), aOrder, kOrderDeadline);
  if (mDeposed)
    co_return;
  Log(LogPart::Task,
      stopped ? LogLevel::Info : LogLevel::Warn,
      stopped ? "stopped" : "a stop was not confirmed",
      { { "task", aOrder.mTask },
        { "run", aOrder.mRun },
        { "worker", aId },
        { "answer", stopped ? std::string("200") : stopped.error().mDetail } });
  mScheduler.OnStop(aOrder, stopped.has_value(), BootClock::now());
  if (stopped)
    Spawn(mContext, ProbeWorker(aId));
}

Async<void> Holder::ExecutePace(std::string aId, PaceOrder aOrder)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  if (!target || !MayRenewTaskLeases())
    co_return;
  auto paced = co_await platform::PaceTask(mClient, std::move(*target), aOrder, kOrderDeadline);
  Log(LogPart::Task,
      LogLevel::Info,
      "paced a filling task",
      { { "task", aOrder.mTask },
        { "worker", aId },
        { "percent", aOrder.mPercent },
        { "answer", paced ? std::string("200") : paced.error().mDetail } });
}

// One line for the starts of a stage that are decided together; a start that fails has its own.
void Holder::LogStarts(const std::vector<StartOrder>& aStarts)
{
  for (std::size_t n = 0; n < aStarts.size();) {
    const std::string stage = aStarts[n].mTask.substr(0, aStarts[n].mTask.rfind('.'));
    std::string placed;
    const std::size_t first = n;
    for (; n < aStarts.size() && aStarts[n].mTask.starts_with(stage + "."); ++n) {
      if (!placed.empty())
        placed += ',';
      placed.append(aStarts[n].mTask, stage.size() + 1).append("@").append(aStarts[n].mWorker);
    }
    Log(LogPart::Place,
        LogLevel::Info,
        "starting",
        { { "stage", stage },
          { "run", aStarts[first].mRun },
          { "tasks", n - first },
          { "epoch", GetEpoch() },
          { "placed", placed } });
  }
}

void Holder::Dispatch(Orders aOrders)
{
  LogStarts(aOrders.mStarts);
  const auto push = [this](auto aOrder, bool aFirst) {
    const std::string id = aOrder.mWorker;
    Channel& channel = mChannels[id];
    if (aFirst)
      channel.mQueue.emplace_front(std::move(aOrder));
    else
      channel.mQueue.emplace_back(std::move(aOrder));
    if (channel.mActive < kOrdersAtOnce) {
      ++channel.mActive;
      Spawn(mContext, Execute(id));
    }
  };
  for (StopOrder& it : aOrders.mStops)
    push(std::move(it), true);
  for (PaceOrder& it : aOrders.mPaces)
    push(std::move(it), true);
  for (StartOrder& it : aOrders.mStarts)
    push(std::move(it), false);
  for (AdviceOrder& it : aOrders.mAdvice)
    HandOut(std::move(it));
}

void Holder::WakePlan()
{
  if (mPlanWoken)
    return;
  mPlanWoken = true;
  mPlanTimer.cancel();
}

Async<void> Holder::RunPlan()
{
  auto self = shared_from_this();
  while (!mDeposed) {
    if (!mPlanWoken) {
      mPlanTimer.expires_after(kPlanEvery);
      co_await mPlanTimer.async_wait(kNoThrow);
    }
    if (mPlanWoken)
      co_await Sleep(kPlanSoon);
    mPlanWoken = false;
    if (mDeposed)
      co_return;
    ExpireAdvice();
    const TimePoint now = BootClock::now();
    if (MayRenewTaskLeases())
      mScheduler.DropLapsed(now, mPredecessorGone ? Duration::zero() : kOutageGrace);
    Dispatch(mScheduler.Plan(now, ReadWallMillis(), MayStart(), CountFreeAdvisors()));
    // Planning gets a fifth of the time at most, so that answers are taken in between.
    const Duration took = BootClock::now() - now;
    if (took > kPlanSoon / 4)
      co_await Sleep(4 * took);
  }
}

// Advice

std::size_t Holder::CountFreeAdvisors() const
{
  std::size_t n = mSettings.mAdvice && !mLocalAdviceBusy ? 1 : 0;
  for (const auto& [name, it] : mMembers)
    n += it.mWaiting && !it.mOrder ? 1 : 0;
  return n;
}

void Holder::HandOut(AdviceOrder aOrder)
{
  AdviceCall call{ std::move(aOrder), BootClock::now() };
  for (auto& [name, member] : mMembers) {
    if (!member.mWaiting || member.mOrder)
      continue;
    call.mMember = name;
    member.mOrder = call.mOrder;
    member.mWaiting->cancel();
    mAdvice[call.mOrder.mNumber] = std::move(call);
    return;
  }
  if (!mSettings.mAdvice)
    return;
  mLocalAdviceBusy = true;
  mAdvice[call.mOrder.mNumber] = call;
  Spawn(mContext, AskLocally(std::move(call)));
}

Async<void> Holder::AskLocally(AdviceCall aCall)
{
  auto self = shared_from_this();
  auto answer = co_await platform::Advise(mClient,
                                          *mSettings.mAdvice,
                                          aCall.mOrder,
                                          milliseconds(aCall.mOrder.mExpectedMs) + kAdviceMargin);
  mLocalAdviceBusy = false;
  AdviceResult result;
  result.mNumber = aCall.mOrder.mNumber;
  result.mAnswered = answer.has_value();
  if (answer) {
    result.mAdmitted = std::move(answer->mAdmitted);
    result.mValidMs = std::chrono::duration_cast<milliseconds>(answer->mValid).count();
  }
  FinishAdvice(result);
}

void Holder::FinishAdvice(const AdviceResult& aResult)
{
  auto it = mAdvice.find(aResult.mNumber);
  if (it == mAdvice.end() || mDeposed)
    return;
  const AdviceCall call = std::move(it->second);
  mAdvice.erase(it);
  const TimePoint now = BootClock::now();
  mMetrics.GetDistribution("fleet_policy_call_seconds").Record(now - call.mAskedAt);
  Log(LogPart::Place,
      aResult.mAnswered ? LogLevel::Info : LogLevel::Warn,
      aResult.mAnswered ? "the policy service answered" : "the policy service did not answer",
      { { "stage", call.mOrder.mStage },
        { "asked", call.mOrder.mWorkers.size() },
        { "admitted", aResult.mAdmitted.size() },
        { "by", call.mMember },
        { "valid_ms", aResult.mValidMs },
        { "took_ms", now - call.mAskedAt } });
  mScheduler.OnAdvice(call.mOrder,
                      aResult.mAnswered ? &aResult.mAdmitted : nullptr,
                      milliseconds(aResult.mValidMs),
                      call.mAskedAt,
                      now);
  WakePlan();
}

void Holder::ExpireAdvice()
{
  const TimePoint now = BootClock::now();
  std::vector<std::uint64_t> expired;
  for (const auto& [number, call] : mAdvice)
    if (now > call.mAskedAt + milliseconds(call.mOrder.mExpectedMs) + kAdviceMargin + kPollWait)
      expired.push_back(number);
  for (const std::uint64_t number : expired)
    FinishAdvice({ number });
}

Async<PollReply> Holder::Poll(PollRequest aRequest)
{
  auto self = shared_from_this();
  PollReply reply;
  for (const AdviceResult& it : aRequest.mResults)
    FinishAdvice(it);
  if (mDeposed)
    co_return reply;
  Member& member = mMembers[aRequest.mName];
  if (member.mWaiting)
    member.mWaiting->cancel();  // its earlier poll was given up
  auto timer = std::make_unique<asio::steady_timer>(mContext, kPollWait);
  asio::steady_timer* const mine = timer.get();
  member.mWaiting = std::move(timer);
  member.mOrder.reset();
  member.mCores = aRequest.mCores;
  member.mStoreServedAt = BootClock::now() - milliseconds(aRequest.mStoreServedAgoMs);
  member.mPolledAt = BootClock::now();
  WakePlan();
  co_await mine->async_wait(kNoThrow);
  Member& now = mMembers[aRequest.mName];
  reply.mHasResigned = mHasResigned;
  if (now.mWaiting.get() != mine)
    co_return reply;
  if (now.mOrder)
    reply.mOrders.push_back(std::move(*now.mOrder));
  now.mOrder.reset();
  now.mWaiting.reset();
  co_return reply;
}

// Questions

Async<StateReply> Holder::GetState(std::string aId)
{
  auto self = shared_from_this();
  constexpr int kTries = 80;  // a write takes some 10 ms, on slow days 400
  for (int n = 0;; ++n) {
    const Job* job = mDeposed ? nullptr : mScheduler.FindJob(aId);
    if (!job)
      co_return StateReply{};
    if (!IsOver(job->mState) || job->mStoredState == job->mState)
      co_return StateReply{ true, static_cast<std::uint8_t>(job->mState) };
    // An end is shown once it is stored, so that no later holder can run the job again.
    if (n == kTries)
      co_return StateReply{ true, static_cast<std::uint8_t>(JobState::Running) };
    mStoreTimer.cancel();
    co_await Sleep(milliseconds(10));
  }
}

std::optional<std::size_t> Holder::CountPending(const std::string& aQueue) const
{
  if (mDeposed || !mLoaded)
    return std::nullopt;
  return mScheduler.CountPending(aQueue);
}

}  // namespace monsoon::fleet
