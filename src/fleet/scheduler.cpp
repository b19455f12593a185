#include "fleet/scheduler.h"

#include <algorithm>
#include <charconv>

#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::uint64_t kRunsPerEpoch = 1000;         // run numbers of one task in one epoch
constexpr Duration kRepeatStop = milliseconds(400);   // a stop without an answer is sent again
constexpr Duration kRetryAdvice = milliseconds(150);  // after a call that failed
constexpr Duration kTicketMargin = milliseconds(60);  // travel time of a start to its worker
constexpr Duration kFullFor = milliseconds(100);      // until a full worker's next report
constexpr Duration kLapseMargin = milliseconds(200);  // rounding and travel, over the lease itself
constexpr std::uint32_t kFailStreak = 3;              // failed ends in a row before a quarantine
constexpr Duration kQuarantine = seconds(2);          // doubled with each one that follows
constexpr std::uint32_t kLongestQuarantine = 3;       // doublings
constexpr Duration kSlowAdvice = milliseconds(200);   // calls above it count as slow ones
constexpr Duration kCopyAfter = milliseconds(300);    // of silence; a lost answer is noticed sooner
constexpr std::size_t kMostAdmitted = 16;             // workers named when tickets are renewed

template<class T>
bool Contains(const std::vector<T>& aItems, const T& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

std::string GetRack(const Worker& aWorker)
{
  return aWorker.mEntry.mLabels.size() > 1 ? aWorker.mEntry.mLabels[1] : std::string();
}

// The estimated length of the longest chain of stages.
Duration EstimateChain(const std::vector<StageSpec>& aStages, const QueueConfig& aQueue)
{
  std::vector<Duration> ends(aStages.size(), Duration::zero());
  Duration longest{};
  for (std::size_t n = 0; n < aStages.size(); ++n) {
    Duration start{};
    for (const std::uint32_t before : aStages[n].mAfter)
      if (before < n)
        start = std::max(start, ends[before]);
    ends[n] = start + milliseconds(aStages[n].mEstimateMs);
    if (aQueue.mNeedsAdvice)
      ends[n] += aQueue.mAdviceBase + 30 * aQueue.mAdvicePerWorker;
    longest = std::max(longest, ends[n]);
  }
  return longest;
}

}  // namespace

std::string FormatStage(const TaskRef& aRef)
{
  return aRef.mJob + "." + std::to_string(aRef.mOccurrence) + "." + std::to_string(aRef.mStage);
}

std::string FormatTask(const TaskRef& aRef)
{
  return FormatStage(aRef) + "." + std::to_string(aRef.mIndex);
}

struct Scheduler::Ready
{
  Job* mJob = nullptr;
  const QueueConfig* mQueue = nullptr;
  const StageSpec* mSpec = nullptr;
  StageRun* mStage = nullptr;
  TaskRef mRef{};  // index unused
};

Scheduler::Scheduler(SchedulerSettings aSettings)
  : mSettings(aSettings)
{
}

// Jobs

void Scheduler::AddJob(JobSpec aSpec, std::string_view aProgress, bool aInherited, TimePoint aNow)
{
  if (mJobs.contains(aSpec.mId))
    return;
  auto job = std::make_unique<Job>();
  job->mInherited = aInherited;
  job->mSeenAt = aNow;
  job->mSpec = std::move(aSpec);
  job->mOccurrences.resize(std::max<std::uint32_t>(job->mSpec.mOccurrences, 1));
  if (job->mSpec.mOccurrences == 0)
    MakeOccurrence(*job, 0, aNow);
  if (const QueueConfig* queue = FindQueue(job->mSpec.mQueue)) {
    const Duration chain = EstimateChain(job->mSpec.mStages, *queue);
    job->mDueAt =
      aNow + queue->mSlack + std::chrono::duration_cast<Duration>(queue->mStretch * chain);
  } else {
    job->mDueAt = aNow + seconds(5);
  }
  if (!aProgress.empty())
    DecodeProgress(*job, aProgress, aNow);
  job->mStoredState = job->mState;
  if (!IsOver(job->mState))
    mActive.insert(job->mSpec.mId);
  else
    job->mEndedAt = aNow;
  const std::string id = job->mSpec.mId;
  Job& added = *mJobs.emplace(id, std::move(job)).first->second;
  TakeOrphans(added, aNow);
  CheckJobEnd(added, aNow);
}

