// Tests of JobsController from submission to end, with mocks of journal, peers, ownership and
// workers.
#include <catch2/catch.hpp>

#include "tests/unit/job_cell.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

JobSpec MakeSpec(JobId aId, std::uint32_t aTasks, JobKind aKind = JobKind::Batch)
{
  JobSpec spec;
  spec.mId = std::move(aId);
  spec.mKind = aKind;
  spec.mTasks = aTasks;
  spec.mExpectedRun = milliseconds(5);
  return spec;
}

std::uint32_t CountStarts(const JobCell& aCell)
{
  std::uint32_t n = 0;
  for (const auto& [task, count] : aCell.mWorkers.mStarts)
    n += count;
  return n;
}

}  // namespace

TEST_CASE("each task of a batch job runs once", "[jobs][cell]")
{
  JobCell cell(2);
  REQUIRE(cell.Submit(MakeSpec("a", 100)).has_value());
  REQUIRE(cell.WaitFor("a", TaskState::Succeeded, 100));
  CHECK(CountStarts(cell) == 100);
  CHECK(cell.mWorkers.mDuplicateStarts == 0);
}

TEST_CASE("a submission is accepted only after its entry is committed", "[jobs][cell]")
{
  JobCell cell(1);
  REQUIRE(cell.Submit(MakeSpec("first", 1)).has_value());
  cell.mLog.mNextFailures = { FailureKind::StoreUnavailable };
  const auto refused = cell.Submit(MakeSpec("a", 1));
  if (refused.has_error()) {
    CHECK(refused.error().mKind == FailureKind::StoreUnavailable);
    CHECK(cell.Ask(JobQuery{ "a", {} }).error().mKind == FailureKind::NotFound);
  }
  REQUIRE(cell.Submit(MakeSpec("a", 1)).has_value());
  REQUIRE(cell.Submit(MakeSpec("a", 1)).has_value());
  CHECK(cell.Submit(MakeSpec("a", 2)).error().mKind == FailureKind::Conflict);
  REQUIRE(cell.WaitFor("a", TaskState::Succeeded, 1));
}

TEST_CASE("a long poll returns when the job has ended", "[jobs][cell]")
{
  JobCell cell(1);
  REQUIRE(cell.Submit(MakeSpec("a", 3)).has_value());
  const auto reply = cell.Ask(JobQuery{ "a", seconds(50) });
  REQUIRE(reply.has_value());
  for (const TaskStatus& it : std::get<JobStatus>(*reply).mTasks)
    CHECK(it.mState == TaskState::Succeeded);
}

TEST_CASE("after an owner dies between entry and start, the task runs once under the next owner",
          "[jobs][cell]")
{
  JobCell cell(2);
  bool ownerDown = false;
  std::uint32_t droppedStarts = 0;
  cell.mPeers.mFault = [&](const PeerRequest& aRequest, bool) -> std::optional<Failure> {
    if (!ownerDown || !std::holds_alternative<TaskStart>(aRequest))
      return std::nullopt;
    ++droppedStarts;
    return MakeFailure(FailureKind::PeerUnknown);
  };
  ownerDown = true;
  JobSpec spec = MakeSpec("curing", 4);
  spec.mRepeatable = false;
  REQUIRE(cell.Submit(spec).has_value());
  REQUIRE(cell.RunUntil([&] { return droppedStarts >= 4; }));
  CHECK(CountStarts(cell) == 0);
  cell.StartJobs();
  ownerDown = false;
  REQUIRE(cell.WaitFor("curing", TaskState::Succeeded, 4));
  CHECK(CountStarts(cell) == 4);
}

TEST_CASE("a task whose start reply is lost does not run again", "[jobs][cell]")
{
  JobCell cell(1);
  cell.mWorkers.mEndpoints["w0"].mLosesReplies = true;
  JobSpec spec = MakeSpec("curing", 5);
  spec.mRepeatable = false;
  REQUIRE(cell.Submit(spec).has_value());
  REQUIRE(cell.WaitFor("curing", TaskState::Succeeded, 5));
  CHECK(CountStarts(cell) == 5);
}

TEST_CASE("after a journal write of unknown outcome, the shard replays before it acts",
          "[jobs][cell]")
{
  JobCell cell(2);
  REQUIRE(cell.Submit(MakeSpec("first", 1)).has_value());
  REQUIRE(cell.WaitFor("first", TaskState::Succeeded, 1));
  cell.mLog.mNextFailures = { FailureKind::WriteUnknown };
  const auto reply = cell.Submit(MakeSpec("a", 10));
  CHECK(reply.error().mKind == FailureKind::WriteUnknown);
  REQUIRE(cell.WaitFor("a", TaskState::Succeeded, 10));
  CHECK(CountStarts(cell) == 11);
}

TEST_CASE("a worker that fails every task fails no job", "[jobs][cell]")
{
  JobCell cell(4);
  cell.mWorkers.mEndpoints["w0"].mFailsAll = true;
  for (int i = 0; i < 6; ++i)
    REQUIRE(cell.Submit(MakeSpec("job-" + std::to_string(i), 10)).has_value());
  for (int i = 0; i < 6; ++i)
    REQUIRE(cell.WaitFor("job-" + std::to_string(i), TaskState::Succeeded, 10));
}

