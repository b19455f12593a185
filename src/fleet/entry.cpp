#include "fleet/entry.h"

#include <fstream>
#include <sstream>

#include "core/json.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

using platform::StoreItem;
using platform::StoreTransaction;

namespace {

constexpr Duration kHolderLease = milliseconds(2000);  // of the scheduler; the store's least is 1 s
constexpr Duration kFirstTry = milliseconds(800);    // of a write, before another process relays it
constexpr Duration kWatchWait = milliseconds(1500);  // a silent connection is found out by then
constexpr Duration kRetryStore = milliseconds(100);
constexpr Duration kPeerDeadline = milliseconds(900);    // the holder may wait for a slow store
constexpr Duration kPollDeadline = milliseconds(2500);   // the holder keeps a poll for 1.5 s
constexpr Duration kCallerBudget = milliseconds(2500);   // where a caller gives none
constexpr Duration kAnswerMargin = milliseconds(150);    // left for the answer's way back
constexpr Duration kCampaignSpread = milliseconds(30);   // random delay between candidates
constexpr Duration kStoreDownAfter = milliseconds(300);  // of failing calls
constexpr Duration kProbeEvery = milliseconds(150);
constexpr Duration kProbeDeadline = milliseconds(700);  // slow days: some 400 ms
constexpr Duration kStandBack = milliseconds(400);      // an election takes some 100 ms
constexpr Duration kSettingsEvery = seconds(1);
constexpr Duration kStopMargin = milliseconds(1500);  // before SIGKILL
constexpr Duration kDrainFor = milliseconds(2200);    // the balancer takes two misses, 1 s apart
constexpr std::string_view kRetryAfterOutage = "2";   // s; the store's outages last seconds

HttpResponse MakeEmpty(http::status aStatus)
{
  HttpResponse response(aStatus, 11);
  if (aStatus == http::status::service_unavailable || aStatus == http::status::too_many_requests)
    response.set(http::field::retry_after, kRetryAfterOutage);
  return response;
}

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

HttpLimits MakeCallerLimits()
{
  HttpLimits limits;
  limits.mMaxConnections = 3000;  // of 3,900 descriptors for sockets
  limits.mReadTimeout = seconds(3);
  limits.mIdleTimeout = seconds(15);
  return limits;
}

}  // namespace

Entry::Entry(EntrySettings aSettings, std::string aFile)
  : mSettings(std::move(aSettings))
  , mFile(std::move(aFile))
  , mStore(mClient, mSettings.mStore)
  , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
{
}

Result<void> Entry::Run()
{
  std::vector<asio::io_context*> contexts{ &mContext };
  mCallers =
    std::make_unique<HttpServer>(MakeCallerLimits(), [this](HttpRequest aRequest, std::string) {
      return HandleCaller(std::move(aRequest));
    });
  mReady = std::make_unique<HttpServer>(
    HttpLimits{}, [this](HttpRequest aRequest, std::string) -> Async<HttpResponse> {
      co_return HandleReady(aRequest);
    });
  mPeers = std::make_unique<HttpServer>(HttpLimits{}, [this](HttpRequest aRequest, std::string) {
    return HandlePeer(std::move(aRequest));
  });
  const std::pair<HttpServer*, const HttpAddress*> servers[] = {
    { mCallers.get(), &mSettings.mCallers },
    { mReady.get(), &mSettings.mReady },
    { mPeers.get(), &mSettings.mPeers }
  };
  for (const auto& [server, address] : servers) {
    auto port = server->Listen(address->mHost, address->mPort, contexts);
    if (!port)
      return port.error();
  }
  asio::co_spawn(mContext, WatchConfig(), asio::detached);
  asio::co_spawn(mContext, WatchHolder(), asio::detached);
  asio::co_spawn(mContext, PollHolder(), asio::detached);
  asio::co_spawn(mContext, ProbeStore(), asio::detached);
  asio::co_spawn(mContext, WaitForSignals(), asio::detached);
  asio::co_spawn(mContext, WatchSettings(), asio::detached);
  mContext.run();
  return {};
}

