// The subcommands of the binary. Each returns the exit code: 0 done, 1 failed, 2 bad use.
#pragma once

#include <string>
#include <vector>

namespace monsoon {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsageError = 2;

using Arguments = std::vector<std::string>;  // the subcommand's name, then its arguments

int RunServe(Arguments aArguments);        // one process of the system
int RunEntry(Arguments aArguments);        // one entry process on the users' platform
int RunCheck(Arguments aArguments);        // reads settings, prints every error
int RunCtl(Arguments aArguments);          // operators' commands
int RunApply(Arguments aArguments);        // a cell's declarations from a file
int RunDev(Arguments aArguments);          // a whole cell in one process
int RunLoadCommand(Arguments aArguments);  // open-loop load
int RunStandin(Arguments aArguments);      // platform or worker stand-in, for tests and trials

}  // namespace monsoon