// What workers have reported of a job before it came into the book.
void Scheduler::TakeOrphans(Job& aJob, TimePoint aNow)
{
  const std::string prefix = aJob.mSpec.mId + ".";
  for (auto& [id, worker] : mWorkers) {
    std::vector<std::pair<TimePoint, EndedRow>> orphans = std::move(worker.mOrphanEnds);
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

// A run that a worker reports, and that no other run of the task stands against, is taken over with
// its room. False: it must be stopped.
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
  aRun.mTailTargetMs = spec.mTailTargetMs;
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

void Scheduler::CancelJob(const std::string& aId, TimePoint aNow)
{
  Job* job = FindJobMutable(aId);
  if (!job || IsOver(job->mState))
    return;
  Log(LogPart::Job, LogLevel::Info, "cancelled", { { "job", aId } });
  EndJob(*job, JobState::Cancelled, aNow);
}

const Job* Scheduler::FindJob(const std::string& aId) const
{
  auto it = mJobs.find(aId);
  return it == mJobs.end() ? nullptr : it->second.get();
}

Job* Scheduler::FindJobMutable(const std::string& aId)
{
  auto it = mJobs.find(aId);
  return it == mJobs.end() ? nullptr : it->second.get();
}

std::size_t Scheduler::CountPending(std::string_view aQueue) const
{
  std::size_t n = 0;
  for (const std::string& id : mActive) {
    const Job& job = *mJobs.at(id);
    n += job.mState == JobState::Queued && job.mSpec.mQueue == aQueue ? 1 : 0;
  }
  return n;
}

std::vector<std::string> Scheduler::ForgetEnded(TimePoint aNow, Duration aAge)
{
  std::vector<std::string> ids;
  for (const auto& [id, job] : mJobs)
    if (IsOver(job->mState) && !job->mDirty && aNow - job->mEndedAt > aAge)
      ids.push_back(id);
  for (const std::string& id : ids)
    mJobs.erase(id);
  return ids;
}

void Scheduler::MakeOccurrence(Job& aJob, std::uint32_t aIndex, TimePoint aNow)
{
  Occurrence& occurrence = aJob.mOccurrences[aIndex];
  occurrence.mStarted = true;
  for (const StageSpec& spec : aJob.mSpec.mStages) {
    StageRun stage;
    stage.mTasks.resize(spec.mCount);
    stage.mWaiting = spec.mCount;
    stage.mReadyAt = aNow;
    occurrence.mStages.push_back(std::move(stage));
  }
}

// A worker that reports a task of an occurrence shows that an earlier holder found it due.
void Scheduler::EnsureOccurrence(const TaskRef& aRef, TimePoint aNow)
{
  Job* job = FindJobMutable(aRef.mJob);
  if (job && aRef.mOccurrence < job->mOccurrences.size() &&
      !job->mOccurrences[aRef.mOccurrence].mStarted)
    MakeOccurrence(*job, aRef.mOccurrence, aNow);
}

void Scheduler::MarkDirty(Job& aJob)
{
  aJob.mDirty = true;
  mDirtyJobs.insert(aJob.mSpec.mId);
}

void Scheduler::EndJob(Job& aJob, JobState aState, TimePoint aNow)
{
  aJob.mState = aState;
  aJob.mEndedAt = aNow;
  mActive.erase(aJob.mSpec.mId);
  mHasEndedJob = true;
  MarkDirty(aJob);
}

void Scheduler::CheckJobEnd(Job& aJob, TimePoint aNow)
{
  if (IsOver(aJob.mState))
    return;
  for (const Occurrence& it : aJob.mOccurrences) {
    if (!it.mStarted)
      return;
    for (const StageRun& stage : it.mStages)
      if (stage.mDone < stage.mTasks.size())
        return;
  }
  Log(LogPart::Job,
      LogLevel::Info,
      "completed",
      { { "job", aJob.mSpec.mId },
        { "took_ms", aNow - aJob.mSeenAt },
        { "spare_ms", aJob.mDueAt - aNow } });
  EndJob(aJob, JobState::Completed, aNow);
}

// Configuration

void Scheduler::SetQueues(const FleetConfig& aConfig)
{
  for (const QueueConfig& it : aConfig.mQueues)
    mQueues[it.mName] = it;
}

const QueueConfig* Scheduler::FindQueue(const std::string& aName) const
{
  auto it = mQueues.find(aName);
  return it == mQueues.end() ? nullptr : &it->second;
}

// Workers

Worker* Scheduler::FindWorker(const std::string& aId)
{
  auto it = mWorkers.find(aId);
  return it == mWorkers.end() ? nullptr : &it->second;
}

void Scheduler::ListWorker(WorkerEntry aEntry, bool aRecorded, TimePoint aNow)
{
  // A new life at the address of another: the other one's processes are gone.
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    if (it->second.mEntry.mAddress == aEntry.mAddress && it->first != aEntry.mId) {
      Log(LogPart::Task,
          LogLevel::Info,
          "a worker was replaced at its address; its tasks are lost",
          { { "worker", it->first },
            { "successor", aEntry.mId },
            { "tasks", it->second.mRuns.size() } });
      while (!it->second.mRuns.empty())
        DropRun(it->second, it->second.mRuns.size() - 1);
      it = mWorkers.erase(it);
    } else {
      ++it;
    }
  }
  auto [it, isNew] = mWorkers.try_emplace(aEntry.mId);
  Worker& worker = it->second;
  if (isNew)
    worker.mLeaseSentAt = aNow;  // an earlier holder may have renewed leases until now
  else if (aEntry.mBornMs != 0 && worker.mEntry.mBornMs != 0 &&
           aEntry.mBornMs > worker.mEntry.mBornMs) {
    Log(LogPart::Task,
        LogLevel::Info,
        "a worker started again under its name; its tasks are lost",
        { { "worker", aEntry.mId }, { "tasks", worker.mRuns.size() } });
    for (std::size_t n = worker.mRuns.size(); n-- > 0;)
      if (worker.mRuns[n].mPhase != RunPhase::Starting)
        DropRun(worker, n);
    worker.mLastEnd = 0;
    worker.mStoredEnd = 0;
  }
  const std::int64_t born = std::max(worker.mEntry.mBornMs, aEntry.mBornMs);
  if (aEntry.mDraining && !worker.mEntry.mDraining)
    Log(LogPart::Drain, LogLevel::Info, "a worker is draining", { { "worker", aEntry.mId } });
  worker.mEntry = std::move(aEntry);
  worker.mEntry.mBornMs = born;
  worker.mListed = true;
  worker.mRecorded = worker.mRecorded || aRecorded;
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
  worker->mSilentSince = aNow;
  Log(LogPart::Task,
      LogLevel::Warn,
      "a worker does not answer; its tasks count as running until their lease lapses",
      { { "worker", aId },
        { "tasks", worker->mRuns.size() },
        { "answered_ago_ms", aNow - worker->mAnsweredAt } });
}

void Scheduler::DropLapsed(TimePoint aNow, Duration aGrace)
{
  const Duration longest =
    std::chrono::duration_cast<Duration>(mSettings.mTaskLease * (1 + mSettings.mWorkerClockDrift)) +
    kLapseMargin;
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    Worker& worker = it->second;
    const Duration limit = worker.mFenced ? longest : longest + aGrace;
    const bool hasLeft = worker.mEntry.mDraining && !worker.mListed && worker.mFenced;
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
            { "listed", worker.mListed ? "yes" : "no" } });
    while (!worker.mRuns.empty())
      DropRun(worker, worker.mRuns.size() - 1);
    if (!worker.mListed)
      it = mWorkers.erase(it);
    else {
      worker.mFenced = true;  // nothing of an earlier epoch can run there
      ++it;
    }
  }
}

