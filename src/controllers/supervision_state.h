// What a worker's owner knows of the attempts on one worker, beyond the capacity book: which were
// started, which ended and must still be reported, and what may be said of the others. Pure state.
#pragma once

#include <map>
#include <set>

#include "core/concepts.h"

namespace monsoon {

// What may pass between the sending of a message to a worker and its arrival there.
inline constexpr Duration kWorkerTransit = seconds(5);
inline constexpr Duration kTaskStartWithin = seconds(2);  // latest start after any promise; what a
                                                          // successor waits for, too
inline constexpr double kClockDrift = 0.01;               // two clocks differ at most by this share

struct SupervisedTask
{
  TaskEnd mEnd = TaskEnd::Running;
  bool mConfirmed = false;    // the worker showed it, or answered its start
  bool mReported = false;     // the shard owner has journaled its end
  bool mRunningTold = false;  // the shard owner was told that it runs
  bool mInDoubt = false;      // the worker restarted while the start was under way
  bool mDisowned = false;     // declared lost: stop it if it shows up again
  TimePoint mStartUntil{};    // the worker refuses the start later
  TimePoint mStartEnded{};    // when the start call came back; max while it is under way
  Resources mUsed{};
  Duration mRan{};
};

class SupervisionState
{
public:
  using Attempt = std::pair<TaskKey, std::uint32_t>;

  SupervisionState(Epoch aEpoch, TimePoint aNow);

  // Starts
  // Fenced: a query has settled the attempt as never started. AlreadyExists: a repeat.
  Result<void> BeginStart(const Attempt& aAttempt, TimePoint aStartUntil);
  // aFailure: none when the worker confirmed. A refusal settles it: it did not run.
  void EndStart(const Attempt& aAttempt, const Failure* aFailure, TimePoint aNow);

  // Leases
  // Everything that runs, unless the worker has been silent for so long that its leases shall
  // lapse.
  [[nodiscard]] std::vector<Attempt> ListRenewals(TimePoint aNow) const;
  [[nodiscard]] std::vector<Attempt> ListAcknowledgements() const;
  // aReached: the call may have reached the worker. Counts also for starts.
  void NoteLease(TimePoint aSentAt, Duration aLease, Duration aDeadline, bool aReached);
  // Applies an inventory read at aSentAt. Returns attempts that ended by it.
  std::vector<Attempt> ApplyInventory(const Inventory& aInventory,
                                      TimePoint aSentAt,
                                      TimePoint aNow);
  void DropAcknowledged(const std::vector<Attempt>& aAcknowledged);
  // Ends everything as unknown once all leases have surely lapsed. Returns what ended.
  std::vector<Attempt> DeclareLost(TimePoint aNow);

  // Reports
  [[nodiscard]] std::vector<TaskReport> ListReports(const WorkerName& aWorker) const;
  void NoteReported(const TaskReport& aReport);
  // NotReady: ask again later. Attempts that never came here are settled: they can't start any
  // more.
  Result<TaskReports> Answer(const TaskQuery& aQuery, TimePoint aNow);
  [[nodiscard]] std::vector<Attempt> ListDisowned() const;  // run, but must be stopped

  [[nodiscard]] Epoch GetEpoch() const noexcept { return mEpoch; }
  // An inventory was read after which no start of a predecessor can take effect.
  [[nodiscard]] bool IsFenced() const noexcept { return mFenced; }
  [[nodiscard]] const std::map<Attempt, SupervisedTask>& GetTasks() const { return mTasks; }

private:
  void End(const Attempt& aAttempt, TaskEnd aEnd, std::vector<Attempt>& aEnded);
  void ApplyTask(const WorkerTask& aTask, bool aSameIncarnation, std::vector<Attempt>& aEnded);

  Epoch mEpoch = 0;
  TimePoint mSince{};       // when this epoch began
  TimePoint mLeaseUntil{};  // all leases that were given have surely lapsed then
  TimePoint mLastAnswer{};  // of the worker
  TimePoint mReadSentAt{};
  std::string mIncarnation{};
  bool mRead = false;    // an inventory was read under this epoch
  bool mFenced = false;  // and no start of a predecessor can take effect after it
  std::map<Attempt, SupervisedTask> mTasks{};
  std::set<Attempt> mSettled{};  // answered as never started
};

}  // namespace monsoon
