#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <pthread.h>

#include <atomic>
#include <csignal>
#include <optional>
#include <thread>

#include "http/client.h"
#include "http/server.h"

using namespace monsoon;
using asio::ip::tcp;

namespace {

// Runs a server on its own thread; tests connect to it with raw sockets.
class Fixture
{
public:
  explicit Fixture(HttpLimits aLimits = {})
    : mServer(aLimits, [](HttpRequest aRequest, std::string) { return Handle(aRequest.target()); })
  {
    mPort = *mServer.Listen("127.0.0.1", 0, { &mContext });
    mThread = std::thread([this] {
      auto work = asio::make_work_guard(mContext);
      mContext.run();
    });
  }
  ~Fixture()
  {
    mServer.StopAccepting();
    mContext.stop();
    mThread.join();
  }

  tcp::socket Connect()
  {
    tcp::socket socket(mClient);
    socket.connect({ asio::ip::address_v4::loopback(), mPort });
    return socket;
  }
  static std::string ReadAll(tcp::socket& aSocket)
  {
    std::string text;
    boost::system::error_code ec;
    asio::read(aSocket, asio::dynamic_buffer(text), ec);
    return text;
  }
  // Sends aBytes and returns everything that the server sends until it closes the connection.
  std::string Send(std::string_view aBytes)
  {
    tcp::socket socket = Connect();
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(aBytes), ec);
    return ReadAll(socket);
  }
  bool IsServing()
  {
    return Send("GET /good HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").find("200 OK") !=
           std::string::npos;
  }
  [[nodiscard]] std::size_t CountInFlight() const { return mServer.CountInFlight(); }

private:
  static Async<HttpResponse> Handle(std::string aTarget)
  {
    if (aTarget == "/throws")
      throw std::runtime_error("on purpose");
    co_return MakeJsonResponse(http::status::ok, "{}");
  }

  asio::io_context mContext{ 1 };
  asio::io_context mClient{ 1 };
  HttpServer mServer;
  std::uint16_t mPort = 0;
  std::thread mThread{};
};

// Counts the turns of an event loop from now on.
void CountTurns(asio::io_context& aContext, std::size_t& aTurns)
{
  asio::post(aContext, [&aContext, &aTurns] {
    ++aTurns;
    CountTurns(aContext, aTurns);
  });
}

}  // namespace

