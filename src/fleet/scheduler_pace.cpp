// Scheduler: the pace of fillers beside serving tasks.
#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

void Scheduler::PlanPace(Orders& aOrders)
{
  for (auto& [id, worker] : mWorkers) {
    bool isNearTarget = false;  // a serving task is close to its latency target
    for (const Run& run : worker.mRuns)
      isNearTarget = isNearTarget || (run.mLatencyTargetMs > 0 &&
                                      run.mTailLatencyMs > 0.8 * double(run.mLatencyTargetMs));
    for (Run& run : worker.mRuns) {
      const std::uint32_t pace = isNearTarget ? 0 : 100;
      if (!run.mFiller || run.mPhase != RunPhase::Running || run.mPace == pace)
        continue;
      run.mPace = pace;
      aOrders.mPaces.push_back({ id, run.mTask, run.mRun, pace });
    }
  }
}

}  // namespace monsoon::fleet
