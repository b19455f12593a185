#include "policy/restart.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr Duration kInitialDelay = milliseconds(500);
constexpr Duration kMaxDelay = seconds(60);
constexpr Duration kMaxWatchDelay = seconds(5);
constexpr Duration kRetryDelay = milliseconds(100);
// Limits the failures of a task on a fleet with fewer than mMaxAttempts workers, where the same
// workers are tried again.
constexpr std::uint32_t kFailuresPerAttempt = 3;

bool RunsIndefinitely(JobKind aKind) noexcept
{
  return aKind == JobKind::Service || aKind == JobKind::Watch;
}

}  // namespace

bool CountsAsFailure(TaskEnd aEnd) noexcept
{
  return aEnd == TaskEnd::Failed || aEnd == TaskEnd::Unknown;
}

TaskState DecideAfterEnd(const RestartContext& aContext) noexcept
{
  if (aContext.mEnd == TaskEnd::Running)
    return TaskState::Running;
  if (aContext.mEnd == TaskEnd::Succeeded && !RunsIndefinitely(aContext.mKind))
    return TaskState::Succeeded;
  if (aContext.mCancelled)
    return TaskState::Cancelled;
  if (aContext.mEnd == TaskEnd::NeverStarted)
    return TaskState::Waiting;
  // It ran at least in part, so it must not run again.
  if (!aContext.mRepeatable)
    return TaskState::DeadLetter;
  if (RunsIndefinitely(aContext.mKind) || !CountsAsFailure(aContext.mEnd))
    return TaskState::Waiting;
  if (aContext.mDistinctWorkers >= aContext.mMaxAttempts)
    return TaskState::DeadLetter;
  if (aContext.mFailures >= aContext.mMaxAttempts * kFailuresPerAttempt)
    return TaskState::DeadLetter;
  return TaskState::Waiting;
}

Duration ComputeRestartDelay(JobKind aKind,
                             TaskEnd aEnd,
                             std::uint32_t aFailures,
                             double aJitter) noexcept
{
  const double jitter = 0.5 + std::clamp(aJitter, 0.0, 1.0);
  const auto scale = [jitter](Duration aDelay) {
    return std::chrono::duration_cast<Duration>(aDelay * jitter);
  };
  if (!CountsAsFailure(aEnd) || aFailures == 0)
    return scale(kRetryDelay);
  const Duration maxDelay = aKind == JobKind::Watch ? kMaxWatchDelay : kMaxDelay;
  const Duration delay = kInitialDelay * (1 << std::min<std::uint32_t>(aFailures - 1, 10));
  return scale(std::min(delay, maxDelay));
}

}  // namespace monsoon
