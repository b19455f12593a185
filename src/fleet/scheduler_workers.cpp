// Scheduler: the list of workers, their incarnations, and the runs on them.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

void LogCapacityChange(const Worker& aWorker, const WorkerEntry& aEntry)
{
  const WorkerEntry& known = aWorker.mEntry;
  if (known.mMilliCores == aEntry.mMilliCores && known.mMemoryMiB == aEntry.mMemoryMiB &&
      known.mAccelerators == aEntry.mAccelerators)
    return;
  Log(LogPart::Place,
      LogLevel::Info,
      "the capacity of a worker has changed",
      { { "worker", aEntry.mId },
        { "millicores", aEntry.mMilliCores },
        { "before", known.mMilliCores },
        { "in_use", aWorker.mUsedMilliCores },
        { "mib", aEntry.mMemoryMiB },
        { "accelerators", aEntry.mAccelerators },
        { "born_ms", aEntry.mBornMs } });
}

}  // namespace

Worker* Scheduler::FindWorker(const std::string& aId)
{
  auto it = mWorkersById.find(aId);
  return it == mWorkersById.end() ? nullptr : it->second;
}

std::map<std::string, Worker>::iterator Scheduler::EraseWorker(
  std::map<std::string, Worker>::iterator aIt)
{
  mSpeeds.Forget(aIt->first);
  mWorkersById.erase(aIt->first);
  return mWorkers.erase(aIt);
}

std::vector<std::string> Scheduler::ListWorkersAt(std::string_view aAddress) const
{
  std::vector<std::string> ids;
  for (const auto& [id, worker] : mWorkers)
    if (worker.mAddress == aAddress)
      ids.push_back(id);
  return ids;
}

void Scheduler::OnReplaced(const std::string& aId, std::string_view aAddress, TimePoint aNow)
{
  Worker* worker = FindWorker(aId);
  if (!worker || worker->mAddress != aAddress)
    return;  // it is not known to run there: its entry may be wrong
  const bool isListedElsewhere = IsListedElsewhere(*worker);
  if (!isListedElsewhere && !IsEntryCurrent(*worker))
    return;  // its next incarnation may have started there since the poll was sent
  Log(LogPart::Task,
      LogLevel::Info,
      "another incarnation answers at the address of a worker; its tasks are lost",
      { { "worker", aId },
        { "address", aAddress },
        { "tasks", worker->mRuns.size() },
        { "just_started", FormatUnproven(*worker) } });
  RecordCrash(*worker, CrashEvidence::Replaced, aNow);
  while (!worker->mRuns.empty())
    DropRun(*worker, worker->mRuns.size() - 1);
  const Worker ended = std::move(*worker);
  EraseWorker(mWorkers.find(aId));
  // Before an answer in this epoch, its address is only what a previous holder took it for.
  const bool isUnresolved = IsUnresolved(ended);
  if (isListedElsewhere)
    ListWorker(ended.mEntry, isUnresolved, isUnresolved ? ended.mAddedAt : aNow);
  else if (ended.mListed)
    mRefuted[aId] = { ended.mEntry.mAddress, ended.mEntry.mBornMs };
}

void Scheduler::ListWorker(WorkerEntry aEntry, bool aRecorded, TimePoint aNow)
{
  // The directory may show the entry of an ended worker for seconds.
  if (const auto it = mRefuted.find(aEntry.mId); it != mRefuted.end()) {
    if (it->second.mAddress == aEntry.mAddress && it->second.mBornMs == aEntry.mBornMs)
      return;
    mRefuted.erase(it);
  }
  auto [it, isNew] = mWorkers.try_emplace(aEntry.mId);
  Worker& worker = it->second;
  if (isNew)
    mWorkersById.emplace(it->first, &worker);
  // What runs on a worker is asked for where it answered, or where a previous holder knew it.
  if (isNew || (!worker.mInherited && worker.mAnsweredAt == TimePoint{}))
    worker.mAddress = aEntry.mAddress;
  if (isNew) {
    worker.mAddedAt = aNow;
    worker.mLeaseSentAt = aNow;  // a previous holder may have renewed leases until now
  } else if (worker.mBornMs != 0 && aEntry.mBornMs != 0 && aEntry.mBornMs != worker.mBornMs) {
    SuspectRestart(worker, aNow);
    ExtendLeases(worker, aNow);
  }
  if (worker.mBornMs == 0)
    worker.mBornMs = aEntry.mBornMs;
  if (!isNew && worker.mListed)
    LogCapacityChange(worker, aEntry);
  if (aEntry.mAddress != worker.mAddress && aEntry.mAddress != worker.mEntry.mAddress)
    Log(LogPart::Task,
        LogLevel::Info,
        "a worker is listed at another address; it counts once the worker answers there",
        { { "worker", aEntry.mId },
          { "address", aEntry.mAddress },
          { "known_at", worker.mAddress } });
  if (aEntry.mDraining && !worker.mEntry.mDraining)
    Log(LogPart::Drain, LogLevel::Info, "a worker is draining", { { "worker", aEntry.mId } });
  worker.mEntry = std::move(aEntry);
  worker.mListed = true;
  if (worker.mEntry.mJustWritten)
    worker.mWrittenAt = aNow;
  worker.mRecorded = worker.mRecorded || aRecorded;
  worker.mInherited = worker.mInherited || aRecorded;
}

