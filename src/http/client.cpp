#include "http/client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <tuple>

#include "http/message_text.h"
#include "observe/log.h"

namespace monsoon {

namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxIdlePerAddress = 64;
// The kernel retransmits a lost SYN only after one second; a new connection attempt is faster.
constexpr Duration kConnectAttemptTimeout = milliseconds(250);
// Bytes of a response that are read in one turn of the event loop.
constexpr std::size_t kFirstReadBytes = 4096;
constexpr std::size_t kMaxReadBytes = 64 * 1024;
// A call that follows DropClosed at once need not check its connection again.
constexpr Duration kCheckValidity = milliseconds(1);

using Executor = asio::io_context::executor_type;
std::string FormatRequest(HttpRequest aRequest, const HttpAddress& aAddress)
{
  aRequest.set(http::field::host, aAddress.mHost);
  aRequest.keep_alive(true);
  aRequest.prepare_payload();
  return FormatMessage(
    { MakeView(aRequest.method_string()), " ", MakeView(aRequest.target()), " HTTP/1.1" },
    aRequest);
}

}  // namespace

struct HttpClient::Connection
{
  explicit Connection(asio::io_context& aContext)
    : mSocket(aContext)
  {
  }

  asio::basic_stream_socket<tcp, Executor> mSocket;
  beast::flat_buffer mBuf{};
  TimePoint mCheckedAt{};   // when the server was last seen to keep it open
  TimePoint mAnsweredAt{};  // when a response was last received on it
  bool mIsLate = false;     // the deadline of the present operation has passed
};

// Cancels the operations of connections whose deadlines have passed. One timer serves all calls of
// an execution context: a call that is answered in time neither starts nor cancels one.
class HttpClient::Deadlines : public std::enable_shared_from_this<Deadlines>
{
public:
  // Limits the operations of a connection during its own life.
  class Scope
  {
  public:
    Scope(std::shared_ptr<Deadlines> aDeadlines, TimePoint aDeadline, Connection& aConnection)
      : mDeadlines(std::move(aDeadlines))
    {
      aConnection.mIsLate = false;
      mEntry = mDeadlines->mPending.emplace(aDeadline, &aConnection);
      if (!mDeadlines->mWakesAt || aDeadline < *mDeadlines->mWakesAt)
        mDeadlines->WakeAt(aDeadline);
    }
    ~Scope()
    {
      mDeadlines->mPending.erase(mEntry);
      if (mDeadlines->mPending.empty())
        mDeadlines->Rest();
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

    void Extend(TimePoint aDeadline)  // does not shorten it
    {
      if (aDeadline <= mEntry->first)
        return;
      auto entry = mDeadlines->mPending.extract(mEntry);
      entry.key() = aDeadline;
      mEntry = mDeadlines->mPending.insert(std::move(entry));
    }

  private:
    std::shared_ptr<Deadlines> mDeadlines;
    std::multimap<TimePoint, Connection*>::iterator mEntry{};
  };

  explicit Deadlines(asio::io_context& aContext)
    : mTimer(aContext)
  {
  }

private:
  void WakeAt(TimePoint aTime)
  {
    mWakesAt = aTime;
    mTimer.expires_after(std::max<Duration>(aTime - BootClock::now(), Duration::zero()));
    mTimer.async_wait([weak = weak_from_this(), number = ++mWaits](boost::system::error_code) {
      if (const auto self = weak.lock(); self && self->mWaits == number)
        self->CancelLate();
    });
  }

  // The execution context can end while no call is in progress.
  void Rest()
  {
    mWakesAt.reset();
    ++mWaits;
    mTimer.cancel();
  }

  void CancelLate()
  {
    mWakesAt.reset();
    const auto later = mPending.upper_bound(BootClock::now());
    for (auto it = mPending.begin(); it != later; ++it) {
      boost::system::error_code ignored;
      it->second->mIsLate = true;
      it->second->mSocket.cancel(ignored);
    }
    if (later != mPending.end())
      WakeAt(later->first);
  }

