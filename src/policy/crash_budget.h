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

// Runs of a task on workers that do not answer: it is not known whether these crashed.
struct UnresolvedRuns
{
  std::size_t mCount = 0;     // without those whose crash is recorded already
  std::size_t mUnproven = 0;  // the worker has not been seen to survive the start
};

// Returns whether a copy of the task may start although some of its runs are unresolved.
[[nodiscard]] bool MayStartCopy(std::span<const WorkerCrash> aCrashes,
                                const UnresolvedRuns& aUnresolved);

// Returns whether the task may start once more, even if all its unresolved runs crashed their
// workers.
[[nodiscard]] bool MayStartAgain(std::span<const WorkerCrash> aCrashes,
                                 const UnresolvedRuns& aUnresolved);

}  // namespace monsoon
