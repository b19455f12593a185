// Arithmetic of the capacity book; for its sources only.
#pragma once

#include <algorithm>

#include "core/model.h"

namespace monsoon {

// Per dimension.
inline Resources Max(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.mMilliCores, aRight.mMilliCores),
           std::max(aLeft.mMemoryMiB, aRight.mMemoryMiB),
           std::max(aLeft.mAccelerators, aRight.mAccelerators),
           std::max(aLeft.mSlots, aRight.mSlots),
           std::max(aLeft.mConnections, aRight.mConnections) };
}

inline Resources Min(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.mMilliCores, aRight.mMilliCores),
           std::min(aLeft.mMemoryMiB, aRight.mMemoryMiB),
           std::min(aLeft.mAccelerators, aRight.mAccelerators),
           std::min(aLeft.mSlots, aRight.mSlots),
           std::min(aLeft.mConnections, aRight.mConnections) };
}

// A worker that states no number of connections does not bound them.
inline Resources MakeSlotNeed(const WorkerSpec& aSpec)
{
  return { .mSlots = 1, .mConnections = aSpec.mCapacity.mConnections > 0 ? 1 : 0 };
}

}  // namespace monsoon
