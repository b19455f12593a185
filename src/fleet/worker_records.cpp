#include "fleet/worker_records.h"

#include "observe/log.h"

namespace monsoon::fleet {

void WorkerRecords::SetRevision(const std::string& aWorker, std::uint64_t aRevision)
{
  mRevisions[aWorker] = aRevision;
}

// A worker gets a record before its first task. While it does not answer, no task starts there, and
// its record lists, as final, all tasks that it may run or whose end there is not stored: progress
// is written by other transactions, which may be seconds behind. The list is cleared before another
// task starts there. Each write and each delete depends on the record that it replaces, so that one
// that the store applies late changes nothing.
RecordPlan WorkerRecords::Plan(const Scheduler& aScheduler, std::size_t aMaxEntries) const
{
  RecordPlan plan;
  std::size_t entries = 0;
  for (const auto& [id, worker] : aScheduler.GetWorkers()) {
    const bool isUnresponsive = worker.mFinalWanted && !worker.mReachable;
    const bool clearsFinal =
      (worker.mFinalTasks || worker.mFinalWanted) && worker.mReachable && worker.mFenced;
    // Nothing starts on a worker that has not answered, and there may be none behind its entry.
    const bool isNew = !worker.mRecorded && worker.mListed && worker.mFenced;
    if ((!isNew && !isUnresponsive && !clearsFinal) || entries + 2 > aMaxEntries)
      continue;
    WorkerRecord record{ worker.mAddress, worker.mEntry.mService };
    record.mBornMs = worker.mBornMs;
    record.mCreatedRevision = worker.mEntry.mCreatedRevision;
    if (isUnresponsive) {
      record.mIsFinal = true;
      record.mTasks = aScheduler.ListUnsettledTasks(worker);
      record.mSuspects = aScheduler.ListSuspects(worker);
    }
    const auto stored = mRevisions.find(id);
    plan.mConditions.emplace_back(id, stored == mRevisions.end() ? 0 : stored->second);
    plan.mWrites.emplace(id, std::move(record));
    entries += 2;
  }
  for (const auto& [id, revision] : mRevisions) {
    if (aScheduler.GetWorkers().contains(id) || entries + 2 > aMaxEntries)
      continue;
    plan.mConditions.emplace_back(id, revision);
    plan.mDeletes.push_back(id);
    entries += 2;
  }
  return plan;
}

void WorkerRecords::OnCommitted(const RecordPlan& aPlan,
                                std::uint64_t aRevision,
                                Scheduler& aScheduler)
{
  for (const auto& [id, record] : aPlan.mWrites) {
    mRevisions[id] = aRevision;
    Worker* worker = aScheduler.FindWorker(id);
    if (!worker)
      continue;
    worker->mRecorded = true;
    worker->mFinalWanted = false;
    worker->mFinalTasks.reset();
    if (!record.mIsFinal)
      continue;
    worker->mFinalTasks.emplace(record.mTasks.begin(), record.mTasks.end());
    Log(LogPart::Task,
        LogLevel::Info,
        "stored which tasks of an unresponsive worker a later holder must not start",
        { { "worker", id }, { "tasks", record.mTasks.size() }, { "runs", worker->mRuns.size() } });
  }
  for (const std::string& id : aPlan.mDeletes)
    mRevisions.erase(id);
}

void WorkerRecords::OnConflict(const RecordPlan& aPlan,
                               const std::map<std::string, std::uint64_t>& aCurrent)
{
  for (const auto& [id, revision] : aPlan.mConditions) {
    const auto current = aCurrent.find(id);
    if (current == aCurrent.end())
      mRevisions.erase(id);
    else
      mRevisions[id] = current->second;
  }
}

}  // namespace monsoon::fleet
