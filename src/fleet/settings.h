// Settings of an entry process, read from a TOML file.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/errors.h"
#include "core/time.h"
#include "http/client.h"

namespace monsoon::fleet {

struct EntrySettings
{
  // [process]
  std::string mName = "entry-1";
  std::string mZone{};
  double mCores = 1;  // share of a processor core that this VM may use
  // [listen]
  HttpAddress mCallers{};          // jobs
  HttpAddress mReady{};            // readiness and metrics
  HttpAddress mPeers{};            // other entry processes
  HttpAddress mPeersAdvertised{};  // where they reach this one; default: mPeers
  // [store], [advice]
  HttpAddress mStore{};
  std::optional<HttpAddress> mAdvice{};  // policy service; unset if no queue needs it
  // [bounds], in ms (KEY_ms); the last two in seconds as well (KEY_s)
  Duration mMaxTaskLease = seconds(6);             // longest lease of a task that workers allow
  Duration mWorkerHeartbeat = milliseconds(1500);  // interval at which workers renew their entries
  Duration mShutdown = seconds(6);                 // from SIGTERM to SIGKILL
  Duration mKeepEnded = seconds(120);  // a job's state stays readable after the job's end
  // [workers]
  bool mTokensChecked = false;  // workers refuse orders with an older fencing token
};

struct EntrySettingsResult
{
  EntrySettings mSettings{};
  std::vector<std::string> mErrors{};  // each with file, line and column where known
};

[[nodiscard]] EntrySettingsResult LoadEntrySettings(const std::string& aFile);
[[nodiscard]] EntrySettingsResult ParseEntrySettings(std::string_view aText,
                                                     const std::string& aFile);

}  // namespace monsoon::fleet
