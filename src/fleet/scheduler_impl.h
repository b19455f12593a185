// Shared by scheduler*.cpp only.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/scheduler.h"

namespace monsoon::fleet {

// Returns the estimated duration of the longest chain of dependent stages, policy calls included.
inline Duration EstimateChain(const std::vector<StageSpec>& aStages, const QueueTerms& aTerms)
{
  std::vector<Duration> ends(aStages.size(), Duration::zero());
  Duration longest{};
  for (std::size_t n = 0; n < aStages.size(); ++n) {
    Duration start{};
    for (const std::uint32_t before : aStages[n].mAfter)
      if (before < n)
        start = std::max(start, ends[before]);
    ends[n] = start + milliseconds(aStages[n].mEstimateMs);
    if (aTerms.mNeedsAdvice)
      ends[n] += aTerms.mAdviceBase + 30 * aTerms.mAdvicePerWorker;  // as if it named 30 workers
    longest = std::max(longest, ends[n]);
  }
  return longest;
}

// Returns the estimated duration from the start of each stage to the end of the longest chain that
// depends on it, policy calls included.
inline std::vector<Duration> EstimateTails(const std::vector<StageSpec>& aStages,
                                           const QueueTerms& aTerms)
{
  Duration advice{};
  if (aTerms.mNeedsAdvice)
    advice = aTerms.mAdviceBase + 30 * aTerms.mAdvicePerWorker;
  std::vector<Duration> tails(aStages.size(), Duration::zero());
  for (std::size_t n = aStages.size(); n-- > 0;) {
    tails[n] += milliseconds(aStages[n].mEstimateMs) + advice;
    for (const std::uint32_t before : aStages[n].mAfter)
      if (before < n)
        tails[before] = std::max(tails[before], tails[n]);
  }
  return tails;
}

// Returns how long after its acceptance, or after its due time, a job is to be completed.
inline Duration EstimateTarget(const std::vector<StageSpec>& aStages, const QueueTerms& aTerms)
{
  return aTerms.mSlack +
         std::chrono::duration_cast<Duration>(aTerms.mStretch * EstimateChain(aStages, aTerms));
}

// Shorter estimates are too often wrong.
inline constexpr Duration kMinEstimate = milliseconds(150);

// Returns the run time against which a task's progress is checked; zero if it is not checked.
inline Duration GetProgressEstimate(const StageSpec& aSpec)
{
  if (aSpec.mLongRunning || aSpec.mFiller || aSpec.mGang)
    return Duration::zero();
  return std::max<Duration>(kMinEstimate, milliseconds(aSpec.mEstimateMs));
}

// Returns what the error of a stage's estimate depends on.
[[nodiscard]] std::string GetEstimateKind(const Job& aJob, std::uint32_t aStage);

// A lasting task runs again within this time after its worker crashed.
inline constexpr Duration kMaxLastingAway = seconds(9);
// From the release of a task to its next start: a slow policy call and the order.
inline constexpr Duration kRestartTime = milliseconds(1500);
// Added to the duration of a lease, for rounding and network latency.
inline constexpr Duration kLeaseExpiryMargin = milliseconds(200);

// Returns the lease of tasks: as long as workers allow, so that tasks outlive partitions, but short
// enough for kMaxLastingAway, as a worker that crashed can't be distinguished from one that is cut
// off until its leases have expired.
inline Duration ChooseTaskLease(Duration aLongest, double aWorkerClockDrift)
{
  const Duration wait = kMaxLastingAway - kRestartTime - kLeaseExpiryMargin;
  return std::min(aLongest, std::chrono::duration_cast<Duration>(wait / (1 + aWorkerClockDrift)));
}

// Returns whether the worker may run tasks of earlier epochs that this holder does not know of.
// Previous holders started tasks only on workers that they had stored.
inline bool IsUnresolved(const Worker& aWorker)
{
  return aWorker.mInherited && !aWorker.mFenced;
}

// Returns whether the worker has confirmed the start, in an answer or a report.
inline bool IsConfirmed(const Run& aRun)
{
  return aRun.mConfirmedAt != TimePoint{};
}

// For a start order to reach its worker while its ticket is valid.
inline constexpr Duration kTicketMargin = milliseconds(60);

// A worker that still answers this long after a task started there has survived the start.
inline constexpr Duration kProvenAfter = milliseconds(250);

// Returns whether the worker has not been seen to survive the start of this run.
inline bool IsUnproven(const Worker& aWorker, const Run& aRun)
{
  return aWorker.mAnsweredAt < aRun.mSentAt + kProvenAfter;
}

// Returns whether the entry describes the present incarnation. One that restarted under its id may
// be of another size, and its entry is listed later than it answers.
inline bool IsEntryCurrent(const Worker& aWorker)
{
  return (aWorker.mEntry.mBornMs == 0 || aWorker.mBornMs == 0 ||
          aWorker.mEntry.mBornMs == aWorker.mBornMs) &&
         !IsListedElsewhere(aWorker);
}

// Returns whether tasks of the stage may run on a worker of this kind.
inline bool IsSuitable(const Worker& aWorker, std::string_view aService, const StageSpec& aSpec)
{
  const std::vector<std::string>& labels = aWorker.mEntry.mLabels;
  return IsEntryCurrent(aWorker) && aWorker.mEntry.mService == aService &&
         (aSpec.mRequiredLabel.empty() ||
          std::find(labels.begin(), labels.end(), aSpec.mRequiredLabel) != labels.end());
}

// Returns how many runs take capacity that is not known, as their job was not read yet.
inline std::uint32_t CountUnsized(const Worker& aWorker)
{
  return static_cast<std::uint32_t>(std::count_if(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const Run& aItem) { return !aItem.mSized; }));
}

// Returns whether more is reserved than the worker has, as when it has shrunk.
inline bool IsOverCapacity(const Worker& aWorker)
{
  return aWorker.mUsedMilliCores > aWorker.mEntry.mMilliCores ||
         aWorker.mUsedMemoryMiB > aWorker.mEntry.mMemoryMiB ||
         aWorker.mUsedAccelerators > aWorker.mEntry.mAccelerators;
}

// Pace of an adopted filler, until it is known how the serving tasks beside it bear it.
inline constexpr std::uint32_t kAdoptedPace = 25;

// Lists, as TASK:RUN,..., the confirmed runs that the worker has not been seen to survive.
[[nodiscard]] std::string FormatUnproven(const Worker& aWorker);

struct Scheduler::Ready  // a stage with tasks that may be placed now
{
  Job* mJob = nullptr;
  const QueueTerms* mTerms = nullptr;
  std::string_view mService{};  // pool of workers
  const StageSpec* mSpec = nullptr;
  StageRun* mStage = nullptr;
  TaskRef mRef{};           // mIndex is not used
  bool mIsRestart = false;  // of lasting tasks that ran before
  bool mIsHeld = false;     // nothing may start yet, only tickets are obtained
  Occurrence* mOccurrence = nullptr;
  TimePoint mDueAt{};  // of the occurrence
};

}  // namespace monsoon::fleet
