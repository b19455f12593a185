// Scheduler: reports of workers: what runs there, and which incarnation answers.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

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
          if (it.IsOf(row))
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
    ChargeTeam(aRun, *job);
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

// Returns whether the report is of the incarnation that is known to be the latest, or of the next
// one, which is applied then.
bool Scheduler::AcceptIncarnation(Worker& aWorker,
                                  const WorkerReport& aReport,
                                  TimePoint aSentAt,
                                  TimePoint aNow)
{
  // The start times are not compared: a machine's time of day may have been set back.
  if (aReport.mBornMs == 0 || aWorker.mBornMs == 0 || aReport.mBornMs == aWorker.mBornMs)
    return true;
  if (aSentAt >= aWorker.mBornSeenAt) {
    ResetForNewIncarnation(aWorker, aReport, aSentAt, aNow);
    return true;
  }
  // Reports overtake each other, so this one may be of the incarnation before or after. One that is
  // requested from now on tells.
  SuspectRestart(aWorker, aNow);
  ExtendLeases(aWorker, aNow);
  Log(LogPart::Task,
      LogLevel::Info,
      "a report is of another incarnation, which may be an earlier one",
      { { "worker", aWorker.mEntry.mId },
        { "born_ms", aReport.mBornMs },
        { "known", aWorker.mBornMs },
        { "requested_ago_ms", aNow - aSentAt } });
  return false;
}

// Applies the row of a report to the run that it lists. aClockMs: of the worker, as reported.
void Scheduler::UpdateListedRun(Worker& aWorker,
                                Run& aRun,
                                const RunningTask& aRow,
                                std::int64_t aClockMs,
                                TimePoint aSentAt,
                                TimePoint aNow)
{
  // The progress of a run that is checked for slowness does not fall: this report is older than the
  // one before.
  const bool isOutdated = aRun.mEstimate > Duration::zero() && aRow.mPercent < aRun.mPercent;
  if (aRow.mPercent > aRun.mPercent || !aRun.mReported) {
    aRun.mPercent = aRow.mPercent;
    aRun.mProgressAt = aNow;
  }
  aRun.mReported = true;
  if (!IsConfirmed(aRun))
    aRun.mConfirmedAt = aNow;
  if (!isOutdated)
    ObserveProgress(aRun.mProgress, aRow.mPercent, aRun.mEstimate, aNow);
  aRun.mActivity = aRow.mActivity;
  // A lasting task that has survived its start tells of its worker what an end `done` of another
  // task does.
  if (aRun.mLongRunning && !aRun.mHasWorked && aSentAt - aRun.mConfirmedAt >= kWorkedFor) {
    aRun.mHasWorked = true;
    if (aRun.mConfirmedAt > aWorker.mFailedAt)
      ResetFailStreak(aWorker);
  }
  if (aRun.mPhase == RunPhase::Unconfirmed) {
    aRun.mPhase = RunPhase::Running;
    Log(LogPart::Task,
        LogLevel::Info,
        "a report confirms a start that was not answered",
        { { "task", aRun.mTask },
          { "run", aRun.mRun },
          { "worker", aWorker.mEntry.mId },
          { "requested_ago_ms", aNow - aSentAt },
          { "worker_clock_ms", aClockMs } });
  }
  if (!aRun.mKnown || isOutdated || aRow.mCheckpoint.empty())
    return;
  if (Task* task = FindTask(aRun.mRef); task && task->mRun == aRun.mRun) {
    task->mCheckpoint = aRow.mCheckpoint;
    FindStage(aRun.mRef)->mGangCheckpoint = aRow.mCheckpoint;
  }
}

// Drops a run that is proven to be gone.
void Scheduler::DropMissingRun(Worker& aWorker,
                               std::size_t aIndex,
                               const WorkerReport& aReport,
                               TimePoint aSentAt,
                               TimePoint aNow)
{
  const Run& run = aWorker.mRuns[aIndex];
  const std::string& id = aWorker.mEntry.mId;
  Log(LogPart::Task,
      run.mPhase == RunPhase::Running ? LogLevel::Warn : LogLevel::Info,
      "a run is missing in a report that lists no end of it",
      { { "task", run.mTask },
        { "run", run.mRun },
        { "worker", id },
        { "stopped", run.mPhase == RunPhase::Stopping ? "yes" : "no" },
        { "known", run.mKnown ? "yes" : "no" },
        { "ends", aReport.mEnded.size() },
        { "requested_ago_ms", aNow - aSentAt },
        { "worker_clock_ms", aReport.mClockMs } });
  const bool neverRan = run.mKnown && !IsConfirmed(run);
  if (Task* task = neverRan ? FindTask(run.mRef) : nullptr)
    task->mFailedOn.push_back(id);  // this worker refuses this run number from now on
  DropRun(aWorker, aIndex, neverRan);
}

// Tracks a run that a report lists and that was not tracked: it is adopted if possible (as after a
// takeover), and stopped otherwise.
void Scheduler::TrackListedRun(Worker& aWorker,
                               const RunningTask& aRow,
                               TimePoint aSentAt,
                               TimePoint aNow)
{
  Run run;
  run.mTask = aRow.mTask;
  run.mRun = aRow.mRun;
  run.mReported = true;
  run.mConfirmedAt = aNow;
  run.mPercent = aRow.mPercent;
  run.mActivity = aRow.mActivity;
  run.mPace = kAdoptedPace;
  run.mPaceUnsure = true;  // a previous holder may have ordered another
  run.mProgressAt = aNow;
  run.mSentAt = aSentAt;
  run.mPhase = RunPhase::Running;
  run.mCheckpoint = aRow.mCheckpoint;
  const bool isAdopted = ParseTask(aRow.mTask, run.mRef) && AdoptRun(aWorker, run, aNow);
  if (!FindJob(run.mRef.mJob))
    mUnknownJobs.insert(run.mRef.mJob);
  Log(LogPart::Task,
      LogLevel::Info,
      isAdopted ? "adopted a running task" : "a worker runs a task that is not tracked",
      { { "task", aRow.mTask },
        { "run", aRow.mRun },
        { "worker", aWorker.mEntry.mId },
        { "known", FindTask(run.mRef) ? "yes" : "no" } });
  aWorker.mRuns.push_back(std::move(run));
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
  const bool wasUnresponsive = !worker.mReachable && worker.mFenced;
  if (!AcceptIncarnation(worker, aReport, aSentAt, aNow))
    return;
  if (!aAddress.empty() && aAddress != worker.mAddress) {
    Log(LogPart::Task,
        LogLevel::Info,
        "a worker answers at another address",
        { { "worker", aId }, { "address", aAddress }, { "before", worker.mAddress } });
    worker.mAddress = aAddress;
  }
  if (wasUnresponsive)
    Log(LogPart::Task, LogLevel::Info, "a worker answers again", { { "worker", aId } });
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
    const auto it = listed.find({ std::string_view(run.mTask), run.mRun });
    if (it != listed.end()) {
      UpdateListedRun(worker, run, *it->second, aReport.mClockMs, aSentAt, aNow);
      listed.erase(it);
    } else if (!aReport.mHasMoreEnds && IsProvenGone(run, aSentAt)) {  // no end of it is left out
      DropMissingRun(worker, n, aReport, aSentAt, aNow);
    }
  }
  for (const auto& [key, row] : listed)
    if (!HasEnded(worker, *row))  // otherwise this report is older than the one of its end
      TrackListedRun(worker, *row, aSentAt, aNow);
  ObserveSharing(worker, aNow);
}

}  // namespace monsoon::fleet
