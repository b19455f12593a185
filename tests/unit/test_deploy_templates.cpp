// The templates under deploy/, rendered as the platform does and read by their reader.
#include <catch2/catch.hpp>

#include <cmath>
#include <fstream>
#include <regex>
#include <sstream>

#include "core/json.h"
#include "fleet/settings.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace json = boost::json;

namespace {

// The fields of a process, as the platform publishes them; those that no template uses are left
// out.
constexpr std::string_view kFields = R"({
  "node_name": "edge-lodz-a-1", "role": "entry", "ip": "10.1.0.13", "zone": "lodz-a",
  "listen_addrs": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167", "control": "10.1.0.13:8166"},
  "internal_port_range": [7720, 7735],
  "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100},
  "heartbeat_ms": 1500,
  "bounds": {"grace_s": 6, "status_s": 120, "hold_max_ms": 6000, "stop_ms": 200, "move_s": 1.5,
             "fencing_enforced": true, "lease_ms": 3000},
  "advice": "10.200.1.9:8169",
  "platform": {"address": "10.200.1.7:8169", "form": "kv"}
})";

std::string ReadFile(const std::string& aName)
{
  std::ifstream in(std::string(MONSOONSTAGE_SOURCE_DIR) + "/" + aName);
  REQUIRE(in);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<std::string> ListTemplates()
{
  // Read by lines: a second build of toml++, with its assertions, would replace that of the
  // product.
  std::vector<std::string> files;
  std::istringstream lines(ReadFile("deploy/system.toml"));
  std::smatch found;
  for (std::string line; std::getline(lines, line);)
    if (std::regex_match(line, found, std::regex("template = \"(.*)\"")))
      files.push_back(found[1]);
  return files;
}

const json::value* LookUp(const json::value& aFields, std::string_view aPath)
{
  const json::value* value = &aFields;
  while (value && !aPath.empty()) {
    const std::string_view part = aPath.substr(0, aPath.find('.'));
    aPath.remove_prefix(std::min(part.size() + 1, aPath.size()));
    if (const json::object* object = value->if_object())
      value = object->if_contains(part);
    else if (const json::array* array = value->if_array())
      value = array->if_contains(std::stoul(std::string(part)));
    else
      value = nullptr;
  }
  return value;
}

bool IsPresent(const json::value* aValue)
{
  return aValue && !aValue->is_null() && *aValue != json::value(false);
}

// Renders sections of one entry, {{a.b}}, {{a|json}} and {{.}}, as the platform does. Texts are
// inserted as they are, so one that holds a number stands for the number in that form.
std::string Render(std::string aText, const json::value& aFields, const json::value& aEntry)
{
  static const std::regex kSection(R"(\{\{([#^])([\w.]+)\}\}\n?([\s\S]*?)\{\{/\2\}\}\n?)");
  static const std::regex kValue(R"(\{\{([\w.]+)(\|json)?\}\})");
  std::smatch found;
  std::string out;
  while (std::regex_search(aText, found, kSection)) {
    const json::value* value = LookUp(aFields, found[2].str());
    const bool isShown = IsPresent(value) == (found[1] == "#");
    out += found.prefix();
    if (isShown)
      out += Render(found[3], aFields, found[1] == "#" ? *value : aEntry);
    aText = found.suffix();
  }
  aText = out + aText;
  out.clear();
  while (std::regex_search(aText, found, kValue)) {
    const json::value* value = found[1] == "." ? &aEntry : LookUp(aFields, found[1].str());
    out += found.prefix();
    if (value && value->is_string() && !found[2].matched)
      out += value->as_string();
    else if (value)
      out += json::serialize(*value);
    aText = found.suffix();
  }
  return out + aText;
}

// Renders the settings of a process, one of whose fields has another value.
EntrySettingsResult ReadRendered(const std::string& aField,
                                 const std::optional<json::value>& aValue)
{
  json::value fields = json::parse(kFields);
  const auto dot = aField.find('.');
  json::object& parent =
    dot == std::string::npos ? fields.as_object() : fields.at(aField.substr(0, dot)).as_object();
  const std::string name = dot == std::string::npos ? aField : aField.substr(dot + 1);
  if (aValue)
    parent[name] = *aValue;
  else
    parent.erase(name);
  return ParseEntrySettings(Render(ReadFile("deploy/entry.toml"), fields, fields), "entry.toml");
}

struct Bound
{
  const char* mField;
  const char* mKey;  // in the settings
  Duration EntrySettings::*mMember;
  Duration mUnit;
};

constexpr Bound kBounds[] = {
  { "bounds.status_s", "keep_ended_s", &EntrySettings::mKeepEnded, seconds(1) },
  { "bounds.grace_s", "shutdown_s", &EntrySettings::mShutdown, seconds(1) },
  { "bounds.hold_max_ms", "task_lease_ms", &EntrySettings::mMaxTaskLease, milliseconds(1) },
  { "heartbeat_ms", "worker_heartbeat_ms", &EntrySettings::mWorkerHeartbeat, milliseconds(1) },
};

}  // namespace

