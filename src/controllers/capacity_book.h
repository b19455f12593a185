// The owner's book: what each owned worker has, and who holds what of it. The only place that gives
// capacity away, so overcommit is impossible while a worker has one owner. Pure state: time is
// passed in, nothing waits, no lock (its user holds the shard's lock).
//
// Index
//   Workers       come and go with ownership; full until an inventory is read
//   Slots         lent to entry processes by grants
//   Holds         room for tasks: held, then started, then ended
//   Time          expiry
//   Reading       views for decisions and reports
#pragma once

#include <span>
#include <vector>

#include "core/concepts.h"
#include "policy/worker_view.h"

namespace monsoon {

class CapacityBook
{
public:
  // Workers
  void PutWorker(const WorkerSpec& aSpec,
                 Epoch aEpoch);                // taken over, or its spec changed; counts as full
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

  // Reading
  [[nodiscard]] std::vector<WorkerView> ListViews(const JobId& aJob = {}) const;
  [[nodiscard]] std::optional<WorkerView> FindView(const WorkerName& aWorker) const;
  [[nodiscard]] std::vector<std::pair<TaskKey, std::uint32_t>> ListStarted(
    const WorkerName& aWorker) const;
  void CheckSound()
    const;  // asserts that no worker is given more than it has, and says how it came about
};

}  // namespace monsoon
