// Excludes leaving and drained workers from new work, and stops this process in an order that
// aborts no request in flight before the drain deadline.
//
// Index
//   Exclusion     workers that leave, or that an operator drains
//   StopMachine   states of a planned stop of this process
//   StopDriver    runs the planned stop
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <span>

#include "controllers/views.h"
#include "core/async.h"

namespace monsoon {

// Exclusion
struct ExclusionChange
{
  WorkerName mWorker{};
  bool mExcluded = false;
};

class ExclusionTable  // may be used from any thread
{
public:
  // Called with each reading of the VM list and each new configuration. Return the workers whose
  // exclusion changed. A worker that disappeared from the list counts as leaving.
  std::vector<ExclusionChange> UpdateWorkers(std::span<const WorkerSpec> aWorkers);
  std::vector<ExclusionChange> UpdateConfiguration(const Configuration& aConfiguration);
  [[nodiscard]] bool IsExcluded(const WorkerName& aWorker) const;

private:
  std::vector<ExclusionChange> Compare(std::set<WorkerName> aBefore) const;
  [[nodiscard]] std::set<WorkerName> Join() const;  // all excluded workers

  mutable std::mutex mLock{};
  std::set<WorkerName> mListed{};
  std::set<WorkerName> mLeaving{};
  std::set<WorkerName> mDrained{};
};

// StopMachine
enum class StopState : std::uint8_t
{
  Ready,
  Announced,  // /readyz fails and heartbeats carry `leaving`; new requests are still served
  Draining,  // refuses new requests and finishes those in flight; its workers serve other processes
  HandedOver,  // owns no worker and no shard
  Stopped,     // its session has ended
};

enum class StopEvent : std::uint8_t
{
  Announce,
  BalancerNotified,  // the load balancer had time to notice that /readyz fails
  DrainEnded,        // nothing is in flight, or the drain deadline has passed
  OwnsNothing,
  SessionEnded,
};

class StopMachine
{
public:
  StopMachine();
  ~StopMachine();

  void Process(StopEvent aEvent);  // ignores an event that the state doesn't expect
  [[nodiscard]] StopState GetState() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

// StopDriver
struct StopSettings
{
  Duration mAnnounceFor = seconds(2);   // longer than the load balancer's probe interval
  Duration mDrainFor = seconds(60);     // longest wait for requests in flight
  Duration mHandOverFor = seconds(10);  // after that the others take over when the lease expires
  Duration mEndSessionFor = seconds(3);
  Duration mPollInterval = milliseconds(20);
};

struct StopHooks
{
  std::function<std::size_t()> mCountInFlight{};  // requests and outgoing calls of this process
  std::function<Async<Result<void>>(Duration)> mHandOver{};    // OwnershipController::HandOverAll
  std::function<Async<Result<void>>(Duration)> mEndSession{};  // Session::EndWithin
};

struct StopReport
{
  std::size_t mAborted = 0;  // still in flight at the drain deadline
  bool mHandedOver = false;  // if false, the others take over when the lease expires
  bool mSessionEnded = false;
};

class StopDriver
{
public:
  StopDriver(StopSettings aSettings, StopHooks aHooks);

  Async<StopReport> Run();  // called once; returns in the state Stopped

  // May be called from any thread
  [[nodiscard]] StopState GetState() const noexcept { return mState.load(); }
  [[nodiscard]] bool IsReady() const noexcept { return GetState() == StopState::Ready; }
  [[nodiscard]] bool AcceptsRequests() const noexcept { return GetState() <= StopState::Announced; }

private:
  void Process(StopEvent aEvent);

  StopSettings mSettings;
  StopHooks mHooks;
  StopMachine mMachine{};
  std::atomic<StopState> mState = StopState::Ready;
};

}  // namespace monsoon
