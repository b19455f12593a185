// Scheduler: reports of workers: what runs there, and what has ended.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::uint32_t kMaxFailStreak = 3;       // failures in a row that quarantine a worker
constexpr Duration kBaseQuarantine = seconds(2);  // doubled for each further quarantine in a row
constexpr std::uint32_t kMaxQuarantineDoublings = 3;
// A lasting task that still runs this long after its start has survived it.
constexpr Duration kWorkedFor = seconds(2);

// Returns whether a report that was requested at aRequestedAt, and lists neither the run nor its
// end, proves that the run is not on its worker and will not be. When the report was made is not
// known, only that it was after that: reports overtake each other, and starts take effect late. So
// it has to be requested after it was learned that the run was there, or that its start is refused.
bool IsProvenGone(const Run& aRun, TimePoint aRequestedAt)
{
  const bool wasStopped = aRun.mPhase == RunPhase::Stopping && aRun.mStopAckedAt != TimePoint{};
  return (IsConfirmed(aRun) && aRequestedAt > aRun.mConfirmedAt) ||
         (wasStopped && aRequestedAt > aRun.mStopAckedAt);
}

// Returns whether the end of a task that a report lists as running was received lately.
bool HasEnded(const Worker& aWorker, const RunningTask& aRow)
{
  return std::any_of(
    aWorker.mRecentEnds.begin(), aWorker.mRecentEnds.end(), [&aRow](const EndedRun& aItem) {
      return aItem.mTask == aRow.mTask && aItem.mRun == aRow.mRun;
    });
}

}  // namespace

// Returns whether a run or an end that was reported of an unknown job can't be of one that is yet
// to be added.
bool Scheduler::IsOrphan(TimePoint aReportedAt, TimePoint aNow) const
{
  return aNow - aReportedAt > kMaxOrphanAge && aReportedAt < mJobsReadUntil;
}

