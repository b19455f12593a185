// What the fleet scheduler believes of jobs, tasks, runs and workers. Scheduler alone changes it.
//
// Index
//   Runs      one run of a task on a worker
//   Jobs      tasks, stages, occurrences
//   Workers   workers and what they have reported
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/model.h"
#include "policy/crash_budget.h"
#include "policy/estimate_error.h"
#include "policy/stage_order.h"
#include "policy/straggler.h"
#include "policy/worker_speed.h"

namespace monsoon::fleet {

// Runs
enum class RunPhase : std::uint8_t
{
  Starting,     // the start order is in flight
  Running,      // the worker has confirmed the start
  Unconfirmed,  // no answer to the start order: the task may run, or start later
  Stopping      // to be stopped; the capacity stays reserved until the worker reports the end
};

struct TaskRef
{
  std::string mJob{};
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStage = 0;
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskRef&) const = default;
};

struct Run  // one run of a task on a worker, with the capacity reserved for it
{
  std::string mTask{};
  std::string mCheckpoint{};  // last one that the worker reported
  TaskRef mRef{};
  bool mKnown = false;  // mRef names a task of a tracked job
  bool mSized = false;  // the capacity that it takes is known, and reserved
  std::uint64_t mRun = 0;
  RunPhase mPhase = RunPhase::Starting;
  std::uint32_t mMilliCores = 0;  // reserved
  std::uint32_t mMemoryMiB = 0;
  std::uint32_t mAccelerators = 0;
  bool mReported = false;   // listed in at least one report of the worker
  bool mHasWorked = false;  // it is a lasting task that survived its start; see kWorkedFor
  // When the first answer or report that confirms the start was received; zero: none was. A report
  // that was requested later and does not list the run proves that it is gone.
  TimePoint mConfirmedAt{};
  TimePoint mSentAt{};       // when the start order was sent; later, when it was answered
  TimePoint mStartedAt{};    // when the worker answered the start; zero: it did not
  TimePoint mStopSentAt{};   // zero: no stop order was sent
  TimePoint mStopAckedAt{};  // zero: no stop order was confirmed
  double mPercent = 0;
  TimePoint mProgressAt{};  // when mPercent last increased
  Duration mEstimate{};     // of the run time; zero: never checked for slowness
  RunProgress mProgress{};
  bool mDetached = false;     // another run of the task may start elsewhere
  std::uint32_t mPace = 100;  // last pace ordered for a filler, in percent
  bool mPaceUnsure = false;   // its worker may have another pace: it is ordered again
  TimePoint mPaceCheckAt{};   // when to order it once more; zero: not needed
  bool mPaceInFlight = false;
  double mFullLoad = 1;    // cores that a filler uses at full pace, as a share of those it asks for
  double mActivity = 0;    // as in RunningTask, as last reported
  TimePoint mOverSince{};  // since when a serving task may be over its target; zero: it is not
  std::int64_t mLatencyTargetMs = 0;
  bool mFiller = false;
  bool mLongRunning = false;
  std::string mTeam{};        // empty: of no team, or not sized yet
  TeamResources mTeamNeed{};  // counted for the team; the cores of fillers as well
};

// Jobs
struct Task
{
  bool mDone = false;
  std::string mWorker{};                  // empty: the task waits to be placed
  std::uint64_t mRun = 0;                 // last run number used
  std::set<std::uint64_t> mFailedRuns{};  // run numbers; an end may be reported twice
  std::string mCheckpoint{};
  std::vector<std::string> mFailedOn{};  // workers to avoid; may repeat
  bool mNeverRan = false;                // its last run certainly did not start
  std::uint32_t mMoves = 0;              // times it was moved off a slow worker
  TimePoint mSeenAt{};                   // when the worker of its last run last answered
  std::vector<WorkerCrash> mCrashes{};   // of workers that ran it
};

