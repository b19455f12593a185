// Writes progress, worker records and cancelled ids to the store.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kRecordInterval = milliseconds(60);  // checks for workers to record
constexpr Duration kStoreInterval = milliseconds(40);   // collects ends of tasks into one write
constexpr std::size_t kProgressEntries =
  platform::kMaxTransactionEntries - 1;                       // and the holder's key
constexpr std::size_t kFullBatchJobs = kProgressEntries / 2;  // of running jobs
constexpr Duration kForgetInterval = seconds(15);
constexpr Duration kForgetMargin = seconds(30);

}  // namespace

Async<void> Holder::RecordWorkers()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    const RecordPlan plan = mRecords.Plan(mScheduler, platform::kMaxTransactionEntries - 1);
    if (plan.IsEmpty()) {
      co_await Sleep(kRecordInterval);
      continue;
    }
    StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    for (const auto& [id, revision] : plan.mConditions)
      transaction.mConditions.emplace_back(MakeWorkerKey(id), revision);
    for (const auto& [id, record] : plan.mWrites)
      transaction.mWrites.push_back({ MakeWorkerKey(id), EncodeMessage(record) });
    for (const std::string& id : plan.mDeletes)
      transaction.mDeletes.push_back(MakeWorkerKey(id));
    auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (!outcome) {
      co_await Sleep(kRetryStore);
      continue;
    }
    if (!outcome->mCommitted) {
      std::map<std::string, std::uint64_t> current;
      for (const StoreItem& it : outcome->mCurrent)
        if (it.mKey.starts_with(kWorkerPrefix))
          current[it.mKey.substr(kWorkerPrefix.size())] = it.mRevision;
      mRecords.OnConflict(plan, current);
      co_await CheckHolderKey();
      continue;
    }
    mRecords.OnCommitted(plan, outcome->mRevision, mScheduler);
    WakePlan();
  }
}

// Without this record the next holder counts the leases of all unresponsive workers from its own
// election, as it can't know when they were last renewed.
Async<void> Holder::StoreHandover()
{
  auto self = shared_from_this();
  HandoverRecord record;
  record.mEpoch = GetEpoch();
  record.mLeaseWaits = mScheduler.ListLeaseWaits(BootClock::now());
  if (record.mLeaseWaits.empty())
    co_return;
  StoreTransaction transaction;
  transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
  transaction.mWrites.push_back({ std::string(kHandoverKey), EncodeMessage(record) });
  const auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
  const bool isStored = outcome && outcome->mCommitted;
  Log(LogPart::Ownership,
      isStored ? LogLevel::Info : LogLevel::Warn,
      isStored ? "stored how long the leases of unresponsive workers still last"
               : "the next holder counts the leases of unresponsive workers from its election",
      { { "workers", record.mLeaseWaits.size() },
        { "why", outcome ? std::string() : outcome.error().mDetail } });
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
    OnBatchStored(batch);
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
  OnBatchStored(batch);
  ++mStats.mBatches;
  mStats.mStoredJobs += batch.mJobs.size();
  co_return true;
}

// Acknowledges ends at once to the workers whose ends are all stored.
void Holder::OnBatchStored(const ProgressBatch& aBatch)
{
  mScheduler.OnProgressStored(aBatch);
  for (const StoredEnds& it : aBatch.mEnds)
    if (const Worker* worker = mScheduler.FindWorker(it.mWorker);
        worker && worker->mLastEnd == worker->mStoredEnd)
      WakeWorker(it.mWorker);
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
    if (mScheduler.CountUnstoredJobs() >= kFullBatchJobs)
      continue;
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
    co_await ForgetCancelledIds();
    // A write that is carried out once the job's key is gone would start the job anew.
    const Duration age = std::max(mSettings.mKeepEnded + kForgetMargin, kLongestWrite);
    std::vector<std::string> ids = mScheduler.ForgetEnded(BootClock::now(), age);
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

Async<Result<void>> Holder::CancelUnstored(CancelledId aId, TimePoint aDeadline)
{
  auto self = shared_from_this();
  if (!mLoaded || mSteppedDown)
    co_return MakeFailure(FailureKind::StoreUnavailable, "this process does not schedule yet");
  if (!mCancelledIds.Add(aId, BootClock::now()))
    co_return MakeFailure(FailureKind::RateLimited, "too many ids are cancelled");
  // It may have arrived since the store was asked for it.
  const Job* job = mScheduler.FindJob(aId.mId);
  if (job && MayAccess(aId.mAccess, job->mSpec.mTeam, job->mSpec.mQueue))
    OnJobCancelled(aId.mId);
  if (!mStoringCancelledIds)
    Spawn(mContext, StoreCancelledIds());
  while (!mCancelledIds.IsStored(aId)) {
    if (mSteppedDown || BootClock::now() >= aDeadline)
      co_return MakeFailure(FailureKind::StoreUnavailable, "the cancellation is not stored yet");
    co_await Sleep(milliseconds(10));
  }
  Log(LogPart::Job,
      LogLevel::Info,
      "cancelled an id of which no job is stored; one that arrives late is cancelled",
      { { "job", aId.mId }, { "team", aId.mAccess.mTeam } });
  co_return Result<void>();
}

Async<void> Holder::StoreCancelledIds()
{
  auto self = shared_from_this();
  mStoringCancelledIds = true;
  while (!mSteppedDown) {
    const auto write = mCancelledIds.MakeWrite(GetEpoch(), BootClock::now());
    if (!write)
      break;
    StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    transaction.mWrites.push_back({ write->mKey, EncodeMessage(write->mRecord) });
    const auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (outcome && outcome->mCommitted) {
      mCancelledIds.OnStored(*write);
      continue;
    }
    if (outcome)
      co_await CheckHolderKey();
    co_await Sleep(kRetryStore);
  }
  mStoringCancelledIds = false;
}

// Deletes the records of cancelled ids of which no job can arrive any more.
Async<void> Holder::ForgetCancelledIds()
{
  auto self = shared_from_this();
  std::vector<std::string> keys = mCancelledIds.ListExpired(BootClock::now());
  while (!keys.empty() && !mSteppedDown) {
    const std::size_t count = std::min(keys.size(), kProgressEntries);
    StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    transaction.mDeletes.assign(keys.end() - static_cast<std::ptrdiff_t>(count), keys.end());
    const std::vector<std::string> deleted = transaction.mDeletes;
    const auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (!outcome || !outcome->mCommitted)
      co_return;  // they are listed again the next time
    for (const std::string& it : deleted)
      mCancelledIds.EraseRecord(it);
    keys.resize(keys.size() - count);
  }
}

}  // namespace monsoon::fleet
