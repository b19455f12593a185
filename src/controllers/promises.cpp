#include "controllers/promises.h"

#include <algorithm>

namespace monsoon {

PromiseIssuer::PromiseIssuer(SessionSettings aSettings, TimePoint aStartedAt)
  : mSettings(aSettings)
  , mStartedAt(aStartedAt)
{
}

OutagePromise PromiseIssuer::Answer(const OutagePromiseRequest& aRequest,
                                    bool aStoreUnavailable,
                                    TimePoint aNow)
{
  Peer& peer = mPeers[aRequest.mFrom];
  OutagePromise reply;
  if (aRequest.mFor <= Duration::zero()) {
    reply.mPromised = peer.mAnnouncedIncarnation == aRequest.mIncarnation;
    peer.mAnnouncedIncarnation = aRequest.mIncarnation;
    peer.mMinIncarnation = std::max(peer.mMinIncarnation, aRequest.mIncarnation);
    return reply;
  }
  if (!mSettings.mExtendByPromises || !aStoreUnavailable || peer.mTakeoverInProgress)
    return reply;
  if (aRequest.mIncarnation < peer.mMinIncarnation)
    return reply;
  const Duration length = std::min(aRequest.mFor, mSettings.mLease);
  if (length < aRequest.mFor)
    return reply;  // a restarted process of this name would not wait so long
  peer.mMinIncarnation = aRequest.mIncarnation;
  peer.mPromisedUntil = std::max(peer.mPromisedUntil, aNow + length);
  reply.mPromised = true;
  return reply;
}

bool PromiseIssuer::BeginTakeover(const ProcessName& aFailedProcess, TimePoint aNow)
{
  if (mSettings.mExtendByPromises && aNow < mStartedAt + mSettings.mLease + mSettings.mDrift)
    return false;
  Peer& peer = mPeers[aFailedProcess];
  if (aNow < peer.mPromisedUntil)
    return false;
  peer.mTakeoverInProgress = true;
  return true;
}

void PromiseIssuer::FinishTakeover(const ProcessName& aFailedProcess, std::uint64_t aEnded)
{
  Peer& peer = mPeers[aFailedProcess];
  peer.mTakeoverInProgress = false;
  if (aEnded != 0)
    peer.mMinIncarnation = std::max(peer.mMinIncarnation, aEnded + 1);
}

PromiseCollector::PromiseCollector(std::vector<ProcessName> aPeers, SessionSettings aSettings)
  : mPeers(std::move(aPeers))
  , mSettings(aSettings)
{
}

std::uint64_t PromiseCollector::BeginRound(std::uint64_t aIncarnation, TimePoint aNow)
{
  mIncarnation = aIncarnation;
  mRoundStartedAt = aNow;
  mPromised.clear();
  return ++mRound;
}

std::optional<TimePoint> PromiseCollector::OnAnswer(std::uint64_t aRound,
                                                    const ProcessName& aPeer,
                                                    bool aPromised)
{
  if (aRound != mRound || !aPromised)
    return std::nullopt;
  mPromised.insert(aPeer);
  for (const ProcessName& peer : mPeers)
    if (!mPromised.contains(peer))
      return std::nullopt;
  return mRoundStartedAt + mSettings.mLease - mSettings.mDrift;
}

std::span<const ProcessName> PromiseCollector::ListPeers() const noexcept
{
  return mPeers;
}

std::uint64_t PromiseCollector::GetRoundIncarnation() const noexcept
{
  return mIncarnation;
}

}  // namespace monsoon
