// Plain data that the fleet scheduler works with: jobs, queues, workers and orders.
//
// Index
//   Jobs       a job is a DAG of stages, run once or on a schedule; a stage is a set of equal tasks
//   Teams      callers' teams: their keys, shares and limits
//   Queues     configuration of the queues that accept jobs
//   Workers    entries of the worker directory, and the reports of workers
//   Orders     what the scheduler asks of workers and of the policy service
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace monsoon::fleet {

// Jobs
struct StageSpec
{
  std::uint32_t mCount = 0;             // tasks
  std::uint32_t mMilliCores = 0;        // of each task
  std::uint32_t mMemoryMiB = 0;         // of each task
  std::uint32_t mAccelerators = 0;      // of each task
  std::int64_t mEstimateMs = 0;         // run time of one task, as estimated by the caller
  std::vector<std::uint32_t> mAfter{};  // indexes of stages that must complete first
  std::string mRequiredLabel{};         // a worker must have this label; empty: any worker
  std::string mDataRack{};              // rack of the input; tasks run slower on other racks
  std::string mImage{};                 // tasks of one image behave alike; empty: unknown
  std::uint32_t mMaxPerWorker = 0;      // tasks of one occurrence on one worker; 0: unlimited
  std::int64_t mLatencyTargetMs = 0;    // upper limit of a serving task's tail latency; 0: none
  std::uint32_t mMayMiss = 0;  // serving tasks that may be missing because of the scheduler
  bool mCheckpointed = false;  // a new run resumes from the last checkpoint
  bool mGang = false;          // tasks run all at once or not at all
  bool mRackLocal = false;     // tasks run slower when spread over several racks
  bool mSpeculative = false;   // a task may run several times at once; the first end counts
  bool mLongRunning = false;   // restarted after every end, until the job is cancelled
  bool mFiller = false;        // uses idle cores; only its memory is reserved

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCount, mMilliCores, mMemoryMiB, mAccelerators, mEstimateMs, mAfter, mRequiredLabel);
    aArchive(
      mDataRack, mMaxPerWorker, mLatencyTargetMs, mMayMiss, mCheckpointed, mGang, mRackLocal);
    aArchive(mSpeculative, mLongRunning, mFiller);
  }
};

struct QueueTerms  // what a job is scheduled by, as configured for its queue
{
  std::uint32_t mPriority = 0;     // 0 is the most urgent
  std::uint32_t mMaxAttempts = 1;  // failed runs of one task until its job fails
  double mStretch = 1;             // a job is due after mStretch * (its longest chain) + mSlack
  Duration mSlack{};               // see mStretch
  bool mNeedsAdvice = false;       // the policy service decides which workers may run a stage
  Duration mAdviceBase{};          // duration of a policy call, without the part for its workers
  Duration mAdvicePerWorker{};     // added for each worker that the call names
  Duration mAdviceValid{};         // validity of the tickets, unless the response states one

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPriority, mMaxAttempts, mStretch, mSlack, mNeedsAdvice);
    aArchive(mAdviceBase, mAdvicePerWorker, mAdviceValid);
  }
};

struct JobSpec
{
  std::string mId{};
  std::string mQueue{};
  std::string mService{};  // pool of workers; taken from the queue when the job was accepted
  std::string mPayload{};  // passed to every task as it is
  std::vector<StageSpec> mStages{};
  std::int64_t mFirstMs = 0;           // time of day of the first occurrence, Unix ms
  std::int64_t mIntervalMs = 0;        // between occurrences
  std::uint32_t mOccurrences = 0;      // 0: the job runs once, immediately
  std::int64_t mAcceptedMs = 0;        // time of day at acceptance, Unix ms
  std::optional<QueueTerms> mTerms{};  // at acceptance; earlier builds stored none
  std::string mTeam{};                 // whose key submitted it; empty: none, or not known

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mQueue, mService, mPayload, mStages);
    aArchive(mFirstMs, mIntervalMs, mOccurrences, mAcceptedMs);
  }
  void SerializeAdded(auto& aArchive) { aArchive(mTerms); }
  void SerializeAdded(auto& aArchive) const { aArchive(mTerms); }
  void SerializeLater(auto& aArchive) { SerializeTeamAndImages(*this, aArchive); }
  void SerializeLater(auto& aArchive) const { SerializeTeamAndImages(*this, aArchive); }

private:
  static void SerializeTeamAndImages(auto& aJob, auto& aArchive)
  {
    aArchive(aJob.mTeam);
    for (auto& it : aJob.mStages)
      aArchive(it.mImage);
  }
};

enum class JobState : std::uint8_t
{
  Queued,     // accepted, no task has started
  Running,    // a task has started
  Completed,  // all tasks have succeeded
  Failed,     // a task failed as often as the queue's mMaxAttempts
  Cancelled   // cancelled by its caller
};

[[nodiscard]] inline bool IsOver(JobState aState)
{
  return aState != JobState::Queued && aState != JobState::Running;
}

