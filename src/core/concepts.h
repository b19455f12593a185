// The seams of the system: what varies, and what tests mock.
// Every asynchronous call has a deadline of its own and never throws; failures come in Result.
//
// Index
//   Store          the platform's key-value service
//   VmList         the platform's lagging list of VMs
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
enum class CallPurpose : std::uint8_t  // what a store call was for; each is counted
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
  std::uint64_t mRevision = 0;  // of the last write to this key; for compare-and-swap
};

struct WatchBatch
{
  std::vector<StoreValue> mChanges{};  // in revision order; may repeat what was seen
  std::uint64_t mRevision = 0;         // pass to the next Watch
  bool mHistoryLost = false;           // the history was dropped: list again
};

// A write answers WriteUnknown when its answer was lost: read the key back before any further
// write.
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
  // Keys that start with the prefix and sort after aAfter, in key order.
  {
    aStore.List(aKey, aKey, aLimit, aPurpose)
    } -> std::same_as<Async<Result<std::vector<StoreValue>>>>;
  // AlreadyExists when the key has a value. Returns the new revision.
  {
    aStore.Create(aKey, aValue, aPurpose)
    } -> std::same_as<Async<Result<std::uint64_t>>>;
  // Conflict when the key's revision differs. Returns the new revision.
  {
    aStore.CompareAndSwap(aKey, aValue, aRevision, aPurpose)
    } -> std::same_as<Async<Result<std::uint64_t>>>;
  // Conflict when the key's revision differs; aRevision 0 deletes whatever is there.
  {
    aStore.Delete(aKey, aRevision, aPurpose)
    } -> std::same_as<Async<Result<void>>>;
  // Waits for changes under a prefix after a store revision; empty when aWait passes.
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
  // PeerUnreachable: nothing was handed over. PeerUnknown or Timeout: it may have been.
  // A failure of the peer's handler comes back as this Result's failure.
  {
    aPeers.Call(aTo, aRequest, aDeadline)
    } -> std::same_as<Async<Result<PeerReply>>>;
};

// WorkerClient
struct WorkerTask  // a task as the worker sees it
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  Epoch mEpoch = 0;  // of the owner that started it
  TaskEnd mEnd = TaskEnd::Running;
  Resources mNeed{};  // what it was started with
  Resources mUsed{};  // lagging
  Duration mRan{};
};

struct Inventory  // all that a worker knows; finished tasks stay until acknowledged
{
  std::string mIncarnation{};  // changes when the worker restarts
  std::int64_t mNowMs = 0;     // the worker's own clock when it answered; start deadlines are in it
  Epoch mHighestEpoch = 0;     // highest seen
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
  // EndpointUnreachable/EndpointRefused: it did not run. EndpointUnknown/Timeout: it may have.
  {
    aClient.Run(aWorker, aRequest, aGrant, aDeadline)
    } -> std::same_as<Async<Result<RunAnswer>>>;
  // aStartBefore is in ms on the worker's own clock: a sender that froze can't start work late.
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
