#include "app/dev_cell.h"

#include <boost/json.hpp>

#include <algorithm>
#include <sstream>
#include <thread>

#include "app/blocking_call.h"
#include "core/json.h"
#include "standin/platform.h"
#include "standin/worker.h"

namespace monsoon {

namespace json = boost::json;

namespace {

constexpr std::uint32_t kZones = 3;
constexpr std::uint32_t kNodes = 3;
constexpr std::uint32_t kWorkers = 12;
constexpr Duration kReadyTimeout = seconds(30);

std::string MakeZone(std::uint32_t aIndex)
{
  return "zone-" + std::string(1, static_cast<char>('a' + aIndex % kZones));
}

// Returns a worker of one of three hardware generations; only the newest has accelerators.
WorkerSpec MakeWorker(std::uint32_t aIndex)
{
  static constexpr Resources kGenerations[] = { { 8000, 32 * 1024, 0, 4, 60 },
                                                { 16000, 64 * 1024, 0, 8, 60 },
                                                { 32000, 128 * 1024, 2, 8, 60 } };
  const std::uint32_t generation = aIndex / kZones % std::size(kGenerations);
  WorkerSpec spec;
  spec.mName = "worker-" + std::to_string(aIndex + 1);
  spec.mZone = MakeZone(aIndex);
  spec.mRack = spec.mZone + "-rack-" + std::to_string(aIndex / kZones / 2 + 1);
  spec.mCapacity = kGenerations[generation];
  spec.mProcessorType = "gen" + std::to_string(generation + 1);
  spec.mAcceleratorType = spec.mCapacity.mAccelerators > 0 ? "a10" : "";
  return spec;
}

// Returns a loopback port that is free for TCP and UDP at the moment.
std::uint16_t PickPort()
{
  asio::io_context context;
  const asio::ip::address_v4 loopback = asio::ip::address_v4::loopback();
  while (true) {
    asio::ip::tcp::acceptor acceptor(context, { loopback, 0 });
    const auto port = acceptor.local_endpoint().port();
    asio::ip::udp::socket socket(context);
    boost::system::error_code ec;
    socket.open(asio::ip::udp::v4(), ec);
    socket.bind({ loopback, port }, ec);
    if (!ec)
      return port;
  }
}

std::uint64_t SumMetric(const std::string& aText, std::string_view aName)
{
  std::uint64_t sum = 0;
  std::istringstream in(aText);
  for (std::string line; std::getline(in, line);)
    if (line.starts_with(aName))
      sum += std::strtoull(line.c_str() + line.rfind(' '), nullptr, 10);
  return sum;
}

}  // namespace

std::uint64_t CountDuplicateRuns(std::vector<RunInterval>& aRuns, bool aOnlyOverlaps)
{
  std::sort(aRuns.begin(), aRuns.end(), [](const RunInterval& aLeft, const RunInterval& aRight) {
    return std::tie(aLeft.mId, aLeft.mStart) < std::tie(aRight.mId, aRight.mStart);
  });
  std::uint64_t n = 0;
  for (std::size_t i = 1; i < aRuns.size(); ++i) {
    const RunInterval& before = aRuns[i - 1];
    const bool overlap = before.mEnd == 0 || aRuns[i].mStart < before.mEnd;
    if (before.mId == aRuns[i].mId && (overlap || !aOnlyOverlaps))
      ++n;
  }
  return n;
}

struct DevCell::State
{
  asio::io_context mContext{ 1 };  // runs all stand-ins
  std::thread mThread{};
  std::unique_ptr<standin::Platform> mPlatform{};
  std::vector<std::unique_ptr<standin::Worker>> mWorkers{};
  std::vector<std::unique_ptr<Node>> mNodes{};
  HttpAddress mPlatformAddress{};
  std::int64_t mSlots = 0;

  Result<void> StartStandins();
  Result<void> StartNodes();
  Result<void> WaitUntilReady() const;
};

Result<void> DevCell::State::StartStandins()
{
  mPlatform = std::make_unique<standin::Platform>(mContext);
  auto port = mPlatform->Listen("127.0.0.1", 0);
  if (!port)
    return port.error();
  mPlatformAddress.mPort = *port;
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    auto worker = std::make_unique<standin::Worker>(mContext, MakeWorker(i));
    auto workerPort = worker->Listen();
    if (!workerPort)
      return workerPort.error();
    mPlatform->AddVm(worker->GetSpec());
    mSlots += worker->GetSpec().mCapacity.mSlots;
    mWorkers.push_back(std::move(worker));
  }
  mThread = std::thread([this] {
    auto work = asio::make_work_guard(mContext);
    mContext.run();
  });
  return {};
}

Result<void> DevCell::State::StartNodes()
{
  std::vector<PeerSettings> all;
  for (std::uint32_t i = 0; i < kNodes; ++i)
    all.push_back({ "entry-" + std::to_string(i + 1), MakeZone(i), "127.0.0.1", PickPort() });
  for (std::uint32_t i = 0; i < kNodes; ++i) {
    Settings settings;
    settings.mProcess.mName = all[i].mName;
    settings.mProcess.mZone = all[i].mZone;
    settings.mListen.mHttpPort = 0;
    settings.mListen.mPeerPort = all[i].mPort;
    settings.mPlatform.mHost = mPlatformAddress.mHost;
    settings.mPlatform.mPort = mPlatformAddress.mPort;
    for (std::uint32_t j = 0; j < kNodes; ++j)
      if (j != i)
        settings.mPeers.push_back(all[j]);
    mNodes.push_back(std::make_unique<Node>(std::move(settings)));
    if (auto started = mNodes.back()->Start(); !started)
      return started.error();
  }
  return {};
}

Result<void> DevCell::State::WaitUntilReady() const
{
  const TimePoint deadline = BootClock::now() + kReadyTimeout;
  for (const auto& it : mNodes) {
    const HttpAddress address{ "127.0.0.1", it->GetHttpPort() };
    while (true) {
      auto answer = GetBlocking(address, "/readyz");
      if (answer && answer->result() == http::status::ok)
        break;
      if (BootClock::now() > deadline)
        return MakeFailure(FailureKind::NotReady, "a node did not become ready");
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return {};
}

DevCell::DevCell()
  : mState(std::make_unique<State>())
{
}

DevCell::~DevCell()
{
  Stop();
}

Result<void> DevCell::Start()
{
  if (auto started = mState->StartStandins(); !started)
    return started;
  if (auto started = mState->StartNodes(); !started)
    return started;
  return mState->WaitUntilReady();
}

void DevCell::Stop()
{
  for (const auto& it : mState->mNodes)
    it->Stop();
  mState->mNodes.clear();
  mState->mContext.stop();
  if (mState->mThread.joinable())
    mState->mThread.join();
  mState->mWorkers.clear();
  mState->mPlatform.reset();
}

std::vector<HttpAddress> DevCell::ListAddresses() const
{
  std::vector<HttpAddress> addresses;
  for (const auto& it : mState->mNodes)
    addresses.push_back({ "127.0.0.1", it->GetHttpPort() });
  return addresses;
}

std::vector<std::string> DevCell::Describe() const
{
  std::vector<std::string> lines;
  lines.push_back("platform stand-in on 127.0.0.1:" +
                  std::to_string(mState->mPlatformAddress.mPort));
  lines.push_back(std::to_string(mState->mWorkers.size()) +
                  " workers of three generations (8, 16 and 32 cores) in " +
                  std::to_string(kZones) + " zones, " + std::to_string(mState->mSlots) +
                  " request slots");
  for (std::uint32_t i = 0; i < mState->mNodes.size(); ++i)
    lines.push_back("entry-" + std::to_string(i + 1) + " in " + MakeZone(i) +
                    ": http://127.0.0.1:" + std::to_string(mState->mNodes[i]->GetHttpPort()));
  return lines;
}

DevCounts DevCell::ReadCounts() const
{
  DevCounts counts;
  std::vector<RunInterval> requests;
  std::vector<RunInterval> tasks;
  std::int64_t first = INT64_MAX;
  std::int64_t last = 0;
  std::int64_t busy = 0;
  for (const auto& worker : mState->mWorkers) {
    const standin::WorkerEvidence evidence = worker->GetEvidence();
    counts.mRequestsRun += evidence.mRequestsRun;
    counts.mTasksStarted += evidence.mTasksStarted;
    counts.mOvercommits += evidence.mOvercommits;
    const HttpAddress address{ worker->GetSpec().mHost, worker->GetSpec().mPort };
    const auto answer = GetBlocking(address, "/v1/evidence");
    const auto body = answer ? ParseJson(answer->body()) : Result<json::value>(json::value());
    if (!body)
      continue;
    for (const json::value& it : GetArray(*body, "lines")) {
      RunInterval run{ GetString(it, "id"), GetSigned(it, "start_ms"), GetSigned(it, "end_ms") };
      const bool request = GetString(it, "what") == "request";
      first = std::min(first, run.mStart);
      last = std::max(last, run.mEnd);
      if (request && run.mEnd > 0)
        busy += run.mEnd - run.mStart;
      ++counts.mEvidence;
      (request ? requests : tasks).push_back(std::move(run));
    }
  }
  counts.mDuplicateRuns = CountDuplicateRuns(requests, false) + CountDuplicateRuns(tasks, true);
  if (last > first)
    counts.mSlotsBusy = static_cast<double>(busy) / static_cast<double>(mState->mSlots) /
                        static_cast<double>(last - first);
  if (const auto stats = GetBlocking(mState->mPlatformAddress, "/v1/stats"))
    if (const auto body = ParseJson(stats->body()); body && GetMember(*body, "calls").is_object())
      for (const auto& [name, value] : GetMember(*body, "calls").get_object())
        counts.mStoreCalls += GetUnsigned(GetMember(*body, "calls"), name);
  for (const HttpAddress& it : ListAddresses())
    if (const auto metrics = GetBlocking(it, "/metrics"))
      counts.mCrossZoneBytes += SumMetric(metrics->body(), "monsoonstage_cross_zone_bytes_total");
  return counts;
}

}  // namespace monsoon
