// Scheduler: the order in which ready stages get capacity. See
// docs/design/room-under-contention.md.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

struct PoolTotal  // of all listed workers of a service
{
  double mMilliCores = 0;
  double mMemoryMiB = 0;
  double mAccelerators = 0;
  std::uint32_t mNumber = 0;  // of the pool
};

namespace {

constexpr std::uint64_t kHopelessTurns =
  8;  // every n-th turn is one of hopeless jobs, if there are any

using PoolTotals = std::map<std::string_view, PoolTotal>;

PoolTotals SumPools(const std::map<std::string, Worker>& aWorkers)
{
  PoolTotals pools;
  for (const auto& [id, worker] : aWorkers) {
    if (!worker.mListed)
      continue;
    const auto number = static_cast<std::uint32_t>(pools.size());
    PoolTotal& pool =
      pools.try_emplace(worker.mEntry.mService, PoolTotal{ .mNumber = number }).first->second;
    pool.mMilliCores += worker.mEntry.mMilliCores;
    pool.mMemoryMiB += worker.mEntry.mMemoryMiB;
    pool.mAccelerators += worker.mEntry.mAccelerators;
  }
  return pools;
}

// Returns which share of the pool one task of the stage takes.
CapacityShare GetTaskShare(const StageSpec& aSpec, const PoolTotal& aPool)
{
  const auto divide = [](double aPart, double aAll) { return aAll > 0 ? aPart / aAll : 0; };
  return { divide(aSpec.mFiller ? 0 : aSpec.mMilliCores, aPool.mMilliCores),
           divide(aSpec.mMemoryMiB, aPool.mMemoryMiB),
           divide(aSpec.mAccelerators, aPool.mAccelerators) };
}

std::size_t CountRunning(const StageRun& aStage)
{
  return aStage.mTasks.size() - aStage.mDone - aStage.mWaiting;
}

// Returns what the running tasks of a job have.
CapacityShare SumRuns(const Job& aJob, const PoolTotal& aPool)
{
  CapacityShare sum;
  for (const Occurrence& it : aJob.mOccurrences)
    for (std::size_t n = 0; n < it.mStages.size(); ++n)
      if (const std::size_t running = CountRunning(it.mStages[n]); running > 0)
        sum += GetTaskShare(aJob.mSpec.mStages[n], aPool) * static_cast<double>(running);
  return sum;
}

// Returns the longest chain of stages of the occurrence that have not started.
Duration EstimateRemaining(const Job& aJob, const Occurrence& aOccurrence)
{
  Duration longest{};
  for (std::size_t n = 0; n < aOccurrence.mStages.size(); ++n)
    if (aOccurrence.mStages[n].mWaiting > 0)
      longest = std::max(longest, aJob.mOutline.mTails[n]);
  return longest;
}

// Returns the capacity times seconds that the occurrence still takes.
double EstimateRoom(const Job& aJob, const Occurrence& aOccurrence, const PoolTotal& aPool)
{
  double sum = 0;
  for (std::size_t n = 0; n < aOccurrence.mStages.size(); ++n) {
    const StageSpec& spec = aJob.mSpec.mStages[n];
    const StageRun& stage = aOccurrence.mStages[n];
    const auto left = static_cast<double>(stage.mTasks.size() - stage.mDone);
    sum +=
      GetTaskShare(spec, aPool).GetDominant() * left * static_cast<double>(spec.mEstimateMs) / 1000;
  }
  return sum;
}

// The teams of all active jobs, told apart within each pool. Jobs without a team are one team.
class TeamTable
{
public:
  std::uint32_t Find(const JobSpec& aJob, const std::map<std::string, double>& aWeights)
  {
    const auto [it, isNew] = mNumbers.try_emplace({ aJob.mService, aJob.mTeam }, mTeams.size());
    if (isNew) {
      const auto pool = mPools.try_emplace(aJob.mService, mPools.size()).first->second;
      const auto weight = aWeights.find(aJob.mTeam);
      mTeams.push_back(
        { static_cast<std::uint32_t>(pool), weight == aWeights.end() ? 1 : weight->second, {} });
    }
    return static_cast<std::uint32_t>(it->second);
  }

  std::vector<TeamUse> mTeams{};

private:
  std::map<std::string_view, std::size_t> mPools{};
  std::map<std::pair<std::string_view, std::string_view>, std::size_t> mNumbers{};
};

void LogProspect(const Job& aJob, Prospect aProspect, TimePoint aDueAt, TimePoint aNow)
{
  Log(LogPart::Place,
      LogLevel::Info,
      aProspect == Prospect::Late
        ? "a waiting job can't be in time any more; it yields"
        : "a waiting job is too late to be of use; it yields to all others",
      { { "job", aJob.mSpec.mId },
        { "team", aJob.mSpec.mTeam },
        { "queue", aJob.mSpec.mQueue },
        { "due_in_ms", aDueAt - aNow } });
}

}  // namespace

