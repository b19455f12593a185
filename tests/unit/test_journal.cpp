// Journal on a store in memory: order, fencing, writes with unknown result, snapshots.
#include <catch2/catch.hpp>

#include <set>

#include "journal/journal.h"
#include "memory_store.h"

using namespace monsoon;
using namespace monsoon::test;

namespace {

using TestJournal = Journal<MemoryStore>;
static_assert(Store<MemoryStore>);
static_assert(JournalLike<TestJournal>);

JournalSettings MakeSettings(MemoryData& aData, std::uint64_t aWriter)
{
  JournalSettings settings;
  settings.mNow = [&aData] { return aData.mNow; };
  settings.mInitialBackoff = Duration::zero();
  settings.mMaxBackoff = Duration::zero();
  settings.mWriter = aWriter;
  return settings;
}

// Runs a coroutine to its end; an exception from it fails the test. Don't put a co_await inside a
// Catch2 macro: g++ 12 then runs it more than once.
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

std::vector<std::string> GetBytes(const std::vector<JournalEntry>& aEntries)
{
  std::vector<std::string> bytes;
  for (const JournalEntry& it : aEntries)
    bytes.push_back(it.mBytes);
  return bytes;
}

}  // namespace

TEST_CASE("a replay returns all appended entries in order", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal writer(store, "jobs-0", MakeSettings(data, 1));
    for (int n = 1; n <= 100; ++n) {
      auto at = co_await writer.Append("entry " + std::to_string(n));
      REQUIRE(at.has_value());
      CHECK(*at == Sequence(n));
    }
    TestJournal reader(store, "jobs-0", MakeSettings(data, 2));
    auto state = co_await reader.Replay();
    REQUIRE(state.has_value());
    CHECK(state->mHead == 100);
    REQUIRE(state->mEntries.size() == 100);
    CHECK(state->mEntries[41].mBytes == "entry 42");
    CHECK(state->mCorrupt.empty());
    auto appended = co_await writer.Append("late");
    REQUIRE(appended.has_value());
    auto more = co_await reader.ReadNew();
    REQUIRE(more.has_value());
    CHECK(GetBytes(*more) == std::vector<std::string>{ "late" });
  });
}

TEST_CASE("group commit writes many entries in few values", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  static constexpr int kEntries = 1000;
  int done = 0;
  Run([&]() -> Async<void> {
    TestJournal writer(store, "jobs-0", MakeSettings(data, 1));
    auto executor = co_await asio::this_coro::executor;
    for (int n = 0; n < kEntries; ++n) {
      auto append = [&writer, &done]() -> Async<void> {
        auto at = co_await writer.Append("x");
        done += at.has_value() ? 1 : 0;
      };
      asio::co_spawn(executor, append, asio::detached);
    }
    while (done < kEntries)
      co_await Sleep(milliseconds(1));
    TestJournal reader(store, "jobs-0", MakeSettings(data, 2));
    auto state = co_await reader.Replay();
    REQUIRE(state.has_value());
    CHECK(state->mEntries.size() == kEntries);
  });
  CHECK(data.mCreates <= 3);
}

TEST_CASE("a batch is bounded by the value's size", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  int done = 0;
  Run([&]() -> Async<void> {
    JournalSettings settings = MakeSettings(data, 1);
    settings.mMaxValueBytes = 1000;
    TestJournal writer(store, "jobs-0", settings);
    auto executor = co_await asio::this_coro::executor;
    for (int n = 0; n < 20; ++n) {
      auto append = [&writer, &done]() -> Async<void> {
        auto at = co_await writer.Append(std::string(300, 'x'));
        done += at.has_value() ? 1 : 0;
      };
      asio::co_spawn(executor, append, asio::detached);
    }
    while (done < 20)
      co_await Sleep(milliseconds(1));
    auto large = co_await writer.Append(std::string(1000, 'x'));
    REQUIRE(large.has_error());
    CHECK(large.error().mKind == FailureKind::TooLarge);
  });
  for (const auto& [key, value] : data.mValues)
    CHECK(value.mValue.size() < 1000 + kValueHeadroomBytes);
}

TEST_CASE("a suspended writer is fenced by another writer's fence entry", "[journal]")
{
  MemoryData data;
  MemoryStore oldStore(data, 1);
  MemoryStore newStore(data, 2);
  Run([&]() -> Async<void> {
    TestJournal older(oldStore, "jobs-0", MakeSettings(data, 1));
    TestJournal newer(newStore, "jobs-0", MakeSettings(data, 2));
    auto fenced1 = co_await older.ReplayAndFence("fence 1");
    REQUIRE(fenced1.has_value());
    auto appended = co_await older.Append("a");
    REQUIRE(appended.has_value());
    // The old writer sends the append, but it reaches the store after the new owner's fence entry.
    std::optional<Result<FencedState>> fenced;
    oldStore.mBeforeCreate = [&]() -> Async<void> {
      fenced = co_await newer.ReplayAndFence("fence 2");
    };
    auto late = co_await older.Append("late");
    oldStore.mBeforeCreate = nullptr;
    REQUIRE(fenced->has_value());
    CHECK((*fenced)->mState.mEntries.back().mBytes == "a");
    REQUIRE(late.has_error());
    CHECK(late.error().mKind == FailureKind::Fenced);
    CHECK(older.IsRefusing());
    auto again = co_await older.Append("again");
    REQUIRE(again.has_error());
    CHECK(again.error().mKind == FailureKind::Fenced);
    auto state = co_await newer.Replay();
    CHECK(GetBytes(state->mEntries) == std::vector<std::string>{ "fence 1", "a", "fence 2" });
  });
}

