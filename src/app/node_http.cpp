// The routes of the HTTP interface; docs/API.md describes them for callers.
#include "app/job_calls.h"
#include "app/node_state.h"
#include "controllers/job_entries.h"
#include "core/json.h"
#include "filters/chain.h"
#include "filters/request_parse.h"

namespace monsoon {

namespace json = boost::json;

namespace {

constexpr Duration kJobCallTimeout = seconds(15);  // includes finding the shard's owner
// Longest wait of one call to the owner: after it, a long poll checks whether this process stops.
constexpr Duration kLongPollStep = seconds(1);
constexpr std::size_t kMaxIdBytes = 128;

using CellEnvironment =
  RequestEnvironment<PeerLink, HttpWorker, ControlPlane, ControlPlane, ControlPlane>;

bool IsDone(const JobStatus& aStatus)
{
  for (const TaskStatus& it : aStatus.mTasks) {
    const bool done = it.mState == TaskState::Succeeded || it.mState == TaskState::Cancelled ||
                      it.mState == TaskState::DeadLetter;
    if (!done)
      return false;
  }
  return true;
}

json::object MakeStatusJson(const JobStatus& aStatus)
{
  json::object object = MakeJson(aStatus.mSpec);
  json::object counts;
  for (const TaskStatus& it : aStatus.mTasks) {
    json::value& n = counts[GetName(it.mState)];
    n = n.is_int64() ? n.get_int64() + 1 : 1;
  }
  object["states"] = std::move(counts);
  object["done"] = IsDone(aStatus);
  object["reason"] = aStatus.mReason;
  object["revision"] = aStatus.mAt;
  return object;
}

HttpResponse MakeJobResponse(const Result<PeerReply>& aReply, http::status aStatus)
{
  if (!aReply) {
    const FailureKind kind = aReply.error().mKind;
    // The submission may have been committed; the caller can safely send it again with the same id.
    const bool uncertain = kind == FailureKind::PeerUnknown || kind == FailureKind::Timeout ||
                           kind == FailureKind::WriteUnknown;
    return MakeProblem(
      GetStatus(kind), uncertain ? Outcome::Unknown : Outcome::NotRun, aReply.error());
  }
  const auto* status = std::get_if<JobStatus>(&*aReply);
  if (status == nullptr)
    return MakeProblem(
      http::status::internal_server_error,
      Outcome::Unknown,
      MakeFailure(FailureKind::Internal, "unexpected reply type from the job shard's owner"));
  return MakeJsonResponse(aStatus, json::serialize(MakeStatusJson(*status)));
}

bool IsValidId(const JobId& aId)
{
  if (aId.empty() || aId.size() > kMaxIdBytes)
    return false;
  return std::all_of(aId.begin(), aId.end(), [](unsigned char aByte) {
    return std::isgraph(aByte) && aByte != '"';
  });
}

}  // namespace

ShardIndex Node::State::FindShard(const JobId& aId) const
{
  return ComputeShard(aId, mSettings.mJobs.mShards);
}

std::string Node::State::MakeId(std::string_view aPrefix)
{
  return std::string(aPrefix) + "-" + mSettings.mProcess.mName + "-" +
         std::to_string(mStartMillis) + "-" + std::to_string(mNextId++);
}

Async<HttpResponse> Node::State::OnRequest(HttpRequest aRequest, std::string aPeerAddress)
{
  auto spec = ParseRequest(aRequest, aPeerAddress);
  if (!spec)
    co_return MakeProblem(http::status::bad_request, Outcome::NotRun, spec.error());
  CellEnvironment environment{ *mLink,    mWorkers,         *mControl, *mControl,
                               *mControl, mRequestSettings, mShared };
  co_return co_await RunRequest(environment, std::move(*spec));
}

Async<HttpResponse> Node::State::OnSubmit(HttpRequest aRequest)
{
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeProblem(http::status::bad_request, Outcome::NotRun, body.error());
  auto spec = ParseJobSpec(*body);
  if (!spec)
    co_return MakeProblem(http::status::bad_request, Outcome::NotRun, spec.error());
  if (spec->mId.empty())
    spec->mId = MakeId("job");
  if (!IsValidId(spec->mId))
    co_return MakeProblem(
      http::status::bad_request,
      Outcome::NotRun,
      MakeFailure(FailureKind::BadInput, "id: expected 1 to 128 printable characters"));
  const ShardIndex shard = FindShard(spec->mId);
  const JobSubmit submit{ std::move(*spec) };
  const PeerRequest request(submit);
  const auto reply = co_await CallShardOwner(*mLink, *mControl, shard, request, kJobCallTimeout);
  co_return MakeJobResponse(reply, http::status::created);
}

// Waits up to aWait for the end of the job (long poll). It waits in steps of kLongPollStep, so that
// it doesn't delay a planned stop.
Async<HttpResponse> Node::State::ShowJob(JobId aId, Duration aWait)
{
  const TimePoint until = BootClock::now() + aWait;
  while (true) {
    const Duration left = until - BootClock::now();
    const JobQuery query{ aId, std::clamp<Duration>(left, Duration::zero(), kLongPollStep) };
    const PeerRequest request(query);
    const auto reply =
      co_await CallShardOwner(*mLink, *mControl, FindShard(aId), request, kJobCallTimeout);
    const auto* status = reply ? std::get_if<JobStatus>(&*reply) : nullptr;
    const bool finished = status == nullptr || IsDone(*status);
    if (finished || BootClock::now() >= until || mStopping)
      co_return MakeJobResponse(reply, http::status::ok);
  }
}

Async<HttpResponse> Node::State::CancelJob(JobId aId)
{
  const JobCancel cancel{ aId };
  const PeerRequest request(cancel);
  const auto reply =
    co_await CallShardOwner(*mLink, *mControl, FindShard(aId), request, kJobCallTimeout);
  co_return MakeJobResponse(reply, http::status::ok);
}

Async<HttpResponse> Node::State::OnJob(HttpRequest aRequest, JobId aId)
{
  if (aRequest.method() == http::verb::delete_)
    co_return co_await CancelJob(std::move(aId));
  if (aRequest.method() != http::verb::get)
    co_return MakeProblem(http::status::method_not_allowed,
                          Outcome::NotRun,
                          MakeFailure(FailureKind::BadInput, "expected GET or DELETE"));
  const std::string wait = GetQuery(std::string_view(aRequest.target()), "wait");
  Duration waitFor{};
  if (!wait.empty()) {
    auto parsed = ParseTimeout(wait);
    if (!parsed)
      co_return MakeProblem(http::status::bad_request, Outcome::NotRun, parsed.error());
    waitFor = *parsed;
  }
  co_return co_await ShowJob(std::move(aId), waitFor);
}

HttpResponse Node::State::ShowReadiness() const
{
  const bool ready = mControl->IsReady();
  json::object object;
  object["ready"] = ready;
  object["reason"] = mControl->DescribeReadiness();
  return MakeJsonResponse(ready ? http::status::ok : http::status::service_unavailable,
                          json::serialize(object));
}

Async<HttpResponse> Node::State::OnHttp(HttpRequest aRequest, std::string aPeerAddress)
{
  static constexpr std::string_view kJobs = "/v1/jobs/";
  const std::string path(GetPath(std::string_view(aRequest.target())));
  const bool post = aRequest.method() == http::verb::post;
  if (path == "/healthz")
    co_return MakeJsonResponse(http::status::ok, "{\"ok\":true}");
  if (path == "/readyz")
    co_return ShowReadiness();
  if (path == "/metrics")
    co_return ShowMetrics();
  if (path == "/v1/requests" && post)
    co_return co_await OnRequest(std::move(aRequest), std::move(aPeerAddress));
  if (path == "/v1/commands" && post)
    co_return co_await OnCommand(std::move(aRequest));
  if (path == "/v1/jobs" && post)
    co_return co_await OnSubmit(std::move(aRequest));
  if (path.starts_with(kJobs) && path.size() > kJobs.size())
    co_return co_await OnJob(std::move(aRequest), DecodeTarget(path.substr(kJobs.size())));
  co_return MakeProblem(http::status::not_found,
                        Outcome::NotRun,
                        MakeFailure(FailureKind::NotFound, "no such route: " + path));
}

}  // namespace monsoon
