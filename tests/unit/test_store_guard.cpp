// GuardedStore in simulated time: rate limit, retry budget, call counts, reachability.
#include <catch2/catch.hpp>

#include "memory_store.h"
#include "platform/http_store.h"
#include "platform/store_guard.h"

using namespace monsoon;
using namespace monsoon::test;

namespace {

static_assert(Store<GuardedStore<MemoryStore>>);
static_assert(Store<GuardedStore<HttpStore>>);
static_assert(VmList<GuardedStore<HttpStore>>);

struct Fixture
{
  MemoryData mData{};
  MemoryStore mStore{ mData, 1 };
  Duration mSlept{};

  GuardSettings MakeSettings()
  {
    GuardSettings settings;
    settings.mNow = [this] { return mData.mNow; };
    settings.mSleep = [this](Duration aDelay) -> Async<void> {
      mData.mNow += aDelay;
      mSlept += aDelay;
      co_return;
    };
    return settings;
  }

  template<class F>
  void Run(F aBody)
  {
    asio::io_context context;
    std::exception_ptr thrown;
    asio::co_spawn(context, aBody(), [&thrown](std::exception_ptr aThrown) { thrown = aThrown; });
    context.run();
    if (thrown)
      std::rethrow_exception(thrown);
  }
};

}  // namespace

TEST_CASE("the call rate stays below its limit", "[store]")
{
  Fixture fixture;
  GuardSettings settings = fixture.MakeSettings();
  settings.mWritesPerSecond = 10;
  settings.mBurst = milliseconds(500);
  GuardedStore<MemoryStore> store(fixture.mStore, settings);
  const TimePoint start = fixture.mData.mNow;
  fixture.Run([&]() -> Async<void> {
    for (int n = 0; n < 100; ++n) {
      auto written = co_await store.Create("k" + std::to_string(n), "v", CallPurpose::Journal);
      REQUIRE(written.has_value());
    }
  });
  const Duration took = fixture.mData.mNow - start;
  CHECK(took >= milliseconds(9400));  // 100 calls at 10 a second, less a burst of 5
  CHECK(took <= milliseconds(10200));
  CHECK(store.GetCounts().mCalls[std::size_t(CallPurpose::Journal)] == 100);
}

TEST_CASE("a call that would wait too long is refused unsent; session renewals never wait",
          "[store]")
{
  Fixture fixture;
  CallPacer pacer(10, milliseconds(100));
  const TimePoint now = fixture.mData.mNow;
  int taken = 0;
  while (pacer.Reserve(now, seconds(2)))
    ++taken;
  CHECK(taken == 21);  // one at once, then those of the next 2 s

  GuardSettings settings = fixture.MakeSettings();
  settings.mWritesPerSecond = 1;
  settings.mMaxWait = Duration::zero();
  GuardedStore<MemoryStore> store(fixture.mStore, settings);
  fixture.Run([&]() -> Async<void> {
    auto first = co_await store.Create("a", "v", CallPurpose::Journal);
    auto second = co_await store.Create("b", "v", CallPurpose::Journal);
    auto session = co_await store.Create("c", "v", CallPurpose::Session);
    CHECK(first.has_value());
    REQUIRE(second.has_error());
    CHECK(second.error().mKind == FailureKind::BudgetExhausted);
    CHECK(session.has_value());
  });
  CHECK_FALSE(fixture.mData.mValues.contains("b"));
  CHECK(store.GetCounts().mRefused == 1);
}

TEST_CASE("reads are retried under a budget, writes never", "[store]")
{
  Fixture fixture;
  GuardSettings settings = fixture.MakeSettings();
  settings.mMaxRetries = 6;
  settings.mRetriesPerCall = 0;
  GuardedStore<MemoryStore> store(fixture.mStore, settings);
  fixture.mStore.mDown = true;
  fixture.Run([&]() -> Async<void> {
    auto written = co_await store.Create("a", "v", CallPurpose::Journal);
    CHECK(written.has_error());
    CHECK(store.GetCounts().mRetries == 0);
    for (int n = 0; n < 50; ++n) {
      auto read = co_await store.Get("a", CallPurpose::Recovery);
      CHECK(read.has_error());
    }
    CHECK(store.GetCounts().mRetries == 6);
    CHECK(store.GetCounts().mCalls[std::size_t(CallPurpose::Recovery)] == 56);
  });
}

TEST_CASE("reachability follows the store's answers", "[store]")
{
  Fixture fixture;
  GuardedStore<MemoryStore> store(fixture.mStore, fixture.MakeSettings());
  fixture.Run([&]() -> Async<void> {
    [[maybe_unused]] auto first = co_await store.Get("a", CallPurpose::Recovery);
    CHECK(store.IsReachable());
    fixture.mStore.mDown = true;
    [[maybe_unused]] auto failed = co_await store.Create("a", "v", CallPurpose::Journal);
    CHECK(store.IsReachable());  // a single failure is not an outage
    const auto since = store.GetHealth().mFailingSince;
    REQUIRE(since.has_value());
    fixture.mData.mNow += seconds(1);
    CHECK_FALSE(store.IsReachable());
    [[maybe_unused]] auto again = co_await store.Create("a", "v", CallPurpose::Journal);
    CHECK(store.GetHealth().mFailingSince == since);
    fixture.mStore.mDown = false;
    [[maybe_unused]] auto back = co_await store.Create("a", "v", CallPurpose::Journal);
    CHECK(store.IsReachable());
    auto conflict = co_await store.Create("a", "v", CallPurpose::Journal);
    CHECK(conflict.has_error());
    CHECK(store.IsReachable());  // a refusal by the store counts as an answer
  });
}
