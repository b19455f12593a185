// Model of the scheduler's decisions for tests. The job table, supervision states, capacity ledgers
// and placement are the real ones; workers, messages, time and faults are simulated on one thread.
#pragma once

#include <memory>
#include <random>

#include "controllers/capacity_book.h"
#include "controllers/job_table.h"
#include "controllers/supervision_state.h"
#include "policy/placement.h"

namespace monsoon::testing {

// Faults that are injected to show that the invariants detect them. The remarks name the guarantee
// that each one breaks.
enum class InjectedFault : std::uint8_t
{
  None,
  StartWithoutHold,    // no VM is allocated beyond its capacity
  RepeatRunning,       // a task never runs in two places at once
  RepeatUnknown,       // a non-repeatable task runs at most once
  ReportNeverStarted,  // an attempt reported as never started has not run
  StartOnLeaving,      // a leaving endpoint gets no new tasks
  ForgetEntry,         // an accepted job is never lost
  IgnoreCancel,        // no task starts after its cancellation
  ForgetEndPlacing,    // all jobs end
};

struct ModelTask
{
  TaskStart mStart{};
  TaskEnd mEnd = TaskEnd::Running;
  TimePoint mEndsAt{};
  TimePoint mLeaseUntil{};
};

struct ModelWorker
{
  WorkerSpec mSpec{};
  Epoch mHighest = 0;
  std::uint32_t mIncarnation = 1;
  bool mResponsive = true;  // its tasks run on either way
  bool mFailsAll = false;
  std::map<AttemptId, ModelTask> mTasks{};
  // Its owner
  Epoch mEpoch = 1;
  std::unique_ptr<SupervisionState> mState{};
  CapacityBook mBook{};
  std::optional<std::pair<Inventory, TimePoint>> mEarlierAnswer{};  // delivered a second time, late
};

struct ModelStart  // a start that is in flight to a worker
{
  TaskStart mStart{};
  std::int64_t mStartBefore = 0;
  TimePoint mArrives{};
};

class JobModel
{
public:
  explicit JobModel(std::uint32_t aSeed, InjectedFault aFault = InjectedFault::None);

  // Actions
  void AddWorker(const WorkerName& aName, const Resources& aCapacity);
  Result<void> Submit(const JobSpec& aSpec);
  void Cancel(const JobId& aJob);
  void Place();
  void DeliverStarts();
  void Advance(Duration aBy);
  void RenewAll();
  void SendStops();
  void SendQueries();
  void KillShardOwner();
  void KillWorkerOwner(const WorkerName& aWorker);
  void RestartWorker(const WorkerName& aWorker);
  void SetLeaving(const WorkerName& aWorker);
  void ApplyReport(const TaskReport& aReport);
  void Settle(std::uint32_t aRounds);  // runs without faults until all jobs end

  // Random faults
  double mLoss = 0;          // share of messages that are lost, 0 … 1
  double mWriteUnknown = 0;  // share of journal writes whose reply is lost

  // Returns the first violated invariant, or an empty string if all hold.
  [[nodiscard]] std::string FindViolation() const;
  [[nodiscard]] bool AreAllDone() const;
  [[nodiscard]] std::uint32_t CountStates(const JobId& aJob, TaskState aState) const;
  [[nodiscard]] std::uint32_t CountRuns(const TaskKey& aTask) const;
  [[nodiscard]] const std::string& GetViolation() const { return mViolation; }

  JobTable mTable{};
  std::map<WorkerName, ModelWorker> mWorkers{};
  std::minstd_rand mRandom;
  TimePoint mNow = TimePoint{} + seconds(100000);
  Duration mRun = seconds(2);
  std::map<WorkerName, TimePoint> mLeavingSince{};
  std::vector<JobId> mCancelDuringPlace{};  // cancelled in the next Place, between plan and holds

private:
  bool DrawLoss();
  // Returns false if the entry took no effect or the outcome of its write is unknown.
  bool Commit(const JobEntry& aEntry);
  void Replay();
  bool PlaceGroup(const PlannedGroup& aGroup);
  bool Assign(const PlannedGroup& aGroup,
              const TaskKey& aTask,
              const HoldReply& aHold,
              ModelWorker& aWorker);
  void BeginStart(ModelWorker& aWorker, const TaskStart& aStart);
  void Deliver(const ModelStart& aStart);
  void Renew(ModelWorker& aWorker);
  void RecordRun(ModelWorker& aWorker, const TaskStart& aStart);
  void RecordViolation(std::string aViolation);
  [[nodiscard]] std::int64_t GetMillis() const;
  void TakeOver(ModelWorker& aWorker);

  InjectedFault mInjectedFault = InjectedFault::None;
  std::vector<std::string> mLog{};
  Sequence mAt = 0;
  std::vector<ModelStart> mStarts{};
  std::map<TaskKey, std::uint32_t> mRuns{};
  std::set<AttemptId> mStartedAttempts{};  // attempts that ever ran
  std::map<JobId, JobSpec> mSpecs{};       // all submitted jobs
  std::set<JobId> mAccepted{};             // jobs whose submission was confirmed
  std::set<JobId> mCancelled{};            // jobs whose cancellation took effect
  std::string mViolation{};
};

}  // namespace monsoon::testing
