#include "http/client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <tuple>

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

// Returns whether an idle connection can still be used. A connection that the server closed is
// readable; a request sent on it would be lost.
bool IsStillOpen(tcp::socket& aSocket)
{
  boost::system::error_code ec;
  aSocket.non_blocking(true, ec);
  char byte = 0;
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

}  // namespace

HttpClient::Stream HttpClient::TakeIdle(const PoolKey& aKey)
{
  std::lock_guard lock(mLock);
  auto it = mIdle.find(aKey);
  if (it == mIdle.end())
    return nullptr;
  while (!it->second.empty()) {
    Stream stream = std::move(it->second.back());
    it->second.pop_back();
    if (IsStillOpen(stream->socket()))
      return stream;
  }
  return nullptr;
}

void HttpClient::PutIdle(const PoolKey& aKey, Stream aStream)
{
  std::lock_guard lock(mLock);
  auto& idle = mIdle[aKey];
  if (idle.size() < kMaxIdlePerAddress)
    idle.push_back(std::move(aStream));
}

Async<bool> HttpClient::DropClosed(HttpAddress aAddress)
{
  auto executor = co_await asio::this_coro::executor;
  const PoolKey key{ &executor.context(), std::move(aAddress) };
  std::lock_guard lock(mLock);
  auto it = mIdle.find(key);
  if (it == mIdle.end())
    co_return false;
  const std::size_t closed =
    std::erase_if(it->second, [](const Stream& aItem) { return !IsStillOpen(aItem->socket()); });
  co_return closed > 0;
}

Async<Result<HttpResponse>> HttpClient::Call(HttpAddress aAddress,
                                             HttpRequest aRequest,
                                             Duration aDeadline,
                                             std::size_t aMaxBodyBytes)
{
  auto executor = co_await asio::this_coro::executor;
  const PoolKey key{ &executor.context(), aAddress };
  const TimePoint deadline = BootClock::now() + aDeadline;

  Stream stream = TakeIdle(key);
  if (!stream) {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(aAddress.mHost, ec);
    if (ec)
      co_return MakeFailure(FailureKind::BadInput, "not an IP address: " + aAddress.mHost);
    for (;;) {
      const Duration left = deadline - BootClock::now();
      stream = std::make_unique<beast::tcp_stream>(executor);
      stream->expires_after(std::clamp<Duration>(left, Duration::zero(), kConnectAttemptTimeout));
      auto [connectError] =
        co_await stream->async_connect(tcp::endpoint(address, aAddress.mPort), kNoThrow);
      if (!connectError)
        break;
      if (connectError != beast::error::timeout || left <= kConnectAttemptTimeout)
        co_return MakeFailure(FailureKind::EndpointUnreachable, connectError.message());
    }
    stream->socket().set_option(tcp::no_delay(true), ec);
  }

  aRequest.set(http::field::host, aAddress.mHost);
  aRequest.keep_alive(true);
  aRequest.prepare_payload();
  stream->expires_after(std::max<Duration>(deadline - BootClock::now(), Duration::zero()));
  auto [writeError, written] = co_await http::async_write(*stream, aRequest, kNoThrow);
  if (writeError) {
    const bool nothingSent = written == 0 && writeError != beast::error::timeout;
    co_return MakeFailure(nothingSent ? FailureKind::EndpointUnreachable
                                      : FailureKind::EndpointUnknown,
                          writeError.message());
  }

  // Each turn of the event loop reads what the buffer has room for, by default 512 bytes.
  beast::flat_buffer buf;
  buf.reserve(kFirstReadBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(aMaxBodyBytes);
  auto [readError, read] = co_await http::async_read_header(*stream, buf, parser, kNoThrow);
  if (!readError && !parser.is_done() && buf.size() > 0) {
    // async_read would take a further turn to parse the part of the body that has been read.
    parser.eager(true);
    buf.consume(parser.put(buf.data(), readError));
    if (readError == http::error::need_more)
      readError = {};
  }
  if (!readError && !parser.is_done()) {
    buf.reserve(static_cast<std::size_t>(
      std::min<std::uint64_t>(kMaxReadBytes, parser.content_length().value_or(kMaxReadBytes))));
    std::tie(readError, read) = co_await http::async_read(*stream, buf, parser, kNoThrow);
  }
  if (readError == beast::error::timeout)
    co_return MakeFailure(FailureKind::Timeout, "no complete response before the deadline");
  if (readError)
    co_return MakeFailure(FailureKind::EndpointUnknown, readError.message());

  HttpResponse response = parser.release();
  // Unexpected bytes after the response mean that the stream is out of sync, so the connection is
  // not reused.
  if (response.keep_alive() && buf.size() == 0) {
    stream->expires_never();
    PutIdle(key, std::move(stream));
  }
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
