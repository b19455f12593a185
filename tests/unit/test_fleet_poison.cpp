// Tasks that crash the workers that start them.
#include <catch2/catch.hpp>

#include "fleet_model.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

// A poison task may start until three workers have crashed under it, and twice more.
constexpr std::size_t kMaxStarts = 5;

QueueConfig MakeQueue()
{
  QueueConfig queue;
  queue.mName = "q";
  queue.mService = "pool";
  queue.mMaxAttempts = 3;
  queue.mStretch = 2;
  queue.mSlack = seconds(1);
  return queue;
}

JobSpec MakeJob(std::string aId, std::uint32_t aTasks)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "q";
  job.mService = "pool";
  StageSpec stage;
  stage.mCount = aTasks;
  stage.mMilliCores = 1000;
  stage.mMemoryMiB = 1000;
  stage.mEstimateMs = 1000;
  job.mStages.push_back(stage);
  return job;
}

WorkerEntry MakeEntry(std::string aId)
{
  WorkerEntry entry;
  entry.mAddress = aId + ":80";
  entry.mId = std::move(aId);
  entry.mService = "pool";
  entry.mMilliCores = 8000;
  entry.mMemoryMiB = 16'000;
  return entry;
}

void SetQueue(Scheduler& aScheduler)
{
  FleetConfig config;
  config.mQueues.push_back(MakeQueue());
  aScheduler.SetQueues(config);
}

WorkerReport ListRunning(const StartOrder& aOrder)
{
  WorkerReport report;
  report.mRunning.push_back({ .mTask = aOrder.mTask, .mRun = aOrder.mRun });
  return report;
}

// Submits jobs that can be done, one each 200 ms.
void SubmitOthers(FleetModel& aModel, int aFrom, int aTo)
{
  for (int n = aFrom; n < aTo; ++n) {
    aModel.Submit(MakeJob("other" + std::to_string(n), 4));
    aModel.RunFor(milliseconds(200));
  }
}

}  // namespace

TEST_CASE("fleet: a task crashes worker after worker")
{
  const auto seed = GENERATE(range(1U, 11U));
  const auto kind = GENERATE(0, 1, 2, 3);
  FleetModel model(seed, {}, 12);
  model.SetQueue(MakeQueue());
  JobSpec job = MakeJob("poison", 3);
  job.mStages[0].mSpeculative = kind == 1;
  job.mStages[0].mGang = kind == 2;
  job.mStages[0].mLongRunning = kind == 3;
  SubmitOthers(model, 0, 5);
  model.SetPoison("poison.0.0.0");
  model.Submit(job);
  SubmitOthers(model, 5, 40);
  model.RunFor(seconds(60));
  INFO("seed " << seed << " kind " << kind);
  CHECK(model.CountStarts("poison.0.0.0") <= kMaxStarts);
  CHECK(model.FindJob("poison")->mState == JobState::Failed);
  for (int n = 0; n < 40; ++n) {
    INFO("job " << n);
    CHECK(model.FindJob("other" + std::to_string(n))->mState == JobState::Completed);
  }
  CHECK_THAT(model.mViolations, Catch::Equals(std::vector<std::string>()));
}

TEST_CASE("fleet: a takeover forgets which workers crashed under a task")
{
  const auto seed = GENERATE(range(1U, 11U));
  const bool isSpeculative = GENERATE(false, true);
  FleetModel model(seed, {}, 12);
  model.SetQueue(MakeQueue());
  JobSpec job = MakeJob("poison", 1);
  job.mStages[0].mSpeculative = isSpeculative;
  model.SetPoison("poison.0.0.0");
  model.Submit(job);
  for (int n = 0; n < 8; ++n) {
    SubmitOthers(model, 10 * n, 10 * n + 10);
    model.TakeOver();
  }
  model.RunFor(seconds(60));
  INFO("seed " << seed << " speculative " << isSpeculative);
  CHECK(model.CountStarts("poison.0.0.0") <= kMaxStarts);
  CHECK(model.FindJob("poison")->mState == JobState::Failed);
}

