// What a job shard's journal carries. One journal value holds a batch of entries: a version byte, a
// count, then for each a tag byte and its fields.
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

struct TaskAssigned  // must stand before the start is sent
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;        // of the worker's ownership
  Resources mNeed{};       // what was reserved
  bool mReplaces = false;  // a service's replica moves: the former attempt runs until this one does
};

struct TaskEnded  // carries the decision too, so that a replay needs no policy
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  TaskEnd mEnd = TaskEnd::Unknown;
  TaskState mNext = TaskState::Waiting;  // Waiting (restart), Succeeded, Cancelled or DeadLetter
  Resources mUsed{};                     // peak
};

struct JobHeld  // set or lifted
{
  JobId mJob{};
  bool mHeld = true;
  std::string mReason{};
};

struct ShardFenced  // a new owner's first entry: its predecessor's appends fail from here on
{
  ProcessName mOwner{};
};

using JobEntry =
  std::variant<JobSubmitted, JobCancelled, TaskAssigned, TaskEnded, JobHeld, ShardFenced>;

[[nodiscard]] std::string EncodeEntries(std::span<const JobEntry> aEntries);
// CorruptEntry: cut, unknown tag or version.
[[nodiscard]] Result<std::vector<JobEntry>> DecodeEntries(std::string_view aBytes);

// The shard that a job or idempotency key belongs to; the same in every process.
[[nodiscard]] ShardIndex ComputeShard(std::string_view aId, ShardIndex aShards) noexcept;

}  // namespace monsoon
