// The fleet scheduler: tracks all jobs, tasks and workers, and decides which task starts on which
// worker. It does no I/O. The time is passed in, Plan returns orders, and the outcome of each order
// is reported through an On... function. Only the process that holds the scheduler's lease runs a
// Scheduler. A new holder starts with an empty one, and rebuilds its state from the stored jobs and
// the reports of all workers.
//
// Index
//   Load       what entry processes refuse jobs by
//   Scheduler  the class itself
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>

#include "fleet/scheduler_state.h"
#include "fleet/scheduler_types.h"
#include "fleet/team_limits.h"
#include "policy/admitted_share.h"
#include "policy/interference.h"
#include "policy/refusal.h"

namespace monsoon::fleet {

struct PoolTotal;

// Load
// Returns what decides whether the job is refused. It refers to aSpec.
[[nodiscard]] JobDemand MakeDemand(const JobSpec& aSpec);

// Scheduler
class Scheduler
{
public:
  explicit Scheduler(SchedulerSettings aSettings);

  // Jobs
  // Adds a job; does nothing if it is known. aProgress: as stored, may be empty. aInherited: see
  // Job. aAge: time since acceptance, from which the job's due time is counted.
  void AddJob(JobSpec aSpec,
              std::string_view aProgress,
              bool aInherited,
              TimePoint aNow,
              Duration aAge = Duration::zero());
  void CancelJob(const std::string& aId, TimePoint aNow);
  // Tells that no previous holder can have started a task of a job that was added as inherited.
  void ClearInherited(const std::string& aId);
  // All jobs that were stored before aAt are added, or have ended. Until told so, runs and ends
  // that were reported since then may be of jobs that are added later.
  void SetJobsReadUntil(TimePoint aAt) { mJobsReadUntil = aAt; }
  [[nodiscard]] const Job* FindJob(const std::string& aId) const;
  [[nodiscard]] std::size_t CountPending(std::string_view aQueue) const;  // in JobState::Queued
  // Removes the jobs that ended more than aAge ago and whose end was collected for the store.
  // Returns their ids.
  std::vector<std::string> ForgetEnded(TimePoint aNow, Duration aAge);

  // Configuration
  // Jobs go on with the terms that they were accepted with, whether their queue exists or not. Jobs
  // that were stored without terms have those of their queue.
  void SetQueues(const FleetConfig& aConfig);

