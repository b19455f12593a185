// A model of the decision layer for tests: the real job table, supervision states, capacity books
// and placement; workers, messages, time and faults are plain data on one thread.
#pragma once

#include <memory>
#include <random>

#include "controllers/capacity_book.h"
#include "controllers/job_table.h"
#include "controllers/supervision_state.h"
#include "policy/placement.h"

namespace monsoon::testing {

// Mistakes planted on purpose, to show that the invariants catch them.
enum class InjectedFault : std::uint8_t
{
  None,
  StartWithoutHold,    // breaks: no VM is given more than it has
  RepeatRunning,       // breaks: never in two places at once
  RepeatUnknown,       // breaks: not to be repeated runs at most once
  ReportNeverStarted,  // breaks: "not run" is true
  StartOnLeaving,      // breaks: a leaving endpoint gets no new work
  ForgetEntry,         // breaks: accepted work is never lost
  IgnoreCancel,        // breaks: a cancellation is never outrun
  ForgetEndPlacing,    // breaks: all work ends
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
  bool mResponsive = true;  // answers; its tasks go on either way
  bool mFailsAll = false;
  std::map<AttemptId, ModelTask> mTasks{};
  // Its owner
  Epoch mEpoch = 1;
  std::unique_ptr<SupervisionState> mState{};
  CapacityBook mBook{};
  std::optional<std::pair<Inventory, TimePoint>>
    mEarlierAnswer{};  // an answer that may come again, late
};

struct ModelStart  // on its way to a worker
{
  TaskStart mStart{};
  std::int64_t mStartBefore = 0;
  TimePoint mArrives{};
};

class JobModel
{
public:
  explicit JobModel(std::uint32_t aSeed, InjectedFault aFault = InjectedFault::None);

  // Acts
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
  void Settle(std::uint32_t aRounds);  // no further faults: everything is delivered

  // Random faults: share of messages that are lost, 0 … 1
  double mLoss = 0;
  double mWriteUnknown = 0;  // share of journal writes whose answer is lost

  // Empty when all invariants hold, else which one broke.
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
  std::vector<JobId> mCancelDuringPlace{};  // cancelled between the plan and its holds

private:
  bool DrawLoss();
  bool Commit(const JobEntry& aEntry);  // false: it took no effect, or nobody knows
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
  std::set<AttemptId> mStartedAttempts{};  // attempts that ran at any time
  std::map<JobId, JobSpec> mSpecs{};       // all that were submitted
  std::set<JobId> mAccepted{};             // those whose submitter was told so
  std::set<JobId> mCancelled{};            // the entry took effect
  std::string mViolation{};
};

}  // namespace monsoon::testing
