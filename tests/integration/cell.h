// Real processes for integration tests: a cell of platform, workers and monsoonstage processes on
// loopback. The tests start processes; the product itself starts none.
//
// Index
//   ChildProcess   one started process
//   Cell           platform, workers and monsoonstage processes, wired by generated settings
//   Http           blocking calls for tests
#pragma once

#include <boost/json.hpp>
#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/model.h"
#include "tests/integration/proxy.h"

namespace monsoon::testing {

// ChildProcess
class ChildProcess
{
public:
  // Runs the built binary with these arguments and waits until it prints "listening on port N".
  explicit ChildProcess(std::vector<std::string> aArguments);
  ~ChildProcess();  // SIGKILL if it still runs
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  [[nodiscard]] std::uint16_t GetPort() const { return mPort; }
  [[nodiscard]] pid_t GetPid() const { return mPid; }
  void Signal(int aSignal) const;
  int Wait();  // exit code, or 128 + signal

private:
  pid_t mPid = -1;
  int mOutput = -1;
  std::uint16_t mPort = 0;
};

// Cell
struct CellOptions
{
  std::uint32_t mProcesses = 2;
  std::uint32_t mZones = 1;
  std::uint32_t mWorkers = 2;
  std::uint32_t mSlots = 8;      // per worker
  bool mProxied = false;         // proxies between processes, and to the platform
  std::uint64_t mSeed = 1;       // of the proxies
  std::string mLeaseSettings{};  // TOML appended to the section [lease]
  std::string mExtraSettings{};  // TOML appended to each process's settings
  std::function<WorkerSpec(std::uint32_t)> mSpec{};  // overrides the standard worker, by index
};

class Cell
{
public:
  explicit Cell(CellOptions aOptions);
  ~Cell();

  void StartProcess(std::uint32_t aIndex);  // also restarts one that was killed
  ChildProcess& GetProcess(std::uint32_t aIndex) { return *mProcesses.at(aIndex); }
  ChildProcess& GetPlatform() { return *mPlatform; }
  [[nodiscard]] std::uint16_t GetHttpPort(std::uint32_t aIndex) const
  {
    return mHttpPorts.at(aIndex);
  }
  [[nodiscard]] std::vector<boost::json::value> ReadEvidence() const;  // of every worker
  [[nodiscard]] std::uint64_t SumEvidence(std::string_view aCounter) const;
  bool WaitUntilReady();  // every process answers /readyz with 200
  ChildProcess& GetWorker(std::uint32_t aIndex) { return *mWorkers.at(aIndex); }

  // Proxied cells only
  void SetPeerFaults(std::uint32_t aFrom,
                     std::uint32_t aTo,
                     const LinkFaults& aFaults);  // calls of aFrom to aTo
  void SetPlatformFaults(std::uint32_t aProcess, const LinkFaults& aFaults);
  void Isolate(std::uint32_t aProcess, bool aIsolated);  // from all other processes, both ways

private:
  std::string MakeSettings(std::uint32_t aIndex) const;
  void StartProxies();

  CellOptions mOptions;
  std::string mDirectory{};
  std::unique_ptr<ProxyThread> mProxyThread{};
  std::unique_ptr<ChildProcess> mPlatform{};
  std::vector<std::unique_ptr<ChildProcess>> mWorkers{};
  std::vector<std::unique_ptr<ChildProcess>> mProcesses{};
  std::vector<std::uint16_t> mHttpPorts{};
  std::vector<std::uint16_t> mPeerPorts{};
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::unique_ptr<Proxy>> mPeerProxies{};
  std::vector<std::unique_ptr<Proxy>> mPlatformProxies{};
};

// Http
struct Answer
{
  int mStatus = 0;  // 0: no whole answer
  std::string mBody{};
};

using Headers = std::map<std::string, std::string>;

Answer Get(std::uint16_t aPort, const std::string& aTarget);
Answer Post(std::uint16_t aPort,
            const std::string& aTarget,
            const std::string& aBody,
            const Headers& aHeaders = {});
Answer Delete(std::uint16_t aPort, const std::string& aTarget);
Answer Put(std::uint16_t aPort, const std::string& aTarget, const std::string& aBody);

// Polls until the condition holds; false after a generous bound, which only a real fault reaches.
bool WaitFor(const std::function<bool()>& aCondition, Duration aBound = seconds(60));

}  // namespace monsoon::testing
