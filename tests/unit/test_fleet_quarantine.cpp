// Workers on which tasks keep failing get no new ones for a while, and which failures count.
#include <catch2/catch.hpp>

#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

// A scheduler with one worker, whose lasting tasks the test lets work and fail.
class FailingWorker
{
public:
  FailingWorker()
  {
    mScheduler.SetQueues(MakeFleetConfig());
    WorkerEntry entry = MakeWorkerEntry("w0");
    entry.mMilliCores = 32'000;
    entry.mMemoryMiB = 128'000;
    mScheduler.ListWorker(entry, true, mNow);
    Report();
  }

  // Hands in a job with one lasting task, which starts at once.
  StartOrder Start(const std::string& aJob)
  {
    mScheduler.AddJob(MakeFleetJob(aJob, 1, true), {}, false, mNow);
    mNow += seconds(60);  // a quarantine is over by then
    const Orders orders = mScheduler.Plan(mNow, 0, true, 0);
    for (const StartOrder& it : orders.mStarts) {
      mScheduler.OnStart(it, StartOutcome::Started, mNow);
      mReport.mRunning.push_back({ .mTask = it.mTask, .mRun = it.mRun });
    }
    REQUIRE(!mReport.mRunning.empty());
    return orders.mStarts.empty() ? StartOrder{} : orders.mStarts.back();
  }
  void Work(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += milliseconds(250);
      Report();
    }
  }
  // The task fails, and its job is cancelled, so that it does not start again.
  void Fail(const StartOrder& aOrder)
  {
    std::erase_if(mReport.mRunning, [&](const auto& aRow) { return aRow.mTask == aOrder.mTask; });
    mReport.mEnded = { { ++mLastEnd, aOrder.mTask, aOrder.mRun, EndKind::Failed, "" } };
    mNow += milliseconds(10);
    Report();
    mReport.mEnded.clear();
    mScheduler.CancelJob(aOrder.mTask.substr(0, aOrder.mTask.find('.')), mNow);
  }
  // Lets tasks of as many jobs fail soon after their starts.
  void FailAtStart(int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      const StartOrder order = Start("j" + std::to_string(n));
      Work(milliseconds(500));
      Fail(order);
    }
  }
  [[nodiscard]] bool IsQuarantined() { return mNow < Get().mQuarantinedUntil; }
  [[nodiscard]] std::uint32_t CountFailures() { return Get().mFailStreak; }

private:
  void Report() { mScheduler.OnReport("w0", mReport, mNow, mNow); }
  Worker& Get() { return *mScheduler.FindWorker("w0"); }

  TimePoint mNow{ seconds(2000) };
  Scheduler mScheduler{ SchedulerSettings{} };
  WorkerReport mReport{};
  std::uint64_t mLastEnd = 0;
};

}  // namespace

// Lasting tasks waited beside idle workers: each ordinary failure took one more worker away.
TEST_CASE("fleet: ordinary failures of lasting tasks quarantine one worker after the other")
{
  FailingWorker worker;
  for (int n = 0; n < 12; ++n) {
    const StartOrder order = worker.Start("j" + std::to_string(n));
    worker.Work(seconds(10));
    worker.Fail(order);
    CHECK_FALSE(worker.IsQuarantined());
  }
}

TEST_CASE("fleet: a worker on which lasting tasks fail as they start is not quarantined")
{
  FailingWorker worker;
  worker.FailAtStart(3);
  CHECK(worker.IsQuarantined());
}

TEST_CASE(
  "fleet: a lasting task that was there before its worker failed others ends the quarantine")
{
  FailingWorker worker;
  worker.Start("before");
  worker.FailAtStart(3);
  worker.Work(seconds(20));
  CHECK(worker.CountFailures() > 0);
  worker.Start("after");
  worker.Work(seconds(3));
  CHECK(worker.CountFailures() == 0);
}
