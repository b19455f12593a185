// The owner's capacity ledger: the capacity of each owned worker, and what of it is allocated to
// whom. Capacity is allocated nowhere else, so a worker with a single owner can't be overcommitted.
// Pure state: the caller passes the time and holds the shard's lock; nothing here waits.
//
// Index
//   Workers       added and removed with ownership; count as full until an inventory was read
//   Slots         granted to entry processes, for requests
//   Holds         capacity for tasks: reserved by a hold, then used by a started task until it ends
//   Time          expiry and start deadlines
//   Reading       views for decisions and reports; invariants
#pragma once

#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "core/concepts.h"
#include "policy/worker_view.h"

namespace monsoon {

inline constexpr Duration kGrantStartWithin = seconds(2);  // from a grant to the latest start
// Longest time from setting any start deadline to that deadline. The quiet time of the next owner
// (SetQuietUntil) covers it.
inline constexpr Duration kMaxStartWithin = seconds(10);
// A reading of a worker's clock that is older than this is not used to compute start deadlines.
inline constexpr Duration kMaxReadingAge = seconds(10);

class CapacityBook
{
public:
  // Grant ids are aFirstId, aFirstId + aStep, ..., which keeps them distinct between the shards of
  // one process.
  explicit CapacityBook(GrantId aFirstId = 1, GrantId aStep = 1);

  // Workers
  // Adds a worker or updates its spec. With a new epoch or address it counts as full until its
  // inventory is read. A lower epoch is ignored.
  void PutWorker(const WorkerSpec& aSpec, Epoch aEpoch);
  void DropWorker(const WorkerName& aWorker);  // ownership was lost: removes all its state
  void SetExcluded(const WorkerName& aWorker, bool aExcluded);  // excluded: no new work
  // Applies an inventory whose read was sent at aSentAt. A grant loses its slot only if it
  // had expired before aSentAt and the inventory lacks its request.
  void ApplyInventory(const WorkerName& aWorker,
                      const Inventory& aInventory,
                      TimePoint aSentAt,
                      TimePoint aNow);
  // Until aQuietUntil, starts sent by the previous owner may still arrive, so the worker counts as
  // full until an inventory is applied whose read was sent later.
  void SetQuietUntil(const WorkerName& aWorker, TimePoint aQuietUntil);

  // Slots
  // Grants a slot to a request. CapacityFull: no slot is free. Conflict: the request may still run
  // on that worker under another grant; inventories list request ids only, so two runs of one
  // request on one worker could not be told apart.
  Result<Grant> TakeSlot(const WorkerName& aWorker,
                         const RequestId& aRequest,
                         Duration aHold,
                         TimePoint aNow);
  // Fenced: the grant belongs to another epoch.
  Result<void> ReturnSlot(const GrantReturn& aReturn, TimePoint aNow);

  // Holds
  // Reserves capacity for as many of the tasks as fit, perhaps for fewer than requested.
  Result<HoldReply> Hold(const HoldRequest& aRequest, TimePoint aNow);
  // Turns a task's reservation into a started task. NotFound: the hold has expired.
  Result<void> BeginStart(const TaskStart& aStart, TimePoint aNow);
  Result<void> ReleaseHold(const HoldRelease& aRelease, TimePoint aNow);
  void EndTask(const WorkerName& aWorker, const TaskKey& aTask, std::uint32_t aAttempt);

  // Time
  // Drops expired holds and returns the grants that expired since the last call. An expired grant
  // keeps its slot until a later inventory shows that its request doesn't run.
  std::vector<Grant> Expire(TimePoint aNow);
  // Returns aNow + aWithin in ms of the worker's own clock, rounded towards an earlier deadline.
  // NotReady: the last reading of that clock is too old.
  [[nodiscard]] Result<std::int64_t> FindStartBefore(const WorkerName& aWorker,
                                                     Duration aWithin,
                                                     TimePoint aNow) const;

