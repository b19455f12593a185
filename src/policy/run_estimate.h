// How long the tasks of a job really run, since declared times may be wrong by ten times. Pure.
#pragma once

#include <map>

#include "core/model.h"

namespace monsoon {

class RunEstimates
{
public:
  // A task of the job ended after aRan.
  void Record(const JobId& aJob, Duration aRan, TimePoint aNow);
  // Typical run: what was seen of late, else what was declared.
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
