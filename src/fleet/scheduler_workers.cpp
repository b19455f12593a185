// Scheduler: the list of workers and their reports.
#include <algorithm>
#include <charconv>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::uint32_t kMaxFailStreak = 3;       // failures in a row that quarantine a worker
constexpr Duration kBaseQuarantine = seconds(2);  // doubled for each further quarantine in a row
constexpr std::uint32_t kMaxQuarantineDoublings = 3;

// Returns whether the first is certainly an earlier incarnation at the same address. The time of
// day of a machine may jump, and the entry of an ended incarnation may be created again by a write
// that was delayed, so both orders must agree where both are known.
bool IsEarlierIncarnation(const WorkerEntry& aLeft, const WorkerEntry& aRight)
{
  const bool hasTimes = aLeft.mBornMs != 0 && aRight.mBornMs != 0;
  const bool hasRevisions = aLeft.mCreatedRevision != 0 && aRight.mCreatedRevision != 0;
  return (hasTimes || hasRevisions) && (!hasTimes || aLeft.mBornMs < aRight.mBornMs) &&
         (!hasRevisions || aLeft.mCreatedRevision < aRight.mCreatedRevision);
}

}  // namespace

// Applies the ends and running tasks that workers reported of a job before it was added.
void Scheduler::ApplyOrphanReports(Job& aJob, TimePoint aNow)
{
  const std::string prefix = aJob.mSpec.mId + ".";
  for (auto& [id, worker] : mWorkers) {
    std::vector<std::pair<TimePoint, EndedTask>> orphans = std::move(worker.mOrphanEnds);
    worker.mOrphanEnds.clear();
    for (auto& [seenAt, row] : orphans) {
      if (row.mTask.starts_with(prefix))
        ProcessEnd(worker, row, aNow);
      else
        worker.mOrphanEnds.emplace_back(seenAt, std::move(row));
    }
    for (Run& run : worker.mRuns)
      if (!run.mKnown && run.mPhase == RunPhase::Running && run.mTask.starts_with(prefix))
        AdoptRun(worker, run, aNow);
  }
}

// Makes a run that a worker reports the current run of its task. Returns false if that is not
// possible, because the job is unknown or over, or the task is done, on another worker or at a
// later run. The capacity of the run is reserved whenever its task is known, also if it must be
// stopped.
bool Scheduler::AdoptRun(Worker& aWorker, Run& aRun, TimePoint aNow)
{
  EnsureOccurrence(aRun.mRef, aNow);
  Job* job = FindJobMutable(aRun.mRef.mJob);
  Task* task = FindTask(aRun.mRef);
  if (!job || !task)
    return false;
  const StageSpec& spec = job->mSpec.mStages[aRun.mRef.mStage];
  if (aRun.mMemoryMiB == 0 && aRun.mMilliCores == 0 && aRun.mAccelerators == 0) {
    aRun.mMilliCores = spec.mFiller ? 0 : spec.mMilliCores;
    aRun.mMemoryMiB = spec.mMemoryMiB;
    aRun.mAccelerators = spec.mAccelerators;
    aWorker.mUsedMilliCores += aRun.mMilliCores;
    aWorker.mUsedMemoryMiB += aRun.mMemoryMiB;
    aWorker.mUsedAccelerators += aRun.mAccelerators;
  }
  aRun.mFiller = spec.mFiller;
  aRun.mEstimate = GetProgressEstimate(spec);
  aRun.mLatencyTargetMs = spec.mLatencyTargetMs;
  if (task->mDone || !task->mWorker.empty() || IsOver(job->mState) || aRun.mRun < task->mRun)
    return false;
  StageRun& stage = *FindStage(aRun.mRef);
  aRun.mKnown = true;
  task->mWorker = aWorker.mEntry.mId;
  task->mRun = aRun.mRun;
  task->mNeverRan = false;
  --stage.mWaiting;
  if (!aRun.mCheckpoint.empty()) {
    task->mCheckpoint = aRun.mCheckpoint;
    stage.mGangCheckpoint = aRun.mCheckpoint;
  }
  if (job->mState == JobState::Queued)
    job->mState = JobState::Running;
  return true;
}

