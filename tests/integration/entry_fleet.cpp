#include "tests/integration/entry_fleet.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace monsoon::testing {

namespace {

std::string FormatLocal(std::uint16_t aPort)
{
  return "\"127.0.0.1:" + std::to_string(aPort) + "\"\n";
}

}  // namespace

std::uint16_t PortReservation::Reserve()
{
  mAcceptors.emplace_back(mContext, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return mAcceptors.back().local_endpoint().port();
}

EntryFleet::EntryFleet(asio::io_context& aContext,
                       const standin::FleetStandinOptions& aPlatform,
                       const std::vector<double>& aCores,
                       std::string aName)
  : mDirectory(std::filesystem::temp_directory_path() /
               (aName + "-" + std::to_string(getpid()) + "-" + std::to_string(aPlatform.mSeed)))
  , mPlatform(std::make_unique<standin::FleetStandin>(aContext, aPlatform))
  , mProcesses(aCores.size())
{
  std::filesystem::create_directories(mDirectory);
  if (!mPlatform->Start())
    throw std::runtime_error("the stand-in can't listen");
  std::mt19937_64 seeds(aPlatform.mSeed);
  // Held until all proxies have their ports, too.
  PortReservation ports;
  for (std::size_t n = 0; n < aCores.size(); ++n) {
    EntryProcess& it = mProcesses[n];
    it.mCallers = ports.Reserve();
    it.mReady = ports.Reserve();
    it.mPeers = ports.Reserve();
    it.mStoreLink = std::make_unique<Proxy>(mProxies, mPlatform->GetStorePort(), seeds());
    it.mPeerLink = std::make_unique<Proxy>(mProxies, it.mPeers, seeds());
    it.mSettings = mDirectory + "/entry-" + std::to_string(n) + ".toml";
    it.mLog = mDirectory + "/entry-" + std::to_string(n) + ".log";
    std::ofstream(it.mSettings) << "[process]\nname = \"entry-" << n
                                << "\"\nzone = \"zone-a\"\ncores = " << aCores[n] << "\n"
                                << "[listen]\ncallers = " << FormatLocal(it.mCallers)
                                << "ready = " << FormatLocal(it.mReady)
                                << "peers = " << FormatLocal(it.mPeers)
                                << "peers_advertised = " << FormatLocal(it.mPeerLink->GetPort())
                                << "[store]\naddress = " << FormatLocal(it.mStoreLink->GetPort())
                                << "[advice]\naddress = " << FormatLocal(mPlatform->GetAdvicePort())
                                << "[workers]\ntokens_checked = true\n";
  }
  ports.Release();
  for (std::size_t n = 0; n < mProcesses.size(); ++n)
    Start(n);
}

EntryFleet::~EntryFleet()
{
  for (std::size_t n = 0; n < mProcesses.size(); ++n)
    End(n, SIGKILL);
  if (!mKeepsFiles)
    std::filesystem::remove_all(mDirectory);
}

void EntryFleet::Start(std::size_t aIndex)
{
  EntryProcess& process = mProcesses[aIndex];
  if (process.mPid > 0)
    return;
  const int log = open(process.mLog.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644);
  process.mPid = fork();
  if (process.mPid == 0) {
    dup2(log, 1);
    dup2(log, 2);
    close_range(3, ~0U, 0);  // sockets of the stand-in, which would stay open otherwise
    execl(MONSOONSTAGE_BINARY,
          "monsoonstage",
          "entry",
          "--config",
          process.mSettings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  close(log);
}

void EntryFleet::End(std::size_t aIndex, int aSignal)
{
  EntryProcess& process = mProcesses[aIndex];
  if (process.mPid <= 0)
    return;
  kill(process.mPid, aSignal);
  kill(process.mPid, SIGCONT);
  waitpid(process.mPid, nullptr, 0);
  process.mPid = -1;
}

void EntryFleet::Signal(std::size_t aIndex, int aSignal)
{
  if (mProcesses[aIndex].mPid > 0)
    kill(mProcesses[aIndex].mPid, aSignal);
}

Async<Result<HttpResponse>> EntryFleet::Call(std::size_t aIndex,
                                             http::verb aVerb,
                                             std::string aTarget,
                                             std::string aBody,
                                             std::string aKey,
                                             Duration aBudget)
{
  HttpRequest request(aVerb, aTarget, 11);
  request.body() = std::move(aBody);
  if (!aKey.empty())
    request.set(http::field::authorization, "Bearer " + aKey);
  if (aBudget > Duration::zero())
    request.set("X-Deadline-Ms", std::to_string(aBudget / milliseconds(1)));
  const Duration deadline = aBudget > Duration::zero() ? aBudget : seconds(3);
  HttpAddress address{ "127.0.0.1", mProcesses[aIndex].mCallers };
  co_return co_await mClient.Call(std::move(address), std::move(request), deadline);
}

std::string EntryFleet::ReadLog(std::size_t aIndex) const
{
  std::ifstream in(mProcesses[aIndex].mLog);
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

}  // namespace monsoon::testing
