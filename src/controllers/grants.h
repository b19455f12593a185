// The owner's grant service: requests for a slot wait here until a slot is free, their wait time is
// over, or they are cancelled. Runs on one executor, which must be a single thread; OnSlotsChanged
// may be called from any thread.
#pragma once

#include <boost/asio/post.hpp>

#include <atomic>
#include <memory>

#include "controllers/grant_core.h"
#include "controllers/views.h"
#include "core/async.h"

namespace monsoon {

template<OwnershipView Ownership>
class GrantService : public std::enable_shared_from_this<GrantService<Ownership>>
{
public:
  GrantService(asio::any_io_executor aExecutor,
               ProcessName aSelf,
               CapacityShards& aCapacity,
               const Ownership& aOwnership,
               GrantSettings aSettings = {})
    : mExecutor(std::move(aExecutor))
    , mOwnership(aOwnership)
    , mCore(std::move(aSelf), aCapacity, std::move(aSettings))
  {
  }

  // Answers with a Grant, or fails: CapacityFull (no slot was free in time), NotOwner (this process
  // may act on no worker), Cancelled, RateLimited or Draining.
  Async<Result<PeerReply>> Request(GrantRequest aRequest)
  {
    auto self = this->shared_from_this();
    if (mDraining)
      co_return MakeFailure(FailureKind::Draining, "this process is stopping");
    if (!MayActOnAny())
      co_return MakeFailure(FailureKind::NotOwner, "this process may act on no worker");
    auto ticket = mCore.Push(aRequest, BootClock::now());
    if (!ticket)
      co_return ticket.error();
    auto waiting = std::make_shared<Waiting>(mExecutor);
    mWaiting.emplace(*ticket, waiting);
    ServeWaiters();
    if (!waiting->mResult && aRequest.mWait > Duration::zero()) {
      waiting->mTimer.expires_after(aRequest.mWait);
      [[maybe_unused]] auto [ec] = co_await waiting->mTimer.async_wait(kNoThrow);
    }
    mWaiting.erase(*ticket);
    mCore.Remove(*ticket);
    if (!waiting->mResult)
      co_return MakeFailure(FailureKind::CapacityFull, "no slot was free in time");
    co_return CheckAfterWait(std::move(*waiting->mResult));
  }

  Result<PeerReply> Return(const GrantReturn& aReturn)
  {
    auto returned = mCore.Return(aReturn, BootClock::now());
    OnSlotsChanged();
    if (!returned)
      return returned.error();
    return PeerReply(Done{});
  }

  // Cancels the request while it waits. A slot that was already granted is freed by its return or
  // expiry only: a late cancellation must not free a slot that a later request with the same id
  // uses.
  Result<PeerReply> Cancel(const GrantCancel& aCancel)
  {
    for (const Ticket ticket : mCore.FindByRequest(aCancel.mRequest)) {
      mCore.Remove(ticket);
      Finish(ticket, MakeFailure(FailureKind::Cancelled, "the request was cancelled"));
    }
    return PeerReply(Done{});
  }

  // Serves the waiting requests soon, because slots may have become free or ownership has changed.
  // May be called from any thread; calls before the posted handler runs are merged into one.
  void OnSlotsChanged()
  {
    if (mServePosted.exchange(true))
      return;
    // Posted, not called: the caller may hold a shard's lock or be inside a waiter's wake-up.
    asio::post(mExecutor, [weak = this->weak_from_this()] {
      auto self = weak.lock();
      if (!self)
        return;
      self->mServePosted = false;
      self->ServeWaiters();
    });
  }

  // Refuses new and waiting requests; existing grants stay valid.
  void Drain()
  {
    mDraining = true;
    FailAll(MakeFailure(FailureKind::Draining, "this process is stopping"));
  }

  [[nodiscard]] std::size_t CountWaiting() const noexcept { return mCore.CountWaiting(); }
  [[nodiscard]] GrantCore& GetCore() noexcept { return mCore; }

private:
  struct Waiting  // the timer expires when the wait is over, and is cancelled to wake the waiter
  {
    explicit Waiting(const asio::any_io_executor& aExecutor)
      : mTimer(aExecutor, asio::steady_timer::time_point::max())
    {
    }
    asio::steady_timer mTimer;
    std::optional<Result<Grant>> mResult{};
    TimePoint mGivenAt{};
  };

  bool MayActOnAny() const
  {
    const TimePoint now = BootClock::now();
    for (const WorkerName& it : mOwnership.ListOwnedWorkers())
      if (mOwnership.MayActOnWorker(it, now))
        return true;
    return false;
  }

  void FailAll(const Failure& aFailure)
  {
    const auto waiting = mWaiting;
    for (const auto& [ticket, it] : waiting) {
      mCore.Remove(ticket);
      Finish(ticket, aFailure);
    }
  }

  void ServeWaiters()
  {
    // Without a lease on any worker no request can be served here: fail them, so that they ask
    // another owner.
    if (!mWaiting.empty() && !MayActOnAny())
      return FailAll(MakeFailure(FailureKind::NotOwner, "this process may act on no worker"));
    const TimePoint now = BootClock::now();
    const auto mayAct = [&](const WorkerName& aWorker) {
      return mOwnership.MayActOnWorker(aWorker, BootClock::now());
    };
    for (GivenSlot& it : mCore.Serve(mayAct, now))
      Finish(it.mTicket, std::move(it.mGrant));
  }

  void Finish(Ticket aTicket, Result<Grant> aResult)
  {
    const auto it = mWaiting.find(aTicket);
    if (it == mWaiting.end())
      return GiveBack(aResult);
    it->second->mResult = std::move(aResult);
    it->second->mTimer.cancel();
    mWaiting.erase(it);
  }

  void GiveBack(const Result<Grant>& aResult)
  {
    if (!aResult)
      return;
    const GrantReturn unused{ aResult->mId, aResult->mWorker.mName, aResult->mEpoch };
    mCore.Return(unused, BootClock::now());
  }

  // Returns the grant if this process still owns the worker. It may have been frozen between the
  // grant and this wake-up until its lease expired.
  Result<PeerReply> CheckAfterWait(Result<Grant> aResult)
  {
    if (!aResult)
      return aResult.error();
    const auto epoch = mOwnership.MayActOnWorker(aResult->mWorker.mName, BootClock::now());
    if (epoch == aResult->mEpoch)
      return PeerReply(std::move(*aResult));
    GiveBack(aResult);
    return MakeFailure(FailureKind::NotOwner,
                       aResult->mWorker.mName + " is not owned by this process any more");
  }

  asio::any_io_executor mExecutor;
  const Ownership& mOwnership;
  GrantCore mCore;
  std::map<Ticket, std::shared_ptr<Waiting>> mWaiting{};
  std::atomic<bool> mServePosted = false;
  bool mDraining = false;
};

}  // namespace monsoon