void Scheduler::SetFinalTasks(const std::string& aId, std::set<std::string> aTasks)
{
  if (Worker* worker = FindWorker(aId))
    worker->mFinalTasks = std::move(aTasks);
}

bool Scheduler::MayRunSomewhere(const TaskRef& aRef) const
{
  return !mMayRun.empty() && mMayRun.contains(FormatTask(aRef));
}

bool Scheduler::AreAllResolved() const
{
  return std::all_of(
    mWorkers.begin(), mWorkers.end(), [](const auto& aItem) { return aItem.second.mFenced; });
}

bool Scheduler::ParseTask(std::string_view aName, TaskRef& aRef) const
{
  std::uint32_t numbers[3] = {};
  for (int n = 2; n >= 0; --n) {
    const auto dot = aName.rfind('.');
    if (dot == std::string_view::npos)
      return false;
    const std::string_view text = aName.substr(dot + 1);
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), numbers[n]);
    if (ec != std::errc() || end != text.data() + text.size())
      return false;
    aName = aName.substr(0, dot);
  }
  aRef = TaskRef{ std::string(aName), numbers[0], numbers[1], numbers[2] };
  return true;
}

StageRun* Scheduler::FindStage(const TaskRef& aRef)
{
  Job* job = FindJobMutable(aRef.mJob);
  if (!job || aRef.mOccurrence >= job->mOccurrences.size())
    return nullptr;
  Occurrence& occurrence = job->mOccurrences[aRef.mOccurrence];
  return aRef.mStage < occurrence.mStages.size() ? &occurrence.mStages[aRef.mStage] : nullptr;
}

Task* Scheduler::FindTask(const TaskRef& aRef)
{
  StageRun* stage = FindStage(aRef);
  return stage && aRef.mIndex < stage->mTasks.size() ? &stage->mTasks[aRef.mIndex] : nullptr;
}

// The task waits again, unless it is done or runs elsewhere by now.
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
  ReleaseTask(run, aNeverRan);
}

