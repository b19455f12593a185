// Background work that may outlast the request that started it: returning grants and cancelling
// reservations.
#pragma once

#include "filters/context.h"

namespace monsoon {

inline constexpr std::uint32_t kMaxReturnAttempts = 3;
inline constexpr Duration kReturnRetryDelay = milliseconds(50);

// Returns a grant to the owner of its worker and reports how the attempt ended. Retries while the
// owner may not have received the message. If no attempt gets through, the owner frees the slot
// when the grant expires.
template<class Environment>
Async<void> ReturnGrant(Environment aEnvironment, Grant aGrant, GrantEnd aEnd)
{
  ++aEnvironment.mShared.mBackground;
  const GrantReturn message{ aGrant.mId, aGrant.mWorker.mName, aGrant.mEpoch, aEnd };
  const PeerRequest request(message);
  for (std::uint32_t i = 0; i < kMaxReturnAttempts; ++i) {
    auto reply = co_await aEnvironment.mPeers.Call(
      aGrant.mOwner, request, aEnvironment.mSettings.mPeerDeadline);
    const bool arrived = reply || (reply.error().mKind != FailureKind::PeerUnreachable &&
                                   reply.error().mKind != FailureKind::PeerUnknown &&
                                   reply.error().mKind != FailureKind::Timeout);
    if (arrived)
      break;
    co_await Sleep(kReturnRetryDelay);
  }
  --aEnvironment.mShared.mBackground;
}

// Cancels the reservation that a request has waiting at aOwner. The message is sent only once: if
// the owner grants the slot all the same, the placement filter returns the grant.
template<class Environment>
Async<void> CancelReservation(Environment aEnvironment, ProcessName aOwner, RequestId aRequest)
{
  ++aEnvironment.mShared.mBackground;
  const GrantCancel message{ aRequest };
  const PeerRequest request(message);
  co_await aEnvironment.mPeers.Call(aOwner, request, aEnvironment.mSettings.mPeerDeadline);
  --aEnvironment.mShared.mBackground;
}

}  // namespace monsoon
