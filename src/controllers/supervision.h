// Supervision of the workers that this process owns: answers placement, starts and stops tasks,
// renews their leases, reads inventories and reports ends until they are journaled.
//
// Everything runs on the one executor that is passed in; the capacity book has locks of its own.
// One coroutine watches each worker, so that a silent worker delays no other.
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

// CapacityAccess: the book under its locks, as CapacityShards gives it.
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
  Duration mInterval = seconds(1);                // between renewals of one worker
  Duration mShortestInterval = milliseconds(20);  // however many tasks end
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
  void PutWorker(const WorkerSpec& aSpec);                // seen in the VM list; starts watching it
  void SetDrained(const std::set<WorkerName>& aDrained);  // leaving or drained: no new work
  void RefreshInventory(const WorkerName& aWorker);       // read its inventory now
  void Stop();

  // Requests of other processes
  Async<Result<PeerReply>> Handle(FitQuery aQuery);
  Async<Result<PeerReply>> Handle(HoldRequest aRequest);
  Async<Result<PeerReply>> Handle(HoldRelease aRelease);
  Async<Result<PeerReply>> Handle(TaskStart aStart);
  Async<Result<PeerReply>> Handle(TaskStop aStop);
  Async<Result<PeerReply>> Handle(TaskQuery aQuery);

private:
  struct Watched
  {
    explicit Watched(const asio::any_io_executor& aExecutor)
      : mTimer(aExecutor)
    {
    }
    WorkerSpec mSpec{};
    std::unique_ptr<SupervisionState> mState{};  // none: not owned, or fenced
    Epoch mFencedEpoch = 0;                      // a higher epoch was seen while we had this one
    std::multiset<TimePoint> mExpectedEnds{};
    asio::steady_timer mTimer;  // cancelled to wake the watch
    bool mKicked = false;
    bool mReporting = false;
  };
  using WatchedPtr = std::shared_ptr<Watched>;

  Async<void> Watch(WatchedPtr aWatched);
  Async<void> Renew(WatchedPtr aWatched);
  Async<void> Report(WatchedPtr aWatched);
  Async<void> StopDisowned(WatchedPtr aWatched);
  bool Prepare(Watched& aWatched);
  void DropState(Watched& aWatched);
  void ApplyInventory(Watched& aWatched, const Inventory& aInventory, TimePoint aSentAt);
  void NoteEnds(Watched& aWatched, const std::vector<SupervisionState::Attempt>& aEnded);
  [[nodiscard]] Duration ComputePause(Watched& aWatched) const;
  Result<WatchedPtr> FindActing(const WorkerName& aWorker);
  Failure MakeNotOwner(const WorkerName& aWorker) const;

  asio::any_io_executor mExecutor;
  Client& mClient;
  Peers& mPeers;
  const Ownership& mOwnership;
  Capacity& mCapacity;
  SupervisionSettings mSettings{};
  std::map<WorkerName, WatchedPtr> mWatched{};
  std::set<WorkerName> mDrained{};
  Quarantine mQuarantine{};
  RunEstimates mRuns{};
  bool mStopped = false;
};

}  // namespace monsoon

#include "controllers/supervision_impl.h"
