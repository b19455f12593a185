// Cancellations of jobs that are not stored: whose jobs they are for, and for how long.
#include <catch2/catch.hpp>

#include "fleet/cancelled_ids.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr const char* kId = "00000000000000a1";

JobSpec MakeJobOf(std::string aTeam)
{
  JobSpec job;
  job.mId = kId;
  job.mQueue = "q";
  job.mTeam = std::move(aTeam);
  return job;
}

CancelledId MakeCancelled(std::string aTeam, std::string aId = kId)
{
  CancelledId id{ std::move(aId), {} };
  id.mAccess.mSeesAllJobs = aTeam.empty();
  id.mAccess.mTeam = std::move(aTeam);
  return id;
}

// Returns the key under which all ids that are to be stored were stored.
std::string Store(CancelledIds& aIds, TimePoint aAt)
{
  const auto write = aIds.MakeWrite(1, aAt);
  REQUIRE(write.has_value());
  aIds.OnStored(*write);
  return write->mKey;
}

}  // namespace

TEST_CASE("fleet: a cancelled id cancels the jobs of other teams")
{
  CancelledIds ids;
  CHECK_FALSE(ids.Contains(MakeJobOf("red")));
  REQUIRE(ids.Add(MakeCancelled("red"), kStart));
  CHECK(ids.Contains(MakeJobOf("red")));
  CHECK_FALSE(ids.Contains(MakeJobOf("blue")));
  REQUIRE(ids.Add(MakeCancelled(""), kStart));  // where no teams are configured
  CHECK(ids.Contains(MakeJobOf("blue")));
  // Both are stored: neither replaces the other.
  CHECK(ids.MakeWrite(1, kStart)->mRecord.mIds.size() == 2);
}

TEST_CASE("fleet: a cancelled id is forgotten while a write of its job may still be carried out")
{
  CancelledIds ids;
  REQUIRE(ids.Add(MakeCancelled("red"), kStart));
  CHECK_FALSE(ids.IsStored(MakeCancelled("red")));
  const std::string first = Store(ids, kStart);
  CHECK(ids.IsStored(MakeCancelled("red")));
  SECTION("it was cancelled once")
  {
    CHECK(ids.ListExpired(kStart + kLongestWrite).empty());
    const TimePoint later = kStart + kLongestWrite + seconds(10);
    REQUIRE(ids.ListExpired(later) == std::vector<std::string>{ first });
    ids.EraseRecord(first);
    CHECK_FALSE(ids.Contains(MakeJobOf("red")));
    CHECK(ids.ListExpired(later).empty());
  }
  SECTION("it was cancelled again much later")
  {
    const TimePoint again = kStart + seconds(60);
    REQUIRE(ids.Add(MakeCancelled("red"), again));
    CHECK_FALSE(ids.IsStored(MakeCancelled("red")));
    CHECK(Store(ids, again) != first);
    CHECK(ids.ListExpired(again + kLongestWrite) == std::vector<std::string>{ first });
    ids.EraseRecord(first);
    CHECK(ids.Contains(MakeJobOf("red")));
  }
  SECTION("the call was repeated")
  {
    REQUIRE(ids.Add(MakeCancelled("red"), kStart + seconds(1)));
    CHECK(ids.IsStored(MakeCancelled("red")));
    CHECK_FALSE(ids.MakeWrite(1, kStart).has_value());
  }
}

TEST_CASE("fleet: a holder forgets the cancelled ids of the one before")
{
  CancelledIds first;
  REQUIRE(first.Add(MakeCancelled("red"), kStart));
  const auto record =
    DecodeMessage<CancelledIdsRecord>(EncodeMessage(first.MakeWrite(1, kStart)->mRecord));
  REQUIRE(record.has_value());
  CancelledIds second;
  second.AddRecord("monsoon/c/1-0", *record, kStart + seconds(5));
  CHECK(second.IsStored(MakeCancelled("red")));
  CHECK(second.Contains(MakeJobOf("red")));
  CHECK_FALSE(second.Contains(MakeJobOf("blue")));
  CHECK_FALSE(second.MakeWrite(2, kStart).has_value());
}

TEST_CASE("fleet: cancellations of any number of ids are kept")
{
  CancelledIds ids;
  for (std::size_t n = 0; n < kMaxCancelledIds; ++n)
    REQUIRE(ids.Add(MakeCancelled("red", std::to_string(n)), kStart));
  CHECK_FALSE(ids.Add(MakeCancelled("red", "one more"), kStart));
  CHECK(ids.Add(MakeCancelled("red", "7"), kStart));
  // Several records hold them all.
  for (std::size_t n = 0; n < kMaxCancelledIds / kMaxRecordIds; ++n)
    static_cast<void>(Store(ids, kStart));
  CHECK_FALSE(ids.MakeWrite(1, kStart).has_value());
  CHECK(ids.IsStored(MakeCancelled("red", "0")));
}

// The store may carry a write without an answer out after the one that repeated it.
TEST_CASE("fleet: a late write of cancelled ids replaces a later one, which has more of them")
{
  CancelledIds ids;
  REQUIRE(ids.Add(MakeCancelled("red"), kStart));
  const auto first = ids.MakeWrite(1, kStart);
  REQUIRE(ids.Add(MakeCancelled("blue"), kStart));
  const auto second = ids.MakeWrite(1, kStart);
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  CHECK(second->mRecord.mIds.size() == 2);
  CHECK(second->mKey != first->mKey);
  ids.OnStored(*second);
  CHECK(ids.IsStored(MakeCancelled("red")));
  CHECK(ids.IsStored(MakeCancelled("blue")));
  // Both are deleted in the end, whether they were stored or not.
  CHECK(ids.ListExpired(kStart + kLongestWrite + seconds(10)).size() == 2);
}
