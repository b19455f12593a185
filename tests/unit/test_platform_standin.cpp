// The stand-in platform over HTTP: any bytes, watches, leases, and each fault on command.
#include <catch2/catch.hpp>

#include <thread>

#include "platform/http_store.h"
#include "standin/platform.h"

using namespace monsoon;

namespace {

class PlatformFixture
{
public:
  PlatformFixture()
    : mPlatform(mContext)
  {
    const auto port = mPlatform.Listen("127.0.0.1", 0);
    REQUIRE(port.has_value());
    mSettings.mAddress.mPort = *port;
    mSettings.mCallTimeout = milliseconds(500);
    mStore = std::make_unique<HttpStore>(mClient, mSettings);
  }

  ~PlatformFixture()
  {
    mClient.Clear();
    mPlatform.Stop();
  }

  // Stand-in and client share one context and thread; it stops when the body has ended.
  template<class F>
  void Run(F aBody)
  {
    std::exception_ptr thrown;
    asio::co_spawn(mContext, aBody(*this), [&](std::exception_ptr aThrown) {
      thrown = aThrown;
      mContext.stop();
    });
    mContext.run();
    mContext.restart();
    if (thrown)
      std::rethrow_exception(thrown);
  }

  Async<std::string> Call(http::verb aVerb, std::string aTarget, std::string aBody)
  {
    HttpRequest request(aVerb, aTarget, 11);
    request.body() = std::move(aBody);
    auto response = co_await mClient.Call(mSettings.mAddress, std::move(request), seconds(1));
    co_return response.has_value() ? response->body() : std::string("no answer");
  }

  Async<void> SetFaults(std::string aFaults)
  {
    auto answer = co_await Call(http::verb::put, "/v1/faults", std::move(aFaults));
    REQUIRE(answer == "{}");
  }

  HttpStore& GetStore() { return *mStore; }

private:
  asio::io_context mContext{};
  standin::Platform mPlatform;
  HttpClient mClient{};
  PlatformSettings mSettings{};
  std::unique_ptr<HttpStore> mStore{};
};

FailureKind GetKind(const Failure& aFailure)
{
  return aFailure.mKind;
}

}  // namespace

TEST_CASE("values of any bytes come back as they were written", "[platform]")
{
  PlatformFixture fixture;
  fixture.Run([](PlatformFixture& aFixture) -> Async<void> {
    HttpStore& store = aFixture.GetStore();
    std::string bytes;
    for (int n = 0; n < 1000; ++n)
      bytes.push_back(static_cast<char>(n * 7));
    auto created = co_await store.Create("a/b c", bytes, CallPurpose::Journal);
    REQUIRE(created.has_value());
    auto found = co_await store.Get("a/b c", CallPurpose::Journal);
    REQUIRE(found.has_value());
    REQUIRE(found->has_value());
    CHECK((*found)->mValue == bytes);
    auto listed = co_await store.List("a/", "", 10, CallPurpose::Journal);
    REQUIRE(listed.has_value());
    REQUIRE(listed->size() == 1);
    CHECK(listed->front().mValue == bytes);
    auto watched = co_await store.Watch("a/", *created - 1, seconds(1));
    REQUIRE(watched.has_value());
    REQUIRE(watched->mChanges.size() == 1);
    CHECK(watched->mChanges.front().mValue == bytes);
  });
}

TEST_CASE("an answer lost after the effect leaves the value standing", "[platform]")
{
  PlatformFixture fixture;
  fixture.Run([](PlatformFixture& aFixture) -> Async<void> {
    HttpStore& store = aFixture.GetStore();
    co_await aFixture.SetFaults(R"({"seed": 3, "lose_answers": {"probability": 1}})");
    auto lost = co_await store.Create("k", "v", CallPurpose::Journal);
    REQUIRE(lost.has_error());
    CHECK(GetKind(lost.error()) == FailureKind::WriteUnknown);
    auto found = co_await store.Get("k", CallPurpose::Journal);
    REQUIRE(found.has_value());
    CHECK(found->has_value());
    co_await aFixture.SetFaults("{}");
    auto again = co_await store.Create("k", "v", CallPurpose::Journal);
    REQUIRE(again.has_error());
    CHECK(GetKind(again.error()) == FailureKind::AlreadyExists);
  });
}

TEST_CASE("an outage refuses or hangs without effect, and ends by itself", "[platform]")
{
  PlatformFixture fixture;
  fixture.Run([](PlatformFixture& aFixture) -> Async<void> {
    HttpStore& store = aFixture.GetStore();
    co_await aFixture.SetFaults(R"({"down": {"mode": "refuse"}})");
    auto refused = co_await store.Create("k", "v", CallPurpose::Journal);
    REQUIRE(refused.has_error());
    CHECK(GetKind(refused.error()) == FailureKind::StoreUnavailable);
    co_await aFixture.SetFaults(R"({"down": {"mode": "hang"}})");
    auto hung = co_await store.Create("k", "v", CallPurpose::Journal);
    REQUIRE(hung.has_error());
    CHECK(GetKind(hung.error()) == FailureKind::WriteUnknown);
    co_await aFixture.SetFaults(R"({"down": {"mode": "refuse", "for_ms": 1}})");
    co_await Sleep(milliseconds(5));
    auto found = co_await store.Get("k", CallPurpose::Journal);
    REQUIRE(found.has_value());
    CHECK_FALSE(found->has_value());
  });
}