Worker* Scheduler::FindWorker(const std::string& aId)
{
  auto it = mWorkers.find(aId);
  return it == mWorkers.end() ? nullptr : &it->second;
}

// Applies what a directory entry says about the incarnations at its address: a worker that was
// replaced there has lost its tasks. Returns false if the entry itself is the replaced one. The
// directory may show the entry of an ended incarnation for seconds, also after that of its
// successor, so the order in which entries are read decides nothing. While the order is unknown,
// all are kept: the one that has ended is found when its address answers as another (OnReplaced).
bool Scheduler::ApplySuccession(const WorkerEntry& aEntry, TimePoint aNow)
{
  if (auto it = mReplaced.find(aEntry.mId); it != mReplaced.end()) {
    if (aEntry.mBornMs <= it->second)
      return false;
    mReplaced.erase(it);  // the id started again
  }
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    Worker& other = it->second;
    if (other.mEntry.mAddress != aEntry.mAddress || it->first == aEntry.mId) {
      ++it;
      continue;
    }
    if (IsEarlierIncarnation(aEntry, other.mEntry)) {
      mReplaced[aEntry.mId] = aEntry.mBornMs;
      return false;
    }
    if (!IsEarlierIncarnation(other.mEntry, aEntry)) {
      ++it;
      continue;
    }
    Log(LogPart::Task,
        LogLevel::Info,
        "a worker was replaced at its address; its tasks are lost",
        { { "worker", it->first },
          { "successor", aEntry.mId },
          { "tasks", other.mRuns.size() },
          { "just_started", FormatRuns(ListUnproven(other)) } });
    RecordCrash(other, aNow);
    while (!other.mRuns.empty())
      DropRun(other, other.mRuns.size() - 1);
    mReplaced[it->first] = other.mEntry.mBornMs;
    it = mWorkers.erase(it);
  }
  return true;
}

void Scheduler::OnReplaced(const std::string& aId, TimePoint aNow)
{
  Worker* worker = FindWorker(aId);
  if (!worker)
    return;
  Log(LogPart::Task,
      LogLevel::Info,
      "another incarnation answers at the address of a worker; its tasks are lost",
      { { "worker", aId },
        { "tasks", worker->mRuns.size() },
        { "just_started", FormatRuns(ListUnproven(*worker)) } });
  mReplaced[aId] = worker->mEntry.mBornMs;
  RecordCrash(*worker, aNow);
  while (!worker->mRuns.empty())
    DropRun(*worker, worker->mRuns.size() - 1);
  mWorkers.erase(aId);
}

void Scheduler::ListWorker(WorkerEntry aEntry, bool aRecorded, TimePoint aNow)
{
  if (!ApplySuccession(aEntry, aNow))
    return;
  auto [it, isNew] = mWorkers.try_emplace(aEntry.mId);
  Worker& worker = it->second;
  if (isNew)
    worker.mLeaseSentAt = aNow;  // a previous holder may have renewed leases until now
  else if (aEntry.mBornMs != 0 && worker.mEntry.mBornMs != 0 &&
           aEntry.mBornMs > worker.mEntry.mBornMs) {
    ResetForNewIncarnation(worker, aNow);
  }
  const std::int64_t startMs = std::max(worker.mEntry.mBornMs, aEntry.mBornMs);
  if (aEntry.mDraining && !worker.mEntry.mDraining)
    Log(LogPart::Drain, LogLevel::Info, "a worker is draining", { { "worker", aEntry.mId } });
  worker.mEntry = std::move(aEntry);
  worker.mEntry.mBornMs = startMs;
  worker.mListed = true;
  worker.mRecorded = worker.mRecorded || aRecorded;
}

// Drops the runs of a worker that was restarted, as its tasks are gone. Runs whose start order is
// in flight stay, because that order may reach the new incarnation.
void Scheduler::ResetForNewIncarnation(Worker& aWorker, TimePoint aNow)
{
  Log(LogPart::Task,
      LogLevel::Info,
      "a worker was restarted under the same id; its tasks are lost",
      { { "worker", aWorker.mEntry.mId },
        { "tasks", aWorker.mRuns.size() },
        { "just_started", FormatRuns(ListUnproven(aWorker)) } });
  RecordCrash(aWorker, aNow);
  for (std::size_t n = aWorker.mRuns.size(); n-- > 0;)
    if (aWorker.mRuns[n].mPhase != RunPhase::Starting)
      DropRun(aWorker, n);
  aWorker.mLastEnd = 0;
  aWorker.mStoredEnd = 0;
}

