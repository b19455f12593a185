// A worker as placement and routing see it: plain facts, copied out of the owner's book.
#pragma once

#include "core/model.h"

namespace monsoon {

struct WorkerView
{
  WorkerSpec mSpec{};
  Resources mFree{};       // capacity less everything granted, held, started or reported in use
  bool mKnown = false;     // inventory was read under this epoch; otherwise it counts as full
  bool mExcluded = false;  // leaving, drained or quarantined: no new work
  std::uint32_t mTasksOfJob = 0;  // tasks of the job in question that run here already
  double mFailureRate = 0;        // recent share of failed starts, 0 … 1
};

}  // namespace monsoon
