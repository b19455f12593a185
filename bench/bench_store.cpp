// Store calls, bytes and latency of journal appends, by concurrency, against the stand-in platform
// on a thread of its own.
//   bench_store [--json]
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <thread>

#include <boost/json.hpp>

#include "journal/journal.h"
#include "platform/http_store.h"
#include "platform/store_guard.h"
#include "standin/platform.h"

using namespace monsoon;

namespace {

namespace json = boost::json;
using Guarded = GuardedStore<HttpStore>;

constexpr std::size_t kEntryBytes = 200;

struct Row
{
  int mConcurrency = 0;
  int mAppended = 0;
  int mFailed = 0;
  int mOpen = 0;  // coroutines that still append
  double mSeconds = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mStoredBytes = 0;
  std::vector<double> mLatenciesMs{};  // one per append, sorted at the end
};

double GetQuantile(const Row& aRow, double aQuantile)
{
  if (aRow.mLatenciesMs.empty())
    return 0;
  const auto at = static_cast<std::size_t>(aQuantile * double(aRow.mLatenciesMs.size() - 1));
  return aRow.mLatenciesMs[at];
}

double GetMillis(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

Async<void> AppendMany(Journal<Guarded>& aJournal, int aCount, Row& aRow)
{
  for (int n = 0; n < aCount; ++n) {
    const TimePoint start = BootClock::now();
    auto at = co_await aJournal.Append(std::string(kEntryBytes, 'e'));
    aRow.mLatenciesMs.push_back(GetMillis(BootClock::now() - start));
    ++(at.has_value() ? aRow.mAppended : aRow.mFailed);
  }
  --aRow.mOpen;
}

std::uint64_t CountAll(const Guarded& aStore)
{
  std::uint64_t calls = 0;
  for (const std::uint64_t n : aStore.GetCounts().mCalls)
    calls += n;
  return calls;
}

Async<std::uint64_t> SumStoredBytes(Guarded& aStore, std::string aPrefix)
{
  std::uint64_t bytes = 0;
  std::string after;
  while (true) {
    auto page = co_await aStore.List(aPrefix, after, 32, CallPurpose::Recovery);
    if (!page || page->empty())
      co_return bytes;
    for (const StoreValue& it : *page)
      bytes += it.mKey.size() + it.mValue.size();
    after = page->back().mKey;
  }
}

Async<void> Measure(Guarded& aStore, Row& aRow)
{
  Journal<Guarded> journal(aStore, "bench-" + std::to_string(aRow.mConcurrency));
  auto replayed = co_await journal.Replay();
  if (!replayed)
    co_return;
  auto executor = co_await asio::this_coro::executor;
  const int each = std::max(20, 2000 / aRow.mConcurrency);
  const std::uint64_t callsBefore = CountAll(aStore);
  const TimePoint start = BootClock::now();
  aRow.mOpen = aRow.mConcurrency;
  for (int n = 0; n < aRow.mConcurrency; ++n)
    asio::co_spawn(executor, AppendMany(journal, each, aRow), asio::detached);
  while (aRow.mOpen > 0)
    co_await Sleep(milliseconds(1));
  aRow.mSeconds = GetMillis(BootClock::now() - start) / 1000;
  aRow.mCalls = CountAll(aStore) - callsBefore;
  aRow.mStoredBytes = co_await SumStoredBytes(aStore, journal.GetWatchPrefix());
  std::sort(aRow.mLatenciesMs.begin(), aRow.mLatenciesMs.end());
}

double PerThousand(const Row& aRow, std::uint64_t aCount)
{
  return 1000.0 * double(aCount) / std::max(aRow.mAppended, 1);
}

void PrintTable(const std::vector<Row>& aRows)
{
  std::printf("%11s %8s %6s %13s %13s %10s %8s %8s %8s\n",
              "concurrency",
              "appends",
              "failed",
              "calls/1000",
              "bytes/append",
              "appends/s",
              "p50 ms",
              "p99 ms",
              "max ms");
  for (const Row& it : aRows)
    std::printf("%11d %8d %6d %13.1f %13.1f %10.0f %8.2f %8.2f %8.2f\n",
                it.mConcurrency,
                it.mAppended,
                it.mFailed,
                PerThousand(it, it.mCalls),
                PerThousand(it, it.mStoredBytes) / 1000,
                it.mAppended / it.mSeconds,
                GetQuantile(it, 0.5),
                GetQuantile(it, 0.99),
                GetQuantile(it, 1));
}

void PrintJson(const std::vector<Row>& aRows)
{
  json::array rows;
  for (const Row& it : aRows) {
    json::object row;
    row["concurrency"] = it.mConcurrency;
    row["appended"] = it.mAppended;
    row["failed"] = it.mFailed;
    row["entry_bytes"] = kEntryBytes;
    row["store_calls_per_1000"] = PerThousand(it, it.mCalls);
    row["stored_bytes_per_append"] = PerThousand(it, it.mStoredBytes) / 1000;
    row["appends_per_s"] = it.mAppended / it.mSeconds;
    row["append_ms_p50"] = GetQuantile(it, 0.5);
    row["append_ms_p99"] = GetQuantile(it, 0.99);
    row["append_ms_max"] = GetQuantile(it, 1);
    rows.push_back(std::move(row));
  }
  json::object out;
  out["bench"] = "store";
  out["rows"] = std::move(rows);
  std::printf("%s\n", json::serialize(out).c_str());
}

}  // namespace

int main(int aCount, char** aArguments)
{
  asio::io_context platformContext;
  standin::Platform platform(platformContext);
  const auto port = platform.Listen("127.0.0.1", 0);
  if (!port)
    return 1;
  std::thread platformThread([&] { platformContext.run(); });

  HttpClient client;
  PlatformSettings settings;
  settings.mAddress.mPort = *port;
  HttpStore store(client, settings);
  GuardSettings guard;
  guard.mReadsPerSecond = 1e6;  // the journal is measured, not the rate bound
  guard.mWritesPerSecond = 1e6;
  Guarded guarded(store, guard);

  std::vector<Row> rows;
  for (const int concurrency : { 1, 10, 100, 1000 }) {
    Row row;
    row.mConcurrency = concurrency;
    asio::io_context context(1);
    asio::co_spawn(context, Measure(guarded, row), asio::detached);
    context.run();
    client.Clear();
    rows.push_back(std::move(row));
  }
  platform.Stop();
  platformContext.stop();
  platformThread.join();

  if (aCount > 1 && std::strcmp(aArguments[1], "--json") == 0)
    PrintJson(rows);
  else
    PrintTable(rows);
  return 0;
}