// Applies the ends and running tasks that workers reported of a job before it was added.
void Scheduler::ApplyOrphanReports(Job& aJob, TimePoint aNow)
{
  if (mUnknownJobs.erase(aJob.mSpec.mId) == 0)
    return;
  const std::string prefix = aJob.mSpec.mId + ".";
  for (auto& [id, worker] : mWorkers) {
    std::vector<std::pair<TimePoint, EndedTask>> orphans = std::move(worker.mOrphanEnds);
    worker.mOrphanEnds.clear();
    for (auto& [seenAt, row] : orphans) {
      if (row.mTask.starts_with(prefix)) {
        ProcessEnd(worker, row, aNow);
        for (UnstoredEnd& it : worker.mUnstoredEnds)
          if (it.mNumber == row.mNumber)
            it.mChange = aJob.mChanges;
      } else {
        worker.mOrphanEnds.emplace_back(seenAt, std::move(row));
      }
    }
    // Also one that is being stopped: its task has to wait until it is gone.
    for (Run& run : worker.mRuns)
      if (!run.mKnown && run.mTask.starts_with(prefix))
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
  if (!aRun.mSized) {
    aRun.mSized = true;
    aRun.mMilliCores = spec.mFiller ? 0 : spec.mMilliCores;
    aRun.mMemoryMiB = spec.mMemoryMiB;
    aRun.mAccelerators = spec.mAccelerators;
    aWorker.mUsedMilliCores += aRun.mMilliCores;
    aWorker.mUsedMemoryMiB += aRun.mMemoryMiB;
    aWorker.mUsedAccelerators += aRun.mAccelerators;
  }
  aRun.mFiller = spec.mFiller;
  aRun.mLongRunning = spec.mLongRunning;
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

void Scheduler::ResetFailStreak(Worker& aWorker)
{
  aWorker.mFailStreak = 0;
  aWorker.mQuarantines = 0;
}

void Scheduler::CountFailure(Worker& aWorker, const std::string& aJob, TimePoint aNow)
{
  aWorker.mFailedAt = aNow;
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
  const bool hasWorked = run != aWorker.mRuns.end() && run->mHasWorked;
  if (run != aWorker.mRuns.end())
    DropRun(aWorker, static_cast<std::size_t>(run - aWorker.mRuns.begin()));
  if (!job) {
    aWorker.mOrphanEnds.emplace_back(aNow, aRow);
    mUnknownJobs.insert(ref.mJob);
  }
  if (!job || !task || task->mDone || IsOver(job->mState))
    return;
  StageRun& stage = *FindStage(ref);
  const StageSpec& spec = job->mSpec.mStages[ref.mStage];
  if (!aRow.mCheckpoint.empty() && spec.mCheckpointed && aRow.mRun >= task->mRun) {
    task->mCheckpoint = aRow.mCheckpoint;
    stage.mGangCheckpoint = aRow.mCheckpoint;
  }
  if (aRow.mKind == EndKind::Done && !spec.mLongRunning) {
    ResetFailStreak(aWorker);
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
  // A lasting task ends only by failing. If it has worked before, that tells nothing about its
  // worker.
  if (!hasWorked)
    CountFailure(aWorker, ref.mJob, aNow);
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
  if (job->mSpec.mTerms && failures >= job->mSpec.mTerms->mMaxAttempts) {
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
                         TimePoint aNow,
                         std::string_view aAddress)
{
  Worker* found = FindWorker(aId);
  if (!found)
    return;
  Worker& worker = *found;
  // The start times are not compared: a machine's time of day may have been set back.
  const bool isOther =
    aReport.mBornMs != 0 && worker.mBornMs != 0 && aReport.mBornMs != worker.mBornMs;
  if (isOther && aSentAt < worker.mBornSeenAt) {
    // Reports overtake each other, so this one may be of the incarnation before or after. One that
    // is requested from now on tells.
    SuspectRestart(worker, aNow);
    ExtendLeases(worker, aNow);
    Log(LogPart::Task,
        LogLevel::Info,
        "a report is of another incarnation, which may be an earlier one",
        { { "worker", aId },
          { "born_ms", aReport.mBornMs },
          { "known", worker.mBornMs },
          { "requested_ago_ms", aNow - aSentAt } });
    return;
  }
  if (!aAddress.empty() && aAddress != worker.mAddress) {
    Log(LogPart::Task,
        LogLevel::Info,
        "a worker answers at another address",
        { { "worker", aId }, { "address", aAddress }, { "before", worker.mAddress } });
    worker.mAddress = aAddress;
  }
  if (!worker.mReachable && worker.mFenced)
    Log(LogPart::Task, LogLevel::Info, "a worker answers again", { { "worker", aId } });
  if (isOther)
    ResetForNewIncarnation(worker, aReport, aSentAt, aNow);
  if (aReport.mBornMs != 0)
    worker.mBornMs = aReport.mBornMs;
  RevokeCrashes(worker);
  worker.mPastRuns.clear();
  worker.mReachable = true;
  worker.mHasUnansweredStart = false;
  worker.mMayHaveRestarted = false;
  // Ends that are not listed yet may be of tasks that a previous holder started.
  if (!worker.mFenced && aSentAt >= mFencedFrom && !aReport.mHasMoreEnds) {
    worker.mFenced = true;
    // The previous holder may have renewed leases until now.
    worker.mLeaseSentAt = std::max(worker.mLeaseSentAt, aNow);
  }
  worker.mAnsweredAt = aNow;
  worker.mReportRequestedAt = aSentAt;

  for (const EndedTask& row : aReport.mEnded) {
    if (row.mNumber <= worker.mLastEnd)
      continue;
    ProcessEnd(worker, row, aNow);
    AddUnstoredEnd(worker, row);
    worker.mLastEnd = row.mNumber;
    worker.mRecentEnds.push_back({ row.mTask, row.mRun, aNow });
    mHasNewEnds = true;
  }
  // No later report is older than these ends.
  while (!worker.mRecentEnds.empty() && worker.mRecentEnds.front().mSeenAt < aSentAt)
    worker.mRecentEnds.pop_front();

  std::map<std::pair<std::string_view, std::uint64_t>, const RunningTask*> listed;
  for (const RunningTask& row : aReport.mRunning)
    listed.emplace(std::pair(std::string_view(row.mTask), row.mRun), &row);

  for (std::size_t n = worker.mRuns.size(); n-- > 0;) {
    Run& run = worker.mRuns[n];
    auto it = listed.find({ std::string_view(run.mTask), run.mRun });
    if (it != listed.end()) {
      const RunningTask& row = *it->second;
      // The progress of a run that is checked for slowness does not fall: this report is older than
      // the one before.
      const bool isOutdated = run.mEstimate > Duration::zero() && row.mPercent < run.mPercent;
      if (row.mPercent > run.mPercent || !run.mReported) {
        run.mPercent = row.mPercent;
        run.mProgressAt = aNow;
      }
      run.mReported = true;
      if (!IsConfirmed(run))
        run.mConfirmedAt = aNow;
      if (!isOutdated)
        ObserveProgress(run.mProgress, row.mPercent, run.mEstimate, aNow);
      run.mTailLatencyMs = row.mTailLatencyMs;
      // Of a lasting task, to survive its start is what an end `done` is of another one.
      if (run.mLongRunning && !run.mHasWorked && aSentAt - run.mConfirmedAt >= kWorkedFor) {
        run.mHasWorked = true;
        if (run.mConfirmedAt > worker.mFailedAt)
          ResetFailStreak(worker);
      }
      if (run.mPhase == RunPhase::Unconfirmed) {
        run.mPhase = RunPhase::Running;
        Log(LogPart::Task,
            LogLevel::Info,
            "a report confirms a start that was not answered",
            { { "task", run.mTask },
              { "run", run.mRun },
              { "worker", aId },
              { "requested_ago_ms", aNow - aSentAt },
              { "worker_clock_ms", aReport.mClockMs } });
      }
      if (run.mKnown && !isOutdated && !row.mCheckpoint.empty())
        if (Task* task = FindTask(run.mRef); task && task->mRun == run.mRun) {
          task->mCheckpoint = row.mCheckpoint;
          FindStage(run.mRef)->mGangCheckpoint = row.mCheckpoint;
        }
      listed.erase(it);
      continue;
    }
    if (aReport.mHasMoreEnds)
      continue;  // its end may be one of those that are not listed yet
    if (IsProvenGone(run, aSentAt)) {
      Log(LogPart::Task,
          run.mPhase == RunPhase::Running ? LogLevel::Warn : LogLevel::Info,
          "a run is missing in a report that lists no end of it",
          { { "task", run.mTask },
            { "run", run.mRun },
            { "worker", aId },
            { "stopped", run.mPhase == RunPhase::Stopping ? "yes" : "no" },
            { "known", run.mKnown ? "yes" : "no" },
            { "ends", aReport.mEnded.size() },
            { "requested_ago_ms", aNow - aSentAt },
            { "worker_clock_ms", aReport.mClockMs } });
      const bool neverRan = run.mKnown && !IsConfirmed(run);
      if (Task* task = neverRan ? FindTask(run.mRef) : nullptr)
        task->mFailedOn.push_back(aId);  // this worker refuses this run number from now on
      DropRun(worker, n, neverRan);
    }
  }

  // The remaining tasks run on the worker without being tracked: they are adopted if possible (as
  // after a takeover), and stopped otherwise.
  for (const auto& [key, row] : listed) {
    if (HasEnded(worker, *row))
      continue;  // this report is older than the one that listed the end
    Run run;
    run.mTask = row->mTask;
    run.mRun = row->mRun;
    run.mReported = true;
    run.mConfirmedAt = aNow;
    run.mPercent = row->mPercent;
    run.mTailLatencyMs = row->mTailLatencyMs;
    run.mProgressAt = aNow;
    run.mSentAt = aSentAt;
    run.mPhase = RunPhase::Running;
    run.mCheckpoint = row->mCheckpoint;
    const bool isAdopted = ParseTask(row->mTask, run.mRef) && AdoptRun(worker, run, aNow);
    if (!FindJob(run.mRef.mJob))
      mUnknownJobs.insert(run.mRef.mJob);
    Log(LogPart::Task,
        LogLevel::Info,
        isAdopted ? "adopted a running task" : "a worker runs a task that is not tracked",
        { { "task", row->mTask },
          { "run", row->mRun },
          { "worker", aId },
          { "known", FindTask(run.mRef) ? "yes" : "no" } });
    worker.mRuns.push_back(std::move(run));
  }
}

}  // namespace monsoon::fleet
