// How the stand-in endpoint behaves, by the body of a request or the payload of a task, or for
// everything by `PUT /v1/behaviour`.
//
//   run_ms         how long it runs
//   fail           ends as failed; for everything: a worker that fails all it starts
//   use_factor     use over declaration, e.g. 10
//   use_lag_ms     use is reported this much later
//   bytes          size of the answer's padding
//   stall          takes the request, never answers while true (requests; starts too when for all)
//   half           sends half an answer, then closes
//   close          closes without an answer after the run
#pragma once

#include <boost/json.hpp>

#include <string>

#include "core/model.h"

namespace monsoon::standin {

struct Behaviour
{
  Duration mRun = milliseconds(50);
  bool mFail = false;
  double mUseFactor = 1;
  Duration mUseLag{};
  std::size_t mBytes = 0;
  bool mStall = false;
  bool mHalf = false;
  bool mClose = false;
};

// What aText does not name stays as in aDefault; text that is no JSON changes nothing.
[[nodiscard]] Behaviour ParseBehaviour(const std::string& aText, const Behaviour& aDefault);
// Processors and memory used by a task of aNeed that has run for aRan, as reported now.
[[nodiscard]] Resources ComputeUse(const Behaviour& aBehaviour,
                                   const Resources& aNeed,
                                   Duration aRan);

}  // namespace monsoon::standin
