// A scheduler with idle workers and a policy service, and a lasting job, for tests in virtual time.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/scheduler.h"

namespace monsoon::fleet {

inline constexpr TimePoint kStart{ seconds(2000) };
inline constexpr Duration kStep = milliseconds(10);
inline constexpr Duration kMaxAway = seconds(9);  // of a lasting task, from the crash of its worker

// From the election of a new holder: 4 s until machines are in touch again, 4 s of calm, and 3 s.
inline constexpr Duration kMaxAwayInTakeover = seconds(11);

inline Scheduler MakeScheduler(Duration aLongestLease, std::uint64_t aEpoch = 1)
{
  Scheduler scheduler({ .mEpoch = aEpoch, .mMaxTaskLease = aLongestLease });
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mNeedsAdvice = true;
  queue.mAdviceBase = milliseconds(450);
  queue.mAdvicePerWorker = std::chrono::microseconds(6500);
  queue.mAdviceValid = seconds(2);
  FleetConfig config;
  config.mQueues.push_back(queue);
  scheduler.SetQueues(config);
  return scheduler;
}

inline void AddWorkers(Scheduler& aScheduler, int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    WorkerEntry entry;
    entry.mId = "w" + std::to_string(n);
    entry.mAddress = "10.0.0." + std::to_string(n) + ":80";
    entry.mService = "pool";
    entry.mMilliCores = 8000;
    entry.mMemoryMiB = 16'000;
    aScheduler.ListWorker(entry, true, kStart);
    aScheduler.OnReport(entry.mId, {}, kStart, kStart);
  }
}

inline JobSpec MakeLastingJob()
{
  JobSpec job;
  job.mId = "a";
  job.mQueue = "q";
  job.mService = "pool";
  StageSpec stage;
  stage.mCount = 1;
  stage.mMilliCores = 1000;
  stage.mMemoryMiB = 1000;
  stage.mLongRunning = true;
  job.mStages.push_back(stage);
  return job;
}

// Plans from aFrom on, and answers policy calls when they are expected to end, until a task starts.
// Returns its order and the time.
inline std::pair<StartOrder, TimePoint> PlanUntilStart(Scheduler& aScheduler, TimePoint aFrom)
{
  std::optional<AdviceOrder> call;
  TimePoint askedAt{};
  for (TimePoint now = aFrom; now < aFrom + seconds(30); now += kStep) {
    if (call && now >= askedAt + milliseconds(call->mExpectedMs)) {
      std::vector<AdmittedWorker> admitted;
      for (const std::string& id : call->mWorkers)
        admitted.push_back({ id, "ticket" });
      aScheduler.OnAdvice(*call, &admitted, seconds(2), askedAt, now);
      call.reset();
    }
    aScheduler.DropLapsed(now);
    Orders orders = aScheduler.Plan(now, 0, true, 1);
    if (!orders.mStarts.empty())
      return { orders.mStarts[0], now };
    if (!orders.mAdvice.empty()) {
      call = orders.mAdvice[0];
      askedAt = now;
    }
  }
  return {};
}

}  // namespace monsoon::fleet
