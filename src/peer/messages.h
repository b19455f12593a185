// Messages between monsoonstage processes. Aggregates only; the cereal functions are in
// peer/codec.cpp. A message never carries a time point: clocks differ between VMs. It carries
// durations from its sending.
//
// Index
//   Heartbeat (UDP)
//   Grants: a request slot, lent by a worker's owner
//   Holds: task capacity, reserved, journaled, then started
//   Task supervision
//   Job shards
//   Idempotency keys
//   Configuration and journals
//   Outage promises
//   Envelope (TCP)
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/errors.h"
#include "core/model.h"
#include "policy/worker_view.h"

namespace monsoon {

inline constexpr std::uint16_t kPeerVersion = 1;  // one version back and forward must be readable

// Heartbeat (UDP)
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  Leaving
};

struct MemberGossip  // what one process says of another
{
  ProcessName mName{};
  std::uint64_t mIncarnation = 0;  // grows with every start, and when a suspicion is refuted
  std::uint64_t mCount = 0;        // latest heartbeat known of that incarnation
  MemberState mState = MemberState::Alive;
  std::uint64_t mSession = 0;  // incarnation of its session lease; 0: none
  bool mReady = true;
  bool mStoreReachable = true;
  std::uint32_t mFreeSlots = 0;
};

struct JournalHead  // how far a process has applied a journal
{
  std::string mJournal{};
  Sequence mHead = 0;
  Duration mAge{};  // since the store confirmed that this is the head
};

struct Heartbeat
{
  std::uint16_t mVersion = kPeerVersion;
  ProcessName mFrom{};
  ZoneName mZone{};
  std::uint64_t mIncarnation = 0;
  std::uint64_t mCount = 0;              // grows by one with each round of heartbeats
  std::uint64_t mSession = 0;            // incarnation of the sender's session lease; 0: none
  bool mLeaving = false;                 // planned stop announced
  bool mReady = true;                    // takes new work
  bool mStoreReachable = true;           // the sender's view of the platform's store
  std::uint32_t mFreeSlots = 0;          // over the workers it owns; a hint, never a promise
  std::vector<MemberGossip> mMembers{};  // a bounded sample
  std::vector<JournalHead> mHeads{};
};

// Grants: a request slot, lent by a worker's owner
struct GrantRequest  // waits at the owner until a slot is free, mWait passes, or GrantCancel
{
  RequestId mRequest{};
  std::string mCaller{};
  std::string mService{};
  Priority mPriority = Priority::Normal;
  Duration mWait{};  // longest wait in the owner's queue; zero: answer at once
  Duration mAge{};   // time since the request arrived, for ordering by age
  Duration mHold{};  // longest use once granted
};

struct Grant  // permission to send one request to one worker
{
  GrantId mId = 0;
  WorkerSpec mWorker{};  // where to send
  ProcessName mOwner{};
  Epoch mEpoch = 0;               // of the ownership
  std::int64_t mStartBefore = 0;  // ms on the worker's own clock; it refuses a later start
  Duration mExpiry{};  // counted as used at most this long unless the worker reports it busy
};

enum class GrantEnd : std::uint8_t
{
  Unused,    // nothing was sent
  Answered,  // a whole answer came
  Refused,   // explicitly, or no byte could be written: it did not run
  Broken,    // bytes were written and the connection broke
  Unknown,   // bytes were written and time ran out
  Failed     // a whole answer came, and it was a server error
};

struct GrantReturn  // ends a grant; also tells the owner how the endpoint behaved
{
  GrantId mId = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;
  GrantEnd mEnd = GrantEnd::Unused;
};

struct GrantCancel  // withdraws a waiting GrantRequest
{
  RequestId mRequest{};
};

// Holds: task capacity, reserved, journaled, then started
struct TaskShape  // what placement needs to know of a set of equal tasks
{
  JobId mJob{};
  JobKind mKind = JobKind::Batch;
  TeamName mTeam{};
  Priority mPriority = Priority::Normal;
  Resources mNeed{};  // corrected size, per task
  std::string mAcceleratorType{};
  bool mSpreadZones = false;
  bool mSpreadRacks = false;
  std::vector<WorkerName> mAvoid{};  // workers on which this job failed already
};

struct FitQuery  // asks an owner where tasks would fit best; reserves nothing
{
  TaskShape mShape{};
  std::uint32_t mCount = 1;
};

struct Offer  // a worker's room for some of the tasks
{
  WorkerName mWorker{};
  ZoneName mZone{};
  RackName mRack{};
  std::uint32_t mCount = 0;  // how many of the tasks would fit
  double mScore = 0;         // lower fits better; comparable between owners
};

struct FitReply
{
  std::vector<Offer> mOffers{};
  std::uint32_t mNeverFits = 0;  // workers too small even when empty
  std::uint32_t mFullNow = 0;    // workers that would fit when emptier
  std::uint32_t mExcluded = 0;   // quarantined, leaving, unknown inventory, or avoided
};

struct HoldRequest  // reserves room for tasks on one worker until it expires
{
  TaskShape mShape{};
  WorkerName mWorker{};
  std::vector<TaskKey> mTasks{};
  Duration mExpiry{};
};

struct HoldReply
{
  GrantId mId = 0;
  Epoch mEpoch = 0;               // the worker owner's
  std::vector<TaskKey> mTasks{};  // those that got room; perhaps fewer than asked
};

struct HoldRelease
{
  GrantId mId = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;
};

