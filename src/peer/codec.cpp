#include "peer/codec.h"

#include "core/archive.h"
#include "core/serialize.h"

namespace monsoon {

// Serialization functions for cereal, in the order of messages.h

template<class A>
void serialize(A& aArchive, MemberGossip& aM)
{
  aArchive(aM.mName, aM.mIncarnation, aM.mCount, aM.mState, aM.mSession, aM.mReady);
  aArchive(aM.mStoreReachable, aM.mFreeSlots);
  CheckEnum(aM.mState, MemberState::Leaving);
}
template<class A>
void serialize(A& aArchive, JournalHead& aM)
{
  aArchive(aM.mJournal, aM.mHead, aM.mAge);
}
template<class A>
void serialize(A& aArchive, Heartbeat& aM)
{
  aArchive(aM.mVersion, aM.mFrom, aM.mZone, aM.mIncarnation, aM.mCount, aM.mSession);
  aArchive(aM.mLeaving, aM.mReady);
  aArchive(aM.mStoreReachable, aM.mFreeSlots, aM.mMembers, aM.mHeads);
}
template<class A>
void serialize(A& aArchive, GrantRequest& aM)
{
  aArchive(aM.mRequest, aM.mCaller, aM.mService, aM.mPriority, aM.mWait, aM.mAge, aM.mHold);
  CheckEnum(aM.mPriority, Priority::Low);
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
  CheckEnum(aM.mEnd, GrantEnd::Unknown);
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
  CheckEnum(aM.mKind, JobKind::Watch);
  CheckEnum(aM.mPriority, Priority::Low);
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
  CheckEnum(aM.mKind, JobKind::Watch);
}
template<class A>
void serialize(A& aArchive, TaskStop& aM)
{
  aArchive(aM.mWorker, aM.mTask, aM.mAttempt, aM.mMode);
  CheckEnum(aM.mMode, TaskStopMode::Checkpoint);
}
template<class A>
void serialize(A& aArchive, TaskReport& aM)
{
  aArchive(aM.mTask, aM.mAttempt, aM.mWorker, aM.mEnd, aM.mUsed, aM.mRan);
  CheckEnum(aM.mEnd, TaskEnd::Unknown);
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
  CheckEnum(aM.mState, TaskState::Held);
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
  aArchive(aM.mKey, aM.mRequest, aM.mEntry, aM.mTimeout);
}
template<class A>
void serialize(A& aArchive, KeyReply& aM)
{
  aArchive(aM.mState, aM.mRequest, aM.mStatus, aM.mBody);
  CheckEnum(aM.mState, KeyState::Unknown);
}
template<class A>
void serialize(A& aArchive, KeyOutcome& aM)
{
  aArchive(aM.mKey, aM.mRequest, aM.mState, aM.mStatus, aM.mBody);
  CheckEnum(aM.mState, KeyState::Unknown);
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
void serialize(A&, WorkerList&)
{
}
template<class A>
void serialize(A& aArchive, WorkerView& aM)
{
  aArchive(aM.mSpec, aM.mFree, aM.mKnown, aM.mExcluded, aM.mTasksOfJob, aM.mFailureRate);
}
template<class A>
void serialize(A& aArchive, WorkerViews& aM)
{
  aArchive(aM.mWorkers);
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
  if (aM.mFailure)
    CheckEnum(aM.mFailure->mKind, FailureKind::RateLimited);
}

namespace {

template<class T>
Result<T> DecodeMessage(std::span<const char> aBytes)
{
  T message{};
  auto decoded = DecodeAll(aBytes, message);
  if (!decoded)
    return decoded.error();
  return message;
}

}  // namespace

const char* GetName(TaskEnd aEnd) noexcept
{
  switch (aEnd) {
    case TaskEnd::Running:
      return "running";
    case TaskEnd::Succeeded:
      return "succeeded";
    case TaskEnd::Failed:
      return "failed";
    case TaskEnd::Stopped:
      return "stopped";
    case TaskEnd::Checkpointed:
      return "checkpointed";
    case TaskEnd::NeverStarted:
      return "never_started";
    case TaskEnd::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::string Encode(const Heartbeat& aHeartbeat)
{
  return EncodeBytes(aHeartbeat);
}
std::string Encode(const RequestFrame& aFrame)
{
  return EncodeBytes(aFrame);
}
std::string Encode(const ReplyFrame& aFrame)
{
  return EncodeBytes(aFrame);
}

Result<Heartbeat> DecodeHeartbeat(std::span<const char> aBytes)
{
  return DecodeMessage<Heartbeat>(aBytes);
}
Result<RequestFrame> DecodeRequest(std::span<const char> aBytes)
{
  return DecodeMessage<RequestFrame>(aBytes);
}
Result<ReplyFrame> DecodeReply(std::span<const char> aBytes)
{
  return DecodeMessage<ReplyFrame>(aBytes);
}

}  // namespace monsoon
