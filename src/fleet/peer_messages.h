// Messages between entry processes: HTTP POSTs with bodies in cereal's binary format, most of them
// to the process that holds the scheduler's lease (the holder).
//
// Index
//   Stored records   the holder, workers that may run tasks, what a holder leaves to the next
//   Poll             a member fetches policy calls to make from the holder
//   Probe            a member asks another whether it reaches the holder and the store
//   Queries          state and submission of jobs
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

#include "core/errors.h"
#include "fleet/model.h"
#include "fleet/team_keys.h"
#include "http/client.h"
#include "policy/refusal.h"

namespace monsoon {

template<class Archive>
void serialize(Archive& aArchive, HttpAddress& aAddress)
{
  aArchive(aAddress.mHost, aAddress.mPort);
}

template<class Archive>
void serialize(Archive& aArchive, CapacityLimit& aLimit)
{
  aArchive(aLimit.mMilliCores, aLimit.mMemoryMiB, aLimit.mAccelerators);
}

template<class Archive>
void serialize(Archive& aArchive, PoolCapacity& aPool)
{
  aArchive(aPool.mPool, aPool.mMilliCores, aPool.mLargest);
}

template<class Archive>
void serialize(Archive& aArchive, TeamBacklog& aBacklog)
{
  aArchive(aBacklog.mPool, aBacklog.mTeam, aBacklog.mPriority, aBacklog.mWork);
}

template<class Archive>
void serialize(Archive& aArchive, LoadSummary& aLoad)
{
  aArchive(aLoad.mPools, aLoad.mBacklogs);
}

}  // namespace monsoon

namespace monsoon::fleet {

template<class Archive>
void serialize(Archive& aArchive, CallerAccess& aAccess)
{
  aArchive(aAccess.mIsKnown, aAccess.mSeesAllJobs, aAccess.mTeam, aAccess.mAnonymousQueue);
}

// A message with fields that earlier builds did not store. They follow the others and may be
// missing.
template<class T>
concept HasAddedFields = requires(T& aMessage, cereal::BinaryInputArchive& aArchive)
{
  aMessage.SerializeAdded(aArchive);
};

// The same, with a second group of fields that was added after the first.
template<class T>
concept HasLaterFields = requires(T& aMessage, cereal::BinaryInputArchive& aArchive)
{
  aMessage.SerializeLater(aArchive);
};

template<class T>
std::string EncodeMessage(const T& aMessage)
{
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(aMessage);
  if constexpr (HasAddedFields<T>)
    aMessage.SerializeAdded(archive);
  if constexpr (HasLaterFields<T>)
    aMessage.SerializeLater(archive);
  return std::move(out).str();
}

// Fails with BadInput if aBytes can't be decoded as a T.
template<class T>
Result<T> DecodeMessage(std::string_view aBytes)
{
  std::istringstream in{ std::string(aBytes) };
  const auto hasMore = [&in] { return in.peek() != std::istringstream::traits_type::eof(); };
  T message;
  try {
    cereal::BinaryInputArchive archive(in);
    archive(message);
    if constexpr (HasAddedFields<T>)
      if (hasMore())
        message.SerializeAdded(archive);
    if constexpr (HasLaterFields<T>)
      if (hasMore())
        message.SerializeLater(archive);
  } catch (const std::exception& error) {
    return MakeFailure(FailureKind::BadInput, error.what());
  }
  return message;
}

// Stored records
// The holder of the scheduler's lease.
struct HolderRecord
{
  std::string mName{};
  std::string mHost{};
  std::uint16_t mPort = 0;  // of its peer interface
  std::uint64_t mEpoch = 0;
  std::uint64_t mNonce = 0;  // lets a candidate recognize its own write
  double mLargestCores = 0;  // of any process seen; smaller ones delay their candidacy
  std::uint64_t mLease = 0;  // that the holder's key is attached to
  bool mSettled = false;     // no order of an earlier holder can take effect any more
  bool operator==(const HolderRecord&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mHost, mPort, mEpoch, mNonce, mLargestCores, mLease, mSettled);
  }
};

// A worker that may run tasks.
struct WorkerRecord
{
  std::string mAddress{};
  std::string mService{};
  bool mIsFinal = false;  // it did not answer; mTasks is as of Scheduler::ListUnsettledTasks
  std::vector<std::string> mTasks{};
  std::int64_t mBornMs = 0;             // as in WorkerEntry
  std::uint64_t mCreatedRevision = 0;   // as in WorkerEntry
  std::vector<SuspectRun> mSuspects{};  // as listed by Scheduler::ListSuspects, if mIsFinal

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mService, mIsFinal, mTasks, mBornMs, mCreatedRevision);
  }
  void SerializeAdded(auto& aArchive) { aArchive(mSuspects); }
  void SerializeAdded(auto& aArchive) const { aArchive(mSuspects); }
};

