// Requests to the holder and other members, and the handler of theirs.
#include <algorithm>

#include "fleet/entry_impl.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kPollDeadline = milliseconds(700);   // the holder keeps a poll open for 400 ms
constexpr Duration kProbeDeadline = milliseconds(350);  // includes a ping of the holder
constexpr std::size_t kMembersToProbe = 3;
constexpr Duration kConfigDelivery = seconds(1);    // between two parts or versions
constexpr Duration kMaxConfigTime = seconds(5);     // to read it from the holder
constexpr Duration kServedFor = milliseconds(200);  // an answer of the store shows that it serves

}  // namespace

// Posts a request to the holder, or handles it here if this process is the holder. Fails with
// StoreUnavailable if no holder is known or reachable, or if it can't serve the request, with
// Conflict or RateLimited if it refused the request, with PeerUnknown for any other status than
// 200, and as HttpClient::Call.
Async<Result<std::string>> Entry::CallHolder(const char* aPath,
                                             std::string aBody,
                                             CallLimits aLimits)
{
  HttpRequest request(http::verb::post, aPath, 11);
  request.body() = std::move(aBody);
  Result<HttpResponse> response = MakeFailure(FailureKind::StoreUnavailable, "no holder is known");
  if (IsHolder())
    response = co_await HandlePeer(std::move(request));
  else if (mView.mRecord) {
    HttpAddress address{ mView.mRecord->mHost, mView.mRecord->mPort };
    const TimePoint sentAt = BootClock::now();
    response = co_await mClient.Call(std::move(address), std::move(request), aLimits);
    const bool isHolder = response && response->result() != http::status::misdirected_request;
    if (isHolder)
      mHolderFailingSince.reset();
    else if (!mHolderFailingSince)
      mHolderFailingSince = sentAt;
  }
  if (!response) {
    if (response.error().mKind == FailureKind::EndpointUnreachable)
      co_return MakeFailure(FailureKind::StoreUnavailable, response.error().mDetail);
    co_return response.error();
  }
  if (response->result() == http::status::misdirected_request)
    co_return MakeFailure(FailureKind::StoreUnavailable, "the process no longer holds the lease");
  if (response->result() == http::status::service_unavailable)
    co_return MakeFailure(FailureKind::StoreUnavailable, "the holder can't serve the request");
  if (response->result() == http::status::conflict)
    co_return MakeFailure(FailureKind::Conflict, "the holder refused the request");
  if (response->result() == http::status::too_many_requests)
    co_return MakeFailure(FailureKind::RateLimited, "the holder has too many such requests");
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
      co_return MakeEmptyResponse(http::status::bad_request);
    if (IsHolder() && mHolder->GetEpoch() <= *epoch)
      mHolder->StepDown("the next holder asked it to");
    co_return answer(EncodeMessage(ResignReply{ static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(GetQuietTime()).count()) }));
  }
  if (path == "/config")
    co_return answer(mConfigText);
  if (path == "/probe") {
    auto request = DecodeMessage<ProbeRequest>(aRequest.body());
    if (!request)
      co_return MakeEmptyResponse(http::status::bad_request);
    ProbeReply reply;
    // A member that sends few calls notices an outage late.
    if (request->mEpoch == 0 && !IsStoreDown() &&
        BootClock::now() - mStore.GetServedAt() > kServedFor)
      co_await mStore.Get(std::string(kHolderKey), kPingDeadline);
    reply.mStoreServes = !IsStoreDown();
    reply.mStoreServedAgoMs = (BootClock::now() - mStore.GetServedAt()) / milliseconds(1);
    reply.mHolder = mView.mRecord.value_or(HolderRecord{});
    if (request->mEpoch != 0)
      reply.mHolderAnswers = co_await PingHolder(request->mHolder, request->mEpoch);
    co_return answer(EncodeMessage(reply));
  }
  if (path == "/store") {
    auto request = DecodeMessage<SubmitRequest>(aRequest.body());
    if (!request)
      co_return MakeEmptyResponse(http::status::bad_request);
    co_return co_await StoreRelayed(std::move(*request));
  }
  if (!IsHolder())
    co_return MakeEmptyResponse(http::status::misdirected_request);
  auto holder = mHolder;
  if (path == "/ping") {
    auto epoch = DecodeMessage<std::uint64_t>(aRequest.body());
    if (!epoch)
      co_return MakeEmptyResponse(http::status::bad_request);
    co_return *epoch == holder->GetEpoch() ? answer({})
                                           : MakeEmptyResponse(http::status::misdirected_request);
  }
  if (path == "/poll") {
    auto request = DecodeMessage<PollRequest>(aRequest.body());
    if (!request || request->mEpoch != holder->GetEpoch())
      co_return MakeEmptyResponse(http::status::conflict);
    const PollReply reply = co_await holder->Poll(std::move(*request));
    co_return answer(EncodeMessage(reply));
  }
  if (path == "/state") {
    auto id = DecodeMessage<std::string>(aRequest.body());
    if (!id)
      co_return MakeEmptyResponse(http::status::bad_request);
    const StateReply reply = co_await holder->GetState(std::move(*id));
    co_return answer(EncodeMessage(reply));
  }
  if (path == "/pending") {
    auto queue = DecodeMessage<std::string>(aRequest.body());
    if (!queue)
      co_return MakeEmptyResponse(http::status::bad_request);
    const auto pending = holder->CountPending(*queue);
    if (!pending)
      co_return MakeEmptyResponse(http::status::service_unavailable);
    co_return answer(EncodeMessage(std::uint64_t{ *pending }));
  }
  if (path == "/submit") {
    auto request = DecodeMessage<SubmitRequest>(aRequest.body());
    if (!request)
      co_return MakeEmptyResponse(http::status::bad_request);
    co_return co_await StoreRelayed(std::move(*request));
  }
  if (path == "/accepted") {
    auto job = DecodeMessage<SubmitRequest>(aRequest.body());
    if (!job)
      co_return MakeEmptyResponse(http::status::bad_request);
    holder->OnJobAccepted(job->mId, job->mValue);
    co_return answer({});
  }
  if (path == "/cancelled") {
    auto id = DecodeMessage<std::string>(aRequest.body());
    if (!id)
      co_return MakeEmptyResponse(http::status::bad_request);
    holder->OnJobCancelled(*id);
    co_return answer({});
  }
  if (path == "/cancel") {
    auto request = DecodeMessage<CancelRequest>(aRequest.body());
    if (!request)
      co_return MakeEmptyResponse(http::status::bad_request);
    const HttpResponse response =
      co_await Cancel(std::move(request->mAccess), std::move(request->mId), kStoreWriteDeadline);
    if (response.result() == http::status::gone)
      co_return answer("gone");
    if (response.result() == http::status::too_many_requests)
      co_return response;
    co_return response.result() == http::status::ok
      ? answer({})
      : MakeEmptyResponse(http::status::gateway_timeout);
  }
  co_return MakeEmptyResponse(http::status::not_found);
}

