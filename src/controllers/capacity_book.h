// The owner's book: what each owned worker has, and who holds what of it. The only place that gives
// capacity away, so overcommit is impossible while a worker has one owner. Pure state: time is
// passed in, nothing waits, no lock (its user holds the shard's lock).
//
// Index
//   Workers       come and go with ownership; full until an inventory is read
//   Slots         lent to entry processes by grants
//   Holds         room for tasks: held, then started, then ended
//   Time          expiry, start deadlines
//   Reading       views for decisions and reports
#pragma once

#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "core/concepts.h"
#include "policy/worker_view.h"

namespace monsoon {

inline constexpr Duration kGrantStartWithin = seconds(2);  // latest start after a grant was given
inline constexpr Duration kMaxStartWithin = seconds(10);   // latest start after any promise; a
                                                           // successor's quiet time covers it
inline constexpr Duration kMaxReadingAge = seconds(10);    // older readings of a worker's clock
                                                           // give no start deadline

class CapacityBook
{
public:
  // Grant ids are aFirstId, aFirstId + aStep, …: distinct between the shards of one process.
  explicit CapacityBook(GrantId aFirstId = 1, GrantId aStep = 1);

  // Workers
  void PutWorker(const WorkerSpec& aSpec,
                 Epoch aEpoch);  // a new epoch or address: counts as full; else updates the spec
  void DropWorker(const WorkerName& aWorker);  // ownership lost: forget all of it
  void SetExcluded(const WorkerName& aWorker, bool aExcluded);
  // aSentAt: when the read was sent. Only grants older than that may be judged by what it shows.
  // Until aQuietUntil passes, unknown starts of a predecessor may still arrive: the worker stays
  // full.
  void ApplyInventory(const WorkerName& aWorker,
                      const Inventory& aInventory,
                      TimePoint aSentAt,
                      TimePoint aNow);
  void SetQuietUntil(const WorkerName& aWorker, TimePoint aQuietUntil);

  // Slots
  // CapacityFull: none free. Conflict: this request may still run on that worker under another
  // grant; one worker's report could not tell the two apart.
  Result<Grant> TakeSlot(const WorkerName& aWorker,
                         const RequestId& aRequest,
                         Duration aHold,
                         TimePoint aNow);
  Result<void> ReturnSlot(const GrantReturn& aReturn, TimePoint aNow);  // Fenced: another epoch

  // Holds
  Result<HoldReply> Hold(const HoldRequest& aRequest,
                         TimePoint aNow);  // perhaps for fewer tasks than asked
  Result<void> BeginStart(const TaskStart& aStart,
                          TimePoint aNow);  // NotFound: the hold has expired
  Result<void> ReleaseHold(const HoldRelease& aRelease, TimePoint aNow);
  void EndTask(const WorkerName& aWorker, const TaskKey& aTask, std::uint32_t aAttempt);

  // Time
  std::vector<Grant> Expire(
    TimePoint aNow);  // drops expired holds; expired grants wait for the next inventory
  // aNow + aWithin as ms on the worker's own clock, rounded to the early side. NotReady: the last
  // reading of that clock is too old.
  [[nodiscard]] Result<std::int64_t> FindStartBefore(const WorkerName& aWorker,
                                                     Duration aWithin,
                                                     TimePoint aNow) const;

  // Reading
  [[nodiscard]] std::vector<WorkerView> ListViews(const JobId& aJob = {}) const;
  [[nodiscard]] std::optional<WorkerView> FindView(const WorkerName& aWorker,
                                                   const JobId& aJob = {}) const;
  // Begun here or found in an inventory, and not yet ended by EndTask.
  [[nodiscard]] std::vector<std::pair<TaskKey, std::uint32_t>> ListStarted(
    const WorkerName& aWorker) const;
  [[nodiscard]] std::optional<Epoch> FindEpoch(const WorkerName& aWorker) const;
  // Slots that can be given now, over all workers; what heartbeats gossip.
  [[nodiscard]] std::uint32_t CountFreeSlots() const;
  [[nodiscard]] std::uint64_t CountSlotChanges() const noexcept;  // grows when slots may have freed
  // Empty when sound; else which worker was given more than it has, and how it came about.
  [[nodiscard]] std::string FindInvariantViolation() const;
  void CheckInvariants()
    const;  // asserts that no worker is given more than it has, and says how it came about

private:
  using Attempt = std::pair<TaskKey, std::uint32_t>;

