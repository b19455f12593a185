// Idempotency: work not to be repeated is recorded under its key before anything is sent; a repeat
// gets the recorded outcome. Repeatable work passes without a call.
// Outcomes: answered (replayed); not_run (not_ready, store_unavailable, timeout); unknown
// (conflict: another call with this key is in flight; endpoint_unknown: its outcome is unknown).
#pragma once

#include "filters/context.h"

namespace monsoon {

template<class Environment>
struct IdempotencyFilter
{
  static constexpr std::array kOutcomes{
    FilterOutcome{ Outcome::Answered, FailureKind::Internal },
    FilterOutcome{ Outcome::NotRun, FailureKind::NotReady },
    FilterOutcome{ Outcome::NotRun, FailureKind::StoreUnavailable },
    FilterOutcome{ Outcome::NotRun, FailureKind::Timeout },
    FilterOutcome{ Outcome::Unknown, FailureKind::Conflict },
    FilterOutcome{ Outcome::Unknown, FailureKind::EndpointUnknown },
  };

  Environment mEnvironment;

  Async<FilterStep> Enter(RequestContext& aContext)
  {
    if (aContext.mSpec.mRepeatable)
      co_return FilterStep::Next;
    Duration pause = kFirstPause;
    bool inFlight = false;
    while (aContext.GetTimeLeft(BootClock::now()) > mEnvironment.mSettings.mRetry.mMinTimeLeft) {
      auto reply = co_await Record(aContext);
      if (reply) {
        const std::optional<FilterStep> step = Decide(aContext, *reply);
        if (step)
          co_return *step;
        inFlight = true;
      } else if (reply.error().mKind == FailureKind::StoreUnavailable) {
        co_return StopRequest(aContext, FailureKind::StoreUnavailable, reply.error().mDetail);
      }
      const Duration left = aContext.GetTimeLeft(BootClock::now());
      co_await Sleep(std::clamp<Duration>(left, Duration::zero(), pause));
      pause = std::min(pause * 2, kLongestPause);
    }
    if (inFlight)
      co_return StopInDoubt(aContext, FailureKind::Conflict, "a call with this key is in flight");
    co_return StopRequest(aContext, FailureKind::Timeout, "the key could not be recorded in time");
  }

  // The outcome is recorded before the caller hears of it, so that a repeat finds it; but a slow
  // store holds an answer back for a bounded time only.
  Async<void> Leave(RequestContext& aContext)
  {
    if (!aContext.mKeyMayStand)
      co_return;
    const auto executor = co_await asio::this_coro::executor;
    auto done = std::make_shared<asio::steady_timer>(executor, mEnvironment.mSettings.mOutcomeWait);
    asio::co_spawn(
      executor, ReportOutcome(mEnvironment, MakeOutcome(aContext), done), asio::detached);
    [[maybe_unused]] auto [ec] = co_await done->async_wait(kNoThrow);
  }

private:
  static constexpr Duration kFirstPause = milliseconds(10);
  static constexpr Duration kLongestPause = milliseconds(200);
  static constexpr std::uint32_t kOutcomeTries = 20;

  // No byte has been written, and no write may follow.
  static FilterStep StopInDoubt(RequestContext& aContext, FailureKind aKind, std::string aDetail)
  {
    aContext.mMachine.Doubt();
    return StopRequest(aContext, aKind, std::move(aDetail));
  }

  Async<Result<KeyReply>> Record(RequestContext& aContext)
  {
    const RequestSpec& spec = aContext.mSpec;
    const ShardIndex shard = FindKeyShard(spec.mIdempotencyKey, mEnvironment.mSettings.mJobShards);
    const std::optional<OwnerOf> owner = mEnvironment.mOwnership.FindShardOwner(shard);
    if (!owner)
      co_return MakeFailure(FailureKind::NotOwner, "nobody owns the key's shard");
    const Duration left = aContext.GetTimeLeft(BootClock::now());
    const KeyRecord message{
      spec.mIdempotencyKey, aContext.mCallId, mEnvironment.mSettings.mSelf, left
    };
    const PeerRequest request(message);
    // From here on the record may stand, whatever comes back.
    aContext.mKeyMayStand = true;
    auto reply = co_await mEnvironment.mPeers.Call(
      owner->mProcess, request, std::min(left, mEnvironment.mSettings.mPeerDeadline));
    if (!reply)
      co_return reply.error();
    KeyReply* const found = std::get_if<KeyReply>(&*reply);
    if (found == nullptr)
      co_return MakeFailure(FailureKind::Internal, "unexpected reply to a key record");
    co_return std::move(*found);
  }

  // Nothing: ask again, a call with this key is in flight.
  static std::optional<FilterStep> Decide(RequestContext& aContext, KeyReply& aReply)
  {
    // In flight by this very call: the answer to an earlier record was lost, nothing was sent yet.
    const bool own = aReply.mRequest == aContext.mCallId;
    if (aReply.mState == KeyState::Fresh || (aReply.mState == KeyState::InFlight && own))
      return FilterStep::Next;
    aContext.mKeyMayStand = false;  // the key is another call's
    switch (aReply.mState) {
      case KeyState::Answered:
        aContext.mMachine.Replay();
        aContext.mReplayed = true;
        aContext.mAnswer = RunAnswer{ aReply.mStatus, std::move(aReply.mBody) };
        return FilterStep::Done;
      case KeyState::Unknown:
        return StopInDoubt(
          aContext, FailureKind::EndpointUnknown, "the outcome of this key is unknown");
      default:
        return std::nullopt;
    }
  }

  KeyOutcome MakeOutcome(const RequestContext& aContext) const
  {
    KeyOutcome outcome{
      aContext.mSpec.mIdempotencyKey, aContext.mCallId, KeyState::Unknown, 0, {}
    };
    switch (aContext.mMachine.GetOutcome()) {
      case Outcome::NotRun:
        outcome.mState = KeyState::NotRun;
        break;
      case Outcome::Unknown:
        break;
      case Outcome::Answered:
        // A repeat must get a whole body or none.
        if (aContext.mAnswer->mBody.size() > mEnvironment.mSettings.mMaxRecordedBody)
          break;
        outcome.mState = KeyState::Answered;
        outcome.mStatus = aContext.mAnswer->mStatus;
        outcome.mBody = aContext.mAnswer->mBody;
        break;
    }
    return outcome;
  }

  // While it fails, the key stays in flight and then becomes unknown: safe, but a repeat learns
  // less.
  static Async<void> ReportOutcome(Environment aEnvironment,
                                   KeyOutcome aOutcome,
                                   std::shared_ptr<asio::steady_timer> aDone)
  {
    ++aEnvironment.mShared.mBackground;
    const ShardIndex shard = FindKeyShard(aOutcome.mKey, aEnvironment.mSettings.mJobShards);
    const PeerRequest request(aOutcome);
    for (std::uint32_t i = 0; i < kOutcomeTries; ++i) {
      const std::optional<OwnerOf> owner = aEnvironment.mOwnership.FindShardOwner(shard);
      if (owner) {
        auto reply = co_await aEnvironment.mPeers.Call(
          owner->mProcess, request, aEnvironment.mSettings.mPeerDeadline);
        if (reply || reply.error().mKind == FailureKind::NotFound ||
            reply.error().mKind == FailureKind::Conflict)
          break;
      }
      co_await Sleep(kLongestPause);
    }
    --aEnvironment.mShared.mBackground;
    aDone->expires_at(asio::steady_timer::time_point::min());
  }
};

}  // namespace monsoon
