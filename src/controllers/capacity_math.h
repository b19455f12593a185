// Arithmetic on resources for the sources of CapacityBook.
#pragma once

#include <algorithm>

#include "core/model.h"

namespace monsoon {

// Max and Min work per dimension.
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

// Returns what one slot takes: a connection too, unless the worker declares no number of
// connections and so doesn't limit them.
inline Resources MakeSlotNeed(const WorkerSpec& aSpec)
{
  return { .mSlots = 1, .mConnections = aSpec.mCapacity.mConnections > 0 ? 1 : 0 };
}

}  // namespace monsoon
