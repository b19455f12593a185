#include "controllers/grant_core.h"

#include <algorithm>

#include "policy/routing.h"

namespace monsoon {

namespace {

constexpr Duration kForgetInterval = seconds(10);
constexpr std::size_t kMaxPassed = 64;  // waiters passed over in one turn

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
    return MakeFailure(FailureKind::RateLimited, "too many requests wait here");
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

std::vector<WorkerView> GrantCore::ListUsable(const MayActOnWorker& aMayAct, TimePoint aNow)
{
  std::vector<WorkerView> views = mCapacity.ListViews();
  mOutliers.SetWorkerCount(views.size());
  std::erase_if(views, [&](const WorkerView& aView) {
    return !aView.mKnown || aView.mExcluded || aView.mFree.mSlots <= 0 ||
           !mOutliers.MayUse(aView.mSpec.mName, aNow) || !aMayAct(aView.mSpec.mName);
  });
  return views;
}

std::optional<Grant> GrantCore::TakeAny(const Waiter& aWaiter,
                                        std::vector<WorkerView>& aViews,
                                        const MayActOnWorker& aMayAct,
                                        TimePoint aNow)
{
  std::vector<WorkerView> views = aViews;
  while (const auto picked = PickSlotWorker(views, mTurn++)) {
    const WorkerName name = views[*picked].mSpec.mName;
    views.erase(views.begin() + static_cast<std::ptrdiff_t>(*picked));
    // The lease is looked at again: the last look may be many grants ago.
    const std::optional<Epoch> epoch = aMayAct(name);
    if (!epoch || !mOutliers.MayUse(name, aNow))
      continue;
    auto grant = mCapacity.With(name, [&](CapacityBook& aBook) -> Result<Grant> {
      if (aBook.FindEpoch(name) != epoch)
        return MakeFailure(FailureKind::Fenced, "the book has another epoch");
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
    // Conflict concerns this request only; anything else takes the worker out of this round.
    if (grant.error().mKind != FailureKind::Conflict)
      aViews.erase(view);
  }
  return std::nullopt;
}

std::vector<GivenSlot> GrantCore::Serve(const MayActOnWorker& aMayAct, TimePoint aNow)
{
  std::vector<GivenSlot> given;
  if (mQueue.Count() == 0)
    return given;
  ForgetOld(aNow);
  std::vector<WorkerView> views = ListUsable(aMayAct, aNow);
  std::set<Ticket> passed;  // nothing here suits them now
  while (!views.empty() && passed.size() < kMaxPassed) {
    const std::vector<Ticket> next = mQueue.ListNext(passed.size() + 1);
    const auto it = std::find_if(
      next.begin(), next.end(), [&](Ticket aTicket) { return !passed.contains(aTicket); });
    if (it == next.end())
      break;
    const Waiter waiter = *mQueue.Find(*it);
    auto grant = TakeAny(waiter, views, aMayAct, aNow);
    if (!grant) {
      passed.insert(*it);
      continue;
    }
    mQueue.Serve(*it);
    mLent[{ grant->mWorker.mName, grant->mId }] = { waiter.mCaller, aNow + grant->mExpiry * 2 };
    given.push_back({ *it, std::move(*grant) });
  }
  return given;
}

Result<void> GrantCore::Return(const GrantReturn& aReturn, TimePoint aNow)
{
  auto returned = mCapacity.With(
    aReturn.mWorker, [&](CapacityBook& aBook) { return aBook.ReturnSlot(aReturn, aNow); });
  if (!returned)
    return returned;
  const auto it = mLent.find({ aReturn.mWorker, aReturn.mId });
  if (it == mLent.end())
    return returned;
  mOutliers.Record(aReturn.mWorker, it->second.mCaller, aReturn.mEnd, aNow);
  mLent.erase(it);
  return returned;
}

void GrantCore::ForgetOld(TimePoint aNow)
{
  if (aNow - mForgotAt < kForgetInterval)
    return;
  mForgotAt = aNow;
  std::erase_if(mLent, [&](const auto& aEntry) { return aEntry.second.mForgetAt < aNow; });
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
