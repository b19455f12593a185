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
constexpr Duration kVanishedAge = std::chrono::minutes(10);

}  // namespace

std::string FormatUnproven(const Worker& aWorker)
{
  std::string text;
  for (const Run& it : aWorker.mRuns) {
    if (!IsConfirmed(it) || !IsUnproven(aWorker, it))
      continue;
    if (!text.empty())
      text += ',';
    text.append(it.mTask).append(":").append(std::to_string(it.mRun));
  }
  return text;
}

std::vector<SuspectRun> Scheduler::ListSuspects(const Worker& aWorker) const
{
  std::vector<SuspectRun> suspects = aWorker.mPastRuns;
  for (const Run& it : aWorker.mRuns)
    if (it.mKnown && !OutlivedCrashes(aWorker, it))
      suspects.push_back({ it.mTask, it.mRun, IsConfirmed(it), IsUnproven(aWorker, it) });
  return suspects;
}

void Scheduler::RememberSilence(TimePoint aAt)
{
  mSilences.push_back(aAt);
  if (mSilences.size() > kMaxSilences)
    mSilences.pop_front();
}

// Returns whether other workers became unresponsive at the same time, as when a rack or a zone
// fails, or whether that is not known. Then no single task is the cause.
bool Scheduler::CrashedWithOthers(const Worker& aWorker) const
{
  if (aWorker.mReachable)
    return false;
  if (aWorker.mUnresponsiveSince == TimePoint{})
    return true;  // it has not answered in this epoch
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
  for (const Run& it : aWorker.mRuns)
    if (it.mKnown && OutlivedCrashes(aWorker, it))
      ForgetCrashes(it.mRef);
  std::map<TaskRef, WorkerCrash> crashes;
  std::set<std::string> jobs;  // with tasks that may have just started
  for (const SuspectRun& it : ListSuspects(aWorker)) {
    TaskRef ref;
    if (!ParseTask(it.mTask, ref))
      continue;
    // A start that was not confirmed may have caused the crash, or may not have taken place.
    crashes[ref] = { it.mRun, isCertain && it.mStarted && it.mUnproven, false };
    if (it.mUnproven)
      jobs.insert(ref.mJob);
  }
  if (!isCertain) {
    std::erase_if(mVanished,
                  [aNow](const auto& aItem) { return aNow - aItem.second.mAt > kVanishedAge; });
    VanishedWorker& vanished = mVanished[aWorker.mEntry.mId];
    if (vanished.mBornMs != aWorker.mBornMs)
      vanished = { .mBornMs = aWorker.mBornMs };
    vanished.mAt = aNow;
    for (SuspectRun& it : ListSuspects(aWorker))
      vanished.mRuns.push_back(std::move(it));
  }
  aWorker.mPastRuns.clear();
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
  const auto known =
    std::find_if(task->mCrashes.begin(), task->mCrashes.end(), [&](const WorkerCrash& aItem) {
      return aItem.mRun == aCrash.mRun;
    });
  if (known == task->mCrashes.end()) {
    task->mCrashes.push_back(aCrash);
  } else {
    known->mSoon = known->mSoon || aCrash.mSoon;
    known->mAlone = known->mAlone || aCrash.mAlone;
  }
  MarkDirty(*job);
  if (!IsPoison(task->mCrashes))
    return;
  Log(LogPart::Job,
      LogLevel::Warn,
      "failed: workers crash under one of its tasks",
      { { "job", aRef.mJob }, { "task", FormatTask(aRef) }, { "crashes", task->mCrashes.size() } });
  EndJob(*job, JobState::Failed, aNow);
}

// Takes back the crash of a worker that vanished, when the same incarnation answers again: it was
// partitioned.
void Scheduler::RevokeCrashes(const Worker& aWorker)
{
  const auto vanished = mVanished.find(aWorker.mEntry.mId);
  if (vanished == mVanished.end())
    return;
  if (vanished->second.mBornMs == aWorker.mBornMs)
    for (const SuspectRun& it : vanished->second.mRuns) {
      TaskRef ref;
      Task* task = ParseTask(it.mTask, ref) ? FindTask(ref) : nullptr;
      if (!task)
        continue;
      std::erase_if(task->mCrashes,
                    [&it](const WorkerCrash& aItem) { return aItem.mRun == it.mRun; });
      MarkDirty(*FindJobMutable(ref.mJob));
    }
  mVanished.erase(vanished);
}

// Returns whether workers may have crashed because of this task.
bool Scheduler::IsSuspect(const Task& aTask, const TaskRef& aRef) const
{
  return !aTask.mCrashes.empty() || GetUnresolved(aRef).mUnproven > 0;
}

UnresolvedRuns Scheduler::GetUnresolved(const TaskRef& aRef) const
{
  const auto it = mUnresolved.find(aRef);
  return it == mUnresolved.end() ? UnresolvedRuns{} : it->second;
}

void Scheduler::CountUnproven()
{
  mUnresolved.clear();
  const auto add = [this](const TaskRef& aRef, std::uint64_t aRun, bool aUnproven) {
    const Task* task = FindTask(aRef);
    const bool isCounted =
      task && std::any_of(task->mCrashes.begin(), task->mCrashes.end(), [&](const auto& aItem) {
        return aItem.mRun == aRun;
      });
    UnresolvedRuns& runs = mUnresolved[aRef];
    runs.mCount += isCounted ? 0 : 1;
    runs.mUnproven += aUnproven ? 1 : 0;
  };
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mReachable)
      continue;
    for (const Run& it : worker.mRuns)
      if (it.mKnown)
        add(it.mRef, it.mRun, IsUnproven(worker, it));
    TaskRef ref;
    for (const SuspectRun& it : worker.mPastRuns)
      if (ParseTask(it.mTask, ref))
        add(ref, it.mRun, it.mUnproven);
  }
  mUnsizedRuns = 0;
  for (auto& [id, worker] : mWorkers) {
    worker.mUnprovenCount = 0;
    worker.mSuspectCount = 0;
    worker.mUnsizedCount = CountUnsized(worker);
    mUnsizedRuns += worker.mUnsizedCount;
    if (!worker.mReachable)
      continue;
    for (const Run& it : worker.mRuns) {
      if (!IsUnproven(worker, it))
        continue;
      ++worker.mUnprovenCount;
      const Task* task = it.mKnown ? FindTask(it.mRef) : nullptr;
      worker.mSuspectCount += task && IsSuspect(*task, it.mRef) ? 1 : 0;
    }
  }
}

}  // namespace monsoon::fleet
