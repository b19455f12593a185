// Reads a cell's declarations from a file (kept in version control) and compares them with the
// cell's configuration.
//
//   [settings]
//   routing = "late_binding"
//   [[team]]
//   name = "floor"
//   cores = 64.0
//   memory = "128GiB"
//   [[job]]
//   command = 'service "planner" replicas 3 cores 1 memory 2GiB spread zones'
#pragma once

#include "app/settings.h"
#include "command/table.h"

namespace monsoon {

struct Declarations
{
  std::map<std::string, std::string> mSettings{};  // name → command that sets it
  std::map<TeamName, std::string> mTeams{};
  std::map<JobId, std::string> mJobs{};
};

struct DeclarationsResult
{
  Declarations mDeclarations{};
  std::vector<SettingsError> mErrors{};  // all errors, with their place in the file
};

[[nodiscard]] DeclarationsResult ParseDeclarations(std::string_view aText, std::string aFileName);
[[nodiscard]] DeclarationsResult LoadDeclarations(const std::string& aFileName);

struct DifferenceLine  // each member is a command of the operators' language
{
  std::string mOld{};      // declares what the cell has; empty: nothing
  std::string mNew{};      // declares what the file has; empty: nothing
  std::string mCommand{};  // changes the cell from old to new
};

struct Difference
{
  Revision mRevision = 0;  // of the cell's configuration
  std::vector<DifferenceLine> mLines{};
};

// aConfig: the result of `show config`. Declared jobs that aWanted lacks are withdrawn; teams and
// settings that it lacks stay as they are.
[[nodiscard]] Difference FindDifference(const Table& aConfig, const Declarations& aWanted);

}  // namespace monsoon