Async<void> Entry::NotifyHolder(const char* aPath, std::string aBody)
{
  auto notified = co_await CallHolder(aPath, std::move(aBody), kPeerDeadline);
  if (!notified)
    Log(LogPart::Peer,
        LogLevel::Info,
        "the holder could not be notified; it will read the change from the store",
        { { "what", aPath }, { "why", notified.error().mDetail } });
}

// Returns whether the store delivers the configuration to this process. A large one takes seconds
// on a slow link, and would take the holder's link as long for each member that reads it there.
bool Entry::IsConfigDelivered() const
{
  const TimePoint deliveredAt = std::max(mStore.GetReceivingAt(), mConfigAt);
  return !mStore.GetFailingSince() && BootClock::now() - deliveredAt < kConfigDelivery;
}

// Reads a newer configuration from the holder, unless the store delivers it until the next poll:
// the store may not serve this process, and a key that was taken away must not work here for long.
void Entry::CatchUpConfig(std::uint64_t aVersion)
{
  if (aVersion <= mConfig.mVersion) {
    mAheadVersion = 0;
  } else if (mAheadVersion == 0) {
    mAheadVersion = aVersion;
  } else if (!mIsReadingConfig && !IsConfigDelivered()) {
    mIsReadingConfig = true;
    asio::co_spawn(mContext, ReadHolderConfig(), asio::detached);
  }
}

Async<void> Entry::ReadHolderConfig()
{
  const CallLimits limits{ kPeerDeadline, kPeerDeadline, kMaxConfigTime };
  auto text = co_await CallHolder("/config", {}, limits);
  mIsReadingConfig = false;
  if (text)
    ApplyConfig(*text, "holder");
  else
    Log(LogPart::Config,
        LogLevel::Warn,
        "a newer configuration could not be read from the holder",
        { { "version", mAheadVersion }, { "why", text.error().mDetail } });
}

