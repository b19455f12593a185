#include <tclap/CmdLine.h>

#include <iostream>

#include "app/command_call.h"
#include "app/commands.h"
#include "app/declarations.h"

namespace monsoon {

namespace {

int PrintFailure(const std::string& aWhat, const Failure& aFailure)
{
  std::cerr << "apply: " << aWhat << ": " << GetName(aFailure.mKind) << ": " << aFailure.mDetail
            << '\n';
  return kExitFailure;
}

}  // namespace

int RunApply(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Applies the declarations in a TOML file to a cell: teams, cell settings and declared jobs. "
    "Prints the difference, applies it and prints the new revision. Stops with a conflict if an "
    "operator changes the configuration meanwhile.",
    ' ',
    "0.1.0");
  TCLAP::ValueArg<std::string> at(
    "", "at", "HTTP address of any process of the cell", true, "", "HOST:PORT", line);
  TCLAP::SwitchArg dryRun("", "dry-run", "only print the difference", line);
  TCLAP::UnlabeledValueArg<std::string> file("file", "declarations", true, "", "FILE", line);
  line.parse(aArguments);
  auto address = ParseAddress(at.getValue());
  if (!address) {
    std::cerr << "apply: --at: " << address.error().mDetail << '\n';
    return kExitUsageError;
  }
  const DeclarationsResult wanted = LoadDeclarations(file.getValue());
  for (const SettingsError& it : wanted.mErrors)
    std::cerr << FormatError(it) << '\n';
  if (!wanted.mErrors.empty())
    return kExitUsageError;

  const auto current = CallCommand(*address, "show config");
  if (!current)
    return PrintFailure("show config", current.error());
  Difference difference = FindDifference(*current, wanted.mDeclarations);
  for (const DifferenceLine& it : difference.mLines)
    std::cout << (it.mOld.empty() ? "" : "- " + it.mOld + "\n")
              << (it.mNew.empty() ? "" : "+ " + it.mNew + "\n");
  if (difference.mLines.empty())
    std::cout << "no difference\n";
  if (!dryRun.getValue()) {
    for (const DifferenceLine& it : difference.mLines) {
      const auto changed =
        CallCommand(*address, it.mCommand + " if revision " + std::to_string(difference.mRevision));
      if (!changed)
        return PrintFailure(it.mCommand, changed.error());
      if (changed->mRows.empty() || !std::holds_alternative<std::int64_t>(changed->mRows[0][0]))
        return PrintFailure(it.mCommand, MakeFailure(FailureKind::Internal, "no revision"));
      difference.mRevision = static_cast<Revision>(std::get<std::int64_t>(changed->mRows[0][0]));
    }
  }
  std::cout << "revision " << difference.mRevision << '\n';
  return kExitSuccess;
}

}  // namespace monsoon
