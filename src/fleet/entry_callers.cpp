// Requests of callers: submit, query and cancel jobs, and count a queue's pending jobs.
#include <algorithm>
#include <span>

#include "core/json.h"
#include "fleet/entry_impl.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kCallerBudget = milliseconds(2500);  // if the request has no X-Deadline-Ms
constexpr Duration kAnswerMargin = milliseconds(150);   // for the answer's way back to the caller

bool IsJobId(std::string_view aText)
{
  return aText.size() == 16 && std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isxdigit(aChar) != 0;
         });
}

Duration ReadBudget(const HttpRequest& aRequest)
{
  const std::string text(aRequest["X-Deadline-Ms"]);
  const long ms = std::strtol(text.c_str(), nullptr, 10);
  if (ms <= 0)
    return kCallerBudget;
  const Duration budget = std::min<Duration>(milliseconds(ms), kLongestBudget);
  return std::max<Duration>(milliseconds(100), budget - kAnswerMargin);
}

// Returns whether the caller may see a stored job. One that can't be decoded names no team.
bool MayAccessStored(const CallerAccess& aAccess, std::string_view aJob)
{
  if (aAccess.mSeesAllJobs)
    return true;
  const auto spec = DecodeMessage<JobSpec>(aJob);
  return !spec || MayAccess(aAccess, spec->mTeam, spec->mQueue);
}

// Returns whether the job that is stored in the place of aJob was submitted by another team.
bool IsJobOfAnotherTeam(std::span<const StoreItem> aStored, std::string_view aJob)
{
  const auto job = DecodeMessage<JobSpec>(aJob);
  if (!job || aStored.empty())
    return false;
  const auto stored = DecodeMessage<JobSpec>(aStored.front().mValue);
  return stored && IsOfAnotherTeam(*stored, *job);
}

}  // namespace

const QueueConfig* Entry::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  aHost = aHost.substr(0, aHost.find(':'));
  const QueueConfig* best = nullptr;
  for (const QueueConfig& it : mConfig.mQueues)
    if (it.mHost == aHost && aPath.starts_with(it.mPrefix) &&
        (!best || it.mPrefix.size() > best->mPrefix.size()))
      best = &it;
  return best;
}

Async<HttpResponse> Entry::HandleCaller(HttpRequest aRequest)
{
  if (mConfig.mVersion == 0)
    co_return MakeRefusal(http::status::service_unavailable);
  const std::string target(aRequest.target());
  const std::string host(aRequest[http::field::host]);
  const std::string_view path = GetPath(target);
  const QueueConfig* queue = FindQueue(host, path);
  if (!queue)
    co_return MakeEmptyResponse(http::status::not_found);
  if (mConfig.mNeedsKeys && IsIsolated())
    co_return MakeRefusal(http::status::service_unavailable);  // keys may have changed unseen
  CallerAccess access =
    GetAccess(mConfig, mTeamKeys, *queue, std::string_view(aRequest[http::field::authorization]));
  if (!access.mIsKnown) {
    mMetrics.GetCounter("fleet_unknown_keys_total").Add();
    co_return MakeEmptyResponse(http::status::unauthorized);
  }
  std::string id(path.substr(queue->mPrefix.size()));
  const Duration budget = ReadBudget(aRequest);
  if (id.empty() && aRequest.method() == http::verb::get)
    co_return co_await ShowPending(queue->mName);
  if (!IsJobId(id))
    co_return MakeEmptyResponse(http::status::not_found);
  const http::verb verb = aRequest.method();
  const TimePoint startedAt = BootClock::now();
  HttpResponse response = MakeEmptyResponse(http::status::method_not_allowed);
  if (verb == http::verb::post)
    response = co_await Submit(*queue, std::move(access), std::move(id), std::move(aRequest));
  else if (verb == http::verb::get)
    response = co_await ShowState(std::move(access), std::move(id), budget);
  else if (verb == http::verb::delete_)
    response = co_await Cancel(std::move(access), std::move(id), budget);
  const std::string labels = "method=\"" + std::string(http::to_string(verb)) + "\",code=\"" +
                             std::to_string(response.result_int()) + "\"";
  mMetrics.GetCounter("fleet_requests_total", labels).Add();
  mMetrics.GetHistogram("fleet_request_seconds").Record(BootClock::now() - startedAt);
  co_return response;
}

// Creates the job's key. Returns true if the job is stored, now or by an earlier call. Fails with
// StoreUnavailable (it isn't stored and won't be), WriteUnknown, or Conflict: another team has a
// job of this id.
Async<Result<bool>> Entry::StoreJob(std::string aId, const std::string& aValue, Duration aDeadline)
{
  StoreTransaction transaction;
  transaction.mConditions.emplace_back(MakeJobKey(aId), 0);
  transaction.mWrites.push_back({ MakeJobKey(aId), aValue });
  auto outcome = co_await mStore.Commit(std::move(transaction), aDeadline);
  if (!outcome)
    co_return outcome.error();
  if (!outcome->mCommitted && IsJobOfAnotherTeam(outcome->mCurrent, aValue))
    co_return MakeFailure(FailureKind::Conflict, "another team has a job of this id");
  co_return true;  // committed now, or the key already exists
}

Async<HttpResponse> Entry::Submit(const QueueConfig& aQueue,
                                  CallerAccess aAccess,
                                  std::string aId,
                                  HttpRequest aRequest)
{
  const TimePoint deadline = BootClock::now() + ReadBudget(aRequest);
  auto spec = platform::ParseJob(aRequest.body());
  if (!spec) {
    Log(LogPart::Request,
        LogLevel::Info,
        "refused a malformed job",
        { { "job", aId }, { "what", spec.error().mDetail } });
    co_return MakeEmptyResponse(http::status::bad_request);
  }
  spec->mId = aId;
  spec->mQueue = aQueue.mName;
  spec->mService = aQueue.mService;
  spec->mTeam = aAccess.mTeam;
  spec->mTerms = aQueue;  // a later configuration may not have this queue
  spec->mAcceptedMs = ReadWallMillis();
  const RefusalDecision refusal = JudgeJob(*spec);
  if (refusal.mReason != RefusalReason::None) {
    const bool isRepeat = co_await MayBeStored(aId);
    if (!isRepeat)
      co_return MakeHopelessRefusal(*spec, refusal);
  }
  const std::string value = EncodeMessage(*spec);
  bool mayBeStored = false;
  std::string why;
  const TimePoint startedAt = BootClock::now();
  for (int n = 0; BootClock::now() < deadline; ++n) {
    const Duration left = std::min<Duration>(kStoreWriteDeadline, deadline - BootClock::now());
    Result<bool> stored = MakeFailure(FailureKind::StoreUnavailable, "the store is unavailable");
    if (!IsStoreDown())
      stored = co_await StoreJob(aId, value, left);
    if (stored) {
      Log(LogPart::Request,
          LogLevel::Info,
          "accepted",
          { { "job", aId },
            { "queue", spec->mQueue },
            { "config", mConfig.mVersion },
            { "try", n },
            { "took_ms", BootClock::now() - startedAt } });
      if (IsHolder())
        mHolder->OnJobAccepted(aId, value);
      else {  // faster than the holder's watch, which finds the job if the message is lost
        const SubmitRequest job{ aId, value };
        asio::co_spawn(mContext, NotifyHolder("/accepted", EncodeMessage(job)), asio::detached);
      }
      co_return MakeJsonResponse(http::status::ok, "{}");
    }
    if (stored.error().mKind == FailureKind::Conflict)
      co_return MakeEmptyResponse(http::status::conflict);
    mayBeStored = mayBeStored || stored.error().mKind == FailureKind::WriteUnknown;
    why = stored.error().mDetail;
    auto relayed = co_await RelayJob(aId, value);
    if (relayed)
      co_return MakeJsonResponse(http::status::ok, "{}");
    if (relayed.error().mKind == FailureKind::Conflict)
      co_return MakeEmptyResponse(http::status::conflict);
    mayBeStored = mayBeStored || relayed.error().mKind != FailureKind::StoreUnavailable;
    if (!mayBeStored || IsIsolated())
      break;  // the job can't have run: the caller may try another process at once
    co_await Sleep(milliseconds(50));
  }
  Log(LogPart::Request,
      LogLevel::Warn,
      mayBeStored ? "unknown whether the job is stored" : "refused: the job could not be stored",
      { { "job", aId }, { "why", why } });
  if (!mayBeStored)
    co_return MakeRefusal(http::status::service_unavailable);
  // The job may or may not be stored. Closing the connection without an answer makes the caller
  // retry at another process under the same id, which is safe.
  co_return MakeJsonResponse(kCloseWithoutResponse, "");
}

