// Responses that arrive in parts, over a link that is slow.
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/client.h"

using namespace monsoon;
using asio::ip::tcp;

namespace {

constexpr std::size_t kParts = 20;
constexpr std::size_t kPartBytes = 1000;
constexpr Duration kPause = milliseconds(20);  // before each part

struct SlowCall
{
  Result<HttpResponse> mResponse = MakeFailure(FailureKind::Internal);
  Duration mTook{};
};

// Answers one request with parts, of which the last ones may never come.
Async<void> ServeParts(tcp::acceptor& aAcceptor, std::size_t aSent)
{
  auto [acceptError, socket] = co_await aAcceptor.async_accept(kNoThrow);
  std::string text;
  co_await asio::async_read_until(
    socket, asio::dynamic_buffer(text), std::string("\r\n\r\n"), kNoThrow);
  std::string part =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kParts * kPartBytes) + "\r\n\r\n";
  for (std::size_t n = 0; n <= aSent; ++n) {
    auto [ec, written] = co_await asio::async_write(socket, asio::buffer(part), kNoThrow);
    if (ec)
      co_return;
    co_await Sleep(kPause);
    part.assign(kPartBytes, 'x');
  }
  text.clear();
  co_await asio::async_read_until(
    socket, asio::dynamic_buffer(text), std::string("\r\n\r\n"), kNoThrow);  // until it is closed
}

SlowCall CallSlowly(CallLimits aLimits, std::size_t aSent = kParts)
{
  asio::io_context context{ 1 };
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  HttpClient client;
  SlowCall call;
  asio::co_spawn(context, ServeParts(acceptor, aSent), asio::detached);
  asio::co_spawn(
    context,
    [&]() -> Async<void> {
      const HttpAddress address{ "127.0.0.1", acceptor.local_endpoint().port() };
      const TimePoint startedAt = BootClock::now();
      HttpRequest request(http::verb::get, "/", 11);
      call.mResponse = co_await client.Call(address, std::move(request), aLimits);
      call.mTook = BootClock::now() - startedAt;
      context.stop();
    },
    asio::detached);
  context.run();
  client.Clear();
  return call;
}

// Of a response that takes kParts * kPause, 400 ms.
constexpr CallLimits kLimits{ .mDeadline = milliseconds(150),
                              .mSilence = milliseconds(150),
                              .mLongest = seconds(10) };

}  // namespace

TEST_CASE("a response that keeps coming is cut off at the deadline for its first part", "[http]")
{
  const SlowCall call = CallSlowly(kLimits);
  REQUIRE(call.mResponse.has_value());
  CHECK(call.mResponse->body().size() == kParts * kPartBytes);
}

TEST_CASE("a response whose parts stop coming is waited for", "[http]")
{
  const SlowCall call = CallSlowly(kLimits, kParts / 2);
  REQUIRE_FALSE(call.mResponse.has_value());
  CHECK(call.mResponse.error().mKind == FailureKind::Timeout);
  CHECK(call.mTook < seconds(2));
}

TEST_CASE("a call whose deadline is that of the whole response waits for its parts", "[http]")
{
  const SlowCall call = CallSlowly({ .mDeadline = milliseconds(150) });
  REQUIRE_FALSE(call.mResponse.has_value());
  CHECK(call.mResponse.error().mKind == FailureKind::Timeout);
}

TEST_CASE("a response that is too long is read to its end", "[http]")
{
  CallLimits limits = kLimits;
  SECTION("its size is")
  {
    limits.mMaxBodyBytes = kParts * kPartBytes - 1;
  }
  SECTION("its time is")
  {
    limits.mLongest = milliseconds(200);
  }
  const SlowCall call = CallSlowly(limits);
  REQUIRE_FALSE(call.mResponse.has_value());
  CHECK(call.mResponse.error().mKind == FailureKind::TooLarge);
}
