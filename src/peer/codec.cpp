#include "peer/codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <sstream>
#include <streambuf>

#include "core/serialize.h"

namespace monsoon {

// cereal functions, in the order of messages.h

template<class A>
void serialize(A& aArchive, MemberGossip& aM)
{
  aArchive(aM.mName, aM.mIncarnation, aM.mState);
}
template<class A>
void serialize(A& aArchive, JournalHead& aM)
{
  aArchive(aM.mJournal, aM.mHead);
}
template<class A>
void serialize(A& aArchive, Heartbeat& aM)
{
  aArchive(aM.mVersion, aM.mFrom, aM.mZone, aM.mIncarnation, aM.mCount, aM.mLeaving, aM.mReady);
  aArchive(aM.mStoreReachable, aM.mFreeSlots, aM.mMembers, aM.mHeads);
}
template<class A>
void serialize(A& aArchive, GrantRequest& aM)
{
  aArchive(aM.mRequest, aM.mCaller, aM.mService, aM.mPriority, aM.mWait, aM.mAge, aM.mHold);
}
template<class A>
void serialize(A& aArchive, Grant& aM)
{
  aArchive(aM.mId, aM.mWorker, aM.mOwner, aM.mEpoch, aM.mStartBefore, aM.mExpiry);
}
template<class A>
void serialize(A& aArchive, GrantReturn& aM)
{
  aArchive(aM.mId, aM.mWorker, aM.mEpoch, aM.mEnd);
}
template<class A>
void serialize(A& aArchive, GrantCancel& aM)
{
  aArchive(aM.mRequest);
}
template<class A>
void serialize(A& aArchive, TaskShape& aM)
{
  aArchive(aM.mJob, aM.mKind, aM.mTeam, aM.mPriority, aM.mNeed, aM.mAcceleratorType);
  aArchive(aM.mSpreadZones, aM.mSpreadRacks, aM.mAvoid);
}
template<class A>
void serialize(A& aArchive, FitQuery& aM)
{
  aArchive(aM.mShape, aM.mCount);
}
template<class A>
void serialize(A& aArchive, Offer& aM)
{
  aArchive(aM.mWorker, aM.mZone, aM.mRack, aM.mCount, aM.mScore);
}
template<class A>
void serialize(A& aArchive, FitReply& aM)
{
  aArchive(aM.mOffers, aM.mNeverFits, aM.mFullNow, aM.mExcluded);
}
template<class A>
void serialize(A& aArchive, HoldRequest& aM)
{
  aArchive(aM.mShape, aM.mWorker, aM.mTasks, aM.mExpiry);
}
template<class A>
void serialize(A& aArchive, HoldReply& aM)
{
  aArchive(aM.mId, aM.mEpoch, aM.mTasks);
}
template<class A>
void serialize(A& aArchive, HoldRelease& aM)
{
  aArchive(aM.mId, aM.mWorker, aM.mEpoch);
}
template<class A>
void serialize(A& aArchive, TaskStart& aM)
{
  aArchive(aM.mHold, aM.mEpoch, aM.mWorker, aM.mTask, aM.mAttempt, aM.mKind, aM.mNeed);
  aArchive(aM.mExpectedRun, aM.mStartWithin, aM.mPayload);
}
template<class A>
void serialize(A& aArchive, TaskStop& aM)
{
  aArchive(aM.mWorker, aM.mTask, aM.mAttempt, aM.mMode);
}
template<class A>
void serialize(A& aArchive, TaskReport& aM)
{
  aArchive(aM.mTask, aM.mAttempt, aM.mWorker, aM.mEnd, aM.mUsed, aM.mRan);
}
template<class A>
void serialize(A& aArchive, TaskReports& aM)
{
  aArchive(aM.mReports);
}
template<class A>
void serialize(A& aArchive, TaskQuery& aM)
{
  aArchive(aM.mWorker, aM.mEpoch, aM.mAttempts);
}
template<class A>
void serialize(A& aArchive, JobSubmit& aM)
{
  aArchive(aM.mSpec);
}
template<class A>
void serialize(A& aArchive, JobCancel& aM)
{
  aArchive(aM.mId);
}
template<class A>
void serialize(A& aArchive, JobQuery& aM)
{
  aArchive(aM.mId, aM.mWaitUntilDone);
}
template<class A>
void serialize(A& aArchive, JobList& aM)
{
  aArchive(aM.mShard, aM.mLimit);
}
template<class A>
void serialize(A& aArchive, TaskStatus& aM)
{
  aArchive(aM.mIndex, aM.mState, aM.mAttempt, aM.mWorker);
}
template<class A>
void serialize(A& aArchive, JobStatus& aM)
{
  aArchive(aM.mSpec, aM.mTasks, aM.mReason, aM.mAt);
}
template<class A>
void serialize(A& aArchive, JobStatuses& aM)
{
  aArchive(aM.mJobs);
}
template<class A>
void serialize(A& aArchive, KeyRecord& aM)
{
  aArchive(aM.mKey, aM.mRequest, aM.mEntry);
}
template<class A>
void serialize(A& aArchive, KeyReply& aM)
{
  aArchive(aM.mState, aM.mRequest, aM.mStatus, aM.mBody);
}
template<class A>
void serialize(A& aArchive, KeyOutcome& aM)
{
  aArchive(aM.mKey, aM.mRequest, aM.mState, aM.mStatus, aM.mBody);
}
template<class A>
void serialize(A& aArchive, JournalFetch& aM)
{
  aArchive(aM.mJournal, aM.mAfter);
}
template<class A>
void serialize(A& aArchive, JournalSlice& aM)
{
  aArchive(aM.mJournal, aM.mSnapshotAt, aM.mSnapshot, aM.mEntries, aM.mHead);
}
template<class A>
void serialize(A& aArchive, OutagePromiseRequest& aM)
{
  aArchive(aM.mFrom, aM.mIncarnation, aM.mFor);
}
template<class A>
void serialize(A& aArchive, OutagePromise& aM)
{
  aArchive(aM.mPromised);
}
template<class A>
void serialize(A&, Done&)
{
}
template<class A>
void serialize(A& aArchive, RequestFrame& aM)
{
  aArchive(aM.mVersion, aM.mCall, aM.mFrom, aM.mRequest);
}
template<class A>
void serialize(A& aArchive, ReplyFrame& aM)
{
  aArchive(aM.mCall, aM.mFailure, aM.mReply);
}

namespace {

// Reads from bytes it does not own; spares the copy that std::istringstream makes.
class SpanBuffer : public std::streambuf
{
public:
  explicit SpanBuffer(std::span<const char> aBytes)
  {
    char* begin = const_cast<char*>(aBytes.data());  // streambuf's interface; never written through
    setg(begin, begin, begin + aBytes.size());
  }
};

template<class T>
std::string EncodeAny(const T& aMessage)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(aMessage);
  return std::move(out).str();
}

// cereal throws on short input and allocates what a length prefix asks for; both must stay inside.
template<class T>
Result<T> DecodeAny(std::span<const char> aBytes)
{
  SpanBuffer buf(aBytes);
  std::istream in(&buf);
  T message{};
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(message);
  } catch (const std::exception& error) {
    return MakeFailure(FailureKind::BadInput, error.what());
  }
  if (in.peek() != std::char_traits<char>::eof())
    return MakeFailure(FailureKind::BadInput, "bytes left after the message");
  return message;
}

}  // namespace

std::string Encode(const Heartbeat& aHeartbeat)
{
  return EncodeAny(aHeartbeat);
}
std::string Encode(const RequestFrame& aFrame)
{
  return EncodeAny(aFrame);
}
std::string Encode(const ReplyFrame& aFrame)
{
  return EncodeAny(aFrame);
}

Result<Heartbeat> DecodeHeartbeat(std::span<const char> aBytes)
{
  return DecodeAny<Heartbeat>(aBytes);
}
Result<RequestFrame> DecodeRequest(std::span<const char> aBytes)
{
  return DecodeAny<RequestFrame>(aBytes);
}
Result<ReplyFrame> DecodeReply(std::span<const char> aBytes)
{
  return DecodeAny<ReplyFrame>(aBytes);
}

}  // namespace monsoon