TEST_CASE("fleet: a start that never took place counts as a crash under its task")
{
  const TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  scheduler.AddJob(MakeJob("a", 1), {}, false, now);
  for (int n = 0; n < 4; ++n) {
    const std::string worker = "w" + std::to_string(n);
    scheduler.ListWorker(MakeEntry(worker), true, now);
    scheduler.OnReport(worker, {}, now, now);
    const Orders orders = scheduler.Plan(now, 0, true, 0);
    REQUIRE(orders.mStarts.size() == 1);
    REQUIRE(orders.mStarts[0].mWorker == worker);
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Unknown, now);
    scheduler.OnSilence(worker, now);
    scheduler.OnReplaced(worker, scheduler.FindWorker(worker)->mEntry.mAddress, now);
  }
  CHECK(scheduler.FindJob("a")->mState == JobState::Queued);
}

TEST_CASE("fleet: a rack that fails is taken for the crash of a task")
{
  const bool isRack = GENERATE(false, true);
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  scheduler.AddJob(MakeJob("a", 1), {}, false, now);
  for (int n = 0; n < 2; ++n) {
    const std::string worker = "w" + std::to_string(n);
    scheduler.ListWorker(MakeEntry(worker), true, now);
    scheduler.OnReport(worker, {}, now, now);
    const Orders orders = scheduler.Plan(now, 0, true, 0);
    REQUIRE(orders.mStarts.size() == 1);
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, now);
    for (int other = 0; isRack && other < 5; ++other) {
      const std::string id = worker + "-beside-" + std::to_string(other);
      scheduler.ListWorker(MakeEntry(id), false, now);
      scheduler.OnReport(id, {}, now, now);
      scheduler.OnSilence(id, now + milliseconds(10));
    }
    scheduler.OnSilence(worker, now + milliseconds(12));
    now += seconds(3);
    scheduler.OnReplaced(worker, scheduler.FindWorker(worker)->mEntry.mAddress, now);
  }
  CHECK((scheduler.FindJob("a")->mState == JobState::Failed) == !isRack);
}

TEST_CASE("fleet: a task starts without end on workers that crash for good")
{
  const bool isConfirmed = GENERATE(true, false);
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  scheduler.AddJob(MakeJob("a", 1), {}, false, now);
  std::size_t starts = 0;
  for (std::size_t n = 0; n < 2 * kMaxStarts; ++n) {
    const std::string worker = "w" + std::to_string(n);
    scheduler.ListWorker(MakeEntry(worker), true, now);
    scheduler.OnReport(worker, {}, now, now);
    for (const StartOrder& it : scheduler.Plan(now, 0, true, 0).mStarts) {
      ++starts;
      scheduler.OnStart(it, isConfirmed ? StartOutcome::Started : StartOutcome::Unknown, now);
    }
    scheduler.OnSilence(worker, now + milliseconds(10));
    now += seconds(5);
    scheduler.UnlistWorker(worker, now);
    now += seconds(5);
    scheduler.DropLapsed(now);
  }
  CHECK(starts <= kMaxStarts);
  CHECK(scheduler.FindJob("a")->mState == JobState::Failed);
}

TEST_CASE("fleet: a task starts without end on crashed workers that are still listed")
{
  const bool isConfirmed = GENERATE(true, false);
  const bool isLate = GENERATE(true, false);  // the worker crashes well after the start
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  scheduler.AddJob(MakeJob("a", 1), {}, false, now);
  std::size_t starts = 0;
  for (std::size_t n = 0; n < 4 * kMaxStarts; ++n) {
    const std::string worker = "w" + std::to_string(n);
    scheduler.ListWorker(MakeEntry(worker), true, now);
    scheduler.OnReport(worker, {}, now, now);
    for (const StartOrder& it : scheduler.Plan(now, 0, true, 0).mStarts) {
      ++starts;
      scheduler.OnStart(it, isConfirmed ? StartOutcome::Started : StartOutcome::Unknown, now);
      if (isLate) {
        now += milliseconds(400);
        scheduler.OnReport(worker, ListRunning(it), now, now);
      }
    }
    now += milliseconds(10);
    scheduler.OnSilence(worker, now);
    now += milliseconds(6700);
    scheduler.DropLapsed(now);
    scheduler.OnReplaced(worker, scheduler.FindWorker(worker)->mEntry.mAddress, now);
  }
  INFO("confirmed " << isConfirmed << " late " << isLate);
  CHECK(starts <= kMaxStarts);
}

