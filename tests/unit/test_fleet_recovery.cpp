// How soon tasks run again after their worker crashed.
#include <catch2/catch.hpp>

#include "fleet/peer_messages.h"
#include "fleet/scheduler.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };
constexpr Duration kStep = milliseconds(10);
constexpr Duration kMaxAway = seconds(9);  // of a lasting task, from the crash of its worker

// The same from the election of a new holder: 4 s until machines are in touch again, 4 s of calm, 3
// s.
constexpr Duration kMaxAwayInTakeover = seconds(11);

Scheduler MakeScheduler(Duration aLongestLease, std::uint64_t aEpoch = 1)
{
  Scheduler scheduler({ .mEpoch = aEpoch, .mMaxTaskLease = aLongestLease });
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mNeedsAdvice = true;
  queue.mAdviceBase = milliseconds(450);
  queue.mAdvicePerWorker = std::chrono::microseconds(6500);
  queue.mAdviceValid = seconds(2);
  FleetConfig config;
  config.mQueues.push_back(queue);
  scheduler.SetQueues(config);
  return scheduler;
}

void AddWorkers(Scheduler& aScheduler, int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    WorkerEntry entry;
    entry.mId = "w" + std::to_string(n);
    entry.mAddress = "10.0.0." + std::to_string(n) + ":80";
    entry.mService = "pool";
    entry.mMilliCores = 8000;
    entry.mMemoryMiB = 16'000;
    aScheduler.ListWorker(entry, true, kStart);
    aScheduler.OnReport(entry.mId, {}, kStart, kStart);
  }
}

JobSpec MakeLastingJob()
{
  JobSpec job;
  job.mId = "a";
  job.mQueue = "q";
  job.mService = "pool";
  StageSpec stage;
  stage.mCount = 1;
  stage.mMilliCores = 1000;
  stage.mMemoryMiB = 1000;
  stage.mLongRunning = true;
  job.mStages.push_back(stage);
  return job;
}

// Plans from aFrom on, and answers policy calls when they are expected to end, until a task starts.
// Returns its order and the time.
std::pair<StartOrder, TimePoint> PlanUntilStart(Scheduler& aScheduler, TimePoint aFrom)
{
  std::optional<AdviceOrder> call;
  TimePoint askedAt{};
  for (TimePoint now = aFrom; now < aFrom + seconds(30); now += kStep) {
    if (call && now >= askedAt + milliseconds(call->mExpectedMs)) {
      std::vector<AdmittedWorker> admitted;
      for (const std::string& id : call->mWorkers)
        admitted.push_back({ id, "ticket" });
      aScheduler.OnAdvice(*call, &admitted, seconds(2), askedAt, now);
      call.reset();
    }
    aScheduler.DropLapsed(now);
    Orders orders = aScheduler.Plan(now, 0, true, 1);
    if (!orders.mStarts.empty())
      return { orders.mStarts[0], now };
    if (!orders.mAdvice.empty()) {
      call = orders.mAdvice[0];
      askedAt = now;
    }
  }
  return {};
}

}  // namespace

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

