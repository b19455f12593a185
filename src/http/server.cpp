#include "http/server.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <array>
#include <mutex>
#include <set>
#include <tuple>

#include "http/message_text.h"
#include "http/read_deadline.h"
#include "observe/log.h"
#include <sstream>

namespace monsoon {

namespace beast = boost::beast;
namespace json = boost::json;
using asio::ip::tcp;

struct HttpServer::State : std::enable_shared_from_this<State>
{
  HttpLimits mLimits{};
  HttpHandler mHandler{};
  std::vector<asio::io_context*> mContexts{};
  std::unique_ptr<tcp::acceptor> mAcceptor{};
  std::atomic<bool> mStopping = false;
  std::atomic<std::size_t> mInFlight = 0;
  std::atomic<std::size_t> mConnections = 0;

  // Streams that wait for their next request; StopAccepting closes them. Each stream is used only
  // on its own execution context.
  std::mutex mIdleLock{};
  std::set<beast::tcp_stream*> mIdle{};

  Async<void> Accept();
  Async<void> Serve(tcp::socket aSocket);
  bool AddIdle(beast::tcp_stream& aStream);
  void RemoveIdle(beast::tcp_stream& aStream);
};

bool HttpServer::State::AddIdle(beast::tcp_stream& aStream)
{
  std::lock_guard lock(mIdleLock);
  if (mStopping)
    return false;
  mIdle.insert(&aStream);
  return true;
}

void HttpServer::State::RemoveIdle(beast::tcp_stream& aStream)
{
  std::lock_guard lock(mIdleLock);
  mIdle.erase(&aStream);
}

namespace {

// Returns the response to a parse error, or std::nullopt when the connection is closed without one.
std::optional<HttpResponse> MakeParseErrorResponse(const beast::error_code& aError)
{
  if (aError == http::error::body_limit)
    return MakeProblem(http::status::payload_too_large,
                       Outcome::NotRun,
                       MakeFailure(FailureKind::TooLarge, "the body exceeds the limit"));
  if (aError == http::error::header_limit)
    return MakeProblem(http::status::request_header_fields_too_large,
                       Outcome::NotRun,
                       MakeFailure(FailureKind::TooLarge, "the header exceeds the limit"));
  if (aError == beast::error::timeout)
    return MakeProblem(
      http::status::request_timeout,
      Outcome::NotRun,
      MakeFailure(FailureKind::Timeout, "the request did not arrive completely in time"));
  if (aError.category() == http::make_error_code(http::error::bad_method).category() &&
      aError != http::error::end_of_stream && aError != http::error::partial_message)
    return MakeProblem(http::status::bad_request,
                       Outcome::NotRun,
                       MakeFailure(FailureKind::BadInput, aError.message()));
  return std::nullopt;
}

constexpr Duration kLingerTimeout = seconds(1);
constexpr std::size_t kMaxLingerBytes = 1024 * 1024;

// Shuts down sending, then reads and discards input for a while. Closing a socket with unread bytes
// would reset the connection, and the client might never see the response.
Async<void> Linger(beast::tcp_stream& aStream)
{
  boost::system::error_code ignored;
  aStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  aStream.expires_after(kLingerTimeout);
  std::array<char, 4096> buf{};
  for (std::size_t total = 0; total < kMaxLingerBytes;) {
    auto [ec, n] = co_await aStream.async_read_some(asio::buffer(buf), kNoThrow);
    if (ec)
      break;
    total += n;
  }
}

// Decrements a counter on scope exit, also when a handler throws.
class DecrementOnExit
{
public:
  explicit DecrementOnExit(std::atomic<std::size_t>& aCount)
    : mCount(aCount)
  {
  }
  ~DecrementOnExit() { --mCount; }
  DecrementOnExit(const DecrementOnExit&) = delete;
  DecrementOnExit& operator=(const DecrementOnExit&) = delete;

private:
  std::atomic<std::size_t>& mCount;
};

// Calls the handler. A handler that throws is a bug in this program; the client gets a 500
// response.
Async<HttpResponse> CallHandler(const HttpHandler& aHandler,
                                HttpRequest aRequest,
                                const std::string& aPeerAddress)
{
  std::string what;
  try {
    co_return co_await aHandler(std::move(aRequest), aPeerAddress);
  } catch (const std::exception& error) {
    what = error.what();
  }
  Log(LogPart::Http, LogLevel::Error, "handler threw an exception", { { "what", what } });
  co_return MakeProblem(http::status::internal_server_error,
                        Outcome::Unknown,
                        MakeFailure(FailureKind::Internal, "the handler failed"));
}

}  // namespace

// Sends the first half of a response, like an endpoint that dies while it answers: the client gets
// fewer bytes than the header announces.
Async<void> WriteTruncatedResponse(beast::tcp_stream& aStream, HttpResponse aResponse)
{
  aResponse.result(http::status::ok);
  aResponse.prepare_payload();
  std::ostringstream buf;
  buf << aResponse;
  const std::string text = buf.str();
  const asio::const_buffer half(text.data(), text.size() / 2);
  [[maybe_unused]] auto [ec, n] = co_await asio::async_write(aStream, half, kNoThrow);
}

// Returns false if the client has closed the connection or does not read in time.
Async<bool> WriteResponse(beast::tcp_stream& aStream,
                          const HttpResponse& aResponse,
                          Duration aTimeout)
{
  const std::string text = FormatMessage({ aResponse.version() == 10 ? "HTTP/1.0 " : "HTTP/1.1 ",
                                           std::to_string(aResponse.result_int()),
                                           " ",
                                           MakeView(aResponse.reason()) },
                                         aResponse);
  // A response mostly fits into the socket's buffer.
  boost::system::error_code ec;
  const std::size_t written = aStream.socket().write_some(asio::buffer(text), ec);
  if (ec && ec != asio::error::would_block)
    co_return false;
  if (written == text.size())
    co_return true;
  aStream.expires_after(aTimeout);
  std::tie(ec, std::ignore) =
    co_await asio::async_write(aStream, asio::buffer(text) + written, kNoThrow);
  co_return !ec;
}

Async<void> HttpServer::State::Serve(tcp::socket aSocket)
{
  auto self = shared_from_this();
  const DecrementOnExit connection(mConnections);
  boost::system::error_code ignored;
  const auto remote = aSocket.remote_endpoint(ignored);
  const std::string peerAddress = ignored ? std::string() : remote.address().to_string();
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.non_blocking(true, ignored);
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buf;
  ReadDeadline deadline(stream);

  while (!mStopping) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(mLimits.mMaxBodyBytes);
    parser.header_limit(mLimits.mMaxHeaderBytes);

    if (buf.size() == 0) {
      if (!AddIdle(stream))
        break;
      stream.expires_after(mLimits.mIdleTimeout);
      auto [ec, n] = co_await stream.async_read_some(buf.prepare(4096), kNoThrow);
      RemoveIdle(stream);
      if (ec)
        break;
      buf.commit(n);
    }
    stream.expires_never();
    // A request that has been read whole needs no further turn of the event loop.
    boost::system::error_code ec;
    parser.eager(true);
    buf.consume(parser.put(buf.data(), ec));
    if (ec == http::error::need_more)
      ec = {};
    if (!ec && !parser.is_done()) {
      deadline.Start(mLimits.mReadTimeout);
      std::tie(ec, std::ignore) = co_await http::async_read(stream, buf, parser, kNoThrow);
      deadline.Stop();
    }
    if (ec) {
      if (deadline.HasExpired())
        ec = beast::error::timeout;
      if (auto answer = MakeParseErrorResponse(ec)) {
        Log(
          LogPart::Http,
          LogLevel::Info,
          "rejected a request",
          { { "peer", peerAddress }, { "status", answer->result_int() }, { "why", ec.message() } });
        answer->keep_alive(false);
        stream.expires_after(mLimits.mReadTimeout);
        co_await http::async_write(stream, *answer, kNoThrow);
        co_await Linger(stream);
      }
      break;
    }

    ++mInFlight;
    const DecrementOnExit inFlight(mInFlight);
    stream.expires_never();
    HttpRequest request = parser.release();
    const bool keepAlive = request.keep_alive();
    const unsigned version = request.version();
    HttpResponse response = co_await CallHandler(mHandler, std::move(request), peerAddress);
    if (response.result() == kCloseWithoutResponse)
      break;
    if (response.result() == kTruncatedResponse) {
      co_await WriteTruncatedResponse(stream, std::move(response));
      break;
    }
    response.version(version);
    response.keep_alive(keepAlive && !mStopping);
    response.prepare_payload();
    if (!co_await WriteResponse(stream, response, mLimits.mReadTimeout) || !response.keep_alive())
      break;
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

Async<void> HttpServer::State::Accept()
{
  auto self = shared_from_this();
  for (std::size_t next = 0; !mStopping; ++next) {
    asio::io_context& context = *mContexts[next % mContexts.size()];
    auto [ec, socket] = co_await mAcceptor->async_accept(context, kNoThrow);
    if (mStopping)
      break;
    if (ec) {
      co_await Sleep(milliseconds(10));  // usually out of file descriptors; avoids a busy loop
      continue;
    }
    if (mConnections >= mLimits.mMaxConnections) {
      Log(LogPart::Http,
          LogLevel::Warn,
          "closed a connection: too many open connections",
          { { "limit", mLimits.mMaxConnections } });
      continue;
    }
    ++mConnections;
    asio::co_spawn(context, Serve(std::move(socket)), asio::detached);
  }
}

HttpServer::HttpServer(HttpLimits aLimits, HttpHandler aHandler)
  : mState(std::make_shared<State>())
{
  mState->mLimits = aLimits;
  mState->mHandler = std::move(aHandler);
}

HttpServer::~HttpServer()
{
  StopAccepting();
}

Result<std::uint16_t> HttpServer::Listen(const std::string& aHost,
                                         std::uint16_t aPort,
                                         std::vector<asio::io_context*> aContexts)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aHost, ec);
  if (ec)
    return MakeFailure(FailureKind::BadInput, "not an IP address: " + aHost);
  mState->mContexts = std::move(aContexts);
  mState->mAcceptor = std::make_unique<tcp::acceptor>(*mState->mContexts.front());
  const tcp::endpoint endpoint(address, aPort);
  mState->mAcceptor->open(endpoint.protocol(), ec);
  if (!ec)
    mState->mAcceptor->set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    mState->mAcceptor->bind(endpoint, ec);
  if (!ec)
    mState->mAcceptor->listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return MakeFailure(FailureKind::BadInput, "cannot listen on " + aHost + ": " + ec.message());
  const auto port = mState->mAcceptor->local_endpoint(ec).port();
  asio::co_spawn(*mState->mContexts.front(), mState->Accept(), asio::detached);
  return port;
}