TEST_CASE("fleet: a takeover forgets that a worker crashed well after a task's start")
{
  TimePoint now{ seconds(2000) };
  std::string progress;
  std::vector<SuspectRun> suspects;
  std::size_t starts = 0;
  for (std::uint64_t epoch = 1; epoch <= 2 * kMaxStarts; ++epoch) {
    Scheduler scheduler({ .mEpoch = epoch });
    SetQueue(scheduler);
    scheduler.AddJob(MakeJob("a", 1), progress, epoch > 1, now);
    if (epoch > 1) {
      const std::string dead = "w" + std::to_string(epoch - 1);
      scheduler.ListWorker(MakeEntry(dead), true, now);
      scheduler.UnlistWorker(dead, now);
      scheduler.SetFinalTasks(dead, { "a.0.0.0" }, suspects);
      now += seconds(1);
      scheduler.OnReplaced(dead, scheduler.FindWorker(dead)->mEntry.mAddress, now);
    }
    const std::string worker = "w" + std::to_string(epoch);
    scheduler.ListWorker(MakeEntry(worker), true, now);
    scheduler.OnReport(worker, {}, now, now);
    for (const StartOrder& it : scheduler.Plan(now, 0, true, 0).mStarts) {
      ++starts;
      scheduler.OnStart(it, StartOutcome::Started, now);
      now += milliseconds(400);
      scheduler.OnReport(worker, ListRunning(it), now, now);
    }
    now += milliseconds(10);
    scheduler.OnSilence(worker, now);
    suspects = scheduler.ListSuspects(*scheduler.FindWorker(worker));
    for (const StoredProgress& it : scheduler.CollectProgress(31, now).mJobs)
      progress = it.mBytes;
  }
  CHECK(starts <= kMaxStarts);
}

TEST_CASE("fleet: an innocent task is blamed beside one whose start was not confirmed")
{
  const bool takesOver = GENERATE(false, true);
  const TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  Scheduler next({ .mEpoch = 2 });
  for (Scheduler* it : { &scheduler, &next }) {
    SetQueue(*it);
    it->AddJob(MakeJob("innocent", 1), {}, it == &next, now);
    it->AddJob(MakeJob("poison", 1), {}, it == &next, now);
    it->ListWorker(MakeEntry("w"), true, now);
  }
  scheduler.OnReport("w", {}, now, now);
  for (const StartOrder& it : scheduler.Plan(now, 0, true, 0).mStarts)
    scheduler.OnStart(
      it, it.mTask.starts_with("poison") ? StartOutcome::Unknown : StartOutcome::Started, now);
  scheduler.OnSilence("w", now + milliseconds(10));
  next.SetFinalTasks(
    "w", { "innocent.0.0.0", "poison.0.0.0" }, scheduler.ListSuspects(*scheduler.FindWorker("w")));
  Scheduler& present = takesOver ? next : scheduler;
  if (!takesOver)
    present.DropLapsed(now + milliseconds(6700));  // its entry is still listed
  present.OnReplaced("w", present.FindWorker("w")->mEntry.mAddress, now + seconds(7));
  INFO("takes over " << takesOver);
  const auto getCrashes = [&](const char* aJob) {
    return present.FindJob(aJob)->mOccurrences[0].mStages[0].mTasks[0].mCrashes;
  };
  REQUIRE(getCrashes("innocent").size() == 1);
  CHECK_FALSE(getCrashes("innocent")[0].mAlone);
  CHECK(getCrashes("poison").size() == 1);
}

