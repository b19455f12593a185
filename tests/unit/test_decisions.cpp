// Gangs, preemption, restarts, quarantine, task sizes and the state machine of a task.
#include <catch2/catch.hpp>

#include "controllers/job_table_machine.h"
#include "policy/gang.h"
#include "policy/quarantine.h"
#include "policy/restart.h"
#include "policy/sizing.h"

using namespace monsoon;

namespace {

TimePoint At(Duration aSince)
{
  return TimePoint{} + seconds(1000) + aSince;
}

}  // namespace

TEST_CASE("no event leaves a final state", "[decisions]")
{
  for (const TaskState state :
       { TaskState::Succeeded, TaskState::Cancelled, TaskState::DeadLetter })
    for (std::size_t i = 0; i < kTaskEvents; ++i)
      CHECK_FALSE(FindNextState(state, static_cast<TaskEvent>(i)).has_value());
  CHECK(FindNextState(TaskState::Waiting, TaskEvent::Assign) == TaskState::Assigned);
  CHECK_FALSE(FindNextState(TaskState::Held, TaskEvent::Assign).has_value());
  CHECK_FALSE(FindNextState(TaskState::Running, TaskEvent::Assign).has_value());
}

TEST_CASE("a gang's plan has all tasks in order of worker names, or is empty", "[gang]")
{
  const std::vector<Offer> offers{ { "w2", "a", "1", 2 }, { "w1", "a", "1", 2 } };
  const std::vector<std::uint32_t> tasks{ 0, 1, 2, 3 };
  const auto steps = PlanGang(offers, tasks);
  REQUIRE(steps.size() == 2);
  CHECK(steps[0].mWorker == "w1");
  CHECK(PlanGang(std::span(offers).first(1), tasks).empty());
}

TEST_CASE("preemption victims: lowest priority, then borrowed, then least work, on one worker",
          "[gang]")
{
  const Resources need{ 2000, 256 };
  const std::vector<PreemptionCandidate> running{
    { { "normal", 0 }, 1, "w1", need, Priority::Normal, true, seconds(1) },
    { { "low-old", 0 }, 1, "w2", need, Priority::Low, true, seconds(100) },
    { { "low-new", 0 }, 1, "w3", need, Priority::Low, true, seconds(2) },
  };
  const auto victims = ChooseVictims(running, need, Priority::Normal, false);
  REQUIRE(victims.size() == 1);
  CHECK(victims[0].mTask.mJob == "low-new");
  CHECK(ChooseVictims(running, need, Priority::Low, false).empty());
  CHECK(ChooseVictims(running, need, Priority::Low, true).size() == 1);
  CHECK(ChooseVictims(running, { 9000, 256 }, Priority::Urgent, true).empty());
}

TEST_CASE("services and watches restart without limit, other tasks up to a number of workers",
          "[restart]")
{
  RestartContext context;
  context.mEnd = TaskEnd::Failed;
  context.mDistinctWorkers = 3;
  context.mFailures = 3;
  CHECK(DecideAfterEnd(context) == TaskState::DeadLetter);
  context.mKind = JobKind::Watch;
  CHECK(DecideAfterEnd(context) == TaskState::Waiting);
  context.mCancelled = true;
  CHECK(DecideAfterEnd(context) == TaskState::Cancelled);
  const Duration watch = ComputeRestartDelay(JobKind::Watch, TaskEnd::Failed, 20, 1);
  CHECK(watch < ComputeRestartDelay(JobKind::Batch, TaskEnd::Failed, 20, 0));
  CHECK(ComputeRestartDelay(JobKind::Batch, TaskEnd::Failed, 3, 0.1) !=
        ComputeRestartDelay(JobKind::Batch, TaskEnd::Failed, 3, 0.9));
}

TEST_CASE("a worker that fails all jobs is quarantined and probed; one bad job is not enough",
          "[quarantine]")
{
  Quarantine quarantine;
  for (int i = 0; i < 20; ++i)
    quarantine.Record("good", "bad-job", true, At({}));
  CHECK_FALSE(quarantine.IsExcluded("good", At({})));
  for (const char* job : { "a", "b", "c" })
    quarantine.Record("bad", job, true, At({}));
  CHECK(quarantine.IsExcluded("bad", At(seconds(1))));
  // Half-open: one probe at a time.
  CHECK_FALSE(quarantine.IsExcluded("bad", At(seconds(11))));
  quarantine.BeginStart("bad", At(seconds(11)));
  CHECK(quarantine.IsExcluded("bad", At(seconds(12))));
  SECTION("a failed probe doubles the pause")
  {
    quarantine.Record("bad", "d", true, At(seconds(12)));
    CHECK(quarantine.IsExcluded("bad", At(seconds(31))));
    CHECK_FALSE(quarantine.IsExcluded("bad", At(seconds(33))));
  }
  SECTION("a successful probe ends the quarantine")
  {
    quarantine.Record("bad", "d", false, At(seconds(12)));
    CHECK_FALSE(quarantine.IsExcluded("bad", At(seconds(12))));
  }
}

TEST_CASE("all failures of a job that succeeds elsewhere count against the worker", "[quarantine]")
{
  Quarantine quarantine;
  quarantine.Record("good", "j", false, At({}));
  for (int i = 0; i < 3; ++i)
    quarantine.Record("bad", "j", true, At({}));
  CHECK(quarantine.IsExcluded("bad", At({})));
}

TEST_CASE("sizes are corrected by use and never below what is in use", "[sizing]")
{
  SizeCorrector sizes;
  const Resources declared{ 1000, 1024, 1, 0, 0 };
  for (int i = 0; i < 20; ++i)
    sizes.Record("ten-fold", declared, { 10000, 10240, 1, 0, 0 });
  const Resources corrected = sizes.Correct("ten-fold", declared);
  CHECK(corrected.mMilliCores >= 10000);
  CHECK(corrected.mMilliCores <= 12000);
  CHECK(corrected.mAccelerators == 1);
  for (int i = 0; i < 20; ++i)
    sizes.Record("exact", declared, declared);
  CHECK(sizes.Correct("exact", declared) == declared);
  for (int i = 0; i < 20; ++i)
    sizes.Record("idle", declared, { 10, 10, 0, 0, 0 });
  CHECK(sizes.Correct("idle", declared).mMilliCores == 250);
  CHECK(sizes.Correct("idle", declared, { 900, 100, 0, 0, 0 }).mMilliCores == 900);
  JobSpec one;
  one.mId = "curing-17";
  JobSpec other;
  other.mId = "curing-18";
  CHECK(MakeSizeClass(one) == MakeSizeClass(other));
}
