// Bad workers are found by outcome. A failure is one of a (job, worker) pair: a job that fails
// everywhere gives each worker one pair only, and a worker that fails everything gives each job one
// worker only.
#pragma once

#include <map>
#include <set>

#include "core/model.h"

namespace monsoon {

class Quarantine
{
public:
  // A task attempt ended on the worker.
  void Record(const WorkerName& aWorker, const JobId& aJob, bool aFailed, TimePoint aNow);
  // True while the worker gets no new work. After the pause it is half open: one probe at a time.
  [[nodiscard]] bool IsExcluded(const WorkerName& aWorker, TimePoint aNow) const;
  // Call when a task starts there: takes the probe of a half-open worker.
  void BeginStart(const WorkerName& aWorker, TimePoint aNow);
  void Forget(const WorkerName& aWorker);
  [[nodiscard]] double GetFailureRate(const WorkerName& aWorker) const;  // 0 … 1

private:
  struct Health
  {
    std::set<JobId> mFailedJobs{};  // since the last success
    std::uint32_t mAttributedFailures =
      0;                       // of jobs that succeed elsewhere, since the last success
    double mFailureRate = 0;   // moving average
    std::uint32_t mTrips = 0;  // quarantines in a row
    TimePoint mUntil{};        // end of the pause; zero: not quarantined
    TimePoint mProbeUntil{};   // a probe is under way until then
  };

  std::map<WorkerName, Health> mWorkers{};
  std::map<JobId, WorkerName> mSucceededOn{};  // the last worker on which a job succeeded
};

}  // namespace monsoon
