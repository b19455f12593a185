// State machine of a task (Boost.MSM, used in the source file only). Running is not journaled:
// after a replay, started attempts are Assigned until their worker's owner confirms them.
#pragma once

#include <optional>

#include "core/model.h"

namespace monsoon {

enum class TaskEvent : std::uint8_t
{
  Assign,    // an assignment to a worker was journaled
  Confirm,   // the worker's owner reports that the attempt runs
  Requeue,   // the attempt ended; the task waits for another
  Succeed,   // the attempt succeeded
  Withdraw,  // the attempt ended and the job was cancelled
  GiveUp,    // the attempt ended and the task is not retried
  Hold,      // the task fits no existing VM
  Release,   // the fleet has changed; the task may fit now
  Cancel,    // the job was cancelled before the task was assigned
};
inline constexpr std::size_t kTaskEvents = 9;

// Returns the next state, or std::nullopt if the event is not allowed in aState.
[[nodiscard]] std::optional<TaskState> FindNextState(TaskState aState, TaskEvent aEvent) noexcept;
[[nodiscard]] bool IsFinal(TaskState aState) noexcept;

}  // namespace monsoon