// Applies the first report of a worker's next incarnation: what ran on the one before is lost. Runs
// that are listed, or that started after the report was requested, are on the new one. A start
// whose outcome is not known may have reached either, or may still do so; the new one has to be
// told of stops as well.
void Scheduler::ResetForNewIncarnation(Worker& aWorker,
                                       const WorkerReport& aReport,
                                       TimePoint aSentAt,
                                       TimePoint aNow)
{
  Log(LogPart::Task,
      LogLevel::Info,
      "a worker was restarted under the same id; its tasks are lost",
      { { "worker", aWorker.mEntry.mId },
        { "born_ms", aReport.mBornMs },
        { "before", aWorker.mBornMs },
        { "tasks", aWorker.mRuns.size() },
        { "just_started", FormatUnproven(aWorker) } });
  const auto isListed = [&aReport](const Run& aRun) {
    const auto isSame = [&aRun](const auto& aRow) {
      return aRow.mTask == aRun.mTask && aRow.mRun == aRun.mRun;
    };
    return std::any_of(aReport.mRunning.begin(), aReport.mRunning.end(), isSame) ||
           std::any_of(aReport.mEnded.begin(), aReport.mEnded.end(), isSame);
  };
  const auto living =
    std::stable_partition(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const Run& aRun) {
      const bool isLater = IsConfirmed(aRun) && !aRun.mReported && aRun.mConfirmedAt >= aSentAt;
      return !isListed(aRun) && !isLater;
    });
  std::vector<Run> kept(std::make_move_iterator(living),
                        std::make_move_iterator(aWorker.mRuns.end()));
  aWorker.mRuns.erase(living, aWorker.mRuns.end());
  RecordCrash(aWorker, CrashEvidence::Replaced, aNow);
  for (std::size_t n = aWorker.mRuns.size(); n-- > 0;)
    if (IsConfirmed(aWorker.mRuns[n]))
      DropRun(aWorker, n);
  std::move(kept.begin(), kept.end(), std::back_inserter(aWorker.mRuns));
  for (Run& it : aWorker.mRuns) {
    it.mStopSentAt = {};
    it.mStopAckedAt = {};
  }
  mSpeeds.Forget(aWorker.mEntry.mId);
  aWorker.mBornMs = aReport.mBornMs;
  aWorker.mBornSeenAt = aNow;
  aWorker.mLastEnd = 0;
  aWorker.mStoredEnd = 0;
  aWorker.mUnstoredEnds.clear();
  aWorker.mRecentEnds.clear();
  SuspectRestart(aWorker, aNow);
  ExtendLeases(aWorker, aNow);
}

// Makes the worker wait for its next report, which tells its incarnation. The entry does not: it
// may have been written late by one that has ended, and a machine's time of day may be set back.
void Scheduler::SuspectRestart(Worker& aWorker, TimePoint aNow)
{
  aWorker.mMayHaveRestarted = true;
  if (aWorker.mReachable)
    aWorker.mUnresponsiveSince = aNow;
  aWorker.mReachable = false;
}