// Shows another team's job as one that does not exist.
Async<HttpResponse> Entry::ShowState(CallerAccess aAccess, std::string aId, Duration aBudget)
{
  const TimePoint deadline = BootClock::now() + aBudget;
  while (BootClock::now() < deadline && !IsIsolated()) {
    // While calls to the holder fail, reading the store is faster.
    if (!mHolderFailingSince || IsStoreDown()) {
      auto answer = co_await CallHolder("/state", EncodeMessage(aId), kPeerDeadline);
      if (answer) {
        auto reply = DecodeMessage<StateReply>(*answer);
        if (reply && reply->mIsKnown && !MayAccess(aAccess, reply->mTeam, reply->mQueue))
          co_return MakeEmptyResponse(http::status::gone);
        if (reply && reply->mIsKnown)
          co_return MakeJsonResponse(http::status::ok,
                                     platform::FormatState(static_cast<JobState>(reply->mState)));
      }
    }
    auto job = co_await mStore.Get(MakeJobKey(aId), platform::kStoreDeadline);
    if (job && !(*job && MayAccessStored(aAccess, (*job)->mValue)))
      co_return MakeEmptyResponse(http::status::gone);
    if (job) {
      auto progress = co_await mStore.Get(MakeProgressKey(aId), platform::kStoreDeadline);
      if (progress) {
        JobState state = JobState::Queued;
        if (*progress)
          state = Scheduler::ReadState((*progress)->mValue).value_or(JobState::Running);
        co_return MakeJsonResponse(http::status::ok, platform::FormatState(state));
      }
    }
    co_await Sleep(milliseconds(50));
  }
  Log(LogPart::Request, LogLevel::Warn, "a job's state could not be read", { { "job", aId } });
  co_return MakeRefusal(http::status::service_unavailable);
}

Async<HttpResponse> Entry::Cancel(CallerAccess aAccess, std::string aId, Duration aBudget)
{
  const TimePoint deadline = BootClock::now() + aBudget;
  while (BootClock::now() < deadline) {
    auto job = co_await mStore.Get(MakeJobKey(aId), platform::kStoreDeadline);
    if (job && *job && !MayAccessStored(aAccess, (*job)->mValue))
      co_return MakeEmptyResponse(http::status::gone);
    if (job && !*job && IsHolder()) {
      const CancelledId id{ aId, aAccess };  // the job's write may still be on its way
      const auto cancelled = co_await mHolder->CancelUnstored(id, deadline);
      if (cancelled)
        co_return MakeEmptyResponse(http::status::gone);
      if (cancelled.error().mKind == FailureKind::RateLimited)
        co_return MakeEmptyResponse(http::status::too_many_requests);
    }
    if (job && *job) {
      StoreTransaction transaction;
      transaction.mConditions.emplace_back(MakeCancelKey(aId), 0);
      transaction.mWrites.push_back({ MakeCancelKey(aId), "cancelled" });
      auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
      if (outcome) {
        Log(
          LogPart::Request, LogLevel::Info, "stored the cancellation of a job", { { "job", aId } });
        if (IsHolder())
          mHolder->OnJobCancelled(aId);
        else  // faster than the holder's watch, which finds the key if the message is lost
          asio::co_spawn(mContext, NotifyHolder("/cancelled", EncodeMessage(aId)), asio::detached);
        co_return MakeJsonResponse(http::status::ok, "{}");
      }
    }
    if (!IsHolder()) {
      const CancelRequest request{ aId, aAccess };
      auto relayed = co_await CallHolder("/cancel", EncodeMessage(request), kPeerDeadline);
      if (relayed)
        co_return MakeEmptyResponse(relayed->empty() ? http::status::ok : http::status::gone);
      if (relayed.error().mKind == FailureKind::RateLimited)
        co_return MakeEmptyResponse(http::status::too_many_requests);
    }
    co_await Sleep(milliseconds(50));
  }
  co_return MakeEmptyResponse(http::status::gateway_timeout);
}

Async<HttpResponse> Entry::ShowPending(std::string aQueue)
{
  auto answer = co_await CallHolder("/pending", EncodeMessage(aQueue), kPeerDeadline);
  if (!answer)
    co_return MakeEmptyResponse(http::status::service_unavailable);
  auto pending = DecodeMessage<std::uint64_t>(*answer);
  if (!pending)
    co_return MakeEmptyResponse(http::status::service_unavailable);
  co_return MakeJsonResponse(http::status::ok, platform::FormatPending(*pending));
}

}  // namespace monsoon::fleet
