// Scheduler: the pace of fillers beside serving tasks.
#include "fleet/scheduler_impl.h"
#include "policy/pacing.h"

namespace monsoon::fleet {

namespace {

// From the answer to an order of a pace until reports tell of nothing older.
constexpr Duration kPaceSettling = milliseconds(600);
// An order that was not answered may be carried out this late, after later ones.
constexpr Duration kMaxOrderDelay = seconds(15);
// A paused filler that still uses this share of its cores has not received its last order, or an
// earlier one was carried out after it.
constexpr double kPausedLoad = 0.1;

}  // namespace

// Decides only on what reports have told since the last plan.
void Scheduler::PlanPace(TimePoint aNow, Orders& aOrders)
{
  for (const std::string& id : mToPace)
    if (Worker* worker = FindWorker(id))
      PlanWorkerPace(*worker, aNow, aOrders);
  mToPace.clear();
}

void Scheduler::PlanWorkerPace(Worker& aWorker, TimePoint aNow, Orders& aOrders)
{
  std::vector<Run*> fillers;
  std::vector<std::uint32_t> paces;
  Duration settledFor = aNow - aWorker.mPacedAt - kPaceSettling;
  for (Run& it : aWorker.mRuns) {
    if (!it.mFiller || it.mPhase != RunPhase::Running)
      continue;
    fillers.push_back(&it);
    paces.push_back(it.mPace);
    if (it.mPaceInFlight)
      settledFor = Duration(-1);
  }
  std::vector<ServingTail> serving;
  for (const Run& it : aWorker.mRuns) {
    if (it.mLatencyTargetMs == 0)
      continue;
    ServingTail tail;
    tail.mTail = it.mActivity / double(it.mLatencyTargetMs);
    tail.mOverFor = it.mOverSince == TimePoint{} ? Duration::zero() : aNow - it.mOverSince;
    for (const Run* filler : fillers)
      tail.mRises.push_back(EstimateFillerRise(it, *filler, aNow));
    serving.push_back(std::move(tail));
  }
  const std::vector<std::uint32_t> wanted = ChoosePaces(paces, serving, settledFor);
  for (std::size_t n = 0; n < fillers.size(); ++n) {
    Run& run = *fillers[n];
    const StageSpec* spec = FindSpec(run);
    const bool isDeaf = run.mPace == 0 && settledFor > Duration::zero() && spec &&
                        run.mActivity > kPausedLoad * spec->mMilliCores;
    const bool isDue = run.mPaceCheckAt != TimePoint{} && aNow >= run.mPaceCheckAt;
    if (run.mPaceInFlight || (wanted[n] == run.mPace && !run.mPaceUnsure && !isDeaf && !isDue))
      continue;
    if (isDue)
      run.mPaceCheckAt = {};
    run.mPace = wanted[n];
    run.mPaceInFlight = true;
    aWorker.mPacedAt = aNow;
    ++mSharing.mPaceOrders;
    aOrders.mPaces.push_back({ aWorker.mEntry.mId, run.mTask, run.mRun, run.mPace });
  }
}

void Scheduler::OnPace(const PaceOrder& aOrder, bool aAcked, TimePoint aNow)
{
  Worker* worker = FindWorker(aOrder.mWorker);
  if (!worker)
    return;
  for (Run& it : worker->mRuns) {
    if (it.mTask != aOrder.mTask || it.mRun != aOrder.mRun)
      continue;
    it.mPaceInFlight = false;
    it.mPaceUnsure = !aAcked;
    if (!aAcked)
      it.mPaceCheckAt = aNow + kMaxOrderDelay;
    worker->mPacedAt = aNow;
  }
}

}  // namespace monsoon::fleet