void Scheduler::UnlistWorker(const std::string& aId, TimePoint aNow)
{
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

// While the holder's own lease is not renewed, a successor may be waiting for the leases to expire.
Duration Scheduler::GetTaskLease(TimePoint aNow, TimePoint aHolderRenewedAt) const
{
  return std::min(mTaskLease, aHolderRenewedAt + mTaskLease + kMaxLeaseOverhang - aNow);
}

void Scheduler::DropLapsed(TimePoint aNow, Duration aGrace)
{
  const auto getExpiry = [this](Duration aLease) {
    return std::chrono::duration_cast<Duration>(aLease * (1 + mSettings.mWorkerClockDrift)) +
           kLeaseExpiryMargin;
  };
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    Worker& worker = it->second;
    const Duration limit = getExpiry(worker.mFenced ? mTaskLease : mTaskLease + aGrace);
    // The entry of a worker that is only silent stays listed for two more heartbeats at least; one
    // that disappears sooner after an answer was removed because the worker left.
    const bool hasLeft =
      worker.mEntry.mDraining && !worker.mListed && worker.mFenced &&
      worker.mUnlistedAt - worker.mAnsweredAt < 2 * mSettings.mWorkerHeartbeat - kLeaseExpiryMargin;
    if (worker.mReachable || (aNow < worker.mLeaseSentAt + limit && !hasLeft)) {
      ++it;
      continue;
    }
    if (!worker.mRuns.empty())
      Log(LogPart::Task,
          LogLevel::Warn,
          "leases lapsed on a worker that does not answer; its tasks run again elsewhere",
          { { "worker", it->first },
            { "tasks", worker.mRuns.size() },
            { "renewed_ago_ms", aNow - worker.mLeaseSentAt },
            { "answered", worker.mFenced ? "yes" : "no" },
            { "listed", worker.mListed ? "yes" : "no" } });
    for (TaskRun& run : ListUnproven(worker))
      worker.mSuspectRuns.push_back(std::move(run));
    while (!worker.mRuns.empty())
      DropRun(worker, worker.mRuns.size() - 1);
    if (!worker.mListed)
      it = mWorkers.erase(it);
    else {
      worker.mFenced = true;  // no task of an earlier epoch can still run there
      ++it;
    }
  }
}

void Scheduler::SetFinalTasks(const std::string& aId,
                              std::set<std::string> aTasks,
                              std::vector<TaskRun> aSuspects)
{
  Worker* worker = FindWorker(aId);
  if (!worker)
    return;
  worker->mFinalTasks = std::move(aTasks);
  worker->mSuspectRuns = std::move(aSuspects);
}

bool Scheduler::AreAllResolved() const
{
  return std::all_of(
    mWorkers.begin(), mWorkers.end(), [](const auto& aItem) { return aItem.second.mFenced; });
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
  if (Task* task = run.mKnown ? FindTask(run.mRef) : nullptr; task && task->mRun == run.mRun)
    task->mSeenAt = aWorker.mAnsweredAt;
  ReleaseTask(run, aNeverRan);
}

void Scheduler::UpdateFailStreak(Worker& aWorker,
                                 const std::string& aJob,
                                 bool aFailed,
                                 TimePoint aNow)
{
  if (!aFailed) {
    aWorker.mFailStreak = 0;
    aWorker.mQuarantines = 0;
    return;
  }
  if (aWorker.mFailJob == aJob)  // a job that fails repeatedly is no sign of a bad worker
    return;
  aWorker.mFailJob = aJob;
  if (++aWorker.mFailStreak < kMaxFailStreak)
    return;
  const std::uint32_t doublings = std::min(aWorker.mQuarantines, kMaxQuarantineDoublings);
  aWorker.mQuarantinedUntil = aNow + kBaseQuarantine * (1 << doublings);
  ++aWorker.mQuarantines;
  aWorker.mFailStreak = kMaxFailStreak - 1;  // the next failure starts a quarantine again
  Log(LogPart::Task,
      LogLevel::Warn,
      "tasks of several jobs failed in a row on a worker; it is quarantined",
      { { "worker", aWorker.mEntry.mId }, { "ms", aWorker.mQuarantinedUntil - aNow } });
}

