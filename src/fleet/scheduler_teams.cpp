// Scheduler: limits of teams on what their tasks have at one time, over all workers.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

TeamResources GetNeed(const StageSpec& aSpec)
{
  return { aSpec.mMilliCores, aSpec.mMemoryMiB, aSpec.mAccelerators };
}

}  // namespace

// Counts a run that takes capacity of its worker for its team, from when its start is planned until
// it is known to be gone: it counts while it may run, also unseen.
void Scheduler::ChargeTeam(Run& aRun, const Job& aJob)
{
  aRun.mTeam = aJob.mSpec.mTeam;
  aRun.mTeamNeed = GetNeed(aJob.mSpec.mStages[aRun.mRef.mStage]);
  mTeamLimits.Add(aRun.mTeam, aRun.mTeamNeed);
}

void Scheduler::DischargeTeam(const Run& aRun)
{
  mTeamLimits.Remove(aRun.mTeam, aRun.mTeamNeed);
}

// Adds what tasks of a stage may have on workers that have not answered in this epoch.
void Scheduler::AddPossibleUse(const Job& aJob,
                               std::uint32_t aOccurrence,
                               std::uint32_t aStage,
                               bool aIsAny)
{
  const StageSpec& spec = aJob.mSpec.mStages[aStage];
  const StageRun& stage = aJob.mOccurrences[aOccurrence].mStages[aStage];
  std::int64_t n = 0;
  for (std::uint32_t index = 0; index < stage.mTasks.size(); ++index) {
    const Task& task = stage.mTasks[index];
    if (task.mDone || !task.mWorker.empty())
      continue;
    n += aIsAny || MayRunSomewhere({ aJob.mSpec.mId, aOccurrence, aStage, index }) ? 1 : 0;
  }
  TeamResources& use = mPossibleTeamUse[aJob.mSpec.mTeam];
  use = Add(use, Multiply(GetNeed(spec), n));
}

// Estimates what teams may have on workers that have not answered in this epoch. A worker whose
// tasks are not stored may run any waiting task of an inherited job.
void Scheduler::CountPossibleTeamUse()
{
  mPossibleTeamUse.clear();
  if (mPossiblyRunning.empty() && !mHoldsInherited)
    return;
  for (const auto& [id, job] : mActive) {
    if (!job->mInherited || !mTeamLimits.IsLimited(job->mSpec.mTeam))
      continue;
    for (std::uint32_t k = 0; k < job->mOccurrences.size(); ++k) {
      const Occurrence& occurrence = job->mOccurrences[k];
      if (!occurrence.mStarted)
        break;
      for (std::uint32_t n = 0; n < occurrence.mStages.size(); ++n)
        if (IsStageUnblocked(*job, occurrence, n))
          AddPossibleUse(*job, k, n, mHoldsInherited);
    }
  }
}

// Returns whether the job's team may have aTasks more tasks of this size at work. Runs of jobs that
// this holder has not read may be of the team; each counts as one more task. One task may start
// while the team uses up to half of its limit, so that no task is too large to run.
bool Scheduler::IsWithinTeamLimit(const Ready& aReady, std::size_t aTasks)
{
  const std::string& team = aReady.mJob->mSpec.mTeam;
  if (!mIsConfigured && !team.empty())
    return false;  // the limits are not known
  if (!mTeamLimits.IsLimited(team))
    return true;
  const TeamResources task = GetNeed(*aReady.mSpec);
  TeamResources unseen = Multiply(task, mUnsizedRuns);
  if (const auto it = mPossibleTeamUse.find(team); it != mPossibleTeamUse.end())
    unseen = Add(unseen, it->second);
  const auto tasks = static_cast<std::int64_t>(aTasks);
  if (mTeamLimits.Allows(team, Add(unseen, Multiply(task, tasks))))
    return true;
  if (aTasks == 1 && mTeamLimits.Allows(team, Add(mTeamLimits.GetUse(team), Multiply(unseen, 2))))
    return true;
  ++mHeldByLimit[team];
  return false;
}

std::vector<TeamAtLimit> Scheduler::TakeTeamsAtLimit()
{
  std::vector<TeamAtLimit> teams;
  for (const auto& [team, held] : mHeldByLimit)
    teams.push_back({ team, mTeamLimits.GetUse(team), mTeamLimits.GetLimit(team), held });
  mHeldByLimit.clear();
  return teams;
}

}  // namespace monsoon::fleet
