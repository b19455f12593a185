#include "tests/integration/cell.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace monsoon::testing {

namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using boost::asio::ip::tcp;

// ChildProcess

ChildProcess::ChildProcess(std::vector<std::string> aArguments)
{
  int pipeEnds[2];
  if (pipe(pipeEnds) != 0)
    throw std::runtime_error("pipe failed");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose(&actions, pipeEnds[0]);
  aArguments.insert(aArguments.begin(), MONSOONSTAGE_BINARY);
  std::vector<char*> words;
  for (std::string& word : aArguments)
    words.push_back(word.data());
  words.push_back(nullptr);
  const int error =
    posix_spawn(&mPid, MONSOONSTAGE_BINARY, &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipeEnds[1]);
  mOutput = pipeEnds[0];
  if (error != 0)
    throw std::runtime_error("cannot start the binary");

  static const std::string kMark = "listening on port ";
  std::string line;
  char c = 0;
  while (read(mOutput, &c, 1) == 1) {
    if (c != '\n') {
      line += c;
      continue;
    }
    const auto at = line.find(kMark);
    if (at != std::string::npos) {
      mPort = static_cast<std::uint16_t>(std::stoi(line.substr(at + kMark.size())));
      return;
    }
    line.clear();
  }
  throw std::runtime_error("the process ended before it listened: " + aArguments.at(1));
}

ChildProcess::~ChildProcess()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
  if (mOutput >= 0)
    close(mOutput);
}

void ChildProcess::Signal(int aSignal) const
{
  kill(mPid, aSignal);
}

int ChildProcess::Wait()
{
  int status = 0;
  waitpid(mPid, &status, 0);
  mPid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

// Cell

namespace {

constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kLastPort = 32000;  // outgoing connections take their ports above it

bool IsFree(std::uint16_t aPort)
{
  boost::asio::io_context context;
  boost::system::error_code ec;
  tcp::acceptor acceptor(context);
  acceptor.open(tcp::v4(), ec);
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
  acceptor.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), aPort), ec);
  return !ec;
}

// A free port, for processes whose peers must know it before they start. Programs that run side by
// side begin at different places.
std::uint16_t PickPort()
{
  static std::uint32_t sNext = static_cast<std::uint32_t>(getpid()) * 131;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + sNext++ % (kLastPort - kFirstPort));
    if (IsFree(port))
      return port;
  }
}

std::string GetZone(std::uint32_t aIndex, std::uint32_t aZones)
{
  return std::string("zone-") + char('a' + aIndex % aZones);
}

}  // namespace

Cell::Cell(CellOptions aOptions)
  : mOptions(std::move(aOptions))
{
  std::string pattern = (std::filesystem::temp_directory_path() / "monsoonstage-XXXXXX").string();
  mDirectory = mkdtemp(pattern.data());
  mPlatform = std::make_unique<ChildProcess>(std::vector<std::string>{ "standin", "platform" });
  const std::string platform = "127.0.0.1:" + std::to_string(mPlatform->GetPort());
  for (std::uint32_t i = 0; i < mOptions.mWorkers; ++i) {
    WorkerSpec spec;
    spec.mZone = GetZone(i, mOptions.mZones);
    spec.mRack = "rack-" + std::to_string(i / 8);
    spec.mCapacity = { 32000, 128 * 1024, 0, mOptions.mSlots, 60 };
    if (mOptions.mSpec)
      spec = mOptions.mSpec(i);
    mWorkers.push_back(std::make_unique<ChildProcess>(
      std::vector<std::string>{ "standin",
                                "worker",
                                "--platform",
                                platform,
                                "--name",
                                "worker-" + std::to_string(i + 1),
                                "--zone",
                                spec.mZone,
                                "--rack",
                                spec.mRack,
                                "--slots",
                                std::to_string(spec.mCapacity.mSlots),
                                "--cores",
                                std::to_string(spec.mCapacity.mMilliCores / 1000),
                                "--memory-gib",
                                std::to_string(spec.mCapacity.mMemoryMiB / 1024),
                                "--accelerators",
                                std::to_string(spec.mCapacity.mAccelerators) }));
  }
  for (std::uint32_t i = 0; i < mOptions.mProcesses; ++i) {
    mHttpPorts.push_back(PickPort());
    mPeerPorts.push_back(PickPort());
  }
  if (mOptions.mProxied)
    StartProxies();
  mProcesses.resize(mOptions.mProcesses);
  for (std::uint32_t i = 0; i < mOptions.mProcesses; ++i)
    StartProcess(i);
}

void Cell::StartProxies()
{
  mProxyThread = std::make_unique<ProxyThread>();
  std::uint64_t seed = mOptions.mSeed;
  for (std::uint32_t i = 0; i < mOptions.mProcesses; ++i) {
    mPlatformProxies.push_back(
      std::make_unique<Proxy>(*mProxyThread, mPlatform->GetPort(), ++seed));
    for (std::uint32_t k = 0; k < mOptions.mProcesses; ++k)
      if (k != i)
        mPeerProxies[{ i, k }] = std::make_unique<Proxy>(*mProxyThread, mPeerPorts[k], ++seed);
  }
}

