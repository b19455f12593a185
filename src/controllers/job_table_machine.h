// The life of a task as a state machine (Boost.MSM, kept in the source). Running is not journaled:
// after a replay, started attempts are Assigned until their worker's owner says more.
#pragma once

#include <optional>

#include "core/model.h"

namespace monsoon {

enum class TaskEvent : std::uint8_t
{
  Assign,    // a worker was journaled
  Confirm,   // its owner says that it runs
  Requeue,   // the attempt ended; another follows
  Succeed,   // ended well
  Withdraw,  // ended, and the job was cancelled
  GiveUp,    // ended, and none follows
  Hold,      // no VM that exists fits
  Release,   // the fleet has changed
  Cancel,    // the job was cancelled before the task was assigned
};
inline constexpr std::size_t kTaskEvents = 9;

// The state that follows, or nothing when the event can't happen in aState.
[[nodiscard]] std::optional<TaskState> FindNextState(TaskState aState, TaskEvent aEvent) noexcept;
[[nodiscard]] bool IsFinal(TaskState aState) noexcept;

}  // namespace monsoon
