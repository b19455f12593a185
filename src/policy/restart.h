// What becomes of a task whose attempt ended, and how long it waits before the next.
#pragma once

#include "core/model.h"
#include "peer/messages.h"

namespace monsoon {

struct RestartContext
{
  JobKind mKind = JobKind::Batch;
  TaskEnd mEnd = TaskEnd::Failed;
  bool mRepeatable = true;
  bool mCancelled = false;             // the job was cancelled
  std::uint32_t mDistinctWorkers = 0;  // on which this task failed, this end included
  std::uint32_t mFailures = 0;         // of this task, this end included
  std::uint32_t mMaxAttempts = 3;      // distinct workers
};

// Waiting, or a final state. Services and watches are restarted for ever.
[[nodiscard]] TaskState DecideAfterEnd(const RestartContext& aContext) noexcept;
// Whether the end counts against the task: stops, checkpoints and starts that never were do not.
[[nodiscard]] bool CountsAsFailure(TaskEnd aEnd) noexcept;
// aJitter is in 0 … 1. Watches are restarted fast; after a checkpoint or a start that never was
// there is no reason to wait.
[[nodiscard]] Duration ComputeRestartDelay(JobKind aKind,
                                           TaskEnd aEnd,
                                           std::uint32_t aFailures,
                                           double aJitter) noexcept;

}  // namespace monsoon
