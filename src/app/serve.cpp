#include <tclap/CmdLine.h>

#include <iostream>

#include "app/check_desired.h"
#include "app/commands.h"
#include "app/node.h"
#include "app/signals.h"

namespace monsoon {

namespace {

// Loads settings from a file. Prints every error, and returns std::nullopt if there is one.
std::optional<Settings> LoadSettingsOrPrintErrors(const std::string& aFile)
{
  SettingsResult result = LoadSettings(aFile);
  for (const SettingsError& error : result.mErrors)
    std::cerr << FormatError(error) << '\n';
  if (!result.mErrors.empty())
    return std::nullopt;
  return std::move(result.mSettings);
}

}  // namespace

int RunServe(Arguments aArguments)
{
  TCLAP::CmdLine line("Runs one process of a cell until SIGTERM.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> config(
    "c", "config", "TOML settings of this process", true, "", "FILE", line);
  line.parse(aArguments);
  auto settings = LoadSettingsOrPrintErrors(config.getValue());
  if (!settings)
    return kExitUsageError;

  BlockStopSignals();
  ConfigureLog(settings->mLog);
  Log(LogPart::Process, LogLevel::Info, "starting", { { "name", settings->mProcess.mName } });
  Node node(std::move(*settings));
  auto started = node.Start();
  if (!started) {
    std::cerr << GetName(started.error().mKind) << ": " << started.error().mDetail << '\n';
    return kExitFailure;
  }
  std::cout << "listening on port " << node.GetHttpPort() << std::endl;
  WaitForStopSignal();
  Log(LogPart::Process, LogLevel::Info, "stopping: work in flight is finished first");
  node.Stop();
  Log(LogPart::Process, LogLevel::Info, "stopped");
  StopLog();
  return kExitSuccess;
}

int RunCheck(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Reads settings, or a desired state of the fleet, and prints every error.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> config(
    "c", "config", "TOML settings of one process", false, "", "FILE", line);
  TCLAP::ValueArg<std::string> desired(
    "d", "desired", "desired state that is to be sent", false, "", "FILE", line);
  TCLAP::ValueArg<std::string> inForce(
    "f", "in-force", "desired state to compare it with", false, "", "FILE", line);
  TCLAP::SwitchArg reference("r", "reference", "print every settings key as Markdown", line);
  line.parse(aArguments);
  if (reference.getValue()) {
    std::cout << FormatReference();
    return kExitSuccess;
  }
  if (inForce.isSet() && !desired.isSet()) {
    std::cerr << "check: --in-force needs --desired\n";
    return kExitUsageError;
  }
  if (desired.isSet())
    return CheckDesired(desired.getValue(), inForce.getValue());
  if (!config.isSet()) {
    std::cerr << "check: --config FILE, --desired FILE or --reference is needed\n";
    return kExitUsageError;
  }
  if (!LoadSettingsOrPrintErrors(config.getValue()))
    return kExitUsageError;
  std::cout << config.getValue() << ": settings are valid\n";
  return kExitSuccess;
}

}  // namespace monsoon