void Scheduler::BlameWorker(Worker& aWorker, const std::string& aJob, bool aFailed, TimePoint aNow)
{
  if (!aFailed) {
    aWorker.mFailStreak = 0;
    aWorker.mQuarantines = 0;
    return;
  }
  if (aWorker.mFailJob == aJob)  // one bad job says nothing about the worker
    return;
  aWorker.mFailJob = aJob;
  if (++aWorker.mFailStreak < kFailStreak)
    return;
  const std::uint32_t doublings = std::min(aWorker.mQuarantines, kLongestQuarantine);
  aWorker.mQuarantinedUntil = aNow + kQuarantine * (1 << doublings);
  ++aWorker.mQuarantines;
  aWorker.mFailStreak = kFailStreak - 1;  // one more failure is enough next time
  Log(LogPart::Task,
      LogLevel::Warn,
      "tasks of several jobs failed in a row on a worker; it gets no new ones for a while",
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

void Scheduler::ProcessEnd(Worker& aWorker, const EndedRow& aRow, TimePoint aNow)
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
    BlameWorker(aWorker, ref.mJob, false, aNow);
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
  BlameWorker(aWorker, ref.mJob, true, aNow);
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
    Log(LogPart::Task,
        LogLevel::Info,
        "a worker started again under its name; its tasks are lost",
        { { "worker", aId }, { "tasks", worker.mRuns.size() } });
    for (std::size_t n = worker.mRuns.size(); n-- > 0;)
      if (worker.mRuns[n].mPhase != RunPhase::Starting)
        DropRun(worker, n);
    worker.mLastEnd = 0;
    worker.mStoredEnd = 0;
  }
  if (aReport.mBornMs != 0)
    worker.mEntry.mBornMs = aReport.mBornMs;
  worker.mReachable = true;
  worker.mFenced = true;
  worker.mAnsweredAt = aNow;

  for (const EndedRow& row : aReport.mEnded) {
    if (row.mNumber <= worker.mLastEnd)
      continue;
    ProcessEnd(worker, row, aNow);
    worker.mLastEnd = row.mNumber;
    mHasNewEnds = true;
  }

  std::map<std::pair<std::string_view, std::uint64_t>, const RunningRow*> listed;
  for (const RunningRow& row : aReport.mRunning)
    listed.emplace(std::pair(std::string_view(row.mTask), row.mRun), &row);

  for (std::size_t n = worker.mRuns.size(); n-- > 0;) {
    Run& run = worker.mRuns[n];
    auto it = listed.find({ std::string_view(run.mTask), run.mRun });
    if (it != listed.end()) {
      const RunningRow& row = *it->second;
      if (row.mPercent > run.mPercent || !run.mSeen) {
        run.mPercent = row.mPercent;
        run.mProgressAt = aNow;
      }
      run.mSeen = true;
      run.mTailMs = row.mTailMs;
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
      const bool neverRan = run.mKnown && !run.mSeen && run.mPhase == RunPhase::Stopping;
      if (Task* task = neverRan ? FindTask(run.mRef) : nullptr)
        task->mFailedOn.push_back(aId);  // this worker refuses the run number from now on
      DropRun(worker, n, neverRan);
    }
  }

  // What is left runs there without being in the book: adopted after a takeover, stopped otherwise.
  for (const auto& [key, row] : listed) {
    Run run;
    run.mTask = row->mTask;
    run.mRun = row->mRun;
    run.mSeen = true;
    run.mPercent = row->mPercent;
    run.mTailMs = row->mTailMs;
    run.mProgressAt = aNow;
    run.mSentAt = aSentAt;
    run.mPhase = RunPhase::Running;
    run.mCheckpoint = row->mCheckpoint;
    const bool isAdopted = ParseTask(row->mTask, run.mRef) && AdoptRun(worker, run, aNow);
    Log(LogPart::Task,
        LogLevel::Info,
        isAdopted ? "adopted a running task" : "a task runs that is not in the book",
        { { "task", row->mTask }, { "run", row->mRun }, { "worker", aId } });
    worker.mRuns.push_back(std::move(run));
  }
}

// Outcomes of orders

void Scheduler::OnStart(const StartOrder& aOrder, StartOutcome aOutcome, TimePoint aNow)
{
  Worker* worker = FindWorker(aOrder.mWorker);
  if (!worker)
    return;
  auto run = std::find_if(worker->mRuns.begin(), worker->mRuns.end(), [&](const Run& aItem) {
    return aItem.mTask == aOrder.mTask && aItem.mRun == aOrder.mRun;
  });
  if (run == worker->mRuns.end())
    return;
  TaskRef ref = run->mRef;
  switch (aOutcome) {
    case StartOutcome::Started:
      if (run->mPhase == RunPhase::Starting)
        run->mPhase = RunPhase::Running;
      run->mSentAt = aNow;
      run->mProgressAt = aNow;
      worker->mReachable = true;
      worker->mAnsweredAt = aNow;
      if (Job* job = FindJobMutable(ref.mJob); job && job->mState == JobState::Queued)
        job->mState = JobState::Running;
      return;
    case StartOutcome::Unknown:
      if (run->mPhase == RunPhase::Starting)
        run->mPhase = RunPhase::Unconfirmed;
      run->mSentAt = aNow;
      return;
    case StartOutcome::OldRun:
      // An order of this run or a later one is known there, so the run number must rise. The room
      // stays taken until a report shows whether it runs.
      run->mPhase = RunPhase::Unconfirmed;
      run->mSentAt = aNow;
      return;
    case StartOutcome::NoRoom:
      worker->mFullUntil = aNow + kFullFor;
      break;
    case StartOutcome::BadTicket:
      if (StageRun* stage = FindStage(ref))
        stage->mTickets.erase(aOrder.mWorker);
      break;
    case StartOutcome::NotStarted:
      worker->mFullUntil = aNow + kFullFor;
      break;
    case StartOutcome::OtherLife:
      worker->mFullUntil = aNow + seconds(1);
      break;
  }
  DropRun(*worker, static_cast<std::size_t>(run - worker->mRuns.begin()), true);
}

void Scheduler::OnStop(const StopOrder& aOrder, bool aAcked, TimePoint aNow)
{
  Worker* worker = FindWorker(aOrder.mWorker);
  if (!worker)
    return;
  for (Run& it : worker->mRuns)
    if (it.mTask == aOrder.mTask && it.mRun == aOrder.mRun && aAcked)
      it.mStopAckedAt = aNow;
}

