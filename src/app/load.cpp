#include "app/load.h"

#include <boost/json.hpp>

#include <algorithm>
#include <random>
#include <thread>

#include "core/json.h"

namespace monsoon {

namespace json = boost::json;

namespace {

constexpr Duration kRequestTimeout = seconds(30);
constexpr Duration kJobPollInterval = milliseconds(100);
constexpr Duration kCallTimeout = seconds(5);

// One load run. Everything happens on one thread, so it needs no locks.
class LoadRun
{
public:
  LoadRun(const LoadOptions& aOptions, std::vector<HttpAddress> aTargets, Duration aFinishTimeout)
    : mOptions(aOptions)
    , mTargets(std::move(aTargets))
    , mCancels(aOptions.mSeed)
    , mFinishTimeout(aFinishTimeout)
  {
    mReport.mProfile = aOptions.mProfile.mName;
    mReport.mSeed = aOptions.mSeed;
    // The time makes the ids of two runs against one cell differ, even with the same seed.
    mPrefix = aOptions.mProfile.mName + "-" + std::to_string(ReadWallMillis()) + "-";
  }

  Async<void> Run(const std::vector<LoadItem>& aPlan);
  Async<void> Report(std::function<void(const LoadProgress&)> aProgress);
  LoadReport TakeReport();
  void Close() { mClient.Clear(); }

private:
  Async<void> RunRequest(LoadItem aItem, std::string aId, HttpAddress aTarget, TimePoint aDue);
  Async<void> RunJob(LoadItem aItem, std::string aId, HttpAddress aTarget, TimePoint aDue);
  Async<void> FollowJob(LoadItem aItem, std::string aId, HttpAddress aTarget, TimePoint aDue);
  Async<void> Cancel(std::string aId);
  void CancelWave(const asio::any_io_executor& aExecutor);
  void CountProblem(const Result<HttpResponse>& aAnswer);
  void CountAnswered(const WorkClass& aWork);
  HttpRequest MakeRequest(const LoadItem& aItem, const std::string& aId) const;
  HttpRequest MakeJob(const LoadItem& aItem, const std::string& aId) const;

