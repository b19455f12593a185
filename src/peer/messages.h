// Messages between monsoonstage processes. All are aggregates; peer/codec.cpp has their cereal
// functions. Clocks differ between VMs, so a message never carries a time point, only durations
// counted from the moment it is sent.
//
// Index
//   Heartbeat (UDP)
//   Grants: request slots, granted by the owner of a worker
//   Holds: capacity reserved for tasks until their start is journaled and sent
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

// A process must be able to read the messages of the version before and the version after its own.
inline constexpr std::uint16_t kPeerVersion = 1;

// Heartbeat (UDP)
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  Leaving
};

struct MemberGossip  // state of a process as another process knows it
{
  ProcessName mName{};
  std::uint64_t mIncarnation = 0;  // grows with every start, and when a suspicion is refuted
  std::uint64_t mCount = 0;        // of the latest heartbeat known from that incarnation
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
  Duration mAge{};  // time since the store confirmed this head
};

struct Heartbeat
{
  std::uint16_t mVersion = kPeerVersion;
  ProcessName mFrom{};
  ZoneName mZone{};
  std::uint64_t mIncarnation = 0;
  std::uint64_t mCount = 0;              // grows by one with each round of heartbeats
  std::uint64_t mSession = 0;            // incarnation of the sender's session lease; 0: none
  bool mLeaving = false;                 // a planned stop is announced
  bool mReady = true;                    // accepts new work
  bool mStoreReachable = true;           // the sender reaches the store
  std::uint32_t mFreeSlots = 0;          // of the workers it owns; a hint that may be outdated
  std::vector<MemberGossip> mMembers{};  // a bounded sample
  std::vector<JournalHead> mHeads{};
};

// Grants: request slots, granted by the owner of a worker
struct GrantRequest  // queued by the owner until granted, cancelled or mWait has passed
{
  RequestId mRequest{};
  std::string mCaller{};
  std::string mService{};
  Priority mPriority = Priority::Normal;
  Duration mWait{};  // longest time in the owner's queue; zero: reply at once
  Duration mAge{};   // time since the request arrived, for ordering the queue by age
  Duration mHold{};  // longest use of the slot once granted
};

struct Grant  // permission to send one request to one worker
{
  GrantId mId = 0;
  WorkerSpec mWorker{};  // where to send
  ProcessName mOwner{};
  Epoch mEpoch = 0;               // of the worker's ownership
  std::int64_t mStartBefore = 0;  // ms on the worker's clock; the worker refuses a later start
  Duration mExpiry{};  // then the slot counts as free, unless the worker reports the request
};

enum class GrantEnd : std::uint8_t
{
  Unused,    // the request was not sent
  Answered,  // a whole answer arrived
  Refused,   // the endpoint refused, or no byte could be written: it did not run
  Broken,    // bytes were written and the connection broke
  Unknown,   // bytes were written and the deadline passed
  Failed     // a whole answer arrived with a server error status
};

struct GrantReturn  // ends a grant and reports the endpoint's behaviour to the owner
{
  GrantId mId = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;
  GrantEnd mEnd = GrantEnd::Unused;
};

struct GrantCancel  // cancels a queued GrantRequest
{
  RequestId mRequest{};
};

// Holds: capacity reserved for tasks until their start is journaled and sent
struct TaskShape  // placement requirements of a set of equal tasks
{
  JobId mJob{};
  JobKind mKind = JobKind::Batch;
  TeamName mTeam{};
  Priority mPriority = Priority::Normal;
  Resources mNeed{};  // of one task, after size correction
  std::string mAcceleratorType{};
  bool mSpreadZones = false;
  bool mSpreadRacks = false;
  std::vector<WorkerName> mAvoid{};  // workers on which a task of this job has failed
};

struct FitQuery  // asks an owner which of its workers fit the tasks best; reserves no capacity
{
  TaskShape mShape{};
  std::uint32_t mCount = 1;
};