  // Workers
  // aRecorded: a previous holder has stored it; aNow is then the time of this holder's election.
  // An entry tells nothing about other workers at its address: they are to be polled.
  void ListWorker(WorkerEntry aEntry, bool aRecorded, TimePoint aNow);
  // Lists the workers known at an address.
  [[nodiscard]] std::vector<std::string> ListWorkersAt(std::string_view aAddress) const;
  // Lists the tasks that may run on a worker, and those that ended there without the effect of the
  // end being stored. A later holder that can't reach the worker must not start any of them.
  [[nodiscard]] std::vector<std::string> ListUnsettledTasks(const Worker& aWorker) const;
  // Sets the list that a previous holder stored of an unresponsive worker, as listed by
  // ListUnsettledTasks. aSuspects: as listed by ListSuspects.
  void SetFinalTasks(const std::string& aId,
                     std::set<std::string> aTasks,
                     std::vector<SuspectRun> aSuspects = {});
  // Lists the unresponsive workers for the next holder, if this one sends no order any more.
  [[nodiscard]] std::vector<LeaseWait> ListLeaseWaits(TimePoint aNow) const;
  // Sets what the previous holder listed when it stopped; aElectedAt: of this holder.
  void SetLeaseWait(const LeaseWait& aWait, TimePoint aElectedAt);
  // Lists the runs that count if the worker is found to have crashed.
  [[nodiscard]] std::vector<SuspectRun> ListSuspects(const Worker& aWorker) const;
  void UnlistWorker(const std::string& aId, TimePoint aNow);
  // Reports requested earlier do not tell what a worker will run: an order of a previous holder
  // may still take effect there.
  void SetFencedFrom(TimePoint aFrom) { mFencedFrom = aFrom; }
  // Applies a worker's report, the answer to a poll that was sent at aSentAt. aAddress: where it
  // answered; empty: where it is known. Reports of a worker are passed on in the order in which
  // they were requested; others are left out. They may still have been made in another order.
  void OnReport(const std::string& aId,
                const WorkerReport& aReport,
                TimePoint aSentAt,
                TimePoint aNow,
                std::string_view aAddress = {});
  void OnSilence(const std::string& aId, TimePoint aNow);  // a call was not answered
  // The answer to an order shows a clock that started anew: so did the worker, under its id.
  void OnClockReset(const std::string& aId, TimePoint aNow);
  // The worker has closed all its connections, as when its process ends.
  void OnConnectionsClosed(const std::string& aId, TimePoint aNow);
  // Returns up to which end a worker may forget what it reported. Ends of an incarnation that has
  // not reported yet are counted by the same numbers, so none while there may be one.
  [[nodiscard]] static std::uint64_t GetAcknowledgedEnd(const Worker& aWorker);
  // Another worker answered at aAddress. If the worker is known there, that incarnation has ended.
  void OnReplaced(const std::string& aId, std::string_view aAddress, TimePoint aNow);
  [[nodiscard]] Worker* FindWorker(const std::string& aId);
  [[nodiscard]] const std::map<std::string, Worker>& GetWorkers() const { return mWorkers; }
  [[nodiscard]] const FleetSpeed& GetFleetSpeed() const { return mFleetSpeed; }

  // Load
  // Returns what entry processes refuse jobs by. Empty while tasks of earlier holders may run, and
  // without teams.
  [[nodiscard]] LoadSummary SummarizeLoad(std::span<const TeamConfig> aTeams, TimePoint aNow) const;

  // Orders
  // Returns whether a planned start is still to be sent: its task may have ended elsewhere, or its
  // worker may have become unresponsive or announced its shutdown, while the order waited for its
  // turn.
  [[nodiscard]] bool IsStartWanted(const StartOrder& aOrder);
  void OnStart(const StartOrder& aOrder, StartOutcome aOutcome, TimePoint aNow);
  void OnStop(const StopOrder& aOrder, bool aAcked, TimePoint aNow);
  void OnPace(const PaceOrder& aOrder, bool aAcked, TimePoint aNow);
  void OnAdvice(const AdviceOrder& aOrder,
                const std::vector<AdmittedWorker>* aAdmitted,  // null: the call failed
                Duration aValid,
                TimePoint aAskedAt,
                TimePoint aNow);
  // Decides what to do next. While aMayStart is false, only stops are ordered. An advisor is a
  // process that makes one policy call at a time; at most aFreeAdvisors new calls are ordered.
  // Unless mSlowAdvisors is set, a quarter of all advisors makes no slow calls, so that fast ones
  // need not wait; when there were no fast calls for a while, all advisors make slow ones.
  Orders Plan(TimePoint aNow, std::int64_t aWallMs, bool aMayStart, std::size_t aFreeAdvisors);

  // Returns whether, after a takeover, each worker that may run tasks of a previous holder has
  // answered this one, or the leases of its tasks have expired.
  [[nodiscard]] bool AreAllResolved() const;
  // Returns how long the tasks on a worker may run after a renewal that is sent now.
  // aHolderRenewedAt: when the holder's own lease was last renewed.
  [[nodiscard]] Duration GetTaskLease(TimePoint aNow, TimePoint aHolderRenewedAt) const;
  // Returns how long the tasks on a worker may run after a poll that is sent now; zero: the poll
  // renews no leases. Counts the renewal as sent.
  Duration RenewTaskLeases(Worker& aWorker, TimePoint aNow, TimePoint aHolderRenewedAt);
  // Releases the tasks of unresponsive workers whose task leases have certainly expired. Previous
  // holders may have granted leases to workers that are not fenced, which end kMaxLeaseOverhang
  // later, counted from the election.
  void DropLapsed(TimePoint aNow);