  const LoadOptions& mOptions;
  std::vector<HttpAddress> mTargets;
  std::mt19937_64 mCancels;
  Duration mFinishTimeout;
  HttpClient mClient{};
  LoadReport mReport{};
  std::string mPrefix{};
  Histogram mWaiting{};
  Histogram mUrgentWaiting{};
  Histogram mJobWaiting{};
  std::map<std::string, HttpAddress> mJobs{};  // in flight; the process that accepted each job
  std::map<std::string, bool> mCancelled{};
  std::uint64_t mInFlight = 0;
  TimePoint mFinishDeadline = TimePoint::max();
};

std::string MakePayload(const LoadItem& aItem, const std::string& aId)
{
  json::object payload;
  payload["run_ms"] = std::chrono::duration_cast<milliseconds>(aItem.mRun).count();
  payload["id"] = aId;
  return json::serialize(payload);
}

HttpRequest LoadRun::MakeRequest(const LoadItem& aItem, const std::string& aId) const
{
  const WorkClass& work = mOptions.mProfile.mClasses[aItem.mClass];
  HttpRequest request(http::verb::post, "/v1/requests", 11);
  request.set("Request-Id", aId);
  request.set("Priority", GetName(work.mPriority));
  request.set("Request-Timeout", "30s");
  if (!work.mRepeatable) {
    request.set("Repeatable", "no");
    request.set("Idempotency-Key", aId);
  }
  request.body() = MakePayload(aItem, aId);
  return request;
}

HttpRequest LoadRun::MakeJob(const LoadItem& aItem, const std::string& aId) const
{
  const WorkClass& work = mOptions.mProfile.mClasses[aItem.mClass];
  JobSpec spec;
  spec.mId = aId;
  spec.mKind = work.mKind;
  spec.mPriority = work.mPriority;
  spec.mTasks = work.mTasks;
  spec.mShape = aItem.mDeclared;
  spec.mExpectedRun = aItem.mDeclaredRun;
  spec.mRepeatable = work.mRepeatable;
  spec.mPayload = MakePayload(aItem, aId);
  HttpRequest request(http::verb::post, "/v1/jobs", 11);
  request.body() = json::serialize(monsoon::MakeJson(spec));
  return request;
}

void LoadRun::CountProblem(const Result<HttpResponse>& aAnswer)
{
  if (!aAnswer) {
    const bool unsent = aAnswer.error().mKind == FailureKind::EndpointUnreachable;
    ++(unsent ? mReport.mNotRun : mReport.mUnknown);
    return;
  }
  const auto problem = ParseJson(aAnswer->body());
  const std::string outcome = problem ? GetString(*problem, "outcome") : std::string();
  if (outcome == GetName(Outcome::NotRun))
    ++mReport.mNotRun;
  else if (outcome == GetName(Outcome::Unknown))
    ++mReport.mUnknown;
  else
    ++mReport.mFailed;
}

void LoadRun::CountAnswered(const WorkClass& aWork)
{
  ++mReport.mAnswered;
  ++mReport.mByClass[aWork.mName];
}

Async<void> LoadRun::RunRequest(LoadItem aItem,
                                std::string aId,
                                HttpAddress aTarget,
                                TimePoint aDue)
{
  const WorkClass& work = mOptions.mProfile.mClasses[aItem.mClass];
  auto answer = co_await mClient.Call(aTarget, MakeRequest(aItem, aId), kRequestTimeout);
  const Duration waited = BootClock::now() - aDue - aItem.mRun;
  --mInFlight;
  if (!answer || answer->result() != http::status::ok) {
    CountProblem(answer);
    co_return;
  }
  const auto body = ParseJson(answer->body());
  if (!body || GetString(*body, "echo") != MakePayload(aItem, aId)) {
    ++mReport.mWrongAnswers;
    co_return;
  }
  CountAnswered(work);
  mWaiting.Record(waited);
  if (work.mPriority == Priority::Urgent)
    mUrgentWaiting.Record(waited);
}

Async<void> LoadRun::RunJob(LoadItem aItem, std::string aId, HttpAddress aTarget, TimePoint aDue)
{
  auto answer = co_await mClient.Call(aTarget, MakeJob(aItem, aId), kRequestTimeout);
  if (!answer || http::to_status_class(answer->result()) != http::status_class::successful) {
    --mInFlight;
    CountProblem(answer);
    co_return;
  }
  mJobs[aId] = aTarget;
  co_await FollowJob(aItem, aId, aTarget, aDue);
  mJobs.erase(aId);
  --mInFlight;
}

struct JobCounts
{
  std::uint64_t mSucceeded = 0;
  std::uint64_t mRunning = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mDead = 0;
};

std::optional<JobCounts> ParseCounts(const Result<HttpResponse>& aAnswer)
{
  if (!aAnswer || aAnswer->result() != http::status::ok)
    return std::nullopt;
  const auto body = ParseJson(aAnswer->body());
  if (!body)
    return std::nullopt;
  const json::value& states = GetMember(*body, "states");
  return JobCounts{ GetUnsigned(states, GetName(TaskState::Succeeded)),
                    GetUnsigned(states, GetName(TaskState::Running)),
                    GetUnsigned(states, GetName(TaskState::Cancelled)),
                    GetUnsigned(states, GetName(TaskState::DeadLetter)) +
                      GetUnsigned(states, GetName(TaskState::Failed)) };
}

// Polls a job until it ends. Services and watches don't end: they count as answered once all their
// tasks have started, and are then cancelled.
Async<void> LoadRun::FollowJob(LoadItem aItem, std::string aId, HttpAddress aTarget, TimePoint aDue)
{
  const WorkClass& work = mOptions.mProfile.mClasses[aItem.mClass];
  const bool endless = work.mKind == JobKind::Service || work.mKind == JobKind::Watch;
  while (BootClock::now() < mFinishDeadline) {
    co_await Sleep(kJobPollInterval);
    HttpRequest request(http::verb::get, "/v1/jobs/" + EncodeTarget(aId), 11);
    const auto counts =
      ParseCounts(co_await mClient.Call(aTarget, std::move(request), kCallTimeout));
    if (!counts)
      continue;
    const bool ran = counts->mSucceeded >= work.mTasks ||
                     (endless && counts->mRunning + counts->mSucceeded >= work.mTasks);
    if (ran) {
      const bool atEnd = counts->mSucceeded >= work.mTasks;
      mJobWaiting.Record(BootClock::now() - aDue - (atEnd ? aItem.mRun : Duration::zero()));
      CountAnswered(work);
      if (endless)
        co_await Cancel(aId);
      co_return;
    }
    if (counts->mCancelled + counts->mDead + counts->mSucceeded < work.mTasks)
      continue;
    ++(counts->mDead > 0 ? mReport.mFailed : mReport.mCancelled);
    co_return;
  }
  ++mReport.mUnfinished;
}

Async<void> LoadRun::Cancel(std::string aId)
{
  auto it = mJobs.find(aId);
  if (it == mJobs.end())
    co_return;
  const HttpAddress target = it->second;
  HttpRequest request(http::verb::delete_, "/v1/jobs/" + EncodeTarget(aId), 11);
  co_await mClient.Call(target, std::move(request), kCallTimeout);
}

void LoadRun::CancelWave(const asio::any_io_executor& aExecutor)
{
  for (const auto& [id, target] : mJobs) {
    const bool chosen = static_cast<double>(mCancels() >> 11U) * 0x1p-53 < mOptions.mCancelShare;
    if (chosen && !std::exchange(mCancelled[id], true))
      asio::co_spawn(aExecutor, Cancel(id), asio::detached);
  }
}

Async<void> LoadRun::Run(const std::vector<LoadItem>& aPlan)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const TimePoint start = BootClock::now();
  std::size_t next = 0;
  for (const LoadItem& it : aPlan) {
    const TimePoint due = start + it.mAt;
    if (due > BootClock::now())
      co_await Sleep(due - BootClock::now());
    if (it.mCancelWave) {
      CancelWave(executor);
      continue;
    }
    const std::string id = mPrefix + std::to_string(next);
    const HttpAddress target = mTargets[next++ % mTargets.size()];
    ++mReport.mAsked;
    ++mInFlight;
    if (mOptions.mProfile.mClasses[it.mClass].mJob)
      asio::co_spawn(executor, RunJob(it, id, target, due), asio::detached);
    else
      asio::co_spawn(executor, RunRequest(it, id, target, due), asio::detached);
  }
  mFinishDeadline = BootClock::now() + mFinishTimeout;
  while (mInFlight > 0)
    co_await Sleep(milliseconds(20));
  mReport.mSeconds = std::chrono::duration<double>(BootClock::now() - start).count();
}

Async<void> LoadRun::Report(std::function<void(const LoadProgress&)> aProgress)
{
  while (true) {
    co_await Sleep(seconds(1));
    aProgress({ mReport.mAsked, mReport.mAsked - mInFlight });
  }
}

LoadReport LoadRun::TakeReport()
{
  mReport.mWaiting = mWaiting.Read();
  mReport.mUrgentWaiting = mUrgentWaiting.Read();
  mReport.mJobWaiting = mJobWaiting.Read();
  return std::move(mReport);
}

}  // namespace

LoadReport RunLoad(const LoadOptions& aOptions,
                   std::vector<HttpAddress> aTargets,
                   Duration aFinishTimeout,
                   const std::function<void(const LoadProgress&)>& aProgress)
{
  const std::vector<LoadItem> plan = PlanLoad(aOptions);
  LoadRun run(aOptions, std::move(aTargets), aFinishTimeout);
  {
    asio::io_context context(1);
    asio::co_spawn(context, run.Run(plan), [&](std::exception_ptr) { context.stop(); });
    if (aProgress)
      asio::co_spawn(context, run.Report(aProgress), asio::detached);
    context.run();
    run.Close();
  }
  return run.TakeReport();
}

}  // namespace monsoon
