// HTTP/1.1 client on Beast. Keeps idle connections alive per execution context and address.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/server.h"

namespace monsoon {

struct HttpAddress
{
  std::string mHost = "127.0.0.1";  // IP address
  std::uint16_t mPort = 0;
  auto operator<=>(const HttpAddress&) const = default;
};

inline constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;  // of a response, by default

// How long a call may take, and how much it may return.
struct CallLimits
{
  Duration mDeadline{};  // from the call to the response's end or, with mSilence, to its first part
  // Longest time without a further part of the response once mDeadline is over, for responses that
  // take long on a slow link; zero: mDeadline is that of the whole response.
  Duration mSilence{};
  Duration mLongest{};           // of the whole response, with mSilence
  TimePoint* mPartAt = nullptr;  // set when a part is received and more are to come
  std::size_t mMaxBodyBytes = kMaxBodyBytes;
};

class HttpClient
{
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request and returns its response. EndpointUnreachable: no byte was written.
  // EndpointUnknown or Timeout: the request may have arrived. TooLarge, with mSilence only: it was
  // answered, but the response has more than mMaxBodyBytes, or still came after mLongest. A
  // connection that failed or timed out is closed and never reused. After a timeout the idle
  // connections that have not been answered since the request was sent are closed as well: they may
  // have gone silent with it.
  Async<Result<HttpResponse>> Call(HttpAddress aAddress, HttpRequest aRequest, CallLimits aLimits);
  Async<Result<HttpResponse>> Call(HttpAddress aAddress,
                                   HttpRequest aRequest,
                                   Duration aDeadline,
                                   std::size_t aMaxBodyBytes = kMaxBodyBytes)
  {
    const CallLimits limits{ .mDeadline = aDeadline, .mMaxBodyBytes = aMaxBodyBytes };
    return Call(std::move(aAddress), std::move(aRequest), limits);
  }
  // Drops the idle connections of an execution context that the server has closed. Returns whether
  // there were any, as after a restart of the server.
  bool DropClosed(asio::io_context& aContext, const HttpAddress& aAddress);
  // Closes the idle connections. Call this on shutdown, after the execution contexts have stopped.
  void Clear();

private:
  struct Connection;
  class Deadlines;
  struct ReadLimits;
  using ConnectionPtr = std::unique_ptr<Connection>;
  using PoolKey = std::pair<const void*, HttpAddress>;  // execution context, address
  using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  ConnectionPtr TakeIdle(const PoolKey& aKey);
  void PutIdle(const PoolKey& aKey, ConnectionPtr aConnection);
  void DropUnanswered(const PoolKey& aKey, TimePoint aSince);
  static bool EraseClosed(std::vector<ConnectionPtr>& aConnections);
  std::shared_ptr<Deadlines> GetDeadlines(asio::io_context& aContext);
  Async<Result<ConnectionPtr>> Connect(std::shared_ptr<Deadlines> aDeadlines,
                                       HttpAddress aAddress,
                                       TimePoint aDeadline);
  static Async<boost::system::error_code> Read(Connection& aConnection,
                                               ResponseParser& aParser,
                                               ReadLimits& aLimits);

  std::mutex mLock{};
  std::map<PoolKey, std::vector<ConnectionPtr>> mIdle;
  std::map<const void*, std::weak_ptr<Deadlines>> mDeadlines{};  // of calls in progress, by context
};

// Returns true when the host refuses the connection because nothing listens on the port: the
// process has stopped, as opposed to being unreachable.
Async<bool> IsConnectionRefused(HttpAddress aAddress, Duration aDeadline);

// Parses an address such as "127.0.0.1:8080". Fails with BadInput.
[[nodiscard]] Result<HttpAddress> ParseAddress(std::string_view aText);

}  // namespace monsoon