TEST_CASE("fleet: policy calls of urgent jobs keep a lasting task from running again")
{
  constexpr int kAdvisors = 9;
  const Duration interval = milliseconds(GENERATE(1000, 120, 90));  // of urgent jobs
  Scheduler scheduler = MakeScheduler(seconds(6));
  FleetConfig config;
  for (const char* name : { "q", "urgent" }) {
    QueueConfig queue;
    queue.mName = name;
    queue.mService = "pool";
    queue.mNeedsAdvice = true;
    queue.mAdviceBase = milliseconds(450);
    queue.mAdvicePerWorker = std::chrono::microseconds(6500);
    queue.mAdviceValid = seconds(2);
    queue.mPriority = queue.mName == "q" ? 2 : 1;
    config.mQueues.push_back(queue);
  }
  scheduler.SetQueues(config);
  AddWorkers(scheduler, 350);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const auto [first, startedAt] = PlanUntilStart(scheduler, kStart);
  scheduler.OnStart(first, StartOutcome::Started, startedAt);
  const TimePoint crashedAt = startedAt + seconds(4);
  scheduler.FindWorker(first.mWorker)->mLeaseSentAt = crashedAt;
  scheduler.OnSilence(first.mWorker, crashedAt + milliseconds(1));

  TimePoint nextAt = crashedAt;
  int jobs = 0;
  std::vector<std::pair<AdviceOrder, TimePoint>> calls;
  std::optional<TimePoint> restartedAt;
  for (TimePoint now = crashedAt; now < crashedAt + seconds(30) && !restartedAt; now += kStep) {
    if (now >= nextAt) {
      nextAt = now + interval;
      JobSpec job = MakeLastingJob();
      job.mId = "u" + std::to_string(++jobs);
      job.mQueue = "urgent";
      job.mStages[0].mLongRunning = false;
      job.mStages[0].mMilliCores = 10;
      job.mStages[0].mMemoryMiB = 10;
      scheduler.AddJob(job, {}, false, now);
    }
    std::erase_if(calls, [&](const auto& aItem) {
      const auto& [call, askedAt] = aItem;
      if (now < askedAt + milliseconds(call.mExpectedMs))
        return false;
      std::vector<AdmittedWorker> admitted;
      for (const std::string& id : call.mWorkers)
        admitted.push_back({ id, "ticket" });
      scheduler.OnAdvice(call, &admitted, seconds(2), askedAt, now);
      return true;
    });
    scheduler.DropLapsed(now);
    Orders orders = scheduler.Plan(now, 0, true, kAdvisors - calls.size());
    for (const StartOrder& it : orders.mStarts) {
      scheduler.OnStart(it, StartOutcome::Started, now);
      if (it.mTask == first.mTask)
        restartedAt = now;
    }
    for (AdviceOrder& it : orders.mAdvice)
      calls.emplace_back(std::move(it), now);
  }
  INFO("an urgent job each " << interval / milliseconds(1) << " ms");
  REQUIRE(restartedAt.has_value());
  CHECK((*restartedAt - crashedAt) / milliseconds(1) <= kMaxAway / milliseconds(1));
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

TEST_CASE("fleet: a lasting task finds no capacity, as other tasks take what becomes free")
{
  constexpr int kWorkers = 350;
  const Duration runTime = seconds(GENERATE(1, 4, 6, 8));  // of the other tasks
  Scheduler scheduler = MakeScheduler(seconds(10));
  QueueConfig other;
  other.mName = "other";
  other.mService = "pool";
  other.mPriority = 9;
  FleetConfig config;
  config.mQueues.push_back(other);
  scheduler.SetQueues(config);
  AddWorkers(scheduler, kWorkers);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const auto [first, startedAt] = PlanUntilStart(scheduler, kStart);
  scheduler.OnStart(first, StartOutcome::Started, startedAt);
  JobSpec job = MakeLastingJob();
  job.mId = "b";
  job.mQueue = "other";
  job.mStages[0].mLongRunning = false;
  job.mStages[0].mCount = 10'000;
  job.mStages[0].mMilliCores = 8000;
  scheduler.AddJob(job, {}, false, startedAt);
  const TimePoint crashedAt = startedAt + seconds(4);
  scheduler.FindWorker(first.mWorker)->mLeaseSentAt = crashedAt;
  scheduler.OnSilence(first.mWorker, crashedAt + milliseconds(1));

  std::map<std::string, std::pair<StartOrder, TimePoint>> running;  // worker → other task, its end
  std::map<std::string, std::uint64_t> ends;
  std::optional<std::pair<AdviceOrder, TimePoint>> call;
  std::optional<TimePoint> restartedAt;
  for (TimePoint now = crashedAt; now < crashedAt + seconds(20) && !restartedAt; now += kStep) {
    if (call && now >= call->second + milliseconds(call->first.mExpectedMs)) {
      std::vector<AdmittedWorker> admitted;
      for (const std::string& id : call->first.mWorkers)
        if (std::hash<std::string>{}(id) % 2 == 0)
          admitted.push_back({ id, "ticket" });
      scheduler.OnAdvice(call->first, &admitted, seconds(2), call->second, now);
      call.reset();
    }
    // One worker becomes free at a time.
    auto ended = std::find_if(running.begin(), running.end(), [now](const auto& aItem) {
      return now >= aItem.second.second;
    });
    if (ended != running.end()) {
      const auto& [order, endsAt] = ended->second;
      WorkerReport report;
      report.mEnded.push_back(
        { ++ends[order.mWorker], order.mTask, order.mRun, EndKind::Done, {} });
      scheduler.OnReport(order.mWorker, report, now, now);
      running.erase(ended);
    }
    scheduler.DropLapsed(now);
    Orders orders = scheduler.Plan(now, 0, true, call ? 0 : 1);
    const bool isFull = now > crashedAt + runTime;
    for (const StartOrder& it : orders.mStarts) {
      scheduler.OnStart(it, StartOutcome::Started, now);
      if (it.mTask == first.mTask)
        restartedAt = now;
      else
        running[it.mWorker] = {
          it, now + (isFull ? runTime : int(running.size()) * 97 % kWorkers * runTime / kWorkers)
        };
    }
    if (!orders.mAdvice.empty())
      call = { orders.mAdvice[0], now };
  }
  INFO("other tasks run for " << runTime / milliseconds(1) << " ms");
  REQUIRE(restartedAt.has_value());
  CHECK((*restartedAt - crashedAt) / milliseconds(1) <= kMaxAway / milliseconds(1));
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

TEST_CASE("fleet: tasks held by a takeover take all capacity before a lasting task has its tickets")
{
  Scheduler scheduler = MakeScheduler(seconds(10), 2);
  QueueConfig other;
  other.mName = "other";
  other.mService = "pool";
  other.mPriority = 9;
  FleetConfig config;
  config.mQueues.push_back(other);
  scheduler.SetQueues(config);
  AddWorkers(scheduler, 60);
  // This worker may run anything, so all jobs wait for its leases.
  WorkerEntry entry;
  entry.mId = "gone";
  entry.mAddress = "10.0.1.1:80";
  entry.mService = "pool";
  scheduler.ListWorker(entry, true, kStart);
  scheduler.AddJob(MakeLastingJob(), {}, true, kStart);
  JobSpec job = MakeLastingJob();
  job.mId = "b";
  job.mQueue = "other";
  job.mStages[0].mLongRunning = false;
  job.mStages[0].mCount = 100;
  job.mStages[0].mMilliCores = 8000;
  scheduler.AddJob(job, {}, true, kStart);

  std::optional<std::pair<AdviceOrder, TimePoint>> call;
  std::optional<TimePoint> startedAt;
  std::size_t calls = 0;
  for (TimePoint now = kStart; now < kStart + seconds(20) && !startedAt; now += kStep) {
    if (call && now >= call->second + milliseconds(call->first.mExpectedMs)) {
      std::vector<AdmittedWorker> admitted;
      for (const std::string& id : call->first.mWorkers)
        admitted.push_back({ id, "ticket" });
      scheduler.OnAdvice(call->first, &admitted, seconds(2), call->second, now);
      call.reset();
    }
    scheduler.DropLapsed(now);
    Orders orders = scheduler.Plan(now, 0, true, call ? 0 : 1);
    for (const StartOrder& it : orders.mStarts)
      if (it.mTask == "a.0.0.0")
        startedAt = now;
    if (!orders.mAdvice.empty()) {
      call = { orders.mAdvice[0], now };
      ++calls;
    }
  }
  REQUIRE(startedAt.has_value());
  CHECK((*startedAt - kStart) / milliseconds(1) <= kMaxAwayInTakeover / milliseconds(1));
  CHECK(calls <= 2);
}

// An order that was timed by the clock of the earlier incarnation, which may be far ahead, grants
// the longest lease that workers allow.
TEST_CASE("fleet: a task starts again while a worker that restarted under its id may still run it")
{
  const Duration longest = seconds(GENERATE(6, 10));
  Scheduler scheduler = MakeScheduler(longest);
  AddWorkers(scheduler, 60);
  scheduler.AddJob(MakeLastingJob(), {}, false, kStart);
  const auto [first, startedAt] = PlanUntilStart(scheduler, kStart);
  REQUIRE(first.mRun == 1);
  Worker& worker = *scheduler.FindWorker(first.mWorker);
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

TEST_CASE("fleet: lasting tasks that find no capacity keep other tasks from their policy calls")
{
  constexpr int kWorkers = 350;
  const std::size_t advisors = GENERATE(1, 4);
  const bool isFast = GENERATE(false, true);
  Scheduler scheduler = MakeScheduler(seconds(6), 2);
  QueueConfig other;
  other.mName = "other";
  other.mService = "pool";
  QueueConfig fast = other;
  fast.mName = "fast";
  fast.mNeedsAdvice = true;
  fast.mAdviceBase = milliseconds(30);
  fast.mAdviceValid = seconds(2);
  FleetConfig config;
  config.mQueues = { other, fast };
  scheduler.SetQueues(config);
  AddWorkers(scheduler, kWorkers);
  // 5 of the 8 cores of each worker are in use, so no task of 4 cores finds room.
  JobSpec filling = MakeLastingJob();
  filling.mId = "filling";
  filling.mQueue = "other";
  filling.mStages[0].mCount = kWorkers;
  filling.mStages[0].mMilliCores = 5000;
  scheduler.AddJob(filling, {}, false, kStart);
  for (const StartOrder& it : scheduler.Plan(kStart, 0, true, 0).mStarts)
    scheduler.OnStart(it, StartOutcome::Started, kStart);
  for (int n = 0; n < 6; ++n) {
    JobSpec job = MakeLastingJob();
    job.mId = "lasting" + std::to_string(n);
    job.mStages[0].mMilliCores = 4000;
    scheduler.AddJob(job, {}, true, kStart);
  }

  std::vector<std::pair<AdviceOrder, TimePoint>> calls;
  std::optional<TimePoint> startedAt;
  const TimePoint addedAt = kStart + seconds(5);
  for (TimePoint now = kStart; now < kStart + seconds(30) && !startedAt; now += kStep) {
    if (now == addedAt) {
      JobSpec job = MakeLastingJob();
      job.mId = "small";
      job.mQueue = isFast ? "fast" : "q";
      job.mStages[0].mLongRunning = false;
      scheduler.AddJob(job, {}, false, now);
    }
    std::erase_if(calls, [&](const auto& aItem) {
      const auto& [call, askedAt] = aItem;
      if (now < askedAt + milliseconds(call.mExpectedMs))
        return false;
      std::vector<AdmittedWorker> admitted;
      for (const std::string& id : call.mWorkers)
        admitted.push_back({ id, "ticket" });
      scheduler.OnAdvice(call, &admitted, seconds(2), askedAt, now);
      return true;
    });
    Orders orders = scheduler.Plan(now, 0, true, advisors - calls.size());
    for (const StartOrder& it : orders.mStarts)
      if (it.mTask == "small.0.0.0")
        startedAt = now;
    for (AdviceOrder& it : orders.mAdvice)
      calls.emplace_back(std::move(it), now);
  }
  INFO(advisors << " advisors, fast calls: " << isFast);
  REQUIRE(startedAt.has_value());
  CHECK((*startedAt - addedAt) / milliseconds(1) <= 2000);  // two slow calls
}
