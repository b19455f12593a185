// Logs how much the holder does, and how far it is behind.
#include "fleet/holder_impl.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kLogInterval = seconds(2);
constexpr Duration kDelaySampleInterval = milliseconds(100);

}  // namespace

// Tells which teams' tasks wait for the team's own limit, so that a team can be told why.
void Holder::LogTeamsAtLimit()
{
  for (const TeamAtLimit& it : mScheduler.TakeTeamsAtLimit()) {
    mMetrics.GetCounter("fleet_held_by_team_limit_total", "team=\"" + it.mTeam + "\"")
      .Add(it.mHeld);
    Log(LogPart::Place,
        LogLevel::Info,
        "tasks of a team wait for its limit",
        { { "team", it.mTeam },
          { "millicores", it.mUsed.mMilliCores },
          { "of", it.mLimit.mMilliCores },
          { "mib", it.mUsed.mMemoryMiB },
          { "of_mib", it.mLimit.mMemoryMiB },
          { "accelerators", it.mUsed.mAccelerators },
          { "of_accelerators", it.mLimit.mAccelerators } });
  }
}

// Logs how serving tasks fare beside others, where there are any.
void Holder::LogSharing()
{
  const SharingStats sharing = mScheduler.TakeSharingStats();
  mMetrics.GetGauge("fleet_sharing_pairs").Set(static_cast<double>(sharing.mPairs));
  if (sharing.mTails + sharing.mPlacedApart + sharing.mPlacedClose + sharing.mPaceOrders == 0)
    return;
  mMetrics.GetCounter("fleet_serving_tails_total").Add(sharing.mTails);
  mMetrics.GetCounter("fleet_serving_tails_over_target_total").Add(sharing.mOver);
  mMetrics.GetCounter("fleet_placed_apart_total").Add(sharing.mPlacedApart);
  mMetrics.GetCounter("fleet_placed_close_total").Add(sharing.mPlacedClose);
  mMetrics.GetCounter("fleet_pace_orders_total").Add(sharing.mPaceOrders);
  Log(LogPart::Place,
      LogLevel::Info,
      "serving tasks and what runs beside them",
      { { "tails", sharing.mTails },
        { "over_target", sharing.mOver },
        { "over_beside_fillers", sharing.mOverBeside },
        { "pairs", sharing.mPairs },
        { "placed_apart", sharing.mPlacedApart },
        { "placed_close", sharing.mPlacedClose },
        { "pace_orders", sharing.mPaceOrders } });
}

Async<void> Holder::LogStats()
{
  auto self = shared_from_this();
  TimePoint loggedAt = BootClock::now();
  Duration maxDelay{};
  while (!mSteppedDown) {
    const TimePoint before = BootClock::now();
    co_await Sleep(kDelaySampleInterval);
    const TimePoint now = BootClock::now();
    maxDelay = std::max(maxDelay, now - before - kDelaySampleInterval);
    if (mSteppedDown || now - loggedAt < kLogInterval)
      continue;
    const SchedulerBacklog backlog = mScheduler.GetBacklog();
    Log(LogPart::Ownership,
        LogLevel::Info,
        "load of the scheduling process",
        { { "ms", now - loggedAt },
          { "reports", mStats.mReports },
          { "listed_running", mStats.mListedRunning },
          { "listed_ends", mStats.mListedEnds },
          { "starts", mStats.mStarts },
          { "plans", mStats.mPlans },
          { "batches", mStats.mBatches },
          { "stored_jobs", mStats.mStoredJobs },
          { "unstored_ends", backlog.mUnstoredEnds },
          { "unstored_jobs", backlog.mUnstoredJobs },
          { "waiting_in_time", backlog.mWaitingInTime },
          { "waiting_late", backlog.mWaitingLate },
          { "waiting_hopeless", backlog.mWaitingHopeless },
          { "teams_above_share", backlog.mTeamsAboveShare },
          { "turns", backlog.mTurns },
          { "slow_workers", mScheduler.GetFleetSpeed().mSlowWorkers },
          { "slow_factor", mScheduler.GetFleetSpeed().mSlow },
          { "free_fast_percent", 100 * mScheduler.GetFleetSpeed().mFreeFast },
          { "max_loop_delay_ms", maxDelay } });
    LogTeamsAtLimit();
    LogSharing();
    mStats = {};
    maxDelay = {};
    loggedAt = now;
  }
}

}  // namespace monsoon::fleet