void Scheduler::MarkDone(Job& aJob, StageRun& aStage, const TaskRef& aRef, TimePoint aNow)
{
  Task& task = aStage.mTasks[aRef.mIndex];
  if (task.mDone)
    return;
  if (task.mWorker.empty())
    --aStage.mWaiting;
  task.mDone = true;
  ++aStage.mDone;
  MarkDirty(aJob);
  if (aStage.mDone < aStage.mTasks.size())
    return;
  for (StageRun& it : aJob.mOccurrences[aRef.mOccurrence].mStages)
    it.mReadyAt = std::max(it.mReadyAt, aNow);
  CheckJobEnd(aJob, aNow);
}

void Scheduler::ProcessEnd(Worker& aWorker, const EndedTask& aRow, TimePoint aNow)
{
  TaskRef ref;
  if (!ParseTask(aRow.mTask, ref))
    return;
  EnsureOccurrence(ref, aNow);
  Job* job = FindJobMutable(ref.mJob);
  Task* task = FindTask(ref);
  const auto run = std::find_if(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const Run& aItem) {
    return aItem.mTask == aRow.mTask && aItem.mRun == aRow.mRun;
  });
  const bool wasStopped = run != aWorker.mRuns.end() && run->mPhase == RunPhase::Stopping;
  if (run != aWorker.mRuns.end())
    DropRun(aWorker, static_cast<std::size_t>(run - aWorker.mRuns.begin()));
  if (!job)
    aWorker.mOrphanEnds.emplace_back(aNow, aRow);
  if (!job || !task || task->mDone || IsOver(job->mState))
    return;
  StageRun& stage = *FindStage(ref);
  const StageSpec& spec = job->mSpec.mStages[ref.mStage];
  const QueueConfig* queue = FindQueue(job->mSpec.mQueue);
  if (!aRow.mCheckpoint.empty() && spec.mCheckpointed && aRow.mRun >= task->mRun) {
    task->mCheckpoint = aRow.mCheckpoint;
    stage.mGangCheckpoint = aRow.mCheckpoint;
  }
  if (aRow.mKind == EndKind::Done && !spec.mLongRunning) {
    UpdateFailStreak(aWorker, ref.mJob, false, aNow);
    if (spec.mGang) {
      for (std::uint32_t n = 0; n < stage.mTasks.size(); ++n)
        MarkDone(*job, stage, TaskRef{ ref.mJob, ref.mOccurrence, ref.mStage, n }, aNow);
    } else {
      MarkDone(*job, stage, ref, aNow);
    }
    return;
  }
  if (aRow.mKind != EndKind::Failed)
    return;
  Log(LogPart::Task,
      LogLevel::Info,
      "failed",
      { { "task", aRow.mTask },
        { "run", aRow.mRun },
        { "worker", aWorker.mEntry.mId },
        { "stopping", wasStopped ? "yes" : "no" } });
  UpdateFailStreak(aWorker, ref.mJob, true, aNow);
  task->mFailedOn.push_back(aWorker.mEntry.mId);
  if (spec.mLongRunning)
    return;
  std::uint32_t failures = 0;
  task->mFailedRuns.insert(aRow.mRun);
  if (spec.mGang) {
    stage.mFailedGangRuns.insert(aRow.mRun);
    failures = static_cast<std::uint32_t>(stage.mFailedGangRuns.size());
  } else {
    failures = static_cast<std::uint32_t>(task->mFailedRuns.size());
  }
  MarkDirty(*job);
  if (queue && failures >= queue->mMaxAttempts) {
    Log(LogPart::Job,
        LogLevel::Info,
        "failed: a task failed as often as its queue allows",
        { { "job", ref.mJob }, { "task", aRow.mTask }, { "failures", failures } });
    EndJob(*job, JobState::Failed, aNow);
  }
}

