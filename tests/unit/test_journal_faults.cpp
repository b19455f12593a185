// Two writers compete for one journal while responses are lost, writes take effect late, the store
// refuses calls, writers are suspended and snapshots delete old values. No acknowledged entry may
// be lost, and no entry may be written twice. Also: compatibility of encoded values between
// versions.
#include <catch2/catch.hpp>

#include <set>
#include <sstream>

#include "core/archive.h"
#include "journal/journal.h"
#include "memory_store.h"

using namespace monsoon;
using namespace monsoon::test;

namespace {

using TestJournal = Journal<MemoryStore>;

struct WriterResults  // results of the writers' Append calls
{
  std::set<std::string> mAcknowledged{};
  std::set<std::string> mRefused{};  // failed for certain: must not be stored
  int mFenced = 0;
};

// Returns all entries of a journal. Its snapshots hold the entries that they cover, one per line.
std::vector<std::string> GetEntries(const JournalState& aState)
{
  std::vector<std::string> entries;
  std::istringstream lines(aState.mSnapshot);
  for (std::string line; std::getline(lines, line);)
    entries.push_back(line);
  for (const JournalEntry& it : aState.mEntries)
    entries.push_back(it.mBytes);
  return entries;
}

std::string Join(const std::vector<std::string>& aEntries)
{
  std::string text;
  for (const std::string& it : aEntries)
    text += it + "\n";
  return text;
}

struct Burst  // concurrent Append calls
{
  int mPending = 0;  // calls that have not returned
};

// One run of two competing writers with faults drawn from a seed.
struct FaultSchedule
{
  MemoryData mData{};
  WriterResults mResults{};
  int mRunning = 0;  // writers
  std::mt19937_64 mRandom;

  explicit FaultSchedule(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  double Pick(double aMax) { return std::uniform_real_distribution<double>(0, aMax)(mRandom); }

  MemoryFaults PickFaults() { return { Pick(0.3), Pick(0.2), Pick(0.2), Pick(0.2), Pick(0.3) }; }

  JournalSettings MakeSettings()
  {
    JournalSettings settings;
    settings.mNow = [this] { return mData.mNow; };
    settings.mInitialBackoff = Duration::zero();
    settings.mMaxBackoff = Duration::zero();
    settings.mResolveFor = milliseconds(30);  // simulated; each call takes 1 ms
    settings.mRetention = milliseconds(200);
    settings.mMaxValueBytes = 60;
    settings.mWriter = mRandom();
    return settings;
  }

  Async<void> AppendOne(TestJournal& aJournal, std::string aId, Burst& aBurst)
  {
    auto at = co_await aJournal.Append(aId);
    if (at.has_value())
      mResults.mAcknowledged.insert(aId);
    else if (at.error().mKind != FailureKind::WriteUnknown)
      mResults.mRefused.insert(aId);
    if (at.has_error() && at.error().mKind == FailureKind::Fenced)
      ++mResults.mFenced;
    --aBurst.mPending;
  }

  Async<void> YieldTurns(std::uint64_t aMax)
  {
    for (std::uint64_t n = mRandom() % aMax; n > 0; --n)
      co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
  }

  // Takes over the journal repeatedly and appends in bursts. Between them the writer is sometimes
  // suspended and sometimes writes a snapshot.
  Async<void> RunWriter(MemoryStore& aStore, std::string aName, int aEntries)
  {
    TestJournal journal(aStore, "jobs", MakeSettings());
    auto executor = co_await asio::this_coro::executor;
    int next = 0;
    for (int term = 0; next < aEntries && term < 400; ++term) {
      auto fenced = co_await journal.ReplayAndFence(aName + " fence " + std::to_string(term));
      if (!fenced)
        continue;
      while (next < aEntries && !journal.IsRefusing()) {
        Burst burst;
        for (std::uint64_t n = 1 + mRandom() % 6; n > 0 && next < aEntries; --n, ++next) {
          ++burst.mPending;
          auto append = AppendOne(journal, aName + " " + std::to_string(next), burst);
          asio::co_spawn(executor, std::move(append), asio::detached);
        }
        while (burst.mPending > 0)
          co_await asio::post(executor, asio::use_awaitable);
        if (mRandom() % 4 == 0)
          co_await YieldTurns(mRandom() % 4 == 0 ? 2000 : 50);
        if (mRandom() % 3 == 0)
          co_await SaveSnapshot(journal);
      }
      co_await YieldTurns(200);
    }
    --mRunning;
  }

  Async<void> SaveSnapshot(TestJournal& aJournal)
  {
    if (aJournal.IsRefusing())
      co_return;
    auto state = co_await aJournal.Replay();
    if (!state || state->mHead == 0)
      co_return;
    [[maybe_unused]] auto written =
      co_await aJournal.WriteSnapshot(state->mHead, Join(GetEntries(*state)));
  }

  // Runs both writers to their end, then replays the journal on a store without faults and returns
  // its entries.
  std::vector<std::string> RunAndReplay()
  {
    MemoryStore first(mData, mRandom());
    MemoryStore second(mData, mRandom());
    first.mFaults = PickFaults();
    second.mFaults = PickFaults();
    asio::io_context context;
    mRunning = 2;
    asio::co_spawn(context, RunWriter(first, "a", 40), asio::detached);
    asio::co_spawn(context, RunWriter(second, "b", 40), asio::detached);
    context.run();
    REQUIRE(mRunning == 0);

    std::vector<std::string> entries;
    MemoryStore clean(mData, 1);
    auto read = [&]() -> Async<void> {
      TestJournal journal(clean, "jobs", MakeSettings());
      auto state = co_await journal.Replay();
      REQUIRE(state.has_value());
      CHECK(state->mCorrupt.empty());
      entries = GetEntries(*state);
    };
    asio::io_context readContext;
    asio::co_spawn(readContext, read, asio::detached);
    readContext.run();
    return entries;
  }
};

}  // namespace

TEST_CASE("no entry is lost or duplicated in 200 seeded fault schedules", "[journal]")
{
  int fenced = 0;
  std::size_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    FaultSchedule schedule(seed);
    const std::vector<std::string> entries = schedule.RunAndReplay();
    const std::set<std::string> stored(entries.begin(), entries.end());
    CHECK(stored.size() == entries.size());  // no duplicates
    for (const std::string& it : schedule.mResults.mAcknowledged)
      if (!stored.contains(it))
        FAIL_CHECK("acknowledged but lost: " << it);
    for (const std::string& it : schedule.mResults.mRefused)
      if (stored.contains(it))
        FAIL_CHECK("refused but stored: " << it);
    fenced += schedule.mResults.mFenced;
    acknowledged += schedule.mResults.mAcknowledged.size();
  }
  CHECK(fenced > 100);  // the writers competed
  CHECK(acknowledged > 4000);
}

