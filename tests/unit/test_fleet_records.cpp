// Records of workers, by which a new holder finds the workers that may run tasks.
#include <catch2/catch.hpp>

#include "fleet/worker_records.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr std::size_t kManyEntries = 31;

using Revisions = std::vector<std::pair<std::string, std::uint64_t>>;

WorkerEntry MakeEntry()
{
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "10.0.0.1:80";
  entry.mService = "pool";
  return entry;
}

void ListAnsweringWorker(Scheduler& aScheduler, const WorkerEntry& aEntry, TimePoint aAt)
{
  aScheduler.ListWorker(aEntry, false, aAt);
  aScheduler.OnReport(aEntry.mId, {}, aAt, aAt);
}

}  // namespace

TEST_CASE("fleet: a delete that the store applies late removes the record of a worker that is back")
{
  Scheduler scheduler({ .mEpoch = 1 });
  WorkerRecords records;
  ListAnsweringWorker(scheduler, MakeEntry(), kStart);
  const RecordPlan first = records.Plan(scheduler, kManyEntries);
  REQUIRE(first.mWrites.contains("w0"));
  CHECK(first.mConditions == Revisions{ { "w0", 0 } });
  records.OnCommitted(first, 5, scheduler);
  CHECK(records.Plan(scheduler, kManyEntries).IsEmpty());

  // It is gone for good, and the answer to the delete is lost.
  scheduler.OnSilence("w0", kStart + seconds(1));
  scheduler.UnlistWorker("w0", kStart + seconds(1));
  scheduler.DropLapsed(kStart + seconds(60));
  const RecordPlan removal = records.Plan(scheduler, kManyEntries);
  CHECK(removal.mDeletes == std::vector<std::string>{ "w0" });
  CHECK(removal.mConditions == Revisions{ { "w0", 5 } });

  // It is listed again, and its record is written anew: the delete fails from then on.
  ListAnsweringWorker(scheduler, MakeEntry(), kStart + seconds(61));
  const RecordPlan second = records.Plan(scheduler, kManyEntries);
  REQUIRE(second.mWrites.contains("w0"));
  CHECK(second.mConditions == Revisions{ { "w0", 5 } });
  SECTION("the delete was not applied")
  {
    records.OnCommitted(second, 6, scheduler);
    CHECK(scheduler.FindWorker("w0")->mRecorded);
  }
  SECTION("the delete was applied")
  {
    records.OnConflict(second, {});
    CHECK(records.Plan(scheduler, kManyEntries).mConditions == Revisions{ { "w0", 0 } });
  }
}

TEST_CASE("fleet: a record whose write was applied without an answer is replaced")
{
  Scheduler scheduler({ .mEpoch = 1 });
  WorkerRecords records;
  ListAnsweringWorker(scheduler, MakeEntry(), kStart);
  const RecordPlan plan = records.Plan(scheduler, kManyEntries);
  records.OnConflict(plan, { { "w0", 9 } });
  CHECK_FALSE(scheduler.FindWorker("w0")->mRecorded);
  CHECK(records.Plan(scheduler, kManyEntries).mConditions == Revisions{ { "w0", 9 } });
}

TEST_CASE("fleet: a plan of records has more entries than a transaction")
{
  Scheduler scheduler({ .mEpoch = 1 });
  WorkerRecords records;
  for (int n = 0; n < 40; ++n) {
    WorkerEntry entry = MakeEntry();
    entry.mId = "w" + std::to_string(n);
    entry.mAddress = "10.0.0." + std::to_string(n) + ":80";
    ListAnsweringWorker(scheduler, entry, kStart);
    records.SetRevision("gone" + std::to_string(n), 3);
  }
  const RecordPlan plan = records.Plan(scheduler, kManyEntries);
  CHECK(plan.mConditions.size() + plan.mWrites.size() + plan.mDeletes.size() <= kManyEntries);
  CHECK_FALSE(plan.IsEmpty());
}
