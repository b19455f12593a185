// What the fleet scheduler plans with: jobs made of stages, workers, queues. Plain data.
//
// Index
//   Jobs       a stage is a set of equal tasks; a job is a DAG of stages, run once or on a schedule
//   Queues     where jobs come in, and what is promised for them
//   Workers    what a worker says of itself, and of what it runs
//   Orders     what the scheduler wants done
#pragma once

#include <cstdint>
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
  std::int64_t mEstimateMs = 0;         // the caller's guess of one task's run time
  std::vector<std::uint32_t> mAfter{};  // stages that must have ended first
  std::string mRequiredLabel{};         // the worker must carry it
  std::string mDataRack{};              // where the input lies; slower elsewhere
  std::uint32_t mMaxPerWorker = 0;      // tasks of one occurrence on one worker; 0: any number
  std::int64_t mLatencyTargetMs = 0;  // response time that a serving task must stay below; 0: none
  std::uint32_t mMayMiss = 0;         // serving tasks that may be away by our own doing
  bool mCheckpointed = false;         // resumes from its last checkpoint
  bool mGang = false;                 // all tasks at once or none
  bool mRackLocal = false;            // slower when spread over racks
  bool mSpeculative = false;          // copies may run; the first end counts
  bool mLongRunning = false;          // restarted however it ends, until cancelled
  bool mFiller = false;               // takes cores that others leave; only its memory is reserved

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCount, mMilliCores, mMemoryMiB, mAccelerators, mEstimateMs, mAfter, mRequiredLabel);
    aArchive(
      mDataRack, mMaxPerWorker, mLatencyTargetMs, mMayMiss, mCheckpointed, mGang, mRackLocal);
    aArchive(mSpeculative, mLongRunning, mFiller);
  }
};

struct JobSpec
{
  std::string mId{};
  std::string mQueue{};
  std::string mService{};  // pool of workers, as the queue named it when the job came
  std::string mPayload{};  // handed to every task unread
  std::vector<StageSpec> mStages{};
  std::int64_t mFirstMs = 0;       // time of day of the first occurrence, Unix ms
  std::int64_t mIntervalMs = 0;    // between occurrences
  std::uint32_t mOccurrences = 0;  // 0: runs once, at once
  std::int64_t mAcceptedMs = 0;    // time of day at acceptance, Unix ms

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mQueue, mService, mPayload, mStages);
    aArchive(mFirstMs, mIntervalMs, mOccurrences, mAcceptedMs);
  }
};

enum class JobState : std::uint8_t
{
  Queued,     // accepted, no task has started
  Running,    // a task has started
  Completed,  // all tasks have ended well
  Failed,     // a task failed as often as its queue allows
  Cancelled   // withdrawn by its caller
};

[[nodiscard]] inline bool IsOver(JobState aState)
{
  return aState != JobState::Queued && aState != JobState::Running;
}

// Queues
struct QueueConfig
{
  std::string mName{};
  std::string mHost{};             // callers' Host header
  std::string mPrefix{};           // callers' path prefix
  std::string mService{};          // pool of workers
  std::uint32_t mPriority = 0;     // 0 comes first
  std::uint32_t mMaxAttempts = 1;  // failed runs of one task
  double mStretch = 1;             // a job is on time within this multiple of its longest chain ...
  Duration mSlack{};               // ... and this much more
  Duration mCallTimeout{};         // of a caller's call
  bool mNeedsAdvice = false;       // the policy service says which workers may run a stage
  Duration mAdviceBase{};          // time of one call to it
  Duration mAdvicePerWorker{};     // and for each worker that the call names
  Duration mAdviceValid{};         // how long its tickets hold
};

struct FleetConfig
{
  std::uint64_t mVersion = 0;  // 0: none known yet
  std::vector<QueueConfig> mQueues{};
  std::vector<std::string> mServices{};
  std::size_t mMaxBodyBytes = 262'144;  // of a caller's request
};

// Workers
struct WorkerEntry  // one life of a worker, as the directory lists it
{
  std::string mId{};
  std::string mService{};
  std::string mAddress{};  // IP:PORT
  std::string mZone{};
  std::vector<std::string> mLabels{};  // kind and rack
  std::uint32_t mMilliCores = 0;
  std::uint32_t mMemoryMiB = 0;
  std::uint32_t mAccelerators = 0;
  bool mDraining = false;
  std::int64_t mDrainRemainingMs = 0;  // least time until a draining worker leaves
  std::int64_t mBornMs = 0;            // start of this life, Unix ms; 0: not told
};

struct RunningTask  // a task that a worker runs
{
  std::string mTask{};
  std::uint64_t mRun = 0;
  std::string mCheckpoint{};
  double mPercent = 0;
  double mTailLatencyMs = 0;  // of a serving task
};

enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,  // on our order
  Lapsed,   // its lease ran out
  Broken,   // another member of its gang ended
  Alone     // the rest of its gang did not come
};

struct EndedTask  // a task that ended on a worker
{
  std::uint64_t mNumber = 0;  // rises within one life of the worker
  std::string mTask{};
  std::uint64_t mRun = 0;
  EndKind mKind = EndKind::Failed;
  std::string mCheckpoint{};
};

struct WorkerReport
{
  std::int64_t mClockMs = 0;  // the worker's own steady clock
  std::int64_t mBornMs = 0;
  std::vector<RunningTask> mRunning{};
  std::vector<EndedTask> mEnded{};
};

struct AdmittedWorker  // the policy service lets a stage run on this worker
{
  std::string mWorker{};
  std::string mTicket{};

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
};

struct PaceOrder
{
  std::string mWorker{};
  std::string mTask{};
  std::uint64_t mRun = 0;
  std::uint32_t mPercent = 100;
};

struct AdviceOrder
{
  std::uint64_t mNumber = 0;  // names the call
  std::string mStage{};       // JOB.OCCURRENCE.STAGE
  std::vector<std::string> mWorkers{};
  std::int64_t mExpectedMs = 0;  // how long the policy service takes

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mStage, mWorkers, mExpectedMs);
  }
};

}  // namespace monsoon::fleet
