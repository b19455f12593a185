// An idempotency key is fresh for one call only, whoever asks and whichever answers are lost.
#include <catch2/catch.hpp>

#include "controllers/keys.h"
#include "tests/unit/request_mocks.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

using Keys = KeyController<MockJournal, MockOwnership>;

struct KeyFixture
{
  asio::io_context mContext{ 1 };
  MockJournal mJournal{};
  MockOwnership mOwnership{};
  Keys mKeys{ 0, mJournal, mOwnership };

  KeyFixture() { mOwnership.mShards[0] = { "p1", 1 }; }

  Result<PeerReply> Record(const RequestId& aRequest)
  {
    const KeyRecord record{ "key", aRequest, "p1", seconds(1) };
    return RunUntilDone(mContext, mKeys.Record(record));
  }
  Result<PeerReply> Report(const RequestId& aRequest, KeyState aState)
  {
    const KeyOutcome outcome{ "key", aRequest, aState, 200, "answer" };
    return RunUntilDone(mContext, mKeys.Report(outcome));
  }
  KeyState GetState(const RequestId& aRequest)
  {
    return std::get<KeyReply>(*Record(aRequest)).mState;
  }
};

KeyEntry MakeEntry(ShardTime aAt, KeyState aState = KeyState::InFlight)
{
  KeyEntry entry{ .mAt = aAt, .mKey = "key", .mRequest = "r", .mState = aState };
  entry.mTimeout = seconds(5);
  return entry;
}

KeyState LookUp(const KeyTable& aTable, ShardTime aNow)
{
  return aTable.LookUp({ "key", "other", "p", seconds(1) }, aNow).mState;
}

}  // namespace

TEST_CASE("a key is fresh once, and repeats get its outcome", "[keys]")
{
  KeyFixture it;
  CHECK(it.GetState("a") == KeyState::Fresh);
  CHECK(it.GetState("b") == KeyState::InFlight);
  CHECK(it.Report("b", KeyState::Answered).error().mKind == FailureKind::Conflict);
  REQUIRE(it.Report("a", KeyState::Answered).has_value());
  REQUIRE(it.Report("a", KeyState::Answered).has_value());  // the same report again
  const KeyReply reply = std::get<KeyReply>(*it.Record("b"));
  CHECK(reply.mState == KeyState::Answered);
  CHECK(reply.mBody == "answer");
  CHECK(reply.mStatus == 200);
}

TEST_CASE("a key may be recorded again after a call that did not run, never after an unknown one",
          "[keys]")
{
  KeyFixture it;
  REQUIRE(it.GetState("a") == KeyState::Fresh);
  REQUIRE(it.Report("a", KeyState::NotRun).has_value());
  REQUIRE(it.GetState("b") == KeyState::Fresh);
  CHECK(it.Report("a", KeyState::Answered).has_error());  // the key is held by b now
  REQUIRE(it.Report("b", KeyState::Unknown).has_value());
  CHECK(it.GetState("c") == KeyState::Unknown);
}

TEST_CASE("a key is fresh only after its entry was journaled, and for one of two concurrent calls",
          "[keys]")
{
  KeyFixture it;
  it.mJournal.mDelay = milliseconds(5);
  std::optional<Result<PeerReply>> first;
  asio::co_spawn(
    it.mContext,
    [](Keys& aKeys, std::optional<Result<PeerReply>>& aOut) -> Async<void> {
      const KeyRecord record{ "key", "a", "p1", seconds(1) };
      aOut.emplace(co_await aKeys.Record(record));
    }(it.mKeys, first),
    asio::detached);
  it.mContext.poll();
  CHECK_FALSE(first.has_value());
  CHECK(it.Record("b").error().mKind == FailureKind::Conflict);
  CHECK(it.Record("a").error().mKind == FailureKind::Conflict);  // also for the same call
  it.mContext.restart();
  it.mContext.run();
  REQUIRE(first.has_value());
  CHECK(std::get<KeyReply>(**first).mState == KeyState::Fresh);
  CHECK(it.mJournal.mEntries.size() == 1);
}

TEST_CASE("no key is fresh while the journal fails, is fenced, or the lease is lost", "[keys]")
{
  KeyFixture it;
  it.mJournal.mFail = { FailureKind::StoreUnavailable };
  CHECK(it.Record("a").error().mKind == FailureKind::StoreUnavailable);
  it.mJournal.mFenced = true;
  CHECK(it.Record("a").error().mKind == FailureKind::Fenced);
  it.mOwnership.mLease = false;
  CHECK(it.Record("a").error().mKind == FailureKind::NotOwner);
  CHECK(it.mJournal.mAppends == 2);
}

TEST_CASE("a call whose process died becomes unknown after deadline and lease", "[keys]")
{
  KeyTable table({ .mRetention = seconds(600), .mLease = seconds(10) });
  table.Apply(MakeEntry(seconds(100)));
  CHECK(LookUp(table, seconds(115)) == KeyState::InFlight);
  CHECK(LookUp(table, seconds(116)) == KeyState::Unknown);
  CHECK(table.MakeEntry(KeyRecord{ "key", "other", "p", seconds(1) }, seconds(116)).has_error());
  // A late outcome from the call itself still replaces it.
  auto late = table.MakeEntry(KeyOutcome{ "key", "r", KeyState::Answered, 200, "x" }, seconds(117));
  REQUIRE(late.has_value());
  table.Apply(*late);
  CHECK(LookUp(table, seconds(118)) == KeyState::Answered);
}

TEST_CASE("keys are dropped only by their age", "[keys]")
{
  KeyTable table({ .mRetention = seconds(600), .mLease = seconds(10) });
  table.Apply(MakeEntry(seconds(100)));
  table.Forget(seconds(100 + 5 + 10 + 600));
  CHECK(table.Count() == 1);
  table.Forget(seconds(100 + 5 + 10 + 601));
  CHECK(table.Count() == 0);
}

TEST_CASE("replay and snapshot give the same state and the same last time", "[keys]")
{
  KeyFixture it;
  REQUIRE(it.GetState("a") == KeyState::Fresh);
  REQUIRE(it.Report("a", KeyState::Answered).has_value());
  Keys newOwner{ 0, it.mJournal, it.mOwnership };
  for (const std::string& bytes : it.mJournal.mEntries)
    REQUIRE(newOwner.ApplyEntry(bytes).has_value());
  newOwner.BeginOwning();
  CHECK(newOwner.EncodeSnapshot() == it.mKeys.EncodeSnapshot());
  Keys third{ 0, it.mJournal, it.mOwnership };
  REQUIRE(third.RestoreSnapshot(newOwner.EncodeSnapshot()).has_value());
  CHECK(third.EncodeSnapshot() == newOwner.EncodeSnapshot());
  CHECK(third.GetTable().GetLastTime() == newOwner.GetTable().GetLastTime());
}

TEST_CASE("truncated bytes are corrupt entries, entries with another tag belong to the jobs",
          "[keys]")
{
  const std::string bytes = Encode(MakeEntry(seconds(1), KeyState::Answered));
  CHECK(DecodeKeyEntry(bytes)->mRequest == "r");
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    const auto decoded = DecodeKeyEntry(std::string_view(bytes).substr(0, n));
    REQUIRE(decoded.has_error());
    CHECK(decoded.error().mKind == FailureKind::CorruptEntry);
  }
  KeyFixture it;
  CHECK(it.mKeys.ApplyEntry("jwhatever").error().mKind == FailureKind::NotFound);
  CHECK(it.mKeys.RestoreSnapshot("broken").error().mKind == FailureKind::CorruptEntry);
}
