#include "peer/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <atomic>
#include <deque>
#include <map>

#include "peer/codec.h"

namespace monsoon {

using asio::ip::tcp;
using asio::ip::udp;

namespace {

enum class FrameKind : char
{
  Request = 1,
  Reply = 2
};

constexpr std::size_t kFrameHeaderBytes = 5;  // payload length (4, big endian), FrameKind (1)
constexpr std::size_t kMaxDatagramBytes = 60 * 1024;
constexpr Duration kConnectTimeout = milliseconds(500);
constexpr std::size_t kMaxQueuedFrames = 10000;  // per connection; beyond it calls fail at once

std::string MakeFrame(FrameKind aKind, const std::string& aPayload)
{
  std::string frame(kFrameHeaderBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<std::uint32_t>(aPayload.size()));
  frame[4] = static_cast<char>(aKind);
  frame += aPayload;
  return frame;
}

// A call that waits for its reply. mTimer expires at the deadline and is cancelled when mResult is
// set.
struct PendingCall
{
  explicit PendingCall(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }
  asio::steady_timer mTimer;
  std::optional<Result<PeerReply>> mResult{};
  bool mWritten = false;  // bytes of the request may have been sent
};

struct OutgoingFrame
{
  std::string mBytes{};
  std::shared_ptr<PendingCall> mCall{};  // null for a reply
};

// One TCP connection, inbound or outbound. One coroutine writes the queued frames in order.
struct Connection
{
  explicit Connection(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mWake(mSocket.get_executor())
  {
    mWake.expires_at(std::chrono::steady_clock::time_point::max());
  }
  tcp::socket mSocket;
  asio::steady_timer mWake;  // cancelled to wake the writer
  std::deque<OutgoingFrame> mQueue{};
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> mCalls{};  // pending, by call number
  bool mOpen = true;
  bool mCrossZone = false;
};

}  // namespace

struct PeerLink::State : std::enable_shared_from_this<State>
{
  explicit State(asio::io_context& aContext)
    : mContext(aContext)
    , mUdp(aContext)
    , mAcceptor(aContext)
  {
  }

  asio::io_context& mContext;
  ProcessName mSelf{};
  ZoneName mZone{};
  std::map<ProcessName, PeerAddress> mPeers{};
  PeerHandler mOnRequest{};
  HeartbeatHandler mOnHeartbeat{};
  udp::socket mUdp;
  tcp::acceptor mAcceptor;
  bool mStopped = false;
  std::uint64_t mNextCall = 1;
  std::map<ProcessName, std::shared_ptr<Connection>> mOutbound{};
  std::vector<std::weak_ptr<Connection>> mInbound{};
  std::atomic<std::uint64_t> mSentBytes = 0;
  std::atomic<std::uint64_t> mCrossZoneBytes = 0;

