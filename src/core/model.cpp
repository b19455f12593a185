#include "core/model.h"

namespace monsoon {

Resources Add(const Resources& aLeft, const Resources& aRight) noexcept
{
  return { aLeft.mMilliCores + aRight.mMilliCores,
           aLeft.mMemoryMiB + aRight.mMemoryMiB,
           aLeft.mAccelerators + aRight.mAccelerators,
           aLeft.mSlots + aRight.mSlots,
           aLeft.mConnections + aRight.mConnections };
}

Resources Subtract(const Resources& aLeft, const Resources& aRight) noexcept
{
  return { aLeft.mMilliCores - aRight.mMilliCores,
           aLeft.mMemoryMiB - aRight.mMemoryMiB,
           aLeft.mAccelerators - aRight.mAccelerators,
           aLeft.mSlots - aRight.mSlots,
           aLeft.mConnections - aRight.mConnections };
}

bool Fits(const Resources& aNeed, const Resources& aFree) noexcept
{
  return !IsNegative(Subtract(aFree, aNeed));
}

bool IsNegative(const Resources& aValue) noexcept
{
  return aValue.mMilliCores < 0 || aValue.mMemoryMiB < 0 || aValue.mAccelerators < 0 ||
         aValue.mSlots < 0 || aValue.mConnections < 0;
}

const char* GetName(JobKind aKind) noexcept
{
  switch (aKind) {
    case JobKind::Service:
      return "service";
    case JobKind::Batch:
      return "batch";
    case JobKind::Gang:
      return "gang";
    case JobKind::Watch:
      return "watch";
  }
  return "batch";
}

const char* GetName(TaskState aState) noexcept
{
  switch (aState) {
    case TaskState::Waiting:
      return "waiting";
    case TaskState::Assigned:
      return "assigned";
    case TaskState::Running:
      return "running";
    case TaskState::Succeeded:
      return "succeeded";
    case TaskState::Failed:
      return "failed";
    case TaskState::Cancelled:
      return "cancelled";
    case TaskState::DeadLetter:
      return "dead_letter";
    case TaskState::Held:
      return "held";
  }
  return "waiting";
}

const char* GetName(Priority aPriority) noexcept
{
  switch (aPriority) {
    case Priority::Urgent:
      return "urgent";
    case Priority::Normal:
      return "normal";
    case Priority::Low:
      return "low";
  }
  return "normal";
}

}  // namespace monsoon
