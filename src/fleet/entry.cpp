// Process lifecycle, settings, configuration, and health checks of the store.
#include <algorithm>
#include <fstream>
#include <sstream>

#include "core/json.h"
#include "fleet/entry_impl.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kProbeInterval = milliseconds(150);
constexpr Duration kTallyAge = milliseconds(500);       // until members are asked again
constexpr Duration kProbeDeadline = milliseconds(700);  // a slow store takes some 400 ms
constexpr std::size_t kMaxConcurrentProbes = 5;  // kProbeDeadline / kProbeInterval, rounded up
constexpr Duration kSettingsInterval = seconds(1);
// Of a watch of the configuration, at least; otherwise one and a half versions, in base64.
constexpr std::size_t kMinConfigBytes = 256 * 1024;
constexpr Duration kStopMargin = milliseconds(1500);  // left before SIGKILL
// The load balancer stops sending callers after two failed checks, 1 s apart.
constexpr Duration kDrainTime = milliseconds(2200);

HttpLimits MakeCallerLimits()
{
  HttpLimits limits;
  limits.mMaxConnections = 3000;  // of the 3,900 file descriptors for sockets
  limits.mReadTimeout = seconds(3);
  limits.mIdleTimeout = seconds(15);
  return limits;
}

// Logs the values in effect, whether they were given or are defaults.
void LogEffectiveSettings(const EntrySettings& aSettings)
{
  Log(LogPart::Process,
      LogLevel::Info,
      "settings in effect",
      { { "cores", aSettings.mCores },
        { "task_lease_ms", aSettings.mMaxTaskLease },
        { "worker_heartbeat_ms", aSettings.mWorkerHeartbeat },
        { "shutdown_ms", aSettings.mShutdown },
        { "keep_ended_ms", aSettings.mKeepEnded },
        { "tokens_checked", aSettings.mTokensChecked ? "yes" : "no" },
        { "advice", aSettings.mAdvice ? "yes" : "no" } });
}

}  // namespace

Entry::Entry(EntrySettings aSettings, std::string aFile)
  : mSettings(std::move(aSettings))
  , mFile(std::move(aFile))
  , mStore(mClient, mSettings.mStore)
  , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
{
}

Result<void> Entry::Run()
{
  LogEffectiveSettings(mSettings);
  std::vector<asio::io_context*> contexts{ &mContext };
  mCallers =
    std::make_unique<HttpServer>(MakeCallerLimits(), [this](HttpRequest aRequest, std::string) {
      return HandleCaller(std::move(aRequest));
    });
  mReady = std::make_unique<HttpServer>(
    HttpLimits{}, [this](HttpRequest aRequest, std::string) -> Async<HttpResponse> {
      co_return HandleReady(aRequest);
    });
  mPeers = std::make_unique<HttpServer>(HttpLimits{}, [this](HttpRequest aRequest, std::string) {
    return HandlePeer(std::move(aRequest));
  });
  const std::pair<HttpServer*, const HttpAddress*> servers[] = {
    { mCallers.get(), &mSettings.mCallers },
    { mReady.get(), &mSettings.mReady },
    { mPeers.get(), &mSettings.mPeers }
  };
  for (const auto& [server, address] : servers) {
    auto port = server->Listen(address->mHost, address->mPort, contexts);
    if (!port)
      return port.error();
  }
  asio::co_spawn(mContext, WatchConfig(), asio::detached);
  asio::co_spawn(mContext, WatchHolder(), asio::detached);
  asio::co_spawn(mContext, PollHolder(), asio::detached);
  asio::co_spawn(mContext, ProbeStore(), asio::detached);
  asio::co_spawn(mContext, WaitForSignals(), asio::detached);
  asio::co_spawn(mContext, WatchSettings(), asio::detached);
  mContext.run();
  return {};
}

HttpResponse Entry::HandleReady(const HttpRequest& aRequest)
{
  if (GetPath(std::string_view(aRequest.target().data(), aRequest.target().size())) == "/metrics")
    return MakeJsonResponse(http::status::ok, mMetrics.Render());
  const bool isReady = mConfig.mVersion != 0 && !mStopping && !IsIsolated();
  return MakeEmptyResponse(isReady ? http::status::ok : http::status::service_unavailable);
}

bool Entry::IsStoreDown() const
{
  const auto since = mStore.GetFailingSince();
  return since && BootClock::now() - *since > kStoreDownAfter;
}

Async<void> Entry::ProbeStoreOnce()
{
  ++mPendingProbes;
  co_await mStore.Get(std::string(kHolderKey), kProbeDeadline);
  --mPendingProbes;
}

// Logs when the store becomes unavailable or available. While calls fail, probes the store and asks
// members whether it serves them.
Async<void> Entry::ProbeStore()
{
  bool wasDown = false;
  while (!mStopping) {
    co_await Sleep(kProbeInterval);
    if (IsStoreDown() != wasDown) {
      wasDown = !wasDown;
      Log(LogPart::Store,
          wasDown ? LogLevel::Warn : LogLevel::Info,
          wasDown ? "the store does not serve this process"
                  : "the store serves this process again");
      if (!wasDown)
        co_await RefreshAfterOutage();
    }
    if (!mStore.GetFailingSince()) {
      mTally.reset();
      continue;
    }
    const bool isTallyOld = BootClock::now() - mTalliedAt > kTallyAge;
    if (IsStoreDown() && !IsHolder() && (mHolderFailingSince || isTallyOld)) {
      mTally = co_await ProbeMembers(0);
      mTalliedAt = BootClock::now();
    }
    // An unresponsive store delays each call until its deadline, so probes overlap.
    if (mPendingProbes < kMaxConcurrentProbes)
      asio::co_spawn(mContext, ProbeStoreOnce(), asio::detached);
  }
}