Async<void> Entry::PollHolder()
{
  std::vector<AdviceResult> results;
  while (!mStopping) {
    if (!mView.mRecord || IsHolder()) {
      if (IsHolder())
        mMembers = mHolder->SampleMembers(mSettings.mName);
      co_await Sleep(milliseconds(20));
      results.clear();
      continue;
    }
    PollRequest poll;
    poll.mName = mSettings.mName;
    poll.mAddress = mSettings.mPeersAdvertised;
    poll.mEpoch = mView.mRecord->mEpoch;
    poll.mCores = mSettings.mCores;
    poll.mStoreServedAgoMs = (BootClock::now() - mStore.GetServedAt()) / milliseconds(1);
    poll.mResults = std::move(results);
    results.clear();
    auto answer = co_await CallHolder("/poll", EncodeMessage(poll), kPollDeadline);
    if (!answer) {
      co_await ReplaceLostHolder();
      co_await Sleep(milliseconds(100));
      continue;
    }
    auto reply = DecodeMessage<PollReply>(*answer);
    if (!reply) {
      Log(LogPart::Peer,
          LogLevel::Error,
          "the holder's answer to a poll can't be decoded",
          { { "what", reply.error().mDetail } });
      co_await Sleep(milliseconds(100));
      continue;
    }
    if (!reply->mMembers.empty())
      mMembers = reply->mMembers;
    mLoad = std::move(reply->mLoad);
    mLoadAt = BootClock::now();
    CatchUpConfig(reply->mConfigVersion);
    if (reply->mRequestsLeaseEnd && mView.mRecord && mView.mRecord->mEpoch == poll.mEpoch) {
      // The holder can't reach the store to end its lease itself.
      co_await EndHolderLease(mView.mRecord->mLease);
      co_await Sleep(milliseconds(50));
      continue;
    }
    for (const AdviceOrder& it : reply->mOrders) {
      AdviceResult result;
      result.mNumber = it.mNumber;
      if (!mSettings.mAdvice) {
        Log(LogPart::Peer,
            LogLevel::Error,
            "the holder assigned a policy call, but the settings name no policy service",
            { { "stage", it.mStage } });
        results.push_back(std::move(result));
        continue;
      }
      const TimePoint askedAt = BootClock::now();
      auto advice = co_await platform::CallPolicyService(
        mClient, *mSettings.mAdvice, it, milliseconds(it.mExpectedMs) + seconds(1));
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

Async<bool> Entry::PingHolder(HttpAddress aAddress, std::uint64_t aEpoch)
{
  HttpRequest request(http::verb::post, "/ping", 11);
  request.body() = EncodeMessage(aEpoch);
  auto response = co_await mClient.Call(std::move(aAddress), std::move(request), kPingDeadline);
  co_return response && response->result() == http::status::ok;
}

Async<void> Entry::ProbeMember(HttpAddress aAddress,
                               std::string aProbe,
                               std::shared_ptr<ProbeTally> aTally)
{
  HttpRequest request(http::verb::post, "/probe", 11);
  request.body() = std::move(aProbe);
  auto response = co_await mClient.Call(aAddress, std::move(request), kProbeDeadline);
  if (!response || response->result() != http::status::ok)
    co_return;
  auto reply = DecodeMessage<ProbeReply>(response->body());
  if (!reply) {
    Log(LogPart::Peer,
        LogLevel::Error,
        "a member's answer to a probe can't be decoded",
        { { "what", reply.error().mDetail } });
    co_return;
  }
  ++aTally->mAnswered;
  aTally->mReachHolder += reply->mHolderAnswers ? 1 : 0;
  aTally->mServedByStore += reply->mStoreServes ? 1 : 0;
  // Only a call that the member sent after the store failed this process shows that it is served.
  const auto failingSince = mStore.GetFailingSince();
  const TimePoint servedAt = BootClock::now() - milliseconds(reply->mStoreServedAgoMs);
  if (reply->mStoreServes && failingSince && servedAt > *failingSince)
    aTally->mServedMembers.push_back(aAddress);
  if (reply->mHolder.mEpoch > mView.mNewestEpoch && !IsHolder()) {
    Log(LogPart::Ownership,
        LogLevel::Info,
        "a member names a newer holder",
        { { "holder", reply->mHolder.mName }, { "epoch", reply->mHolder.mEpoch } });
    SetHolder(std::move(reply->mHolder));
  }
}

// Asks a few members concurrently whether they reach the store and the holder of aEpoch; 0: only
// the store.
Async<Entry::ProbeTally> Entry::ProbeMembers(std::uint64_t aEpoch)
{
  auto tally = std::make_shared<ProbeTally>();
  ProbeRequest probe;
  if (mView.mRecord)
    probe.mHolder = HttpAddress{ mView.mRecord->mHost, mView.mRecord->mPort };
  probe.mEpoch = mView.mRecord ? aEpoch : 0;
  std::vector<HttpAddress> drawn;
  std::sample(
    mMembers.begin(), mMembers.end(), std::back_inserter(drawn), kMembersToProbe, mRandom);
  std::erase(drawn, probe.mHolder);
  tally->mAsked = drawn.size();
  const std::string body = EncodeMessage(probe);
  for (const HttpAddress& it : drawn)
    asio::co_spawn(mContext, ProbeMember(it, body, tally), asio::detached);
  const TimePoint deadline = BootClock::now() + kProbeDeadline;
  while (tally->mAnswered < tally->mAsked && BootClock::now() < deadline)
    co_await Sleep(milliseconds(10));
  co_return *tally;
}

}  // namespace monsoon::fleet
