// Scheduler: outcomes of start and stop orders.
#include <algorithm>

#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kFullDuration = milliseconds(100);  // a worker reports again within this time

}  // namespace

bool Scheduler::IsStartWanted(const StartOrder& aOrder)
{
  const Worker* worker = FindWorker(aOrder.mWorker);
  if (!worker || !worker->mReachable || worker->mEntry.mDraining)
    return false;
  const auto run =
    std::find_if(worker->mRuns.begin(), worker->mRuns.end(), [&aOrder](const Run& aItem) {
      return aItem.mTask == aOrder.mTask && aItem.mRun == aOrder.mRun;
    });
  if (run == worker->mRuns.end() || run->mPhase != RunPhase::Starting)
    return false;
  if (IsOverCapacity(*worker) || CountUnsized(*worker) > 0)
    return false;
  const Job* job = FindJob(run->mRef.mJob);
  const Task* task = FindTask(run->mRef);
  if (!job || !task ||
      !IsSuitable(*worker, ChooseService(*job), job->mSpec.mStages[run->mRef.mStage]))
    return false;
  return !IsOver(job->mState) && !task->mDone && task->mRun == aOrder.mRun &&
         task->mWorker == aOrder.mWorker;
}

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
      run->mStartedAt = aNow;
      if (!IsConfirmed(*run))
        run->mConfirmedAt = aNow;
      run->mProgressAt = aNow;
      // Not one that may have restarted: its incarnation is told by its next report.
      worker->mReachable = !worker->mMayHaveRestarted;
      worker->mHasUnansweredStart = false;
      worker->mAnsweredAt = aNow;
      if (Job* job = FindJobMutable(ref.mJob); job && job->mState == JobState::Queued)
        job->mState = JobState::Running;
      return;
    case StartOutcome::Unknown:
      if (run->mPhase == RunPhase::Starting)
        run->mPhase = IsConfirmed(*run) ? RunPhase::Running : RunPhase::Unconfirmed;
      run->mSentAt = aNow;
      worker->mHasUnansweredStart = true;
      return;
    case StartOutcome::StaleRun:
      // The worker has seen an order with this run number or a higher one, so the next run needs a
      // higher number. The capacity stays reserved until a report shows whether the task runs.
      run->mPhase = RunPhase::Unconfirmed;
      run->mSentAt = aNow;
      return;
    case StartOutcome::NoCapacity:
      worker->mFullUntil = aNow + kFullDuration;
      break;
    case StartOutcome::BadTicket:
      if (StageRun* stage = FindStage(ref))
        stage->mTickets.erase(aOrder.mWorker);
      // The terms of a job that was stored without them are a guess, and a queue may change.
      if (Job* job = FindJobMutable(ref.mJob); job && job->mSpec.mTerms && aOrder.mTicket.empty())
        job->mSpec.mTerms->mNeedsAdvice = true;
      break;
    case StartOutcome::NotStarted:
      worker->mFullUntil = aNow + kFullDuration;
      break;
    case StartOutcome::OtherIncarnation:
      worker->mFullUntil = aNow + seconds(1);
      break;
    case StartOutcome::Withdrawn:
      break;
  }
  DropRun(*worker, static_cast<std::size_t>(run - worker->mRuns.begin()), true);
}

void Scheduler::OnStop(const StopOrder& aOrder, bool aAcked, TimePoint aNow)
{
  Worker* worker = FindWorker(aOrder.mWorker);
  // An earlier incarnation may have confirmed it, and this one knows nothing of that.
  if (!worker || !aAcked || aOrder.mPlannedAt < worker->mBornSeenAt)
    return;
  for (Run& it : worker->mRuns)
    if (it.mTask == aOrder.mTask && it.mRun == aOrder.mRun)
      it.mStopAckedAt = aNow;
}

}  // namespace monsoon::fleet
