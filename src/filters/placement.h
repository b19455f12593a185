// Placement: gets a slot for the request. Late binding: reservations wait at several owners, and
// the first grant is used. The other reservations are cancelled; a grant that crosses its
// cancellation is returned at once.
//
// Outcomes: not_run or, after an attempt in doubt, unknown (capacity_full, not_ready).
#pragma once

#include <set>

#include "filters/background.h"
#include "observe/log.h"

namespace monsoon {

template<class Environment>
struct PlacementFilter
{
  static constexpr std::array kOutcomes{
    FilterOutcome{ Outcome::NotRun, FailureKind::CapacityFull },
    FilterOutcome{ Outcome::NotRun, FailureKind::NotReady },
    FilterOutcome{ Outcome::Unknown, FailureKind::CapacityFull },
    FilterOutcome{ Outcome::Unknown, FailureKind::NotReady },
  };

  Environment mEnvironment;

  Async<FilterStep> Enter(RequestContext& aContext)
  {
    aContext.mMachine.Reserve();
    const TimePoint began = BootClock::now();
    auto grant = co_await Place(aContext);
    const TimePoint now = BootClock::now();
    mEnvironment.mShared.RecordWait(aContext.mSpec.mPriority, now - began, now);
    if (!grant)
      co_return StopRequest(aContext, grant.error().mKind, grant.error().mDetail);
    aContext.mMachine.Grant();
    aContext.mGrant = std::move(*grant);
    co_return FilterStep::Next;
  }

  Async<void> Leave(RequestContext&) { co_return; }

private:
  static constexpr Duration kInitialBackoff = milliseconds(5);  // after no owner granted a slot
  static constexpr Duration kMaxBackoff = milliseconds(100);
  static constexpr Duration kReplySlack =
    milliseconds(200);  // for the reply after the longest wait

  struct Race  // concurrent reservations of one request
  {
    explicit Race(const asio::any_io_executor& aExecutor)
      : mWake(aExecutor)
    {
    }
    asio::steady_timer mWake;  // cancelled to wake RunRace
    std::optional<Grant> mWinner{};
    std::set<ProcessName> mPendingOwners{};  // owners that have not replied
    bool mClosed = false;                    // RunRace has returned: send any further grant back
  };

  // Reserves a slot at one owner. The first grant becomes the winner, later ones are returned.
  static Async<void> Reserve(Environment aEnvironment,
                             std::shared_ptr<Race> aRace,
                             ProcessName aOwner,
                             GrantRequest aGrantRequest)
  {
    const PeerRequest request(aGrantRequest);
    auto reply =
      co_await aEnvironment.mPeers.Call(aOwner, request, aGrantRequest.mWait + kReplySlack);
    aRace->mPendingOwners.erase(aOwner);
    Grant* const grant = reply ? std::get_if<Grant>(&*reply) : nullptr;
    if (grant == nullptr) {
      aRace->mWake.cancel();
      co_return;
    }
    if (aRace->mClosed || aRace->mWinner) {
      const Grant crossed = *grant;
      co_await ReturnGrant(aEnvironment, crossed, GrantEnd::Unused);
      co_return;
    }
    aRace->mWinner = *grant;
    aRace->mWake.cancel();
  }

  std::vector<OwnerView> ListOwners() const
  {
    const std::vector<ProcessName> owners = mEnvironment.mOwnership.ListOwners();
    const std::vector<MemberView> members = mEnvironment.mMembership.ListMembers();
    std::vector<OwnerView> views;
    for (const ProcessName& it : owners) {
      OwnerView view{ .mName = it, .mUsable = it == mEnvironment.mSettings.mSelf };
      if (view.mUsable)
        view.mZone = mEnvironment.mSettings.mZone;
      for (const MemberView& member : members) {
        if (member.mName != it)
          continue;
        view.mZone = member.mZone;
        // A process that is leaving serves grants until it has handed its workers over.
        view.mUsable = view.mUsable || member.mAlive;
        view.mFreeSlots = member.mFreeSlots;
      }
      views.push_back(std::move(view));
    }
    return views;
  }

  // Returns the owners to ask, step by step, by the current settings and membership.
  std::vector<RouteStep> PlanRoute() const
  {
    RoutingSettings routing = mEnvironment.mSettings.mRouting;
    const auto configuration = mEnvironment.mConfiguration.GetConfiguration();
    if (configuration) {
      const auto it = configuration->mSettings.find("routing");
      if (it != configuration->mSettings.end())
        routing.mRouting = ParseRouting(it->second).value_or(routing.mRouting);
    }
    RandomSource random(mEnvironment.mShared.MakeSeed());
    const std::vector<OwnerView> owners = ListOwners();
    return MakeRoute(
      owners, mEnvironment.mSettings.mSelf, mEnvironment.mSettings.mZone, routing, random);
  }

