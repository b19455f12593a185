#include <catch2/catch.hpp>

#include "command/execute.h"

using namespace monsoon;

namespace {

struct FakeBackend
{
  Configuration mConfiguration{};
  std::vector<JobStatus> mJobs{};
  std::vector<WorkerRow> mWorkers{};

  JobStatus* Find(const JobId& aId)
  {
    for (JobStatus& it : mJobs)
      if (it.mSpec.mId == aId)
        return &it;
    return nullptr;
  }

  Async<Result<JobStatus>> SubmitJob(JobSpec aSpec, std::optional<Revision>)
  {
    JobStatus status;
    status.mSpec = std::move(aSpec);
    status.mTasks.resize(status.mSpec.mTasks);
    mJobs.push_back(status);
    co_return status;
  }
  Async<Result<JobStatus>> ChangeJob(JobId aId,
                                     JobChange aChange,
                                     std::optional<Revision> aExpected)
  {
    JobStatus* job = Find(aId);
    if (!job)
      co_return MakeFailure(FailureKind::NotFound, aId);
    if (aExpected && *aExpected != job->mAt)
      co_return MakeFailure(FailureKind::Conflict, "the job is at " + std::to_string(job->mAt));
    job->mSpec.mTasks = aChange.mTasks.value_or(job->mSpec.mTasks);
    ++job->mAt;
    co_return *job;
  }
  Async<Result<JobStatus>> CancelJob(JobId aId, std::optional<Revision>)
  {
    JobStatus* job = Find(aId);
    if (!job)
      co_return MakeFailure(FailureKind::NotFound, aId);
    for (TaskStatus& it : job->mTasks)
      it.mState = TaskState::Cancelled;
    co_return *job;
  }
  Async<Result<JobStatus>> FindJob(JobId aId) { co_return *Find(aId); }
  Async<Result<std::vector<JobStatus>>> ListJobs(std::uint32_t) { co_return mJobs; }
  Async<Result<JobExplanation>> ExplainJob(JobId aId)
  {
    JobExplanation explanation;
    explanation.mStatus = *Find(aId);
    explanation.mFit.mNeverFits = 3;
    explanation.mLargest = { 32000, 1024, 0, 0, 0 };
    co_return explanation;
  }
  Async<Result<std::vector<WorkerRow>>> ListWorkers() { co_return mWorkers; }
  Async<Result<std::vector<ProcessRow>>> ListProcesses() { co_return std::vector<ProcessRow>(); }
  std::shared_ptr<const Configuration> GetConfiguration()
  {
    return std::make_shared<const Configuration>(mConfiguration);
  }
  Async<Result<Revision>> ChangeConfiguration(DeclarationChange aChange,
                                              std::optional<Revision> aExpected)
  {
    if (aExpected && *aExpected != mConfiguration.mRevision)
      co_return MakeFailure(FailureKind::Conflict, "another change came first");
    if (auto* it = std::get_if<PutSetting>(&aChange))
      mConfiguration.mSettings[it->mName] = it->mValue;
    if (auto* it = std::get_if<PutDrained>(&aChange))
      mConfiguration.mDrained[it->mWorker] = it->mDrained;
    if (auto* it = std::get_if<PutTeam>(&aChange))
      mConfiguration.mTeams[it->mQuota.mTeam] = it->mQuota;
    co_return ++mConfiguration.mRevision;
  }
};

struct Session
{
  FakeBackend mBackend{};

  Result<Table> Run(std::string aText)
  {
    asio::io_context context;
    Result<Table> result = MakeFailure(FailureKind::Internal);
    CommandExecutor<FakeBackend> executor(mBackend);
    asio::co_spawn(
      context, [&]() -> Async<void> { result = co_await executor.Run(aText); }, asio::detached);
    context.run();
    return result;
  }
  std::string Show(std::string aText)
  {
    const auto table = Run(std::move(aText));
    return table ? FormatText(*table) : table.error().mDetail;
  }
};

}  // namespace

TEST_CASE("changes at an outdated revision fail with a conflict", "[command]")
{
  Session session;
  REQUIRE(session.Run("set routing = random if revision 0").has_value());
  const auto late = session.Run("set routing = two_choices if revision 0");
  REQUIRE(late.has_error());
  CHECK(late.error().mKind == FailureKind::Conflict);
  CHECK(session.mBackend.mConfiguration.mSettings.at("routing") == "random");
  REQUIRE(session.Run("create service \"web\" replicas 2").has_value());
  REQUIRE(session.Run("change service \"web\" replicas 3 if revision 0").has_value());
  CHECK(session.Run("cancel job \"none\"").error().mKind == FailureKind::NotFound);
  CHECK(session.Run("change service \"web\" replicas 4 if revision 0").error().mKind ==
        FailureKind::Conflict);
}

TEST_CASE("tables are filtered, ordered and limited", "[command]")
{
  Session session;
  for (const char* it : { "create batch \"b\" tasks 3", "create watch \"a\"", "create gang \"c\"" })
    REQUIRE(session.Run(it).has_value());
  REQUIRE(session.Run("cancel job \"c\"").has_value());
  CHECK(session.Show("show jobs where state = waiting order by job limit 1") ==
        "job  kind   team     priority  state    tasks  running  ended  revision  reason\n"
        "a    watch  default  normal    waiting      1        0      0         0  \n");
  CHECK(session.Run("show jobs where tasks >= 1")->mRows.size() == 3);
  CHECK(session.Run("show tasks where job = \"b\"")->mRows.size() == 3);
  CHECK(
    session.Show("show jobs where nothing = 1").find("no column nothing; there are job, kind") ==
    0);
  CHECK(session.Show("show jobs where tasks = many") == "tasks is compared with a value of another "
                                                        "type");
}

TEST_CASE("explain names what would make a job fit", "[command]")
{
  Session session;
  REQUIRE(session.Run("create batch \"big\" memory 4GiB cores 2").has_value());
  const std::string text = session.Show("explain job \"big\"");
  CHECK(text.find("workers too small when empty") != std::string::npos);
  CHECK(text.find("would fit with memory_mib at most     1024") != std::string::npos);
  CHECK(text.find("would fit with cores_m") == std::string::npos);
}

TEST_CASE("show config lists the commands that set the configuration", "[command]")
{
  Session session;
  REQUIRE(session.Run("set team \"t\" quota cores 2").has_value());
  REQUIRE(session.Run("drain worker \"w\"").has_value());
  const auto table = session.Run("show config");
  REQUIRE(table.has_value());
  REQUIRE(table->mRows.size() == 3);
  CHECK(std::get<std::string>(table->mRows[0][1]) == "2");
  CHECK(std::get<std::string>(table->mRows[1][2]) ==
        "set team \"t\" quota cores 2.000 memory 0MiB");
  const auto back = ParseTable(FormatJson(*table));
  REQUIRE(back.has_value());
  CHECK(back->mRows == table->mRows);
}
