#include "app/node.h"

#include <boost/asio/use_future.hpp>

#include "app/node_state.h"

namespace monsoon {

namespace {

// Time at the end of a planned stop in which messages in flight are delivered.
constexpr Duration kStopGracePeriod = milliseconds(100);

GuardSettings MakeGuardSettings(const Settings& aSettings)
{
  GuardSettings guard;
  guard.mReadsPerSecond = aSettings.mPlatform.mReadsPerSecond;
  guard.mWritesPerSecond = aSettings.mPlatform.mWritesPerSecond;
  guard.mSeed = static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count());
  return guard;
}

PlatformSettings MakePlatformSettings(const Settings& aSettings)
{
  PlatformSettings platform;
  platform.mAddress = { aSettings.mPlatform.mHost, aSettings.mPlatform.mPort };
  platform.mCallTimeout = aSettings.mPlatform.mCallTimeout;
  return platform;
}

RequestSettings MakeRequestSettings(const Settings& aSettings)
{
  RequestSettings requests;
  requests.mSelf = aSettings.mProcess.mName;
  requests.mZone = aSettings.mProcess.mZone;
  requests.mJobShards = aSettings.mJobs.mShards;
  requests.mRouting.mCrossZonePrice = aSettings.mRequests.mCrossZonePrice;
  requests.mRetry.mRatio = aSettings.mRequests.mRetryPercent / 100.0;
  requests.mRouting.mRouting =
    ParseRouting(aSettings.mRequests.mRouting).value_or(Routing::LateBinding);
  return requests;
}

std::vector<PeerAddress> MakePeerAddresses(const Settings& aSettings)
{
  std::vector<PeerAddress> peers;
  for (const PeerSettings& it : aSettings.mPeers)
    peers.push_back({ it.mName, it.mZone, it.mHost, it.mPort });
  return peers;
}

}  // namespace

Node::State::State(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mRequestSettings(MakeRequestSettings(mSettings))
  , mHttpStore(mClient, MakePlatformSettings(mSettings))
  , mStore(mHttpStore, MakeGuardSettings(mSettings))
  , mWorkers(mClient)
  , mShared(mRequestSettings)
  , mStartMillis(static_cast<std::uint64_t>(ReadWallMillis()))
{
}

Async<Result<PeerReply>> Node::State::OnPeer(ProcessName, PeerRequest aRequest)
{
  if (const auto* fetch = std::get_if<JournalFetch>(&aRequest))
    co_return mControl->OnFetch(*fetch);
  if (const auto* promise = std::get_if<OutagePromiseRequest>(&aRequest))
    co_return mControl->OnPromiseRequest(*promise);
  co_return co_await mWork->Handle(std::move(aRequest));
}

Result<void> Node::State::Start()
{
  for (std::uint32_t i = 0; i < mSettings.mProcess.mThreads; ++i)
    mContexts.push_back(std::make_unique<NodeContext>());
  asio::io_context& first = *mContexts.front();

  const ProcessSettings& process = mSettings.mProcess;
  mLink =
    std::make_unique<PeerLink>(first, process.mName, process.mZone, MakePeerAddresses(mSettings));
  mControl = std::make_unique<ControlPlane>(first, mSettings, mStore, *mLink);
  mWork = std::make_unique<WorkPlane>(first, mSettings, mStore, *mLink, mWorkers, *mControl);
  mLink->SetRequestHandler([this](ProcessName aFrom, PeerRequest aRequest) {
    return OnPeer(std::move(aFrom), std::move(aRequest));
  });
  mLink->SetHeartbeatHandler(
    [this](const Heartbeat& aHeartbeat) { mControl->OnHeartbeat(aHeartbeat); });
  auto peerPort = mLink->Listen(mSettings.mListen.mPeerHost, mSettings.mListen.mPeerPort);
  if (!peerPort)
    return peerPort.error();

  HttpLimits limits;
  limits.mMaxBodyBytes = mSettings.mLimits.mBody;
  limits.mMaxHeaderBytes = static_cast<std::uint32_t>(mSettings.mLimits.mHeader);
  limits.mMaxConnections = mSettings.mLimits.mConnections;
  limits.mReadTimeout = mSettings.mLimits.mReadTimeout;
  limits.mIdleTimeout = mSettings.mLimits.mIdleTimeout;
  mServer =
    std::make_unique<HttpServer>(limits, [this](HttpRequest aRequest, std::string aPeerAddress) {
      return OnHttp(std::move(aRequest), std::move(aPeerAddress));
    });
  std::vector<asio::io_context*> contexts;
  for (const auto& context : mContexts)
    contexts.push_back(context.get());
  auto port = mServer->Listen(mSettings.mListen.mHttpHost, mSettings.mListen.mHttpPort, contexts);
  if (!port)
    return port.error();
  mHttpPort = *port;

  ControlHooks hooks;
  hooks.mOnOwnershipChanged = [this] { mWork->OnOwnershipChanged(); };
  hooks.mOnFleetUpdate = [this](const auto& aWorkers, const auto& aExcluded) {
    mWork->OnFleetUpdate(aWorkers, aExcluded);
  };
  hooks.mCountFreeSlots = [this] { return mWork->CountFreeSlots(); };
  mControl->Start(std::move(hooks));
  mShared.mOnDecided = [this](const RequestContext& aContext) { RecordRequest(aContext); };
  mWork->Start(
    [this](const TaskShape& aShape, std::size_t aTasks, Duration aWaited, Duration aTook) {
      RecordPlacement(aShape, aTasks, aWaited, aTook);
    });
  asio::co_spawn(first, SubmitDeclaredJobs(), asio::detached);
  for (const auto& context : mContexts)
    mThreads.emplace_back([&context] {
      auto work = asio::make_work_guard(*context);
      context->run();
    });
  Log(LogPart::Process,
      LogLevel::Info,
      "started",
      { { "process", process.mName }, { "zone", process.mZone } });
  return {};
}

// Stops gracefully: readiness turns false for the load balancer, work in flight drains, ownership
// is handed over; only then do the threads end.
void Node::State::Stop()
{
  if (mStopping.exchange(true))
    return;
  if (!mThreads.empty()) {
    Log(LogPart::Process, LogLevel::Info, "stopping", { { "process", mSettings.mProcess.mName } });
    const auto countInFlight = [this] { return mServer->CountInFlight() + mShared.mBackground; };
    const auto onDraining = [this] {
      mShared.mDraining = true;
      mServer->StopAccepting();
    };
    auto stopped = asio::co_spawn(
      *mContexts.front(), mControl->StopGracefully(countInFlight, onDraining), asio::use_future);
    const StopReport report = stopped.get();
    Log(LogPart::Drain,
        report.mAborted == 0 ? LogLevel::Info : LogLevel::Warn,
        "stopped",
        { { "cut", report.mAborted }, { "handed_over", report.mHandedOver ? "yes" : "no" } });
    asio::post(*mContexts.front(), [this] {
      mWork->Stop();
      mControl->Stop();
    });
    std::this_thread::sleep_for(kStopGracePeriod);
  }
  if (mLink)
    mLink->Stop();
  for (const auto& context : mContexts)
    context->stop();
  for (std::thread& thread : mThreads)
    thread.join();
  mThreads.clear();
  mClient.Clear();
  for (const auto& context : mContexts)
    context->DestroyPendingHandlers();
}

Node::Node(Settings aSettings)
  : mState(std::make_unique<State>(std::move(aSettings)))
{
}

Node::~Node()
{
  Stop();
}

Result<void> Node::Start()
{
  return mState->Start();
}
void Node::Stop()
{
  mState->Stop();
}
std::uint16_t Node::GetHttpPort() const noexcept
{
  return mState->mHttpPort;
}

}  // namespace monsoon
