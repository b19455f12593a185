#include <tclap/ArgException.h>

#include <csignal>
#include <iostream>
#include <span>

#include "app/commands.h"

namespace {

struct Subcommand
{
  const char* mName;
  const char* mSummary;
  int (*mRun)(monsoon::Arguments);
};

constexpr Subcommand kSubcommands[] = {
  { "dev", "run a whole cell in this process and show what it does", &monsoon::RunDev },
  { "serve", "run one process of a cell", &monsoon::RunServe },
  { "entry", "run one entry process on the users' platform", &monsoon::RunEntry },
  { "check", "read settings, or a desired state, and print every error", &monsoon::RunCheck },
  { "ctl", "run operators' commands", &monsoon::RunCtl },
  { "apply", "apply the declarations in a file to a cell", &monsoon::RunApply },
  { "load", "send work to a cell and measure how long it waits", &monsoon::RunLoadCommand },
  { "standin", "run a stand-in of the platform or of a worker", &monsoon::RunStandin },
};

int PrintUsage(std::ostream& aOut, int aExitCode)
{
  aOut << "monsoonstage: cluster scheduler for different kinds of work on one shared fleet\n\n"
       << "usage: monsoonstage SUBCOMMAND [ARGUMENTS]; monsoonstage SUBCOMMAND --help shows its "
          "options\n\n";
  for (const Subcommand& it : kSubcommands)
    aOut << "  " << it.mName << "\t" << it.mSummary << '\n';
  aOut << "\nexit codes: 0 success, 1 failure, 2 wrong usage\n";
  return aExitCode;
}

}  // namespace

int main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::span<char*> words(argv, static_cast<std::size_t>(argc));
  if (words.size() < 2)
    return PrintUsage(std::cerr, monsoon::kExitUsageError);
  const std::string name = words[1];
  if (name == "--help" || name == "-h")
    return PrintUsage(std::cout, monsoon::kExitSuccess);
  for (const Subcommand& it : kSubcommands) {
    if (name != it.mName)
      continue;
    try {
      return it.mRun(monsoon::Arguments(words.begin() + 1, words.end()));
    } catch (const TCLAP::ArgException& error) {
      std::cerr << name << ": " << error.error() << " " << error.argId() << '\n';
      return monsoon::kExitUsageError;
    } catch (const TCLAP::ExitException& exit) {
      return exit.getExitStatus() == 0 ? monsoon::kExitSuccess : monsoon::kExitUsageError;
    }
  }
  std::cerr << "unknown subcommand: " << name << "\n\n";
  return PrintUsage(std::cerr, monsoon::kExitUsageError);
}
