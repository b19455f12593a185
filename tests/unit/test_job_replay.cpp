// Replays the traces in tests/replay and checks their expected outcomes. One command per line:
//
//   workers PREFIX COUNT MILLICORES MEMORY_MIB            adds workers PREFIX0, PREFIX1 ...
//   jobs PREFIX COUNT KIND TASKS MILLICORES MEMORY_MIB    submits jobs PREFIX0, PREFIX1 ...
//   once                        the next command "jobs" submits jobs that are not repeatable
//   run_ms N, seed N            base duration of later tasks; seed of the random numbers
//   loss SHARE                  share of messages that are lost
//   place, deliver              one round of placements; delivery of the starts that are due
//   renew, stops, query         lease renewals; stops and queries that the job table lists
//   advance MS, settle ROUNDS   advances the time; runs rounds without faults until all jobs end
//   cancel PREFIX COUNT         cancels jobs
//   cancel-during-place JOB     cancels a job between the plan and the holds of the next "place"
//   kill-shard                  replaces the owner of the shard, which replays the journal
//   kill-owner WORKER           replaces the owner of a worker
//   restart, fails WORKER       restarts a worker; makes all of its tasks end as failed
//   silent, answers WORKER      makes a worker unresponsive, or responsive again
//   report JOB INDEX ATTEMPT END [USED_MILLICORES USED_MEMORY]    delivers a task's report
//   expect JOB STATE COUNT      checks how many tasks of a job are in a state
//   expect-all PREFIX COUNT STATE            checks that all tasks of the jobs are in a state
//   expect-runs JOB INDEX COUNT              checks how often a task has run
//   expect-need JOB INDEX MILLICORES         checks the cores reserved for a task (at least)
//   expect-stops COUNT                       checks how many stops the job table would list
//
// The invariants are checked after each command.
#include <catch2/catch.hpp>

#include <fstream>
#include <functional>
#include <sstream>

#include "tests/unit/job_model.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

template<class Enum>
Enum ParseName(const std::string& aName, Enum aLast)
{
  for (int i = 0; i <= static_cast<int>(aLast); ++i)
    if (aName == GetName(static_cast<Enum>(i)))
      return static_cast<Enum>(i);
  FAIL("unknown name: " << aName);
  return aLast;
}

TaskEnd ParseEnd(const std::string& aName)
{
  static const std::vector<std::string> kNames{ "running", "succeeded",    "failed",
                                                "stopped", "checkpointed", "never_started",
                                                "unknown" };
  for (std::size_t i = 0; i < kNames.size(); ++i)
    if (kNames[i] == aName)
      return static_cast<TaskEnd>(i);
  FAIL("unknown task end: " << aName);
  return TaskEnd::Unknown;
}

struct Line
{
  std::istringstream mIn;
  template<class T>
  T ReadArgument()
  {
    T value{};
    if (!(mIn >> value))
      FAIL("an argument is missing or malformed");
    return value;
  }
  std::string ReadName() { return ReadArgument<std::string>(); }
  std::uint32_t ReadCount() { return ReadArgument<std::uint32_t>(); }
};

class Replay
{
public:
  void Run(const std::string& aFile)
  {
    std::ifstream in(aFile);
    REQUIRE(in.good());
    std::string text;
    for (int n = 1; std::getline(in, text); ++n) {
      if (text.empty() || text[0] == '#')
        continue;
      INFO(aFile << ":" << n << ": " << text);
      Line line{ std::istringstream(text) };
      const std::string command = line.ReadName();
      auto it = mCommands.find(command);
      REQUIRE(it != mCommands.end());
      it->second(line);
      const std::string violation = mModel.FindViolation();
      INFO(violation);
      REQUIRE(violation.empty());
    }
  }

private:
  void AddWorkers(Line& aLine)
  {
    const std::string prefix = aLine.ReadName();
    const std::uint32_t n = aLine.ReadCount();
    const Resources capacity{ aLine.ReadArgument<std::int64_t>(),
                              aLine.ReadArgument<std::int64_t>() };
    for (std::uint32_t i = 0; i < n; ++i)
      mModel.AddWorker(prefix + std::to_string(i), capacity);
  }

  void AddJobs(Line& aLine)
  {
    const std::string prefix = aLine.ReadName();
    const std::uint32_t n = aLine.ReadCount();
    JobSpec spec;
    spec.mKind = ParseName(aLine.ReadName(), JobKind::Watch);
    spec.mTasks = aLine.ReadCount();
    spec.mShape = { aLine.ReadArgument<std::int64_t>(), aLine.ReadArgument<std::int64_t>() };
    spec.mRepeatable = !mNextJobsOnce;
    mNextJobsOnce = false;
    for (std::uint32_t i = 0; i < n; ++i) {
      spec.mId = prefix + std::to_string(i);
      REQUIRE(mModel.Submit(spec).has_value());
    }
  }

  void Cancel(Line& aLine)
  {
    const std::string prefix = aLine.ReadName();
    const std::uint32_t n = aLine.ReadCount();
    for (std::uint32_t i = 0; i < n; ++i)
      mModel.Cancel(prefix + std::to_string(i));
  }

  void Report(Line& aLine)
  {
    TaskReport report;
    report.mTask = { aLine.ReadName(), aLine.ReadCount() };
    report.mAttempt = aLine.ReadCount();
    report.mEnd = ParseEnd(aLine.ReadName());
    if (aLine.mIn >> report.mUsed.mMilliCores)
      report.mUsed.mMemoryMiB = aLine.ReadArgument<std::int64_t>();
    mModel.ApplyReport(report);
  }

  void Expect(Line& aLine)
  {
    const JobId job = aLine.ReadName();
    const TaskState state = ParseName(aLine.ReadName(), TaskState::Held);
    CHECK(mModel.CountStates(job, state) == aLine.ReadCount());
  }

  void ExpectAll(Line& aLine)
  {
    const std::string prefix = aLine.ReadName();
    const std::uint32_t n = aLine.ReadCount();
    const TaskState state = ParseName(aLine.ReadName(), TaskState::Held);
    for (std::uint32_t i = 0; i < n; ++i) {
      const JobRecord* job = mModel.mTable.Find(prefix + std::to_string(i));
      REQUIRE(job != nullptr);
      INFO(job->mSpec.mId);
      CHECK(mModel.CountStates(job->mSpec.mId, state) == job->mSpec.mTasks);
    }
  }

  void ExpectRuns(Line& aLine)
  {
    const TaskKey task{ aLine.ReadName(), aLine.ReadCount() };
    CHECK(mModel.CountRuns(task) == aLine.ReadCount());
  }

  void ExpectNeed(Line& aLine)
  {
    const JobRecord* job = mModel.mTable.Find(aLine.ReadName());
    REQUIRE(job != nullptr);
    const TaskRecord& task = job->mTasks.at(aLine.ReadCount());
    CHECK(task.mNeed.mMilliCores >= aLine.ReadArgument<std::int64_t>());
  }

  void ExpectStops(Line& aLine)
  {
    std::size_t n = 0;
    JobTable copy;
    REQUIRE(copy.Restore(mModel.mTable.MakeSnapshot(), mModel.mNow).has_value());
    n = copy.ListStops(mModel.mNow, 100000).size();
    CHECK(n == aLine.ReadCount());
  }

  using Command = std::function<void(Line&)>;

  JobModel mModel{ 1 };
  bool mNextJobsOnce = false;
  std::map<std::string, Command> mCommands{
    { "workers", [this](Line& aIt) { AddWorkers(aIt); } },
    { "jobs", [this](Line& aIt) { AddJobs(aIt); } },
    { "once", [this](Line&) { mNextJobsOnce = true; } },
    { "run_ms", [this](Line& aIt) { mModel.mRun = milliseconds(aIt.ReadCount()); } },
    { "seed", [this](Line& aIt) { mModel.mRandom.seed(aIt.ReadCount()); } },
    { "loss", [this](Line& aIt) { mModel.mLoss = aIt.ReadArgument<double>(); } },
    { "place", [this](Line&) { mModel.Place(); } },
    { "deliver", [this](Line&) { mModel.DeliverStarts(); } },
    { "renew", [this](Line&) { mModel.RenewAll(); } },
    { "stops", [this](Line&) { mModel.SendStops(); } },
    { "query", [this](Line&) { mModel.SendQueries(); } },
    { "advance", [this](Line& aIt) { mModel.Advance(milliseconds(aIt.ReadCount())); } },
    { "settle", [this](Line& aIt) { mModel.Settle(aIt.ReadCount()); } },
    { "cancel", [this](Line& aIt) { Cancel(aIt); } },
    { "cancel-during-place",
      [this](Line& aIt) { mModel.mCancelDuringPlace.push_back(aIt.ReadName()); } },
    { "kill-shard", [this](Line&) { mModel.KillShardOwner(); } },
    { "kill-owner", [this](Line& aIt) { mModel.KillWorkerOwner(aIt.ReadName()); } },
    { "restart", [this](Line& aIt) { mModel.RestartWorker(aIt.ReadName()); } },
    { "fails", [this](Line& aIt) { mModel.mWorkers[aIt.ReadName()].mFailsAll = true; } },
    { "silent", [this](Line& aIt) { mModel.mWorkers[aIt.ReadName()].mResponsive = false; } },
    { "answers", [this](Line& aIt) { mModel.mWorkers[aIt.ReadName()].mResponsive = true; } },
    { "report", [this](Line& aIt) { Report(aIt); } },
    { "expect", [this](Line& aIt) { Expect(aIt); } },
    { "expect-all", [this](Line& aIt) { ExpectAll(aIt); } },
    { "expect-runs", [this](Line& aIt) { ExpectRuns(aIt); } },
    { "expect-need", [this](Line& aIt) { ExpectNeed(aIt); } },
    { "expect-stops", [this](Line& aIt) { ExpectStops(aIt); } },
  };
};

}  // namespace

TEST_CASE("recorded traces reach their expected outcomes", "[replay]")
{
  const std::string folder = MONSOONSTAGE_SOURCE_DIR "/tests/replay/";
  for (const char* name : { "cancel_wave",
                            "bad_worker",
                            "gangs_contend",
                            "ten_fold_size",
                            "previous_epoch",
                            "crossed_reports",
                            "killed_before_start",
                            "unresponsive_worker" }) {
    Replay replay;
    replay.Run(folder + name + ".txt");
  }
}
