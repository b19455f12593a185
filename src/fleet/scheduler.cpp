// Scheduler: jobs, tasks and queues. Workers, placement, running tasks and outcomes of orders are
// in scheduler_*.cpp, the stored form of progress is in progress.cpp.
#include <algorithm>
#include <charconv>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::uint32_t kGuessedMaxAttempts = 3;  // of jobs whose terms are not known

}  // namespace

std::string FormatStage(const TaskRef& aRef)
{
  return aRef.mJob + "." + std::to_string(aRef.mOccurrence) + "." + std::to_string(aRef.mStage);
}

std::string FormatTask(const TaskRef& aRef)
{
  return FormatStage(aRef) + "." + std::to_string(aRef.mIndex);
}

Scheduler::Scheduler(SchedulerSettings aSettings)
  : mSettings(aSettings)
  , mTaskLease(ChooseTaskLease(aSettings.mMaxTaskLease, aSettings.mWorkerClockDrift))
{
}

void Scheduler::AddJob(JobSpec aSpec,
                       std::string_view aProgress,
                       bool aInherited,
                       TimePoint aNow,
                       Duration aAge)
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
  job->mHasStoredTerms = job->mSpec.mTerms.has_value();
  SetTerms(*job);
  const std::optional<QueueTerms>& terms = job->mSpec.mTerms;
  job->mDueAt =
    aNow - aAge + (terms ? EstimateTarget(job->mSpec.mStages, *terms) : Duration(seconds(5)));
  if (!aProgress.empty())
    DecodeProgress(*job, aProgress, aNow);
  job->mStoredState = job->mState;
  if (!IsOver(job->mState))
    mActive.emplace(job->mSpec.mId, job.get());
  else
    job->mEndedAt = aNow;
  const std::string id = job->mSpec.mId;
  Job& added = *mJobs.emplace(id, std::move(job)).first->second;
  ApplyOrphanReports(added, aNow);
  CheckJobEnd(added, aNow);
}

void Scheduler::CancelJob(const std::string& aId, TimePoint aNow)
{
  Job* job = FindJobMutable(aId);
  if (!job || IsOver(job->mState))
    return;
  Log(LogPart::Job, LogLevel::Info, "cancelled", { { "job", aId } });
  EndJob(*job, JobState::Cancelled, aNow);
}

void Scheduler::ClearInherited(const std::string& aId)
{
  if (Job* job = FindJobMutable(aId))
    job->mInherited = false;
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
  for (const auto& [id, job] : mActive)
    n += job->mState == JobState::Queued && job->mSpec.mQueue == aQueue ? 1 : 0;
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

// Creates the occurrence of a task that a worker reports: an earlier holder started that task, so
// the occurrence was due.
void Scheduler::EnsureOccurrence(const TaskRef& aRef, TimePoint aNow)
{
  Job* job = FindJobMutable(aRef.mJob);
  if (job && aRef.mOccurrence < job->mOccurrences.size() &&
      !job->mOccurrences[aRef.mOccurrence].mStarted)
    MakeOccurrence(*job, aRef.mOccurrence, aNow);
}

void Scheduler::MarkDirty(Job& aJob)
{
  const bool isEnded = IsOver(aJob.mState);
  if (!aJob.mDirty || isEnded)
    (isEnded ? mDirtyEnded : mDirtyRunning).push_back(aJob.mSpec.mId);
  mDirtyCount += aJob.mDirty ? 0 : 1;
  aJob.mDirty = true;
  ++aJob.mChanges;
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

void Scheduler::SetQueues(const FleetConfig& aConfig)
{
  mQueues.clear();
  for (const QueueConfig& it : aConfig.mQueues)
    mQueues[it.mName] = it;
  mTeamLimits.SetTeams(aConfig.mTeams);
  mIsConfigured = mIsConfigured || aConfig.mVersion != 0 || !mQueues.empty();
  for (const auto& [id, job] : mActive)
    SetTerms(*job);
}

// Sets the terms of a job that was stored without them. Those of its queue are kept when the queue
// is removed. Another holder that takes over after that finds only queues of the same service,
// which are the best guess: the job must go on.
void Scheduler::SetTerms(Job& aJob) const
{
  if (aJob.mHasStoredTerms || !mIsConfigured)
    return;
  if (const QueueConfig* queue = FindQueue(aJob.mSpec.mQueue)) {
    aJob.mSpec.mTerms = *queue;
    return;
  }
  if (aJob.mSpec.mTerms)
    return;
  const auto similar = std::find_if(mQueues.begin(), mQueues.end(), [&aJob](const auto& aItem) {
    return aItem.second.mService == aJob.mSpec.mService;
  });
  if (similar == mQueues.end())
    aJob.mSpec.mTerms = QueueTerms{ .mMaxAttempts = kGuessedMaxAttempts };
  else
    aJob.mSpec.mTerms = similar->second;
  Log(LogPart::Job,
      LogLevel::Warn,
      "the queue of a job is not configured any more, and its terms were not stored",
      { { "job", aJob.mSpec.mId },
        { "queue", aJob.mSpec.mQueue },
        { "like", similar == mQueues.end() ? std::string() : similar->first } });
}

// Returns the service that runs a job: the one that it was accepted for. If that has no workers
// left, and the queue was given another one, the job follows its queue.
const std::string& Scheduler::ChooseService(const Job& aJob) const
{
  const std::string& accepted = aJob.mSpec.mService;
  const QueueConfig* queue = FindQueue(aJob.mSpec.mQueue);
  if (!queue || queue->mService == accepted)
    return accepted;
  const bool hasWorkers = std::any_of(mWorkers.begin(), mWorkers.end(), [&](const auto& aItem) {
    return aItem.second.mListed && aItem.second.mEntry.mService == accepted;
  });
  return hasWorkers ? accepted : queue->mService;
}

const QueueConfig* Scheduler::FindQueue(const std::string& aName) const
{
  auto it = mQueues.find(aName);
  return it == mQueues.end() ? nullptr : &it->second;
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

const Task* Scheduler::FindTask(const Job& aJob, const TaskRef& aRef)
{
  if (aRef.mOccurrence >= aJob.mOccurrences.size())
    return nullptr;
  const std::vector<StageRun>& stages = aJob.mOccurrences[aRef.mOccurrence].mStages;
  if (aRef.mStage >= stages.size() || aRef.mIndex >= stages[aRef.mStage].mTasks.size())
    return nullptr;
  return &stages[aRef.mStage].mTasks[aRef.mIndex];
}

Task* Scheduler::FindTask(const TaskRef& aRef)
{
  StageRun* stage = FindStage(aRef);
  return stage && aRef.mIndex < stage->mTasks.size() ? &stage->mTasks[aRef.mIndex] : nullptr;
}

}  // namespace monsoon::fleet
