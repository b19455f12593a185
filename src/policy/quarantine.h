// Quarantine of workers on which tasks fail. Failures count once per pair of job and worker: a job
// that fails everywhere counts once against each worker and quarantines none, while a worker that
// fails all tasks collects failures of many jobs and adds one distinct worker to each job's
// failures. Failures of a job that succeeded on another worker all count.
#pragma once

#include <map>
#include <set>

#include "core/model.h"

namespace monsoon {

class Quarantine
{
public:
  // Records the end of a task attempt on the worker.
  void Record(const WorkerName& aWorker, const JobId& aJob, bool aFailed, TimePoint aNow);
  // Returns whether the worker gets no new tasks. After the pause it is half-open: one probe at a
  // time.
  [[nodiscard]] bool IsExcluded(const WorkerName& aWorker, TimePoint aNow) const;
  // Must be called when a task starts on the worker; begins the probe of a half-open one.
  void BeginStart(const WorkerName& aWorker, TimePoint aNow);
  void Forget(const WorkerName& aWorker);
  [[nodiscard]] double GetFailureRate(const WorkerName& aWorker) const;  // 0 to 1

private:
  struct Health
  {
    std::set<JobId> mFailedJobs{};          // since the last success
    std::uint32_t mAttributedFailures = 0;  // of jobs that succeeded on another worker
    double mFailureRate = 0;                // moving average
    std::uint32_t mTrips = 0;               // quarantines in a row
    TimePoint mUntil{};                     // end of the pause; zero: never quarantined
    TimePoint mProbeUntil{};                // when the current probe is abandoned
  };

  std::map<WorkerName, Health> mWorkers{};
  std::map<JobId, WorkerName> mSucceededOn{};  // the last worker on which a job succeeded
};

}  // namespace monsoon
