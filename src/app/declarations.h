// A cell's declarations as kept in version control, and how they differ from a cell.
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
  std::vector<SettingsError> mErrors{};  // all at once, located
};

[[nodiscard]] DeclarationsResult ParseDeclarations(std::string_view aText, std::string aFileName);
[[nodiscard]] DeclarationsResult LoadDeclarations(const std::string& aFileName);

struct DifferenceLine
{
  std::string mOld{};      // the command that made what the cell has; empty: nothing
  std::string mNew{};      // the command that makes what is wanted; empty: nothing
  std::string mCommand{};  // to run
};

struct Difference
{
  Revision mRevision = 0;  // of the cell
  std::vector<DifferenceLine> mLines{};
};

// aConfig: what `show config` answers. Declared jobs that the file lacks are withdrawn; teams and
// settings that it lacks are left alone.
[[nodiscard]] Difference FindDifference(const Table& aConfig, const Declarations& aWanted);

}  // namespace monsoon
