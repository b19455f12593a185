// Data types of the scheduler, shared by all parts: plain structs with default values.
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
using ProcessName = std::string;   // a monsoonstage process, e.g. "entry-3"; stable across restarts
using WorkerName = std::string;    // an endpoint VM, e.g. "worker-17"
using ZoneName = std::string;      // an availability zone
using RackName = std::string;      // a rack inside a zone
using TeamName = std::string;      // quotas are counted per team
using JobId = std::string;         // unique in a cell; chosen by the caller or by the entry process
using RequestId = std::string;     // unique per caller request; shared by its attempts
using GrantId = std::uint64_t;     // unique per owner and epoch
using Epoch = std::uint64_t;       // grows with each change of owner: its journal entry's sequence
using Sequence = std::uint64_t;    // position in a journal, from 1
using Revision = std::uint64_t;    // position in the configuration journal
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
                        const Resources& aFree) noexcept;         // in every dimension
[[nodiscard]] bool IsNegative(const Resources& aValue) noexcept;  // in any dimension

// Static properties of a worker, from the platform's VM list and the settings.
struct WorkerSpec
{
  WorkerName mName{};
  ZoneName mZone{};
  RackName mRack{};
  std::string mHost = "127.0.0.1";  // IP address of its HTTP endpoint
  std::uint16_t mPort = 0;          // port of its HTTP endpoint
  Resources mCapacity{};            // total capacity; never exceeded
  std::string mAcceleratorType{};   // empty: no accelerators
  std::string mProcessorType{};     // generation, e.g. "gen2"
  bool mLeaving = false;            // the VM list announces its removal
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
  std::string mCaller{};             // key for fair sharing; empty: the peer address is used
  std::string mService = "default";  // the runner service that handles it
  Priority mPriority = Priority::Normal;
  bool mRepeatable = true;  // false: at most once, recorded under mIdempotencyKey before it is sent
  std::string mIdempotencyKey{};    // required when not repeatable
  Duration mTimeout = seconds(30);  // from arrival to the complete response
  std::string mBody{};              // not interpreted
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
  Waiting,     // waits for a worker
  Assigned,    // worker and attempt are journaled; the start may have been sent
  Running,     // the worker confirmed the start
  Succeeded,   // final
  Failed,      // this attempt failed; becomes Waiting or DeadLetter
  Cancelled,   // final
  DeadLetter,  // final: failed on mMaxAttempts distinct workers, or its outcome is unknown and it
               // must not run again
  Held,        // fits no existing VM; becomes Waiting again when the fleet changes
};

struct JobSpec
{
  JobId mId{};
  JobKind mKind = JobKind::Batch;
  TeamName mTeam = "default";
  Priority mPriority = Priority::Normal;
  std::uint32_t mTasks = 1;                // number of tasks, or of replicas of a service
  Resources mShape{ 1000, 256, 0, 0, 0 };  // declared resources per task
  std::string mAcceleratorType{};          // required type when mShape.mAccelerators > 0
  Duration mExpectedRun = seconds(60);     // declared by the caller; may be off by a factor of ten
  bool mRepeatable = true;                 // false: each task runs at most once
  bool mSpreadZones = false;               // prefers different zones
  bool mSpreadRacks = false;               // prefers different racks
  std::uint32_t mMaxAttempts = 3;          // distinct workers to try before DeadLetter
  std::string mPayload{};                  // not interpreted, passed to the worker
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
  Resources mGuaranteed{};  // other teams may borrow it while it is unused
  bool mMayBorrow = true;   // may use unused quota of other teams
};

[[nodiscard]] const char* GetName(JobKind aKind) noexcept;
[[nodiscard]] const char* GetName(TaskState aState) noexcept;
[[nodiscard]] const char* GetName(Priority aPriority) noexcept;

}  // namespace monsoon
