// Leaving workers get no new work, and a planned stop cuts nothing in flight.
//
// Index
//   Exclusion     workers that leave, or that an operator drains
//   StopMachine   life cycle of this process
//   StopDriver    runs it
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

class ExclusionTable  // any thread
{
public:
  // Call with each reading of the VM list and each new configuration. What changed since the last.
  // A worker that the list no longer shows counts as leaving.
  std::vector<ExclusionChange> UpdateWorkers(std::span<const WorkerSpec> aWorkers);
  std::vector<ExclusionChange> UpdateConfiguration(const Configuration& aConfiguration);
  [[nodiscard]] bool IsExcluded(const WorkerName& aWorker) const;

private:
  std::vector<ExclusionChange> Compare(std::set<WorkerName> aBefore) const;
  [[nodiscard]] std::set<WorkerName> Join() const;

  mutable std::mutex mLock{};
  std::set<WorkerName> mListed{};
  std::set<WorkerName> mLeaving{};
  std::set<WorkerName> mDrained{};
};

// StopMachine
enum class StopState : std::uint8_t
{
  Ready,
  Announced,   // /readyz fails and heartbeats say leaving; requests that still arrive are served
  Draining,    // no new requests; what is in flight finishes; owned workers still serve others
  HandedOver,  // owns nothing
  Stopped,     // its session has ended
};

enum class StopEvent : std::uint8_t
{
  Announce,
  BalancerTold,  // the balancer had time to see it
  Emptied,       // nothing is in flight, or the drain deadline passed
  OwnsNothing,
  SessionEnded,
};

class StopMachine
{
public:
  StopMachine();
  ~StopMachine();

  void Process(StopEvent aEvent);  // an event that doesn't belong to the state changes nothing
  [[nodiscard]] StopState GetState() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

// StopDriver
struct StopSettings
{
  Duration mAnnounceFor = seconds(2);   // longer than the balancer's probe interval
  Duration mDrainFor = seconds(60);     // longest wait for what is in flight
  Duration mHandOverFor = seconds(10);  // then the lease ends by itself, and others take over
  Duration mEndSessionFor = seconds(3);
  Duration mPoll = milliseconds(20);
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
  bool mHandedOver = false;  // else the takeover after the lease does it
  bool mSessionEnded = false;
};

class StopDriver
{
public:
  StopDriver(StopSettings aSettings, StopHooks aHooks);

  Async<StopReport> Run();  // call once; returns in state Stopped

  // Any thread
  [[nodiscard]] StopState GetState() const noexcept { return mState.load(); }
  [[nodiscard]] bool IsReady() const noexcept { return GetState() == StopState::Ready; }
  [[nodiscard]] bool TakesRequests() const noexcept { return GetState() <= StopState::Announced; }

private:
  void Process(StopEvent aEvent);

  StopSettings mSettings;
  StopHooks mHooks;
  StopMachine mMachine{};
  std::atomic<StopState> mState = StopState::Ready;
};

}  // namespace monsoon