void Scheduler::OnAdvice(const AdviceOrder& aOrder,
                         const std::vector<Admission>* aAdmitted,
                         Duration aValid,
                         TimePoint aAskedAt,
                         TimePoint aNow)
{
  mAdviceInFlight.erase(aOrder.mNumber);
  TaskRef ref;
  if (!ParseTask(aOrder.mStage + ".0", ref))
    return;
  StageRun* stage = FindStage(ref);
  if (!stage || stage->mAdviceNumber != aOrder.mNumber)
    return;
  stage->mAdviceNumber = 0;
  if (!aAdmitted) {
    stage->mAskAgainAt = aNow + kRetryAdvice;
    return;
  }
  if (aValid <= Duration::zero())  // the answer does not say
    if (const QueueConfig* queue = FindQueue(FindJob(ref.mJob)->mSpec.mQueue))
      aValid = queue->mAdviceValid;
  for (const std::string& id : aOrder.mWorkers)
    stage->mRefused.insert(id);
  for (const Admission& it : *aAdmitted) {
    stage->mRefused.erase(it.mWorker);
    // The service counts the validity from its answer, which cannot have been before the asking.
    const TimePoint answered = std::max(aAskedAt + milliseconds(aOrder.mExpectedMs), aAskedAt);
    stage->mTickets[it.mWorker] = { it.mTicket, std::min(answered, aNow) + aValid };
  }
}

// Planning

bool Scheduler::IsStageReady(const Job& aJob,
                             const Occurrence& aOccurrence,
                             std::uint32_t aStage) const
{
  const StageRun& stage = aOccurrence.mStages[aStage];
  if (stage.mWaiting == 0)
    return false;
  const StageSpec& spec = aJob.mSpec.mStages[aStage];
  if (spec.mGang && stage.mWaiting < stage.mTasks.size() && !IsGangRepairable(stage))
    return false;
  return std::all_of(spec.mAfter.begin(), spec.mAfter.end(), [&](std::uint32_t aIndex) {
    return aIndex < aOccurrence.mStages.size() &&
           aOccurrence.mStages[aIndex].mDone == aOccurrence.mStages[aIndex].mTasks.size();
  });
}

// Some members of a gang's run are on workers, and those that are missing never began: the same run
// can still be completed elsewhere.
bool Scheduler::IsGangRepairable(const StageRun& aStage)
{
  std::uint64_t run = 0;
  for (const Task& it : aStage.mTasks)
    run = std::max(run, it.mRun);
  return std::all_of(aStage.mTasks.begin(), aStage.mTasks.end(), [run](const Task& aItem) {
    return !aItem.mDone && aItem.mRun == run && (!aItem.mWorker.empty() || aItem.mNeverRan);
  });
}

std::vector<Scheduler::Ready> Scheduler::CollectReady(TimePoint aNow, std::int64_t aWallMs)
{
  std::vector<Ready> ready;
  // Tasks of an earlier epoch may still run on workers that have not answered this one.
  bool isResolved = true;
  mMayRun.clear();
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mFenced)
      continue;
    if (worker.mFinalTasks)
      mMayRun.insert(worker.mFinalTasks->begin(), worker.mFinalTasks->end());
    else
      isResolved = false;
  }
  for (const std::string& id : mActive) {
    Job& job = *mJobs.at(id);
    if (job.mInherited && !isResolved)
      continue;
    const QueueConfig* queue = FindQueue(job.mSpec.mQueue);
    if (!queue)
      continue;
    for (std::uint32_t k = 0; k < job.mOccurrences.size(); ++k) {
      Occurrence& occurrence = job.mOccurrences[k];
      if (!occurrence.mStarted) {
        if (aWallMs < job.mSpec.mFirstMs + std::int64_t{ k } * job.mSpec.mIntervalMs)
          break;
        MakeOccurrence(job, k, aNow);
        job.mDueAt = aNow + queue->mSlack +
                     std::chrono::duration_cast<Duration>(queue->mStretch *
                                                          EstimateChain(job.mSpec.mStages, *queue));
      }
      for (std::uint32_t n = 0; n < occurrence.mStages.size(); ++n)
        if (IsStageReady(job, occurrence, n))
          ready.push_back(
            { &job, queue, &job.mSpec.mStages[n], &occurrence.mStages[n], TaskRef{ id, k, n, 0 } });
    }
  }
  std::sort(ready.begin(), ready.end(), [](const Ready& aLeft, const Ready& aRight) {
    if (aLeft.mQueue->mPriority != aRight.mQueue->mPriority)
      return aLeft.mQueue->mPriority < aRight.mQueue->mPriority;
    return aLeft.mJob->mDueAt < aRight.mJob->mDueAt;
  });
  return ready;
}

bool Scheduler::CanHost(const Worker& aWorker, const Ready& aReady, TimePoint aNow)
{
  if (!aWorker.mListed || !aWorker.mRecorded || aWorker.mFinalTasks || aWorker.mFinalWanted ||
      !aWorker.mFenced || !aWorker.mReachable || aWorker.mEntry.mDraining ||
      aWorker.mEntry.mService != aReady.mQueue->mService)
    return false;
  if (aNow < aWorker.mQuarantinedUntil || aNow < aWorker.mFullUntil)
    return false;
  const std::string& label = aReady.mSpec->mRequiredLabel;
  return label.empty() || Contains(aWorker.mEntry.mLabels, label);
}

