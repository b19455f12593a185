#include <sstream>

#include "app/settings_values.h"

namespace monsoon {

namespace {

std::string FormatDefault(const SettingsTarget& aTarget)
{
  struct Formatter
  {
    std::string operator()(const std::string* aText) const { return '"' + *aText + '"'; }
    std::string operator()(const std::uint32_t* aNumber) const { return std::to_string(*aNumber); }
    std::string operator()(const Duration* aTime) const
    {
      return '"' + FormatDuration(*aTime) + '"';
    }
    std::string operator()(const std::size_t* aSize) const
    {
      return '"' + FormatBytes(*aSize) + '"';
    }
    std::string operator()(const LogLevel* aLevel) const
    {
      return '"' + std::string(GetName(*aLevel)) + '"';
    }
    std::string operator()(const AddressTarget& aAt) const
    {
      return aAt.mHost->empty() ? std::string()
                                : '"' + *aAt.mHost + ':' + std::to_string(*aAt.mPort) + '"';
    }
  };
  return std::visit(Formatter{}, aTarget);
}

template<class T>
void AppendReference(std::ostream& aOut, std::span<const SettingsKey<T>> aKeys)
{
  T defaults;
  std::string_view section;
  for (const SettingsKey<T>& it : aKeys) {
    if (it.mSection != section) {
      section = it.mSection;
      const bool list = section == "peer";
      aOut << "\n### " << (list ? "[[" : "[") << section << (list ? "]]" : "]")
           << "\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n";
    }
    const SettingsTarget target = it.mTarget(defaults);
    const ValueReader<T> reader{ it };
    aOut << "| `" << it.mName << "` | `" << FormatDefault(target) << "` | "
         << std::visit([&](auto aTarget) { return reader.Describe(aTarget); }, target) << " | "
         << it.mHelp << " |\n";
  }
}

}  // namespace

std::string FormatReference()
{
  std::ostringstream out;
  AppendReference(out, ListSettingsKeys());
  AppendReference(out, ListPeerKeys());
  return std::move(out).str();
}

}  // namespace monsoon