  [[nodiscard]] SharingStats TakeSharingStats();

  // Stored progress
  [[nodiscard]] bool HasProgress() const { return mDirtyCount > 0 || mHasNewEnds; }
  [[nodiscard]] std::size_t CountUnstoredJobs() const { return mDirtyCount; }
  [[nodiscard]] SchedulerBacklog GetBacklog() const;
  // Returns the teams with tasks that waited for their limits since the last call.
  [[nodiscard]] std::vector<TeamAtLimit> TakeTeamsAtLimit();
  // Returns what the team's tasks have, and may still have, on all workers.
  [[nodiscard]] TeamResources GetTeamUse(const std::string& aTeam) const
  {
    return mTeamLimits.GetUse(aTeam);
  }
  [[nodiscard]] bool HasEndedJob() const { return mHasEndedJob; }
  // Returns the progress to be written in one transaction of at most aMaxEntries entries: a job
  // that has ended takes one entry, any other job two. The caller answers each batch with
  // OnProgressStored or OnProgressLost. While a batch is in flight, further ones acknowledge no
  // ends.
  ProgressBatch CollectProgress(std::size_t aMaxEntries, TimePoint aNow);
  void OnProgressStored(const ProgressBatch& aBatch);
  void OnProgressLost(const ProgressBatch& aBatch);
  [[nodiscard]] static std::optional<JobState> ReadState(std::string_view aProgress);

private:
  struct Ready;
  struct SpeedCounts;
  struct StageSpeed;
  struct MeasuredRun;
  using StageSpeeds = std::unordered_map<const StageRun*, StageSpeed>;

