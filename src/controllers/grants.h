// The owner's desk for grants: requests for a slot wait here until one is free, their time is up,
// or they are withdrawn. Runs on one executor, which is one thread; OnSlotsChanged may be called
// from any thread.
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

  // Answers Grant, CapacityFull (nothing free in time), NotOwner (no worker that it may act on),
  // Cancelled, RateLimited or Draining.
  Async<Result<PeerReply>> Request(GrantRequest aRequest)
  {
    auto self = this->shared_from_this();
    if (mDraining)
      co_return MakeFailure(FailureKind::Draining, "this process is stopping");
    if (!MayActOnAny())
      co_return MakeFailure(FailureKind::NotOwner, "no worker of this process");
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

  // Withdraws what waits. A slot already given is freed by its return or expiry only: a cancel that
  // arrives late must not free a slot that a later request of the same name is using.
  Result<PeerReply> Cancel(const GrantCancel& aCancel)
  {
    for (const Ticket ticket : mCore.FindByRequest(aCancel.mRequest)) {
      mCore.Remove(ticket);
      Finish(ticket, MakeFailure(FailureKind::Cancelled, "withdrawn"));
    }
    return PeerReply(Done{});
  }

  // Slots may have become free, or ownership has changed. Any thread; many calls make one turn.
  void OnSlotsChanged()
  {
    if (mTurnPosted.exchange(true))
      return;
    // A turn of its own: the caller may be inside a shard's use or a waiter's wake-up.
    asio::post(mExecutor, [weak = this->weak_from_this()] {
      auto self = weak.lock();
      if (!self)
        return;
      self->mTurnPosted = false;
      self->ServeWaiters();
    });
  }

  // Refuses new requests and those that wait; grants given go on.
  void Drain()
  {
    mDraining = true;
    FailAll(MakeFailure(FailureKind::Draining, "this process is stopping"));
  }

  [[nodiscard]] std::size_t CountWaiting() const noexcept { return mCore.CountWaiting(); }
  [[nodiscard]] GrantCore& GetCore() noexcept { return mCore; }

private:
  struct Waiting  // its timer's expiry is the end of the wait; its cancellation is the wake-up
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
    // Without a lease on any worker nobody here can be served: they had better ask elsewhere.
    if (!mWaiting.empty() && !MayActOnAny())
      return FailAll(MakeFailure(FailureKind::NotOwner, "no worker of this process"));
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

  // Between the grant and this wake-up the process may have been frozen past its lease.
  Result<PeerReply> CheckAfterWait(Result<Grant> aResult)
  {
    if (!aResult)
      return aResult.error();
    const auto epoch = mOwnership.MayActOnWorker(aResult->mWorker.mName, BootClock::now());
    if (epoch == aResult->mEpoch)
      return PeerReply(std::move(*aResult));
    GiveBack(aResult);
    return MakeFailure(FailureKind::NotOwner, aResult->mWorker.mName + " is owned no more");
  }

  asio::any_io_executor mExecutor;
  const Ownership& mOwnership;
  GrantCore mCore;
  std::map<Ticket, std::shared_ptr<Waiting>> mWaiting{};
  std::atomic<bool> mTurnPosted = false;
  bool mDraining = false;
};

}  // namespace monsoon
