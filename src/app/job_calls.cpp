#include "app/job_calls.h"

namespace monsoon {

namespace {

constexpr Duration kInitialBackoff = milliseconds(10);
constexpr Duration kMaxBackoff = milliseconds(250);
constexpr Duration kAttemptTimeout = seconds(5);  // of one call; a longer call is repeated

bool IsRetryable(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::NotOwner:
    case FailureKind::NotReady:
    case FailureKind::Fenced:
    case FailureKind::PeerUnreachable:
    case FailureKind::PeerUnknown:
    case FailureKind::Timeout:
    case FailureKind::StoreUnavailable:
    case FailureKind::WriteUnknown:
    case FailureKind::BudgetExhausted:
      return true;
    default:
      return false;
  }
}

}  // namespace

Async<Result<PeerReply>> CallShardOwner(PeerLink& aLink,
                                        const ControlPlane& aControl,
                                        ShardIndex aShard,
                                        PeerRequest aRequest,
                                        Duration aTimeout)
{
  const TimePoint until = BootClock::now() + aTimeout;
  Duration backoff = kInitialBackoff;
  Failure last = MakeFailure(FailureKind::NotReady, "the job shard has no owner");
  while (true) {
    const Duration left = until - BootClock::now();
    if (left <= Duration::zero())
      co_return last;
    const auto owner = aControl.FindShardOwner(aShard);
    if (owner) {
      auto reply = co_await aLink.Call(owner->mProcess, aRequest, std::min(left, kAttemptTimeout));
      if (reply || !IsRetryable(reply.error().mKind))
        co_return reply;
      last = reply.error();
    }
    co_await Sleep(std::min(backoff, left));
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

}  // namespace monsoon