void HttpServer::StopAccepting()
{
  if (mState->mStopping.exchange(true))
    return;
  if (mState->mAcceptor) {
    asio::post(mState->mAcceptor->get_executor(), [state = mState] {
      boost::system::error_code ignored;
      state->mAcceptor->close(ignored);
    });
  }
  std::lock_guard lock(mState->mIdleLock);
  for (beast::tcp_stream* stream : mState->mIdle) {
    asio::post(stream->get_executor(), [state = mState, stream] {
      std::lock_guard idle(state->mIdleLock);
      if (state->mIdle.contains(stream))
        stream->cancel();
    });
  }
}

std::size_t HttpServer::CountInFlight() const noexcept
{
  return mState->mInFlight;
}

HttpResponse MakeJsonResponse(http::status aStatus, std::string aBody)
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

HttpResponse MakeProblem(http::status aStatus, Outcome aOutcome, const Failure& aFailure)
{
  json::object problem;
  problem["type"] = "about:blank";
  problem["title"] = std::string(http::obsolete_reason(aStatus));
  problem["status"] = static_cast<unsigned>(aStatus);
  problem["detail"] = aFailure.mDetail;
  problem["reason"] = GetName(aFailure.mKind);
  problem["outcome"] = GetName(aOutcome);
  HttpResponse response = MakeJsonResponse(aStatus, json::serialize(problem));
  response.set(http::field::content_type, "application/problem+json");
  if (aStatus == http::status::service_unavailable || aStatus == http::status::too_many_requests)
    response.set(http::field::retry_after, "1");
  return response;
}

http::status GetStatus(FailureKind aKind) noexcept
{
  switch (aKind) {
    case FailureKind::BadInput:
      return http::status::bad_request;
    case FailureKind::NotFound:
      return http::status::not_found;
    case FailureKind::AlreadyExists:
    case FailureKind::Conflict:
      return http::status::conflict;
    case FailureKind::TooLarge:
      return http::status::payload_too_large;
    case FailureKind::RateLimited:
      return http::status::too_many_requests;
    case FailureKind::NeverFits:
      return http::status::unprocessable_entity;
    case FailureKind::Timeout:
    case FailureKind::EndpointUnknown:
    case FailureKind::PeerUnknown:
      return http::status::gateway_timeout;
    case FailureKind::EndpointRefused:
    case FailureKind::EndpointUnreachable:
      return http::status::bad_gateway;
    case FailureKind::Internal:
    case FailureKind::CorruptEntry:
      return http::status::internal_server_error;
    default:
      return http::status::service_unavailable;
  }
}

}  // namespace monsoon