  std::multimap<TimePoint, Connection*> mPending{};
  asio::basic_waitable_timer<std::chrono::steady_clock,
                             asio::wait_traits<std::chrono::steady_clock>,
                             Executor>
    mTimer;
  std::optional<TimePoint> mWakesAt{};  // empty: no wait is in progress
  std::uint64_t mWaits = 0;
};

// Of the parts of a response; see CallLimits.
struct HttpClient::ReadLimits
{
  Deadlines::Scope& mScope;
  Duration mSilence{};
  TimePoint mEnd{};  // of the whole response
  TimePoint* mPartAt = nullptr;
  bool mIsEnded = false;  // parts still came at mEnd
};

// Drops connections that the server has closed. These are readable; a request sent on one would be
// lost. Returns whether there were any.
bool HttpClient::EraseClosed(std::vector<ConnectionPtr>& aConnections)
{
  std::array<pollfd, kMaxIdlePerAddress> states{};
  for (std::size_t n = 0; n < aConnections.size(); ++n)
    states[n] = { aConnections[n]->mSocket.native_handle(), POLLIN, 0 };
  int ready = 0;
  do
    ready = ::poll(states.data(), aConnections.size(), 0);
  while (ready < 0 && errno == EINTR);
  const TimePoint now = BootClock::now();
  for (std::size_t n = aConnections.size(); n-- > 0;) {
    // A failed poll tells nothing of any of them, so none is used.
    if (ready < 0 || states[n].revents != 0)
      aConnections.erase(aConnections.begin() + static_cast<std::ptrdiff_t>(n));
    else
      aConnections[n]->mCheckedAt = now;
  }
  return ready != 0;
}

HttpClient::ConnectionPtr HttpClient::TakeIdle(const PoolKey& aKey)
{
  std::lock_guard lock(mLock);
  auto it = mIdle.find(aKey);
  if (it == mIdle.end() || it->second.empty())
    return nullptr;
  if (BootClock::now() - it->second.back()->mCheckedAt > kCheckValidity)
    EraseClosed(it->second);
  if (it->second.empty())
    return nullptr;
  ConnectionPtr connection = std::move(it->second.back());
  it->second.pop_back();
  return connection;
}

void HttpClient::PutIdle(const PoolKey& aKey, ConnectionPtr aConnection)
{
  if (aConnection->mBuf.capacity() > kFirstReadBytes)
    aConnection->mBuf = {};
  aConnection->mAnsweredAt = BootClock::now();
  std::lock_guard lock(mLock);
  auto& idle = mIdle[aKey];
  if (idle.size() < kMaxIdlePerAddress)
    idle.push_back(std::move(aConnection));
}

// Closes the idle connections on which no response was received since aSince. All connections to a
// server can go silent at once without an end, and each of them would cost a call its deadline.
void HttpClient::DropUnanswered(const PoolKey& aKey, TimePoint aSince)
{
  std::lock_guard lock(mLock);
  const auto it = mIdle.find(aKey);
  if (it == mIdle.end())
    return;
  const std::size_t dropped = std::erase_if(
    it->second, [&](const ConnectionPtr& aItem) { return aItem->mAnsweredAt < aSince; });
  if (dropped > 0)
    Log(LogPart::Http,
        LogLevel::Info,
        "closed idle connections, as a call got no response in time",
        { { "host", aKey.second.mHost }, { "port", aKey.second.mPort }, { "closed", dropped } });
}

std::shared_ptr<HttpClient::Deadlines> HttpClient::GetDeadlines(asio::io_context& aContext)
{
  std::lock_guard lock(mLock);
  std::weak_ptr<Deadlines>& known = mDeadlines[&aContext];
  std::shared_ptr<Deadlines> deadlines = known.lock();
  if (!deadlines) {
    deadlines = std::make_shared<Deadlines>(aContext);
    known = deadlines;
  }
  return deadlines;
}

bool HttpClient::DropClosed(asio::io_context& aContext, const HttpAddress& aAddress)
{
  std::lock_guard lock(mLock);
  auto it = mIdle.find({ &aContext, aAddress });
  return it != mIdle.end() && !it->second.empty() && EraseClosed(it->second);
}

Async<Result<HttpClient::ConnectionPtr>> HttpClient::Connect(std::shared_ptr<Deadlines> aDeadlines,
                                                             HttpAddress aAddress,
                                                             TimePoint aDeadline)
{
  auto executor = co_await asio::this_coro::executor;
  boost::system::error_code ec;
  const auto host = asio::ip::make_address(aAddress.mHost, ec);
  if (ec)
    co_return MakeFailure(FailureKind::BadInput, "not an IP address: " + aAddress.mHost);
  const tcp::endpoint endpoint(host, aAddress.mPort);
  for (;;) {
    const TimePoint now = BootClock::now();
    auto connection =
      std::make_unique<Connection>(static_cast<asio::io_context&>(executor.context()));
    {
      const Deadlines::Scope scope(
        aDeadlines, std::min(aDeadline, now + kConnectAttemptTimeout), *connection);
      std::tie(ec) = co_await connection->mSocket.async_connect(endpoint, kNoThrow);
    }
    if (!ec) {
      connection->mSocket.set_option(tcp::no_delay(true), ec);
      connection->mSocket.non_blocking(true, ec);
      co_return std::move(connection);
    }
    if (!connection->mIsLate || aDeadline - now <= kConnectAttemptTimeout)
      co_return MakeFailure(FailureKind::EndpointUnreachable,
                            connection->mIsLate ? "no connection in time" : ec.message());
  }
}

// Reads a response up to its end. Fails if the deadline passes before the next read.
Async<boost::system::error_code> HttpClient::Read(Connection& aConnection,
                                                  ResponseParser& aParser,
                                                  ReadLimits& aLimits)
{
  aParser.eager(true);
  for (;;) {
    boost::system::error_code ec;
    if (aConnection.mBuf.size() > 0) {
      aConnection.mBuf.consume(aParser.put(aConnection.mBuf.data(), ec));
      if (ec == http::error::need_more)
        ec = {};
      if (ec || aParser.is_done())
        co_return ec;
    }
    if (aConnection.mIsLate)
      co_return beast::error::timeout;
    // Each turn of the event loop reads what the buffer has room for.
    std::size_t room = kFirstReadBytes;
    if (aParser.is_header_done())
      room = static_cast<std::size_t>(
        std::clamp<std::uint64_t>(aParser.content_length_remaining().value_or(kMaxReadBytes),
                                  kFirstReadBytes,
                                  kMaxReadBytes));
    std::size_t n = 0;
    std::tie(ec, n) =
      co_await aConnection.mSocket.async_read_some(aConnection.mBuf.prepare(room), kNoThrow);
    aConnection.mBuf.commit(n);
    if (ec == asio::error::eof && aParser.got_some())
      aParser.put_eof(ec);
    if (ec || aParser.is_done())
      co_return aConnection.mIsLate ? beast::error::timeout : ec;
    if (aLimits.mSilence == Duration::zero())
      continue;
    const TimePoint now = BootClock::now();
    aLimits.mIsEnded = now >= aLimits.mEnd;
    if (aLimits.mIsEnded)
      co_return beast::error::timeout;
    aLimits.mScope.Extend(now + aLimits.mSilence);
    if (aLimits.mPartAt)
      *aLimits.mPartAt = now;
  }
}

Async<Result<HttpResponse>> HttpClient::Call(HttpAddress aAddress,
                                             HttpRequest aRequest,
                                             CallLimits aLimits)
{
  auto executor = co_await asio::this_coro::executor;
  auto& context = static_cast<asio::io_context&>(executor.context());
  const TimePoint sentAt = BootClock::now();
  const TimePoint deadline = sentAt + aLimits.mDeadline;
  const std::shared_ptr<Deadlines> deadlines = GetDeadlines(context);
  const std::string text = FormatRequest(std::move(aRequest), aAddress);
  const PoolKey key{ &context, std::move(aAddress) };

  ConnectionPtr connection = TakeIdle(key);
  if (!connection) {
    auto connected = co_await Connect(deadlines, key.second, deadline);
    if (!connected)
      co_return connected.error();
    connection = std::move(*connected);
  }
  std::optional<Deadlines::Scope> scope(std::in_place, deadlines, deadline, *connection);

  // A request mostly fits into the socket's buffer, and then needs no turn of the event loop.
  boost::system::error_code ec;
  std::size_t written = connection->mSocket.write_some(asio::buffer(text), ec);
  if (ec == asio::error::would_block)
    ec = {};
  if (!ec && written < text.size()) {
    auto [writeError, n] =
      co_await asio::async_write(connection->mSocket, asio::buffer(text) + written, kNoThrow);
    ec = writeError;
    written += n;
  }
  if (ec) {
    const bool nothingSent = written == 0 && !connection->mIsLate;
    co_return MakeFailure(nothingSent ? FailureKind::EndpointUnreachable
                                      : FailureKind::EndpointUnknown,
                          connection->mIsLate ? "not sent in time" : ec.message());
  }

  ResponseParser parser;
  parser.body_limit(aLimits.mMaxBodyBytes);
  ReadLimits limits{ *scope, aLimits.mSilence, sentAt + aLimits.mLongest, aLimits.mPartAt };
  ec = co_await Read(*connection, parser, limits);
  if (limits.mSilence > Duration::zero() && (ec == http::error::body_limit || limits.mIsEnded))
    co_return MakeFailure(FailureKind::TooLarge, "the response is too long");
  if (ec == beast::error::timeout) {
    DropUnanswered(key, sentAt);
    co_return MakeFailure(FailureKind::Timeout, "no complete response before the deadline");
  }
  if (ec)
    co_return MakeFailure(FailureKind::EndpointUnknown, ec.message());

  HttpResponse response = parser.release();
  // Unexpected bytes after the response mean that the stream is out of sync, so the connection is
  // not reused.
  scope.reset();
  if (response.keep_alive() && connection->mBuf.size() == 0)
    PutIdle(key, std::move(connection));
  co_return response;
}

Async<bool> IsConnectionRefused(HttpAddress aAddress, Duration aDeadline)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aAddress.mHost, ec);
  if (ec)
    co_return false;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aDeadline);
  auto [connectError] =
    co_await stream.async_connect(tcp::endpoint(address, aAddress.mPort), kNoThrow);
  co_return connectError == asio::error::connection_refused;
}

HttpClient::HttpClient() = default;

HttpClient::~HttpClient() = default;

void HttpClient::Clear()
{
  std::lock_guard lock(mLock);
  mIdle.clear();
}

Result<HttpAddress> ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos)
    return MakeFailure(FailureKind::BadInput, "expected HOST:PORT");
  HttpAddress address;
  address.mHost = std::string(aText.substr(0, colon));
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), address.mPort);
  if (ec != std::errc() || end != port.data() + port.size())
    return MakeFailure(FailureKind::BadInput, "the port must be a number from 0 to 65535");
  boost::system::error_code error;
  asio::ip::make_address(address.mHost, error);
  if (error)
    return MakeFailure(FailureKind::BadInput, "the host must be an IP address");
  return address;
}

}  // namespace monsoon
