// Settings of one process, read from TOML into plain aggregates.
#pragma once

#include <string>
#include <vector>

#include "core/errors.h"
#include "core/model.h"
#include "core/time.h"

namespace monsoon {

struct ProcessSettings
{
  ProcessName mName = "entry-1";  // unique in the cell; a replaced VM takes its predecessor's name
  ZoneName mZone = "zone-a";      // availability zone of this VM
  std::uint32_t mThreads = 2;     // I/O threads, 1 to 64
};

struct ListenSettings
{
  std::string mHttpHost = "127.0.0.1";
  std::uint16_t mHttpPort = 8080;  // callers and operators; 0 picks one
  std::string mPeerHost = "127.0.0.1";
  std::uint16_t mPeerPort = 9080;  // TCP and UDP between processes
};

struct PeerSettings  // another process of the cell
{
  ProcessName mName{};
  ZoneName mZone{};
  std::string mHost{};
  std::uint16_t mPort = 0;
};

struct PlatformAddress
{
  std::string mHost = "127.0.0.1";
  std::uint16_t mPort = 7000;
};

struct Settings
{
  ProcessSettings mProcess{};
  ListenSettings mListen{};
  PlatformAddress mPlatform{};
  std::vector<PeerSettings> mPeers{};
};

struct SettingsError  // one located mistake
{
  std::string mFile{};
  std::uint32_t mLine = 0;    // from 1; 0: the whole file
  std::uint32_t mColumn = 0;  // from 1
  std::string mKey{};         // dotted path
  std::string mProblem{};     // what is wrong
  std::string mAllowed{};     // what is allowed
};

struct SettingsResult  // settings are usable only without errors
{
  Settings mSettings{};
  std::vector<SettingsError> mErrors{};
};

[[nodiscard]] SettingsResult ParseSettings(std::string_view aText, std::string aFileName);
[[nodiscard]] SettingsResult LoadSettings(const std::string& aFileName);
// file:line:column: key: what is wrong, what is allowed
[[nodiscard]] std::string FormatError(const SettingsError& aError);

}  // namespace monsoon
