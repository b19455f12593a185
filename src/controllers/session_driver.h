// Runs a SessionState against the store and requests outage promises from the peers. Call
// everything but MayAct and GetIncarnation on one thread.
#pragma once

#include <set>

#include "controllers/promises.h"
#include "controllers/session.h"

namespace monsoon {

// Waits for aCall at most aDeadline, then returns aTimeoutKind. The call itself goes on; its late
// result is dropped.
template<class T>
Async<Result<T>> WithDeadline(Async<Result<T>> aCall, Duration aDeadline, FailureKind aTimeoutKind)
{
  struct Shared
  {
    Shared(const asio::any_io_executor& aExecutor, Duration aWait)
      : mTimer(aExecutor, aWait)
    {
    }
    std::optional<Result<T>> mResult{};
    asio::steady_timer mTimer;
  };
  const auto executor = co_await asio::this_coro::executor;
  auto shared = std::make_shared<Shared>(executor, aDeadline);
  auto run = [](std::shared_ptr<Shared> aShared, Async<Result<T>> aInner) -> Async<void> {
    aShared->mResult = co_await std::move(aInner);
    aShared->mTimer.cancel();
  };
  asio::co_spawn(executor, run(shared, std::move(aCall)), asio::detached);
  if (!shared->mResult)  // co_spawn may have completed the call already
    co_await shared->mTimer.async_wait(kNoThrow);
  if (shared->mResult)
    co_return std::move(*shared->mResult);
  co_return MakeFailure(aTimeoutKind, "the store did not answer in time");
}

template<Store StoreType, PeerCaller Peers>
class Session
{
public:
  // aPeers: all other processes listed in the settings. aNonce: random per start.
  Session(StoreType& aStore,
          Peers& aPeerCalls,
          ProcessName aSelf,
          std::vector<ProcessName> aPeers,
          SessionSettings aSettings,
          std::uint64_t aNonce)
    : mStore(aStore)
    , mPeers(aPeerCalls)
    , mSelf(aSelf)
    , mSettings(aSettings)
    , mState(std::move(aSelf), aSettings, aNonce)
    , mIssuer(aSettings, BootClock::now())
    , mCollector(std::move(aPeers), aSettings)
  {
  }

  Async<void> Run();          // renews the lease until Stop or until the session has ended
  Async<void> RunPromises();  // requests promises while the store is unavailable; until Stop
  void Stop() { mStopped = true; }
  // Ends the session for a planned stop, after everything was handed over, so that other processes
  // need not wait until the lease has expired.
  Async<Result<void>> EndWithin(Duration aDeadline);

  // Answers a peer's OutagePromiseRequest, and renews the lease soon to learn whether the store is
  // unavailable here too.
  OutagePromise OnPromiseRequest(const OutagePromiseRequest& aRequest)
  {
    const TimePoint now = BootClock::now();
    if (mState.IsStoreReachable(now))
      mState.RequestRenewal(now);
    return mIssuer.Answer(aRequest, !mState.IsStoreReachable(now), now);
  }

  // Any thread
  [[nodiscard]] bool MayAct(TimePoint aNow) const noexcept { return mState.MayAct(aNow); }
  [[nodiscard]] std::uint64_t GetIncarnation() const noexcept { return mState.GetIncarnation(); }

  [[nodiscard]] bool IsStoreReachable() const noexcept
  {
    return mState.IsStoreReachable(BootClock::now());
  }
  [[nodiscard]] bool IsEnded() const noexcept { return mState.IsEnded(); }
  [[nodiscard]] PromiseIssuer& GetPromiseIssuer() noexcept { return mIssuer; }

private:
  Async<void> Execute(SessionAction aAction);
  Async<void> Announce(std::uint64_t aIncarnation);
  Async<void> RequestPromise(std::uint64_t aRound,
                             ProcessName aPeer,
                             OutagePromiseRequest aRequest);
  [[nodiscard]] bool NeedsPromises(TimePoint aNow) const;

  static constexpr Duration kMaxSleep = milliseconds(50);
  static constexpr Duration kPromiseRequestInterval = milliseconds(200);
  static constexpr Duration kPeerCallTimeout = milliseconds(500);

