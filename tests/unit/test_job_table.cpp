// Tests of JobTable: transitions, order of cancellations and restarts, replay, gangs, quotas and
// replicas.
#include <catch2/catch.hpp>

#include "controllers/job_table.h"

using namespace monsoon;

namespace {

TimePoint At(Duration aSince)
{
  return TimePoint{} + seconds(1000) + aSince;
}

JobSpec MakeSpec(JobId aId, JobKind aKind = JobKind::Batch, std::uint32_t aTasks = 1)
{
  JobSpec spec;
  spec.mId = std::move(aId);
  spec.mKind = aKind;
  spec.mTasks = aTasks;
  return spec;
}

struct Fixture
{
  JobTable mTable{};
  Sequence mAt = 0;
  TimePoint mNow = At({});
  PlanContext mContext{};

  Result<void> Apply(const JobEntry& aEntry) { return mTable.Apply(aEntry, ++mAt, mNow); }
  Result<void> Submit(const JobSpec& aSpec) { return Apply(JobSubmitted{ aSpec }); }

  Result<void> Assign(const TaskKey& aTask, std::uint32_t aAttempt, WorkerName aWorker)
  {
    return Apply(TaskAssigned{ aTask, aAttempt, std::move(aWorker), 1, { 1000, 256 } });
  }

  bool End(const TaskKey& aTask, std::uint32_t aAttempt, WorkerName aWorker, TaskEnd aEnd)
  {
    const auto ended = mTable.DecideEnd({ aTask, aAttempt, std::move(aWorker), aEnd });
    return ended && Apply(*ended).has_value();
  }

  std::vector<PlannedGroup> Plan()
  {
    mContext.mNow = mNow;
    return mTable.PlanNext(mContext);
  }

  TaskState GetState(const TaskKey& aTask)
  {
    return mTable.Find(aTask.mJob)->mTasks[aTask.mIndex].mState;
  }
};

}  // namespace

TEST_CASE("a repeated submission fails with AlreadyExists, another job under its id with Conflict",
          "[jobs]")
{
  Fixture f;
  REQUIRE(f.Submit(MakeSpec("a")).has_value());
  CHECK(f.Submit(MakeSpec("a")).error().mKind == FailureKind::AlreadyExists);
  CHECK(f.Submit(MakeSpec("a", JobKind::Batch, 2)).error().mKind == FailureKind::Conflict);
}

TEST_CASE("a cancellation wins over an assignment or restart later in the journal", "[jobs]")
{
  Fixture f;
  REQUIRE(f.Submit(MakeSpec("a", JobKind::Batch, 2)).has_value());
  REQUIRE(f.Assign({ "a", 0 }, 1, "w1").has_value());
  // The restart is decided before the cancellation but journaled after it.
  const auto restart = f.mTable.DecideEnd({ { "a", 0 }, 1, "w1", TaskEnd::Failed });
  REQUIRE(restart->mNext == TaskState::Waiting);
  REQUIRE(f.Apply(JobCancelled{ "a" }).has_value());
  CHECK(f.Assign({ "a", 1 }, 1, "w2").has_error());
  CHECK(f.mTable.ListStops(f.mNow, 10).size() == 1);
  REQUIRE(f.Apply(*restart).has_value());
  CHECK(f.GetState({ "a", 0 }) == TaskState::Cancelled);
  CHECK(f.Plan().empty());
  CHECK(f.mTable.IsDone("a"));
  f.mTable.CheckInvariants();
}

TEST_CASE("late reports of an earlier attempt change nothing", "[jobs]")
{
  Fixture f;
  REQUIRE(f.Submit(MakeSpec("a")).has_value());
  REQUIRE(f.Assign({ "a", 0 }, 1, "w1").has_value());
  REQUIRE(f.End({ "a", 0 }, 1, "w1", TaskEnd::NeverStarted));
  REQUIRE(f.Assign({ "a", 0 }, 2, "w2").has_value());
  CHECK_FALSE(f.End({ "a", 0 }, 1, "w1", TaskEnd::Succeeded));
  CHECK_FALSE(f.mTable.ConfirmRunning({ "a", 0 }, 1, f.mNow));
  CHECK(f.mTable.ConfirmRunning({ "a", 0 }, 2, f.mNow));
  CHECK(f.GetState({ "a", 0 }) == TaskState::Running);
}