TEST_CASE("tasks of a restarted worker are repeated, or dead letters if not repeatable",
          "[jobs][cell]")
{
  JobCell cell(1);
  cell.mWorkers.mRun = seconds(30);
  JobSpec once = MakeSpec("once", 1);
  once.mRepeatable = false;
  REQUIRE(cell.Submit(once).has_value());
  REQUIRE(cell.Submit(MakeSpec("again", 1)).has_value());
  REQUIRE(cell.WaitFor("once", TaskState::Running, 1));
  REQUIRE(cell.WaitFor("again", TaskState::Running, 1));
  cell.mWorkers.mRun = milliseconds(1);
  cell.mWorkers.mEndpoints["w0"].mTasks.clear();
  cell.mWorkers.mEndpoints["w0"].mIncarnation = "2";
  REQUIRE(cell.WaitFor("once", TaskState::DeadLetter, 1));
  REQUIRE(cell.WaitFor("again", TaskState::Succeeded, 1));
  CHECK(cell.mWorkers.mStarts[{ "once", 0 }] == 1);
}

TEST_CASE("a job that fits no VM is held with a reason and runs when the fleet changes",
          "[jobs][cell]")
{
  JobCell cell(1);
  JobSpec big = MakeSpec("big", 1);
  big.mShape.mMilliCores = 64000;
  REQUIRE(cell.Submit(big).has_value());
  REQUIRE(cell.WaitFor("big", TaskState::Held, 1));
  const auto reply = cell.Ask(JobQuery{ "big", {} });
  CHECK(std::get<JobStatus>(*reply).mReason.find("no VM that exists") == 0);
  cell.AddWorker("large", { 64000, 131072, 0, 8, 60 });
  cell.mJobs->OnFleetChanged({});
  REQUIRE(cell.WaitFor("big", TaskState::Succeeded, 1));
}

TEST_CASE("contending gangs neither deadlock nor starve batch jobs", "[jobs][cell]")
{
  JobCell cell(4, { 10000, 131072, 0, 8, 60 });
  cell.mWorkers.mRun = milliseconds(10);
  for (int i = 0; i < 3; ++i)
    REQUIRE(cell.Submit(MakeSpec("gang-" + std::to_string(i), 40, JobKind::Gang)).has_value());
  REQUIRE(cell.Submit(MakeSpec("batch", 20)).has_value());
  for (int i = 0; i < 3; ++i)
    REQUIRE(cell.WaitFor("gang-" + std::to_string(i), TaskState::Succeeded, 40));
  REQUIRE(cell.WaitFor("batch", TaskState::Succeeded, 20));
  CHECK(CountStarts(cell) == 140);
}

TEST_CASE("an urgent job preempts a low-priority job by checkpoint, which later runs again",
          "[jobs][cell]")
{
  JobCell cell(1, { 2000, 4096, 0, 8, 60 });
  cell.mWorkers.mRun = seconds(30);
  JobSpec low = MakeSpec("low", 2);
  low.mPriority = Priority::Low;
  REQUIRE(cell.Submit(low).has_value());
  REQUIRE(cell.WaitFor("low", TaskState::Running, 2));
  cell.mWorkers.mRun = milliseconds(5);
  JobSpec urgent = MakeSpec("urgent", 1);
  urgent.mPriority = Priority::Urgent;
  REQUIRE(cell.Submit(urgent).has_value());
  REQUIRE(cell.WaitFor("urgent", TaskState::Succeeded, 1));
  CHECK(cell.WaitFor("low", TaskState::Running, 1));
}

TEST_CASE("a service keeps a running replica while it moves off a leaving worker", "[jobs][cell]")
{
  JobCell cell(1);
  cell.mWorkers.mRun = seconds(60);
  REQUIRE(cell.Submit(MakeSpec("s", 1, JobKind::Service)).has_value());
  REQUIRE(cell.WaitFor("s", TaskState::Running, 1));
  cell.AddWorker("w1", { 32000, 131072, 0, 8, 60 });
  cell.mSupervision->SetDrained({ "w0" });
  cell.mJobs->OnFleetChanged({ "w0" });
  const auto countRunning = [&](const WorkerName& aWorker) {
    std::uint32_t n = 0;
    for (const auto& [id, task] : cell.mWorkers.mEndpoints[aWorker].mTasks)
      n += task.mTask.mEnd == TaskEnd::Running ? 1 : 0;
    return n;
  };
  bool missing = false;
  REQUIRE(cell.RunUntil([&] {
    const std::uint32_t old = countRunning("w0");
    const std::uint32_t fresh = countRunning("w1");
    missing = missing || old + fresh == 0;
    return old == 0 && fresh == 1;
  }));
  CHECK_FALSE(missing);
}

TEST_CASE("a new owner of a worker takes over its running tasks", "[supervision][cell]")
{
  JobCell cell(1);
  cell.mWorkers.mRun = milliseconds(300);
  JobSpec spec = MakeSpec("curing", 5);
  spec.mRepeatable = false;
  REQUIRE(cell.Submit(spec).has_value());
  REQUIRE(cell.WaitFor("curing", TaskState::Running, 5));
  cell.mOwnership.mWorkers["w0"].mEpoch = 7;
  REQUIRE(cell.WaitFor("curing", TaskState::Succeeded, 5));
  CHECK(CountStarts(cell) == 5);
  CHECK(cell.mWorkers.mEndpoints["w0"].mHighest == 7);
}
