#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

#include "app/command_call.h"
#include "app/commands.h"

namespace monsoon {

namespace {

// Reads one command per line; skips empty lines and lines that begin with #.
std::vector<std::string> ReadCommands(std::istream& aIn)
{
  std::vector<std::string> commands;
  for (std::string line; std::getline(aIn, line);) {
    const auto first = line.find_first_not_of(" \t\r");
    if (first != std::string::npos && line[first] != '#')
      commands.push_back(line.substr(first));
  }
  return commands;
}

}  // namespace

int RunCtl(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Runs operators' commands from the command line, a file or standard input, one per line. "
    "Stops at the first that fails. docs/LANGUAGE.md describes the language. "
    "Example: ctl --at 127.0.0.1:8080 'show jobs where state = held limit 10'",
    ' ',
    "0.1.0");
  TCLAP::ValueArg<std::string> at(
    "", "at", "HTTP address of any process of the cell", true, "", "HOST:PORT", line);
  TCLAP::ValueArg<std::string> file("f", "file", "commands to run", false, "", "FILE", line);
  TCLAP::SwitchArg asJson("", "json", "print one JSON table per command", line);
  TCLAP::UnlabeledMultiArg<std::string> words("command", "the command", false, "COMMAND", line);
  line.parse(aArguments);
  auto address = ParseAddress(at.getValue());
  if (!address) {
    std::cerr << "ctl: --at: " << address.error().mDetail << '\n';
    return kExitUsageError;
  }
  std::vector<std::string> commands = words.getValue();
  if (file.isSet()) {
    std::ifstream in(file.getValue());
    if (!in) {
      std::cerr << "ctl: cannot read " << file.getValue() << '\n';
      return kExitUsageError;
    }
    commands = ReadCommands(in);
  } else if (commands.empty()) {
    commands = ReadCommands(std::cin);
  }
  for (const std::string& it : commands) {
    const auto table = CallCommand(*address, it);
    if (!table) {
      std::cerr << it << "\n  " << GetName(table.error().mKind) << ": " << table.error().mDetail
                << '\n';
      return table.error().mKind == FailureKind::BadInput ? kExitUsageError : kExitFailure;
    }
    std::cout << (asJson.getValue() ? FormatJson(*table) + "\n" : FormatText(*table));
  }
  return kExitSuccess;
}

}  // namespace monsoon
