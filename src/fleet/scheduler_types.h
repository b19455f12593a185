// What a fleet scheduler is made with, and what it returns.
//
// Index
//   Settings   parameters of the scheduler
//   Results    orders, progress to be stored, figures for operators, outcomes of starts
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/model.h"

namespace monsoon::fleet {

// Settings
struct SchedulerSettings
{
  std::uint64_t mEpoch = 1;  // epoch of this holder; run numbers start higher in each epoch
  Duration mMaxTaskLease = seconds(6);             // longest lease of a task that workers allow
  double mWorkerClockDrift = 0.02;                 // a worker's clock may be this much slower
  Duration mWorkerHeartbeat = milliseconds(1500);  // interval at which workers renew their entries
  Duration mGangWait = seconds(3);       // members of a gang wait this long for the others
  std::uint32_t mMaxAdviceWorkers = 60;  // workers that one policy call may name
  std::uint32_t mSlowAdvisors = 0;       // advisors for slow policy calls; 0: chosen by Plan
};

// Results
struct Orders
{
  std::vector<StartOrder> mStarts{};
  std::vector<StopOrder> mStops{};
  std::vector<PaceOrder> mPaces{};
  std::vector<AdviceOrder> mAdvice{};
};

struct StoredProgress  // progress of one job, as it is stored
{
  std::string mJob{};
  std::string mBytes{};
  JobState mState = JobState::Queued;
};

struct StoredEnds  // of one incarnation of a worker
{
  std::string mWorker{};
  std::int64_t mBornMs = 0;
  std::uint64_t mLast = 0;  // its mStoredEnd once the batch is stored
};

struct ProgressBatch
{
  std::size_t mEntries = 0;  // of a transaction
  std::vector<StoredProgress> mJobs{};
  std::vector<StoredEnds> mEnds{};
};

// How likely a task would push a serving task on a worker over its latency target.
enum class Disturbance : std::uint8_t
{
  None,      // there is no such task, or it has room enough
  Possible,  // it would come close to its target, or the effect is not known
  Expected
};

struct SharingStats  // of serving tasks and what runs beside them, since they were last taken
{
  std::size_t mTails = 0;        // reported tails of serving tasks
  std::size_t mOver = 0;         // those over their targets
  std::size_t mOverBeside = 0;   // those with fillers at work beside them
  std::size_t mPlacedApart = 0;  // serving tasks and fillers placed with Disturbance::None
  std::size_t mPlacedClose = 0;  // those that found no such worker
  std::size_t mPaceOrders = 0;
  std::size_t mPairs = 0;  // of images, known now
};

struct SchedulerBacklog
{
  std::size_t mUnstoredJobs = 0;  // jobs whose progress has changed
  std::size_t mUnstoredEnds = 0;  // ends that workers have to list again
  // Stages with waiting tasks at the last plan, by the prospect of their jobs
  std::size_t mWaitingInTime = 0;
  std::size_t mWaitingLate = 0;
  std::size_t mWaitingHopeless = 0;
  std::size_t mTeamsAboveShare = 0;  // with waiting tasks
  std::uint64_t mTurns = 0;          // given by this holder to jobs that yield
};

struct TeamAtLimit  // a team with tasks that waited for its limit
{
  std::string mTeam{};
  TeamResources mUsed{};
  TeamResources mLimit{};
  std::size_t mHeld = 0;  // decisions against a start
};

enum class StartOutcome : std::uint8_t
{
  Started,
  NotStarted,        // certainly not started: the order did not arrive, or the worker refused it
  Withdrawn,         // not sent
  NoCapacity,        // refused: the worker has no free capacity
  StaleRun,          // refused: the worker has seen this run or a later one
  BadTicket,         // refused: the ticket is not valid
  OtherIncarnation,  // refused: the order was meant for an earlier incarnation of the worker
  Unknown            // no answer: the task may have started, or may start later
};

}  // namespace monsoon::fleet