  Async<void> Accept();
  Async<void> ReceiveDatagrams();
  Async<void> Read(std::shared_ptr<Connection> aConnection);
  Async<void> Write(std::shared_ptr<Connection> aConnection);
  Async<void> HandleRequest(std::shared_ptr<Connection> aConnection, RequestFrame aFrame);
  Async<void> Connect(ProcessName aTo, std::shared_ptr<Connection> aConnection);
  Async<Result<PeerReply>> CallOnContext(ProcessName aTo, PeerRequest aRequest, Duration aDeadline);
  void Push(Connection& aConnection, OutgoingFrame aFrame);
  void Close(Connection& aConnection);
  void CountSent(std::size_t aBytes, bool aCrossZone);
  std::shared_ptr<Connection> FindConnection(const ProcessName& aTo);
};

void PeerLink::State::CountSent(std::size_t aBytes, bool aCrossZone)
{
  mSentBytes += aBytes;
  if (aCrossZone)
    mCrossZoneBytes += aBytes;
}

void PeerLink::State::Push(Connection& aConnection, OutgoingFrame aFrame)
{
  aConnection.mQueue.push_back(std::move(aFrame));
  aConnection.mWake.cancel();
}

// Closes the connection and fails its pending calls: as PeerUnreachable if nothing of the request
// was written, otherwise as PeerUnknown, because the peer may have received it.
void PeerLink::State::Close(Connection& aConnection)
{
  if (!aConnection.mOpen)
    return;
  aConnection.mOpen = false;
  boost::system::error_code ignored;
  aConnection.mSocket.close(ignored);
  aConnection.mWake.cancel();
  for (auto& [id, call] : aConnection.mCalls) {
    const FailureKind kind =
      call->mWritten ? FailureKind::PeerUnknown : FailureKind::PeerUnreachable;
    call->mResult = Result<PeerReply>(MakeFailure(kind, "connection to peer closed"));
    call->mTimer.cancel();
  }
  aConnection.mCalls.clear();
}

Async<void> PeerLink::State::Write(std::shared_ptr<Connection> aConnection)
{
  while (aConnection->mOpen) {
    if (aConnection->mQueue.empty()) {
      [[maybe_unused]] auto [ec] = co_await aConnection->mWake.async_wait(kNoThrow);
      continue;
    }
    // Writes all queued frames at once: fewer packets under load and no added delay when idle.
    std::vector<OutgoingFrame> frames(std::make_move_iterator(aConnection->mQueue.begin()),
                                      std::make_move_iterator(aConnection->mQueue.end()));
    aConnection->mQueue.clear();
    std::vector<asio::const_buffer> buffers;
    for (OutgoingFrame& frame : frames) {
      if (frame.mCall)
        frame.mCall->mWritten = true;
      buffers.push_back(asio::buffer(frame.mBytes));
    }
    auto [ec, n] = co_await asio::async_write(aConnection->mSocket, buffers, kNoThrow);
    CountSent(n, aConnection->mCrossZone);
    if (ec)
      break;
  }
  Close(*aConnection);
}

Async<void> PeerLink::State::HandleRequest(std::shared_ptr<Connection> aConnection,
                                           RequestFrame aFrame)
{
  auto self = shared_from_this();
  ReplyFrame reply;
  reply.mCall = aFrame.mCall;
  auto result = co_await mOnRequest(aFrame.mFrom, std::move(aFrame.mRequest));
  if (result)
    reply.mReply = std::move(*result);
  else
    reply.mFailure = result.error();
  if (!aConnection->mOpen)
    co_return;
  Push(*aConnection, OutgoingFrame{ MakeFrame(FrameKind::Reply, Encode(reply)), nullptr });
}

Async<void> PeerLink::State::Read(std::shared_ptr<Connection> aConnection)
{
  auto self = shared_from_this();
  std::string payload;
  while (aConnection->mOpen) {
    unsigned char header[kFrameHeaderBytes];
    auto [headerError, n] =
      co_await asio::async_read(aConnection->mSocket, asio::buffer(header), kNoThrow);
    if (headerError)
      break;
    const std::uint32_t size = boost::endian::load_big_u32(header);
    if (size > kMaxPeerFrameBytes)
      break;
    payload.resize(size);
    auto [bodyError, m] =
      co_await asio::async_read(aConnection->mSocket, asio::buffer(payload), kNoThrow);
    if (bodyError)
      break;

    if (header[4] == static_cast<unsigned char>(FrameKind::Request)) {
      auto frame = DecodeRequest(payload);
      if (!frame || !mOnRequest)
        break;
      auto peer = mPeers.find(frame->mFrom);
      aConnection->mCrossZone = peer != mPeers.end() && peer->second.mZone != mZone;
      asio::co_spawn(mContext, HandleRequest(aConnection, std::move(*frame)), asio::detached);
      continue;
    }
    auto frame = DecodeReply(payload);
    if (!frame)
      break;
    auto call = aConnection->mCalls.find(frame->mCall);
    if (call == aConnection->mCalls.end())
      continue;  // the call has timed out
    if (frame->mFailure)
      call->second->mResult = Result<PeerReply>(std::move(*frame->mFailure));
    else
      call->second->mResult = Result<PeerReply>(std::move(frame->mReply));
    call->second->mTimer.cancel();
    aConnection->mCalls.erase(call);
  }
  Close(*aConnection);
}

Async<void> PeerLink::State::Accept()
{
  auto self = shared_from_this();
  while (!mStopped) {
    auto [ec, socket] = co_await mAcceptor.async_accept(kNoThrow);
    if (mStopped)
      break;
    if (ec) {
      co_await Sleep(milliseconds(10));
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(std::move(socket));
    std::erase_if(mInbound, [](const auto& aWeak) { return aWeak.expired(); });
    mInbound.push_back(connection);
    asio::co_spawn(mContext, Read(connection), asio::detached);
    asio::co_spawn(mContext, Write(connection), asio::detached);
  }
}

Async<void> PeerLink::State::ReceiveDatagrams()
{
  auto self = shared_from_this();
  std::vector<char> buf(kMaxDatagramBytes);
  udp::endpoint from;
  while (!mStopped) {
    auto [ec, n] = co_await mUdp.async_receive_from(asio::buffer(buf), from, kNoThrow);
    if (mStopped)
      break;
    if (ec)
      continue;  // for example "port unreachable" for a datagram that was sent earlier
    auto heartbeat = DecodeHeartbeat(std::span(buf.data(), n));
    if (heartbeat && mOnHeartbeat)
      mOnHeartbeat(*heartbeat);
  }
}

Async<void> PeerLink::State::Connect(ProcessName aTo, std::shared_ptr<Connection> aConnection)
{
  auto self = shared_from_this();
  const PeerAddress& peer = mPeers.at(aTo);
  asio::steady_timer timer(mContext, kConnectTimeout);
  timer.async_wait([aConnection](const boost::system::error_code& aError) {
    boost::system::error_code ignored;
    if (!aError)
      aConnection->mSocket.close(ignored);
  });
  const tcp::endpoint endpoint(asio::ip::make_address(peer.mHost), peer.mPort);
  auto [ec] = co_await aConnection->mSocket.async_connect(endpoint, kNoThrow);
  timer.cancel();
  if (ec || !aConnection->mOpen) {
    Close(*aConnection);
    co_return;
  }
  boost::system::error_code ignored;
  aConnection->mSocket.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(mContext, Read(aConnection), asio::detached);
  co_await Write(aConnection);
}

std::shared_ptr<Connection> PeerLink::State::FindConnection(const ProcessName& aTo)
{
  auto& connection = mOutbound[aTo];
  if (connection && connection->mOpen)
    return connection;
  connection = std::make_shared<Connection>(tcp::socket(mContext));
  connection->mCrossZone = mPeers.at(aTo).mZone != mZone;
  asio::co_spawn(mContext, Connect(aTo, connection), asio::detached);
  return connection;
}

Async<Result<PeerReply>> PeerLink::State::CallOnContext(ProcessName aTo,
                                                        PeerRequest aRequest,
                                                        Duration aDeadline)
{
  auto self = shared_from_this();
  if (mStopped)
    co_return MakeFailure(FailureKind::PeerUnreachable, "the peer link is stopped");
  if (aTo == mSelf)
    co_return co_await mOnRequest(mSelf, std::move(aRequest));
  if (!mPeers.contains(aTo))
    co_return MakeFailure(FailureKind::PeerUnreachable, "unknown peer process: " + aTo);
  auto connection = FindConnection(aTo);
  if (connection->mQueue.size() >= kMaxQueuedFrames)
    co_return MakeFailure(FailureKind::PeerUnreachable, "send queue full for peer process " + aTo);

  auto call = std::make_shared<PendingCall>(mContext.get_executor());
  RequestFrame frame;
  frame.mCall = mNextCall++;
  frame.mFrom = mSelf;
  frame.mRequest = std::move(aRequest);
  connection->mCalls.emplace(frame.mCall, call);
  Push(*connection, OutgoingFrame{ MakeFrame(FrameKind::Request, Encode(frame)), call });

  call->mTimer.expires_after(aDeadline);
  [[maybe_unused]] auto [ec] = co_await call->mTimer.async_wait(kNoThrow);
  connection->mCalls.erase(frame.mCall);
  if (!call->mResult) {
    // Removes the frame if it is still queued: the caller is told that the peer didn't get it, so
    // it must not be sent later.
    std::erase_if(connection->mQueue,
                  [&](const OutgoingFrame& aFrame) { return aFrame.mCall == call; });
    co_return MakeFailure(call->mWritten ? FailureKind::Timeout : FailureKind::PeerUnreachable,
                          "no reply from " + aTo);
  }
  co_return std::move(*call->mResult);
}

PeerLink::PeerLink(asio::io_context& aContext,
                   ProcessName aSelf,
                   ZoneName aZone,
                   std::vector<PeerAddress> aPeers)
  : mState(std::make_shared<State>(aContext))
{
  mState->mSelf = std::move(aSelf);
  mState->mZone = std::move(aZone);
  for (PeerAddress& peer : aPeers)
    mState->mPeers.emplace(peer.mName, peer);
}

PeerLink::~PeerLink() = default;

void PeerLink::SetRequestHandler(PeerHandler aHandler)
{
  mState->mOnRequest = std::move(aHandler);
}
void PeerLink::SetHeartbeatHandler(HeartbeatHandler aHandler)
{
  mState->mOnHeartbeat = std::move(aHandler);
}

Result<std::uint16_t> PeerLink::Listen(const std::string& aHost, std::uint16_t aPort)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aHost, ec);
  if (ec)
    return MakeFailure(FailureKind::BadInput, "not an IP address: " + aHost);
  const tcp::endpoint endpoint(address, aPort);
  mState->mAcceptor.open(endpoint.protocol(), ec);
  if (!ec)
    mState->mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    mState->mAcceptor.bind(endpoint, ec);
  if (!ec)
    mState->mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return MakeFailure(FailureKind::BadInput, "cannot listen on " + aHost + ": " + ec.message());
  const auto port = mState->mAcceptor.local_endpoint(ec).port();
  const udp::endpoint datagrams(address, port);
  mState->mUdp.open(datagrams.protocol(), ec);
  if (!ec)
    mState->mUdp.bind(datagrams, ec);
  if (ec)
    return MakeFailure(FailureKind::BadInput, "cannot bind UDP on " + aHost + ": " + ec.message());
  asio::co_spawn(mState->mContext, mState->Accept(), asio::detached);
  asio::co_spawn(mState->mContext, mState->ReceiveDatagrams(), asio::detached);
  return port;
}

void PeerLink::Stop()
{
  asio::post(mState->mContext, [state = mState] {
    state->mStopped = true;
    boost::system::error_code ignored;
    state->mAcceptor.close(ignored);
    state->mUdp.close(ignored);
    for (auto& [name, connection] : state->mOutbound)
      state->Close(*connection);
    for (auto& weak : state->mInbound)
      if (auto connection = weak.lock())
        state->Close(*connection);
  });
}

Async<Result<PeerReply>> PeerLink::Call(ProcessName aTo, PeerRequest aRequest, Duration aDeadline)
{
  co_return co_await asio::co_spawn(
    mState->mContext,
    mState->CallOnContext(std::move(aTo), std::move(aRequest), aDeadline),
    asio::use_awaitable);
}

void PeerLink::SendHeartbeat(const ProcessName& aTo, const Heartbeat& aHeartbeat)
{
  asio::post(mState->mContext, [state = mState, to = aTo, bytes = Encode(aHeartbeat)] {
    auto it = state->mPeers.find(to);
    if (it == state->mPeers.end() || state->mStopped)
      return;
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(it->second.mHost, ec);
    if (ec)
      return;
    state->mUdp.send_to(asio::buffer(bytes), udp::endpoint(address, it->second.mPort), 0, ec);
    if (!ec)
      state->CountSent(bytes.size(), it->second.mZone != state->mZone);
  });
}

std::uint64_t PeerLink::CountCrossZoneBytes() const noexcept
{
  return mState->mCrossZoneBytes;
}
std::uint64_t PeerLink::CountSentBytes() const noexcept
{
  return mState->mSentBytes;
}

}  // namespace monsoon