// Teams
struct TeamResources  // of a team's tasks, over all workers
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMiB = 0;
  std::int64_t mAccelerators = 0;
};

struct TeamConfig
{
  std::string mName{};
  std::vector<std::string> mKeys{};  // that its callers send; any of them
  double mWeight = 1;                // its share of capacity, against other teams
  TeamResources mLimit{};            // of what its tasks may have at one time; 0: unlimited
};

// Queues
struct QueueConfig : QueueTerms
{
  std::string mName{};
  std::string mHost{};        // Host header of callers' requests
  std::string mPrefix{};      // path prefix of callers' requests
  bool mIsAnonymous = false;  // callers need no key
  std::string mService{};     // pool of workers
  Duration mCallTimeout{};    // of one request of a caller
};

struct FleetConfig
{
  std::uint64_t mVersion = 0;  // 0: no configuration was read yet
  std::vector<QueueConfig> mQueues{};
  std::vector<TeamConfig> mTeams{};
  bool mNeedsKeys =
    false;  // teams are configured: callers of queues that aren't anonymous need a key
  std::vector<std::string> mServices{};
  std::size_t mMaxBodyBytes = 262'144;  // limit of a caller's request
  Duration mIdleTimeout{};              // of a caller's connection; zero: not stated
};

// Workers
struct WorkerEntry  // one incarnation of a worker, as listed in the directory
{
  std::string mId{};
  std::string mService{};
  std::string mAddress{};  // IP:PORT
  std::string mZone{};
  std::vector<std::string> mLabels{};  // the kind of the worker, then its rack
  std::uint32_t mMilliCores = 0;
  std::uint32_t mMemoryMiB = 0;
  std::uint32_t mAccelerators = 0;
  bool mDraining = false;
  std::int64_t mDrainRemainingMs = 0;  // minimum time until a draining worker leaves
  std::int64_t mBornMs = 0;            // start of this incarnation, Unix ms; 0: unknown
  std::uint64_t mCreatedRevision = 0;  // of the store when it was first listed; 0: unknown
  bool mJustWritten = false;           // it changed a moment ago; otherwise its age is not known
};

struct RunningTask  // a task that is running on a worker
{
  std::string mTask{};
  std::uint64_t mRun = 0;
  std::string mCheckpoint{};
  double mPercent = 0;
  double mActivity = 0;  // of a serving task: tail latency, ms; of any other: millicores in use
};

enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,  // by an order of the scheduler
  Lapsed,   // the task's lease expired
  Broken,   // another member of its gang ended
  Alone     // other members of its gang did not start in time
};

struct EndedTask  // a task that ended on a worker
{
  std::uint64_t mNumber = 0;  // increases within one incarnation of the worker
  std::string mTask{};
  std::uint64_t mRun = 0;
  EndKind mKind = EndKind::Failed;
  std::string mCheckpoint{};
};

struct WorkerReport
{
  std::int64_t mClockMs = 0;  // the worker's own steady clock
  std::int64_t mBornMs = 0;   // as in WorkerEntry
  std::vector<RunningTask> mRunning{};
  std::vector<EndedTask> mEnded{};
  bool mHasMoreEnds = false;  // mEnded is cut; the rest is listed once these are acknowledged
};

struct SuspectRun  // a run that may have crashed its worker
{
  std::string mTask{};
  std::uint64_t mRun = 0;
  bool mStarted = false;   // the worker confirmed it
  bool mUnproven = false;  // the worker has not been seen to survive its start

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTask, mRun, mStarted, mUnproven);
  }
};

struct LeaseWait  // of an unresponsive worker: until the leases of its tasks have expired
{
  std::string mWorker{};
  std::int64_t mBornMs = 0;  // as in WorkerEntry
  std::int64_t mLeftMs = 0;  // from when the wait was listed; 0: they have expired

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorker, mBornMs, mLeftMs);
  }
};

struct AdmittedWorker  // a worker that the policy service allows for a stage
{
  std::string mWorker{};
  std::string mTicket{};  // passed on with each start order of the stage

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorker, mTicket);
  }
};

// Orders
struct StartOrder
{
  std::string mWorker{};
  std::string mTask{};
  std::uint64_t mRun = 0;
  std::string mPayload{};
  std::string mCheckpoint{};
  std::string mTicket{};
};

struct StopOrder
{
  std::string mWorker{};
  std::string mTask{};
  std::uint64_t mRun = 0;
  TimePoint mPlannedAt{};
};

struct PaceOrder
{
  std::string mWorker{};
  std::string mTask{};
  std::uint64_t mRun = 0;
  std::uint32_t mPercent = 100;  // pace of a filler task; 100: full speed, 0: paused
};

struct AdviceOrder  // ask the policy service which of these workers may run a stage
{
  std::uint64_t mNumber = 0;  // identifies the call
  std::string mStage{};       // JOB.OCCURRENCE.STAGE
  std::vector<std::string> mWorkers{};
  std::int64_t mExpectedMs = 0;  // expected duration of the call

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mStage, mWorkers, mExpectedMs);
  }
};

}  // namespace monsoon::fleet
