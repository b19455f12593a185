#include <tclap/CmdLine.h>

#include <iostream>

#include "app/commands.h"
#include "fleet/entry.h"
#include "observe/log.h"

namespace monsoon {

int RunEntry(Arguments aArguments)
{
  TCLAP::CmdLine line("Runs one entry process on the users' platform until SIGTERM.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> config(
    "c", "config", "TOML settings of this process", true, "", "FILE", line);
  TCLAP::SwitchArg check("k", "check", "read the settings, print every error, and stop", line);
  line.parse(aArguments);
  auto loaded = fleet::LoadEntrySettings(config.getValue());
  for (const std::string& it : loaded.mErrors)
    std::cerr << it << '\n';
  if (!loaded.mErrors.empty())
    return kExitUsageError;
  if (check.getValue()) {
    std::cout << config.getValue() << ": settings are valid\n";
    return kExitSuccess;
  }
  LogSettings log;
  log.mTarget = LogTarget::StandardOutput;
  ConfigureLog(log);
  Log(LogPart::Process, LogLevel::Info, "starting", { { "name", loaded.mSettings.mName } });
  fleet::Entry entry(std::move(loaded.mSettings), config.getValue());
  auto done = entry.Run();
  if (!done)
    std::cerr << GetName(done.error().mKind) << ": " << done.error().mDetail << '\n';
  StopLog();
  return done ? kExitSuccess : kExitFailure;
}

}  // namespace monsoon
