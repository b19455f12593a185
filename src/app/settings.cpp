#include "app/settings.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

#include "http/client.h"

namespace monsoon {

namespace {

// Collects errors while it reads, so that a person sees all of them at once.
class Reader
{
public:
  Reader(std::string aFile, std::vector<SettingsError>& aErrors)
    : mFile(std::move(aFile))
    , mErrors(aErrors)
  {
  }

  void Read(toml::node_view<const toml::node> aNode, const std::string& aKey, std::string& aOut)
  {
    if (!aNode)
      return;
    if (auto text = aNode.value_exact<std::string>()) {
      aOut = *text;
      return;
    }
    Add(aNode, aKey, "not a string", "a quoted string");
  }

  void Read(toml::node_view<const toml::node> aNode,
            const std::string& aKey,
            std::uint32_t& aOut,
            std::int64_t aMin,
            std::int64_t aMax)
  {
    if (!aNode)
      return;
    const auto n = aNode.value_exact<std::int64_t>();
    if (n && *n >= aMin && *n <= aMax) {
      aOut = static_cast<std::uint32_t>(*n);
      return;
    }
    Add(aNode,
        aKey,
        "out of range or not a whole number",
        std::to_string(aMin) + " to " + std::to_string(aMax));
  }

  void ReadAddress(toml::node_view<const toml::node> aNode,
                   const std::string& aKey,
                   std::string& aHost,
                   std::uint16_t& aPort)
  {
    if (!aNode)
      return;
    const auto text = aNode.value_exact<std::string>();
    auto address = ParseAddress(text ? *text : std::string());
    if (!address) {
      Add(aNode, aKey, "not an address", "\"IP:PORT\"; " + address.error().mDetail);
      return;
    }
    aHost = address->mHost;
    aPort = address->mPort;
  }

  void Add(toml::node_view<const toml::node> aNode,
           const std::string& aKey,
           std::string aProblem,
           std::string aAllowed)
  {
    const auto at = aNode.node() ? aNode.node()->source().begin : toml::source_position{};
    mErrors.push_back(
      { mFile, at.line, at.column, aKey, std::move(aProblem), std::move(aAllowed) });
  }

private:
  std::string mFile;
  std::vector<SettingsError>& mErrors;
};

}  // namespace

SettingsResult ParseSettings(std::string_view aText, std::string aFileName)
{
  SettingsResult result;
  Settings& settings = result.mSettings;
  const toml::parse_result parsed = toml::parse(aText, aFileName);
  if (!parsed) {
    const auto at = parsed.error().source().begin;
    result.mErrors.push_back(
      { aFileName, at.line, at.column, "", std::string(parsed.error().description()), "TOML" });
    return result;
  }
  const toml::table& table = parsed.table();
  Reader reader(aFileName, result.mErrors);
  reader.Read(table["process"]["name"], "process.name", settings.mProcess.mName);
  reader.Read(table["process"]["zone"], "process.zone", settings.mProcess.mZone);
  reader.Read(table["process"]["threads"], "process.threads", settings.mProcess.mThreads, 1, 64);
  reader.ReadAddress(
    table["listen"]["http"], "listen.http", settings.mListen.mHttpHost, settings.mListen.mHttpPort);
  reader.ReadAddress(
    table["listen"]["peer"], "listen.peer", settings.mListen.mPeerHost, settings.mListen.mPeerPort);
  reader.ReadAddress(table["platform"]["address"],
                     "platform.address",
                     settings.mPlatform.mHost,
                     settings.mPlatform.mPort);
  if (const toml::array* peers = table["peer"].as_array()) {
    for (const toml::node& it : *peers) {
      const toml::node_view<const toml::node> node(it);
      PeerSettings peer;
      reader.Read(node["name"], "peer.name", peer.mName);
      reader.Read(node["zone"], "peer.zone", peer.mZone);
      reader.ReadAddress(node["address"], "peer.address", peer.mHost, peer.mPort);
      settings.mPeers.push_back(std::move(peer));
    }
  }
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
