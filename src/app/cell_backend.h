// What the operators' language asks of the cell, answered from any process. Satisfies
// CommandBackend.
#pragma once

#include "app/job_calls.h"
#include "command/backend.h"

namespace monsoon {

class CellBackend
{
public:
  // References outlive the backend.
  CellBackend(PeerLink& aLink, ControlPlane& aControl, const Settings& aSettings);

  // Jobs
  Async<Result<JobStatus>> SubmitJob(JobSpec aSpec, std::optional<Revision> aExpected);
  // BadInput: a job's specification can't be changed while it exists.
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
  // Withdrawing a declared job cancels it too, after the change stands.
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
