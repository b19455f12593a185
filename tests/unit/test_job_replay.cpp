// Replays the traces in tests/replay against their stated outcomes. One command a line:
//
//   workers PREFIX COUNT MILLICORES MEMORY_MIB     jobs PREFIX COUNT KIND TASKS MILLICORES
//   MEMORY_MIB once (the next jobs are not to be repeated)    run_ms N     seed N     loss SHARE
//   place   deliver   renew   stops   query        advance MS   settle ROUNDS
//   cancel PREFIX COUNT   kill-shard   kill-owner WORKER   restart WORKER   fails WORKER
//   silent WORKER   answers WORKER   report JOB INDEX ATTEMPT END [USED_MILLICORES USED_MEMORY]
//   expect JOB STATE COUNT     expect-all PREFIX COUNT STATE     expect-runs JOB INDEX COUNT
//   expect-need JOB INDEX MILLICORES (at least)     expect-stops COUNT
//
// The invariants are checked after each line.
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
  FAIL("no such name: " << aName);
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
  FAIL("no such end: " << aName);
  return TaskEnd::Unknown;
}

struct Line
{
  std::istringstream mIn;
  template<class T>
  T Take()
  {
    T value{};
    if (!(mIn >> value))
      FAIL("an argument is missing or malformed");
    return value;
  }
  std::string TakeName() { return Take<std::string>(); }
  std::uint32_t TakeCount() { return Take<std::uint32_t>(); }
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
      const std::string command = line.TakeName();
      auto it = mCommands.find(command);
      REQUIRE(it != mCommands.end());
      it->second(line);
      const std::string broken = mModel.FindBroken();
      INFO(broken);
      REQUIRE(broken.empty());
    }
  }

private:
  void AddWorkers(Line& aLine)
  {
    const std::string prefix = aLine.TakeName();
    const std::uint32_t n = aLine.TakeCount();
    const Resources capacity{ aLine.Take<std::int64_t>(), aLine.Take<std::int64_t>() };
    for (std::uint32_t i = 0; i < n; ++i)
      mModel.AddWorker(prefix + std::to_string(i), capacity);
  }

  void AddJobs(Line& aLine)
  {
    const std::string prefix = aLine.TakeName();
    const std::uint32_t n = aLine.TakeCount();
    JobSpec spec;
    spec.mKind = ParseName(aLine.TakeName(), JobKind::Watch);
    spec.mTasks = aLine.TakeCount();
    spec.mShape = { aLine.Take<std::int64_t>(), aLine.Take<std::int64_t>() };
    spec.mRepeatable = !mOnce;
    mOnce = false;
    for (std::uint32_t i = 0; i < n; ++i) {
      spec.mId = prefix + std::to_string(i);
      REQUIRE(mModel.Submit(spec).has_value());
    }
  }

  void Cancel(Line& aLine)
  {
    const std::string prefix = aLine.TakeName();
    const std::uint32_t n = aLine.TakeCount();
    for (std::uint32_t i = 0; i < n; ++i)
      mModel.Cancel(prefix + std::to_string(i));
  }

  void Report(Line& aLine)
  {
    TaskReport report;
    report.mTask = { aLine.TakeName(), aLine.TakeCount() };
    report.mAttempt = aLine.TakeCount();
    report.mEnd = ParseEnd(aLine.TakeName());
    if (aLine.mIn >> report.mUsed.mMilliCores)
      report.mUsed.mMemoryMiB = aLine.Take<std::int64_t>();
    mModel.ApplyReport(report);
  }

  void Expect(Line& aLine)
  {
    const JobId job = aLine.TakeName();
    const TaskState state = ParseName(aLine.TakeName(), TaskState::Held);
    CHECK(mModel.CountStates(job, state) == aLine.TakeCount());
  }

  void ExpectAll(Line& aLine)
  {
    const std::string prefix = aLine.TakeName();
    const std::uint32_t n = aLine.TakeCount();
    const TaskState state = ParseName(aLine.TakeName(), TaskState::Held);
    for (std::uint32_t i = 0; i < n; ++i) {
      const JobRecord* job = mModel.mTable.Find(prefix + std::to_string(i));
      REQUIRE(job != nullptr);
      INFO(job->mSpec.mId);
      CHECK(mModel.CountStates(job->mSpec.mId, state) == job->mSpec.mTasks);
    }
  }

  void ExpectRuns(Line& aLine)
  {
    const TaskKey task{ aLine.TakeName(), aLine.TakeCount() };
    CHECK(mModel.CountRuns(task) == aLine.TakeCount());
  }

  void ExpectNeed(Line& aLine)
  {
    const JobRecord* job = mModel.mTable.Find(aLine.TakeName());
    REQUIRE(job != nullptr);
    const TaskRecord& task = job->mTasks.at(aLine.TakeCount());
    CHECK(task.mNeed.mMilliCores >= aLine.Take<std::int64_t>());
  }

  void ExpectStops(Line& aLine)
  {
    std::size_t n = 0;
    JobTable copy;
    REQUIRE(copy.Restore(mModel.mTable.MakeSnapshot(), mModel.mNow).has_value());
    n = copy.ListStops(mModel.mNow, 100000).size();
    CHECK(n == aLine.TakeCount());
  }

  using Command = std::function<void(Line&)>;

  JobModel mModel{ 1 };
  bool mOnce = false;
  std::map<std::string, Command> mCommands{
    { "workers", [this](Line& aIt) { AddWorkers(aIt); } },
    { "jobs", [this](Line& aIt) { AddJobs(aIt); } },
    { "once", [this](Line&) { mOnce = true; } },
    { "run_ms", [this](Line& aIt) { mModel.mRun = milliseconds(aIt.TakeCount()); } },
    { "seed", [this](Line& aIt) { mModel.mRandom.seed(aIt.TakeCount()); } },
    { "loss", [this](Line& aIt) { mModel.mLoss = aIt.Take<double>(); } },
    { "place", [this](Line&) { mModel.Place(); } },
    { "deliver", [this](Line&) { mModel.DeliverStarts(); } },
    { "renew", [this](Line&) { mModel.RenewAll(); } },
    { "stops", [this](Line&) { mModel.SendStops(); } },
    { "query", [this](Line&) { mModel.SendQueries(); } },
    { "advance", [this](Line& aIt) { mModel.Advance(milliseconds(aIt.TakeCount())); } },
    { "settle", [this](Line& aIt) { mModel.Settle(aIt.TakeCount()); } },
    { "cancel", [this](Line& aIt) { Cancel(aIt); } },
    { "cancel-during-place",
      [this](Line& aIt) { mModel.mCancelDuringPlace.push_back(aIt.TakeName()); } },
    { "kill-shard", [this](Line&) { mModel.KillShardOwner(); } },
    { "kill-owner", [this](Line& aIt) { mModel.KillWorkerOwner(aIt.TakeName()); } },
    { "restart", [this](Line& aIt) { mModel.RestartWorker(aIt.TakeName()); } },
    { "fails", [this](Line& aIt) { mModel.mWorkers[aIt.TakeName()].mFailsAll = true; } },
    { "silent", [this](Line& aIt) { mModel.mWorkers[aIt.TakeName()].mUp = false; } },
    { "answers", [this](Line& aIt) { mModel.mWorkers[aIt.TakeName()].mUp = true; } },
    { "report", [this](Line& aIt) { Report(aIt); } },
    { "expect", [this](Line& aIt) { Expect(aIt); } },
    { "expect-all", [this](Line& aIt) { ExpectAll(aIt); } },
    { "expect-runs", [this](Line& aIt) { ExpectRuns(aIt); } },
    { "expect-need", [this](Line& aIt) { ExpectNeed(aIt); } },
    { "expect-stops", [this](Line& aIt) { ExpectStops(aIt); } },
  };
};

}  // namespace

TEST_CASE("recorded traces end as stated", "[replay]")
{
  const std::string folder = MONSOONSTAGE_SOURCE_DIR "/tests/replay/";
  for (const char* name : { "cancel_wave",
                            "bad_worker",
                            "gangs_contend",
                            "ten_fold_size",
                            "former_epoch",
                            "crossed_reports",
                            "killed_before_start",
                            "silent_worker" }) {
    Replay replay;
    replay.Run(folder + name + ".txt");
  }
}
