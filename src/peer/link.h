// Network link between monsoonstage processes: calls over TCP, whose replies are matched by call
// number, and heartbeats over UDP. All state belongs to the thread of the link's io_context; Call
// switches to that thread and resumes its caller on the caller's executor.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/async.h"
#include "peer/messages.h"

namespace monsoon {

struct PeerAddress
{
  ProcessName mName{};
  ZoneName mZone{};
  std::string mHost = "127.0.0.1";  // IP address
  std::uint16_t mPort = 0;          // of both TCP and UDP
};

using PeerHandler =
  std::function<Async<Result<PeerReply>>(ProcessName aFrom, PeerRequest aRequest)>;
using HeartbeatHandler = std::function<void(const Heartbeat& aHeartbeat)>;

class PeerLink
{
public:
  // aPeers lists the other processes of the cell, from the settings.
  PeerLink(asio::io_context& aContext,
           ProcessName aSelf,
           ZoneName aZone,
           std::vector<PeerAddress> aPeers);
  ~PeerLink();

  // Handlers run on the link's thread and must not block. Set both before Listen.
  void SetRequestHandler(PeerHandler aHandler);
  void SetHeartbeatHandler(HeartbeatHandler aHandler);
  // Opens the TCP and UDP sockets and returns their port. aPort 0 picks a free one.
  Result<std::uint16_t> Listen(const std::string& aHost, std::uint16_t aPort);
  // Closes all sockets; pending and later calls fail.
  void Stop();

  // Calls another process and waits for its reply (concept PeerCaller). A call to this process
  // itself goes straight to the request handler.
  Async<Result<PeerReply>> Call(ProcessName aTo, PeerRequest aRequest, Duration aDeadline);
  // Sends one datagram without confirmation. Errors are ignored: heartbeats may get lost.
  void SendHeartbeat(const ProcessName& aTo, const Heartbeat& aHeartbeat);

  [[nodiscard]] std::uint64_t CountCrossZoneBytes() const noexcept;  // sent, TCP and UDP
  [[nodiscard]] std::uint64_t CountSentBytes() const noexcept;       // sent, TCP and UDP

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon
