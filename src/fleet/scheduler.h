// The fleet's book: what has to run, what runs where, and what comes next. No input or output: time
// comes in as an argument, orders go out in Orders, and the outcome of each order comes back
// through an On... function. One process at a time holds the lease to run one; a new holder starts
// with an empty Scheduler, feeds it the stored jobs and the reports of all workers, and goes on.
//
// Index
//   Settings   bounds of the deployment
//   Book       jobs, tasks, workers
//   Scheduler  the calls
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

#include "fleet/model.h"
#include "policy/straggler.h"

namespace monsoon::fleet {

// Settings
struct SchedulerSettings
{
  std::uint64_t mEpoch = 1;           // of this holder; run numbers rise with it
  Duration mTaskLease = seconds(6);   // a worker kills what isn't renewed for so long
  double mWorkerClockDrift = 0.02;    // a worker's clock may be this much slower
  Duration mGangWait = seconds(3);    // members wait so long for the rest of their gang
  std::uint32_t mAdviceWorkers = 60;  // most workers that one advice call names
  std::uint32_t mHeavyAdvisors = 0;   // advisors that take slow calls; 0: three of four
};

// Book
enum class RunPhase : std::uint8_t
{
  Starting,     // the order is under way
  Running,      // the worker has confirmed it
  Unconfirmed,  // the order got no answer: it may run, or start later
  Stopping      // a stop is under way or done; the room is taken until the worker lists the end
};

struct TaskRef
{
  std::string mJob{};
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStage = 0;
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskRef&) const = default;
};

struct Run  // room taken on a worker
{
  std::string mTask{};
  std::string mCheckpoint{};  // last one reported
  TaskRef mRef{};
  bool mKnown = false;  // mRef names a task of a job in the book
  std::uint64_t mRun = 0;
  RunPhase mPhase = RunPhase::Starting;
  std::uint32_t mMilliCores = 0;  // reserved
  std::uint32_t mMemoryMiB = 0;
  std::uint32_t mAccelerators = 0;
  bool mSeen = false;        // listed by the worker at least once
  TimePoint mSentAt{};       // of the order, then of its answer
  TimePoint mStopSentAt{};   // zero: none
  TimePoint mStopAckedAt{};  // zero: none
  double mPercent = 0;
  TimePoint mProgressAt{};  // when mPercent last rose
  Duration mEstimate{};     // of its run time; zero: its speed says nothing
  RunProgress mProgress{};
  bool mDetached = false;     // a copy of the task may run elsewhere too
  std::uint32_t mPace = 100;  // share at which a filler may work
  double mTailLatencyMs = 0;
  std::int64_t mLatencyTargetMs = 0;
  bool mFiller = false;
};

struct Task
{
  bool mDone = false;
  std::string mWorker{};                  // empty: waits
  std::uint64_t mRun = 0;                 // last run number used
  std::set<std::uint64_t> mFailedRuns{};  // run numbers, as an end may be reported twice
  std::string mCheckpoint{};
  std::vector<std::string> mFailedOn{};  // workers to avoid
  bool mNeverRan = false;                // its last run certainly did not begin
  std::uint32_t mMoves = 0;              // from workers that were too slow
};

struct StageRun
{
  std::vector<Task> mTasks{};
  std::uint32_t mDone = 0;
  std::uint32_t mWaiting = 0;  // neither done nor on a worker
  std::map<std::string, std::pair<std::string, TimePoint>> mTickets{};  // worker → ticket, expiry
  std::set<std::string> mRefused{};  // workers that the policy excludes
  std::uint64_t mAdviceNumber = 0;   // call under way; 0: none
  TimePoint mAskAgainAt{};           // after a call that failed
  TimePoint mReadyAt{};              // when its predecessors had ended
  std::set<std::uint64_t> mFailedGangRuns{};
  std::string mGangCheckpoint{};  // any member's is good for all, and all carry the same
  TimePoint mGangBrokenAt{};      // a member is missing since then; zero: none
};

struct Occurrence
{
  bool mStarted = false;  // due, and in the book
  std::vector<StageRun> mStages{};
};

struct Job
{
  JobSpec mSpec{};
  JobState mState = JobState::Queued;
  JobState mStoredState = JobState::Queued;  // as last written to the store
  std::vector<Occurrence> mOccurrences{};
  bool mInherited = false;  // was there before this holder's epoch: its tasks may run somewhere
  bool mDirty = false;      // has progress that is not stored
  TimePoint mSeenAt{};      // when this holder learned of it
  TimePoint mDueAt{};       // on time until then, by the estimates
  TimePoint mEndedAt{};
};

struct Worker
{
  WorkerEntry mEntry{};
  bool mListed = false;  // in the directory now
  std::optional<std::set<std::string>>
    mFinalTasks{};                    // all that it may run, written while it was silent
  std::uint64_t mRecordRevision = 0;  // of its record in the store; 0: none
  bool mFinalWanted = false;  // silent: mFinalTasks is to be stored, so nothing may start there
  bool mRecorded = false;     // in the durable list of workers in use
  bool mFenced = false;       // has answered this epoch
  bool mReachable = false;    // its last call was answered
  TimePoint mAnsweredAt{};
  TimePoint mLeaseSentAt{};  // of the last order that prolonged its tasks' leases
  TimePoint mUnlistedAt{};
  std::uint64_t mLastEnd = 0;    // highest end processed
  std::uint64_t mStoredEnd = 0;  // highest end whose effect is stored
  std::uint32_t mUsedMilliCores = 0;
  std::uint32_t mUsedMemoryMiB = 0;
  std::uint32_t mUsedAccelerators = 0;
  std::vector<Run> mRuns{};
  TimePoint mSilentSince{};  // while not mReachable
  std::vector<std::pair<TimePoint, EndedTask>>
    mOrphanEnds{};                // of jobs that are not in the book yet
  std::uint32_t mFailStreak = 0;  // failed ends in a row
  std::string mFailJob{};         // job of the last failed end
  TimePoint mQuarantinedUntil{};
  std::uint32_t mQuarantines = 0;
  TimePoint mFullUntil{};  // refused for want of room
  TimePoint mSlowUntil{};  // its tasks make little progress: others are preferred
};

struct Orders
{
  std::vector<StartOrder> mStarts{};
  std::vector<StopOrder> mStops{};
  std::vector<PaceOrder> mPaces{};
  std::vector<AdviceOrder> mAdvice{};
};

struct StoredProgress  // one job's durable progress
{
  std::string mJob{};
  std::string mBytes{};
  JobState mState = JobState::Queued;
};

struct ProgressBatch
{
  std::vector<StoredProgress> mJobs{};
  std::vector<std::pair<std::string, std::uint64_t>> mEnds{};  // worker → end that it covers
};

enum class StartOutcome : std::uint8_t
{
  Started,
  NotStarted,  // certainly not: refused before or by the worker
  NoCapacity,  // the worker says it is full
  StaleRun,    // the worker has seen this or a later run
  BadTicket,
  OtherIncarnation,  // the worker's life that was meant has ended
  Unknown            // no answer: it may have started, or may start later
};

// Scheduler
class Scheduler
{
public:
  explicit Scheduler(SchedulerSettings aSettings);

  // Jobs
  // aAge: since its acceptance, as its place in the order comes from it.
  void AddJob(JobSpec aSpec,
              std::string_view aProgress,
              bool aInherited,
              TimePoint aNow,
              Duration aAge = Duration::zero());
  void CancelJob(const std::string& aId, TimePoint aNow);
  [[nodiscard]] const Job* FindJob(const std::string& aId) const;
  [[nodiscard]] std::size_t CountPending(std::string_view aQueue) const;  // jobs without a start
  std::vector<std::string> ForgetEnded(TimePoint aNow, Duration aAge);    // ids that left the book

  // Configuration
  void SetQueues(const FleetConfig& aConfig);

  // Workers
  void ListWorker(WorkerEntry aEntry, bool aRecorded, TimePoint aNow);
  // What an earlier holder has stored: all tasks that a silent worker may run.
  void SetFinalTasks(const std::string& aId, std::set<std::string> aTasks);
  void UnlistWorker(const std::string& aId, TimePoint aNow);
  void OnReport(const std::string& aId,
                const WorkerReport& aReport,
                TimePoint aSentAt,
                TimePoint aNow);
  void OnSilence(const std::string& aId, TimePoint aNow);  // a call got no answer
  [[nodiscard]] Worker* FindWorker(const std::string& aId);
  [[nodiscard]] const std::map<std::string, Worker>& GetWorkers() const { return mWorkers; }

  // Orders
  void OnStart(const StartOrder& aOrder, StartOutcome aOutcome, TimePoint aNow);
  void OnStop(const StopOrder& aOrder, bool aAcked, TimePoint aNow);
  void OnAdvice(const AdviceOrder& aOrder,
                const std::vector<AdmittedWorker>* aAdmitted,  // null: the call failed
                Duration aValid,
                TimePoint aAskedAt,
                TimePoint aNow);
  // Decides what to do next. Starts nothing before aMayStart; aFreeAdvisors bounds new advice
  // calls.
  Orders Plan(TimePoint aNow, std::int64_t aWallMs, bool aMayStart, std::size_t aFreeAdvisors);

  // Takeover: every worker that may run tasks of an earlier holder has answered or has lapsed.
  [[nodiscard]] bool AreAllResolved() const;
  void DropLapsed(TimePoint aNow, Duration aGrace);  // workers that can run nothing any more

  // Durable progress
  [[nodiscard]] bool HasProgress() const { return !mDirtyJobs.empty() || mHasNewEnds; }
  [[nodiscard]] bool HasEndedJob() const { return mHasEndedJob; }
  // A job that has ended takes one entry of a transaction, any other two. Each batch is answered by
  // OnProgressStored or OnProgressLost; while one is out, the next one takes note of no ends.
  ProgressBatch CollectProgress(std::size_t aMostEntries, TimePoint aNow);
  void OnProgressStored(const ProgressBatch& aBatch);
  void OnProgressLost(const ProgressBatch& aBatch);
  [[nodiscard]] static std::optional<JobState> ReadState(std::string_view aProgress);

private:
  struct Ready;

  Job* FindJobMutable(const std::string& aId);
  Task* FindTask(const TaskRef& aRef);
  StageRun* FindStage(const TaskRef& aRef);
  [[nodiscard]] const QueueConfig* FindQueue(const std::string& aName) const;
  bool ParseTask(std::string_view aName, TaskRef& aRef) const;
  void EnsureOccurrence(const TaskRef& aRef, TimePoint aNow);
  void MakeOccurrence(Job& aJob, std::uint32_t aIndex, TimePoint aNow);
  void MarkDirty(Job& aJob);
  void DropRun(Worker& aWorker, std::size_t aIndex, bool aNeverRan = false);
  void StartNewLife(Worker& aWorker);
  void ReleaseTask(const Run& aRun, bool aNeverRan);
  void ProcessEnd(Worker& aWorker, const EndedTask& aRow, TimePoint aNow);
  void TakeOrphans(Job& aJob, TimePoint aNow);
  bool AdoptRun(Worker& aWorker, Run& aRun, TimePoint aNow);
  void MarkDone(Job& aJob, StageRun& aStage, const TaskRef& aRef, TimePoint aNow);
  void CheckJobEnd(Job& aJob, TimePoint aNow);
  void EndJob(Job& aJob, JobState aState, TimePoint aNow);
  void BlameWorker(Worker& aWorker, const std::string& aJob, bool aFailed, TimePoint aNow);
  [[nodiscard]] bool IsStageReady(const Job& aJob,
                                  const Occurrence& aOccurrence,
                                  std::uint32_t aStage) const;
  [[nodiscard]] static bool CanHost(const Worker& aWorker, const Ready& aReady, TimePoint aNow);
  [[nodiscard]] static bool HasRoom(const Worker& aWorker, const StageSpec& aSpec);
  [[nodiscard]] std::size_t CountOf(const Worker& aWorker, const TaskRef& aStageRef) const;
  Worker* PickWorker(const Ready& aReady, const Task& aTask, TimePoint aNow);
  void PlaceTask(const Ready& aReady,
                 std::uint32_t aIndex,
                 std::uint64_t aRun,
                 Worker& aWorker,
                 TimePoint aNow,
                 Orders& aOrders);
  void PlaceStage(const Ready& aReady, TimePoint aNow, Orders& aOrders);
  void PlaceGang(const Ready& aReady, TimePoint aNow, Orders& aOrders);
  void RepairGang(const Ready& aReady, TimePoint aNow, Orders& aOrders);
  [[nodiscard]] static bool IsGangRepairable(const StageRun& aStage);
  void AskAdvice(const Ready& aReady,
                 TimePoint aNow,
                 std::size_t& aFree,
                 std::size_t& aFreeHeavy,
                 Orders& aOrders);
  void PlanStops(TimePoint aNow, Orders& aOrders);
  void PlanCopies(TimePoint aNow);
  void PlanMoves(TimePoint aNow);
  void DetachRun(Run& aRun, Task& aTask);
  void MoveTask(Worker& aWorker, Run& aRun, Task& aTask, TimePoint aNow);
  [[nodiscard]] bool MayRunSomewhere(const TaskRef& aRef) const;
  void PlanPace(Orders& aOrders);
  std::vector<Ready> CollectReady(TimePoint aNow, std::int64_t aWallMs);
  [[nodiscard]] std::string EncodeProgress(const Job& aJob) const;
  void DecodeProgress(Job& aJob, std::string_view aBytes, TimePoint aNow);

  SchedulerSettings mSettings{};
  std::map<std::string, QueueConfig> mQueues{};  // also those that were removed: their jobs go on
  std::unordered_map<std::string, std::unique_ptr<Job>> mJobs{};
  std::set<std::string> mActive{};  // jobs that have not ended
  std::map<std::string, Worker> mWorkers{};
  std::set<std::string> mDirtyJobs{};
  std::set<std::string>
    mMayRun{};  // tasks that unresolved workers may run, while CollectReady's list is used
  std::size_t mBatchesOut = 0;
  bool mHasNewEnds = false;
  bool mHasEndedJob = false;
  std::uint64_t mNextAdvice = 1;
  TimePoint mQuickAskedAt{};                        // last quick policy call
  std::map<std::uint64_t, bool> mAdviceInFlight{};  // call → whether it is a slow one
};

// A job that an earlier holder accepted may reach a new one a little later than its tasks' reports.
inline constexpr Duration kOrphanAge = seconds(3);  // twice the holder's lease

[[nodiscard]] std::string FormatTask(const TaskRef& aRef);   // JOB.OCCURRENCE.STAGE.INDEX
[[nodiscard]] std::string FormatStage(const TaskRef& aRef);  // JOB.OCCURRENCE.STAGE

}  // namespace monsoon::fleet
