// Interfaces to external services, as concepts; production code and test mocks implement them.
// Every asynchronous call has its own deadline and never throws; it returns failures in Result.
//
// Index
//   Store          the platform's key-value service
//   VmList         the platform's list of VMs, which lags behind reality
//   PeerCaller     calls to other monsoonstage processes
//   WorkerClient   calls to endpoints
#pragma once

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/async.h"
#include "core/model.h"
#include "peer/messages.h"

namespace monsoon {

// Store
enum class CallPurpose : std::uint8_t  // why a store call is made; calls are counted by purpose
{
  Journal,
  Snapshot,
  Session,
  Watch,
  Recovery,
  Vms,
};
inline constexpr std::size_t kCallPurposes = 6;

struct StoreValue
{
  std::string mKey{};
  std::string mValue{};
  std::uint64_t mRevision = 0;  // of the last write to this key; used for compare-and-swap
};

struct WatchBatch
{
  std::vector<StoreValue> mChanges{};  // in revision order; may repeat changes seen before
  std::uint64_t mRevision = 0;         // where the next Watch starts
  bool mHistoryLost = false;           // changes were dropped; list the keys again
};

// A write fails with WriteUnknown when its response was lost: it may have taken effect, so the
// caller must read the key back before it writes again.
template<class T>
concept Store = requires(T& aStore,
                         std::string aKey,
                         std::string aValue,
                         std::uint64_t aRevision,
                         std::size_t aLimit,
                         Duration aWait,
                         CallPurpose aPurpose)
{
  {
    aStore.Get(aKey, aPurpose)
    } -> std::same_as<Async<Result<std::optional<StoreValue>>>>;
  // Arguments: prefix, after, limit, purpose. Returns the keys that start with the prefix and sort
  // after the second argument, in key order.
  {
    aStore.List(aKey, aKey, aLimit, aPurpose)
    } -> std::same_as<Async<Result<std::vector<StoreValue>>>>;
  // Fails with AlreadyExists when the key has a value. Returns the new revision.
  {
    aStore.Create(aKey, aValue, aPurpose)
    } -> std::same_as<Async<Result<std::uint64_t>>>;
  // Fails with Conflict when the key's revision differs. Returns the new revision.
  {
    aStore.CompareAndSwap(aKey, aValue, aRevision, aPurpose)
    } -> std::same_as<Async<Result<std::uint64_t>>>;
  // Fails with Conflict when the key's revision differs; aRevision 0 deletes any revision.
  {
    aStore.Delete(aKey, aRevision, aPurpose)
    } -> std::same_as<Async<Result<void>>>;
  // Waits for changes under a prefix after a store revision. Returns no changes when none occurred
  // within aWait.
  {
    aStore.Watch(aKey, aRevision, aWait)
    } -> std::same_as<Async<Result<WatchBatch>>>;
};

// VmList
template<class T>
concept VmList = requires(T& aList)
{
  {
    aList.ListWorkers()
    } -> std::same_as<Async<Result<std::vector<WorkerSpec>>>>;
};

// PeerCaller
template<class T>
concept PeerCaller = requires(T& aPeers, ProcessName aTo, PeerRequest aRequest, Duration aDeadline)
{
  // PeerUnreachable: the request was not delivered. PeerUnknown or Timeout: it may have been
  // delivered. A failure of the peer's handler is returned as the failure of this call.
  {
    aPeers.Call(aTo, aRequest, aDeadline)
    } -> std::same_as<Async<Result<PeerReply>>>;
};

// WorkerClient
struct WorkerTask  // a task as its worker reports it
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  Epoch mEpoch = 0;  // epoch of the owner that started the task
  TaskEnd mEnd = TaskEnd::Running;
  Resources mNeed{};  // requested at the start
  Resources mUsed{};  // measured usage; lags behind
  Duration mRan{};
};

struct Inventory  // everything that a worker reports; finished tasks stay until acknowledged
{
  std::string mIncarnation{};  // changes when the worker restarts
  std::int64_t mNowMs = 0;     // the worker's clock, which start deadlines refer to
  Epoch mHighestEpoch = 0;     // highest epoch that the worker has seen
  std::vector<WorkerTask> mTasks{};
  std::vector<RequestId> mRequests{};  // requests that occupy slots now
};

struct LeaseRenewal  // renews the leases of tasks and acknowledges finished ones
{
  Epoch mEpoch = 0;
  Duration mLease{};
  std::vector<std::pair<TaskKey, std::uint32_t>> mRenew{};
  std::vector<std::pair<TaskKey, std::uint32_t>> mAcknowledge{};
};

struct RunAnswer
{
  std::uint32_t mStatus = 200;
  std::string mBody{};
};

template<class T>
concept WorkerClient = requires(T& aClient,
                                const WorkerSpec& aWorker,
                                const RequestSpec& aRequest,
                                const Grant& aGrant,
                                const TaskStart& aStart,
                                const TaskStop& aStop,
                                const LeaseRenewal& aRenewal,
                                std::int64_t aStartBefore,
                                Duration aLease,
                                Duration aDeadline)
{
  // EndpointUnreachable or EndpointRefused: the request did not run. EndpointUnknown or Timeout: it
  // may have run.
  {
    aClient.Run(aWorker, aRequest, aGrant, aDeadline)
    } -> std::same_as<Async<Result<RunAnswer>>>;
  // aStartBefore is a deadline in ms on the worker's clock: a message from a sender that was
  // suspended can't start work late.
  {
    aClient.Start(aWorker, aStart, aStartBefore, aLease, aDeadline)
    } -> std::same_as<Async<Result<void>>>;
  {
    aClient.Stop(aWorker, aStop, aDeadline)
    } -> std::same_as<Async<Result<void>>>;
  {
    aClient.Renew(aWorker, aRenewal, aDeadline)
    } -> std::same_as<Async<Result<Inventory>>>;
};

}  // namespace monsoon
