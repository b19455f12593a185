// The owner's side of grants, without I/O: queues the waiting requests, chooses workers for them
// and records the outcomes. Used by one thread at a time; the caller passes the time.
#pragma once

#include <functional>
#include <unordered_map>

#include "controllers/capacity.h"
#include "policy/fairness.h"
#include "policy/outlier.h"

namespace monsoon {

struct GrantSettings
{
  std::size_t mMaxWaiting = 10000;   // in the queue; further requests get RateLimited
  Duration mMaxHold = seconds(120);  // longest duration of a grant
  FairnessSettings mFairness{};
  OutlierSettings mOutlier{};
};

struct GivenSlot  // a slot granted to a waiting request
{
  Ticket mTicket = 0;
  Grant mGrant{};
};

// Returns the epoch of a worker that this process may act on now; std::nullopt for any other.
using MayActOnWorker = std::function<std::optional<Epoch>(const WorkerName& aWorker)>;

class GrantCore
{
public:
  GrantCore(ProcessName aSelf, CapacityShards& aCapacity, GrantSettings aSettings = {});

  // Queues a request. RateLimited: the queue is full.
  Result<Ticket> Push(const GrantRequest& aRequest, TimePoint aNow);
  bool Remove(Ticket aTicket);
  [[nodiscard]] std::vector<Ticket> FindByRequest(const RequestId& aRequest) const;
  // Grants free slots to the waiting requests, in the queue's order, until either runs out.
  std::vector<GivenSlot> Serve(const MayActOnWorker& aMayAct, TimePoint aNow);
  // Returns a slot to the worker's ledger and counts its outcome for outlier detection.
  Result<void> Return(const GrantReturn& aReturn, TimePoint aNow);
  [[nodiscard]] std::size_t CountWaiting() const noexcept;
  [[nodiscard]] const OutlierTable& GetOutliers() const noexcept;

private:
  struct GrantRecord
  {
    std::string mCaller{};
    TimePoint mDropAt{};
  };
  using GrantKey = std::pair<WorkerName, GrantId>;

  // Lists the workers with a free slot that outlier detection and ownership allow to use.
  std::vector<WorkerView> ListUsableWorkers(const MayActOnWorker& aMayAct, TimePoint aNow);
  // Takes a slot for aWaiter on one of aViews, and removes from aViews workers that have none left.
  std::optional<Grant> TakeSlotFromAny(const Waiter& aWaiter,
                                       std::vector<WorkerView>& aViews,
                                       const MayActOnWorker& aMayAct,
                                       TimePoint aNow);
  void DropOldGrants(TimePoint aNow);

  ProcessName mSelf;
  CapacityShards& mCapacity;
  GrantSettings mSettings;
  WaitingQueue mQueue;
  OutlierTable mOutliers;
  std::map<GrantKey, GrantRecord> mGrants{};  // not returned yet; Return records their outcome
  TimePoint mLastCleanup{};
  std::size_t mTurn = 0;  // counts choices of a worker
};

}  // namespace monsoon
