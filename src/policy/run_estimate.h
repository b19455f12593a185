// Estimates how long the tasks of a job run from runs that ended; declared run times may be wrong
// by a factor of ten.
#pragma once

#include <map>

#include "core/model.h"

namespace monsoon {

class RunEstimates
{
public:
  // Records a run of a task of the job that ended after aRan.
  void Record(const JobId& aJob, Duration aRan, TimePoint aNow);
  // Returns the moving average of recorded runs; aDeclared if there are none.
  [[nodiscard]] Duration Estimate(const JobId& aJob, Duration aDeclared) const;

private:
  struct Observation
  {
    Duration mAverage{};
    TimePoint mLastAt{};
  };

  void DropOldest();

  std::map<JobId, Observation> mObservations{};
};

}  // namespace monsoon
