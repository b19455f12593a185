// The subcommands of the binary. Each returns the exit code.
#pragma once

#include <string>
#include <vector>

namespace monsoon {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsageError = 2;

using Arguments = std::vector<std::string>;  // the subcommand's name, then its arguments

int RunServe(Arguments aArguments);  // runs one process of a cell
int RunEntry(Arguments aArguments);  // runs one entry process on the users' platform
int RunCheck(Arguments aArguments);  // reads settings, or a desired state, and prints every error
int RunCtl(Arguments aArguments);    // runs operators' commands
int RunApply(Arguments aArguments);  // applies a file of declarations to a cell
int RunDev(Arguments aArguments);    // runs a whole cell in one process
int RunLoadCommand(Arguments aArguments);  // sends open-loop load to a cell
int RunStandin(Arguments aArguments);      // runs a stand-in of the platform or a worker

}  // namespace monsoon
