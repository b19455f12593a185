// Supervises the workers that this process owns: answers placement queries, starts and stops tasks,
// renews their leases, reads inventories, and reports ends until the shard's owner has journaled
// them.
//
// Everything runs on the one executor that is passed in; the capacity ledger has locks of its own.
// One coroutine watches each worker, so that an unresponsive worker delays no other.
#pragma once

#include <atomic>
#include <memory>

#include "controllers/job_entries.h"
#include "controllers/supervision_parallel.h"
#include "controllers/supervision_state.h"
#include "controllers/views.h"
#include "observe/log.h"
#include "policy/placement.h"
#include "policy/quarantine.h"
#include "policy/run_estimate.h"

namespace monsoon {

// CapacityAccess: the capacity ledger under its locks; CapacityShards satisfies it.
template<class T>
concept CapacityAccess = requires(T& aCapacity, WorkerName aWorker, JobId aJob)
{
  aCapacity.With(aWorker, [](auto&) {});
  {
    aCapacity.ListViews(aJob)
    } -> std::same_as<std::vector<WorkerView>>;
};

struct SupervisionSettings
{
  ProcessName mSelf{};
  ShardIndex mShards = 8;                         // job shards of the cell
  Duration mInterval = seconds(1);                // between renewals for one worker
  Duration mShortestInterval = milliseconds(20);  // also when many tasks end
  Duration mLease = seconds(15);                  // of tasks; at most 30 s
  Duration mCallDeadline = seconds(2);            // of one call to a worker
  Duration mPeerDeadline = seconds(2);
};

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
class Supervision
{
public:
  Supervision(asio::any_io_executor aExecutor,
              Client& aClient,
              Peers& aPeers,
              const Ownership& aOwnership,
              Capacity& aCapacity,
              SupervisionSettings aSettings);

  // Workers
  void PutWorker(const WorkerSpec& aSpec);                // starts to watch it, or updates its spec
  void SetDrained(const std::set<WorkerName>& aDrained);  // replaces the set; they get no new work
  void RefreshInventory(const WorkerName& aWorker);       // wakes the watch to read it now
  void Stop();

  // Requests of other processes
  Async<Result<PeerReply>> Handle(FitQuery aQuery);
  Async<Result<PeerReply>> Handle(HoldRequest aRequest);
  Async<Result<PeerReply>> Handle(HoldRelease aRelease);
  Async<Result<PeerReply>> Handle(TaskStart aStart);
  Async<Result<PeerReply>> Handle(TaskStop aStop);
  Async<Result<PeerReply>> Handle(TaskQuery aQuery);

private:
  struct Watched  // one worker
  {
    explicit Watched(const asio::any_io_executor& aExecutor)
      : mTimer(aExecutor)
    {
    }
    WorkerSpec mSpec{};
    std::unique_ptr<SupervisionState> mState{};  // null: not owned, or fenced
    Epoch mFencedEpoch = 0;                      // our epoch, after a higher one was seen
    std::multiset<TimePoint> mExpectedEnds{};
    asio::steady_timer mTimer;  // cancelled to wake Watch
    bool mRefreshRequested = false;
    bool mReporting = false;  // Report is running
  };
  using WatchedPtr = std::shared_ptr<Watched>;

  // Renews leases and reads the inventory of one worker again and again, until Stop.
  Async<void> Watch(WatchedPtr aWatched);
  Async<void> Renew(WatchedPtr aWatched);
  // Reports running and ended attempts to the owners of their job shards, one call per shard. An
  // end is marked as reported only after its shard's owner has journaled it.
  Async<void> Report(WatchedPtr aWatched);
  Async<void> StopDisowned(WatchedPtr aWatched);  // stops attempts that were declared lost
  // Follows the ownership; returns whether this process may act on the worker. A new epoch begins
  // with an empty state and a worker that counts as full.
  bool Prepare(Watched& aWatched);
  void DropState(Watched& aWatched);
  void ApplyInventory(Watched& aWatched, const Inventory& aInventory, TimePoint aSentAt);
  void RecordEnds(Watched& aWatched, const std::vector<SupervisionState::Attempt>& aEnded);
  [[nodiscard]] Duration ComputePause(Watched& aWatched) const;  // until the next renewal
  // Returns the worker if this process may act on it; NotOwner otherwise.
  Result<WatchedPtr> FindOwned(const WorkerName& aWorker);
  Failure MakeNotOwner(const WorkerName& aWorker) const;  // its detail names the owner

  asio::any_io_executor mExecutor;
  Client& mClient;
  Peers& mPeers;
  const Ownership& mOwnership;
  Capacity& mCapacity;
  SupervisionSettings mSettings{};
  std::map<WorkerName, WatchedPtr> mWatched{};
  std::set<WorkerName> mDrained{};
  Quarantine mQuarantine{};
  RunEstimates mRuns{};  // how long the tasks of each job run
  bool mStopped = false;
};

}  // namespace monsoon

#include "controllers/supervision_impl.h"
