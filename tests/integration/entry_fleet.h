// Entry processes as separate programs on loopback, against the platform's stand-in. The links to
// the store and between the processes run through proxies that a test can cut or delay.
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
  pid_t mPid = -1;  // not running
  std::unique_ptr<Proxy> mStoreLink{};
  std::unique_ptr<Proxy> mPeerLink{};
};

class EntryFleet
{
public:
  // Starts the stand-in and an entry process for each of aCores, its share of processor cores.
  // Throws std::runtime_error.
  EntryFleet(asio::io_context& aContext,
             const standin::FleetStandinOptions& aPlatform,
             const std::vector<double>& aCores,
             std::string aName);
  ~EntryFleet();  // ends the processes and removes their files, unless KeepFiles was called
  EntryFleet(const EntryFleet&) = delete;
  EntryFleet& operator=(const EntryFleet&) = delete;

  void Start(std::size_t aIndex);
  void End(std::size_t aIndex, int aSignal);     // and waits for its end
  void Signal(std::size_t aIndex, int aSignal);  // does not wait; nothing if it isn't running
  void KeepFiles() { mKeepsFiles = true; }       // for a look at the logs
  Async<Result<HttpResponse>> Call(std::size_t aIndex,
                                   http::verb aVerb,
                                   std::string aTarget,
                                   std::string aBody);

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