TEST_CASE("only failures on distinct workers lead to a dead letter", "[jobs]")
{
  Fixture f;
  REQUIRE(f.Submit(MakeSpec("a")).has_value());
  std::uint32_t attempt = 0;
  for (const char* worker : { "w1", "w1", "w2", "w3" }) {
    REQUIRE(f.GetState({ "a", 0 }) == TaskState::Waiting);
    REQUIRE(f.Assign({ "a", 0 }, ++attempt, worker).has_value());
    REQUIRE(f.End({ "a", 0 }, attempt, worker, TaskEnd::Failed));
  }
  CHECK(f.GetState({ "a", 0 }) == TaskState::DeadLetter);
}

TEST_CASE("a non-repeatable task ends at an unknown outcome but restarts if it never started",
          "[jobs]")
{
  Fixture f;
  JobSpec spec = MakeSpec("curing");
  spec.mRepeatable = false;
  REQUIRE(f.Submit(spec).has_value());
  REQUIRE(f.Assign({ "curing", 0 }, 1, "w1").has_value());
  REQUIRE(f.End({ "curing", 0 }, 1, "w1", TaskEnd::NeverStarted));
  REQUIRE(f.GetState({ "curing", 0 }) == TaskState::Waiting);
  REQUIRE(f.Assign({ "curing", 0 }, 2, "w2").has_value());
  REQUIRE(f.End({ "curing", 0 }, 2, "w2", TaskEnd::Unknown));
  CHECK(f.GetState({ "curing", 0 }) == TaskState::DeadLetter);
}

TEST_CASE("a snapshot restores the same table, and a truncated one is refused", "[jobs]")
{
  Fixture f;
  REQUIRE(f.Submit(MakeSpec("a", JobKind::Batch, 50)).has_value());
  REQUIRE(f.Submit(MakeSpec("b")).has_value());
  REQUIRE(f.Assign({ "a", 3 }, 1, "w1").has_value());
  REQUIRE(f.Assign({ "b", 0 }, 1, "w1").has_value());
  REQUIRE(f.End({ "b", 0 }, 1, "w1", TaskEnd::Succeeded));
  JobTable other;
  REQUIRE(other.Restore(f.mTable.MakeSnapshot(), f.mNow).has_value());
  other.CheckInvariants();
  CHECK(other.MakeSnapshot() == f.mTable.MakeSnapshot());
  CHECK(other.IsCurrent({ "a", 3 }, 1));
  CHECK(other.IsDone("b"));
  const std::string snapshot = f.mTable.MakeSnapshot();
  for (std::size_t n = 0; n < snapshot.size(); n += 7)
    CHECK(other.Restore(std::string_view(snapshot).substr(0, n), f.mNow).has_error());
}

TEST_CASE("entries are unchanged by encoding and decoding, and truncated bytes are refused",
          "[jobs]")
{
  const std::vector<JobEntry> entries{ JobSubmitted{ MakeSpec("a") },
                                       TaskAssigned{ { "a", 0 }, 1, "w", 7, {}, true },
                                       TaskEnded{ { "a", 0 }, 1, TaskEnd::Failed },
                                       JobHeld{ "a", true, "why" },
                                       JobCancelled{ "a" },
                                       ShardFenced{ "p" } };
  const std::string bytes = EncodeEntries(entries);
  const auto decoded = DecodeEntries(bytes);
  REQUIRE(decoded.has_value());
  CHECK(EncodeEntries(*decoded) == bytes);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK(DecodeEntries(std::string_view(bytes).substr(0, n)).has_error());
}

TEST_CASE("a gang is placed as a whole and restarts as a whole", "[jobs]")
{
  Fixture f;
  REQUIRE(f.Submit(MakeSpec("g", JobKind::Gang, 3)).has_value());
  const auto groups = f.Plan();
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].mAllOrNone);
  CHECK(groups[0].mTasks.size() == 3);
  for (std::uint32_t i = 0; i < 3; ++i)
    REQUIRE(f.Assign({ "g", i }, 1, "w1").has_value());
  REQUIRE(f.End({ "g", 1 }, 1, "w1", TaskEnd::Failed));
  f.mNow += seconds(5);
  CHECK(f.Plan().empty());
  CHECK(f.mTable.ListStops(f.mNow, 10).size() == 2);
  REQUIRE(f.End({ "g", 0 }, 1, "w1", TaskEnd::Stopped));
  REQUIRE(f.End({ "g", 2 }, 1, "w1", TaskEnd::Stopped));
  f.mNow += seconds(5);
  REQUIRE(f.Plan().size() == 1);
}

