// Decides the next state of a task whose attempt ended, and the delay before the next attempt.
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
  std::uint32_t mDistinctWorkers = 0;  // on which the task failed, this end included
  std::uint32_t mFailures = 0;         // of the task, this end included
  std::uint32_t mMaxAttempts = 3;      // limit of mDistinctWorkers
};

// Returns Running for an attempt that has not ended, else Waiting (to be restarted) or a final
// state. Repeatable tasks of services and watches are restarted without limit until the job is
// cancelled.
[[nodiscard]] TaskState DecideAfterEnd(const RestartContext& aContext) noexcept;
// Returns whether the end counts as a failure of the task. Stops, checkpoints and starts that never
// took place do not.
[[nodiscard]] bool CountsAsFailure(TaskEnd aEnd) noexcept;
// Returns the delay before the next attempt: exponential backoff after failures, with a lower
// maximum for watches; a short fixed delay after other ends. aJitter, from 0 to 1, scales it by 0.5
// to 1.5.
[[nodiscard]] Duration ComputeRestartDelay(JobKind aKind,
                                           TaskEnd aEnd,
                                           std::uint32_t aFailures,
                                           double aJitter) noexcept;

}  // namespace monsoon
