// What callers ask for.
#include <algorithm>
#include <fstream>
#include <sstream>

#include "core/json.h"
#include "fleet/entry_impl.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kCallerBudget = milliseconds(2500);  // where a caller gives none
constexpr Duration kAnswerMargin = milliseconds(150);   // left for the answer's way back

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
  return std::max<Duration>(milliseconds(100), milliseconds(std::min(ms, 60'000L)) - kAnswerMargin);
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
    co_return MakeEmpty(http::status::service_unavailable);
  const std::string target(aRequest.target());
  const std::string host(aRequest[http::field::host]);
  const std::string_view path = GetPath(target);
  const QueueConfig* queue = FindQueue(host, path);
  if (!queue)
    co_return MakeEmpty(http::status::not_found);
  std::string id(path.substr(queue->mPrefix.size()));
  const Duration budget = ReadBudget(aRequest);
  if (id.empty() && aRequest.method() == http::verb::get)
    co_return co_await ShowPending(queue->mName);
  if (!IsJobId(id))
    co_return MakeEmpty(http::status::not_found);
  const http::verb verb = aRequest.method();
  const TimePoint startedAt = BootClock::now();
  HttpResponse response = MakeEmpty(http::status::method_not_allowed);
  if (verb == http::verb::post)
    response = co_await Submit(*queue, std::move(id), std::move(aRequest));
  else if (verb == http::verb::get)
    response = co_await ShowState(std::move(id), budget);
  else if (verb == http::verb::delete_)
    response = co_await Cancel(std::move(id), budget);
  const std::string labels = "method=\"" + std::string(http::to_string(verb)) + "\",code=\"" +
                             std::to_string(response.result_int()) + "\"";
  mMetrics.GetCounter("fleet_requests_total", labels).Add();
  mMetrics.GetHistogram("fleet_request_seconds").Record(BootClock::now() - startedAt);
  co_return response;
}

// Creates the job's key. True: stored, now or before. Fails with StoreUnavailable (it isn't stored
// and won't be) or WriteUnknown.
Async<Result<bool>> Entry::StoreJob(std::string aId, const std::string& aValue, Duration aDeadline)
{
  StoreTransaction transaction;
  transaction.mConditions.emplace_back(MakeJobKey(aId), 0);
  transaction.mWrites.push_back({ MakeJobKey(aId), aValue });
  auto outcome = co_await mStore.Commit(std::move(transaction), aDeadline);
  if (!outcome)
    co_return outcome.error();
  co_return true;  // committed, or there already
}

Async<HttpResponse> Entry::Submit(const QueueConfig& aQueue, std::string aId, HttpRequest aRequest)
{
  const TimePoint deadline = BootClock::now() + ReadBudget(aRequest);
  auto spec = platform::ParseJob(aRequest.body());
  if (!spec) {
    Log(LogPart::Request,
        LogLevel::Info,
        "refused a malformed job",
        { { "job", aId }, { "what", spec.error().mDetail } });
    co_return MakeEmpty(http::status::bad_request);
  }
  spec->mId = aId;
  spec->mQueue = aQueue.mName;
  spec->mService = aQueue.mService;
  spec->mAcceptedMs = ReadWallMillis();
  const std::string value = EncodeMessage(*spec);
  bool mayBeStored = false;
  std::string why;
  const TimePoint startedAt = BootClock::now();
  for (int n = 0; BootClock::now() < deadline; ++n) {
    const Duration left = std::min<Duration>(kFirstTry, deadline - BootClock::now());
    Result<bool> stored = MakeFailure(FailureKind::StoreUnavailable, "the store is down");
    if (!IsStoreDown())
      stored = co_await StoreJob(aId, value, left);
    if (!stored && IsIsolated() && !mayBeStored &&
        stored.error().mKind == FailureKind::StoreUnavailable) {
      why = "this process is isolated";
      break;
    }
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
        mHolder->NoteJob(aId, value);
      else {  // sooner than the holder's watch; a lost message costs only that
        const SubmitRequest job{ aId, value };
        asio::co_spawn(mContext, TellHolder("/accepted", EncodeMessage(job)), asio::detached);
      }
      co_return MakeJsonResponse(http::status::ok, "{}");
    }
    mayBeStored = mayBeStored || stored.error().mKind == FailureKind::WriteUnknown;
    why = stored.error().mDetail;
    if (!IsHolder()) {
      // The store may turn away this process alone.
      const SubmitRequest relay{ aId, value };
      auto relayed = co_await AskHolder("/submit", EncodeMessage(relay), kPeerDeadline);
      if (relayed) {
        Log(LogPart::Request, LogLevel::Info, "accepted through the holder", { { "job", aId } });
        co_return MakeJsonResponse(http::status::ok, "{}");
      }
      mayBeStored = mayBeStored || relayed.error().mKind != FailureKind::StoreUnavailable;
    }
    if (!mayBeStored || IsIsolated())
      break;  // it has not run: the caller may try elsewhere at once
    co_await Sleep(milliseconds(50));
  }
  Log(LogPart::Request,
      LogLevel::Warn,
      mayBeStored ? "the job may be stored" : "refused: the job could not be stored",
      { { "job", aId }, { "why", why } });
  if (!mayBeStored)
    co_return MakeRefusal(http::status::service_unavailable);
  // Whether it is stored can't be known here. A connection without an answer makes the caller ask
  // again elsewhere under the same id, which is safe.
  co_return MakeJsonResponse(kCloseWithoutResponse, "");
}

Async<HttpResponse> Entry::ShowState(std::string aId, Duration aBudget)
{
  const TimePoint deadline = BootClock::now() + aBudget;
  while (BootClock::now() < deadline && !IsIsolated()) {
    // While the holder fails to answer, the store tells sooner.
    if (!mHolderFailingSince || IsStoreDown()) {
      auto answer = co_await AskHolder("/state", EncodeMessage(aId), kPeerDeadline);
      if (answer) {
        auto reply = DecodeMessage<StateReply>(*answer);
        if (reply && reply->mIsKnown)
          co_return MakeJsonResponse(http::status::ok,
                                     platform::FormatState(static_cast<JobState>(reply->mState)));
      }
    }
    auto job = co_await mStore.Get(MakeJobKey(aId), platform::kStoreDeadline);
    if (job && !*job)
      co_return MakeEmpty(http::status::gone);
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

Async<HttpResponse> Entry::Cancel(std::string aId, Duration aBudget)
{
  const TimePoint deadline = BootClock::now() + aBudget;
  while (BootClock::now() < deadline) {
    auto job = co_await mStore.Get(MakeJobKey(aId), platform::kStoreDeadline);
    if (job && !*job)
      co_return MakeEmpty(http::status::gone);
    if (job) {
      StoreTransaction transaction;
      transaction.mConditions.emplace_back(MakeCancelKey(aId), 0);
      transaction.mWrites.push_back({ MakeCancelKey(aId), "cancelled" });
      auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
      if (outcome) {
        Log(LogPart::Request, LogLevel::Info, "took a cancellation", { { "job", aId } });
        if (IsHolder())
          mHolder->NoteCancel(aId);
        else  // sooner than the holder's watch; a lost message costs only that
          asio::co_spawn(mContext, TellHolder("/cancelled", EncodeMessage(aId)), asio::detached);
        co_return MakeJsonResponse(http::status::ok, "{}");
      }
    }
    if (!IsHolder()) {
      auto relayed = co_await AskHolder("/cancel", EncodeMessage(aId), kPeerDeadline);
      if (relayed)
        co_return MakeEmpty(relayed->empty() ? http::status::ok : http::status::gone);
    }
    co_await Sleep(milliseconds(50));
  }
  co_return MakeEmpty(http::status::gateway_timeout);
}

Async<HttpResponse> Entry::ShowPending(std::string aQueue)
{
  auto answer = co_await AskHolder("/pending", EncodeMessage(aQueue), kPeerDeadline);
  if (!answer)
    co_return MakeEmpty(http::status::service_unavailable);
  auto pending = DecodeMessage<std::uint64_t>(*answer);
  if (!pending)
    co_return MakeEmpty(http::status::service_unavailable);
  co_return MakeJsonResponse(http::status::ok, platform::FormatPending(*pending));
}

// Neither the store nor the holder serves this process, and others fare better or are out of reach:
// its links are cut. Where members say that the store serves none of them, it is down.
bool Entry::IsIsolated() const
{
  if (!IsStoreDown() || IsHolder())
    return false;
  const bool isHolderSilent =
    mHolderFailingSince && BootClock::now() - *mHolderFailingSince > kStoreDownAfter;
  if (mView.mRecord && !isHolderSilent)
    return false;
  if (!mTally || mTally->mAsked == 0)
    return true;
  const bool areMostSilent = 2 * mTally->mAnswered < mTally->mAsked;
  return mTally->mServedByStore > 0 || areMostSilent;
}

// An outage of the store lasts seconds, and a caller that comes back too early uses up its retries;
// an isolated process sends its callers to others at once.
HttpResponse Entry::MakeRefusal(http::status aStatus) const
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::retry_after, IsIsolated() ? "0" : kRetryAfterOutage);
  return response;
}

}  // namespace monsoon::fleet
