#include "controllers/session.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "core/serialize.h"

namespace monsoon {

namespace {

constexpr Duration kMinRequestedRenewalInterval = milliseconds(500);  // between two RequestRenewal

template<class Archive>
void serialize(Archive& aArchive, SessionRecord& aRecord)
{
  aArchive(aRecord.mIncarnation, aRecord.mNonce, aRecord.mEnded, aRecord.mEndedBy);
}

}  // namespace

std::string MakeSessionKey(std::string_view aProcess)
{
  return "session/" + std::string(aProcess);
}

std::string Encode(const SessionRecord& aRecord)
{
  std::ostringstream out;
  SessionRecord record = aRecord;
  cereal::PortableBinaryOutputArchive archive(out);
  serialize(archive, record);
  return std::move(out).str();
}

Result<SessionRecord> DecodeSession(const std::string& aBytes)
{
  try {
    std::istringstream in(aBytes);
    cereal::PortableBinaryInputArchive archive(in);
    SessionRecord record;
    serialize(archive, record);
    return record;
  } catch (const std::exception& e) {
    return MakeFailure(FailureKind::CorruptEntry, e.what());
  }
}

SessionState::SessionState(ProcessName aName, SessionSettings aSettings, std::uint64_t aNonce)
  : mName(std::move(aName))
  , mSettings(aSettings)
  , mNonce(aNonce)
{
}

bool SessionState::MayAct(TimePoint aNow) const noexcept
{
  return aNow.time_since_epoch().count() < mDeadline.load();
}

std::uint64_t SessionState::GetIncarnation() const noexcept
{
  return mIncarnation.load();
}

TimePoint SessionState::GetDeadline() const noexcept
{
  return TimePoint(Duration(mDeadline.load()));
}

bool SessionState::IsStoreReachable(TimePoint aNow) const noexcept
{
  return !mLastCallFailed &&
         !(mCallStartedAt && aNow - *mCallStartedAt > mSettings.mSlowCallThreshold);
}

bool SessionState::IsEnded() const noexcept
{
  return mPhase == Phase::Released;
}

SessionAction SessionState::Wait(TimePoint aUntil, TimePoint aNow) const
{
  SessionAction action;
  action.mDelay = std::max<Duration>(aUntil - aNow, milliseconds(1));
  return action;
}

SessionAction SessionState::Next(TimePoint aNow)
{
  if (mPhase == Phase::Released)
    return Wait(aNow + mSettings.mRenewEvery, aNow);
  if (aNow < mNextAt)
    return Wait(mNextAt, aNow);
  if (mMustRead) {
    mCallStartedAt = aNow;
    SessionAction action;
    action.mStep = SessionStep::Read;
    return action;
  }
  if (mEndRequested && mPhase != Phase::Held) {
    mPhase = Phase::Released;  // there is no session to end
    return Wait(aNow + mSettings.mRenewEvery, aNow);
  }
  switch (mPhase) {
    case Phase::Absent:
      return Write(SessionStep::Create, 1, aNow);
    case Phase::Ended:
      return Write(SessionStep::Swap, mSeenIncarnation + 1, aNow);
    case Phase::Held:
      return Write(SessionStep::Swap, mIncarnation, aNow);
    default:
      return ReplacePreviousHolder(aNow);
  }
}

// Returns the next step towards replacing a live record of a previous process of this name. That
// process may act until its lease has expired, and longer while all peers promise. A peer that
// knows the new incarnation refuses it further promises, so the new incarnation is announced first.
// A second announcement after the wait confirms that such a peer has not forgotten it, by a
// restart, meanwhile.
SessionAction SessionState::ReplacePreviousHolder(TimePoint aNow)
{
  SessionAction action;
  action.mStep = SessionStep::Announce;
  action.mIncarnation = mSeenIncarnation + 1;
  if (mSettings.mExtendByPromises && mAnnouncements == 0) {
    mUnchangedSince = aNow;
    mNextAt = aNow + mSettings.mRetryAfter;
    return action;
  }
  const TimePoint expired = mUnchangedSince + mSettings.mLease + mSettings.mDrift;
  if (aNow < expired)
    return Wait(expired, aNow);
  if (mSettings.mExtendByPromises && mAnnouncements == 1) {
    mNextAt = aNow + mSettings.mRetryAfter;
    return action;
  }
  return Write(SessionStep::Swap, mSeenIncarnation + 1, aNow);
}

void SessionState::OnAnnounced(bool aKnown)
{
  if (mAnnouncements == 0)
    mAnnouncements = 1;
  else
    mAnnouncements = aKnown ? 2 : 0;
  mNextAt = {};
}

SessionAction SessionState::Write(SessionStep aStep, std::uint64_t aIncarnation, TimePoint aNow)
{
  const bool ends = mEndRequested && mPhase == Phase::Held;
  mAttempts.push_back({ ++mNonce, aIncarnation, ends, aNow });
  mCallStartedAt = aNow;
  SessionRecord record;
  record.mIncarnation = aIncarnation;
  record.mNonce = mNonce;
  record.mEnded = ends;
  record.mEndedBy = ends ? mName : ProcessName{};
  SessionAction action;
  action.mStep = aStep;
  action.mValue = Encode(record);
  action.mRevision = mRevision;
  action.mIncarnation = aIncarnation;
  if (ends)
    mDeadline = 0;
  return action;
}

void SessionState::RecordContact(bool aAnswered, TimePoint aNow)
{
  mCallStartedAt.reset();
  mLastCallFailed = !aAnswered;
  if (mLastCallFailed)
    mNextAt = aNow + mSettings.mRetryAfter;
}

void SessionState::OnWritten(const Result<std::uint64_t>& aWritten, TimePoint aNow)
{
  if (aWritten) {
    RecordContact(true, aNow);
    Confirm(mAttempts.back(), *aWritten);
    return;
  }
  const FailureKind kind = aWritten.error().mKind;
  const bool lost = kind == FailureKind::Conflict || kind == FailureKind::AlreadyExists;
  RecordContact(lost, aNow);
  if (kind == FailureKind::StoreUnavailable || kind == FailureKind::BudgetExhausted) {
    mAttempts.pop_back();  // the write had no effect
    return;
  }
  mMustRead = true;
}

void SessionState::OnRead(const Result<std::optional<StoreValue>>& aRead, TimePoint aNow)
{
  RecordContact(aRead.has_value(), aNow);
  if (!aRead)
    return;
  mMustRead = false;
  if (!*aRead) {
    LoseSession();
    mPhase = Phase::Absent;
    mRevision = 0;
    return;
  }
  const StoreValue& value = **aRead;
  const auto record = DecodeSession(value.mValue);
  if (!record) {
    LoseSession();
    mPhase = Phase::Ended;  // an unreadable record names no holder, so it may be replaced
    mRevision = value.mRevision;
    return;
  }
  for (const Attempt& attempt : mAttempts) {
    if (attempt.mNonce != record->mNonce || attempt.mEnds != record->mEnded)
      continue;
    const Attempt applied = attempt;
    Confirm(applied, value.mRevision);
    return;
  }
  if (value.mRevision == mRevision && mPhase != Phase::Unread)
    return;  // no write had an effect; the same compare-and-swap may be retried
  LoseSession();
  mRevision = value.mRevision;
  mSeenIncarnation = record->mIncarnation;
  mPhase = record->mEnded ? Phase::Ended : Phase::PreviousHolder;
  mUnchangedSince = aNow;
  mAnnouncements = 0;
}

void SessionState::Confirm(const Attempt& aAttempt, std::uint64_t aRevision)
{
  mRevision = aRevision;
  mSeenIncarnation = aAttempt.mIncarnation;
  if (aAttempt.mEnds) {
    LoseSession();
    mPhase = Phase::Released;
    return;
  }
  const TimePoint until = aAttempt.mSentAt + mSettings.mLease - mSettings.mDrift;
  if (mIncarnation == aAttempt.mIncarnation)
    mDeadline = std::max(mDeadline.load(), until.time_since_epoch().count());
  else
    mDeadline = until.time_since_epoch().count();
  mIncarnation = aAttempt.mIncarnation;
  mPhase = Phase::Held;
  mNextAt = mEndRequested ? TimePoint{} : aAttempt.mSentAt + mSettings.mRenewEvery;
  mAttempts.clear();
}

// Clears the deadline before the incarnation: a concurrent reader that still sees the incarnation
// must not act on it.
void SessionState::LoseSession()
{
  mDeadline = 0;
  mIncarnation = 0;
  mAttempts.clear();
  mPhase = Phase::Unread;
}

void SessionState::RequestRenewal(TimePoint aNow)
{
  if (mPhase != Phase::Held || aNow - mRenewalRequestedAt < kMinRequestedRenewalInterval)
    return;
  mRenewalRequestedAt = aNow;
  mNextAt = std::min(mNextAt, aNow);
}

void SessionState::RequestEnd()
{
  mEndRequested = true;
  mNextAt = {};
}

bool SessionState::Extend(std::uint64_t aIncarnation, TimePoint aUntil, TimePoint aNow)
{
  if (mPhase != Phase::Held || aIncarnation != mIncarnation || !MayAct(aNow))
    return false;
  mDeadline = std::max(mDeadline.load(), aUntil.time_since_epoch().count());
  return true;
}

}  // namespace monsoon