struct StageRun  // a stage of one occurrence
{
  std::vector<Task> mTasks{};
  std::uint32_t mDone = 0;
  std::uint32_t mWaiting = 0;  // neither done nor on a worker
  std::map<std::string, std::pair<std::string, TimePoint>> mTickets{};  // worker → ticket, expiry
  std::set<std::string> mExcluded{};  // workers that the policy service did not allow
  std::uint64_t mAdviceNumber = 0;    // policy call in flight; 0: none
  TimePoint mAdviceRetryAt{};         // earliest next policy call, after one that failed
  TimePoint mReadyAt{};               // when a stage of its occurrence last completed
  std::set<std::uint64_t> mFailedGangRuns{};
  std::string mGangCheckpoint{};        // all members resume from the same checkpoint of any member
  TimePoint mGangBrokenAt{};            // since when a member is missing; zero: none is
  std::vector<SpeedSample> mSamples{};  // its runs that tell how fast their workers are
};

struct Occurrence
{
  bool mStarted = false;  // was due, and mStages is filled
  bool mHasTurn = false;  // see ChooseTurn
  std::vector<StageRun> mStages{};
};

struct JobOutline  // follows from a job's stages and terms
{
  std::vector<Duration> mTails{};  // by stage: from its start to the end of its longest chain
  Duration mTarget{};              // from acceptance, or the due time, until the job is late
};

struct Job
{
  JobSpec mSpec{};
  JobState mState = JobState::Queued;
  JobState mStoredState = JobState::Queued;  // as last written to the store
  bool mHasStoredTerms = false;              // otherwise mSpec.mTerms is set by SetQueues
  std::vector<Occurrence> mOccurrences{};
  bool mInherited = false;                // a previous holder may have started its tasks
  bool mDirty = false;                    // has progress that CollectProgress did not return yet
  std::uint64_t mChanges = 0;             // of its progress
  std::uint64_t mCollectedChanges = 0;    // those in the last batch that was not lost
  TimePoint mSeenAt{};                    // when this holder added it
  TimePoint mDueAt{};                     // estimated end of a job that is on time; orders the jobs
  JobOutline mOutline{};                  // set when a stage is first ready
  Prospect mProspect = Prospect::InTime;  // at the last plan in which a stage was ready
  TimePoint mEndedAt{};
};

// Workers
struct RefutedEntry  // another worker answered at its address
{
  std::string mAddress{};
  std::int64_t mBornMs = 0;  // as in WorkerEntry
};

struct VanishedWorker
{
  std::int64_t mBornMs = 0;  // as in WorkerEntry
  TimePoint mAt{};
  std::vector<SuspectRun> mRuns{};
};

enum class CrashEvidence : std::uint8_t  // of the end of a worker that does not answer
{
  Replaced,  // another incarnation answers or is listed
  Vanished   // unlisted until the leases of its tasks expired; it may be partitioned instead
};

struct EndedRun
{
  std::string mTask{};
  std::uint64_t mRun = 0;
  TimePoint mSeenAt{};  // when its end was received
};

struct UnstoredEnd  // of a task; the worker lists it until it is acknowledged
{
  std::uint64_t mNumber = 0;  // EndedTask::mNumber
  std::string mTask{};
  EndKind mKind = EndKind::Failed;
  std::string mJob{};
  std::uint64_t mChange = 0;  // Job::mChanges that includes its effect

  // The numbers of ends start anew with each incarnation of the worker.
  [[nodiscard]] bool IsOf(const EndedTask& aRow) const
  {
    return mNumber == aRow.mNumber && mTask == aRow.mTask;
  }
};