void Cell::SetPeerFaults(std::uint32_t aFrom, std::uint32_t aTo, const LinkFaults& aFaults)
{
  mPeerProxies.at({ aFrom, aTo })->SetFaults(aFaults);
}

void Cell::SetPlatformFaults(std::uint32_t aProcess, const LinkFaults& aFaults)
{
  mPlatformProxies.at(aProcess)->SetFaults(aFaults);
}

void Cell::Isolate(std::uint32_t aProcess, bool aIsolated)
{
  LinkFaults faults;
  faults.mCut = aIsolated;
  for (const auto& [link, proxy] : mPeerProxies)
    if (link.first == aProcess || link.second == aProcess)
      proxy->SetFaults(faults);
}

Cell::~Cell()
{
  mProcesses.clear();
  std::error_code ignored;
  std::filesystem::remove_all(mDirectory, ignored);
}

std::string Cell::MakeSettings(std::uint32_t aIndex) const
{
  const auto name = [](std::uint32_t aNumber) { return "entry-" + std::to_string(aNumber + 1); };
  const auto address = [](std::uint16_t aPort) {
    return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
  };
  std::string text = "[process]\nname = \"" + name(aIndex) + "\"\nzone = \"" +
                     GetZone(aIndex, mOptions.mZones) + "\"\n";
  text += "[listen]\nhttp = " + address(mHttpPorts[aIndex]) +
          "\npeer = " + address(mPeerPorts[aIndex]) + "\n";
  const std::uint16_t platform =
    mOptions.mProxied ? mPlatformProxies[aIndex]->GetPort() : mPlatform->GetPort();
  text += "[lease]\nsession = \"3s\"\nrenew_every = \"1s\"\ndrift = \"300ms\"\n" +
          mOptions.mLeaseSettings + "\n";
  text += "[platform]\naddress = " + address(platform) + "\n" + mOptions.mExtraSettings + "\n";
  for (std::uint32_t i = 0; i < mOptions.mProcesses; ++i) {
    if (i == aIndex)
      continue;
    text += "[[peer]]\nname = \"" + name(i) + "\"\nzone = \"" + GetZone(i, mOptions.mZones) +
            "\"\naddress = " +
            address(mOptions.mProxied ? mPeerProxies.at({ aIndex, i })->GetPort() : mPeerPorts[i]) +
            "\n";
  }
  return text;
}

void Cell::StartProcess(std::uint32_t aIndex)
{
  const std::string file = mDirectory + "/entry-" + std::to_string(aIndex + 1) + ".toml";
  std::ofstream(file) << MakeSettings(aIndex);
  mProcesses.at(aIndex) = nullptr;
  mProcesses.at(aIndex) =
    std::make_unique<ChildProcess>(std::vector<std::string>{ "serve", "--config", file });
}

std::vector<json::value> Cell::ReadEvidence() const
{
  std::vector<json::value> evidence;
  for (const auto& worker : mWorkers)
    evidence.push_back(json::parse(Get(worker->GetPort(), "/v1/evidence").mBody));
  return evidence;
}

std::uint64_t Cell::SumEvidence(std::string_view aCounter) const
{
  std::uint64_t sum = 0;
  for (const json::value& it : ReadEvidence())
    sum += it.at(aCounter).to_number<std::uint64_t>();
  return sum;
}

bool Cell::WaitUntilReady()
{
  return WaitFor([this] {
    for (const std::uint16_t port : mHttpPorts)
      if (Get(port, "/readyz").mStatus != 200)
        return false;
    return true;
  });
}

// Http

namespace {

Answer Call(http::verb aVerb,
            std::uint16_t aPort,
            const std::string& aTarget,
            const std::string& aBody,
            const Headers& aHeaders)
{
  boost::asio::io_context context;
  beast::tcp_stream stream(context);
  boost::system::error_code ec;
  stream.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), aPort), ec);
  if (ec)
    return {};
  http::request<http::string_body> request(aVerb, aTarget, 11);
  request.set(http::field::host, "127.0.0.1");
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : aHeaders)
    request.set(name, value);
  request.body() = aBody;
  request.prepare_payload();
  http::write(stream, request, ec);
  if (ec)
    return {};
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64 * 1024 * 1024);
  http::read(stream, buf, parser, ec);
  if (ec)
    return {};
  return { static_cast<int>(parser.get().result_int()), parser.get().body() };
}

}  // namespace

Answer Get(std::uint16_t aPort, const std::string& aTarget)
{
  return Call(http::verb::get, aPort, aTarget, "", {});
}

Answer Post(std::uint16_t aPort,
            const std::string& aTarget,
            const std::string& aBody,
            const Headers& aHeaders)
{
  return Call(http::verb::post, aPort, aTarget, aBody, aHeaders);
}

Answer Delete(std::uint16_t aPort, const std::string& aTarget)
{
  return Call(http::verb::delete_, aPort, aTarget, "", {});
}

Answer Put(std::uint16_t aPort, const std::string& aTarget, const std::string& aBody)
{
  return Call(http::verb::put, aPort, aTarget, aBody, {});
}

bool WaitFor(const std::function<bool()>& aCondition, Duration aBound)
{
  const TimePoint until = BootClock::now() + aBound;
  while (BootClock::now() < until) {
    if (aCondition())
      return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

}  // namespace monsoon::testing