  StoreType& mStore;
  Peers& mPeers;
  ProcessName mSelf;
  SessionSettings mSettings;
  SessionState mState;
  PromiseIssuer mIssuer;
  PromiseCollector mCollector;
  std::set<ProcessName> mAnnouncedTo{};
  std::atomic<bool> mStopped = false;
};

template<Store StoreType, PeerCaller Peers>
Async<void> Session<StoreType, Peers>::Run()
{
  while (!mStopped && !mState.IsEnded()) {
    const SessionAction action = mState.Next(BootClock::now());
    if (action.mStep == SessionStep::Wait)
      co_await Sleep(std::min(action.mDelay, kMaxSleep));  // a renewal or end may be requested
    else
      co_await Execute(action);
  }
}

template<Store StoreType, PeerCaller Peers>
Async<Result<void>> Session<StoreType, Peers>::EndWithin(Duration aDeadline)
{
  mState.RequestEnd();
  const TimePoint deadline = BootClock::now() + aDeadline;
  while (!mState.IsEnded() && BootClock::now() < deadline)
    co_await Sleep(milliseconds(10));
  if (!mState.IsEnded())
    co_return MakeFailure(FailureKind::Timeout,
                          "the session was not ended in time; its lease will expire");
  co_return Result<void>();
}

template<Store StoreType, PeerCaller Peers>
Async<void> Session<StoreType, Peers>::Execute(SessionAction aAction)
{
  const std::string key = MakeSessionKey(mSelf);
  const Duration timeout = mSettings.mCallTimeout;
  if (aAction.mStep == SessionStep::Read) {
    auto call = mStore.Get(key, CallPurpose::Session);
    const auto read = co_await WithDeadline(std::move(call), timeout, FailureKind::Timeout);
    mState.OnRead(read, BootClock::now());
  } else if (aAction.mStep == SessionStep::Create) {
    auto call = mStore.Create(key, aAction.mValue, CallPurpose::Session);
    const auto done = co_await WithDeadline(std::move(call), timeout, FailureKind::WriteUnknown);
    mState.OnWritten(done, BootClock::now());
  } else if (aAction.mStep == SessionStep::Swap) {
    auto call = mStore.CompareAndSwap(key, aAction.mValue, aAction.mRevision, CallPurpose::Session);
    const auto done = co_await WithDeadline(std::move(call), timeout, FailureKind::WriteUnknown);
    mState.OnWritten(done, BootClock::now());
  } else {
    co_await Announce(aAction.mIncarnation);
  }
}

// Sends aIncarnation to all peers. The first announcement counts once any peer has received it; the
// second confirms the first only when one of those peers answers that it already knew.
template<Store StoreType, PeerCaller Peers>
Async<void> Session<StoreType, Peers>::Announce(std::uint64_t aIncarnation)
{
  OutagePromiseRequest request;
  request.mFrom = mSelf;
  request.mIncarnation = aIncarnation;
  std::set<ProcessName> reached;
  bool knew = false;
  for (const ProcessName& peer : mCollector.ListPeers()) {
    const auto reply = co_await mPeers.Call(peer, request, kPeerCallTimeout);
    if (!reply)
      continue;
    reached.insert(peer);
    const auto* promise = std::get_if<OutagePromise>(&*reply);
    knew = knew || (promise != nullptr && promise->mPromised && mAnnouncedTo.contains(peer));
  }
  mAnnouncedTo = reached;
  // Without peers there are no promises to a previous holder either.
  if (!reached.empty() || mCollector.ListPeers().empty())
    mState.OnAnnounced(knew || mCollector.ListPeers().empty());
}

template<Store StoreType, PeerCaller Peers>
bool Session<StoreType, Peers>::NeedsPromises(TimePoint aNow) const
{
  if (!mSettings.mExtendByPromises || mCollector.ListPeers().empty() ||
      mState.GetIncarnation() == 0)
    return false;
  if (mState.IsStoreReachable(aNow) || !mState.MayAct(aNow))
    return false;
  return mState.GetDeadline() - aNow < mSettings.mLease - mSettings.mRenewEvery;
}

template<Store StoreType, PeerCaller Peers>
Async<void> Session<StoreType, Peers>::RunPromises()
{
  while (!mStopped) {
    const TimePoint now = BootClock::now();
    if (NeedsPromises(now)) {
      OutagePromiseRequest request;
      request.mFrom = mSelf;
      request.mIncarnation = mState.GetIncarnation();
      request.mFor = mSettings.mLease;
      const std::uint64_t round = mCollector.BeginRound(request.mIncarnation, now);
      const auto executor = co_await asio::this_coro::executor;
      for (const ProcessName& peer : mCollector.ListPeers())
        asio::co_spawn(executor, RequestPromise(round, peer, request), asio::detached);
    }
    co_await Sleep(kPromiseRequestInterval);
  }
}

template<Store StoreType, PeerCaller Peers>
Async<void> Session<StoreType, Peers>::RequestPromise(std::uint64_t aRound,
                                                      ProcessName aPeer,
                                                      OutagePromiseRequest aRequest)
{
  const auto reply = co_await mPeers.Call(aPeer, aRequest, kPeerCallTimeout);
  const auto* promise = reply ? std::get_if<OutagePromise>(&*reply) : nullptr;
  const auto until = mCollector.OnAnswer(aRound, aPeer, promise != nullptr && promise->mPromised);
  if (until)
    mState.Extend(aRequest.mIncarnation, *until, BootClock::now());
}

}  // namespace monsoon
