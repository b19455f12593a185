// Scheduler: speeds of workers, learned from the runs that end on them.
#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kRefreshInterval = milliseconds(500);

std::string GetKind(const Worker& aWorker)
{
  return aWorker.mEntry.mLabels.empty() ? std::string() : aWorker.mEntry.mLabels[0];
}

}  // namespace

std::string GetEstimateKind(const Job& aJob, std::uint32_t aStage)
{
  const std::string& image = aJob.mSpec.mStages[aStage].mImage;
  return image.empty() ? aJob.mSpec.mQueue + "/" + std::to_string(aStage) : "image " + image;
}

// Returns how long the run would have taken on a worker with factor 1.
Duration Scheduler::GetWork(const SpeedSample& aRun) const
{
  const auto worker = mWorkers.find(aRun.mWorker);
  const double factor = worker == mWorkers.end() ? 1 : worker->second.mRunTimeFactor;
  return std::chrono::duration_cast<Duration>(aRun.mRan / factor);
}

// Keeps the run time of a run that ended with success until its stage is done. A filler runs as
// fast as others leave cores idle, a gang waits for its members, and a task that resumes from a
// checkpoint has less to do, and one with data in a rack runs longer in others.
void Scheduler::RecordSpeed(const Worker& aWorker, const Run& aRun, TimePoint aNow)
{
  const Job* job = FindJob(aRun.mRef.mJob);
  StageRun* stage = job ? FindStage(aRun.mRef) : nullptr;
  if (!stage || aRun.mStartedAt == TimePoint{} || aRun.mEstimate == Duration::zero())
    return;
  const StageSpec& spec = job->mSpec.mStages[aRun.mRef.mStage];
  if ((spec.mCheckpointed && aRun.mRun > 1) || !spec.mDataRack.empty())
    return;
  stage->mSamples.push_back({ aWorker.mEntry.mId, GetKind(aWorker), aNow - aRun.mStartedAt });
}

void Scheduler::LearnSpeeds(const Job& aJob, std::uint32_t aStage, StageRun& aRun, TimePoint aNow)
{
  std::vector<Duration> work;
  for (const SpeedSample& it : aRun.mSamples)
    work.push_back(GetWork(it));
  const StageSpec& spec = aJob.mSpec.mStages[aStage];
  if (const Duration typical = EstimateStage(std::move(work)); typical > Duration::zero())
    mEstimateErrors.Record(GetEstimateKind(aJob, aStage), GetProgressEstimate(spec), typical);
  mSpeeds.Observe(aRun.mSamples, aNow);
  aRun.mSamples = {};
}

// Applies what was learned to the workers.
void Scheduler::RefreshSpeeds(TimePoint aNow)
{
  if (aNow - mSpeedsAt < kRefreshInterval)
    return;
  mSpeedsAt = aNow;
  std::vector<Worker*> workers;
  std::vector<double> factors;
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mListed)
      continue;
    workers.push_back(&worker);
    factors.push_back(mSpeeds.GetRunTimeFactor(id, GetKind(worker), aNow));
  }
  factors = DivideByMean(std::move(factors));
  double slowSum = 0;
  mFleetSpeed.mSlowWorkers = 0;
  for (std::size_t n = 0; n < workers.size(); ++n) {
    workers[n]->mRunTimeFactor = factors[n];
    workers[n]->mRunTimeRank = RankRunTime(factors[n]);
    if (!IsSlowWorker(factors[n]))
      continue;
    slowSum += factors[n];
    ++mFleetSpeed.mSlowWorkers;
  }
  mFleetSpeed.mSlow = mFleetSpeed.mSlowWorkers > 0 ? slowSum / double(mFleetSpeed.mSlowWorkers) : 1;
}

void Scheduler::CountFreeFast()
{
  std::uint64_t all = 0;
  std::uint64_t used = 0;
  for (const auto& [id, worker] : mWorkers) {
    if (!worker.mListed || IsSlowWorker(worker.mRunTimeFactor))
      continue;
    all += worker.mEntry.mMilliCores;
    used += worker.mUsedMilliCores;
  }
  mFleetSpeed.mFreeFast = all > used ? 1 - double(used) / double(all) : 0;
}

int Scheduler::GetRankSign(const Ready& aReady) const
{
  const SpeedNeed need =
    ChooseSpeedNeed(aReady.mSpec->mLongRunning, aReady.mTerms->mStretch, mFleetSpeed);
  return need == SpeedNeed::Fast ? 1 : -1;
}

}  // namespace monsoon::fleet
