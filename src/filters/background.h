// Work that goes on after a request's answer: grants on their way back.
#pragma once

#include "filters/context.h"

namespace monsoon {

inline constexpr std::uint32_t kReturnTries = 3;
inline constexpr Duration kReturnPause = milliseconds(50);

// A return that never arrives costs the slot until the grant's expiry, no more.
template<class Environment>
Async<void> ReturnGrant(Environment aEnvironment, Grant aGrant, GrantEnd aEnd)
{
  ++aEnvironment.mShared.mBackground;
  const GrantReturn message{ aGrant.mId, aGrant.mWorker.mName, aGrant.mEpoch, aEnd };
  const PeerRequest request(message);
  for (std::uint32_t i = 0; i < kReturnTries; ++i) {
    auto reply = co_await aEnvironment.mPeers.Call(
      aGrant.mOwner, request, aEnvironment.mSettings.mPeerDeadline);
    const bool arrived = reply || (reply.error().mKind != FailureKind::PeerUnreachable &&
                                   reply.error().mKind != FailureKind::PeerUnknown &&
                                   reply.error().mKind != FailureKind::Timeout);
    if (arrived)
      break;
    co_await Sleep(kReturnPause);
  }
  --aEnvironment.mShared.mBackground;
}

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
