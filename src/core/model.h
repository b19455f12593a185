// The nouns of the scheduler: plain data with defaults in place, shared by every part.
//
// Index
//   Identifiers
//   Resources and workers
//   Requests
//   Jobs and tasks
//   Teams and declarations
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace monsoon {

// Identifiers
using ProcessName = std::string;  // a monsoonstage process, e.g. "entry-3"; stable across restarts
using WorkerName = std::string;   // an endpoint VM, e.g. "worker-17"
using ZoneName = std::string;     // an availability zone
using RackName = std::string;     // a rack inside a zone
using TeamName = std::string;     // the unit that quotas count by
using JobId = std::string;        // unique in a cell; chosen by the caller or by the entry process
using RequestId = std::string;    // unique per attempt chain of one caller request
using GrantId = std::uint64_t;    // unique per owner and epoch
using Epoch = std::uint64_t;      // grows with every change of owner; sequence of the journal entry
using Sequence = std::uint64_t;   // position in a journal, from 1
using Revision = std::uint64_t;   // position in the configuration journal
using ShardIndex = std::uint32_t;  // job shard, 0 … shard count - 1

// Resources and workers
struct Resources
{
  std::int64_t mMilliCores = 0;    // thousandths of a core
  std::int64_t mMemoryMiB = 0;     // MiB
  std::int64_t mAccelerators = 0;  // whole devices of the worker's one accelerator type
  std::int64_t mSlots = 0;         // request slots of the runner
  std::int64_t mConnections = 0;   // connections the runner accepts

  bool operator==(const Resources&) const = default;
};

[[nodiscard]] Resources Add(const Resources& aLeft, const Resources& aRight) noexcept;
[[nodiscard]] Resources Subtract(const Resources& aLeft, const Resources& aRight) noexcept;
[[nodiscard]] bool Fits(const Resources& aNeed,
                        const Resources& aFree) noexcept;         // every dimension
[[nodiscard]] bool IsNegative(const Resources& aValue) noexcept;  // any dimension

// What is known of a worker before anything runs on it. Source: the platform's VM list and
// settings.
struct WorkerSpec
{
  WorkerName mName{};
  ZoneName mZone{};
  RackName mRack{};
  std::string mHost = "127.0.0.1";  // IP number of its HTTP endpoint
  std::uint16_t mPort = 0;          // port of its HTTP endpoint
  Resources mCapacity{};            // what it has; never to be exceeded
  std::string mAcceleratorType{};   // empty: none
  std::string mProcessorType{};     // generation, e.g. "gen2"
  bool mLeaving = false;            // the VM list says it is about to go
};

// Requests
enum class Priority : std::uint8_t
{
  Urgent,
  Normal,
  Low
};

struct RequestSpec
{
  RequestId mId{};
  std::string mCaller{};             // fairness key; empty: the peer address
  std::string mService = "default";  // which runner service
  Priority mPriority = Priority::Normal;
  bool mRepeatable = true;  // false: at most once, recorded under mIdempotencyKey before it is sent
  std::string mIdempotencyKey{};    // required when not repeatable
  Duration mTimeout = seconds(30);  // from arrival to the whole answer
  std::string mBody{};              // opaque
};

// Jobs and tasks
enum class JobKind : std::uint8_t
{
  Service,
  Batch,
  Gang,
  Watch
};

enum class TaskState : std::uint8_t
{
  Waiting,     // wants a worker
  Assigned,    // journaled with worker and attempt; the start may be on its way
  Running,     // the worker confirmed the start
  Succeeded,   // final
  Failed,      // this attempt failed; becomes Waiting or DeadLetter
  Cancelled,   // final
  DeadLetter,  // final: failed on enough distinct workers, or unknown and not to be repeated
  Held,        // fits no VM that exists; Waiting again when the fleet changes
};

struct JobSpec
{
  JobId mId{};
  JobKind mKind = JobKind::Batch;
  TeamName mTeam = "default";
  Priority mPriority = Priority::Normal;
  std::uint32_t mTasks = 1;                // tasks; replicas of a service
  Resources mShape{ 1000, 256, 0, 0, 0 };  // declared, per task
  std::string mAcceleratorType{};          // required type when mShape.mAccelerators > 0
  Duration mExpectedRun = seconds(60);     // declared; may be wrong by ten times
  bool mRepeatable = true;                 // false: each task runs at most once
  bool mSpreadZones = false;               // tasks in different zones first
  bool mSpreadRacks = false;               // tasks in different racks first
  std::uint32_t mMaxAttempts = 3;          // distinct workers before the dead-letter state
  std::string mPayload{};                  // opaque, handed to the worker
};

struct TaskKey
{
  JobId mJob{};
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskKey&) const = default;
};

// Teams and declarations
struct TeamQuota
{
  TeamName mTeam{};
  Resources mGuaranteed{};  // may be borrowed by others while unused
  bool mMayBorrow = true;
};

[[nodiscard]] const char* GetName(JobKind aKind) noexcept;
[[nodiscard]] const char* GetName(TaskState aState) noexcept;
[[nodiscard]] const char* GetName(Priority aPriority) noexcept;

}  // namespace monsoon
