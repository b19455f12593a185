// Runs a SessionState against the store, and the outage promises against the peers. Everything but
// MayAct and GetIncarnation belongs to one thread.
#pragma once

#include <set>

#include "controllers/promises.h"
#include "controllers/session.h"

namespace monsoon {

// Gives up waiting after aDeadline; the call itself goes on, and its late answer is dropped.
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
  if (!shared->mResult)  // the call may have completed without waiting
    co_await shared->mTimer.async_wait(kNoThrow);
  if (shared->mResult)
    co_return std::move(*shared->mResult);
  co_return MakeFailure(aTimeoutKind, "no answer from the store in time");
}

template<Store StoreType, PeerCaller Peers>
class Session
{
public:
  // aPeers: every other process of the settings. aNonce: random per start.
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

  Async<void> Run();          // renews until Stop or until a requested end stands
  Async<void> RunPromises();  // asks the peers while the store is out
  void Stop() { mStopped = true; }
  // Planned stop, after everything was handed over: others need not wait out the lease.
  Async<Result<void>> EndWithin(Duration aDeadline);

  // Answer to a peer's OutagePromiseRequest.
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
      co_await Sleep(std::min(action.mDelay, kMaxSleep));  // short: a poke or an end may come
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
    co_return MakeFailure(FailureKind::Timeout, "the session lapses by itself");
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

// The first announcement counts once any peer has taken it; the second only when one of those says
// that it knew.
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
  // Without peers nobody has promised anything to a predecessor either.
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