StageDemand Scheduler::MakeStageDemand(const Ready& aReady,
                                       const PoolTotal& aPool,
                                       TimePoint aNow) const
{
  const Job& job = *aReady.mJob;
  const Duration target = job.mOutline.mTarget;
  StageDemand demand;
  demand.mIsRestart = aReady.mIsRestart;
  demand.mPriority = aReady.mTerms->mPriority;
  demand.mDueAt = aReady.mDueAt;
  demand.mHasTurn = aReady.mOccurrence->mHasTurn;
  demand.mUseUntil = GetUseUntil(aReady.mDueAt, target);
  demand.mWaited = aNow - (aReady.mDueAt - target);
  demand.mPool = aPool.mNumber;
  demand.mRuns = SumRuns(job, aPool);
  demand.mNeeds = GetTaskShare(*aReady.mSpec, aPool) * aReady.mStage->mWaiting;
  const StageSpec& spec = *aReady.mSpec;
  demand.mIsLimited =
    mTeamLimits.IsLimited(job.mSpec.mTeam) &&
    !mTeamLimits.Allows(job.mSpec.mTeam, { spec.mMilliCores, spec.mMemoryMiB, spec.mAccelerators });
  if (spec.mLongRunning)
    return demand;  // never late: it earns for as long as it runs
  demand.mRemaining = EstimateRoom(job, *aReady.mOccurrence, aPool);
  demand.mChain = EstimateRemaining(job, *aReady.mOccurrence);
  demand.mProspect = JudgeProspect(aReady.mDueAt, target, demand.mChain, aNow);
  return demand;
}

// Gives a turn to a job that yields, which it keeps until it ends.
void Scheduler::GiveTurn(std::vector<Ready>& aReady,
                         std::vector<StageDemand>& aDemands,
                         TimePoint aNow)
{
  if (aNow < mNextTurnAt)
    return;
  const std::size_t chosen =
    ChooseTurn(aDemands, mTurns % kHopelessTurns == 0 ? Prospect::Hopeless : Prospect::Late);
  if (chosen == aDemands.size())
    return;
  ++mTurns;
  mNextTurnAt = aNow + GetTurnInterval(aDemands[chosen]);
  aReady[chosen].mOccurrence->mHasTurn = true;
  aDemands[chosen].mHasTurn = true;
}

void Scheduler::CountWaiting(const std::vector<StageDemand>& aDemands,
                             const std::vector<TeamUse>& aTeams)
{
  mWaitingStages = {};
  std::vector<bool> isAbove = FindTeamsAboveShare(aTeams);
  for (const StageDemand& it : aDemands) {
    mWaitingStages.mWaitingInTime += it.mProspect == Prospect::InTime ? 1 : 0;
    mWaitingStages.mWaitingLate += it.mProspect == Prospect::Late ? 1 : 0;
    mWaitingStages.mWaitingHopeless += it.mProspect == Prospect::Hopeless ? 1 : 0;
    if (it.mTeam < isAbove.size() && isAbove[it.mTeam]) {
      ++mWaitingStages.mTeamsAboveShare;
      isAbove[it.mTeam] = false;
    }
  }
}

void Scheduler::SortReady(std::vector<Ready>& aReady, TimePoint aNow)
{
  const PoolTotals pools = SumPools(mWorkers);
  TeamTable teams;
  if (!mTeamWeights.empty())
    for (const auto& [id, job] : mActive)
      if (const auto pool = pools.find(job->mSpec.mService); pool != pools.end())
        teams.mTeams[teams.Find(job->mSpec, mTeamWeights)].mRuns += SumRuns(*job, pool->second);
  std::vector<StageDemand> demands;
  demands.reserve(aReady.size());
  for (const Ready& it : aReady) {
    const auto pool = pools.find(it.mService);
    demands.push_back(MakeStageDemand(it, pool == pools.end() ? PoolTotal{} : pool->second, aNow));
    if (!mTeamWeights.empty())
      demands.back().mTeam = teams.Find(it.mJob->mSpec, mTeamWeights);
    Job& job = *it.mJob;
    if (demands.back().mProspect > job.mProspect)
      LogProspect(job, demands.back().mProspect, it.mDueAt, aNow);
    job.mProspect = demands.back().mProspect;
  }
  GiveTurn(aReady, demands, aNow);
  CountWaiting(demands, teams.mTeams);
  std::vector<Ready> sorted;
  sorted.reserve(aReady.size());
  for (const std::size_t n : OrderStages(demands, teams.mTeams, aNow))
    sorted.push_back(std::move(aReady[n]));
  aReady = std::move(sorted);
}

}  // namespace monsoon::fleet