// Callers

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
  mMetrics.GetDistribution("fleet_request_seconds").Record(BootClock::now() - startedAt);
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
  co_return MakeJsonResponse(kNoAnswer, "");
}

Async<HttpResponse> Entry::ShowState(std::string aId, Duration aBudget)
{
  const TimePoint deadline = BootClock::now() + aBudget;
  while (BootClock::now() < deadline && !IsIsolated()) {
    auto answer = co_await AskHolder("/state", EncodeMessage(aId), kPeerDeadline);
    if (answer) {
      auto reply = DecodeMessage<StateReply>(*answer);
      if (reply && reply->mIsKnown)
        co_return MakeJsonResponse(http::status::ok,
                                   platform::FormatState(static_cast<JobState>(reply->mState)));
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

HttpResponse Entry::HandleReady(const HttpRequest& aRequest)
{
  if (GetPath(std::string_view(aRequest.target().data(), aRequest.target().size())) == "/metrics")
    return MakeJsonResponse(http::status::ok, mMetrics.Render());
  const bool isReady = mConfig.mVersion != 0 && !mStopping && !IsIsolated();
  return MakeEmpty(isReady ? http::status::ok : http::status::service_unavailable);
}

// Peers

// Fails with NotReady when nobody is known to hold the lease, StoreUnavailable when the holder says
// so, and as HttpClient::Call.
Async<Result<std::string>> Entry::AskHolder(const char* aPath,
                                            std::string aBody,
                                            Duration aDeadline)
{
  HttpRequest request(http::verb::post, aPath, 11);
  request.body() = std::move(aBody);
  Result<HttpResponse> response = MakeFailure(FailureKind::StoreUnavailable, "no holder is known");
  if (IsHolder())
    response = co_await HandlePeer(std::move(request));
  else if (mView.mRecord) {
    HttpAddress address{ mView.mRecord->mHost, mView.mRecord->mPort };
    const TimePoint sentAt = BootClock::now();
    response = co_await mClient.Call(std::move(address), std::move(request), aDeadline);
    if (response)
      mHolderFailingSince.reset();
    else if (!mHolderFailingSince)
      mHolderFailingSince = sentAt;
  }
  if (!response) {
    if (response.error().mKind == FailureKind::EndpointUnreachable)
      co_return MakeFailure(FailureKind::StoreUnavailable, response.error().mDetail);
    co_return response.error();
  }
  if (response->result() == http::status::service_unavailable)
    co_return MakeFailure(FailureKind::StoreUnavailable, "the holder can't");
  if (response->result() != http::status::ok)
    co_return MakeFailure(FailureKind::PeerUnknown, std::to_string(response->result_int()));
  co_return std::move(response->body());
}

Async<HttpResponse> Entry::HandlePeer(HttpRequest aRequest)
{
  const std::string_view path(aRequest.target().data(), aRequest.target().size());
  const auto answer = [](std::string aBody) {
    HttpResponse response(http::status::ok, 11);
    response.body() = std::move(aBody);
    return response;
  };
  if (path == "/resign") {
    auto epoch = DecodeMessage<std::uint64_t>(aRequest.body());
    if (!epoch)
      co_return MakeEmpty(http::status::bad_request);
    if (IsHolder() && mHolder->GetEpoch() <= *epoch)
      mHolder->Depose("its successor asked");
    co_return answer({});
  }
  if (!IsHolder())
    co_return MakeEmpty(http::status::service_unavailable);
  auto holder = mHolder;
  if (path == "/poll") {
    auto request = DecodeMessage<PollRequest>(aRequest.body());
    if (!request || request->mEpoch != holder->GetEpoch())
      co_return MakeEmpty(http::status::conflict);
    const PollReply reply = co_await holder->Poll(std::move(*request));
    co_return answer(EncodeMessage(reply));
  }
  if (path == "/state") {
    auto id = DecodeMessage<std::string>(aRequest.body());
    if (!id)
      co_return MakeEmpty(http::status::bad_request);
    const StateReply reply = co_await holder->GetState(std::move(*id));
    co_return answer(EncodeMessage(reply));
  }
  if (path == "/pending") {
    auto queue = DecodeMessage<std::string>(aRequest.body());
    if (!queue)
      co_return MakeEmpty(http::status::bad_request);
    const auto pending = holder->CountPending(*queue);
    if (!pending)
      co_return MakeEmpty(http::status::service_unavailable);
    co_return answer(EncodeMessage(std::uint64_t{ *pending }));
  }
  if (path == "/submit") {
    auto request = DecodeMessage<SubmitRequest>(aRequest.body());
    if (!request)
      co_return MakeEmpty(http::status::bad_request);
    if (IsStoreDown())
      co_return MakeEmpty(http::status::service_unavailable);
    auto stored = co_await StoreJob(request->mId, request->mValue, kFirstTry);
    if (!stored)
      co_return MakeEmpty(stored.error().mKind == FailureKind::WriteUnknown
                            ? http::status::gateway_timeout
                            : http::status::service_unavailable);
    holder->NoteJob(request->mId, request->mValue);
    co_return answer({});
  }
  if (path == "/accepted") {
    auto job = DecodeMessage<SubmitRequest>(aRequest.body());
    if (!job)
      co_return MakeEmpty(http::status::bad_request);
    holder->NoteJob(job->mId, job->mValue);
    co_return answer({});
  }
  if (path == "/cancelled") {
    auto id = DecodeMessage<std::string>(aRequest.body());
    if (!id)
      co_return MakeEmpty(http::status::bad_request);
    holder->NoteCancel(*id);
    co_return answer({});
  }
  if (path == "/cancel") {
    auto id = DecodeMessage<std::string>(aRequest.body());
    if (!id)
      co_return MakeEmpty(http::status::bad_request);
    const HttpResponse response = co_await Cancel(std::move(*id), kFirstTry);
    if (response.result() == http::status::gone)
      co_return answer("gone");
    co_return response.result() == http::status::ok ? answer({})
                                                    : MakeEmpty(http::status::gateway_timeout);
  }
  co_return MakeEmpty(http::status::not_found);
}

Async<void> Entry::TellHolder(const char* aPath, std::string aBody)
{
  auto told = co_await AskHolder(aPath, std::move(aBody), kPeerDeadline);
  if (!told)
    Log(LogPart::Peer,
        LogLevel::Info,
        "the holder was not told; it reads the store",
        { { "what", aPath }, { "why", told.error().mDetail } });
}

Async<void> Entry::PollHolder()
{
  std::vector<AdviceResult> results;
  while (!mStopping) {
    if (!mView.mRecord || IsHolder() || !mSettings.mAdvice) {
      co_await Sleep(milliseconds(20));
      results.clear();
      continue;
    }
    PollRequest poll;
    poll.mName = mSettings.mName;
    poll.mEpoch = mView.mRecord->mEpoch;
    poll.mCores = mSettings.mCores;
    poll.mStoreServedAgoMs = (BootClock::now() - mStore.GetServedAt()) / milliseconds(1);
    poll.mResults = std::move(results);
    results.clear();
    auto answer = co_await AskHolder("/poll", EncodeMessage(poll), kPollDeadline);
    if (!answer) {
      co_await ReplaceLostHolder();
      co_await Sleep(milliseconds(100));
      continue;
    }
    auto reply = DecodeMessage<PollReply>(*answer);
    if (!reply)
      continue;
    if (reply->mHasResigned && mView.mRecord && mView.mRecord->mEpoch == poll.mEpoch) {
      // The holder can't end its lease itself.
      co_await mStore.EndLease(mView.mRecord->mLease, platform::kStoreDeadline);
      co_await Sleep(milliseconds(50));
      continue;
    }
    for (const AdviceOrder& it : reply->mOrders) {
      const TimePoint askedAt = BootClock::now();
      auto advice = co_await platform::Advise(
        mClient, *mSettings.mAdvice, it, milliseconds(it.mExpectedMs) + seconds(1));
      AdviceResult result;
      result.mNumber = it.mNumber;
      result.mAnswered = advice.has_value();
      result.mTookMs = std::chrono::duration_cast<milliseconds>(BootClock::now() - askedAt).count();
      if (advice) {
        result.mAdmitted = std::move(advice->mAdmitted);
        result.mValidMs = std::chrono::duration_cast<milliseconds>(advice->mValid).count();
      }
      results.push_back(std::move(result));
    }
  }
}

// A holder whose machine says that its process is gone needs no wait for its lease to lapse. Should
// it live after all, it is fenced like any predecessor.
Async<void> Entry::ReplaceLostHolder()
{
  if (!mView.mRecord || IsHolder())
    co_return;
  const HolderRecord record = *mView.mRecord;
  const HttpAddress address{ record.mHost, record.mPort };
  const bool isGone = co_await IsRefusing(address, kPeerDeadline);
  if (!isGone || !mView.mRecord || !(*mView.mRecord == record))
    co_return;
  Log(LogPart::Ownership,
      LogLevel::Warn,
      "the holder's process is gone; its lease is ended",
      { { "holder", record.mName }, { "epoch", record.mEpoch } });
  auto ended = co_await mStore.EndLease(record.mLease, platform::kStoreDeadline);
  if (!ended)
    Log(LogPart::Ownership,
        LogLevel::Warn,
        "the lease could not be ended; it lapses",
        { { "why", ended.error().mDetail } });
}

// Store

bool Entry::IsStoreDown() const
{
  const auto since = mStore.GetFailingSince();
  return since && BootClock::now() - *since > kStoreDownAfter;
}

// While calls fail, finds out when the store serves again.
Async<void> Entry::ProbeStore()
{
  bool wasDown = false;
  while (!mStopping) {
    co_await Sleep(kProbeEvery);
    if (IsStoreDown() != wasDown) {
      wasDown = !wasDown;
      Log(LogPart::Store,
          wasDown ? LogLevel::Warn : LogLevel::Info,
          wasDown ? "the store does not serve this process" : "the store serves again");
    }
    if (mStore.GetFailingSince())
      co_await mStore.Get(std::string(kHolderKey), kProbeDeadline);
  }
}

// Neither the store nor the holder answers: most likely the links of this VM are cut, and other
// processes serve.
bool Entry::IsIsolated() const
{
  return IsStoreDown() && !IsHolder() &&
         (!mView.mRecord ||
          (mHolderFailingSince && BootClock::now() - *mHolderFailingSince > kStoreDownAfter));
}

// An outage of the store lasts seconds, and a caller that comes back too early uses up its retries;
// an isolated process sends its callers to others at once.
HttpResponse Entry::MakeRefusal(http::status aStatus) const
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::retry_after, IsIsolated() ? "0" : kRetryAfterOutage);
  return response;
}

void Entry::TakeConfig(const StoreItem& aItem)
{
  if (aItem.mKey != platform::kConfigKey || aItem.mDeleted)
    return;
  auto config = platform::ParseConfig(aItem.mValue);
  if (!config) {
    Log(LogPart::Config,
        LogLevel::Error,
        "the configuration can't be read; the last good one stays in force",
        { { "what", config.error().mDetail } });
    return;
  }
  if (config->mVersion <= mConfig.mVersion)
    return;
  Log(LogPart::Config,
      LogLevel::Info,
      "a configuration is in force",
      { { "version", config->mVersion }, { "queues", config->mQueues.size() } });
  mConfig = std::move(*config);
  if (mHolder)
    mHolder->SetConfig(mConfig);
}

Async<void> Entry::WatchConfig()
{
  std::uint64_t revision = 0;
  const std::string prefix(platform::kOperatorPrefix);
  while (!mStopping) {
    const bool isList = revision == 0;
    Result<platform::StorePage> page = platform::StorePage{};
    if (isList)
      page = co_await mStore.List(prefix, platform::kStoreDeadline);
    else
      page = co_await mStore.Watch(prefix, revision, kWatchWait);
    if (!page) {
      if (page.error().mKind == FailureKind::Conflict)
        revision = 0;
      else
        co_await Sleep(kRetryStore);
      continue;
    }
    revision = page->mRevision;
    for (const StoreItem& it : page->mItems)
      TakeConfig(it);
  }
}

void Entry::TakeHolder(const StoreItem& aItem)
{
  if (aItem.mKey != kHolderKey || aItem.mRevision < mView.mRevision)
    return;
  mView.mRevision = aItem.mRevision;
  mView.mRecord.reset();
  if (!aItem.mDeleted) {
    auto record = DecodeMessage<HolderRecord>(aItem.mValue);
    if (record)
      mView.mRecord = std::move(*record);
  }
  if (mHolder && !mHolder->IsDeposed() &&
      (!mView.mRecord || mView.mRecord->mEpoch != mHolder->GetEpoch()) &&
      (!mView.mRecord || mView.mRecord->mEpoch > mHolder->GetEpoch() || aItem.mDeleted))
    mHolder->Depose("the store names another holder");
}

Async<void> Entry::WatchHolder()
{
  std::uint64_t revision = 0;
  const std::string prefix(kHolderKey);
  while (!mStopping) {
    const bool isList = revision == 0;
    Result<platform::StorePage> page = platform::StorePage{};
    if (isList)
      page = co_await mStore.List(prefix, platform::kStoreDeadline);
    else
      page = co_await mStore.Watch(prefix, revision, kWatchWait);
    if (!page) {
      if (page.error().mKind == FailureKind::Conflict)
        revision = 0;
      else
        co_await Sleep(kRetryStore);
      continue;
    }
    revision = page->mRevision;
    for (const StoreItem& it : page->mItems)
      TakeHolder(it);
    if (isList && page->mItems.empty())
      TakeHolder({ std::string(kHolderKey), {}, revision, true });
    mView.mIsKnown = true;
    if (!mView.mRecord && !mCampaigning && !mStopping)
      asio::co_spawn(mContext, Campaign(), asio::detached);
  }
}

// Small VMs stand back for a while, so that a larger one schedules where there is one.
Async<void> Entry::Campaign()
{
  mCampaigning = true;
  const auto isOpen = [this] { return !mStopping && !mView.mRecord && !IsHolder(); };
  const auto random = [this] {
    return Duration(
      std::uniform_int_distribution<std::int64_t>(0, kCampaignSpread.count())(mRandom));
  };
  co_await Sleep(random());
  bool hasStoodBack = false;
  for (; isOpen(); co_await Sleep(kRetryStore + random())) {
    auto epoch = co_await mStore.Get(std::string(kEpochKey), platform::kStoreDeadline);
    if (!epoch || !isOpen())
      continue;
    HolderGrant grant;
    if (*epoch) {
      auto last = DecodeMessage<HolderRecord>((*epoch)->mValue);
      if (!last) {
        Log(LogPart::Ownership, LogLevel::Error, "the last holder's record can't be read");
        continue;
      }
      grant.mPredecessor = std::move(*last);
    }
    const double largest = grant.mPredecessor ? grant.mPredecessor->mLargestCores : 0;
    if (mSettings.mCores <= largest / 2 && !hasStoodBack) {
      hasStoodBack = true;
      co_await Sleep(kStandBack);
      continue;
    }
    const TimePoint sentAt = BootClock::now();
    auto lease = co_await mStore.OpenLease(kHolderLease, platform::kStoreDeadline);
    if (!lease)
      continue;
    grant.mLease = *lease;
    grant.mRenewedAt = sentAt;
    HolderRecord& record = grant.mRecord;
    record.mName = mSettings.mName;
    record.mHost = mSettings.mPeersAdvertised.mHost;
    record.mPort = mSettings.mPeersAdvertised.mPort;
    record.mEpoch = (grant.mPredecessor ? grant.mPredecessor->mEpoch : 0) + 1;
    record.mNonce = mRandom();
    record.mLease = *lease;
    record.mLargestCores = std::max(largest, mSettings.mCores);
    if (!isOpen()) {
      co_await mStore.EndLease(*lease, platform::kStoreDeadline);
      break;
    }
    StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, 0);
    transaction.mConditions.emplace_back(kEpochKey, *epoch ? (*epoch)->mRevision : 0);
    transaction.mWrites.push_back({ std::string(kHolderKey), EncodeMessage(record), *lease });
    transaction.mWrites.push_back({ std::string(kEpochKey), EncodeMessage(record) });
    auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    std::uint64_t revision = 0;
    if (outcome && outcome->mCommitted) {
      revision = outcome->mRevision;
    } else if (!outcome && outcome.error().mKind == FailureKind::WriteUnknown) {
      auto item = co_await mStore.Get(std::string(kHolderKey), platform::kStoreDeadline);
      if (item && *item) {
        auto there = DecodeMessage<HolderRecord>((*item)->mValue);
        if (there && *there == record)
          revision = (*item)->mRevision;
      }
    }
    if (revision == 0) {
      // Ending the lease also undoes a write that is carried out late.
      co_await mStore.EndLease(*lease, platform::kStoreDeadline);
      continue;
    }
    if (mStopping) {
      co_await mStore.EndLease(*lease, platform::kStoreDeadline);
      break;
    }
    grant.mKeyRevision = revision;
    if (mHolder)
      mHolder->Depose("it holds a newer lease");
    mView.mRevision = std::max(mView.mRevision, revision);
    mView.mRecord = record;
    mHolder =
      std::make_shared<Holder>(mContext, mSettings, mClient, mStore, mMetrics, std::move(grant));
    mHolder->Start(mConfig);
    break;
  }
  mCampaigning = false;
}