  // Reading
  [[nodiscard]] std::vector<WorkerView> ListViews(const JobId& aJob = {}) const;
  [[nodiscard]] std::optional<WorkerView> FindView(const WorkerName& aWorker,
                                                   const JobId& aJob = {}) const;
  // Returns the attempts that were started here or found in an inventory, and that EndTask has not
  // ended yet.
  [[nodiscard]] std::vector<std::pair<TaskKey, std::uint32_t>> ListStarted(
    const WorkerName& aWorker) const;
  [[nodiscard]] std::optional<Epoch> FindEpoch(const WorkerName& aWorker) const;
  // Returns the number of slots that can be granted now, over all workers. Heartbeats carry it.
  [[nodiscard]] std::uint32_t CountFreeSlots() const;
  // Returns a counter that grows whenever slots may have become free.
  [[nodiscard]] std::uint64_t CountSlotChanges() const noexcept;
  // Returns an empty string when the ledger is consistent. Otherwise describes the first worker
  // whose allocations exceed its capacity or whose sums are wrong, with its last changes.
  [[nodiscard]] std::string FindInvariantViolation() const;
  void CheckInvariants() const;  // aborts with the description of a violation

private:
  using Attempt = std::pair<TaskKey, std::uint32_t>;

  enum class Change : std::uint8_t  // named in the description of a violation
  {
    TookOver,
    Shrunk,    // the capacity was reduced
    Lent,      // a slot was granted
    Returned,  // a granted slot became free
    Held,
    Released,
    Began,  // a task was started
    Ended,
    Found,  // in an inventory
  };
  struct Event  // one change of a worker's counts, for the description of a violation
  {
    Change mChange = Change::TookOver;
    GrantId mId = 0;
    Resources mAmount{};
  };
  struct SlotGrant
  {
    RequestId mRequest{};
    TimePoint mStartUntil{};  // the endpoint refuses a later start
    TimePoint mExpiry{};      // from then on an inventory that was sent later may free the slot
    bool mExpired = false;    // already returned by Expire
    bool mInDoubt = false;    // returned without a complete answer: the endpoint may still run it
  };
  struct HeldCapacity
  {
    std::set<TaskKey> mTasks{};
    Resources mNeed{};  // per task
    TimePoint mExpiry{};
  };
  struct Started
  {
    Resources mNeed{};            // as requested
    Resources mCounted{};         // per dimension the larger of mNeed and the reported use
    bool mFromInventory = false;  // found in an inventory, not started under this epoch
    bool mEnded = false;          // the worker reported its end; it counts nothing any more
  };
  struct Worker
  {
    WorkerSpec mSpec{};
    Epoch mEpoch = 0;
    bool mKnown = false;  // an inventory was applied; counts as full otherwise
    bool mExcluded = false;
    TimePoint mQuietUntil = TimePoint::min();
    TimePoint mReadSentAt = TimePoint::min();  // when the read of the last inventory was sent
    TimePoint mReadAt = TimePoint::min();      // when it was applied
    std::int64_t mReadNowMs = 0;               // the worker's clock in it
    std::string mIncarnation{};
    std::map<GrantId, SlotGrant> mGrants{};
    std::map<GrantId, HeldCapacity> mHolds{};
    std::map<Attempt, Started> mStarted{};
    std::set<RequestId> mUntrackedRequests{};      // in the last inventory, without a grant here
    std::map<RequestId, TimePoint> mRecentEnds{};  // returned since the last inventory was sent
    Resources mCounted{};                          // sum over grants, holds, tasks and requests
    Resources mAllowance{};  // upper bound of allocations: the capacity, or what was allocated
                             // before the capacity shrank
    std::deque<Event> mEvents{};
  };

  Worker* Find(const WorkerName& aWorker);
  const Worker* Find(const WorkerName& aWorker) const;
  GrantId MakeId();
  // Add to and subtract from Worker::mCounted, and record the change in Worker::mEvents.
  void Count(Worker& aWorker, Change aChange, GrantId aId, const Resources& aAmount);
  void Uncount(Worker& aWorker, Change aChange, GrantId aId, const Resources& aAmount);
  void ApplyRequests(Worker& aWorker, const Inventory& aInventory, TimePoint aSentAt);
  void ApplyTasks(Worker& aWorker, const Inventory& aInventory);
  void Recount(Worker& aWorker, Started& aStarted, const Resources& aCounted);
  void FreeSlot(Worker& aWorker, std::map<GrantId, SlotGrant>::iterator aGrant);
  void DropHold(Worker& aWorker, std::map<GrantId, HeldCapacity>::iterator aHold);
  static Resources FindFree(const Worker& aWorker);
  static Resources SumAllocated(const Worker& aWorker);  // by this owner, under this epoch
  static Resources SumCounted(const Worker& aWorker);    // and what inventories have shown besides
  static WorkerView MakeView(const Worker& aWorker, const JobId& aJob);

  std::map<WorkerName, Worker> mWorkers{};
  GrantId mNextId = 1;
  GrantId mStep = 1;
  std::uint64_t mSlotChanges = 0;
};

}  // namespace monsoon
