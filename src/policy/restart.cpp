#include "policy/restart.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr Duration kFirstDelay = milliseconds(500);
constexpr Duration kLongestDelay = seconds(60);
constexpr Duration kLongestWatchDelay = seconds(5);
constexpr Duration kRetryDelay = milliseconds(100);
// On a fleet with fewer workers than mMaxAttempts the same workers are tried again, up to this.
constexpr std::uint32_t kFailuresPerAttempt = 3;

bool RunsForEver(JobKind aKind) noexcept
{
  return aKind == JobKind::Service || aKind == JobKind::Watch;
}

}  // namespace

bool CountsAsFailure(TaskEnd aEnd) noexcept
{
  return aEnd == TaskEnd::Failed || aEnd == TaskEnd::Unknown;
}

TaskState DecideAfterEnd(const RestartFacts& aFacts) noexcept
{
  if (aFacts.mEnd == TaskEnd::Running)
    return TaskState::Running;
  if (aFacts.mEnd == TaskEnd::Succeeded && !RunsForEver(aFacts.mKind))
    return TaskState::Succeeded;
  if (aFacts.mCancelled)
    return TaskState::Cancelled;
  if (aFacts.mEnd == TaskEnd::NeverStarted)
    return TaskState::Waiting;
  // It ran, at least in part, and its outcome stays as it is.
  if (!aFacts.mRepeatable)
    return TaskState::DeadLetter;
  if (RunsForEver(aFacts.mKind) || !CountsAsFailure(aFacts.mEnd))
    return TaskState::Waiting;
  if (aFacts.mDistinctWorkers >= aFacts.mMaxAttempts)
    return TaskState::DeadLetter;
  if (aFacts.mFailures >= aFacts.mMaxAttempts * kFailuresPerAttempt)
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
  const Duration longest = aKind == JobKind::Watch ? kLongestWatchDelay : kLongestDelay;
  const Duration delay = kFirstDelay * (1 << std::min<std::uint32_t>(aFailures - 1, 10));
  return scale(std::min(delay, longest));
}

}  // namespace monsoon