bool Scheduler::HasRoom(const Worker& aWorker, const StageSpec& aSpec)
{
  const std::uint32_t milliCores = aSpec.mFiller ? 0 : aSpec.mMilliCores;
  return aWorker.mUsedMilliCores + milliCores <= aWorker.mEntry.mMilliCores &&
         aWorker.mUsedMemoryMiB + aSpec.mMemoryMiB <= aWorker.mEntry.mMemoryMiB &&
         aWorker.mUsedAccelerators + aSpec.mAccelerators <= aWorker.mEntry.mAccelerators;
}

std::size_t Scheduler::CountOf(const Worker& aWorker, const TaskRef& aStageRef) const
{
  return static_cast<std::size_t>(
    std::count_if(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const Run& aItem) {
      return aItem.mRef.mJob == aStageRef.mJob && aItem.mRef.mOccurrence == aStageRef.mOccurrence &&
             aItem.mRef.mStage == aStageRef.mStage;
    }));
}

Worker* Scheduler::PickWorker(const Ready& aReady, const Task& aTask, TimePoint aNow)
{
  Worker* best = nullptr;
  std::tuple<bool, bool, std::int64_t> bestScore;
  const auto consider = [&](const std::string& aId, Worker& aWorker) {
    if (!HasRoom(aWorker, *aReady.mSpec) || !CanHost(aWorker, aReady, aNow))
      return;
    if (aReady.mSpec->mMaxPerWorker != 0 &&
        CountOf(aWorker, aReady.mRef) >= aReady.mSpec->mMaxPerWorker)
      return;
    const bool failedHere = Contains(aTask.mFailedOn, aId);
    const bool isFar =
      !aReady.mSpec->mDataRack.empty() && GetRack(aWorker) != aReady.mSpec->mDataRack;
    const std::int64_t left = std::int64_t{ aWorker.mEntry.mMilliCores } - aWorker.mUsedMilliCores -
                              aReady.mSpec->mMilliCores;
    // Fillers go where most is left; others where least is.
    const std::tuple score(failedHere, isFar, aReady.mSpec->mFiller ? -left : left);
    if (!best || score < bestScore) {
      best = &aWorker;
      bestScore = score;
    }
  };
  if (!aReady.mQueue->mNeedsAdvice) {
    for (auto& [id, worker] : mWorkers)
      consider(id, worker);
    return best;
  }
  for (const auto& [id, ticket] : aReady.mStage->mTickets) {
    if (ticket.second < aNow + kTicketMargin)
      continue;
    if (Worker* worker = FindWorker(id))
      consider(id, *worker);
  }
  return best;
}

void Scheduler::PlaceTask(const Ready& aReady,
                          std::uint32_t aIndex,
                          std::uint64_t aRun,
                          Worker& aWorker,
                          TimePoint aNow,
                          Orders& aOrders)
{
  Task& task = aReady.mStage->mTasks[aIndex];
  Run run;
  run.mRef = aReady.mRef;
  run.mRef.mIndex = aIndex;
  run.mTask = FormatTask(run.mRef);
  run.mKnown = true;
  run.mRun = aRun;
  run.mMilliCores = aReady.mSpec->mFiller ? 0 : aReady.mSpec->mMilliCores;
  run.mMemoryMiB = aReady.mSpec->mMemoryMiB;
  run.mAccelerators = aReady.mSpec->mAccelerators;
  run.mFiller = aReady.mSpec->mFiller;
  run.mTailTargetMs = aReady.mSpec->mTailTargetMs;
  run.mSentAt = aNow;
  run.mProgressAt = aNow;
  StartOrder order;
  order.mWorker = aWorker.mEntry.mId;
  order.mTask = run.mTask;
  order.mRun = aRun;
  order.mPayload = aReady.mJob->mSpec.mPayload;
  order.mCheckpoint = aReady.mSpec->mGang ? aReady.mStage->mGangCheckpoint : task.mCheckpoint;
  if (auto ticket = aReady.mStage->mTickets.find(order.mWorker);
      ticket != aReady.mStage->mTickets.end())
    order.mTicket = ticket->second.first;
  task.mWorker = order.mWorker;
  task.mRun = aRun;
  task.mNeverRan = false;
  --aReady.mStage->mWaiting;
  aWorker.mUsedMilliCores += run.mMilliCores;
  aWorker.mUsedMemoryMiB += run.mMemoryMiB;
  aWorker.mUsedAccelerators += run.mAccelerators;
  aWorker.mRuns.push_back(std::move(run));
  aOrders.mStarts.push_back(std::move(order));
}

void Scheduler::PlaceStage(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  const std::uint64_t base = (mSettings.mEpoch - 1) * kRunsPerEpoch;
  for (std::uint32_t n = 0; n < aReady.mStage->mTasks.size(); ++n) {
    Task& task = aReady.mStage->mTasks[n];
    if (task.mDone || !task.mWorker.empty() ||
        MayRunSomewhere({ aReady.mRef.mJob, aReady.mRef.mOccurrence, aReady.mRef.mStage, n }))
      continue;
    Worker* worker = PickWorker(aReady, task, aNow);
    if (!worker)
      return;
    PlaceTask(aReady, n, std::max(task.mRun, base) + 1, *worker, aNow, aOrders);
  }
}