  Job* FindJobMutable(const std::string& aId);
  Task* FindTask(const TaskRef& aRef);
  StageRun* FindStage(const TaskRef& aRef);
  static const Task* FindTask(const Job& aJob, const TaskRef& aRef);
  [[nodiscard]] const QueueConfig* FindQueue(const std::string& aName) const;
  void SetTerms(Job& aJob) const;
  [[nodiscard]] const std::string& ChooseService(const Job& aJob) const;
  bool ParseTask(std::string_view aName, TaskRef& aRef) const;
  void EnsureOccurrence(const TaskRef& aRef, TimePoint aNow);
  void MakeOccurrence(Job& aJob, std::uint32_t aIndex, TimePoint aNow);
  void MarkDirty(Job& aJob);
  void CollectDirty(bool aEnded, std::size_t aMaxEntries, ProgressBatch& aBatch);
  void CollectEnds(ProgressBatch& aBatch, TimePoint aNow);
  void AddUnstoredEnd(Worker& aWorker, const EndedTask& aRow);
  [[nodiscard]] bool IsCollected(const Worker& aWorker, const UnstoredEnd& aEnd) const;
  [[nodiscard]] bool HasStoredEffect(const UnstoredEnd& aEnd) const;
  std::map<std::string, Worker>::iterator EraseWorker(std::map<std::string, Worker>::iterator aIt);
  void DropRun(Worker& aWorker, std::size_t aIndex, bool aNeverRan = false);
  static void SuspectRestart(Worker& aWorker, TimePoint aNow);
  void ExtendLeases(Worker& aWorker, TimePoint aNow) const;
  void ResetForNewIncarnation(Worker& aWorker,
                              const WorkerReport& aReport,
                              TimePoint aSentAt,
                              TimePoint aNow);
  void RecordCrash(Worker& aWorker, CrashEvidence aEvidence, TimePoint aNow);
  [[nodiscard]] bool OutlivedCrashes(const Worker& aWorker, const Run& aRun) const;
  void ForgetCrashes(const TaskRef& aRef);
  void AddCrash(const TaskRef& aRef, const WorkerCrash& aCrash, TimePoint aNow);
  void RevokeCrashes(const Worker& aWorker);
  [[nodiscard]] TimePoint GetLeaseExpiry(const Worker& aWorker) const;
  [[nodiscard]] bool HasLeft(const Worker& aWorker) const;
  [[nodiscard]] bool CrashedWithOthers(const Worker& aWorker) const;
  void RememberSilence(TimePoint aAt);
  void CountUnproven();
  [[nodiscard]] UnresolvedRuns GetUnresolved(const TaskRef& aRef) const;
  [[nodiscard]] bool IsSuspect(const Task& aTask, const TaskRef& aRef) const;
  void ReleaseTask(const Run& aRun, bool aNeverRan);
  void ProcessEnd(Worker& aWorker, const EndedTask& aRow, TimePoint aNow);
  void ApplyOrphanReports(Job& aJob, TimePoint aNow);
  [[nodiscard]] bool IsOrphan(TimePoint aReportedAt, TimePoint aNow) const;
  bool AdoptRun(Worker& aWorker, Run& aRun, TimePoint aNow);
  bool AcceptIncarnation(Worker& aWorker,
                         const WorkerReport& aReport,
                         TimePoint aSentAt,
                         TimePoint aNow);
  void UpdateListedRun(Worker& aWorker,
                       Run& aRun,
                       const RunningTask& aRow,
                       std::int64_t aClockMs,
                       TimePoint aSentAt,
                       TimePoint aNow);
  void DropMissingRun(Worker& aWorker,
                      std::size_t aIndex,
                      const WorkerReport& aReport,
                      TimePoint aSentAt,
                      TimePoint aNow);
  void TrackListedRun(Worker& aWorker, const RunningTask& aRow, TimePoint aSentAt, TimePoint aNow);
  void MarkDone(Job& aJob, StageRun& aStage, const TaskRef& aRef, TimePoint aNow);
  void CheckJobEnd(Job& aJob, TimePoint aNow);
  void EndJob(Job& aJob, JobState aState, TimePoint aNow);
  void CountFailure(Worker& aWorker, const std::string& aJob, TimePoint aNow);
  static void ResetFailStreak(Worker& aWorker);
  void ChargeTeam(Run& aRun, const Job& aJob);
  void DischargeTeam(const Run& aRun);
  void AddPossibleUse(const Job& aJob,
                      std::uint32_t aOccurrence,
                      std::uint32_t aStage,
                      bool aIsAny);
  void CountPossibleTeamUse();
  [[nodiscard]] bool IsWithinTeamLimit(const Ready& aReady, std::size_t aTasks);
  [[nodiscard]] static bool IsStageUnblocked(const Job& aJob,
                                             const Occurrence& aOccurrence,
                                             std::uint32_t aStage);
  [[nodiscard]] bool IsStageReady(const Job& aJob,
                                  const Occurrence& aOccurrence,
                                  std::uint32_t aStage) const;
  [[nodiscard]] static bool CanHost(const Worker& aWorker, const Ready& aReady, TimePoint aNow);
  [[nodiscard]] static bool HasCapacity(const Worker& aWorker, const StageSpec& aSpec);
  [[nodiscard]] std::size_t CountRuns(const Worker& aWorker, const TaskRef& aStageRef) const;
  Worker* PickWorker(const Ready& aReady, const Task& aTask, TimePoint aNow);
  void PlaceReady(const Ready& aReady, TimePoint aNow, Orders& aOrders);
  void PlaceTask(const Ready& aReady,
                 std::uint32_t aIndex,
                 std::uint64_t aRun,
                 Worker& aWorker,
                 TimePoint aNow,
                 Orders& aOrders);
  void PlaceStage(const Ready& aReady, TimePoint aNow, Orders& aOrders);
  void PlaceGang(const Ready& aReady, TimePoint aNow, Orders& aOrders);
  void RepairGang(const Ready& aReady, TimePoint aNow, Orders& aOrders);
  [[nodiscard]] static bool HasRunBefore(const StageRun& aStage);
  [[nodiscard]] static bool IsGangRepairable(const StageRun& aStage);
  bool RequestAdvice(const Ready& aReady,
                     TimePoint aNow,
                     bool aMayYield,
                     std::size_t& aFree,
                     std::size_t& aFreeSlow,
                     Orders& aOrders);
  void PlanStops(TimePoint aNow, Orders& aOrders);
  void PlanCopies(TimePoint aNow);
  void PlanMoves(TimePoint aNow);
  std::vector<MeasuredRun> ListMeasuredRuns(StageSpeeds& aStages);
  [[nodiscard]] Duration ExpectRunTime(const Run& aRun, std::vector<Duration> aWork) const;
  void ReviewStraggler(const MeasuredRun& aRun, TimePoint aNow);
  void DetachRun(Run& aRun, Task& aTask);
  void MoveTask(Worker& aWorker, Run& aRun, Task& aTask, Duration aExpected, TimePoint aNow);
  [[nodiscard]] bool MayRunSomewhere(const TaskRef& aRef) const;
  void PlanPace(TimePoint aNow, Orders& aOrders);
  void PlanWorkerPace(Worker& aWorker, TimePoint aNow, Orders& aOrders);
  void ObserveSharing(Worker& aWorker, TimePoint aNow);
  void LearnTail(const Worker& aWorker, const Run& aServing, TimePoint aNow);
  [[nodiscard]] const StageSpec* FindSpec(const Run& aRun) const;
  [[nodiscard]] std::optional<double> EstimateFillerRise(const Run& aServing,
                                                         const Run& aFiller,
                                                         TimePoint aNow) const;
  [[nodiscard]] Disturbance EstimateDisturbance(const Worker& aWorker,
                                                const StageSpec& aSpec,
                                                TimePoint aNow) const;
  [[nodiscard]] Disturbance EstimateDisturbanceOf(const Worker& aWorker,
                                                  const StageSpec& aServing,
                                                  TimePoint aNow) const;
  void CountPlacement(const Worker& aWorker, const StageSpec& aSpec, TimePoint aNow);
  std::size_t FindUnansweredRuns(TimePoint aNow, TimePoint& aHeldUntil);
  [[nodiscard]] Duration GetWork(const SpeedSample& aRun) const;
  void RecordSpeed(const Worker& aWorker, const Run& aRun, TimePoint aNow);
  void LearnSpeeds(const Job& aJob, std::uint32_t aStage, StageRun& aRun, TimePoint aNow);
  void RefreshSpeeds(TimePoint aNow);
  void CountFreeFast();
  // Of an order by Worker::mRunTimeRank, the fast ones first: 1, or -1 for the slow ones.
  [[nodiscard]] int GetRankSign(const Ready& aReady) const;
  std::vector<Ready> CollectReady(TimePoint aNow, std::int64_t aWallMs);
  void SortReady(std::vector<Ready>& aReady, TimePoint aNow);
  [[nodiscard]] StageDemand MakeStageDemand(const Ready& aReady,
                                            const PoolTotal& aPool,
                                            TimePoint aNow) const;
  void CountWaiting(const std::vector<StageDemand>& aDemands, const std::vector<TeamUse>& aTeams);
  void GiveTurn(std::vector<Ready>& aReady, std::vector<StageDemand>& aDemands, TimePoint aNow);
  void AddBacklog(const Job& aJob, TimePoint aNow, LoadSummary& aLoad) const;
  [[nodiscard]] std::string EncodeProgress(const Job& aJob) const;
  void DecodeProgress(Job& aJob, std::string_view aBytes, TimePoint aNow);

