// Scheduler: workers that crash, and the tasks that may have caused it.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

// Workers that became unresponsive within this time of each other may have a common cause.
constexpr Duration kSameTime = milliseconds(20);
constexpr std::size_t kMinOthersForCommonCause = 2;
constexpr std::size_t kMaxSilences = 256;
constexpr Duration kOutlived = seconds(60);

}  // namespace

std::vector<TaskRun> ListUnproven(const Worker& aWorker)
{
  std::vector<TaskRun> runs;
  for (const Run& it : aWorker.mRuns)
    if (it.mStarted && IsUnproven(aWorker, it))
      runs.push_back({ it.mTask, it.mRun });
  return runs;
}

std::string FormatRuns(const std::vector<TaskRun>& aRuns)
{
  std::string text;
  for (const TaskRun& it : aRuns) {
    if (!text.empty())
      text += ',';
    text.append(it.mTask).append(":").append(std::to_string(it.mRun));
  }
  return text;
}

void Scheduler::RememberSilence(TimePoint aAt)
{
  mSilences.push_back(aAt);
  if (mSilences.size() > kMaxSilences)
    mSilences.pop_front();
}

// Returns whether other workers became unresponsive at the same time, as when a rack or a zone
// fails. Then no single task is the cause.
bool Scheduler::CrashedWithOthers(const Worker& aWorker) const
{
  if (aWorker.mReachable)
    return false;
  const auto near = std::count_if(mSilences.begin(), mSilences.end(), [&](TimePoint aAt) {
    return std::chrono::abs(aAt - aWorker.mUnresponsiveSince) <= kSameTime;
  });
  return static_cast<std::size_t>(near) > kMinOthersForCommonCause;  // it is counted itself
}

// Counts the crash of a worker against the tasks that it ran. A draining worker leaves with its
// tasks; that is no crash.
void Scheduler::RecordCrash(Worker& aWorker, CrashEvidence aEvidence, TimePoint aNow)
{
  if (aWorker.mEntry.mDraining)
    return;
  const bool isCertain = aEvidence == CrashEvidence::Replaced;
  std::map<TaskRef, WorkerCrash> crashes;
  std::set<std::string> jobs;  // with tasks that had just started
  for (const Run& it : aWorker.mRuns) {
    if (!it.mKnown)
      continue;
    if (OutlivedCrashes(aWorker, it)) {
      ForgetCrashes(it.mRef);
      continue;
    }
    // A start that was not confirmed may have caused the crash, or may not have taken place.
    const bool isUnproven = IsUnproven(aWorker, it);
    crashes[it.mRef] = { it.mRun, isCertain && it.mStarted && isUnproven, false };
    if (isUnproven)
      jobs.insert(it.mRef.mJob);
  }
  for (const TaskRun& it : aWorker.mSuspectRuns) {
    TaskRef ref;
    if (!ParseTask(it.mTask, ref))
      continue;
    crashes[ref] = { it.mRun, isCertain, false };
    jobs.insert(ref.mJob);
  }
  aWorker.mSuspectRuns.clear();
  const bool isAlone = jobs.size() == 1 && !CrashedWithOthers(aWorker);
  for (auto& [ref, crash] : crashes) {
    crash.mAlone = isAlone && crash.mSoon;
    AddCrash(ref, crash, aNow);
  }
}

// Returns whether a lasting task has run for so long that it is not the cause of its workers'
// crashes. Other tasks keep a bounded number of crashes however long they ran.
bool Scheduler::OutlivedCrashes(const Worker& aWorker, const Run& aRun) const
{
  const Job* job = FindJob(aRun.mRef.mJob);
  return job && job->mSpec.mStages[aRun.mRef.mStage].mLongRunning &&
         aWorker.mAnsweredAt - aRun.mSentAt >= kOutlived;
}

void Scheduler::ForgetCrashes(const TaskRef& aRef)
{
  Job* job = FindJobMutable(aRef.mJob);
  Task* task = FindTask(aRef);
  if (!job || !task || task->mCrashes.empty())
    return;
  Log(LogPart::Task,
      LogLevel::Info,
      "a lasting task ran for long; earlier crashes of its workers no longer count",
      { { "task", FormatTask(aRef) }, { "crashes", task->mCrashes.size() } });
  task->mCrashes.clear();
  MarkDirty(*job);
}

void Scheduler::AddCrash(const TaskRef& aRef, const WorkerCrash& aCrash, TimePoint aNow)
{
  Job* job = FindJobMutable(aRef.mJob);
  Task* task = FindTask(aRef);
  if (!job || !task || task->mDone || IsOver(job->mState))
    return;
  const bool isKnown =
    std::any_of(task->mCrashes.begin(), task->mCrashes.end(), [&](const WorkerCrash& aItem) {
      return aItem.mRun == aCrash.mRun;
    });
  if (isKnown)
    return;
  task->mCrashes.push_back(aCrash);
  MarkDirty(*job);
  if (!IsPoison(task->mCrashes))
    return;
  Log(LogPart::Job,
      LogLevel::Warn,
      "failed: workers crash under one of its tasks",
      { { "job", aRef.mJob }, { "task", FormatTask(aRef) }, { "crashes", task->mCrashes.size() } });
  EndJob(*job, JobState::Failed, aNow);
}

// Returns whether workers may have crashed because of this task.
bool Scheduler::IsSuspect(const Task& aTask, const TaskRef& aRef) const
{
  return !aTask.mCrashes.empty() || (!mUnresolved.empty() && mUnresolved.contains(aRef));
}

void Scheduler::CountUnproven()
{
  mUnresolved.clear();
  for (auto& [id, worker] : mWorkers)
    if (!worker.mReachable && worker.mFenced)
      for (const Run& it : worker.mRuns)
        if (it.mKnown && IsUnproven(worker, it))
          ++mUnresolved[it.mRef];
  for (auto& [id, worker] : mWorkers) {
    worker.mUnproven = 0;
    worker.mSuspects = 0;
    if (!worker.mReachable)
      continue;
    for (const Run& it : worker.mRuns) {
      if (!IsUnproven(worker, it))
        continue;
      ++worker.mUnproven;
      const Task* task = it.mKnown ? FindTask(it.mRef) : nullptr;
      worker.mSuspects += task && IsSuspect(*task, it.mRef) ? 1 : 0;
    }
  }
}

}  // namespace monsoon::fleet