void Scheduler::PlaceGang(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  const StageSpec& spec = *aReady.mSpec;
  std::uint64_t run = (mSettings.mEpoch - 1) * kRunsPerEpoch;
  for (std::uint32_t n = 0; n < aReady.mStage->mTasks.size(); ++n)
    if (MayRunSomewhere({ aReady.mRef.mJob, aReady.mRef.mOccurrence, aReady.mRef.mStage, n }))
      return;
  std::vector<Worker*> hosts;
  for (const Task& task : aReady.mStage->mTasks) {
    run = std::max(run, task.mRun);
    Worker* worker = PickWorker(aReady, task, aNow);
    if (!worker)
      break;
    // Taken for the trial only, so that the next member sees it.
    worker->mUsedMilliCores += spec.mMilliCores;
    worker->mUsedMemoryMiB += spec.mMemoryMiB;
    worker->mUsedAccelerators += spec.mAccelerators;
    Run trial;
    trial.mRef = aReady.mRef;
    worker->mRuns.push_back(std::move(trial));
    hosts.push_back(worker);
  }
  for (Worker* worker : hosts) {
    worker->mUsedMilliCores -= spec.mMilliCores;
    worker->mUsedMemoryMiB -= spec.mMemoryMiB;
    worker->mUsedAccelerators -= spec.mAccelerators;
    worker->mRuns.pop_back();
  }
  if (hosts.size() < aReady.mStage->mTasks.size())
    return;
  for (std::uint32_t n = 0; n < hosts.size(); ++n)
    PlaceTask(aReady, n, run + 1, *hosts[n], aNow, aOrders);
}

void Scheduler::RepairGang(const Ready& aReady, TimePoint aNow, Orders& aOrders)
{
  StageRun& stage = *aReady.mStage;
  if (stage.mGangBrokenAt == TimePoint{})
    stage.mGangBrokenAt = aNow;
  for (std::uint32_t n = 0; n < stage.mTasks.size(); ++n) {
    Task& task = stage.mTasks[n];
    if (!task.mWorker.empty())
      continue;
    Worker* worker = PickWorker(aReady, task, aNow);
    if (worker && !Contains(task.mFailedOn, worker->mEntry.mId))
      PlaceTask(aReady, n, task.mRun, *worker, aNow, aOrders);
  }
  if (stage.mWaiting == 0) {
    stage.mGangBrokenAt = TimePoint{};
    return;
  }
  if (aNow - stage.mGangBrokenAt < mSettings.mGangWait / 2)
    return;
  Log(LogPart::Place,
      LogLevel::Warn,
      "a gang can't be completed; its members are stopped and start together later",
      { { "stage", FormatStage(aReady.mRef) }, { "missing", stage.mWaiting } });
  stage.mGangBrokenAt = TimePoint{};
  for (auto& [id, worker] : mWorkers)
    for (Run& run : worker.mRuns)
      if (run.mRef.mJob == aReady.mRef.mJob && run.mRef.mOccurrence == aReady.mRef.mOccurrence &&
          run.mRef.mStage == aReady.mRef.mStage && run.mPhase != RunPhase::Starting)
        run.mPhase = RunPhase::Stopping;
  for (Task& it : stage.mTasks)
    it.mNeverRan = false;
}

void Scheduler::AskAdvice(const Ready& aReady,
                          TimePoint aNow,
                          std::size_t& aFree,
                          std::size_t& aFreeHeavy,
                          Orders& aOrders)
{
  StageRun& stage = *aReady.mStage;
  if (stage.mAdviceNumber != 0 || aNow < stage.mAskAgainAt || aFree == 0)
    return;
  const bool isSlow = aReady.mQueue->mAdviceBase >= kSlowAdvice;
  if (isSlow && aFreeHeavy == 0)
    return;
  std::vector<std::pair<std::int64_t, std::string>> candidates;  // room left, most first
  bool hasRoom = false;
  bool isFirst = stage.mTickets.empty() && stage.mRefused.empty();
  for (const auto& [id, worker] : mWorkers) {
    if (stage.mRefused.contains(id) || !CanHost(worker, aReady, aNow))
      continue;
    const bool fits = HasRoom(worker, *aReady.mSpec);
    if (!fits && !isFirst)
      continue;
    if (aReady.mSpec->mMaxPerWorker != 0 &&
        CountOf(worker, aReady.mRef) >= aReady.mSpec->mMaxPerWorker)
      continue;
    auto ticket = stage.mTickets.find(id);
    if (ticket != stage.mTickets.end() && ticket->second.second >= aNow + kTicketMargin)
      continue;
    hasRoom = hasRoom || fits;
    candidates.emplace_back(std::int64_t{ worker.mUsedMilliCores } - worker.mEntry.mMilliCores, id);
  }
  if (candidates.empty() || !hasRoom)
    return;
  std::sort(candidates.begin(), candidates.end());
  const std::size_t most = isFirst ? mSettings.mAdviceWorkers : kMostAdmitted;
  if (candidates.size() > most)
    candidates.resize(most);
  AdviceOrder order;
  order.mNumber = mNextAdvice++;
  order.mStage = FormatStage(aReady.mRef);
  for (auto& [left, id] : candidates)
    order.mWorkers.push_back(std::move(id));
  const Duration expected =
    aReady.mQueue->mAdviceBase + order.mWorkers.size() * aReady.mQueue->mAdvicePerWorker;
  order.mExpectedMs = std::chrono::duration_cast<milliseconds>(expected).count();
  stage.mAdviceNumber = order.mNumber;
  mAdviceInFlight[order.mNumber] = isSlow;
  --aFree;
  if (isSlow)
    --aFreeHeavy;
  aOrders.mAdvice.push_back(std::move(order));
}

