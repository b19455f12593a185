// Scheduler: the leases of tasks, and what becomes of those on workers that do not answer.
#include <algorithm>

#include "fleet/scheduler_impl.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kHeartbeatJitter = milliseconds(300);
constexpr Duration kIdleLease = seconds(4);  // a worker that runs nothing is polled each 3 s

}  // namespace

// While the holder's own lease is not renewed, a successor may be waiting for the leases to expire.
Duration Scheduler::GetTaskLease(TimePoint aNow, TimePoint aHolderRenewedAt) const
{
  return std::min(mTaskLease, aHolderRenewedAt + mTaskLease + kMaxLeaseOverhang - aNow);
}

Duration Scheduler::RenewTaskLeases(Worker& aWorker, TimePoint aNow, TimePoint aHolderRenewedAt)
{
  const Duration lease = GetTaskLease(aNow, aHolderRenewedAt);
  // The first poll of a worker that did not answer before renews no lease: DropLapsed may be
  // waiting for its tasks' leases to expire.
  if (!aWorker.mReachable || aWorker.mHasUnansweredStart || lease <= Duration::zero())
    return Duration::zero();
  // That a worker without tasks has crashed is noticed late, so what starts there meanwhile would
  // have to wait for a full lease.
  if (lease > kIdleLease && std::none_of(aWorker.mRuns.begin(),
                                         aWorker.mRuns.end(),
                                         [](const Run& aItem) { return IsConfirmed(aItem); })) {
    aWorker.mLeaseSentAt = std::max(aWorker.mLeaseSentAt, aNow + kIdleLease - mTaskLease);
    return kIdleLease;
  }
  aWorker.mLeaseSentAt = std::max(aWorker.mLeaseSentAt, aNow);
  return lease;
}

// Returns when the leases of an unresponsive worker's tasks have certainly expired.
TimePoint Scheduler::GetLeaseExpiry(const Worker& aWorker) const
{
  const auto getExpiry = [this](Duration aLease) {
    return std::chrono::duration_cast<Duration>(aLease * (1 + mSettings.mWorkerClockDrift)) +
           kLeaseExpiryMargin;
  };
  const TimePoint own = aWorker.mLeaseSentAt + getExpiry(mTaskLease);
  if (aWorker.mFenced)
    return own;
  // Nobody has renewed them since: it has not answered, and is not known to have restarted.
  if (aWorker.mInheritedExpiry && aWorker.mAnsweredAt == TimePoint{} && !aWorker.mMayHaveRestarted)
    return *aWorker.mInheritedExpiry;
  return std::max(own, aWorker.mAddedAt + getExpiry(mTaskLease + kMaxLeaseOverhang));
}

std::vector<LeaseWait> Scheduler::ListLeaseWaits(TimePoint aNow) const
{
  std::vector<LeaseWait> waits;
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mReachable)
      continue;
    const auto left = std::chrono::ceil<milliseconds>(GetLeaseExpiry(worker) - aNow);
    waits.push_back({ id, worker.mBornMs, std::max<std::int64_t>(left.count(), 0) });
  }
  return waits;
}

void Scheduler::SetLeaseWait(const LeaseWait& aWait, TimePoint aElectedAt)
{
  Worker* worker = FindWorker(aWait.mWorker);
  if (worker && IsUnresolved(*worker) && worker->mBornMs == aWait.mBornMs)
    worker->mInheritedExpiry = aElectedAt + milliseconds(aWait.mLeftMs);
}

// Returns whether a draining worker has left, with all its tasks. Its entry was removed although it
// had been written within the last heartbeat; one that expires has not been written for three
// heartbeats, and its worker may run on.
bool Scheduler::HasLeft(const Worker& aWorker) const
{
  return aWorker.mEntry.mDraining && !aWorker.mListed && aWorker.mFenced && !aWorker.mReachable &&
         aWorker.mUnlistedAt > aWorker.mAnsweredAt && aWorker.mWrittenAt != TimePoint{} &&
         aWorker.mUnlistedAt - aWorker.mWrittenAt < mSettings.mWorkerHeartbeat + kHeartbeatJitter;
}

void Scheduler::DropLapsed(TimePoint aNow)
{
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    Worker& worker = it->second;
    const bool hasLeft = HasLeft(worker);
    if (worker.mReachable || (aNow < GetLeaseExpiry(worker) && !hasLeft)) {
      ++it;
      continue;
    }
    if (!worker.mRuns.empty())
      Log(LogPart::Task,
          LogLevel::Warn,
          "leases lapsed on a worker that does not answer; its tasks run again elsewhere",
          { { "worker", it->first },
            { "tasks", worker.mRuns.size() },
            { "renewed_ago_ms", aNow - worker.mLeaseSentAt },
            { "answered", worker.mFenced ? "yes" : "no" },
            { "answered_ago_ms", aNow - worker.mAnsweredAt },
            { "listed", worker.mListed ? "yes" : "no" },
            { "left", hasLeft ? "yes" : "no" } });
    if (worker.mListed)
      worker.mPastRuns = ListSuspects(worker);
    else
      RecordCrash(worker, CrashEvidence::Vanished, aNow);
    while (!worker.mRuns.empty())
      DropRun(worker, worker.mRuns.size() - 1);
    if (!worker.mListed)
      it = EraseWorker(it);
    else {
      worker.mFenced = true;  // no task of an earlier epoch can still run there
      ++it;
    }
  }
}

}  // namespace monsoon::fleet
