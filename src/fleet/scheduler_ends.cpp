// Scheduler: ends of tasks, and workers on which tasks keep failing.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::uint32_t kMaxFailStreak = 3;       // failures in a row that quarantine a worker
constexpr Duration kBaseQuarantine = seconds(2);  // doubled for each further quarantine in a row
constexpr std::uint32_t kMaxQuarantineDoublings = 3;

}  // namespace

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
  LearnSpeeds(aJob, aRef.mStage, aStage, aNow);
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
  if (run != aWorker.mRuns.end() && aRow.mKind == EndKind::Done)
    RecordSpeed(aWorker, *run, aNow);
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

}  // namespace monsoon::fleet
