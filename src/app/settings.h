// Settings of one process, read from TOML into plain structs. docs/OPERATING.md lists every key;
// `monsoonstage check --reference` prints that list.
#pragma once

#include <string>
#include <vector>

#include "core/errors.h"
#include "core/model.h"
#include "core/time.h"
#include "observe/log.h"

namespace monsoon {

struct ProcessSettings
{
  ProcessName mName = "entry-1";  // unique in the cell; a replacement VM reuses the name
  ZoneName mZone = "zone-a";      // availability zone of this VM
  std::uint32_t mThreads = 2;     // I/O threads, 1 to 64
};

struct ListenSettings
{
  std::string mHttpHost = "127.0.0.1";
  std::uint16_t mHttpPort = 8080;  // for callers and operators; 0 picks a free port
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

struct PlatformSection  // the platform's key-value service and VM list
{
  std::string mHost = "127.0.0.1";
  std::uint16_t mPort = 7000;
  Duration mCallTimeout = seconds(2);
  Duration mVmListInterval = seconds(1);
  std::uint32_t mWritesPerSecond = 50;  // of this process
  std::uint32_t mReadsPerSecond = 200;  // of this process
};

struct LeaseSettings
{
  Duration mSession = seconds(10);  // expires unless renewed; takeovers wait this long plus mDrift
  Duration mRenewEvery = seconds(3);
  Duration mDrift = milliseconds(500);  // most that the clocks of two VMs drift apart per lease
  std::string mOutagePromises = "on";   // or "off"
  Duration mHeartbeat = milliseconds(300);
  Duration mSuspectAfter = milliseconds(700);  // without a heartbeat
  Duration mConfirmWithin = seconds(5);        // no new work if unconfirmed for longer
};

struct LimitsSection  // limits of HTTP requests from callers and operators
{
  std::size_t mBody = 1024 * 1024;
  std::size_t mHeader = 16 * 1024;
  std::uint32_t mConnections = 4096;
  Duration mReadTimeout = seconds(10);
  Duration mIdleTimeout = seconds(60);
};

struct RequestsSection
{
  Duration mTimeout = seconds(30);             // when the caller gives none
  Duration mCrossZonePrice = milliseconds(2);  // wait in the own zone before another zone is tried
  std::uint32_t mRetryPercent = 10;            // retries per hundred requests
  std::uint32_t mQueue = 10'000;               // waiting requests per process
  std::string mRouting = "late_binding";
};

struct JobSettings
{
  std::uint32_t mShards = 16;  // same in every process of the cell
  Duration mTaskLease = seconds(30);
  Duration mHold = seconds(3);
  Duration mReportInterval = seconds(1);
  Duration mStartWithin = seconds(2);
};

struct Settings
{
  ProcessSettings mProcess{};
  ListenSettings mListen{};
  PlatformSection mPlatform{};
  std::vector<PeerSettings> mPeers{};
  LeaseSettings mLease{};
  LimitsSection mLimits{};
  RequestsSection mRequests{};
  JobSettings mJobs{};
  LogSettings mLog{};
};

struct SettingsError  // one error and its place in the file
{
  std::string mFile{};
  std::uint32_t mLine = 0;    // from 1; 0 for the whole file
  std::uint32_t mColumn = 0;  // from 1
  std::string mKey{};         // dotted path
  std::string mProblem{};     // what is wrong
  std::string mAllowed{};     // what is allowed
};

struct SettingsResult  // mSettings is usable only if mErrors is empty
{
  Settings mSettings{};
  std::vector<SettingsError> mErrors{};
};

[[nodiscard]] SettingsResult ParseSettings(std::string_view aText, std::string aFileName);
[[nodiscard]] SettingsResult LoadSettings(const std::string& aFileName);
// Returns "file:line:column: key: problem, allowed: values".
[[nodiscard]] std::string FormatError(const SettingsError& aError);
// Returns a Markdown table of every key with its default, allowed values and meaning.
[[nodiscard]] std::string FormatReference();

}  // namespace monsoon
