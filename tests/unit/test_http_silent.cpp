// Connections that have gone silent: nothing arrives on them, and no end shows.
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <set>

#include "http/client.h"

using namespace monsoon;
using asio::ip::tcp;

namespace {

// Answers each request at once, but "/late" after 300 ms, and nothing on silent connections. Runs
// in the context of its client.
class SilentServer
{
public:
  explicit SilentServer(asio::io_context& aContext)
    : mContext(aContext)
    , mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
  {
    asio::co_spawn(mContext, Accept(), asio::detached);
  }
  [[nodiscard]] HttpAddress GetAddress() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  void Silence()  // the connections that are open now
  {
    for (std::size_t n = 0; n < mAccepted; ++n)
      mSilent.insert(n);
  }
  [[nodiscard]] std::size_t CountAccepted() const { return mAccepted; }
  void Close() { mAcceptor.close(); }

private:
  Async<void> Accept()
  {
    for (;;) {
      auto [ec, socket] = co_await mAcceptor.async_accept(kNoThrow);
      if (ec)
        co_return;
      asio::co_spawn(mContext, Serve(std::move(socket), mAccepted++), asio::detached);
    }
  }
  Async<void> Serve(tcp::socket aSocket, std::size_t aNumber)
  {
    for (std::string text;;) {
      auto [ec, n] = co_await asio::async_read_until(
        aSocket, asio::dynamic_buffer(text), std::string("\r\n\r\n"), kNoThrow);
      if (ec)
        co_return;
      if (text.find(" /late ") != std::string::npos)
        co_await Sleep(milliseconds(300));
      text.erase(0, n);
      if (mSilent.contains(aNumber))
        continue;
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      auto [error, written] = co_await asio::async_write(aSocket, asio::buffer(answer), kNoThrow);
      if (error)
        co_return;
    }
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::size_t mAccepted = 0;
  std::set<std::size_t> mSilent{};
};

Async<bool> IsAnswered(HttpClient& aClient,
                       HttpAddress aAddress,
                       std::string aTarget,
                       Duration aDeadline)
{
  HttpRequest request(http::verb::get, aTarget, 11);
  const auto response = co_await aClient.Call(aAddress, std::move(request), aDeadline);
  co_return response.has_value();
}

// Opens aCount connections, which are idle afterwards.
Async<void> OpenConnections(HttpClient& aClient, HttpAddress aAddress, std::size_t aCount)
{
  std::size_t open = 0;
  for (std::size_t n = 0; n < aCount; ++n)
    asio::co_spawn(co_await asio::this_coro::executor,
                   IsAnswered(aClient, aAddress, "/late", seconds(5)),
                   [&open](std::exception_ptr, bool) { ++open; });
  while (open < aCount)
    co_await Sleep(milliseconds(5));
}

template<class Test>
void Run(asio::io_context& aContext, SilentServer& aServer, HttpClient& aClient, Test aTest)
{
  asio::co_spawn(aContext, aTest(), [&](std::exception_ptr aError) {
    aServer.Close();
    aClient.Clear();
    aContext.stop();
    if (aError)
      std::rethrow_exception(aError);
  });
  aContext.run();
}

}  // namespace

// A process kept an old configuration for 5.9 s: each call waited on the next dead connection.
TEST_CASE("each call waits until its deadline on another connection that has gone silent", "[http]")
{
  asio::io_context context{ 1 };
  SilentServer server(context);
  HttpClient client;
  bool isFirstAnswered = true;
  bool isNextAnswered = false;
  Run(context, server, client, [&]() -> Async<void> {
    co_await OpenConnections(client, server.GetAddress(), 5);
    server.Silence();
    isFirstAnswered = co_await IsAnswered(client, server.GetAddress(), "/", milliseconds(200));
    isNextAnswered = co_await IsAnswered(client, server.GetAddress(), "/", milliseconds(200));
  });
  CHECK_FALSE(isFirstAnswered);
  CHECK(isNextAnswered);
  CHECK(server.CountAccepted() == 6);
}

TEST_CASE("a call that times out closes connections that were answered meanwhile", "[http]")
{
  asio::io_context context{ 1 };
  SilentServer server(context);
  HttpClient client;
  bool isLateAnswered = true;
  bool isAnswered = false;
  Run(context, server, client, [&]() -> Async<void> {
    co_await OpenConnections(client, server.GetAddress(), 2);
    bool isOver = false;
    asio::co_spawn(context,
                   IsAnswered(client, server.GetAddress(), "/late", milliseconds(150)),
                   [&](std::exception_ptr, bool aAnswered) {
                     isLateAnswered = aAnswered;
                     isOver = true;
                   });
    co_await Sleep(milliseconds(50));
    isAnswered = co_await IsAnswered(client, server.GetAddress(), "/", milliseconds(100));
    while (!isOver)
      co_await Sleep(milliseconds(5));
    isAnswered =
      isAnswered && co_await IsAnswered(client, server.GetAddress(), "/", milliseconds(100));
  });
  CHECK_FALSE(isLateAnswered);
  CHECK(isAnswered);
  CHECK(server.CountAccepted() == 2);
}
