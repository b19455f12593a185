// Builds the tables that commands return.
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
// Lists the revision, settings, teams, drained workers and declared jobs, each but the revision
// with the command that sets it.
[[nodiscard]] Table MakeConfigRows(const Configuration& aConfiguration);
[[nodiscard]] Result<Table> MakeChangeResult(const Result<JobStatus>& aJob);
[[nodiscard]] Result<Table> MakeChangeResult(const Result<Revision>& aRevision);

// Converts a command that changes the configuration; the caller must have handled all other
// commands.
[[nodiscard]] DeclarationChange MakeDeclarationChange(const CommandBody& aBody);

}  // namespace monsoon
