// The entries of a job shard's journal. One journal value holds a batch of entries: a version byte,
// the number of entries, then a tag byte and the fields of each entry.
#pragma once

#include <span>
#include <variant>
#include <vector>

#include "core/errors.h"
#include "peer/messages.h"

namespace monsoon {

inline constexpr std::uint8_t kJobEntryVersion = 1;

struct JobSubmitted
{
  JobSpec mSpec{};
};

struct JobCancelled
{
  JobId mJob{};
};

struct TaskAssigned  // is committed before the start is sent to the worker
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;        // epoch of the worker's ownership
  Resources mNeed{};       // resources reserved on the worker
  bool mReplaces = false;  // moves a service's replica: the old attempt runs until this one does
};

struct TaskEnded  // includes the restart decision, so that a replay needs no policy
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  TaskEnd mEnd = TaskEnd::Unknown;
  TaskState mNext = TaskState::Waiting;  // Waiting (restarts), Succeeded, Cancelled or DeadLetter
  Resources mUsed{};                     // peak use, as measured by the worker
};

struct JobHeld  // holds a job that fits no existing VM, or releases it
{
  JobId mJob{};
  bool mHeld = true;
  std::string mReason{};
};

struct ShardFenced  // a new owner's first entry; appends of the previous owner fail after it
{
  ProcessName mOwner{};
};

using JobEntry =
  std::variant<JobSubmitted, JobCancelled, TaskAssigned, TaskEnded, JobHeld, ShardFenced>;

[[nodiscard]] std::string EncodeEntries(std::span<const JobEntry> aEntries);
// Fails with CorruptEntry if aBytes is truncated or has an unknown tag or version.
[[nodiscard]] Result<std::vector<JobEntry>> DecodeEntries(std::string_view aBytes);

// Returns the shard of a job id or idempotency key; the result is the same in every process.
[[nodiscard]] ShardIndex ComputeShard(std::string_view aId, ShardIndex aShards) noexcept;

}  // namespace monsoon
