// HTTP/1.1 client on Beast. Keeps idle connections alive per execution context and address.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>

#include <map>
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

class HttpClient
{
public:
  // Sends a request and returns its response. EndpointUnreachable: no byte was written.
  // EndpointUnknown or Timeout: the request may have arrived. A connection that failed or timed out
  // is closed and never reused.
  Async<Result<HttpResponse>> Call(HttpAddress aAddress,
                                   HttpRequest aRequest,
                                   Duration aDeadline,
                                   std::size_t aMaxBodyBytes = 8 * 1024 * 1024);
  // Drops the idle connections of this execution context that the server has closed. Returns
  // whether there were any, as after a restart of the server.
  Async<bool> DropClosed(HttpAddress aAddress);
  // Closes the idle connections. Call this on shutdown, after the execution contexts have stopped.
  void Clear();

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;
  using PoolKey = std::pair<const void*, HttpAddress>;  // execution context, address

  Stream TakeIdle(const PoolKey& aKey);
  void PutIdle(const PoolKey& aKey, Stream aStream);

  std::mutex mLock{};
  std::map<PoolKey, std::vector<Stream>> mIdle{};
};

// Returns true when the host refuses the connection because nothing listens on the port: the
// process has stopped, as opposed to being unreachable.
Async<bool> IsConnectionRefused(HttpAddress aAddress, Duration aDeadline);

// Parses an address such as "127.0.0.1:8080". Fails with BadInput.
[[nodiscard]] Result<HttpAddress> ParseAddress(std::string_view aText);

}  // namespace monsoon
