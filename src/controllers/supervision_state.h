// What the owner of a worker knows about the attempts on it, besides their capacity: which were
// started, which have ended and must still be reported, and what it may answer about the others.
// Pure state: the caller passes the time.
#pragma once

#include <map>
#include <set>

#include "core/concepts.h"

namespace monsoon {

// Longest time that a message to a worker may travel.
inline constexpr Duration kWorkerTransit = seconds(5);
// Longest time from setting any start deadline to that deadline. A new owner waits as long.
inline constexpr Duration kTaskStartWithin = seconds(2);
inline constexpr double kClockDrift = 0.01;  // largest relative drift between two clocks

struct SupervisedTask
{
  TaskEnd mEnd = TaskEnd::Running;
  bool mConfirmed = false;        // an inventory listed it, or the worker accepted its start
  bool mReported = false;         // the shard owner has journaled its end
  bool mRunningReported = false;  // the shard owner knows that it runs
  bool mInDoubt = false;          // the worker restarted, so it is unknown whether it ran
  bool mDisowned = false;         // was declared lost or settled, yet runs: must be stopped
  TimePoint mStartUntil{};        // the worker refuses a later start
  TimePoint mStartEnded{};        // when the start call returned; max while it is pending
  Resources mUsed{};
  Duration mRan{};
};

class SupervisionState
{
public:
  using Attempt = std::pair<TaskKey, std::uint32_t>;

  SupervisionState(Epoch aEpoch, TimePoint aNow);

  // Starts
  // Fenced: a query was already answered as if the attempt never starts here. AlreadyExists: the
  // attempt was started before.
  Result<void> BeginStart(const Attempt& aAttempt, TimePoint aStartUntil);
  // aFailure: null when the worker accepted the start. After a refusal the attempt is dropped,
  // since it certainly did not run.
  void EndStart(const Attempt& aAttempt, const Failure* aFailure, TimePoint aNow);

  // Leases
  // Returns all running attempts that are not disowned; none when the worker has been unresponsive
  // for so long that its leases shall expire.
  [[nodiscard]] std::vector<Attempt> ListRenewals(TimePoint aNow) const;
  // Returns the attempts whose end is journaled, for the worker to forget.
  [[nodiscard]] std::vector<Attempt> ListAcknowledgements() const;
  // Records that a renewal or start with a lease of aLease was sent. aReached: the call may have
  // reached the worker.
  void NoteLease(TimePoint aSentAt, Duration aLease, Duration aDeadline, bool aReached);
  // Applies an inventory whose read was sent at aSentAt. Returns the attempts that it ends.
  std::vector<Attempt> ApplyInventory(const Inventory& aInventory,
                                      TimePoint aSentAt,
                                      TimePoint aNow);
  void DropAcknowledged(const std::vector<Attempt>& aAcknowledged);
  // Ends all running attempts as unknown once the worker is unresponsive and all leases have
  // certainly expired. Returns the attempts that it ends.
  std::vector<Attempt> DeclareLost(TimePoint aNow);

  // Reports
  [[nodiscard]] std::vector<TaskReport> ListReports(const WorkerName& aWorker) const;
  void NoteReported(const TaskReport& aReport);
  // Answers how attempts ended, for the owner of their job shard. NotReady: ask again later.
  // Attempts that are not known here are settled: from then on they can't be started.
  Result<TaskReports> Answer(const TaskQuery& aQuery, TimePoint aNow);
  [[nodiscard]] std::vector<Attempt> ListDisowned() const;  // run, but must be stopped

  [[nodiscard]] Epoch GetEpoch() const noexcept { return mEpoch; }
  // An inventory was read after which no start of a previous owner can take effect.
  [[nodiscard]] bool IsFenced() const noexcept { return mFenced; }
  [[nodiscard]] const std::map<Attempt, SupervisedTask>& GetTasks() const { return mTasks; }

private:
  void End(const Attempt& aAttempt, TaskEnd aEnd, std::vector<Attempt>& aEnded);
  void ApplyTask(const WorkerTask& aTask, bool aSameIncarnation, std::vector<Attempt>& aEnded);

  Epoch mEpoch = 0;
  TimePoint mSince{};       // when this epoch began
  TimePoint mLeaseUntil{};  // by then all leases have certainly expired
  TimePoint mLastAnswer{};  // when the worker last answered
  TimePoint mReadSentAt{};
  std::string mIncarnation{};
  bool mRead = false;    // an inventory was read under this epoch
  bool mFenced = false;  // see IsFenced
  std::map<Attempt, SupervisedTask> mTasks{};
  std::set<Attempt> mSettled{};  // untracked when a query was answered; may not start
};

}  // namespace monsoon
