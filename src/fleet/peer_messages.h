// What entry processes say to each other: HTTP POSTs with cereal bodies, to whoever holds the
// scheduler's lease.
//
// Index
//   Lease holder   how the holder is found
//   Poll           members wait at the holder for policy calls to make
//   Probe          one member asks another what it can reach
//   Questions      about jobs
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

#include "core/errors.h"
#include "fleet/model.h"
#include "http/client.h"

namespace monsoon {

template<class Archive>
void serialize(Archive& aArchive, HttpAddress& aAddress)
{
  aArchive(aAddress.mHost, aAddress.mPort);
}

}  // namespace monsoon

namespace monsoon::fleet {

template<class T>
std::string EncodeMessage(const T& aMessage)
{
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(aMessage);
  return std::move(out).str();
}

// Fails with BadInput for bytes that are no such message.
template<class T>
Result<T> DecodeMessage(std::string_view aBytes)
{
  std::istringstream in{ std::string(aBytes) };
  T message;
  try {
    cereal::BinaryInputArchive archive(in);
    archive(message);
  } catch (const std::exception& error) {
    return MakeFailure(FailureKind::BadInput, error.what());
  }
  return message;
}

// Lease holder, as it stands in the store
struct HolderRecord
{
  std::string mName{};
  std::string mHost{};
  std::uint16_t mPort = 0;  // of its peer interface
  std::uint64_t mEpoch = 0;
  std::uint64_t mNonce = 0;  // tells a write of one's own from another's
  double mLargestCores = 0;  // of any process that was seen; smaller ones stand back
  std::uint64_t mLease = 0;  // of its key in the store
  bool operator==(const HolderRecord&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mHost, mPort, mEpoch, mNonce, mLargestCores, mLease);
  }
};

// A worker that may run tasks, as it stands in the store
struct WorkerRecord
{
  std::string mAddress{};
  std::string mService{};
  bool mIsFinal = false;  // it was silent, and mTasks is all that it may run
  std::vector<std::string> mTasks{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mService, mIsFinal, mTasks);
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
  HttpAddress mAddress{};    // of this process, for other members' probes
  std::uint64_t mEpoch = 0;  // of the holder that is meant
  double mCores = 0;         // share of a core that this process has
  std::int64_t mStoreServedAgoMs =
    0;  // since the newest call of this process that the store served
  std::vector<AdviceResult> mResults{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mAddress, mEpoch, mCores, mStoreServedAgoMs, mResults);
  }
};

struct PollReply
{
  std::vector<AdviceOrder> mOrders{};   // none or one
  std::vector<HttpAddress> mMembers{};  // a few others, drawn at random
  bool mHasResigned = false;  // the holder can't reach the store: its lease is to be ended

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrders, mMembers, mHasResigned);
  }
};

// Probe
struct ProbeRequest
{
  HttpAddress mHolder{};
  std::uint64_t mEpoch = 0;  // of the holder that is meant; 0: don't try it

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolder, mEpoch);
  }
};

struct ProbeReply
{
  bool mHolderAnswers = false;
  bool mStoreServes = false;  // the process that was asked
  HolderRecord mHolder{};     // that it knows; epoch 0: none

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolderAnswers, mStoreServes, mHolder);
  }
};

// Questions
struct StateReply
{
  bool mIsKnown = false;
  std::uint8_t mState = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsKnown, mState);
  }
};

struct SubmitRequest  // relayed by a process that the store turns away
{
  std::string mId{};
  std::string mValue{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mValue);
  }
};

}  // namespace monsoon::fleet