TEST_CASE("fleet: copies of a task crash worker after worker")
{
  // The worker crashes at once, before it confirms the start, or well after it.
  const bool isLate = GENERATE(true, false);
  constexpr Duration kStep = milliseconds(10);
  constexpr Duration kCrashDelay = milliseconds(400);
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  JobSpec job = MakeJob("a", 1);
  job.mStages[0].mSpeculative = true;
  scheduler.AddJob(job, {}, false, now);
  for (int n = 0; n < 20; ++n) {
    scheduler.ListWorker(MakeEntry("w" + std::to_string(n)), true, now);
    scheduler.OnReport("w" + std::to_string(n), {}, now, now);
  }
  std::vector<std::pair<StartOrder, TimePoint>> starts;
  for (int n = 0; n < 3000; ++n, now += kStep) {
    for (const auto& [order, startedAt] : starts) {
      const Duration age = now - startedAt;
      if (isLate && age == kCrashDelay - milliseconds(100)) {
        scheduler.OnReport(order.mWorker, ListRunning(order), now, now);
        scheduler.FindWorker(order.mWorker)->mLeaseSentAt = now;
      }
      if (age == (isLate ? kCrashDelay : kStep))
        scheduler.OnSilence(order.mWorker, now);
      if (age == seconds(1))  // its final list is stored
        if (Worker* worker = scheduler.FindWorker(order.mWorker)) {
          worker->mFinalTasks = std::set<std::string>{ order.mTask };
          worker->mFinalWanted = false;
        }
      if (age == seconds(4))
        scheduler.OnReplaced(
          order.mWorker, scheduler.FindWorker(order.mWorker)->mEntry.mAddress, now);
    }
    scheduler.DropLapsed(now);
    for (const StartOrder& it : scheduler.Plan(now, 0, true, 0).mStarts) {
      scheduler.OnStart(it, isLate ? StartOutcome::Started : StartOutcome::Unknown, now);
      scheduler.FindWorker(it.mWorker)->mLeaseSentAt = now;
      starts.emplace_back(it, now);
    }
  }
  INFO("late " << isLate);
  CHECK(starts.size() <= kMaxStarts);
  CHECK(scheduler.FindJob("a")->mState == JobState::Failed);
}

TEST_CASE("fleet: a task is given up for partitions of workers that did not crash")
{
  const bool isRestarted = GENERATE(false, true);     // the workers did crash, and kept their ids
  const bool isShownBetween = GENERATE(false, true);  // their entries, while they don't answer
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  scheduler.AddJob(MakeJob("a", 1), {}, false, now);
  std::uint64_t ends = 0;
  for (std::size_t n = 0; n < 2 * kMaxStarts; ++n) {
    const auto list = [&] {
      WorkerEntry entry = MakeEntry(n % 2 == 0 ? "w0" : "w1");
      entry.mBornMs = isRestarted ? now.time_since_epoch() / milliseconds(1) : 1;
      scheduler.ListWorker(entry, true, now);
      return entry;
    };
    const WorkerEntry entry = list();
    WorkerReport report;
    report.mBornMs = entry.mBornMs;
    scheduler.OnReport(entry.mId, report, now, now);
    const Orders orders = scheduler.Plan(now, 0, true, 0);
    if (orders.mStarts.empty())
      break;
    const StartOrder& start = orders.mStarts[0];
    scheduler.OnStart(start, StartOutcome::Started, now);
    now += seconds(20);
    scheduler.OnReport(entry.mId, ListRunning(start), now, now);
    scheduler.OnSilence(entry.mId, now);
    now += seconds(4);
    scheduler.UnlistWorker(entry.mId, now);
    now += seconds(6);
    scheduler.DropLapsed(now);
    if (isShownBetween) {
      scheduler.ListWorker(entry, false, now);
      now += seconds(4);
      scheduler.UnlistWorker(entry.mId, now);
      now += seconds(10);
      scheduler.DropLapsed(now);
    }
    report.mBornMs = list().mBornMs;
    if (!isRestarted)
      report.mEnded.push_back({ ++ends, start.mTask, start.mRun, EndKind::Lapsed, "" });
    scheduler.OnReport(entry.mId, report, now, now);
    scheduler.UnlistWorker(entry.mId, now);  // so that the next start goes to the other
  }
  CHECK((scheduler.FindJob("a")->mState == JobState::Failed) == isRestarted);
}

