#include "app/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>

#include "app/settings_keys.h"
#include "app/settings_values.h"

namespace monsoon {

namespace leaf = boost::leaf;

namespace {

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

// Collects errors while it reads, so that they are all reported at once.
class Reader
{
public:
  Reader(std::string aFile, std::vector<SettingsError>& aErrors)
    : mFile(std::move(aFile))
    , mErrors(aErrors)
  {
  }

  // Reads every key of one section.
  template<class T>
  void ReadSection(std::string_view aSection,
                   const toml::table& aTable,
                   std::span<const SettingsKey<T>> aKeys,
                   T& aOut)
  {
    for (const auto& [name, node] : aTable) {
      const std::string_view member = name.str();
      const std::string key = std::string(aSection) + "." + std::string(member);
      const auto it =
        std::find_if(aKeys.begin(), aKeys.end(), [&, member](const SettingsKey<T>& aKey) {
          return aKey.mSection == aSection && aKey.mName == member;
        });
      if (it == aKeys.end())
        Add(
          name.source(), key, "unknown key", "did you mean " + FindNearest(key, ListNames(aKeys)));
      else
        ReadValue(key, node, *it, aOut);
    }
  }

  void Add(const toml::source_region& aRegion,
           std::string aKey,
           std::string aWhat,
           std::string aAllowed)
  {
    mErrors.push_back({ mFile,
                        aRegion.begin.line,
                        aRegion.begin.column,
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

// Reports values that are valid one by one but conflict with each other.
void CheckConsistency(const toml::table& aTable, Reader& aReader, const Settings& aSettings)
{
  const LeaseSettings& lease = aSettings.mLease;
  const toml::node* leaseNode = aTable.get("lease");
  if (lease.mRenewEvery + lease.mDrift >= lease.mSession)
    aReader.Add(leaseNode ? leaseNode->source() : toml::source_region{},
                "lease.renew_every",
                "a renewal would come after the lease has lapsed",
                "renew_every plus drift below session (" + FormatDuration(lease.mSession) + ")");
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
  CheckConsistency(parsed.table(), reader, result.mSettings);
  std::stable_sort(
    result.mErrors.begin(), result.mErrors.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.mLine, aLeft.mColumn) < std::pair(aRight.mLine, aRight.mColumn);
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

}  // namespace monsoon
