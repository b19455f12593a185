#include "controllers/grant_core.h"

#include <algorithm>

#include "policy/routing.h"

namespace monsoon {

namespace {

constexpr Duration kCleanupInterval = seconds(10);
constexpr std::size_t kMaxSkipped = 64;  // waiters that one Serve may skip

}  // namespace

GrantCore::GrantCore(ProcessName aSelf, CapacityShards& aCapacity, GrantSettings aSettings)
  : mSelf(std::move(aSelf))
  , mCapacity(aCapacity)
  , mSettings(std::move(aSettings))
  , mQueue(mSettings.mFairness)
  , mOutliers(mSettings.mOutlier)
{
}

Result<Ticket> GrantCore::Push(const GrantRequest& aRequest, TimePoint aNow)
{
  if (mQueue.Count() >= mSettings.mMaxWaiting)
    return MakeFailure(FailureKind::RateLimited, "too many requests are waiting at this process");
  Waiter waiter{ .mRequest = aRequest.mRequest,
                 .mCaller = aRequest.mCaller,
                 .mPriority = aRequest.mPriority,
                 .mDeadline = aNow + aRequest.mWait,
                 .mArrivedAt = aNow - aRequest.mAge,
                 .mHold = std::min(aRequest.mHold, mSettings.mMaxHold) };
  return mQueue.Push(std::move(waiter));
}

bool GrantCore::Remove(Ticket aTicket)
{
  return mQueue.Remove(aTicket);
}

std::vector<Ticket> GrantCore::FindByRequest(const RequestId& aRequest) const
{
  return mQueue.FindByRequest(aRequest);
}

std::vector<WorkerView> GrantCore::ListUsableWorkers(const MayActOnWorker& aMayAct, TimePoint aNow)
{
  std::vector<WorkerView> views = mCapacity.ListViews();
  mOutliers.SetWorkerCount(views.size());
  std::erase_if(views, [&](const WorkerView& aView) {
    return !aView.mKnown || aView.mExcluded || aView.mFree.mSlots <= 0 ||
           !mOutliers.MayUse(aView.mSpec.mName, aNow) || !aMayAct(aView.mSpec.mName);
  });
  return views;
}

std::optional<Grant> GrantCore::TakeSlotFromAny(const Waiter& aWaiter,
                                                std::vector<WorkerView>& aViews,
                                                const MayActOnWorker& aMayAct,
                                                TimePoint aNow)
{
  std::vector<WorkerView> views = aViews;
  while (const auto picked = PickSlotWorker(views, mTurn++)) {
    const WorkerName name = views[*picked].mSpec.mName;
    views.erase(views.begin() + static_cast<std::ptrdiff_t>(*picked));
    // Ownership is checked again: many grants may have been made since the last check.
    const std::optional<Epoch> epoch = aMayAct(name);
    if (!epoch || !mOutliers.MayUse(name, aNow))
      continue;
    auto grant = mCapacity.With(name, [&](CapacityBook& aBook) -> Result<Grant> {
      if (aBook.FindEpoch(name) != epoch)
        return MakeFailure(FailureKind::Fenced, "the worker is tracked under another epoch");
      return aBook.TakeSlot(name, aWaiter.mRequest, aWaiter.mHold, aNow);
    });
    const auto view = std::find_if(aViews.begin(), aViews.end(), [&](const WorkerView& aView) {
      return aView.mSpec.mName == name;
    });
    if (grant) {
      if (--view->mFree.mSlots <= 0)
        aViews.erase(view);
      mOutliers.BeginProbe(name, aNow);
      grant->mOwner = mSelf;
      return *grant;
    }
    // A conflict concerns this request only. Any other failure excludes the worker from this Serve.
    if (grant.error().mKind != FailureKind::Conflict)
      aViews.erase(view);
  }
  return std::nullopt;
}

std::vector<GivenSlot> GrantCore::Serve(const MayActOnWorker& aMayAct, TimePoint aNow)
{
  std::vector<GivenSlot> granted;
  if (mQueue.Count() == 0)
    return granted;
  DropOldGrants(aNow);
  std::vector<WorkerView> views = ListUsableWorkers(aMayAct, aNow);
  std::set<Ticket> skipped;  // waiters that no worker can serve now
  while (!views.empty() && skipped.size() < kMaxSkipped) {
    const std::vector<Ticket> next = mQueue.ListNext(skipped.size() + 1);
    const auto it = std::find_if(
      next.begin(), next.end(), [&](Ticket aTicket) { return !skipped.contains(aTicket); });
    if (it == next.end())
      break;
    const Waiter waiter = *mQueue.Find(*it);
    auto grant = TakeSlotFromAny(waiter, views, aMayAct, aNow);
    if (!grant) {
      skipped.insert(*it);
      continue;
    }
    mQueue.Serve(*it);
    mGrants[{ grant->mWorker.mName, grant->mId }] = { waiter.mCaller, aNow + grant->mExpiry * 2 };
    granted.push_back({ *it, std::move(*grant) });
  }
  return granted;
}

Result<void> GrantCore::Return(const GrantReturn& aReturn, TimePoint aNow)
{
  auto returned = mCapacity.With(
    aReturn.mWorker, [&](CapacityBook& aBook) { return aBook.ReturnSlot(aReturn, aNow); });
  if (!returned)
    return returned;
  const auto it = mGrants.find({ aReturn.mWorker, aReturn.mId });
  if (it == mGrants.end())
    return returned;
  mOutliers.Record(aReturn.mWorker, it->second.mCaller, aReturn.mEnd, aNow);
  mGrants.erase(it);
  return returned;
}

void GrantCore::DropOldGrants(TimePoint aNow)
{
  if (aNow - mLastCleanup < kCleanupInterval)
    return;
  mLastCleanup = aNow;
  std::erase_if(mGrants, [&](const auto& aEntry) { return aEntry.second.mDropAt < aNow; });
}

std::size_t GrantCore::CountWaiting() const noexcept
{
  return mQueue.Count();
}

const OutlierTable& GrantCore::GetOutliers() const noexcept
{
  return mOutliers;
}

}  // namespace monsoon