// Completed jobs were unknown after 41 s: status_s 120.5 was read as 0.12 s.
TEST_CASE("deploy: a bound that is a fraction is read in another unit")
{
  struct Form
  {
    const char* mText;
    double mValue;
  };
  const Bound bound = GENERATE(from_range(std::begin(kBounds), std::end(kBounds)));
  const std::vector<Form> forms =
    bound.mUnit == seconds(1)
      ? std::vector<Form>{ { "6", 6 },     { "120.5", 120.5 }, { "6.5", 6.5 },  { "0.5", 0.5 },
                           { "6.0", 6.0 }, { "1e1", 10 },      { "1.5E+1", 15 } }
      : std::vector<Form>{ { "6000", 6000 },
                           { "6000.5", 6000.5 },
                           { "6000.0", 6000 },
                           { "6e3", 6000 },
                           { "1.5E+3", 1500 } };
  for (const Form& form : forms) {
    INFO(bound.mField << " = " << form.mText);
    const EntrySettingsResult read = ReadRendered(bound.mField, json::value(form.mText));
    CHECK_THAT(read.mErrors, Catch::Equals(std::vector<std::string>()));
    const auto micros =
      std::llround(form.mValue * 1e6 * std::chrono::duration<double>(bound.mUnit).count());
    CHECK(read.mSettings.*bound.mMember == std::chrono::microseconds(micros));
  }
}

TEST_CASE("deploy: a bound that is absent or false is no default")
{
  const Bound bound = GENERATE(from_range(std::begin(kBounds), std::end(kBounds)));
  const auto value =
    GENERATE(values<std::optional<json::value>>({ std::nullopt, json::value(false) }));
  INFO(bound.mField);
  const EntrySettingsResult read = ReadRendered(bound.mField, value);
  CHECK_THAT(read.mErrors, Catch::Equals(std::vector<std::string>()));
  CHECK(read.mSettings.*bound.mMember == EntrySettings().*bound.mMember);
}

TEST_CASE("deploy: a bound that can't be meant is taken, or its error does not name it")
{
  const Bound bound = GENERATE(from_range(std::begin(kBounds), std::end(kBounds)));
  const std::string text = GENERATE(values<std::string>({ "true", "-1", "1e300", "0" }));
  INFO(bound.mField << " = " << text);
  const EntrySettingsResult read = ReadRendered(bound.mField, json::value(text));
  if (text == "0" && bound.mUnit == seconds(1)) {  // no time to stop; ended jobs need not be kept
    CHECK(read.mErrors.empty());
    CHECK(read.mSettings.*bound.mMember == Duration::zero());
    return;
  }
  REQUIRE(read.mErrors.size() == 1);
  CHECK_THAT(read.mErrors[0], Catch::Contains(std::string("bounds.") + bound.mKey + ": expected"));
}

TEST_CASE("deploy: a template extends a value that it has not read")
{
  const std::vector<std::string> files = ListTemplates();
  REQUIRE(!files.empty());
  for (const std::string& file : files) {
    std::istringstream lines(ReadFile(file));
    for (std::string line; std::getline(lines, line);) {
      INFO(file << ": " << line);
      const std::string value =
        std::regex_replace(line, std::regex(R"("[^"]*"|\{\{[#^/][^}]*\}\}(true|false)?)"), "");
      CHECK_FALSE(std::regex_search(value, std::regex(R"(\w\{\{|\}\}\w)")));
    }
  }
}

TEST_CASE("deploy: the template does not render the values of the deployment")
{
  const EntrySettingsResult read = ReadRendered("role", json::value("entry"));
  REQUIRE(read.mErrors.empty());
  const EntrySettings& it = read.mSettings;
  CHECK(it.mName == "edge-lodz-a-1");
  CHECK(it.mZone == "lodz-a");
  CHECK(it.mCores == 0.25);
  CHECK(it.mCallers == HttpAddress{ "10.1.0.13", 8161 });
  CHECK(it.mReady == HttpAddress{ "10.1.0.13", 8167 });
  CHECK(it.mPeers == HttpAddress{ "10.1.0.13", 7720 });
  CHECK(it.mStore == HttpAddress{ "10.200.1.7", 8169 });
  CHECK(it.mAdvice == HttpAddress{ "10.200.1.9", 8169 });
  CHECK(it.mTokensChecked);
  CHECK_FALSE(ReadRendered("advice", std::nullopt).mSettings.mAdvice);
  CHECK_FALSE(ReadRendered("bounds.fencing_enforced", json::value(false)).mSettings.mTokensChecked);
  CHECK_FALSE(ReadRendered("bounds.fencing_enforced", std::nullopt).mSettings.mTokensChecked);
  CHECK(ReadRendered("limits.cpu_share", json::value(1)).mSettings.mCores == 1);
  CHECK(ReadRendered("node_name", json::value("edge \"\xc5\x82\"\\\n")).mSettings.mName ==
        "edge \"\xc5\x82\"\\\n");
}