TEST_CASE("long waiting outranks any priority, and a blocked job limits backfill to short jobs",
          "[jobs]")
{
  Fixture f;
  JobSpec low = MakeSpec("low");
  low.mPriority = Priority::Low;
  REQUIRE(f.Submit(low).has_value());
  f.mNow += kLowDelay + seconds(1);
  JobSpec urgent = MakeSpec("urgent");
  urgent.mPriority = Priority::Urgent;
  REQUIRE(f.Submit(urgent).has_value());
  auto groups = f.Plan();
  REQUIRE(groups.size() == 2);
  CHECK(groups[0].mShape.mJob == "low");
  f.mTable.EndPlacing(groups[0], false, f.mNow);
  f.mTable.EndPlacing(groups[1], true, f.mNow);
  JobSpec brief = MakeSpec("brief");
  brief.mExpectedRun = seconds(1);
  REQUIRE(f.Submit(brief).has_value());
  JobSpec lengthy = MakeSpec("lengthy");
  lengthy.mExpectedRun = seconds(600);
  REQUIRE(f.Submit(lengthy).has_value());
  f.mNow += seconds(10);
  std::vector<JobId> planned;
  for (const auto& it : f.Plan())
    planned.push_back(it.mShape.mJob);
  CHECK(planned == std::vector<JobId>{ "low", "brief" });
}

TEST_CASE("a team that may not borrow stays within its guarantee; borrowers are placed later",
          "[quota]")
{
  Fixture f;
  f.mContext.mQuotas["closed"] = { "closed", { 2000 }, false };
  f.mContext.mQuotas["rich"] = { "rich", { 8000 }, true };
  JobSpec closed = MakeSpec("closed-1", JobKind::Batch, 5);
  closed.mTeam = "closed";
  REQUIRE(f.Submit(closed).has_value());
  f.mNow += seconds(1);
  JobSpec rich = MakeSpec("rich-1");
  rich.mTeam = "rich";
  REQUIRE(f.Submit(MakeSpec("none-1")).has_value());
  REQUIRE(f.Submit(rich).has_value());
  const auto groups = f.Plan();
  REQUIRE(groups.size() == 3);
  CHECK(groups[0].mTasks.size() == 2);
  CHECK(groups[1].mShape.mJob == "rich-1");
  CHECK(groups[1].mGuaranteed);
  CHECK(groups[2].mShape.mJob == "none-1");
  REQUIRE(f.Assign({ "closed-1", 0 }, 1, "w").has_value());
  REQUIRE(f.Assign({ "closed-1", 1 }, 1, "w").has_value());
  f.mTable.EndPlacing(groups[0], true, f.mNow);
  CHECK(f.Plan().empty());
}

TEST_CASE("a replica on a leaving worker is replaced before it is stopped", "[jobs]")
{
  Fixture f;
  REQUIRE(f.Submit(MakeSpec("s", JobKind::Service)).has_value());
  REQUIRE(f.Assign({ "s", 0 }, 1, "old").has_value());
  REQUIRE(f.mTable.ConfirmRunning({ "s", 0 }, 1, f.mNow));
  f.mContext.mLeaving = { "old" };
  const auto groups = f.Plan();
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].mReplaces);
  REQUIRE(f.Apply(TaskAssigned{ { "s", 0 }, 2, "new", 1, { 1000, 256 }, true }).has_value());
  CHECK(f.mTable.ListStops(f.mNow, 10).empty());
  SECTION("the new replica runs and the old one is stopped")
  {
    REQUIRE(f.mTable.ConfirmRunning({ "s", 0 }, 2, f.mNow));
    const auto stops = f.mTable.ListStops(f.mNow, 10);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].mWorker == "old");
    CHECK(f.End({ "s", 0 }, 1, "old", TaskEnd::Stopped));
    CHECK(f.GetState({ "s", 0 }) == TaskState::Running);
  }
  SECTION("the new replica never starts and the old one keeps running")
  {
    REQUIRE(f.End({ "s", 0 }, 2, "new", TaskEnd::NeverStarted));
    CHECK(f.mTable.IsCurrent({ "s", 0 }, 1));
    CHECK(f.Assign({ "s", 0 }, 2, "new").has_error());
  }
  f.mTable.CheckInvariants();
}
