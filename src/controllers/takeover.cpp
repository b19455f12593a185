#include "controllers/takeover.h"

namespace monsoon {

Takeover::Takeover(ProcessName aSelf,
                   ProcessName aFailedProcess,
                   std::uint64_t aLatest,
                   SessionSettings aSettings)
  : mSelf(std::move(aSelf))
  , mFailedProcess(std::move(aFailedProcess))
  , mLatest(aLatest)
  , mSettings(aSettings)
{
}

TakeoverAction Takeover::Next(PromiseIssuer& aIssuer, TimePoint aNow)
{
  TakeoverAction action;
  if (mEnded != 0) {
    action.mStep = TakeoverStep::Done;
    return action;
  }
  if (mAborted) {
    action.mStep = TakeoverStep::Aborted;
    return action;
  }
  if (aNow < mNextAt)
    return action;
  if (mMustRead) {
    action.mStep = TakeoverStep::Read;
    return action;
  }
  if (aNow < mUnchangedSince + mSettings.mLease + mSettings.mDrift)
    return action;
  if (!mInProgress && !aIssuer.BeginTakeover(mFailedProcess, aNow))
    return action;
  mInProgress = true;
  SessionRecord record = mRecord;
  record.mEnded = true;
  record.mNonce = 0;  // so that the failed process does not mistake it for its own renewal
  record.mEndedBy = mSelf;
  action.mStep = TakeoverStep::Swap;
  action.mValue = Encode(record);
  action.mRevision = mSeenValue->mRevision;
  return action;
}

void Takeover::Finish(std::uint64_t aEnded, TimePoint aInactiveSince, PromiseIssuer& aIssuer)
{
  mEnded = aEnded;
  mAborted = aEnded == 0;
  mInactiveSince = aInactiveSince;
  mInProgress = false;
  aIssuer.FinishTakeover(mFailedProcess, aEnded);
}

void Takeover::OnRead(const Result<std::optional<StoreValue>>& aRead,
                      PromiseIssuer& aIssuer,
                      TimePoint aNow)
{
  if (!aRead) {
    mNextAt = aNow + mSettings.mRetryAfter;
    return;
  }
  mMustRead = false;
  if (!*aRead) {
    // Session keys are never deleted while their process owns something. If somebody did remove
    // this one, its holder can't renew any more but may act until its lease has expired.
    mSeenValue.reset();
    mMustRead = true;
    mNextAt = aNow + mSettings.mRenewEvery;
    return;
  }
  const auto record = DecodeSession((*aRead)->mValue);
  if (!record) {
    mMustRead = true;
    mNextAt = aNow + mSettings.mRenewEvery;
    return;
  }
  // Every writer waits until the lease has expired before it ends or overwrites a record, so such a
  // record proves that the earlier incarnation can't act any more.
  if (record->mEnded && record->mIncarnation >= mLatest)
    return Finish(record->mIncarnation, aNow, aIssuer);
  if (record->mIncarnation > mLatest)
    return Finish(record->mIncarnation - 1, aNow, aIssuer);
  if (mSeenValue && mSeenValue->mRevision == (*aRead)->mRevision)
    return;
  if (mSeenValue)
    return Finish(0, aNow, aIssuer);
  mSeenValue = **aRead;
  mRecord = *record;
  mUnchangedSince = aNow;
}

void Takeover::OnWritten(const Result<std::uint64_t>& aWritten,
                         PromiseIssuer& aIssuer,
                         TimePoint aNow)
{
  if (aWritten) {
    Finish(mRecord.mIncarnation, mUnchangedSince + mSettings.mLease, aIssuer);
    return;
  }
  // After a lost answer the swap may have taken effect, so the takeover stays in progress until a
  // read shows a changed key.
  mMustRead = true;
  mNextAt = aWritten.error().mKind == FailureKind::Conflict ? aNow : aNow + mSettings.mRetryAfter;
}

}  // namespace monsoon
