// Runs operators' commands on the cell, from any of its processes. Satisfies CommandBackend.
#pragma once

#include "app/job_calls.h"
#include "command/backend.h"

namespace monsoon {

class CellBackend
{
public:
  // The referenced objects must outlive the backend.
  CellBackend(PeerLink& aLink, ControlPlane& aControl, const Settings& aSettings);

  // Jobs
  Async<Result<JobStatus>> SubmitJob(JobSpec aSpec, std::optional<Revision> aExpected);
  // Always fails: with NotFound or Conflict if they apply, else with BadInput, because an existing
  // job can't be changed.
  Async<Result<JobStatus>> ChangeJob(JobId aId,
                                     JobChange aChange,
                                     std::optional<Revision> aExpected);
  Async<Result<JobStatus>> CancelJob(JobId aId, std::optional<Revision> aExpected);
  Async<Result<JobStatus>> FindJob(JobId aId);
  Async<Result<std::vector<JobStatus>>> ListJobs(std::uint32_t aLimit);
  Async<Result<JobExplanation>> ExplainJob(JobId aId);

  // Cell
  Async<Result<std::vector<WorkerRow>>> ListWorkers();
  Async<Result<std::vector<ProcessRow>>> ListProcesses();
  std::shared_ptr<const Configuration> GetConfiguration();
  // Withdrawing a declared job also cancels it, after the change is committed.
  Async<Result<Revision>> ChangeConfiguration(DeclarationChange aChange,
                                              std::optional<Revision> aExpected);

private:
  Async<Result<JobStatus>> CallForJob(JobId aId, PeerRequest aRequest);
  Async<Result<JobStatus>> CheckRevision(JobId aId, std::optional<Revision> aExpected);
  Async<std::map<WorkerName, WorkerView>> CollectViews();

  PeerLink& mLink;
  ControlPlane& mControl;
  const Settings& mSettings;
};

}  // namespace monsoon
