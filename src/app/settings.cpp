#include "app/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>

#include "app/settings_keys.h"
#include "http/client.h"

namespace monsoon {

namespace leaf = boost::leaf;

namespace {

struct ValueProblem  // LEAF error object of one value
{
  std::string mProblem{};
  std::string mAllowed{};
};

std::string FormatRange(const std::string& aMin, const std::string& aMax)
{
  return aMin + " to " + aMax;
}

std::string FormatChoices(std::string_view aChoices)
{
  std::string out;
  for (const char c : aChoices) {
    if (c == '|')
      out += "\", \"";
    else
      out += c;
  }
  return "one of \"" + out + "\"";
}

bool HasChoice(std::string_view aChoices, std::string_view aText)
{
  const std::string bars = "|" + std::string(aChoices) + "|";
  return bars.find("|" + std::string(aText) + "|") != std::string::npos;
}

// What one kind of value allows, and how it is read. One overload per alternative of
// SettingsTarget.
template<class T>
struct ValueReader
{
  const SettingsKey<T>& mKey;
  const toml::node* mNode = nullptr;  // null: only Describe is called

  std::string Describe(std::string*) const
  {
    if (!mKey.mChoices.empty())
      return FormatChoices(mKey.mChoices);
    return "text of " + FormatRange(std::to_string(mKey.mMin), std::to_string(mKey.mMax)) +
           " bytes";
  }
  std::string Describe(std::uint32_t*) const
  {
    return "a whole number, " + FormatRange(std::to_string(mKey.mMin), std::to_string(mKey.mMax));
  }
  std::string Describe(Duration*) const
  {
    return "a time in quotes, " + FormatRange(FormatDuration(milliseconds(mKey.mMin)),
                                              FormatDuration(milliseconds(mKey.mMax)));
  }
  std::string Describe(std::size_t*) const
  {
    return "a size in quotes, " + FormatRange(FormatBytes(static_cast<std::size_t>(mKey.mMin)),
                                              FormatBytes(static_cast<std::size_t>(mKey.mMax)));
  }
  std::string Describe(LogLevel*) const { return FormatChoices(mKey.mChoices); }
  std::string Describe(AddressTarget) const { return "\"IP:PORT\""; }

  leaf::result<std::string> ReadText() const
  {
    if (auto text = mNode->value_exact<std::string>())
      return *text;
    return leaf::new_error(ValueProblem{ "not text in quotes", {} });
  }

  leaf::result<void> Read(std::string* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    const auto size = static_cast<std::int64_t>(text.size());
    if (!mKey.mChoices.empty() && !HasChoice(mKey.mChoices, text))
      return leaf::new_error(ValueProblem{ "unknown value \"" + text + "\"", {} });
    if (mKey.mChoices.empty() && (size < mKey.mMin || size > mKey.mMax))
      return leaf::new_error(ValueProblem{ "has " + std::to_string(size) + " bytes", {} });
    *aOut = std::move(text);
    return {};
  }

  leaf::result<void> Read(std::uint32_t* aOut) const
  {
    const auto n = mNode->value_exact<std::int64_t>();
    if (!n)
      return leaf::new_error(ValueProblem{ "not a whole number", {} });
    if (*n < mKey.mMin || *n > mKey.mMax)
      return leaf::new_error(ValueProblem{ std::to_string(*n) + " is out of range", {} });
    *aOut = static_cast<std::uint32_t>(*n);
    return {};
  }

  leaf::result<void> Read(Duration* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    const auto value = ParseDuration(text);
    if (!value)
      return leaf::new_error(ValueProblem{ "not a time: \"" + text + "\"", value.error().mDetail });
    if (*value < milliseconds(mKey.mMin) || *value > milliseconds(mKey.mMax))
      return leaf::new_error(ValueProblem{ text + " is out of range", {} });
    *aOut = *value;
    return {};
  }

  leaf::result<void> Read(std::size_t* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    const auto value = ParseBytes(text);
    if (!value)
      return leaf::new_error(ValueProblem{ "not a size: \"" + text + "\"", value.error().mDetail });
    if (*value < static_cast<std::size_t>(mKey.mMin) ||
        *value > static_cast<std::size_t>(mKey.mMax))
      return leaf::new_error(ValueProblem{ text + " is out of range", {} });
    *aOut = *value;
    return {};
  }

  leaf::result<void> Read(LogLevel* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    for (int i = 0; i <= static_cast<int>(LogLevel::Off); ++i) {
      const auto level = static_cast<LogLevel>(i);
      if (GetName(level) != text)
        continue;
      *aOut = level;
      return {};
    }
    return leaf::new_error(ValueProblem{ "unknown value \"" + text + "\"", {} });
  }

  leaf::result<void> Read(AddressTarget aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    auto address = ParseAddress(text);
    if (!address)
      return leaf::new_error(ValueProblem{ "not an address: \"" + text + "\"",
                                           "\"IP:PORT\"; " + address.error().mDetail });
    *aOut.mHost = address->mHost;
    *aOut.mPort = address->mPort;
    return {};
  }
};

std::size_t MeasureEditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0]++;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
    }
  }
  return row.back();
}

std::string FindNearest(const std::string& aKey, const std::vector<std::string>& aKnown)
{
  return *std::min_element(
    aKnown.begin(), aKnown.end(), [&](const auto& aLeft, const auto& aRight) {
      return MeasureEditDistance(aKey, aLeft) < MeasureEditDistance(aKey, aRight);
    });
}

template<class T>
std::vector<std::string> ListNames(std::span<const SettingsKey<T>> aKeys)
{
  std::vector<std::string> names;
  for (const SettingsKey<T>& it : aKeys)
    names.push_back(std::string(it.mSection) + "." + std::string(it.mName));
  return names;
}

