// HTTP/1.1 server on Beast, with one acceptor. Each connection stays on one execution context.
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
  std::size_t mMaxBodyBytes = 1024 * 1024;    // larger bodies are answered with 413
  std::uint32_t mMaxHeaderBytes = 16 * 1024;  // larger headers are answered with 431
  std::size_t mMaxConnections = 4096;         // further connections are closed immediately
  Duration mReadTimeout = seconds(10);        // to read a whole request or write a response
  Duration mIdleTimeout = seconds(60);        // between two requests on one connection
};

// When a handler returns this status, the server closes the connection without a response.
inline constexpr http::status kCloseWithoutResponse = http::status::unknown;
// When a handler returns this status, the server sends the first half of a response with status
// 200, then closes the connection. Stand-ins use it to simulate an endpoint that dies while it
// answers.
inline constexpr http::status kTruncatedResponse = static_cast<http::status>(1);

// Called for each complete request; the response is sent on the same connection.
using HttpHandler =
  std::function<Async<HttpResponse>(HttpRequest aRequest, std::string aPeerAddress)>;

class HttpServer
{
public:
  HttpServer(HttpLimits aLimits, HttpHandler aHandler);
  ~HttpServer();

  // Binds the address and accepts connections on aContexts[0]; the connections are distributed
  // round-robin over all contexts. Returns the bound port. Fails with BadInput when the address
  // can't be bound.
  Result<std::uint16_t> Listen(const std::string& aHost,
                               std::uint16_t aPort,
                               std::vector<asio::io_context*> aContexts);
  void StopAccepting();  // closes idle connections; requests in flight are still answered
  [[nodiscard]] std::size_t CountInFlight() const noexcept;  // requests being handled

private:
  struct State;
  std::shared_ptr<State> mState;
};

[[nodiscard]] HttpResponse MakeJsonResponse(http::status aStatus, std::string aBody);
// Returns an RFC 9457 problem with the extra members `outcome` and `reason` (the failure's kind).
[[nodiscard]] HttpResponse MakeProblem(http::status aStatus,
                                       Outcome aOutcome,
                                       const Failure& aFailure);

// Returns the HTTP status for a kind of failure.
[[nodiscard]] http::status GetStatus(FailureKind aKind) noexcept;

}  // namespace monsoon
