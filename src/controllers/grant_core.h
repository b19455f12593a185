// The owner's side of grants, without I/O: the queue, the choice of the worker, the outcomes. One
// thread at a time; time is passed in.
#pragma once

#include <functional>
#include <unordered_map>

#include "controllers/capacity.h"
#include "policy/fairness.h"
#include "policy/outlier.h"

namespace monsoon {

struct GrantSettings
{
  std::size_t mMaxWaiting = 10000;   // further requests are refused: RateLimited
  Duration mMaxHold = seconds(120);  // a grant is never longer
  FairnessSettings mFairness{};
  OutlierSettings mOutlier{};
};

struct GivenSlot
{
  Ticket mTicket = 0;
  Grant mGrant{};
};

// The epoch of a worker that this process may act on now; nothing otherwise.
using MayActOnWorker = std::function<std::optional<Epoch>(const WorkerName& aWorker)>;

class GrantCore
{
public:
  GrantCore(ProcessName aSelf, CapacityShards& aCapacity, GrantSettings aSettings = {});

  Result<Ticket> Push(const GrantRequest& aRequest, TimePoint aNow);
  bool Remove(Ticket aTicket);
  [[nodiscard]] std::vector<Ticket> FindByRequest(const RequestId& aRequest) const;
  // Gives free slots to those who wait, in order, until one of both runs out.
  std::vector<GivenSlot> Serve(const MayActOnWorker& aMayAct, TimePoint aNow);
  Result<void> Return(const GrantReturn& aReturn, TimePoint aNow);
  [[nodiscard]] std::size_t CountWaiting() const noexcept;
  [[nodiscard]] const OutlierTable& GetOutliers() const noexcept;

private:
  struct Lent
  {
    std::string mCaller{};
    TimePoint mForgetAt{};
  };
  using LentKey = std::pair<WorkerName, GrantId>;

  std::vector<WorkerView> ListUsable(const MayActOnWorker& aMayAct, TimePoint aNow);
  std::optional<Grant> TakeAny(const Waiter& aWaiter,
                               std::vector<WorkerView>& aViews,
                               const MayActOnWorker& aMayAct,
                               TimePoint aNow);
  void ForgetOld(TimePoint aNow);

  ProcessName mSelf;
  CapacityShards& mCapacity;
  GrantSettings mSettings;
  WaitingQueue mQueue;
  OutlierTable mOutliers;
  std::map<LentKey, Lent> mLent{};  // whose outcome a return tells
  TimePoint mForgotAt{};
  std::size_t mTurn = 0;
};

}  // namespace monsoon