void Scheduler::OnReport(const std::string& aId,
                         const WorkerReport& aReport,
                         TimePoint aSentAt,
                         TimePoint aNow)
{
  Worker* found = FindWorker(aId);
  if (!found)
    return;
  Worker& worker = *found;
  if (!worker.mReachable && worker.mFenced)
    Log(LogPart::Task, LogLevel::Info, "a worker answers again", { { "worker", aId } });
  if (aReport.mBornMs != 0 && worker.mEntry.mBornMs != 0 &&
      aReport.mBornMs > worker.mEntry.mBornMs) {
    ResetForNewIncarnation(worker, aNow);
  }
  if (aReport.mBornMs != 0)
    worker.mEntry.mBornMs = aReport.mBornMs;
  worker.mSuspectRuns.clear();
  worker.mReachable = true;
  worker.mFenced = worker.mFenced || aSentAt >= mFencedFrom;
  worker.mAnsweredAt = aNow;

  for (const EndedTask& row : aReport.mEnded) {
    if (row.mNumber <= worker.mLastEnd)
      continue;
    ProcessEnd(worker, row, aNow);
    worker.mLastEnd = row.mNumber;
    mHasNewEnds = true;
  }

  std::map<std::pair<std::string_view, std::uint64_t>, const RunningTask*> listed;
  for (const RunningTask& row : aReport.mRunning)
    listed.emplace(std::pair(std::string_view(row.mTask), row.mRun), &row);

  for (std::size_t n = worker.mRuns.size(); n-- > 0;) {
    Run& run = worker.mRuns[n];
    auto it = listed.find({ std::string_view(run.mTask), run.mRun });
    if (it != listed.end()) {
      const RunningTask& row = *it->second;
      if (row.mPercent > run.mPercent || !run.mReported) {
        run.mPercent = row.mPercent;
        run.mProgressAt = aNow;
      }
      run.mReported = true;
      run.mStarted = true;
      ObserveProgress(run.mProgress, row.mPercent, run.mEstimate, aNow);
      run.mTailLatencyMs = row.mTailLatencyMs;
      if (run.mPhase == RunPhase::Unconfirmed && aSentAt > run.mSentAt)
        run.mPhase = RunPhase::Running;
      if (run.mKnown && !row.mCheckpoint.empty())
        if (Task* task = FindTask(run.mRef); task && task->mRun == run.mRun) {
          task->mCheckpoint = row.mCheckpoint;
          FindStage(run.mRef)->mGangCheckpoint = row.mCheckpoint;
        }
      listed.erase(it);
      continue;
    }
    const bool isGone = (run.mPhase == RunPhase::Running && aSentAt > run.mSentAt) ||
                        (run.mPhase == RunPhase::Stopping && run.mStopAckedAt != TimePoint{} &&
                         aSentAt > run.mStopAckedAt) ||
                        !run.mKnown;
    if (isGone) {
      const bool neverRan = run.mKnown && !run.mReported && run.mPhase == RunPhase::Stopping;
      if (Task* task = neverRan ? FindTask(run.mRef) : nullptr)
        task->mFailedOn.push_back(aId);  // this worker refuses this run number from now on
      DropRun(worker, n, neverRan);
    }
  }

  // The remaining tasks run on the worker without being tracked: they are adopted if possible (as
  // after a takeover), and stopped otherwise.
  for (const auto& [key, row] : listed) {
    Run run;
    run.mTask = row->mTask;
    run.mRun = row->mRun;
    run.mReported = true;
    run.mStarted = true;
    run.mPercent = row->mPercent;
    run.mTailLatencyMs = row->mTailLatencyMs;
    run.mProgressAt = aNow;
    run.mSentAt = aSentAt;
    run.mPhase = RunPhase::Running;
    run.mCheckpoint = row->mCheckpoint;
    const bool isAdopted = ParseTask(row->mTask, run.mRef) && AdoptRun(worker, run, aNow);
    Log(LogPart::Task,
        LogLevel::Info,
        isAdopted ? "adopted a running task" : "a worker runs a task that is not tracked",
        { { "task", row->mTask }, { "run", row->mRun }, { "worker", aId } });
    worker.mRuns.push_back(std::move(run));
  }
}

}  // namespace monsoon::fleet
