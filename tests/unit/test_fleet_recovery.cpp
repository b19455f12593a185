// How soon tasks run again after their worker crashed.
#include <catch2/catch.hpp>

#include "fleet/peer_messages.h"
#include "lasting_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

TEST_CASE("fleet: a lasting task stays away for as long as workers allow leases")
{
  // Longest leases that workers allow, with and without room above what the target needs.
  const auto longest = GENERATE(Duration(seconds(6)), Duration(seconds(10)), Duration(seconds(60)));
  Scheduler scheduler = MakeScheduler(longest);
  AddWorkers(scheduler, 60);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const auto [first, startedAt] = PlanUntilStart(scheduler, kStart);
  REQUIRE(first.mRun == 1);
  scheduler.OnStart(first, StartOutcome::Started, startedAt);

  // The worker crashes right after a renewal.
  const TimePoint crashedAt = startedAt + seconds(4);
  scheduler.FindWorker(first.mWorker)->mLeaseSentAt = crashedAt;
  scheduler.OnSilence(first.mWorker, crashedAt + milliseconds(1));
  const auto [second, restartedAt] = PlanUntilStart(scheduler, crashedAt);
  REQUIRE(second.mTask == first.mTask);
  CHECK(second.mWorker != first.mWorker);
  CHECK((restartedAt - crashedAt) / milliseconds(1) <= kMaxAway / milliseconds(1));
}

TEST_CASE("fleet: a lasting task stays away while a silent predecessor may renew leases")
{
  Scheduler scheduler = MakeScheduler(seconds(10), 2);
  AddWorkers(scheduler, 60);
  // Its entry is all that is known of this worker, which may run the task.
  WorkerEntry entry;
  entry.mId = "gone";
  entry.mAddress = "10.0.1.1:80";
  entry.mService = "pool";
  scheduler.ListWorker(entry, true, kStart);
  scheduler.AddJob(MakeLastingJob(), {}, true, kStart);
  const auto [order, startedAt] = PlanUntilStart(scheduler, kStart);
  REQUIRE(order.mRun > 0);
  CHECK((startedAt - kStart) / milliseconds(1) <= kMaxAwayInTakeover / milliseconds(1));
}

TEST_CASE("fleet: a successor gives up leases that the previous holder renewed last")
{
  const Duration longest =
    GENERATE(Duration(seconds(3)), Duration(seconds(6)), Duration(seconds(60)));
  const Duration age = milliseconds(GENERATE(0, 1000, 2000, 3000, 4000, 4999));
  const SchedulerSettings settings{ .mEpoch = 2, .mMaxTaskLease = longest };
  Scheduler successor(settings);
  // The holder's lease is renewed last at kStart; the successor is elected at once.
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "10.0.0.1:80";
  successor.ListWorker(entry, true, kStart);
  const Duration lease = successor.GetTaskLease(kStart + age, kStart);
  // The worker's clock is as slow as it may be.
  const Duration lasts = std::chrono::duration_cast<Duration>(std::max(lease, Duration::zero()) *
                                                              (1 + settings.mWorkerClockDrift));
  successor.DropLapsed(kStart + age + lasts);
  CHECK(!successor.AreAllResolved());
}

TEST_CASE("fleet: a new worker that never answers holds back lasting tasks of earlier epochs")
{
  Scheduler scheduler = MakeScheduler(seconds(10), 2);
  AddWorkers(scheduler, 60);
  scheduler.AddJob(MakeLastingJob(), {}, true, kStart);
  WorkerReport report;
  report.mRunning.push_back({ .mTask = "a.0.0.0", .mRun = 7 });
  scheduler.OnReport("w0", report, kStart, kStart);
  // The entry of another worker is given up, and shown again later.
  scheduler.OnSilence("w1", kStart + seconds(1));
  scheduler.UnlistWorker("w1", kStart + seconds(10));
  scheduler.DropLapsed(kStart + seconds(40));
  REQUIRE(!scheduler.FindWorker("w1"));

  const TimePoint crashedAt = kStart + seconds(60);
  scheduler.FindWorker("w0")->mLeaseSentAt = crashedAt;
  scheduler.OnSilence("w0", crashedAt + milliseconds(1));
  const TimePoint joinedAt = crashedAt + seconds(6);
  scheduler.DropLapsed(joinedAt);
  WorkerEntry entry;
  entry.mId = GENERATE("new", "w1");
  entry.mAddress = "10.0.9.9:80";
  entry.mService = "pool";
  scheduler.ListWorker(entry, false, joinedAt);
  const auto [order, startedAt] = PlanUntilStart(scheduler, joinedAt);
  CHECK(order.mTask == "a.0.0.0");
  CHECK((startedAt - crashedAt) / milliseconds(1) <= kMaxAway / milliseconds(1));
}

