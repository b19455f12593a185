// HTTP/1.1 server on Beast. One acceptor; each connection stays on one thread.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "core/async.h"

namespace monsoon {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

struct HttpLimits
{
  std::size_t mMaxBodyBytes = 1024 * 1024;    // larger: 413
  std::uint32_t mMaxHeaderBytes = 16 * 1024;  // larger: 431
  std::size_t mMaxConnections = 4096;         // further ones are closed at once
  Duration mReadTimeout = seconds(10);        // a request must have arrived whole by then
  Duration mIdleTimeout = seconds(60);        // between requests of one connection
};

// A handler that returns this status closes the connection without an answer.
inline constexpr http::status kCloseWithoutResponse = http::status::unknown;
// One that returns this status sends half of an answer with status 200, then closes.
inline constexpr http::status kTruncatedResponse = static_cast<http::status>(1);

// Called for each whole request; its answer goes back on the same connection.
using HttpHandler =
  std::function<Async<HttpResponse>(HttpRequest aRequest, std::string aPeerAddress)>;

class HttpServer
{
public:
  HttpServer(HttpLimits aLimits, HttpHandler aHandler);
  ~HttpServer();

  // Binds and starts accepting on aContexts[0]; connections are dealt out over all of them.
  // Fails with BadInput for an address that can't be bound.
  Result<std::uint16_t> Listen(const std::string& aHost,
                               std::uint16_t aPort,
                               std::vector<asio::io_context*> aContexts);
  void StopAccepting();  // idle connections close; requests in flight are answered
  [[nodiscard]] std::size_t CountInFlight() const noexcept;  // requests being handled now

private:
  struct State;
  std::shared_ptr<State> mState;
};

[[nodiscard]] HttpResponse MakeJsonResponse(http::status aStatus, std::string aBody);
// RFC 9457 problem with `outcome` and the typed reason.
[[nodiscard]] HttpResponse MakeProblem(http::status aStatus,
                                       Outcome aOutcome,
                                       const Failure& aFailure);

// Where a failure is answered with which status.
[[nodiscard]] http::status GetStatus(FailureKind aKind) noexcept;

}  // namespace monsoon