void Scheduler::PlanStops(TimePoint aNow, Orders& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mReachable)
      continue;
    for (Run& run : worker.mRuns) {
      if (run.mStopAckedAt != TimePoint{} || aNow - run.mStopSentAt < kRepeatStop)
        continue;
      bool mustStop = run.mPhase == RunPhase::Stopping;
      if (!run.mKnown)
        mustStop = mustStop || FindJob(run.mRef.mJob) || aNow - run.mProgressAt > kOrphanAge;
      else if (!mustStop) {
        const Job* job = FindJob(run.mRef.mJob);
        const Task* task = FindTask(run.mRef);
        // An end of the worker's own says when a completed task's room is free.
        mustStop =
          !job || !task || job->mState == JobState::Cancelled || job->mState == JobState::Failed ||
          (!task->mDone && !run.mDetached && (task->mWorker != id || task->mRun != run.mRun)) ||
          (task->mDone && job->mSpec.mStages[run.mRef.mStage].mSpeculative) ||
          (run.mPhase == RunPhase::Unconfirmed && worker.mAnsweredAt > run.mSentAt);
      }
      if (!mustStop || run.mPhase == RunPhase::Starting)
        continue;
      run.mPhase = RunPhase::Stopping;
      run.mStopSentAt = aNow;
      aOrders.mStops.push_back({ id, run.mTask, run.mRun });
    }
  }
}

// Copies of a speculative task cost room only, and a worker that is silent may be gone.
void Scheduler::PlanCopies(TimePoint aNow)
{
  for (auto& [id, worker] : mWorkers) {
    // Before it has answered this epoch, nobody here knows what it runs.
    if (worker.mReachable || !worker.mFenced || aNow - worker.mSilentSince < kCopyAfter)
      continue;
    worker.mFinalWanted = !worker.mFinalTasks.has_value();
    for (Run& run : worker.mRuns) {
      const Job* job = run.mKnown && !run.mDetached ? FindJob(run.mRef.mJob) : nullptr;
      Task* task = job ? FindTask(run.mRef) : nullptr;
      if (!task || !job->mSpec.mStages[run.mRef.mStage].mSpeculative || task->mDone ||
          task->mWorker != id || task->mRun != run.mRun)
        continue;
      run.mDetached = true;
      task->mWorker.clear();
      ++FindStage(run.mRef)->mWaiting;
    }
  }
}

void Scheduler::PlanPace(TimePoint, Orders& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    bool isNear = false;  // a serving task is close to its target
    for (const Run& run : worker.mRuns)
      isNear = isNear || (run.mTailTargetMs > 0 && run.mTailMs > 0.8 * double(run.mTailTargetMs));
    for (Run& run : worker.mRuns) {
      const std::uint32_t pace = isNear ? 0 : 100;
      if (!run.mFiller || run.mPhase != RunPhase::Running || run.mPace == pace)
        continue;
      run.mPace = pace;
      aOrders.mPaces.push_back({ id, run.mTask, run.mRun, pace });
    }
  }
}

Orders Scheduler::Plan(TimePoint aNow,
                       std::int64_t aWallMs,
                       bool aMayStart,
                       std::size_t aFreeAdvisors)
{
  Orders orders;
  PlanStops(aNow, orders);
  if (!aMayStart)
    return orders;
  PlanPace(aNow, orders);
  PlanCopies(aNow);
  std::size_t slowInFlight = 0;
  for (const auto& [number, isSlow] : mAdviceInFlight)
    slowInFlight += isSlow ? 1 : 0;
  const std::size_t advisors = aFreeAdvisors + mAdviceInFlight.size();
  const std::size_t heavy = mSettings.mHeavyAdvisors != 0
                              ? mSettings.mHeavyAdvisors
                              : std::max<std::size_t>(1, advisors * 3 / 4);
  std::size_t freeHeavy = heavy > slowInFlight ? heavy - slowInFlight : 0;
  for (const Ready& ready : CollectReady(aNow, aWallMs)) {
    if (ready.mSpec->mGang && ready.mStage->mWaiting < ready.mStage->mTasks.size())
      RepairGang(ready, aNow, orders);
    else if (ready.mSpec->mGang)
      PlaceGang(ready, aNow, orders);
    else
      PlaceStage(ready, aNow, orders);
    if (ready.mStage->mWaiting > 0 && ready.mQueue->mNeedsAdvice)
      AskAdvice(ready, aNow, aFreeAdvisors, freeHeavy, orders);
  }
  return orders;
}

}  // namespace monsoon::fleet
