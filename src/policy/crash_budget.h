// Decides when a task is given up because workers crash under it. What ran on a crashed worker is
// known, but not which task was the cause: mostly one that had just started there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace monsoon {

struct WorkerCrash  // of a worker that ran the task
{
  std::uint64_t mRun = 0;  // of the task
  bool mSoon = false;      // the task did start, and the worker has not been seen to survive it
  bool mAlone = false;     // that is true for tasks of no other job, and no other workers crashed
};

// Returns whether the task is taken for the cause of these crashes.
[[nodiscard]] bool IsPoison(std::span<const WorkerCrash> aCrashes);

// Returns whether a task may start once more although it is not known what became of workers on
// which it had just started; aUnresolved: their number.
[[nodiscard]] bool MayStartUnresolved(std::span<const WorkerCrash> aCrashes,
                                      std::size_t aUnresolved);

}  // namespace monsoon