TEST_CASE("a writer that missed a snapshot is fenced although its next key is free", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal older(store, "jobs-0", MakeSettings(data, 1));
    auto appended1 = co_await older.Append("a");
    REQUIRE(appended1.has_value());
    TestJournal newer(store, "jobs-0", MakeSettings(data, 2));
    auto fenced1 = co_await newer.ReplayAndFence("fence");
    REQUIRE(fenced1.has_value());
    auto snapshot1 = co_await newer.WriteSnapshot(2, "a fence");
    REQUIRE(snapshot1.has_value());
    CHECK(data.mValues.contains(MakeValueKey("jobs-0", 2)));  // younger than the retention time
    data.mNow += seconds(121);
    auto appended2 = co_await newer.Append("b");
    REQUIRE(appended2.has_value());
    auto snapshot2 = co_await newer.WriteSnapshot(3, "a fence b");
    REQUIRE(snapshot2.has_value());
    CHECK_FALSE(data.mValues.contains(MakeValueKey("jobs-0", 2)));
    auto late = co_await older.Append("late");
    REQUIRE(late.has_error());
    CHECK(late.error().mKind == FailureKind::Fenced);
    TestJournal reader(store, "jobs-0", MakeSettings(data, 3));
    auto state = co_await reader.Replay();
    REQUIRE(state.has_value());
    CHECK(state->mSnapshot == "a fence b");
    CHECK(state->mHead == 3);
    CHECK(state->mEntries.empty());
  });
}

TEST_CASE("two writers of AppendAt never share a sequence", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal first(store, "config", MakeSettings(data, 1));
    TestJournal second(store, "config", MakeSettings(data, 2));
    auto appended1 = co_await first.AppendAt(1, "one");
    REQUIRE(appended1.has_value());
    auto lost = co_await second.AppendAt(1, "two");
    REQUIRE(lost.has_error());
    CHECK(lost.error().mKind == FailureKind::Conflict);
    auto seen = co_await second.ReadNew();
    REQUIRE(seen.has_value());
    CHECK(GetBytes(*seen) == std::vector<std::string>{ "one" });
    auto appended2 = co_await second.AppendAt(2, "two");
    CHECK(appended2.has_value());
    auto gap = co_await second.AppendAt(9, "gap");
    REQUIRE(gap.has_error());
    CHECK(gap.error().mKind == FailureKind::BadInput);
  });
}

TEST_CASE("an append with unknown result is read back, never written twice", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal writer(store, "jobs-0", MakeSettings(data, 1));
    store.mFaults.mLoseAfterEffect = 1;
    auto at = co_await writer.Append("a");
    REQUIRE(at.has_value());
    CHECK(*at == 1);
    CHECK(data.mCreates == 1);  // the value was read back and not sent again
    store.mFaults.mLoseAfterEffect = 0;
    store.mFaults.mLoseBeforeEffect = 1;
    auto lost = co_await writer.Append("b");
    REQUIRE(lost.has_error());
    CHECK(lost.error().mKind == FailureKind::WriteUnknown);
    store.mFaults.mLoseBeforeEffect = 0;
    auto appended1 = co_await writer.Append("c");
    CHECK(appended1.error().mKind == FailureKind::WriteUnknown);
    auto replayed = co_await writer.Replay();
    REQUIRE(replayed.has_value());
    auto appended2 = co_await writer.Append("c");
    CHECK(appended2.has_value());
  });
}

TEST_CASE("corrupt, unknown and missing values are reported by sequence", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal writer(store, "jobs-0", MakeSettings(data, 1));
    for (int n = 1; n <= 5; ++n) {
      auto appended = co_await writer.Append(std::to_string(n));
      REQUIRE(appended.has_value());
    }
    TestJournal follower(store, "jobs-0", MakeSettings(data, 3));
    data.mValues[MakeValueKey("jobs-0", 2)].mValue.back() ^= 1;
    data.mValues[MakeValueKey("jobs-0", 3)].mValue[1] = 9;  // major version
    data.mValues.erase(MakeValueKey("jobs-0", 4));
    auto more = co_await follower.ReadNew();
    REQUIRE(more.has_error());
    CHECK(more.error().mKind == FailureKind::CorruptEntry);
    CHECK(follower.GetHead() == 0);
    auto state = co_await writer.Replay();
    REQUIRE(state.has_value());
    CHECK(state->mCorrupt == std::vector<Sequence>{ 2, 3, 4 });
    CHECK(GetBytes(state->mEntries) == std::vector<std::string>{ "1", "5" });
    const auto& faults = writer.ListUnreadable();
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].mFault == ValueFault::Corrupt);
    CHECK(faults[1].mFault == ValueFault::UnknownVersion);
    CHECK(faults[2].mFault == ValueFault::Missing);
  });
}