// Collects errors while it reads, so that a person sees all of them at once.
class Reader
{
public:
  Reader(std::string aFile, std::vector<SettingsError>& aErrors)
    : mFile(std::move(aFile))
    , mErrors(aErrors)
  {
  }

  // Every member of one section.
  template<class T>
  void ReadSection(std::string_view aSection,
                   const toml::table& aTable,
                   std::span<const SettingsKey<T>> aKeys,
                   T& aOut)
  {
    for (const auto& [name, node] : aTable) {
      const std::string key = std::string(aSection) + "." + std::string(name.str());
      const auto it = std::find_if(aKeys.begin(), aKeys.end(), [&](const SettingsKey<T>& aKey) {
        return aKey.mSection == aSection && aKey.mName == name.str();
      });
      if (it == aKeys.end())
        Add(
          name.source(), key, "unknown key", "did you mean " + FindNearest(key, ListNames(aKeys)));
      else
        ReadValue(key, node, *it, aOut);
    }
  }

  void Add(const toml::source_region& aAt,
           std::string aKey,
           std::string aWhat,
           std::string aAllowed)
  {
    mErrors.push_back({ mFile,
                        aAt.begin.line,
                        aAt.begin.column,
                        std::move(aKey),
                        std::move(aWhat),
                        std::move(aAllowed) });
  }

private:
  template<class T>
  void ReadValue(const std::string& aName,
                 const toml::node& aNode,
                 const SettingsKey<T>& aKey,
                 T& aOut)
  {
    const ValueReader<T> reader{ aKey, &aNode };
    const SettingsTarget target = aKey.mTarget(aOut);
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return std::visit([&](auto aTarget) { return reader.Read(aTarget); }, target);
      },
      [&](const ValueProblem& aProblem) {
        const std::string allowed =
          std::visit([&](auto aTarget) { return reader.Describe(aTarget); }, target);
        Add(aNode.source(),
            aName,
            aProblem.mProblem,
            aProblem.mAllowed.empty() ? allowed : aProblem.mAllowed);
      },
      [&] { Add(aNode.source(), aName, "cannot be read", ""); });
  }

  std::string mFile;
  std::vector<SettingsError>& mErrors;
};

void ReadPeers(Reader& aReader, const toml::node& aNode, Settings& aOut)
{
  const toml::array* peers = aNode.as_array();
  if (!peers || !peers->is_array_of_tables()) {
    aReader.Add(aNode.source(), "peer", "not a list of tables", "[[peer]]");
    return;
  }
  for (const toml::node& it : *peers) {
    PeerSettings peer;
    aReader.ReadSection<PeerSettings>("peer", *it.as_table(), ListPeerKeys(), peer);
    if (peer.mName.empty() || peer.mPort == 0)
      aReader.Add(it.source(), "peer", "incomplete", "name, zone and address");
    aOut.mPeers.push_back(std::move(peer));
  }
}

std::vector<std::string> ListSections()
{
  std::vector<std::string> sections{ "peer" };
  for (const SettingsKey<Settings>& it : ListSettingsKeys())
    if (std::find(sections.begin(), sections.end(), it.mSection) == sections.end())
      sections.emplace_back(it.mSection);
  return sections;
}

// Values that are good each alone and bad together.
void CheckTogether(const toml::table& aTable, Reader& aReader, const Settings& aSettings)
{
  const LeaseSettings& lease = aSettings.mLease;
  const toml::node* at = aTable.get("lease");
  if (lease.mRenewEvery + lease.mMargin >= lease.mSession)
    aReader.Add(at ? at->source() : toml::source_region{},
                "lease.renew_every",
                "a renewal would come after the lease has lapsed",
                "renew_every plus margin below session (" + FormatDuration(lease.mSession) + ")");
}

}  // namespace

SettingsResult ParseSettings(std::string_view aText, std::string aFileName)
{
  SettingsResult result;
  const toml::parse_result parsed = toml::parse(aText, aFileName);
  Reader reader(aFileName, result.mErrors);
  if (!parsed) {
    reader.Add(parsed.error().source(), "", std::string(parsed.error().description()), "TOML");
    return result;
  }
  const std::vector<std::string> sections = ListSections();
  for (const auto& [name, node] : parsed.table()) {
    const std::string section(name.str());
    if (std::find(sections.begin(), sections.end(), section) == sections.end())
      reader.Add(name.source(),
                 section,
                 "unknown section",
                 "did you mean " + FindNearest(section, sections));
    else if (section == "peer")
      ReadPeers(reader, node, result.mSettings);
    else if (const toml::table* table = node.as_table())
      reader.ReadSection<Settings>(section, *table, ListSettingsKeys(), result.mSettings);
    else
      reader.Add(node.source(), section, "not a section", "[" + section + "]");
  }
  CheckTogether(parsed.table(), reader, result.mSettings);
  std::stable_sort(result.mErrors.begin(), result.mErrors.end(), [](const auto& a, const auto& b) {
    return std::pair(a.mLine, a.mColumn) < std::pair(b.mLine, b.mColumn);
  });
  return result;
}

SettingsResult LoadSettings(const std::string& aFileName)
{
  std::ifstream in(aFileName);
  if (!in) {
    SettingsResult result;
    result.mErrors.push_back({ aFileName, 0, 0, "", "cannot be read", "a TOML file" });
    return result;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), aFileName);
}

std::string FormatError(const SettingsError& aError)
{
  std::ostringstream out;
  out << aError.mFile << ':' << aError.mLine << ':' << aError.mColumn << ": " << aError.mKey << ": "
      << aError.mProblem << ", allowed: " << aError.mAllowed;
  return std::move(out).str();
}

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
