// Idempotency: records the key of a non-repeatable request before anything is sent to an endpoint.
// A later request with the same key gets the recorded outcome. Repeatable requests pass without a
// call.
//
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
    Duration backoff = kInitialBackoff;
    bool inFlight = false;
    while (aContext.GetTimeLeft(BootClock::now()) > mEnvironment.mSettings.mRetry.mMinTimeLeft) {
      auto reply = co_await RecordKey(aContext);
      if (reply) {
        const std::optional<FilterStep> step = Decide(aContext, *reply);
        if (step)
          co_return *step;
        inFlight = true;
      } else if (reply.error().mKind == FailureKind::StoreUnavailable) {
        co_return StopRequest(aContext, FailureKind::StoreUnavailable, reply.error().mDetail);
      }
      const Duration left = aContext.GetTimeLeft(BootClock::now());
      co_await Sleep(std::clamp<Duration>(left, Duration::zero(), backoff));
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
    if (inFlight)
      co_return StopInDoubt(aContext, FailureKind::Conflict, "a call with this key is in flight");
    co_return StopRequest(aContext, FailureKind::Timeout, "the key could not be recorded in time");
  }

  // Records the outcome before the caller is answered, so that a repeated request finds it. Waits
  // for at most mMaxOutcomeWait: a slow store must not delay the answer any longer.
  Async<void> Leave(RequestContext& aContext)
  {
    if (!aContext.mKeyMayBeRecorded)
      co_return;
    const auto executor = co_await asio::this_coro::executor;
    auto done =
      std::make_shared<asio::steady_timer>(executor, mEnvironment.mSettings.mMaxOutcomeWait);
    asio::co_spawn(
      executor, ReportOutcome(mEnvironment, MakeOutcome(aContext), done), asio::detached);
    [[maybe_unused]] auto [ec] = co_await done->async_wait(kNoThrow);
  }

private:
  static constexpr Duration kInitialBackoff = milliseconds(10);
  static constexpr Duration kMaxBackoff = milliseconds(200);
  static constexpr std::uint32_t kMaxOutcomeAttempts = 20;

  // Ends the request with outcome unknown: another call with its key may have run. This call has
  // sent nothing to an endpoint and must not send anything afterwards.
  static FilterStep StopInDoubt(RequestContext& aContext, FailureKind aKind, std::string aDetail)
  {
    aContext.mMachine.MarkInDoubt();
    return StopRequest(aContext, aKind, std::move(aDetail));
  }

  // Asks the owner of the key's shard to record the key for this call.
  Async<Result<KeyReply>> RecordKey(RequestContext& aContext)
  {
    const RequestSpec& spec = aContext.mSpec;
    const ShardIndex shard = FindKeyShard(spec.mIdempotencyKey, mEnvironment.mSettings.mJobShards);
    const std::optional<OwnerOf> owner = mEnvironment.mOwnership.FindShardOwner(shard);
    if (!owner)
      co_return MakeFailure(FailureKind::NotOwner, "the key's shard has no owner");
    const Duration left = aContext.GetTimeLeft(BootClock::now());
    const KeyRecord message{
      spec.mIdempotencyKey, aContext.mCallId, mEnvironment.mSettings.mSelf, left
    };
    const PeerRequest request(message);
    // From here on the key may be recorded, whatever the call returns.
    aContext.mKeyMayBeRecorded = true;
    auto reply = co_await mEnvironment.mPeers.Call(
      owner->mProcess, request, std::min(left, mEnvironment.mSettings.mPeerDeadline));
    if (!reply)
      co_return reply.error();
    KeyReply* const found = std::get_if<KeyReply>(&*reply);
    if (found == nullptr)
      co_return MakeFailure(FailureKind::Internal, "unexpected reply to a key record");
    co_return std::move(*found);
  }

  // Decides the next step from the state of the key. Returns std::nullopt while another call with
  // this key is in flight: ask again later.
  static std::optional<FilterStep> Decide(RequestContext& aContext, KeyReply& aReply)
  {
    // The key is in flight for this same call if the reply to an earlier RecordKey was lost.
    // Nothing was sent to an endpoint yet, so the request may go on.
    const bool own = aReply.mRequest == aContext.mCallId;
    if (aReply.mState == KeyState::Fresh || (aReply.mState == KeyState::InFlight && own))
      return FilterStep::Next;
    aContext.mKeyMayBeRecorded = false;  // another call recorded it
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
        // A repeated request must get the whole body or none, so a body over the limit is recorded
        // as unknown.
        if (aContext.mAnswer->mBody.size() > mEnvironment.mSettings.mMaxRecordedBody)
          break;
        outcome.mState = KeyState::Answered;
        outcome.mStatus = aContext.mAnswer->mStatus;
        outcome.mBody = aContext.mAnswer->mBody;
        break;
    }
    return outcome;
  }

  // Sends the outcome to the owner of the key's shard, then expires aDone to wake Leave. If every
  // attempt fails, the key stays in flight until it becomes unknown. That is safe, but a repeated
  // request doesn't get the outcome.
  static Async<void> ReportOutcome(Environment aEnvironment,
                                   KeyOutcome aOutcome,
                                   std::shared_ptr<asio::steady_timer> aDone)
  {
    ++aEnvironment.mShared.mBackground;
    const ShardIndex shard = FindKeyShard(aOutcome.mKey, aEnvironment.mSettings.mJobShards);
    const PeerRequest request(aOutcome);
    for (std::uint32_t i = 0; i < kMaxOutcomeAttempts; ++i) {
      const std::optional<OwnerOf> owner = aEnvironment.mOwnership.FindShardOwner(shard);
      if (owner) {
        auto reply = co_await aEnvironment.mPeers.Call(
          owner->mProcess, request, aEnvironment.mSettings.mPeerDeadline);
        if (reply || reply.error().mKind == FailureKind::NotFound ||
            reply.error().mKind == FailureKind::Conflict)
          break;
      }
      co_await Sleep(kMaxBackoff);
    }
    --aEnvironment.mShared.mBackground;
    aDone->expires_at(asio::steady_timer::time_point::min());
  }
};

}  // namespace monsoon