TEST_CASE("a large snapshot is split into parts and joined again", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal writer(store, "jobs-0", MakeSettings(data, 1));
    auto appended1 = co_await writer.Append("a");
    REQUIRE(appended1.has_value());
    const std::string large(2'500'000, 's');
    auto snapshot1 = co_await writer.WriteSnapshot(1, large);
    REQUIRE(snapshot1.has_value());
    auto appended2 = co_await writer.Append("b");
    REQUIRE(appended2.has_value());
    TestJournal reader(store, "jobs-0", MakeSettings(data, 2));
    auto state = co_await reader.Replay();
    REQUIRE(state.has_value());
    CHECK(state->mSnapshotAt == 1);
    CHECK(state->mSnapshot == large);
    CHECK(GetBytes(state->mEntries) == std::vector<std::string>{ "b" });
    for (const auto& [key, value] : data.mValues)
      CHECK(value.mValue.size() <= kMaxStoreValueBytes);
    auto snapshot2 = co_await writer.WriteSnapshot(2, "small");
    REQUIRE(snapshot2.has_value());
    CHECK(data.mValues.size() == 3);  // two recent values and the head; the parts are deleted
  });
}

TEST_CASE("ReadNew of a follower that missed a snapshot fails with Fenced", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal follower(store, "config", MakeSettings(data, 1));
    TestJournal writer(store, "config", MakeSettings(data, 2));
    auto empty = co_await follower.Replay();
    auto appended = co_await writer.Append("a");
    REQUIRE(empty.has_value());
    REQUIRE(appended.has_value());
    auto young = co_await writer.WriteSnapshot(1, "a");
    data.mNow += seconds(121);
    auto more = co_await writer.Append("b");
    auto covered = co_await writer.WriteSnapshot(2, "a b");
    REQUIRE(covered.has_value());
    CHECK(data.mValues.size() == 2);  // the snapshot and the value "b"; "a" is deleted
    auto read = co_await follower.ReadNew();
    REQUIRE(read.has_error());
    CHECK(read.error().mKind == FailureKind::Fenced);
    data.mNow += seconds(121);
    auto again = co_await writer.Append("c");
    auto third = co_await writer.WriteSnapshot(3, "a b c");
    REQUIRE(third.has_value());
    auto state = co_await follower.Replay();
    REQUIRE(state.has_value());
    CHECK(state->mSnapshot == "a b c");
  });
}

TEST_CASE("a replay starts over when a snapshot is written during it", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  MemoryStore slow(data, 2);
  Run([&]() -> Async<void> {
    TestJournal writer(store, "jobs-0", MakeSettings(data, 1));
    for (int n = 0; n < 3; ++n) {
      auto appended = co_await writer.Append("x");
      REQUIRE(appended.has_value());
    }
    auto first = co_await writer.WriteSnapshot(1, "x");
    TestJournal reader(slow, "jobs-0", MakeSettings(data, 2));
    slow.mBeforeList = [&]() -> Async<void> {
      slow.mBeforeList = nullptr;
      data.mNow += seconds(121);
      auto appended = co_await writer.Append("y");
      auto second = co_await writer.WriteSnapshot(4, "xxxy");
      data.mNow += seconds(121);
      auto third = co_await writer.WriteSnapshot(4, "xxxy");
    };
    auto state = co_await reader.Replay();
    REQUIRE(state.has_value());
    CHECK(state->mSnapshot == "xxxy");
    CHECK(state->mHead == 4);
    CHECK(state->mEntries.empty());
    CHECK(state->mCorrupt.empty());
  });
}

TEST_CASE("ReadNew during an append never returns the writer's own entry", "[journal]")
{
  MemoryData data;
  MemoryStore store(data, 1);
  Run([&]() -> Async<void> {
    TestJournal writer(store, "config", MakeSettings(data, 1));
    auto executor = co_await asio::this_coro::executor;
    std::size_t seen = 0;
    for (int n = 1; n <= 50; ++n) {
      bool open = true;
      auto append = [&]() -> Async<void> {
        auto at = co_await writer.AppendAt(Sequence(n), "own");
        REQUIRE(at.has_value());
        open = false;
      };
      asio::co_spawn(executor, append, asio::detached);
      while (open) {
        auto read = co_await writer.ReadNew();
        REQUIRE(read.has_value());
        seen += read->size();
      }
    }
    CHECK(seen == 0);
  });
}