TEST_CASE("malformed requests are answered with 400, and the server keeps serving", "[http]")
{
  Fixture fixture;
  CHECK(fixture.Send("nonsense\r\n\r\n").find("HTTP/1.1 400") == 0);
  CHECK(fixture.Send("GET / HTTP/9.9\r\n\r\n").find("HTTP/1.1 400") == 0);
  CHECK(fixture.Send("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
          .find("HTTP/1.1 400") == 0);
  CHECK(fixture.Send("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n").find("HTTP/1.1 400") == 0);
  CHECK(fixture.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
          .find("HTTP/1.1 400") == 0);
  CHECK(fixture.Send("GET / HTTP/1.1\r\nbad header\r\n\r\n").find("HTTP/1.1 400") == 0);
  CHECK(fixture.IsServing());
}

TEST_CASE("bodies and headers above the limits are refused", "[http]")
{
  Fixture fixture({ .mMaxBodyBytes = 1000, .mMaxHeaderBytes = 500 });
  const std::string body(200'000, 'x');
  CHECK(
    fixture.Send("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + body).find("HTTP/1.1 413") ==
    0);
  CHECK(fixture.Send("GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n")
          .find("HTTP/1.1 431") == 0);
  CHECK(fixture.IsServing());
}

TEST_CASE("slow senders are timed out", "[http]")
{
  Fixture fixture({ .mReadTimeout = milliseconds(50), .mIdleTimeout = milliseconds(50) });
  CHECK(fixture.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc").find("HTTP/1.1 408") == 0);
  CHECK(fixture.Send("GET / HTTP/1.1\r\nHos").find("HTTP/1.1 408") == 0);
  CHECK(fixture.Send("").empty());
  CHECK(fixture.IsServing());
}

TEST_CASE("connections above the limit are closed until others have ended", "[http]")
{
  Fixture fixture({ .mMaxConnections = 2 });
  {
    tcp::socket first = fixture.Connect();
    tcp::socket second = fixture.Connect();
    tcp::socket third = fixture.Connect();
    CHECK(Fixture::ReadAll(third).empty());
  }
  bool serving = false;
  for (int i = 0; i < 1000 && !serving; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
    serving = fixture.IsServing();
  }
  CHECK(serving);
}

TEST_CASE("a handler that throws gives a 500 response and leaves no request in flight", "[http]")
{
  Fixture fixture;
  const std::string answer =
    fixture.Send("GET /throws HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(answer.find("HTTP/1.1 500") == 0);
  CHECK(answer.find("\"outcome\":\"unknown\"") != std::string::npos);
  CHECK(fixture.CountInFlight() == 0);
  CHECK(fixture.IsServing());
}

// While a process is busy, each turn of its event loop takes long.
TEST_CASE("a large response takes a turn of the event loop for each 512 bytes", "[http]")
{
  constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;
  constexpr std::size_t kMinBytesPerTurn = 8 * 1024;
  asio::io_context context{ 1 };
  HttpServer server({}, [](HttpRequest, std::string) -> Async<HttpResponse> {
    co_return MakeJsonResponse(http::status::ok, std::string(kBodyBytes, 'x'));
  });
  const std::uint16_t port = *server.Listen("127.0.0.1", 0, { &context });
  HttpClient client;
  std::size_t turns = 0;
  std::optional<Result<HttpResponse>> response;
  asio::co_spawn(
    context,
    client.Call({ "127.0.0.1", port }, HttpRequest(http::verb::get, "/large", 11), seconds(30)),
    [&](std::exception_ptr, Result<HttpResponse> aResponse) {
      response = std::move(aResponse);
      server.StopAccepting();
      context.stop();
    });
  CountTurns(context, turns);
  context.run();
  client.Clear();
  REQUIRE(response.has_value());
  REQUIRE(response->has_value());
  CHECK((*response)->body().size() == kBodyBytes);
  INFO("turns: " << turns);
  CHECK(turns <= kBodyBytes / kMinBytesPerTurn);
}

TEST_CASE("a signal makes open connections count as closed", "[http]")
{
  asio::io_context context{ 1 };
  HttpServer server({}, [](HttpRequest, std::string) -> Async<HttpResponse> {
    co_return MakeJsonResponse(http::status::ok, "{}");
  });
  const HttpAddress address{ "127.0.0.1", *server.Listen("127.0.0.1", 0, { &context }) };
  HttpClient client;
  bool isAnswered = false;
  asio::co_spawn(context,
                 client.Call(address, HttpRequest(http::verb::get, "/", 11), seconds(30)),
                 [&](std::exception_ptr, const Result<HttpResponse>& aResponse) {
                   isAnswered = aResponse.has_value();
                   context.stop();
                 });
  context.run();
  REQUIRE(isAnswered);

  struct sigaction action = {};
  struct sigaction former = {};
  action.sa_handler = [](int) {};
  REQUIRE(sigaction(SIGUSR1, &action, &former) == 0);
  std::atomic<bool> isOver = false;
  std::thread signals([&isOver, checking = pthread_self()] {
    while (!isOver) {
      pthread_kill(checking, SIGUSR1);
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
  });
  std::size_t closed = 0;
  for (int n = 0; n < 200'000; ++n)
    closed += client.DropClosed(context, address) ? 1 : 0;
  isOver = true;
  signals.join();
  sigaction(SIGUSR1, &former, nullptr);
  client.Clear();
  CHECK(closed == 0);
}

TEST_CASE("a small response takes more turns of the event loop than one without a body", "[http]")
{
  constexpr std::size_t kCalls = 200;
  constexpr std::size_t kTurnsPerCall = 2;  // the request and the response; also without a body
  constexpr std::size_t kTurnsToConnect = 10;
  asio::io_context context{ 1 };
  const std::size_t bodyBytes = GENERATE(0, 100, 2000);
  HttpServer server({}, [=](HttpRequest, std::string) -> Async<HttpResponse> {
    co_return MakeJsonResponse(http::status::ok, std::string(bodyBytes, 'x'));
  });
  const std::uint16_t port = *server.Listen("127.0.0.1", 0, { &context });
  HttpClient client;
  std::size_t turns = 0;
  std::size_t answered = 0;
  asio::co_spawn(
    context,
    [&]() -> Async<void> {
      for (std::size_t n = 0; n < kCalls; ++n) {
        HttpAddress address{ "127.0.0.1", port };
        HttpRequest request(http::verb::get, "/small", 11);
        const auto response = co_await client.Call(address, std::move(request), seconds(30));
        answered += response && response->body().size() == bodyBytes ? 1 : 0;
      }
    },
    [&](std::exception_ptr) {
      server.StopAccepting();
      context.stop();
    });
  CountTurns(context, turns);
  context.run();
  client.Clear();
  CHECK(answered == kCalls);
  INFO("body " << bodyBytes << ": " << double(turns) / kCalls << " turns a call");
  CHECK(turns <= kCalls * kTurnsPerCall + kTurnsToConnect);
}

namespace {

// Calls a server that sends the parts of a response, each in a write of its own, and then closes.
Result<HttpResponse> CallRawServer(std::vector<std::string> aParts, std::size_t aMaxBodyBytes)
{
  asio::io_context context{ 1 };
  asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  std::thread server([&] {
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    acceptor.accept(socket);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    for (const std::string& it : aParts) {
      boost::system::error_code ignored;
      asio::write(socket, asio::buffer(it), ignored);
      std::this_thread::sleep_for(milliseconds(20));
    }
  });
  HttpClient client;
  std::optional<Result<HttpResponse>> response;
  HttpAddress address{ "127.0.0.1", acceptor.local_endpoint().port() };
  asio::co_spawn(
    context,
    client.Call(address, HttpRequest(http::verb::get, "/", 11), milliseconds(500), aMaxBodyBytes),
    [&](std::exception_ptr, Result<HttpResponse> aResponse) { response = std::move(aResponse); });
  context.run();
  client.Clear();
  server.join();
  return std::move(*response);
}

}  // namespace

TEST_CASE("a response is cut where its parts arrive apart", "[http]")
{
  const std::string body(10'000, 'x');
  std::string text;
  std::string expected = body;
  const int kind = GENERATE(0, 1, 2, 3, 4);
  if (kind == 0)  // closed at its end
    text = "HTTP/1.1 200 OK\r\n\r\n" + body;
  else if (kind == 1)
    text = "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n" + body;
  else if (kind == 2)
    text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n" + body + "\r\n0\r\n\r\n";
  else if (kind == 3)
    text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  else
    text = "HTTP/1.1 204 No Content\r\n\r\n";
  if (kind >= 3)
    expected.clear();
  const std::size_t cut = GENERATE(1, 30, 48, 60, 5000, 100'000);
  const std::size_t at = std::min(cut, text.size());
  const auto response = CallRawServer({ text.substr(0, at), text.substr(at) }, 20'000);
  INFO("kind " << kind << " cut at " << at);
  REQUIRE(response.has_value());
  CHECK(response->body() == expected);
}

TEST_CASE("a response above the limit is accepted", "[http]")
{
  const bool isChunked = GENERATE(false, true);
  const std::string body(10'000, 'x');
  const auto response =
    CallRawServer({ isChunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n" +
                                  body + "\r\n0\r\n\r\n"
                              : "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n" + body },
                  5'000);
  CHECK_FALSE(response.has_value());
}

TEST_CASE("a response that ends early is taken for complete", "[http]")
{
  const auto response =
    CallRawServer({ "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + std::string(99, 'x') }, 200);
  CHECK_FALSE(response.has_value());
}
