// HTTP/1.1 client on Beast with kept-alive connections per thread and address.
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
  std::string mHost = "127.0.0.1";  // IP number
  std::uint16_t mPort = 0;
  auto operator<=>(const HttpAddress&) const = default;
};

class HttpClient
{
public:
  // EndpointUnreachable: no byte was written. EndpointUnknown or Timeout: the request may have
  // arrived. A connection that failed or timed out is closed, never reused.
  Async<Result<HttpResponse>> Call(HttpAddress aAddress,
                                   HttpRequest aRequest,
                                   Duration aDeadline,
                                   std::size_t aMaxBodyBytes = 8 * 1024 * 1024);
  // Closes the idle connections. Call on shutdown after the contexts have stopped.
  void Clear();

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;
  using PoolKey = std::pair<const void*, HttpAddress>;  // execution context, address

  Stream TakeIdle(const PoolKey& aKey);
  void PutIdle(const PoolKey& aKey, Stream aStream);

  std::mutex mLock{};
  std::map<PoolKey, std::vector<Stream>> mIdle{};
};

// True when the machine answers that nothing listens there: the process is gone, and not only out
// of reach.
Async<bool> IsConnectionRefused(HttpAddress aAddress, Duration aDeadline);

// "127.0.0.1:8080" → address. Fails with BadInput.
[[nodiscard]] Result<HttpAddress> ParseAddress(std::string_view aText);

}  // namespace monsoon
