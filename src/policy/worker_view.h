// The state of a worker that placement and routing use, copied from the owner's capacity ledger.
#pragma once

#include "core/model.h"

namespace monsoon {

struct WorkerView
{
  WorkerSpec mSpec{};
  Resources mFree{};       // capacity minus what is granted, held, started or reported in use
  bool mKnown = false;     // its inventory was read in this epoch; otherwise it counts as full
  bool mExcluded = false;  // leaving, drained or quarantined; gets no new work
  std::uint32_t mTasksOfJob = 0;  // tasks of the job to be placed that already run here
  double mFailureRate = 0;        // moving average of failed attempts, 0 to 1
};

}  // namespace monsoon
