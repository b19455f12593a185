#include "app/check_desired.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "app/commands.h"
#include "fleet/config_check.h"
#include "platform/config_errors.h"
#include "platform/wire.h"

namespace monsoon {

namespace {

std::optional<std::string> ReadFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    std::cerr << aFile << ": can't be read\n";
    return {};
  }
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

// Prints the differences from the version in force. Returns false if it can't be compared with, or
// is as new.
bool PrintChanges(const std::string& aFile,
                  const fleet::FleetConfig& aDesired,
                  const std::string& aInForce)
{
  const auto inForce = platform::ParseConfig(aInForce);
  if (!inForce) {
    std::cerr << "the version in force: " << inForce.error().mDetail << '\n';
    return false;
  }
  std::cout << "version " << inForce->mVersion << " to " << aDesired.mVersion << '\n';
  for (const std::string& it : fleet::ListChanges(*inForce, aDesired))
    std::cout << "  " << it << '\n';
  if (fleet::IsNewer(aDesired, *inForce))
    return true;
  std::cerr << aFile << ": version " << aDesired.mVersion << " is not above " << inForce->mVersion
            << ", which is in force\n";
  return false;
}

}  // namespace

int CheckDesired(const std::string& aFile, const std::string& aInForce)
{
  const auto text = ReadFile(aFile);
  const auto inForceText = aInForce.empty() ? std::string() : ReadFile(aInForce);
  if (!text || !inForceText)
    return kExitUsageError;
  bool isValid = true;
  for (const std::string& it : platform::ListConfigErrors(*text)) {
    std::cerr << aFile << ": " << it << '\n';
    isValid = false;
  }
  const auto desired = platform::ParseConfig(*text);
  if (!desired)
    return kExitFailure;
  for (const fleet::ConfigFinding& it : fleet::CheckConfig(*desired)) {
    (it.mIsError ? std::cerr : std::cout)
      << aFile << ": " << (it.mIsError ? "" : "warning: ") << it.mText << '\n';
    isValid = isValid && !it.mIsError;
  }
  if (!aInForce.empty() && !PrintChanges(aFile, *desired, *inForceText))
    isValid = false;
  if (!isValid)
    return kExitFailure;
  std::cout << aFile << ": the desired state is valid\n";
  return kExitSuccess;
}

}  // namespace monsoon