  enum class Act : std::uint8_t
  {
    TookOver,
    Shrunk,
    Lent,
    Returned,
    Held,
    Released,
    Began,
    Ended,
    Found,
  };
  struct Event  // for the account of how an unsound state came about
  {
    Act mAct = Act::TookOver;
    GrantId mId = 0;
    Resources mAmount{};
  };
  struct Loan  // a slot under a grant
  {
    RequestId mRequest{};
    TimePoint mStartUntil{};  // the endpoint refuses a later start
    TimePoint mExpiry{};      // later only an inventory sent after it may free the slot
    bool mExpired = false;    // told by Expire
    bool mInDoubt = false;    // returned without a whole answer: the endpoint may still run it
  };
  struct HeldRoom
  {
    std::set<TaskKey> mTasks{};
    Resources mNeed{};  // per task
    TimePoint mExpiry{};
  };
  struct Started
  {
    Resources mNeed{};       // as given
    Resources mCounted{};    // per dimension the larger of mNeed and the reported use
    bool mFound = false;     // taken from an inventory, not begun under this epoch
    bool mFinished = false;  // the worker said it ended; counts nothing any more
  };
  struct Worker
  {
    WorkerSpec mSpec{};
    Epoch mEpoch = 0;
    bool mKnown = false;
    bool mExcluded = false;
    TimePoint mQuietUntil = TimePoint::min();
    TimePoint mReadSentAt = TimePoint::min();  // of the last inventory applied
    TimePoint mReadAt = TimePoint::min();
    std::int64_t mReadNowMs = 0;
    std::string mIncarnation{};
    std::map<GrantId, Loan> mLoans{};
    std::map<GrantId, HeldRoom> mHolds{};
    std::map<Attempt, Started> mStarted{};
    std::set<RequestId> mFoundRequests{};          // in an inventory and under no grant
    std::map<RequestId, TimePoint> mRecentEnds{};  // returned since the last inventory was sent
    Resources mCounted{};                          // sum of all of the above
    Resources mAllowance{};  // capacity, or what was given before the capacity shrank
    std::deque<Event> mEvents{};
  };

  Worker* Find(const WorkerName& aWorker);
  const Worker* Find(const WorkerName& aWorker) const;
  GrantId MakeId();
  void Count(Worker& aWorker, Act aAct, GrantId aId, const Resources& aAmount);
  void Uncount(Worker& aWorker, Act aAct, GrantId aId, const Resources& aAmount);
  void ApplyRequests(Worker& aWorker, const Inventory& aInventory, TimePoint aSentAt);
  void ApplyTasks(Worker& aWorker, const Inventory& aInventory);
  void Recount(Worker& aWorker, Started& aStarted, const Resources& aCounted);
  void FreeLoan(Worker& aWorker, std::map<GrantId, Loan>::iterator aLoan);
  void DropHold(Worker& aWorker, std::map<GrantId, HeldRoom>::iterator aHold);
  static Resources FindFree(const Worker& aWorker);
  static Resources SumGiven(const Worker& aWorker);
  static Resources SumCounted(const Worker& aWorker);
  static WorkerView MakeView(const Worker& aWorker, const JobId& aJob);

  std::map<WorkerName, Worker> mWorkers{};
  GrantId mNextId = 1;
  GrantId mStep = 1;
  std::uint64_t mSlotChanges = 0;
};

}  // namespace monsoon