// Process

Async<void> Entry::WaitForSignals()
{
  for (;;) {
    auto [ec, signal] = co_await mSignals.async_wait(kNoThrow);
    if (ec)
      co_return;
    if (signal == SIGHUP) {
      Reload("SIGHUP");
      continue;
    }
    if (!mStopping)
      asio::co_spawn(mContext, Stop(), asio::detached);
  }
}

void Entry::Reload(std::string_view aWhy)
{
  auto loaded = LoadEntrySettings(mFile);
  for (const std::string& it : loaded.mErrors)
    Log(LogPart::Process, LogLevel::Error, "settings not taken", { { "what", it } });
  if (!loaded.mErrors.empty())
    return;
  mSettings.mStore = loaded.mSettings.mStore;
  mSettings.mAdvice = loaded.mSettings.mAdvice;
  mSettings.mTaskLease = loaded.mSettings.mTaskLease;
  mStore.SetAddress(mSettings.mStore);
  Log(LogPart::Process, LogLevel::Info, "reloaded the settings", { { "why", aWhy } });
}

Async<void> Entry::WatchSettings()
{
  const auto read = [this] {
    std::ifstream in(mFile);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  };
  mFileText = read();
  while (!mStopping) {
    co_await Sleep(kSettingsEvery);
    std::string text = read();
    if (text == mFileText || text.empty())
      continue;
    mFileText = std::move(text);
    Reload("the file has changed");
  }
}

Async<void> Entry::Stop()
{
  mStopping = true;
  const TimePoint last = BootClock::now() + mSettings.mShutdown - kStopMargin;
  Log(LogPart::Process, LogLevel::Info, "stopping: requests in flight are finished first");
  if (IsHolder())
    co_await mHolder->Resign("it is stopping");
  const TimePoint drained = BootClock::now() + kDrainFor;
  while (BootClock::now() < std::min(drained, last))
    co_await Sleep(milliseconds(50));
  mCallers->StopAccepting();
  while (mCallers->CountInFlight() > 0 && BootClock::now() < last)
    co_await Sleep(milliseconds(20));
  Log(LogPart::Process, LogLevel::Info, "stopped");
  mContext.stop();
}

}  // namespace monsoon::fleet