TEST_CASE("a value of a newer minor version is read and its unknown fields are kept", "[journal]")
{
  JournalValue value;
  value.mNonce = WriteNonce{ 7, 8 };
  value.mEntries = { "a", "b" };
  value.mExtra = "added by a newer version";
  auto decoded = DecodeValue(EncodeValue(value));
  REQUIRE(decoded.has_value());
  CHECK(decoded->mNonce == value.mNonce);
  CHECK(decoded->mEntries == value.mEntries);
  CHECK(decoded->mExtra == value.mExtra);
}

TEST_CASE("the previous minor version's value is read, another major version is reported",
          "[journal]")
{
  // Version 1.0: nonce and entries in an envelope of version, checksum and body.
  const std::string body =
    EncodeBytes(std::uint64_t(7), std::uint64_t(8), std::vector<std::string>{ "a" });
  const auto seal = [&body](std::uint16_t aMajor) {
    return EncodeBytes(aMajor, std::uint16_t(0), GetChecksum(body), body);
  };
  auto older = DecodeValue(seal(1));
  REQUIRE(older.has_value());
  CHECK(older->mEntries == std::vector<std::string>{ "a" });
  ValueFault fault = ValueFault::Corrupt;
  CHECK(DecodeValue(seal(2), &fault).has_error());
  CHECK(fault == ValueFault::UnknownVersion);
}

TEST_CASE("every flipped bit and every truncation of a value is detected", "[journal]")
{
  JournalValue value;
  value.mEntries = { "entry one", "entry two" };
  const std::string bytes = EncodeValue(value);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK(DecodeValue(std::span(bytes.data(), n)).has_error());
  int undetected = 0;
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string broken = bytes;
    broken[bit / 8] = static_cast<char>(broken[bit / 8] ^ (1 << (bit % 8)));
    auto decoded = DecodeValue(broken);
    if (decoded.has_value() && decoded->mEntries != value.mEntries)
      ++undetected;
  }
  CHECK(undetected == 0);
}