  // Tries to get a slot until the deadline. When all owners refuse, or during a takeover, waits for
  // the backoff and plans the route anew from the current ownership.
  Async<Result<Grant>> Place(RequestContext& aContext)
  {
    Duration backoff = kInitialBackoff;
    bool hasOwner = false;
    while (aContext.GetTimeLeft(BootClock::now()) > mEnvironment.mSettings.mRetry.mMinTimeLeft) {
      const std::vector<RouteStep> steps = PlanRoute();
      hasOwner = !steps.empty();
      if (hasOwner) {
        auto grant = co_await RunRace(aContext, steps);
        if (grant) {
          LogRoute(aContext, *grant, steps);
          co_return std::move(*grant);
        }
      }
      co_await Sleep(std::min(backoff, aContext.GetTimeLeft(BootClock::now())));
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
    if (!hasOwner)
      co_return MakeFailure(FailureKind::NotReady,
                            "no live process owned a worker before the deadline");
    co_return MakeFailure(FailureKind::CapacityFull, "no slot was free before the deadline");
  }

  // Logs the grant and, as passed_over, the other owners of the route in the order planned. Those
  // were slower, full or not asked.
  void LogRoute(const RequestContext& aContext,
                const Grant& aGrant,
                const std::vector<RouteStep>& aSteps) const
  {
    if (!IsLogEnabled(LogPart::Route, LogLevel::Info))
      return;
    std::string others;
    for (const RouteStep& step : aSteps)
      for (const ProcessName& it : step.mOwners)
        if (it != aGrant.mOwner)
          others += (others.empty() ? "" : ",") + it;
    Log(LogPart::Route,
        LogLevel::Info,
        "slot granted",
        { { "request", aContext.mSpec.mId },
          { "worker", aGrant.mWorker.mName },
          { "owner", aGrant.mOwner },
          { "waited_ms", BootClock::now() - aContext.mArrivedAt },
          { "passed_over", others } });
  }

  // Sends reservations step by step and returns the first grant, or std::nullopt if every owner
  // refused or the deadline passed. Cancels the reservations that are still pending.
  Async<std::optional<Grant>> RunRace(RequestContext& aContext,
                                      const std::vector<RouteStep>& aSteps)
  {
    const auto executor = co_await asio::this_coro::executor;
    auto race = std::make_shared<Race>(executor);
    const TimePoint began = BootClock::now();
    std::size_t next = 0;
    while (!race->mWinner) {
      const TimePoint now = BootClock::now();
      if (now >= aContext.mDeadline)
        break;
      // The next step starts early when no reservation is pending.
      if (next < aSteps.size() &&
          (race->mPendingOwners.empty() || now >= began + aSteps[next].mAfter)) {
        Launch(aContext, race, aSteps[next++], executor);
        continue;
      }
      if (race->mPendingOwners.empty())
        break;
      const TimePoint until = next < aSteps.size()
                                ? std::min(aContext.mDeadline, began + aSteps[next].mAfter)
                                : aContext.mDeadline;
      race->mWake.expires_after(until - now);
      [[maybe_unused]] auto [ec] = co_await race->mWake.async_wait(kNoThrow);
    }
    race->mClosed = true;
    for (const ProcessName& it : race->mPendingOwners)
      asio::co_spawn(
        executor, CancelReservation(mEnvironment, it, aContext.mSpec.mId), asio::detached);
    co_return race->mWinner;
  }

  // Sends the reservations of one step to its owners.
  void Launch(const RequestContext& aContext,
              const std::shared_ptr<Race>& aRace,
              const RouteStep& aStep,
              const asio::any_io_executor& aExecutor)
  {
    const TimePoint now = BootClock::now();
    GrantRequest grantRequest;
    grantRequest.mRequest = aContext.mSpec.mId;
    grantRequest.mCaller = aContext.mSpec.mCaller;
    grantRequest.mService = aContext.mSpec.mService;
    grantRequest.mPriority = aContext.mSpec.mPriority;
    grantRequest.mWait = aContext.GetTimeLeft(now);
    grantRequest.mAge = now - aContext.mArrivedAt;
    grantRequest.mHold = aContext.GetTimeLeft(now);
    for (const ProcessName& it : aStep.mOwners) {
      if (aRace->mWinner)
        return;
      aRace->mPendingOwners.insert(it);
      asio::co_spawn(aExecutor, Reserve(mEnvironment, aRace, it, grantRequest), asio::detached);
    }
  }
};

}  // namespace monsoon
