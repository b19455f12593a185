#include "app/blocking_call.h"

namespace monsoon {

Result<HttpResponse> CallBlocking(HttpAddress aAddress, HttpRequest aRequest, Duration aTimeout)
{
  asio::io_context context(1);
  HttpClient client;
  Result<HttpResponse> result = MakeFailure(FailureKind::Internal, "no answer");
  asio::co_spawn(
    context,
    [&]() -> Async<void> {
      result = co_await client.Call(aAddress, std::move(aRequest), aTimeout);
    },
    asio::detached);
  context.run();
  client.Clear();
  return result;
}

Result<HttpResponse> GetBlocking(HttpAddress aAddress, const std::string& aTarget)
{
  constexpr Duration kTimeout = seconds(10);
  return CallBlocking(std::move(aAddress), HttpRequest(http::verb::get, aTarget, 11), kTimeout);
}

}  // namespace monsoon