// A job that was cancelled while no job of its id was stored.
struct CancelledId
{
  std::string mId{};
  CallerAccess mAccess{};  // of the caller that cancelled it
  bool operator==(const CancelledId&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mAccess);
  }
};

struct CancelledIdsRecord
{
  std::vector<CancelledId> mIds{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIds);
  }
};

// What a holder that stops as planned leaves to the next one.
struct HandoverRecord
{
  std::uint64_t mEpoch = 0;  // of the holder that stopped
  std::vector<LeaseWait> mLeaseWaits{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEpoch, mLeaseWaits);
  }
};

// Resignation
struct ResignReply  // of a process that was the holder and now sends no more orders
{
  // Since it sent the last order whose effect is unknown; without such an order, a long time.
  std::uint64_t mQuietMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mQuietMs);
  }
};

// Poll
struct AdviceResult
{
  std::uint64_t mNumber = 0;
  bool mAnswered = false;
  std::vector<AdmittedWorker> mAdmitted{};
  std::int64_t mValidMs = 0;
  std::int64_t mTookMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAnswered, mAdmitted, mValidMs, mTookMs);
  }
};

struct PollRequest
{
  std::string mName{};
  HttpAddress mAddress{};              // of this process, for other members' probes
  std::uint64_t mEpoch = 0;            // of the addressed holder
  double mCores = 0;                   // share of a core that this process has
  std::int64_t mStoreServedAgoMs = 0;  // time since the store last answered this process
  std::vector<AdviceResult> mResults{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mAddress, mEpoch, mCores, mStoreServedAgoMs, mResults);
  }
};

struct PollReply
{
  std::vector<AdviceOrder> mOrders{};   // at most one
  std::vector<HttpAddress> mMembers{};  // a random sample of other members
  bool mRequestsLeaseEnd = false;       // the receiver is to end the holder's lease in the store
  std::uint64_t mConfigVersion = 0;     // that the holder has; 0: not told
  LoadSummary mLoad{};                  // by which the receiver refuses jobs

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrders, mMembers, mRequestsLeaseEnd);
  }
  void SerializeAdded(auto& aArchive) { aArchive(mConfigVersion); }
  void SerializeAdded(auto& aArchive) const { aArchive(mConfigVersion); }
  void SerializeLater(auto& aArchive) { aArchive(mLoad); }
  void SerializeLater(auto& aArchive) const { aArchive(mLoad); }
};

// Probe
struct ProbeRequest
{
  HttpAddress mHolder{};
  std::uint64_t mEpoch = 0;  // of that holder; 0: don't ping it

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolder, mEpoch);
  }
};

struct ProbeReply
{
  bool mHolderAnswers = false;  // a ping by the probed member
  bool mStoreServes = false;    // calls of the probed member
  HolderRecord mHolder{};       // as known to the probed member; epoch 0: none
  // Since the probed member sent the newest call that the store served. Earlier releases don't say.
  std::int64_t mStoreServedAgoMs = 3'600'000;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolderAnswers, mStoreServes, mHolder);
  }
  void SerializeAdded(auto& aArchive) { aArchive(mStoreServedAgoMs); }
  void SerializeAdded(auto& aArchive) const { aArchive(mStoreServedAgoMs); }
};

// Queries
struct StateReply
{
  bool mIsKnown = false;
  std::uint8_t mState = 0;  // a JobState
  std::string mTeam{};      // of the job; as in JobSpec
  std::string mQueue{};     // of the job

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsKnown, mState);
  }
  void SerializeAdded(auto& aArchive) { aArchive(mTeam, mQueue); }
  void SerializeAdded(auto& aArchive) const { aArchive(mTeam, mQueue); }
};

struct CancelRequest  // relayed by a process that the store does not serve
{
  std::string mId{};
  CallerAccess mAccess{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId);
  }
  void SerializeAdded(auto& aArchive) { aArchive(mAccess); }
  void SerializeAdded(auto& aArchive) const { aArchive(mAccess); }
};

struct SubmitRequest  // relayed by a process that the store does not serve
{
  std::string mId{};
  std::string mValue{};  // an encoded JobSpec

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mValue);
  }
};

}  // namespace monsoon::fleet
