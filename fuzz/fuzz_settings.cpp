// Settings files: every text gives settings or located errors.
#include <algorithm>
#include <cstdlib>

#include "app/settings.h"

using namespace monsoon;

namespace {

// Passed over because of a fault inside toml++, see KNOWN-RED.txt.
bool IsKnownRed(std::string_view aText)
{
  static const bool kRunAll = std::getenv("FUZZ_KNOWN_RED") != nullptr;
  return !kRunAll && std::any_of(aText.begin(), aText.end(), [](char aByte) {
    return static_cast<unsigned char>(aByte) >= 0x80;
  });
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  if (IsKnownRed(text))
    return 0;
  const SettingsResult result = ParseSettings(text, "fuzz.toml");
  for (const SettingsError& it : result.mErrors)
    if (FormatError(it).empty())
      std::abort();
  return 0;
}