// Counts the longest leases that a worker allows. Orders sent until now were timed by the clock of
// the earlier incarnation; if that was ahead, they have granted these to the new one.
void Scheduler::ExtendLeases(Worker& aWorker, TimePoint aNow) const
{
  aWorker.mLeaseSentAt =
    std::max(aWorker.mLeaseSentAt, aNow + mSettings.mMaxTaskLease - mTaskLease);
}

void Scheduler::UnlistWorker(const std::string& aId, TimePoint aNow)
{
  mRefuted.erase(aId);
  Worker* worker = FindWorker(aId);
  if (!worker || !worker->mListed)
    return;
  worker->mListed = false;
  worker->mUnlistedAt = aNow;
}

void Scheduler::OnSilence(const std::string& aId, TimePoint aNow)
{
  Worker* worker = FindWorker(aId);
  if (!worker || !worker->mReachable)
    return;
  worker->mReachable = false;
  worker->mUnresponsiveSince = aNow;
  RememberSilence(aNow);
  Log(LogPart::Task,
      LogLevel::Warn,
      "a worker does not answer; its tasks count as running until their lease lapses",
      { { "worker", aId },
        { "tasks", worker->mRuns.size() },
        { "answered_ago_ms", aNow - worker->mAnsweredAt } });
}

void Scheduler::OnClockReset(const std::string& aId, TimePoint aNow)
{
  Worker* worker = FindWorker(aId);
  if (!worker || worker->mMayHaveRestarted)
    return;
  SuspectRestart(*worker, aNow);
  ExtendLeases(*worker, aNow);
  Log(LogPart::Task,
      LogLevel::Info,
      "the clock of a worker went back; it may have restarted under its id",
      { { "worker", aId }, { "tasks", worker->mRuns.size() } });
}

void Scheduler::OnConnectionsClosed(const std::string& aId, TimePoint aNow)
{
  Worker* worker = FindWorker(aId);
  if (!worker || worker->mMayHaveRestarted)
    return;
  SuspectRestart(*worker, aNow);
  Log(LogPart::Task,
      LogLevel::Info,
      "a worker closed its connections; it may have restarted under its id",
      { { "worker", aId }, { "tasks", worker->mRuns.size() } });
}

std::uint64_t Scheduler::GetAcknowledgedEnd(const Worker& aWorker)
{
  const bool isSure =
    aWorker.mReachable && !aWorker.mHasUnansweredStart && !aWorker.mMayHaveRestarted;
  return isSure ? aWorker.mStoredEnd : 0;
}

void Scheduler::SetFinalTasks(const std::string& aId,
                              std::set<std::string> aTasks,
                              std::vector<SuspectRun> aSuspects)
{
  Worker* worker = FindWorker(aId);
  if (!worker)
    return;
  worker->mFinalTasks = std::move(aTasks);
  worker->mPastRuns = std::move(aSuspects);
}

bool Scheduler::AreAllResolved() const
{
  return std::none_of(
    mWorkers.begin(), mWorkers.end(), [](const auto& aItem) { return IsUnresolved(aItem.second); });
}

// Lets the task of a run wait to be placed again, unless it is done or another run has replaced it.
void Scheduler::ReleaseTask(const Run& aRun, bool aNeverRan)
{
  if (!aRun.mKnown)
    return;
  Task* task = FindTask(aRun.mRef);
  if (!task || task->mDone || task->mRun != aRun.mRun || task->mWorker.empty())
    return;
  task->mWorker.clear();
  task->mNeverRan = aNeverRan;
  ++FindStage(aRun.mRef)->mWaiting;
}

void Scheduler::DropRun(Worker& aWorker, std::size_t aIndex, bool aNeverRan)
{
  const Run run = std::move(aWorker.mRuns[aIndex]);
  aWorker.mRuns.erase(aWorker.mRuns.begin() + static_cast<std::ptrdiff_t>(aIndex));
  aWorker.mUsedMilliCores -= run.mMilliCores;
  aWorker.mUsedMemoryMiB -= run.mMemoryMiB;
  aWorker.mUsedAccelerators -= run.mAccelerators;
  DischargeTeam(run);
  Task* task = run.mKnown && !aNeverRan ? FindTask(run.mRef) : nullptr;
  if (task && task->mRun == run.mRun)
    task->mSeenAt = aWorker.mAnsweredAt;
  ReleaseTask(run, aNeverRan);
}

}  // namespace monsoon::fleet
