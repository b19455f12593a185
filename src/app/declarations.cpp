#include "app/declarations.h"

#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <sstream>

#include "app/settings_keys.h"

namespace monsoon {

namespace {

class DeclarationReader
{
public:
  DeclarationReader(std::string aFile, DeclarationsResult& aOut)
    : mFile(std::move(aFile))
    , mOut(aOut)
  {
  }

  void ReadSettings(const toml::table& aTable)
  {
    for (const auto& [name, node] : aTable) {
      const std::string key(name.str());
      const auto text = node.value<std::string>();
      if (!text) {
        Add(node.source(), "settings." + key, "not text in quotes", "text in quotes");
        continue;
      }
      const std::string command = FormatCommand(SetSetting{ key, *text });
      if (!ParseCommand(command))
        Add(name.source(), "settings." + key, "not a name", "letters, digits, _ . -");
      mOut.mDeclarations.mSettings[key] = command;
    }
  }

  void ReadTeam(const toml::table& aTable)
  {
    TeamQuota quota;
    for (const auto& [name, node] : aTable)
      ReadTeamMember(std::string(name.str()), node, quota);
    if (quota.mTeam.empty())
      Add(aTable.source(), "team.name", "missing", "text in quotes");
    mOut.mDeclarations.mTeams[quota.mTeam] = FormatCommand(SetTeam{ quota });
  }

  void ReadJob(const toml::table& aTable)
  {
    const toml::node* node = aTable.get("command");
    const auto text = node ? node->value<std::string>() : std::nullopt;
    if (!text) {
      Add(aTable.source(), "job.command", "missing", "KIND \"ID\" …, as in docs/LANGUAGE.md");
      return;
    }
    auto command = ParseCommand("declare " + *text);
    if (!command) {
      Add(node->source(), "job.command", "not a job", command.error().mDetail);
      return;
    }
    const auto* declared = std::get_if<DeclareJob>(&command->mBody);
    mOut.mDeclarations.mJobs[declared->mSpec.mId] = FormatCommand(*declared);
  }

  void Add(const toml::source_region& aRegion,
           std::string aKey,
           std::string aWhat,
           std::string aAllowed)
  {
    mOut.mErrors.push_back({ mFile,
                             aRegion.begin.line,
                             aRegion.begin.column,
                             std::move(aKey),
                             std::move(aWhat),
                             std::move(aAllowed) });
  }

private:
  void ReadTeamMember(const std::string& aName, const toml::node& aNode, TeamQuota& aOut)
  {
    const auto text = aNode.value_exact<std::string>();
    const auto number = aNode.value<double>();
    const auto size = text ? ParseBytes(*text) : MakeFailure(FailureKind::BadInput);
    if (aName == "name" && text)
      aOut.mTeam = *text;
    else if (aName == "cores" && number && *number >= 0 && *number <= 1e6)
      aOut.mGuaranteed.mMilliCores = std::llround(*number * 1000);
    else if (aName == "memory" && size)
      aOut.mGuaranteed.mMemoryMiB = static_cast<std::int64_t>(*size >> 20U);
    else if (aName == "accelerators" && number && *number >= 0 && *number <= 1e6)
      aOut.mGuaranteed.mAccelerators = std::llround(*number);
    else if (aName == "borrow" && aNode.is_boolean())
      aOut.mMayBorrow = *aNode.value<bool>();
    else
      Add(aNode.source(),
          "team." + aName,
          "unknown key or bad value",
          "name, cores, memory (\"64GiB\"), accelerators, borrow (true or false)");
  }

  std::string mFile;
  DeclarationsResult& mOut;
};

template<class Read>
void ReadList(const toml::node& aNode, const char* aName, DeclarationReader& aReader, Read aRead)
{
  const toml::array* array = aNode.as_array();
  if (!array || !array->is_array_of_tables()) {
    aReader.Add(aNode.source(), aName, "not a list of tables", "[[" + std::string(aName) + "]]");
    return;
  }
  for (const toml::node& it : *array)
    aRead(*it.as_table());
}

std::map<std::string, std::string> SelectKind(const Table& aConfig, std::string_view aKind)
{
  std::map<std::string, std::string> found;
  for (const auto& row : aConfig.mRows)
    if (row.size() == 3 && std::get<std::string>(row[0]) == aKind)
      found[std::get<std::string>(row[1])] = std::get<std::string>(row[2]);
  return found;
}

void AddChanges(const std::map<std::string, std::string>& aCurrent,
                const std::map<std::string, std::string>& aWanted,
                Difference& aOut)
{
  for (const auto& [name, command] : aWanted) {
    const auto it = aCurrent.find(name);
    const std::string old = it == aCurrent.end() ? std::string() : it->second;
    if (old != command)
      aOut.mLines.push_back({ old, command, command });
  }
}

}  // namespace

DeclarationsResult ParseDeclarations(std::string_view aText, std::string aFileName)
{
  DeclarationsResult result;
  DeclarationReader reader(aFileName, result);
  const toml::parse_result parsed = toml::parse(aText, aFileName);
  if (!parsed) {
    reader.Add(parsed.error().source(), "", std::string(parsed.error().description()), "TOML");
    return result;
  }
  for (const auto& [name, node] : parsed.table()) {
    if (name.str() == "settings" && node.is_table())
      reader.ReadSettings(*node.as_table());
    else if (name.str() == "team")
      ReadList(node, "team", reader, [&](const toml::table& aTable) { reader.ReadTeam(aTable); });
    else if (name.str() == "job")
      ReadList(node, "job", reader, [&](const toml::table& aTable) { reader.ReadJob(aTable); });
    else
      reader.Add(name.source(),
                 std::string(name.str()),
                 "unknown section",
                 "[settings], [[team]] or [[job]]");
  }
  return result;
}

DeclarationsResult LoadDeclarations(const std::string& aFileName)
{
  std::ifstream in(aFileName);
  if (!in) {
    DeclarationsResult result;
    result.mErrors.push_back({ aFileName, 0, 0, "", "cannot be read", "a TOML file" });
    return result;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseDeclarations(text.str(), aFileName);
}

Difference FindDifference(const Table& aConfig, const Declarations& aWanted)
{
  Difference difference;
  for (const auto& [number, unused] : SelectKind(aConfig, "revision"))
    difference.mRevision = std::strtoull(number.c_str(), nullptr, 10);
  AddChanges(SelectKind(aConfig, "setting"), aWanted.mSettings, difference);
  AddChanges(SelectKind(aConfig, "team"), aWanted.mTeams, difference);
  const auto jobs = SelectKind(aConfig, "job");
  AddChanges(jobs, aWanted.mJobs, difference);
  for (const auto& [id, command] : jobs)
    if (!aWanted.mJobs.contains(id))
      difference.mLines.push_back({ command, "", "withdraw job " + Quote(id) });
  return difference;
}

}  // namespace monsoon
