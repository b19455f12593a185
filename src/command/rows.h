// Rows of the tables that `show` and `explain` answer.
#pragma once

#include "command/backend.h"
#include "command/table.h"

namespace monsoon {

[[nodiscard]] Result<Table> MakeRows(const Result<std::vector<WorkerRow>>& aWorkers);
[[nodiscard]] Result<Table> MakeRows(const Result<std::vector<JobStatus>>& aJobs);
[[nodiscard]] Result<Table> MakeRows(const Result<std::vector<ProcessRow>>& aProcesses);
[[nodiscard]] Result<Table> MakeRows(const Result<JobExplanation>& aExplanation);
[[nodiscard]] Result<Table> MakeTaskRows(const Result<std::vector<JobStatus>>& aJobs);
[[nodiscard]] Table MakeTeamRows(const Configuration& aConfiguration);
// revision, settings, drained workers, teams and declared jobs, each as the command that sets it
[[nodiscard]] Table MakeConfigRows(const Configuration& aConfiguration);
[[nodiscard]] Result<Table> MakeChanged(const Result<JobStatus>& aJob);
[[nodiscard]] Result<Table> MakeChanged(const Result<Revision>& aRevision);

// Of the commands that change the configuration; the caller must have handled all others.
[[nodiscard]] DeclarationChange MakeDeclarationChange(const CommandBody& aBody);

}  // namespace monsoon