  SchedulerSettings mSettings{};
  Duration mTaskLease{};  // a worker kills tasks whose lease is not renewed in time
  std::map<std::string, QueueConfig> mQueues{};  // as configured now, by name
  std::map<std::string, double> mTeamWeights{};  // as configured now, by name
  bool mIsConfigured = false;                    // a configuration was read
  TeamLimits mTeamLimits{};
  // What teams may have on workers that have not answered in this epoch. Set by each plan.
  std::map<std::string, TeamResources> mPossibleTeamUse{};
  std::int64_t mUnsizedRuns = 0;                      // on all workers; counted by each plan
  std::map<std::string, std::size_t> mHeldByLimit{};  // by team, since the last TakeTeamsAtLimit
  std::unordered_map<std::string, std::unique_ptr<Job>> mJobs{};
  std::map<std::string, Job*> mActive{};  // jobs that have not ended
  std::map<std::string, Worker> mWorkers{};
  std::unordered_map<std::string_view, Worker*> mWorkersById{};  // the same, to find one fast
  std::set<std::string> mUnknownJobs{};            // jobs that reports named before they were added
  std::map<std::string, RefutedEntry> mRefuted{};  // by worker, until it is unlisted
  // Dirty jobs in the order in which they became dirty; others among them are skipped. A job that
  // ends while it waits is in both.
  std::deque<std::string> mDirtyEnded{};
  std::deque<std::string> mDirtyRunning{};
  std::size_t mDirtyCount = 0;
  // Tasks that may run on workers that have not answered in this epoch. Set by CollectReady.
  std::set<std::string> mPossiblyRunning{};
  SchedulerBacklog mWaitingStages{};  // what SortReady counted
  std::uint64_t mTurns = 0;           // given by GiveTurn
  TimePoint mNextTurnAt{};            // see GiveTurn
  TimePoint mJobsReadUntil = TimePoint::max();
  bool mHoldsInherited = false;  // inherited jobs wait for workers that have not answered
  // Of tasks on workers that do not answer. Set by CountUnproven.
  std::map<TaskRef, UnresolvedRuns> mUnresolved{};
  // Workers that vanished recently, with what they ran.
  std::map<std::string, VanishedWorker> mVanished{};
  std::deque<TimePoint> mSilences{};  // recent times at which workers became unresponsive
  TimePoint mFencedFrom{};
  std::size_t mBatchesInFlight = 0;
  bool mHasNewEnds = false;
  bool mHasEndedJob = false;
  InterferenceTable mInterference{};
  bool mHasServing = false;         // a serving task was reported in this epoch
  std::set<std::string> mToPace{};  // workers with fillers whose pace is to be decided
  SharingStats mSharing{};
  std::uint64_t mNextAdvice = 1;
  bool mLastAdviceWithoutCapacity = false;  // the last policy call named full workers only
  WorkerSpeeds mSpeeds{};
  AdmittedShares mAdmittedShares{};  // of workers, in policy calls
  EstimateErrors mEstimateErrors{};  // by image, or by queue and stage
  FleetSpeed mFleetSpeed{};
  TimePoint mMovesAt{};                             // when stragglers were last looked for
  TimePoint mSpeedsAt{};                            // when they were last applied to the workers
  TimePoint mLastFastAdviceAt{};                    // last policy call that is not slow
  std::map<std::uint64_t, bool> mAdviceInFlight{};  // number of the call → whether it is a slow one
};

// Leases of tasks end at most this much later than those that were granted when the holder's own
// lease was last renewed.
inline constexpr Duration kMaxLeaseOverhang = seconds(2);

// How long reports of tasks whose job is unknown are kept, at least. After a takeover, a job that
// the previous holder was told of may be added later than a worker reports its tasks.
inline constexpr Duration kMaxOrphanAge = seconds(3);  // twice the holder's lease

[[nodiscard]] std::string FormatTask(const TaskRef& aRef);   // JOB.OCCURRENCE.STAGE.INDEX
[[nodiscard]] std::string FormatStage(const TaskRef& aRef);  // JOB.OCCURRENCE.STAGE

}  // namespace monsoon::fleet