TEST_CASE("fleet: a start in flight that reaches the next incarnation hides that one's crash")
{
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  scheduler.AddJob(MakeJob("a", 1), {}, false, now);
  WorkerEntry entry = MakeEntry("w");
  entry.mBornMs = 1000;
  scheduler.ListWorker(entry, true, now);
  scheduler.OnReport("w", {}, now, now);
  const Orders orders = scheduler.Plan(now, 0, true, 0);
  REQUIRE(orders.mStarts.size() == 1);
  entry.mBornMs = 2000;  // it crashed for another cause, with the order in flight
  scheduler.ListWorker(entry, true, now);
  scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, now);
  scheduler.OnSilence("w", now + milliseconds(10));
  entry.mBornMs = 3000;  // now it crashed under the task
  scheduler.ListWorker(entry, true, now + seconds(3));
  WorkerReport report;
  report.mBornMs = entry.mBornMs;
  scheduler.OnReport("w", report, now + seconds(3), now + seconds(3));
  const auto& crashes = scheduler.FindJob("a")->mOccurrences[0].mStages[0].mTasks[0].mCrashes;
  REQUIRE(crashes.size() == 1);
  CHECK(crashes[0].mSoon);
}

TEST_CASE("fleet: a crash that is stored already counts again until its worker is resolved")
{
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  scheduler.AddJob(MakeJob("a", 1), {}, false, now);
  std::vector<SuspectRun> suspects;
  for (std::size_t n = 1; n < kMaxStarts; ++n) {
    const std::string worker = "w" + std::to_string(n);
    scheduler.ListWorker(MakeEntry(worker), true, now);
    scheduler.OnReport(worker, {}, now, now);
    const Orders orders = scheduler.Plan(now, 0, true, 0);
    REQUIRE(orders.mStarts.size() == 1);
    scheduler.OnStart(orders.mStarts[0], StartOutcome::Started, now);
    now += seconds(1);
    scheduler.OnReport(worker, ListRunning(orders.mStarts[0]), now, now);
    scheduler.OnSilence(worker, now);
    suspects = scheduler.ListSuspects(*scheduler.FindWorker(worker));
    scheduler.OnReplaced(worker, scheduler.FindWorker(worker)->mEntry.mAddress, now);
  }
  // The holder is lost after it has stored the last crash, before it has removed the worker.
  Scheduler next({ .mEpoch = 2 });
  SetQueue(next);
  next.AddJob(MakeJob("a", 1), scheduler.CollectProgress(31, now).mJobs.at(0).mBytes, true, now);
  WorkerEntry dead = MakeEntry("dead");
  next.ListWorker(dead, true, now);
  next.SetFinalTasks("dead", {}, suspects);
  next.ListWorker(MakeEntry("w"), true, now);
  next.OnReport("w", {}, now, now);
  CHECK(next.Plan(now, 0, true, 0).mStarts.size() == 1);
}

TEST_CASE("fleet: a lasting task is given up for crashes of its workers months apart")
{
  const bool isLasting = GENERATE(true, false);
  TimePoint now{ seconds(2000) };
  Scheduler scheduler({});
  SetQueue(scheduler);
  JobSpec job = MakeJob("a", 1);
  job.mStages[0].mLongRunning = isLasting;
  scheduler.AddJob(job, {}, false, now);
  for (std::size_t n = 0; n < 2 * kMaxStarts; ++n) {
    const std::string worker = "w" + std::to_string(n);
    scheduler.ListWorker(MakeEntry(worker), true, now);
    scheduler.OnReport(worker, {}, now, now);
    for (const StartOrder& it : scheduler.Plan(now, 0, true, 0).mStarts) {
      scheduler.OnStart(it, StartOutcome::Started, now);
      now += std::chrono::hours(24 * 60);
      scheduler.OnReport(worker, ListRunning(it), now, now);
    }
    scheduler.OnSilence(worker, now);
    scheduler.OnReplaced(worker, scheduler.FindWorker(worker)->mEntry.mAddress, now);
  }
  CHECK((scheduler.FindJob("a")->mState == JobState::Failed) == !isLasting);
}

TEST_CASE("fleet: progress stored by a build that counted no crashes is not read")
{
  std::string stored(1, static_cast<char>(JobState::Running));
  stored.append(8, '\0');  // no stages
  CHECK(Scheduler::ReadState(stored) == JobState::Running);
}
