// What the filters share: the request on its way, its settings, and the state of the process that
// all requests have in common.
//
// Index
//   Steps and outcomes
//   Context       one request
//   Settings
//   Shared state  one per process, any thread
//   Environment   the seams that the filters call
#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <random>
#include <span>

#include "controllers/views.h"
#include "core/concepts.h"
#include "filters/request_machine.h"
#include "http/server.h"
#include "policy/admission.h"
#include "policy/retry.h"
#include "policy/routing.h"

namespace monsoon {

// Steps and outcomes
enum class FilterStep : std::uint8_t
{
  Next,   // on to the next filter
  Done,   // the outcome is decided: leave the filters entered so far, in reverse order
  Again,  // a new attempt: back to the placement filter
};

struct FilterOutcome  // an outcome that a filter may decide; each filter lists all of its own
{
  Outcome mOutcome = Outcome::NotRun;
  FailureKind mKind = FailureKind::Internal;  // means nothing with Answered
  bool operator==(const FilterOutcome&) const = default;
};

// Context
struct RequestContext
{
  RequestSpec mSpec{};
  std::string mCallId{};  // unique in the cell; names this call in the key table
  TimePoint mArrivedAt{};
  TimePoint mDeadline{};
  RequestMachine mMachine{};
  TimePoint mFirstSentAt{};     // of the first attempt; the epoch while there was none
  std::uint32_t mAttempts = 0;  // at endpoints
  std::optional<Grant> mGrant{};
  std::optional<RunAnswer> mAnswer{};
  std::optional<Failure> mFailure{};  // why there is no answer
  bool mReplayed = false;             // the answer was recorded earlier
  bool mKeyMayStand = false;          // the key may be recorded under mCallId
  HttpResponse mResponse{};

  [[nodiscard]] Duration GetTimeLeft(TimePoint aNow) const { return mDeadline - aNow; }
};

// Decides the request without an answer. Whether it may have run is the machine's to say.
FilterStep StopRequest(RequestContext& aContext, FailureKind aKind, std::string aDetail = {});

// Settings
struct LimitSettings
{
  std::uint32_t mMaxInFlight = 4096;           // in this process
  std::uint32_t mMaxInFlightPerCaller = 1024;  // in this process
};

struct RequestSettings
{
  ProcessName mSelf{};
  ZoneName mZone{};
  std::uint32_t mJobShards = 16;
  LimitSettings mLimits{};
  RoutingSettings mRouting{};  // the cell's setting "routing" goes before mRouting.mRouting
  RetrySettings mRetry{};
  AdmissionSettings mAdmission{};
  Duration mPeerDeadline = seconds(2);        // each call but reservations
  Duration mOutcomeWait = milliseconds(500);  // an answer is held back so long for its record
  std::size_t mMaxRecordedBody = 64 * 1024;   // larger answers can't be replayed
};

// Shared state
class RequestShared
{
public:
  explicit RequestShared(const RequestSettings& aSettings);

  [[nodiscard]] std::string MakeCallId(const ProcessName& aSelf);
  // False: the caller or the process has too many in flight. Pair with EndRequest.
  [[nodiscard]] bool BeginRequest(const std::string& aCaller);
  void EndRequest(const std::string& aCaller);
  [[nodiscard]] bool TakeRetry();
  void RecordWait(Priority aPriority, Duration aWaited, TimePoint aNow);
  [[nodiscard]] bool MayStartInTime(Priority aPriority, Duration aTimeLeft, TimePoint aNow);
  [[nodiscard]] std::uint64_t MakeSeed();
  [[nodiscard]] std::uint32_t CountInFlight() const noexcept;

  // Called once per request when it is decided. Set before the first request; any thread calls it.
  std::function<void(const RequestContext& aContext)> mOnDecided{};
  std::atomic<bool> mDraining = false;
  std::atomic<std::uint32_t> mBackground = 0;  // returns of grants and records under way

private:
  static constexpr std::size_t kShards = 16;
  struct Shard
  {
    std::mutex mLock{};
    std::map<std::string, std::uint32_t> mInFlight{};  // by caller
  };

  const RequestSettings& mSettings;
  std::array<Shard, kShards> mShards{};
  std::atomic<std::uint32_t> mInFlight = 0;
  std::atomic<std::uint64_t> mNextCall = 1;
  std::uint64_t mStart = 0;  // random; tells calls of two starts of one process apart
  std::mutex mPolicyLock{};
  RetryBudget mBudget;
  WaitEstimator mWaits;
  RandomSource mRandom;
};

// Environment
template<PeerCaller Peers,
         WorkerClient Workers,
         OwnershipView Ownership,
         MembershipView Membership,
         ConfigurationView ConfigurationSource>
struct RequestEnvironment  // references only; copied into background work
{
  Peers& mPeers;
  Workers& mWorkers;
  const Ownership& mOwnership;
  const Membership& mMembership;
  const ConfigurationSource& mConfiguration;
  const RequestSettings& mSettings;
  RequestShared& mShared;
};

[[nodiscard]] ShardIndex FindKeyShard(std::string_view aKey, std::uint32_t aShards) noexcept;

}  // namespace monsoon
