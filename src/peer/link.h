// Connections between monsoonstage processes: TCP calls matched by number, UDP heartbeats.
// Everything inside runs on one thread; Call hops there and back.
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
  std::string mHost = "127.0.0.1";  // IP number
  std::uint16_t mPort = 0;          // TCP and UDP
};

using PeerHandler =
  std::function<Async<Result<PeerReply>>(ProcessName aFrom, PeerRequest aRequest)>;
using HeartbeatHandler = std::function<void(const Heartbeat& aHeartbeat)>;

class PeerLink
{
public:
  // aPeers are the other processes of the cell, from the settings.
  PeerLink(asio::io_context& aContext,
           ProcessName aSelf,
           ZoneName aZone,
           std::vector<PeerAddress> aPeers);
  ~PeerLink();

  // Handlers run on the link's thread and must not block. Set both before Listen.
  void SetRequestHandler(PeerHandler aHandler);
  void SetHeartbeatHandler(HeartbeatHandler aHandler);
  Result<std::uint16_t> Listen(const std::string& aHost, std::uint16_t aPort);
  void Stop();

  // Satisfies PeerCaller. A call to the process itself goes straight to the handler.
  Async<Result<PeerReply>> Call(ProcessName aTo, PeerRequest aRequest, Duration aDeadline);
  // Fire and forget; lost datagrams are nobody's error.
  void SendHeartbeat(const ProcessName& aTo, const Heartbeat& aHeartbeat);

  [[nodiscard]] std::uint64_t CountCrossZoneBytes() const noexcept;  // sent, TCP and UDP
  [[nodiscard]] std::uint64_t CountSentBytes() const noexcept;       // sent, TCP and UDP

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon
