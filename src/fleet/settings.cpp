#include "fleet/settings.h"

#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace monsoon::fleet {

namespace {

constexpr seconds kMaxDuration = std::chrono::hours(24);
constexpr milliseconds kMinTaskLease(100);
constexpr milliseconds kMinWorkerHeartbeat(10);
// Templates of earlier builds appended zeros to a number of seconds: 120.5 became 120.5000 ms.
constexpr milliseconds kMinLongBound(1000);

class Reader
{
public:
  Reader(const toml::table& aRoot, std::string aFile, std::vector<std::string>& aErrors)
    : mRoot(aRoot)
    , mFile(std::move(aFile))
    , mErrors(aErrors)
  {
  }

  const toml::node* Find(const char* aSection, const char* aKey, bool aRequired)
  {
    mKnown.insert(std::string(aSection) + "." + aKey);
    const toml::node* node = mRoot[aSection][aKey].node();
    if (!node && aRequired)
      mErrors.push_back(mFile + ": " + aSection + "." + aKey + " is missing");
    return node;
  }
  void ReadText(const char* aSection, const char* aKey, bool aRequired, std::string& aOut)
  {
    const toml::node* node = Find(aSection, aKey, aRequired);
    if (!node)
      return;
    if (const auto value = node->value<std::string>(); value && node->is_string())
      aOut = *value;
    else
      AddError(*node, aSection, aKey, "expected text");
  }
  bool ReadAddress(const char* aSection, const char* aKey, bool aRequired, HttpAddress& aOut)
  {
    const toml::node* node = Find(aSection, aKey, aRequired);
    if (!node)
      return false;
    auto address = ParseAddress(node->value<std::string>().value_or(""));
    if (!address) {
      AddError(*node, aSection, aKey, address.error().mDetail);
      return false;
    }
    aOut = *address;
    return true;
  }
  void ReadMillis(const char* aSection, const char* aKey, milliseconds aMin, Duration& aOut)
  {
    const toml::node* node = Find(aSection, aKey, false);
    if (!node)
      return;
    const auto value = ReadNumber<std::milli>(*node);
    if (!value || *value < aMin || *value > kMaxDuration)
      AddError(*node,
               aSection,
               aKey,
               "expected a number of milliseconds from " + std::to_string(aMin.count()) + " to " +
                 std::to_string(milliseconds(kMaxDuration).count()));
    else
      aOut = std::chrono::duration_cast<Duration>(*value);
  }
  void ReadSeconds(const char* aSection, const char* aKey, Duration& aOut)
  {
    const toml::node* node = Find(aSection, aKey, false);
    if (!node)
      return;
    const auto value = ReadNumber<std::ratio<1>>(*node);
    if (!value || *value < seconds(0) || *value > kMaxDuration)
      AddError(*node,
               aSection,
               aKey,
               "expected a number of seconds from 0 to " + std::to_string(kMaxDuration.count()));
    else
      aOut = std::chrono::duration_cast<Duration>(*value);
  }
  // Reads a duration that may be given in either unit, under a key of its own.
  void ReadMillisOrSeconds(const char* aSection,
                           const char* aMillisKey,
                           const char* aSecondsKey,
                           milliseconds aMinMillis,
                           Duration& aOut)
  {
    ReadMillis(aSection, aMillisKey, aMinMillis, aOut);
    ReadSeconds(aSection, aSecondsKey, aOut);
    const toml::node* node = mRoot[aSection][aSecondsKey].node();
    if (node && mRoot[aSection][aMillisKey])
      AddError(
        *node, aSection, aSecondsKey, std::string(aMillisKey) + " is given too; leave out one");
  }
  void ReadFlag(const char* aSection, const char* aKey, bool& aOut)
  {
    const toml::node* node = Find(aSection, aKey, false);
    if (!node)
      return;
    if (const auto value = node->value<bool>(); value && node->is_boolean())
      aOut = *value;
    else
      AddError(*node, aSection, aKey, "expected true or false");
  }
  void ReadShare(const char* aSection, const char* aKey, double& aOut)
  {
    const toml::node* node = Find(aSection, aKey, false);
    if (!node)
      return;
    const double value = node->is_number() ? node->value<double>().value_or(-1) : -1;
    if (!(value > 0 && value <= 1024))
      AddError(*node, aSection, aKey, "expected a number above 0 and at most 1024");
    else
      aOut = value;
  }
  void CheckUnknown()
  {
    for (const auto& [section, node] : mRoot) {
      const toml::table* table = node.as_table();
      if (!table) {
        mErrors.push_back(mFile + ": " + std::string(section.str()) + ": expected a section");
        continue;
      }
      for (const auto& [key, value] : *table) {
        const std::string name = std::string(section.str()) + "." + std::string(key.str());
        if (!mKnown.contains(name))
          AddError(value, section.str().data(), key.str().data(), "unknown key");
      }
    }
  }

private:
  // Returns nothing for a value that is no number, and for one that is not finite.
  template<class Unit>
  static std::optional<std::chrono::duration<double, Unit>> ReadNumber(const toml::node& aNode)
  {
    const auto value = aNode.is_number() ? aNode.value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value))
      return std::nullopt;
    return std::chrono::duration<double, Unit>(*value);
  }

  void AddError(const toml::node& aNode,
                const char* aSection,
                const char* aKey,
                const std::string& aWhat)
  {
    const auto& where = aNode.source().begin;
    mErrors.push_back(mFile + ":" + std::to_string(where.line) + ":" +
                      std::to_string(where.column) + ": " + aSection + "." + aKey + ": " + aWhat);
  }

  const toml::table& mRoot;
  std::string mFile{};
  std::vector<std::string>& mErrors;
  std::set<std::string> mKnown{};
};

}  // namespace

EntrySettingsResult ParseEntrySettings(std::string_view aText, const std::string& aFile)
{
  EntrySettingsResult result;
  const toml::parse_result parsed = toml::parse(aText, aFile);
  if (!parsed) {
    const auto& where = parsed.error().source().begin;
    result.mErrors.push_back(aFile + ":" + std::to_string(where.line) + ":" +
                             std::to_string(where.column) + ": " +
                             std::string(parsed.error().description()));
    return result;
  }
  EntrySettings& out = result.mSettings;
  Reader reader(parsed.table(), aFile, result.mErrors);
  reader.ReadText("process", "name", true, out.mName);
  reader.ReadText("process", "zone", true, out.mZone);
  reader.ReadShare("process", "cores", out.mCores);
  reader.ReadAddress("listen", "callers", true, out.mCallers);
  reader.ReadAddress("listen", "ready", true, out.mReady);
  reader.ReadAddress("listen", "peers", true, out.mPeers);
  out.mPeersAdvertised = out.mPeers;
  reader.ReadAddress("listen", "peers_advertised", false, out.mPeersAdvertised);
  reader.ReadAddress("store", "address", true, out.mStore);
  HttpAddress advice;
  if (reader.ReadAddress("advice", "address", false, advice))
    out.mAdvice = advice;
  reader.ReadMillis("bounds", "task_lease_ms", kMinTaskLease, out.mMaxTaskLease);
  reader.ReadMillis("bounds", "worker_heartbeat_ms", kMinWorkerHeartbeat, out.mWorkerHeartbeat);
  reader.ReadMillisOrSeconds("bounds", "shutdown_ms", "shutdown_s", kMinLongBound, out.mShutdown);
  reader.ReadMillisOrSeconds(
    "bounds", "keep_ended_ms", "keep_ended_s", kMinLongBound, out.mKeepEnded);
  reader.ReadFlag("workers", "tokens_checked", out.mTokensChecked);
  reader.CheckUnknown();
  return result;
}

EntrySettingsResult LoadEntrySettings(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    EntrySettingsResult result;
    result.mErrors.push_back(aFile + ": the file can't be opened");
    return result;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseEntrySettings(text.str(), aFile);
}

}  // namespace monsoon::fleet