TEST_CASE(
  "fleet: leases that the previous holder renewed until a worker's first answer are cut short")
{
  const SchedulerSettings settings{ .mEpoch = 2, .mMaxTaskLease = seconds(10) };
  Scheduler successor(settings);
  WorkerEntry entry;
  entry.mId = "w0";
  entry.mAddress = "10.0.0.1:80";
  successor.ListWorker(entry, true, kStart);
  successor.AddJob(MakeLastingJob(), {}, true, kStart);
  const TimePoint answeredAt = kStart + seconds(2);
  const Duration lease = successor.GetTaskLease(answeredAt, kStart);
  WorkerReport report;
  report.mRunning.push_back({ .mTask = "a.0.0.0", .mRun = 7 });
  successor.OnReport("w0", report, answeredAt, answeredAt);
  successor.OnSilence("w0", answeredAt + milliseconds(400));
  successor.DropLapsed(answeredAt + lease - milliseconds(1));
  CHECK(successor.FindWorker("w0")->mRuns.size() == 1);
}

TEST_CASE("fleet: a worker's record stored by a build without suspects is not read")
{
  struct OldRecord
  {
    std::string mAddress = "10.0.0.1:80";
    std::string mService = "pool";
    bool mIsFinal = true;
    std::vector<std::string> mTasks{ "a.0.0.0" };
    std::int64_t mBornMs = 7;
    std::uint64_t mCreatedRevision = 8;
    void serialize(cereal::BinaryOutputArchive& aArchive)
    {
      aArchive(mAddress, mService, mIsFinal, mTasks, mBornMs, mCreatedRevision);
    }
  };
  const auto old = DecodeMessage<WorkerRecord>(EncodeMessage(OldRecord()));
  REQUIRE(old.has_value());
  CHECK(old->mTasks == std::vector<std::string>{ "a.0.0.0" });
  CHECK(old->mCreatedRevision == 8);

  WorkerRecord record;
  record.mSuspects.push_back({ "a.0.0.0", 3, true, false });
  const std::string bytes = EncodeMessage(record);
  const auto present = DecodeMessage<WorkerRecord>(bytes);
  REQUIRE(present.has_value());
  REQUIRE(present->mSuspects.size() == 1);
  CHECK(present->mSuspects[0].mRun == 3);
  CHECK_FALSE(DecodeMessage<WorkerRecord>(bytes.substr(0, bytes.size() - 1)).has_value());
}

TEST_CASE("fleet: a start that waits in a queue is sent although its worker is draining")
{
  Scheduler scheduler = MakeScheduler(seconds(10));
  AddWorkers(scheduler, 1);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const StartOrder order = PlanUntilStart(scheduler, kStart).first;
  CHECK(scheduler.IsStartWanted(order));
  WorkerEntry entry = scheduler.FindWorker("w0")->mEntry;
  entry.mDraining = true;
  scheduler.ListWorker(entry, false, kStart);
  CHECK_FALSE(scheduler.IsStartWanted(order));
}

TEST_CASE("fleet: a lasting task stays away when its worker crashes soon after a takeover")
{
  Scheduler scheduler = MakeScheduler(GENERATE(seconds(6), seconds(10)), 2);
  AddWorkers(scheduler, 60);
  scheduler.AddJob(MakeLastingJob(), {}, true, kStart);
  WorkerEntry entry;
  entry.mId = "gone";
  entry.mAddress = "10.0.1.1:80";
  entry.mService = "pool";
  scheduler.ListWorker(entry, true, kStart);
  scheduler.SetFencedFrom(kStart + milliseconds(2150));
  WorkerReport report;
  report.mRunning.push_back({ .mTask = "a.0.0.0", .mRun = 7 });
  const TimePoint crashedAt = kStart + seconds(2);
  scheduler.OnReport("gone", report, crashedAt, crashedAt);
  scheduler.FindWorker("gone")->mLeaseSentAt = crashedAt;  // renewed by the new holder
  scheduler.OnSilence("gone", crashedAt + milliseconds(1));
  const auto [order, startedAt] = PlanUntilStart(scheduler, crashedAt);
  REQUIRE(order.mTask == "a.0.0.0");
  CHECK((startedAt - crashedAt) / milliseconds(1) <= kMaxAway / milliseconds(1));
}