struct Offer  // a worker's free capacity for some of the tasks
{
  WorkerName mWorker{};
  ZoneName mZone{};
  RackName mRack{};
  std::uint32_t mCount = 0;  // number of the tasks that would fit
  double mScore = 0;         // lower is better; comparable between owners
};

struct FitReply
{
  std::vector<Offer> mOffers{};
  std::uint32_t mNeverFits = 0;  // workers too small even when empty
  std::uint32_t mFullNow = 0;    // workers that fit, but lack free capacity now
  std::uint32_t mExcluded = 0;   // quarantined, leaving, unknown inventory, or avoided
};

struct HoldRequest  // reserves capacity for tasks on one worker until mExpiry has passed
{
  TaskShape mShape{};
  WorkerName mWorker{};
  std::vector<TaskKey> mTasks{};
  Duration mExpiry{};
};

struct HoldReply
{
  GrantId mId = 0;
  Epoch mEpoch = 0;               // of the worker's ownership
  std::vector<TaskKey> mTasks{};  // tasks with reserved capacity; may be fewer than requested
};

struct HoldRelease  // frees the capacity of a hold
{
  GrantId mId = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;
};

struct TaskStart  // starts a task in held capacity; sent once its journal entry is committed
{
  GrantId mHold = 0;
  Epoch mEpoch = 0;  // of the worker's ownership, as in HoldReply
  WorkerName mWorker{};
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  JobKind mKind = JobKind::Batch;
  Resources mNeed{};
  Duration mExpectedRun{};
  Duration mStartWithin{};  // the worker refuses a later start
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

struct TaskReport  // from the worker's owner to the shard's owner; repeated until acknowledged
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
  TaskEnd mEnd = TaskEnd::Running;
  Resources mUsed{};  // peak use reported by the worker
  Duration mRan{};
};

struct TaskReports
{
  std::vector<TaskReport> mReports{};
};

struct TaskQuery  // a new shard owner asks for the state of journaled attempts
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
  Duration mWaitUntilDone{};  // longest wait for the job's end; zero: reply at once
};
struct JobList  // requests the jobs of one shard, newest first, for the command `show`
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
  std::string mReason{};  // for operators: why the job waits, is held or was dead-lettered
  Sequence mAt = 0;       // journal sequence of the last change
};

struct WorkerList  // requests the capacity state of the workers that the receiver owns
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
struct KeyRecord  // must be journaled before a non-repeatable request is sent to an endpoint
{
  std::string mKey{};
  RequestId mRequest{};
  ProcessName mEntry{};
  Duration mTimeout{};  // until the caller's deadline; after this plus a lease the key is unknown
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
  KeyState mState = KeyState::Fresh;  // Fresh: recorded now; the request may be sent
  RequestId mRequest{};               // the call for which the key is recorded
  std::uint32_t mStatus = 0;          // recorded HTTP status, if Answered
  std::string mBody{};                // recorded body, if Answered
};

struct KeyOutcome  // reports how the request of a recorded key ended
{
  std::string mKey{};
  RequestId mRequest{};
  KeyState mState = KeyState::Unknown;
  std::uint32_t mStatus = 0;
  std::string mBody{};
};

// Configuration and journals
struct JournalFetch  // a follower reads a journal from a peer instead of the store
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
struct OutagePromiseRequest  // asks the receiver not to take over from the sender for mFor
{
  ProcessName mFrom{};
  std::uint64_t mIncarnation = 0;
  Duration mFor{};  // counted from receipt
};

struct OutagePromise
{
  bool mPromised = false;  // false: the store answers the receiver, or a takeover is in progress
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
  std::uint64_t mCall = 0;  // number that the reply repeats; replies may come in any order
  ProcessName mFrom{};
  PeerRequest mRequest{};
};

struct ReplyFrame
{
  std::uint64_t mCall = 0;
  std::optional<Failure> mFailure{};  // if set, the request failed and mReply is ignored
  PeerReply mReply{};
};

}  // namespace monsoon
