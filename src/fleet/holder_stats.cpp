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
    mStats = {};
    maxDelay = {};
    loggedAt = now;
  }
}

}  // namespace monsoon::fleet
