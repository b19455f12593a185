// Scheduler: a summary of the load, by which all entry processes decide alike which jobs to refuse.
#include <algorithm>

#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

namespace {

// A backlog that a whole pool, or a team within its limit, gets through sooner refuses no job.
constexpr double kMinBacklogSeconds = 1;

PoolCapacity& FindOrAddPool(LoadSummary& aLoad, std::string_view aName)
{
  for (PoolCapacity& it : aLoad.mPools)
    if (it.mPool == aName)
      return it;
  aLoad.mPools.push_back({ std::string(aName) });
  return aLoad.mPools.back();
}

void CountWorker(PoolCapacity& aPool, const WorkerEntry& aEntry)
{
  aPool.mMilliCores += aEntry.mMilliCores;
  CapacityLimit& largest = aPool.mLargest;
  largest.mMilliCores = std::max<std::uint64_t>(largest.mMilliCores, aEntry.mMilliCores);
  largest.mMemoryMiB = std::max<std::uint64_t>(largest.mMemoryMiB, aEntry.mMemoryMiB);
  largest.mAccelerators = std::max<std::uint64_t>(largest.mAccelerators, aEntry.mAccelerators);
}

// Returns milli-cores x seconds.
std::uint64_t GetWaitingWork(const StageSpec& aSpec, const StageRun& aStage)
{
  return std::uint64_t{ aStage.mWaiting } * aSpec.mMilliCores *
         static_cast<std::uint64_t>(std::max<std::int64_t>(0, aSpec.mEstimateMs)) / 1000;
}

std::uint64_t Sum(const TeamBacklog& aBacklog)
{
  std::uint64_t sum = 0;
  for (const std::uint64_t it : aBacklog.mWork)
    sum += it;
  return sum;
}

double GetCapacity(const LoadSummary& aLoad,
                   const TeamBacklog& aBacklog,
                   const std::map<std::string, std::uint64_t>& aLimits)
{
  std::uint64_t capacity = 0;
  for (const PoolCapacity& it : aLoad.mPools)
    if (it.mPool == aBacklog.mPool)
      capacity = it.mMilliCores;
  const auto limit = aLimits.find(aBacklog.mTeam);
  if (limit != aLimits.end() && limit->second != 0)
    capacity = std::min(capacity, limit->second);
  return static_cast<double>(capacity);
}

void RaiseTo(CapacityLimit& aLargest, const StageSpec& aSpec, std::uint64_t aTasks)
{
  const std::uint64_t milliCores = aTasks * aSpec.mMilliCores;
  aLargest.mMilliCores = std::max(aLargest.mMilliCores, milliCores);
  aLargest.mMemoryMiB = std::max(aLargest.mMemoryMiB, aTasks * aSpec.mMemoryMiB);
  aLargest.mAccelerators = std::max(aLargest.mAccelerators, aTasks * aSpec.mAccelerators);
}

}  // namespace

JobDemand MakeDemand(const JobSpec& aSpec)
{
  JobDemand demand;
  demand.mPool = aSpec.mService;
  demand.mTeam = aSpec.mTeam;
  const QueueTerms terms = aSpec.mTerms.value_or(QueueTerms{});
  demand.mPriority = terms.mPriority;
  demand.mTarget = EstimateTarget(aSpec.mStages, terms);
  for (const StageSpec& it : aSpec.mStages) {
    RaiseTo(demand.mLargestTask, it, 1);
    RaiseTo(demand.mLargestTogether, it, it.mGang ? it.mCount : 1);
  }
  return demand;
}

void Scheduler::AddBacklog(const Job& aJob, TimePoint aNow, LoadSummary& aLoad) const
{
  if (aJob.mSpec.mTeam.empty() || !aJob.mSpec.mTerms || aJob.mDueAt <= aNow)
    return;
  const auto range =
    std::find_if(kDueRangesMs.begin(), kDueRangesMs.end(), [&](std::int64_t aItem) {
      return aJob.mDueAt - aNow <= milliseconds(aItem);
    });
  if (range == kDueRangesMs.end())
    return;
  std::uint64_t work = 0;
  for (const Occurrence& occurrence : aJob.mOccurrences)
    for (std::uint32_t n = 0; n < occurrence.mStages.size(); ++n) {
      const StageSpec& spec = aJob.mSpec.mStages[n];
      if (!spec.mLongRunning && !spec.mFiller && IsStageReady(aJob, occurrence, n))
        work += GetWaitingWork(spec, occurrence.mStages[n]);
    }
  if (work == 0)
    return;
  const std::string& pool = ChooseService(aJob);
  const std::uint32_t priority = aJob.mSpec.mTerms->mPriority;
  auto backlog =
    std::find_if(aLoad.mBacklogs.begin(), aLoad.mBacklogs.end(), [&](const TeamBacklog& aItem) {
      return aItem.mPool == pool && aItem.mTeam == aJob.mSpec.mTeam && aItem.mPriority == priority;
    });
  if (backlog == aLoad.mBacklogs.end())
    backlog = aLoad.mBacklogs.insert(backlog, TeamBacklog{ pool, aJob.mSpec.mTeam, priority, {} });
  backlog->mWork[static_cast<std::size_t>(range - kDueRangesMs.begin())] += work;
}

LoadSummary Scheduler::SummarizeLoad(std::span<const TeamConfig> aTeams, TimePoint aNow) const
{
  LoadSummary load;
  if (aTeams.empty() || !AreAllResolved())
    return load;
  for (const auto& [id, worker] : mWorkers)
    if (worker.mListed && !worker.mEntry.mDraining)
      CountWorker(FindOrAddPool(load, worker.mEntry.mService), worker.mEntry);
  for (const auto& [id, job] : mActive)
    AddBacklog(*job, aNow, load);
  std::map<std::string, std::uint64_t> limits;
  for (const TeamConfig& it : aTeams)
    limits[it.mName] = it.mLimit.mMilliCores;
  std::erase_if(load.mBacklogs, [&](const TeamBacklog& aItem) {
    return static_cast<double>(Sum(aItem)) < kMinBacklogSeconds * GetCapacity(load, aItem, limits);
  });
  return load;
}

}  // namespace monsoon::fleet