TEST_CASE("a waiting watch wakes on a change and counts as one call", "[platform]")
{
  PlatformFixture fixture;
  fixture.Run([](PlatformFixture& aFixture) -> Async<void> {
    HttpStore& store = aFixture.GetStore();
    auto executor = co_await asio::this_coro::executor;
    bool woken = false;
    auto watch = [&]() -> Async<void> {
      // Far longer than the test may take: only the change can end it.
      auto batch = co_await store.Watch("w/", 0, std::chrono::hours(1));
      woken = batch.has_value() && batch->mChanges.size() == 1;
    };
    asio::co_spawn(executor, watch, asio::detached);
    std::string stats;
    while (stats.find("\"waiting_watches\":1") == std::string::npos)
      stats = co_await aFixture.Call(http::verb::get, "/v1/stats", "");
    auto other = co_await store.Create("other", "v", CallPurpose::Session);
    auto created = co_await store.Create("w/1", "v", CallPurpose::Journal);
    REQUIRE(other.has_value());
    REQUIRE(created.has_value());
    while (!woken)
      co_await Sleep(milliseconds(1));
    stats = co_await aFixture.Call(http::verb::get, "/v1/stats", "");
    CHECK(stats.find("\"watch\":1") != std::string::npos);
    CHECK(stats.find("\"put\":2") != std::string::npos);
    CHECK(stats.find("\"session\":1") != std::string::npos);
    CHECK(stats.find("\"peak_writes_per_s\":") != std::string::npos);
  });
}

TEST_CASE("watch changes are dropped and replayed on command", "[platform]")
{
  PlatformFixture fixture;
  fixture.Run([](PlatformFixture& aFixture) -> Async<void> {
    HttpStore& store = aFixture.GetStore();
    auto first = co_await store.Create("w/1", "v", CallPurpose::Journal);
    auto second = co_await store.Create("w/2", "v", CallPurpose::Journal);
    REQUIRE(second.has_value());
    co_await aFixture.SetFaults(R"({"watches": {"drop": 1}})");
    auto dropped = co_await store.Watch("w/", *first, Duration::zero());
    REQUIRE(dropped.has_value());
    CHECK(dropped->mChanges.empty());
    co_await aFixture.SetFaults(R"({"watches": {"replay": 1}})");
    auto replayed = co_await store.Watch("w/", *second, Duration::zero());
    REQUIRE(replayed.has_value());
    CHECK(replayed->mChanges.size() == 2);
  });
}

TEST_CASE("calls above the platform's rate are refused", "[platform]")
{
  PlatformFixture fixture;
  fixture.Run([](PlatformFixture& aFixture) -> Async<void> {
    HttpStore& store = aFixture.GetStore();
    co_await aFixture.SetFaults(R"({"rate_limit": {"writes_per_s": 5}})");
    int refused = 0;
    for (int n = 0; n < 40; ++n) {
      auto written = co_await store.Create(std::to_string(n), "v", CallPurpose::Journal);
      refused += written.has_error() ? 1 : 0;
    }
    CHECK(refused > 0);
    auto read = co_await store.Get("0", CallPurpose::Journal);
    CHECK(read.has_value());
  });
}

TEST_CASE("the VM list lags and leases lapse on command", "[platform]")
{
  PlatformFixture fixture;
  fixture.Run([](PlatformFixture& aFixture) -> Async<void> {
    HttpStore& store = aFixture.GetStore();
    co_await aFixture.SetFaults(R"({"vms": {"lag_ms": 3600000}})");
    co_await aFixture.Call(http::verb::put, "/v1/vms/worker-1", R"({"name": "worker-1"})");
    auto lagging = co_await store.ListWorkers();
    REQUIRE(lagging.has_value());
    CHECK(lagging->empty());
    co_await aFixture.SetFaults("{}");
    auto current = co_await store.ListWorkers();
    REQUIRE(current.has_value());
    CHECK(current->size() == 1);

    auto lease = co_await aFixture.Call(http::verb::post, "/v1/leases?ttl_ms=3600000", "");
    CHECK(lease == R"({"lease":1})");
    co_await aFixture.Call(http::verb::put, "/v1/kv/held?create=1&lease=1", "v");
    auto held = co_await store.Get("held", CallPurpose::Session);
    REQUIRE(held.has_value());
    CHECK(held->has_value());
    co_await aFixture.SetFaults(R"({"lapse_leases": true})");
    auto lapsed = co_await store.Get("held", CallPurpose::Session);
    REQUIRE(lapsed.has_value());
    CHECK_FALSE(lapsed->has_value());
  });
}