void Entry::ApplyConfigItem(const StoreItem& aItem)
{
  if (aItem.mKey == platform::kConfigKey && !aItem.mDeleted)
    ApplyConfig(aItem.mValue, "store");
}

void Entry::ApplyConfig(std::string_view aText, std::string_view aSource)
{
  auto config = platform::ParseConfig(aText);
  if (!config) {
    Log(LogPart::Config,
        LogLevel::Error,
        "the configuration can't be parsed; the previous one stays in effect",
        { { "what", config.error().mDetail }, { "source", aSource } });
    return;
  }
  if (config->mVersion <= mConfig.mVersion)
    return;
  Log(LogPart::Config,
      LogLevel::Info,
      "a new configuration takes effect",
      { { "version", config->mVersion },
        { "queues", config->mQueues.size() },
        { "teams", config->mTeams.size() },
        { "source", aSource } });
  mConfig = std::move(*config);
  mConfigText = aText;
  mConfigAt = BootClock::now();
  mTeamKeys.Set(mConfig);
  if (mHolder)
    mHolder->SetConfig(mConfig);
}

// Returns the changes of keys under aPrefix since aRevision, or all keys if aRevision is 0, and
// advances aRevision. Returns std::nullopt if the store did not answer, if its history no longer
// reaches back to aRevision, or if the changes have more than aMaxBytes: in the last two cases
// resets aRevision, so that the next call lists all keys.
Async<std::optional<platform::StorePage>> Entry::ReadChanges(std::string aPrefix,
                                                             std::uint64_t& aRevision,
                                                             std::size_t aMaxBytes)
{
  const TimePoint sentAt = BootClock::now();
  Result<platform::StorePage> page = platform::StorePage{};
  if (aRevision == 0)
    page = co_await mStore.List(aPrefix, platform::kStoreDeadline);
  else
    page = co_await mStore.Watch(aPrefix, aRevision, kWatchWait, aMaxBytes);
  if (page) {
    mUnreadPrefixes.erase(aPrefix);
    aRevision = page->mRevision;
    co_return std::move(*page);
  }
  if (mUnreadPrefixes.insert(aPrefix).second)
    Log(LogPart::Store,
        LogLevel::Warn,
        "the store's keys could not be read",
        { { "prefix", aPrefix },
          { "since_revision", aRevision },
          { "what", page.error().mDetail },
          { "took_ms", BootClock::now() - sentAt } });
  if (platform::MustListAgain(page.error()))
    aRevision = 0;
  else
    co_await Sleep(kRetryStore);
  co_return std::nullopt;
}

// A watch delivers each version in full. While versions of a large configuration follow each other
// faster than the link carries them, only the newest one is read.
Async<void> Entry::WatchConfig()
{
  std::uint64_t revision = 0;
  while (!mStopping) {
    const std::size_t mostBytes = std::max(kMinConfigBytes, 2 * mConfigText.size());
    auto page = co_await ReadChanges(std::string(platform::kConfigKey), revision, mostBytes);
    if (!page)
      continue;
    for (const StoreItem& it : page->mItems)
      ApplyConfigItem(it);
  }
}

Async<void> Entry::WaitForSignals()
{
  for (;;) {
    auto [ec, signal] = co_await mSignals.async_wait(kNoThrow);
    if (ec)
      co_return;
    if (signal == SIGHUP) {
      Reload("SIGHUP");
      continue;
    }
    if (!mStopping)
      asio::co_spawn(mContext, Stop(), asio::detached);
  }
}

void Entry::Reload(std::string_view aWhy)
{
  auto loaded = LoadEntrySettings(mFile);
  for (const std::string& it : loaded.mErrors)
    Log(LogPart::Process,
        LogLevel::Error,
        "invalid settings; the previous ones stay in effect",
        { { "what", it } });
  if (!loaded.mErrors.empty())
    return;
  mSettings.mStore = loaded.mSettings.mStore;
  mSettings.mAdvice = loaded.mSettings.mAdvice;
  mSettings.mMaxTaskLease = loaded.mSettings.mMaxTaskLease;
  mSettings.mShutdown = loaded.mSettings.mShutdown;
  mSettings.mKeepEnded = loaded.mSettings.mKeepEnded;
  mStore.SetAddress(mSettings.mStore);
  Log(LogPart::Process, LogLevel::Info, "reloaded the settings", { { "why", aWhy } });
  LogEffectiveSettings(mSettings);
}

Async<void> Entry::WatchSettings()
{
  const auto read = [this] {
    std::ifstream in(mFile);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  };
  mFileText = read();
  while (!mStopping) {
    co_await Sleep(kSettingsInterval);
    std::string text = read();
    if (text == mFileText || text.empty())
      continue;
    mFileText = std::move(text);
    Reload("the file has changed");
  }
}

Async<void> Entry::Stop()
{
  mStopping = true;
  const TimePoint last = BootClock::now() + mSettings.mShutdown - kStopMargin;
  Log(LogPart::Process, LogLevel::Info, "stopping after the requests in flight are finished");
  if (IsHolder())
    co_await mHolder->Resign("the process is stopping");
  const TimePoint drained = BootClock::now() + kDrainTime;
  while (BootClock::now() < std::min(drained, last))
    co_await Sleep(milliseconds(50));
  mCallers->StopAccepting();
  while (mCallers->CountInFlight() > 0 && BootClock::now() < last)
    co_await Sleep(milliseconds(20));
  Log(LogPart::Process, LogLevel::Info, "stopped");
  mContext.stop();
}

}  // namespace monsoon::fleet