struct Worker
{
  WorkerEntry mEntry{};      // as last listed; may be of another incarnation than mBornMs
  std::string mAddress{};    // where it last answered; before that, as recorded or listed
  std::int64_t mBornMs = 0;  // of the incarnation that is known to be the latest; 0: unknown
  TimePoint mBornSeenAt{};   // when mBornMs was learned
  bool mListed = false;      // the directory lists it now
  // As listed by Scheduler::ListUnsettledTasks, and stored while it was unresponsive.
  std::optional<std::set<std::string>> mFinalTasks{};
  // What it ran when its leases expired or, of a previous holder, when it was last known.
  std::vector<SuspectRun> mPastRuns{};
  // It is unresponsive and mFinalTasks is to be stored, so nothing may start there.
  bool mFinalWanted = false;
  bool mRecorded = false;   // in the stored list of workers in use
  bool mInherited = false;  // stored by a previous holder, which may have started tasks there
  bool mFenced = false;     // answered in this epoch, or its older leases expired
  bool mReachable = false;  // this incarnation answered the last call
  TimePoint mAddedAt{};     // at the election, for workers of previous holders
  bool mHasUnansweredStart = false;  // since its last answer
  bool mMayHaveRestarted = false;    // since its last report, as its entry or its clock says
  TimePoint mAnsweredAt{};
  // When the leases of its tasks expire, as told by the previous holder, which renews none any
  // more.
  std::optional<TimePoint> mInheritedExpiry{};
  TimePoint mReportRequestedAt{};  // when the last report that was applied was requested
  TimePoint mLeaseSentAt{};        // when the last order that renewed its tasks' leases was sent
  TimePoint mUnlistedAt{};         // when its directory entry was last removed
  TimePoint mWrittenAt{};          // when its directory entry was last seen to change; zero: never
  std::uint64_t mLastEnd = 0;      // highest EndedTask::mNumber that was processed
  std::uint64_t mStoredEnd = 0;  // the effects of all ends up to this EndedTask::mNumber are stored
  std::deque<UnstoredEnd> mUnstoredEnds{};  // later ones, by number
  // Runs whose end was reported lately, by the time of that report. Reports that were requested
  // before that may be older, and list them as running.
  std::deque<EndedRun> mRecentEnds{};
  std::uint32_t mUsedMilliCores = 0;
  std::uint32_t mUsedMemoryMiB = 0;
  std::uint32_t mUsedAccelerators = 0;
  std::vector<Run> mRuns{};
  TimePoint mUnresponsiveSince{};  // meaningful while mReachable is false
  // Ends of tasks whose job was not added yet, with the time of their report.
  std::vector<std::pair<TimePoint, EndedTask>> mOrphanEnds{};
  // Failures in a row, each of another job than the one before. Of lasting tasks, only those of
  // runs that have not worked.
  std::uint32_t mFailStreak = 0;
  TimePoint mFailedAt{};   // when the last of them was reported
  std::string mFailJob{};  // job of the last failure that was counted
  TimePoint mQuarantinedUntil{};
  std::uint32_t mQuarantines = 0;  // in a row, without a success between them
  TimePoint mFullUntil{};          // gets no tasks until then, as it did not take the last one
  TimePoint mSlowUntil{};          // other workers are preferred until then, as it has stragglers
  // Counted by each plan: runs whose start it has not been seen to survive, and those among them of
  // tasks under which workers have crashed.
  std::uint32_t mUnprovenCount = 0;
  std::uint32_t mSuspectCount = 0;
  std::uint32_t mUnsizedCount = 0;  // runs of unknown size; counted by each plan
  // Run time of a task here, as a multiple of the fleet's mean, and its rank; see WorkerSpeeds.
  double mRunTimeFactor = 1;
  int mRunTimeRank = 0;
  TimePoint mTailsReadAt{};       // last report that lists serving tasks
  std::size_t mSharingMix = 0;    // hash of the serving tasks and fillers that it listed
  TimePoint mSharingChangedAt{};  // when these last changed
  TimePoint mPacedAt{};  // when the pace of a filler was last ordered, or the order answered
};

// Returns whether the directory lists the worker at an address where it has not answered.
[[nodiscard]] inline bool IsListedElsewhere(const Worker& aWorker)
{
  return aWorker.mListed && aWorker.mEntry.mAddress != aWorker.mAddress;
}

}  // namespace monsoon::fleet
