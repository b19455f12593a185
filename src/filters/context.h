// What the filters share: the context of one request, the settings, and the state that all requests
// of the process have in common.
//
// Index
//   Steps and outcomes
//   Context       one request
//   Settings
//   Shared state  one per process, any thread
//   Environment   the interfaces that the filters call
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
  Next,        // enter the next filter
  Done,        // the outcome is decided: leave the filters entered so far, in reverse order
  NewAttempt,  // continue at the placement filter
};

struct FilterOutcome  // an outcome that a filter may decide; each filter lists all of its own
{
  Outcome mOutcome = Outcome::NotRun;
  FailureKind mKind = FailureKind::Internal;  // ignored when mOutcome is Answered
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
  TimePoint mFirstSentAt{};     // start of the first attempt; the clock's epoch before that
  std::uint32_t mAttempts = 0;  // sent to endpoints so far
  std::optional<Grant> mGrant{};
  std::optional<RunAnswer> mAnswer{};
  std::optional<Failure> mFailure{};  // the reason if there is no answer
  bool mReplayed = false;             // mAnswer was recorded by an earlier call with the same key
  bool mKeyMayBeRecorded = false;     // this call may have recorded the key; report its outcome
  HttpResponse mResponse{};

  [[nodiscard]] Duration GetTimeLeft(TimePoint aNow) const { return mDeadline - aNow; }
};

// Ends the request without an answer, for the reason aKind. Its state machine decides whether the
// outcome is not_run or unknown. Returns FilterStep::Done.
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
  RoutingSettings mRouting{};  // the cell's setting "routing" overrides mRouting.mRouting
  RetrySettings mRetry{};
  AdmissionSettings mAdmission{};
  Duration mPeerDeadline = seconds(2);           // of every peer call but reservations
  Duration mMaxOutcomeWait = milliseconds(500);  // delay of an answer by the record of its outcome
  std::size_t mMaxRecordedBody = 64 * 1024;      // bytes; larger answers can't be replayed
};

// Shared state
class RequestShared
{
public:
  explicit RequestShared(const RequestSettings& aSettings);

  // Returns an id that no other call of the cell has.
  [[nodiscard]] std::string MakeCallId(const ProcessName& aSelf);
  // Counts a request as in flight. Returns false, and counts nothing, if the caller or the process
  // has too many in flight. Call EndRequest once for each true.
  [[nodiscard]] bool BeginRequest(const std::string& aCaller);
  void EndRequest(const std::string& aCaller);
  [[nodiscard]] bool TakeRetry();  // false: the retry budget is spent
  // Records how long a request waited for a slot, for MayStartInTime.
  void RecordWait(Priority aPriority, Duration aWaited, TimePoint aNow);
  [[nodiscard]] bool MayStartInTime(Priority aPriority, Duration aTimeLeft, TimePoint aNow);
  [[nodiscard]] std::uint64_t MakeSeed();
  [[nodiscard]] std::uint32_t CountInFlight() const noexcept;

  // Called once for each request when its outcome is decided, on any thread. Set it before the
  // first request.
  std::function<void(const RequestContext& aContext)> mOnDecided{};
  std::atomic<bool> mDraining = false;
  std::atomic<std::uint32_t> mBackground = 0;  // background operations in progress

private:
  static constexpr std::size_t kShards = 16;
  struct Shard  // splits the counters of callers, so that threads rarely wait for one lock
  {
    std::mutex mLock{};
    std::map<std::string, std::uint32_t> mInFlight{};  // by caller
  };

  const RequestSettings& mSettings;
  std::array<Shard, kShards> mShards{};
  std::atomic<std::uint32_t> mInFlight = 0;
  std::atomic<std::uint64_t> mNextCall = 1;
  std::uint64_t mStartNonce = 0;  // random; part of call ids, which stay unique over restarts
  std::mutex mPolicyLock{};       // guards the members below
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

// Returns the job shard that records an idempotency key; the same in every process.
[[nodiscard]] ShardIndex FindKeyShard(std::string_view aKey, std::uint32_t aShards) noexcept;

}  // namespace monsoon