TEST_CASE("fleet: polls renew the leases of an idle worker that has crashed silently")
{
  Scheduler scheduler = MakeScheduler(seconds(10));
  AddWorkers(scheduler, 60);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const auto [first, startedAt] = PlanUntilStart(scheduler, kStart);
  REQUIRE(first.mRun == 1);
  Worker& worker = *scheduler.FindWorker(first.mWorker);
  const Duration idle = milliseconds(GENERATE(0, 1000, 2000, 2999));  // from the crash to the start
  const bool isPolled = GENERATE(false, true);                        // right before the start
  const TimePoint crashedAt = startedAt - idle;
  worker.mLeaseSentAt = crashedAt;

  if (isPolled) {
    std::vector<Run> runs = std::move(worker.mRuns);
    worker.mRuns.clear();
    scheduler.RenewTaskLeases(worker, startedAt, startedAt);
    worker.mRuns = std::move(runs);
  }
  const TimePoint unansweredAt = startedAt + milliseconds(400);
  scheduler.OnStart(first, StartOutcome::Unknown, unansweredAt);
  scheduler.RenewTaskLeases(worker, unansweredAt, unansweredAt);
  scheduler.OnSilence(first.mWorker, unansweredAt + milliseconds(400));
  const auto [second, restartedAt] = PlanUntilStart(scheduler, unansweredAt + milliseconds(400));
  REQUIRE(second.mTask == first.mTask);
  CHECK(second.mWorker != first.mWorker);
  CHECK((restartedAt - crashedAt) / milliseconds(1) <= kMaxAway / milliseconds(1));
}

TEST_CASE("fleet: a poll after an unanswered start renews the leases of a crashed worker")
{
  Scheduler scheduler = MakeScheduler(seconds(10));
  AddWorkers(scheduler, 60);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const auto [first, startedAt] = PlanUntilStart(scheduler, kStart);
  scheduler.OnStart(first, StartOutcome::Started, startedAt);
  Worker& worker = *scheduler.FindWorker(first.mWorker);
  const TimePoint crashedAt = startedAt + seconds(4);
  scheduler.RenewTaskLeases(worker, crashedAt, crashedAt);
  // Another start is sent there 0.9 s later; the poll that was waiting ends after 1.4 s.
  Run other;
  other.mTask = "b.0.0.0";
  other.mRun = 1;
  worker.mRuns.push_back(other);
  const TimePoint unansweredAt = crashedAt + milliseconds(1300);
  scheduler.OnStart({ first.mWorker, "b.0.0.0", 1 }, StartOutcome::Unknown, unansweredAt);
  scheduler.RenewTaskLeases(worker, unansweredAt, unansweredAt);
  scheduler.OnSilence(first.mWorker, crashedAt + milliseconds(1400));
  const auto [second, restartedAt] = PlanUntilStart(scheduler, crashedAt + milliseconds(1400));
  REQUIRE(second.mTask == first.mTask);
  CHECK((restartedAt - crashedAt) / milliseconds(1) <= kMaxAway / milliseconds(1));
}

TEST_CASE("fleet: a task starts again while a worker that restarted under its id may still run it")
{
  const Duration longest = seconds(GENERATE(6, 10));
  Scheduler scheduler = MakeScheduler(longest);
  AddWorkers(scheduler, 60);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const auto [first, startedAt] = PlanUntilStart(scheduler, kStart);
  REQUIRE(first.mRun == 1);
  Worker& worker = *scheduler.FindWorker(first.mWorker);
  worker.mBornMs = 1000;
  worker.mEntry.mBornMs = 1000;
  worker.mLeaseSentAt = {};
  scheduler.RenewTaskLeases(worker, startedAt, startedAt);
  WorkerEntry entry = worker.mEntry;
  entry.mBornMs = 2000;
  const TimePoint seenAt = startedAt + milliseconds(100);

  SECTION("the restart is seen in the directory, and the worker is cut off")
  {
    scheduler.ListWorker(entry, false, seenAt);
    CHECK(scheduler.RenewTaskLeases(worker, seenAt, seenAt) == Duration::zero());
    CHECK_FALSE(scheduler.IsStartWanted(first));
    scheduler.OnStart(first, StartOutcome::Unknown, startedAt + milliseconds(400));
    scheduler.OnSilence(first.mWorker, startedAt + milliseconds(800));
  }
  SECTION("the worker answers before it is cut off")
  {
    WorkerReport report;
    report.mBornMs = entry.mBornMs;
    report.mRunning.push_back({ .mTask = first.mTask, .mRun = first.mRun });
    scheduler.OnReport(first.mWorker, report, seenAt, seenAt);
    scheduler.RenewTaskLeases(worker, seenAt, seenAt);
    scheduler.OnSilence(first.mWorker, startedAt + milliseconds(800));
  }
  const auto [second, restartedAt] = PlanUntilStart(scheduler, startedAt + milliseconds(800));
  REQUIRE(second.mTask == first.mTask);
  CHECK(second.mRun == 2);
  const Duration held = restartedAt - startedAt;
  CHECK(held / milliseconds(1) >=
        std::chrono::duration_cast<Duration>(longest / 0.98) / milliseconds(1));
}
