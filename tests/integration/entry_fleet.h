// Runs entry processes as separate programs on loopback against the platform's stand-in. Their
// connections to the store and to each other go through proxies that a test can cut or delay.
#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "standin/fleet.h"
#include "tests/integration/proxy.h"

namespace monsoon::testing {

struct EntryProcess
{
  std::uint16_t mCallers = 0;  // ports on loopback
  std::uint16_t mReady = 0;
  std::uint16_t mPeers = 0;
  std::string mSettings{};  // files
  std::string mLog{};
  pid_t mPid = -1;                      // -1: not running
  std::unique_ptr<Proxy> mStoreLink{};  // from this process to the store
  std::unique_ptr<Proxy> mPeerLink{};   // from other processes to this one
};

// Free ports on loopback, which nobody else is given while they are held.
class PortReservation
{
public:
  std::uint16_t Reserve();  // throws if there is none
  void Release() { mAcceptors.clear(); }

private:
  asio::io_context mContext{};
  std::vector<asio::ip::tcp::acceptor> mAcceptors{};
};

class EntryFleet
{
public:
  // Starts the stand-in, and an entry process for each element of aCores, its number of cores.
  // Throws std::runtime_error if a port can't be bound.
  EntryFleet(asio::io_context& aContext,
             const standin::FleetStandinOptions& aPlatform,
             const std::vector<double>& aCores,
             std::string aName);
  ~EntryFleet();  // kills the processes and removes their files, unless KeepFiles was called
  EntryFleet(const EntryFleet&) = delete;
  EntryFleet& operator=(const EntryFleet&) = delete;

  void Start(std::size_t aIndex);
  void End(std::size_t aIndex, int aSignal);     // sends aSignal and waits for its exit
  void Signal(std::size_t aIndex, int aSignal);  // does not wait; no-op if it isn't running
  void KeepFiles() { mKeepsFiles = true; }       // keeps the logs for inspection
  Async<Result<HttpResponse>> Call(std::size_t aIndex,
                                   http::verb aVerb,
                                   std::string aTarget,
                                   std::string aBody,
                                   std::string aKey = {},   // of the caller; empty: none
                                   Duration aBudget = {});  // of the caller; zero: not stated

  [[nodiscard]] standin::FleetStandin& GetPlatform() const { return *mPlatform; }
  [[nodiscard]] EntryProcess& Get(std::size_t aIndex) { return mProcesses[aIndex]; }
  [[nodiscard]] std::size_t Count() const { return mProcesses.size(); }
  [[nodiscard]] const std::string& GetDirectory() const { return mDirectory; }
  [[nodiscard]] std::string ReadLog(std::size_t aIndex) const;

private:
  std::string mDirectory{};
  ProxyThread mProxies{};
  std::unique_ptr<standin::FleetStandin> mPlatform{};
  HttpClient mClient{};
  std::vector<EntryProcess> mProcesses{};
  bool mKeepsFiles = false;
};

}  // namespace monsoon::testing