struct TaskStart  // turns held room into a running task; sent after the journal entry stands
{
  GrantId mHold = 0;
  Epoch mEpoch = 0;  // of the worker's ownership, as in HoldReply
  WorkerName mWorker{};
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  JobKind mKind = JobKind::Batch;
  Resources mNeed{};
  Duration mExpectedRun{};
  Duration mStartWithin{};  // the worker refuses a start later than this
  std::string mPayload{};
};

// Task supervision
enum class TaskStopMode : std::uint8_t
{
  Stop,
  Checkpoint
};

struct TaskStop
{
  WorkerName mWorker{};
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  TaskStopMode mMode = TaskStopMode::Stop;
};

enum class TaskEnd : std::uint8_t
{
  Running,
  Succeeded,
  Failed,
  Stopped,
  Checkpointed,
  NeverStarted,
  Unknown
};

[[nodiscard]] const char* GetName(TaskEnd aEnd) noexcept;

struct TaskReport  // worker owner to shard owner; repeated until acknowledged
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
  TaskEnd mEnd = TaskEnd::Running;
  Resources mUsed{};  // peak use as reported
  Duration mRan{};
};

struct TaskReports
{
  std::vector<TaskReport> mReports{};
};

struct TaskQuery  // a new shard owner asks what became of journaled attempts
{
  WorkerName mWorker{};
  Epoch mEpoch = 0;  // of the worker's ownership under which the attempts were assigned
  std::vector<std::pair<TaskKey, std::uint32_t>> mAttempts{};
};

// Job shards
struct JobSubmit
{
  JobSpec mSpec{};
};
struct JobCancel
{
  JobId mId{};
};
struct JobQuery
{
  JobId mId{};
  Duration mWaitUntilDone{};  // zero: answer at once
};
struct JobList  // all jobs of one shard, newest first, for `show`
{
  ShardIndex mShard = 0;
  std::uint32_t mLimit = 1000;
};

struct TaskStatus
{
  std::uint32_t mIndex = 0;
  TaskState mState = TaskState::Waiting;
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
};

struct JobStatus
{
  JobSpec mSpec{};
  std::vector<TaskStatus> mTasks{};
  std::string mReason{};  // why it waits, is held or died; for people
  Sequence mAt = 0;       // journal sequence of the last change
};

struct WorkerList  // the books of the workers that the asked process owns
{};

struct WorkerViews
{
  std::vector<WorkerView> mWorkers{};
};

struct JobStatuses
{
  std::vector<JobStatus> mJobs{};
};

// Idempotency keys
struct KeyRecord  // must stand in the journal before work not to be repeated is sent
{
  std::string mKey{};
  RequestId mRequest{};
  ProcessName mEntry{};
  Duration mTimeout{};  // until the caller's deadline; in flight no longer than this plus a lease
};

enum class KeyState : std::uint8_t
{
  Fresh,
  InFlight,
  Answered,
  NotRun,
  Unknown
};

struct KeyReply
{
  KeyState mState = KeyState::Fresh;  // Fresh: recorded now for this request; it may be sent
  RequestId mRequest{};               // whose attempt holds the key
  std::uint32_t mStatus = 0;          // recorded HTTP status
  std::string mBody{};                // recorded answer
};

struct KeyOutcome
{
  std::string mKey{};
  RequestId mRequest{};
  KeyState mState = KeyState::Unknown;
  std::uint32_t mStatus = 0;
  std::string mBody{};
};

// Configuration and journals
struct JournalFetch  // a follower asks a peer instead of the store
{
  std::string mJournal{};
  Sequence mAfter = 0;
};

struct JournalSlice
{
  std::string mJournal{};
  Sequence mSnapshotAt = 0;  // 0: no snapshot in this slice
  std::string mSnapshot{};
  std::vector<std::string> mEntries{};  // entries after max(mAfter, mSnapshotAt), in order
  Sequence mHead = 0;
};

// Outage promises
struct OutagePromiseRequest  // "do not take over from me for mFor, counted from your receipt"
{
  ProcessName mFrom{};
  std::uint64_t mIncarnation = 0;
  Duration mFor{};
};

struct OutagePromise
{
  bool mPromised = false;  // false: the store answers here, or a takeover is under way
};

// Envelope (TCP)
struct Done
{};  // success without content

using PeerRequest = std::variant<GrantRequest,
                                 GrantReturn,
                                 GrantCancel,
                                 FitQuery,
                                 HoldRequest,
                                 HoldRelease,
                                 TaskStart,
                                 TaskStop,
                                 TaskReports,
                                 TaskQuery,
                                 JobSubmit,
                                 JobCancel,
                                 JobQuery,
                                 JobList,
                                 KeyRecord,
                                 KeyOutcome,
                                 JournalFetch,
                                 OutagePromiseRequest,
                                 WorkerList>;

using PeerReply = std::variant<Done,
                               Grant,
                               FitReply,
                               HoldReply,
                               TaskReports,
                               JobStatus,
                               JobStatuses,
                               KeyReply,
                               JournalSlice,
                               OutagePromise,
                               WorkerViews>;

struct RequestFrame
{
  std::uint16_t mVersion = kPeerVersion;
  std::uint64_t mCall = 0;  // matches the reply; never matched by order
  ProcessName mFrom{};
  PeerRequest mRequest{};
};

struct ReplyFrame
{
  std::uint64_t mCall = 0;
  std::optional<Failure> mFailure{};  // set: the request failed and mReply means nothing
  PeerReply mReply{};
};

}  // namespace monsoon
