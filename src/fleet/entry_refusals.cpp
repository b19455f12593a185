// Requests that can't be served now: relays a job to a process that the store serves, refuses with
// a time to return, and refuses jobs that can't be done in time.
#include <algorithm>

#include "core/json.h"
#include "fleet/entry_impl.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::size_t kMaxRefusalTimes = 1000;

CapacityLimit FindTeamLimit(const FleetConfig& aConfig, std::string_view aTeam)
{
  for (const TeamConfig& it : aConfig.mTeams)
    if (it.mName == aTeam)
      return { static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.mLimit.mMilliCores)),
               static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.mLimit.mMemoryMiB)),
               static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.mLimit.mAccelerators)) };
  return {};
}

}  // namespace

// Returns whether this process is partitioned: neither the store nor the holder serves it, and the
// store serves other members or most members don't answer either. If most members answer and the
// store serves none of them, the store is down.
bool Entry::IsIsolated() const
{
  if (!IsStoreDown() || IsHolder())
    return false;
  const bool isHolderUnresponsive =
    mHolderFailingSince && BootClock::now() - *mHolderFailingSince > kStoreDownAfter;
  if (mView.mRecord && !isHolderUnresponsive)
    return false;
  if (!mTally || mTally->mAsked == 0)
    return true;
  const bool areMostUnresponsive = 2 * mTally->mAnswered < mTally->mAsked;
  return mTally->mServedByStore > 0 || areMostUnresponsive;
}

OutageView Entry::ViewOutage() const
{
  const TimePoint now = BootClock::now();
  OutageView view;
  if (const auto since = mStore.GetFailingSince())
    view.mLasted = now - *since;
  view.mAreOthersServed =
    IsIsolated() || (IsStoreDown() && mTally && !mTally->mServedMembers.empty());
  view.mRefusedLately = static_cast<std::size_t>(
    mRefusedAt.end() - std::upper_bound(mRefusedAt.begin(), mRefusedAt.end(), now - seconds(1)));
  return view;
}

HttpResponse Entry::MakeRefusal(http::status aStatus)
{
  const OutageView outage = ViewOutage();
  const std::uint32_t wait =
    ChooseRetryAfter(outage, std::uniform_real_distribution<double>(0, 1)(mRandom));
  mRefusedAt.push_back(BootClock::now());
  if (mRefusedAt.size() > kMaxRefusalTimes)
    mRefusedAt.pop_front();
  mMetrics
    .GetCounter("fleet_refusals_total",
                outage.mAreOthersServed ? "reason=\"isolated\"" : "reason=\"store\"")
    .Add();
  HttpResponse response(aStatus, 11);
  response.set(http::field::retry_after, std::to_string(wait));
  return response;
}

// Hands a job to a process that may be served by the store while this one isn't: the holder, which
// may also know the job as stored, or another member. Fails with StoreUnavailable if the job isn't
// stored by this call and won't be.
Async<Result<void>> Entry::RelayJob(std::string aId, std::string aValue)
{
  if (IsHolder()) {
    if (mHolder->KnowsJob(aId, aValue))
      co_return Result<void>();
    co_return MakeFailure(FailureKind::StoreUnavailable, "the store does not serve the holder");
  }
  const SubmitRequest relay{ aId, std::move(aValue) };
  std::string body = EncodeMessage(relay);
  if (!IsIsolated()) {
    auto relayed = co_await CallHolder("/submit", body, kPeerDeadline);
    if (relayed) {
      Log(LogPart::Request, LogLevel::Info, "accepted through the holder", { { "job", aId } });
      co_return Result<void>();
    }
    if (relayed.error().mKind != FailureKind::StoreUnavailable)
      co_return relayed.error();
  }
  if (!IsStoreDown() || !mTally || mTally->mServedMembers.empty())
    co_return MakeFailure(FailureKind::StoreUnavailable, "no member is known to be served");
  const std::vector<HttpAddress>& served = mTally->mServedMembers;
  HttpAddress member =
    served[std::uniform_int_distribution<std::size_t>(0, served.size() - 1)(mRandom)];
  co_return co_await StoreThroughMember(std::move(member), std::move(aId), std::move(body));
}

// Relays an encoded SubmitRequest to a member that the store served when it was last probed.
Async<Result<void>> Entry::StoreThroughMember(HttpAddress aMember,
                                              std::string aId,
                                              std::string aBody)
{
  HttpRequest request(http::verb::post, "/store", 11);
  request.body() = std::move(aBody);
  auto response = co_await mClient.Call(std::move(aMember), std::move(request), kPeerDeadline);
  if (!response) {
    if (response.error().mKind == FailureKind::EndpointUnreachable)
      co_return MakeFailure(FailureKind::StoreUnavailable, response.error().mDetail);
    co_return response.error();
  }
  const http::status status = response->result();
  if (status == http::status::ok) {
    Log(LogPart::Request, LogLevel::Info, "accepted through a member", { { "job", aId } });
    co_return Result<void>();
  }
  // An earlier release answers misdirected_request.
  if (status == http::status::service_unavailable || status == http::status::misdirected_request)
    co_return MakeFailure(FailureKind::StoreUnavailable, "the member can't store the job");
  if (status == http::status::conflict)
    co_return MakeFailure(FailureKind::Conflict, "another team has a job of this id");
  co_return MakeFailure(FailureKind::PeerUnknown, std::to_string(response->result_int()));
}

// Stores a job for a process that the store does not serve.
Async<HttpResponse> Entry::StoreRelayed(SubmitRequest aJob)
{
  auto holder = mHolder;
  HttpResponse done(http::status::ok, 11);
  if (IsHolder() && holder->KnowsJob(aJob.mId, aJob.mValue))
    co_return done;
  if (IsStoreDown())
    co_return MakeEmptyResponse(http::status::service_unavailable);
  auto stored = co_await StoreJob(aJob.mId, aJob.mValue, kStoreWriteDeadline);
  if (!stored && stored.error().mKind == FailureKind::Conflict)
    co_return MakeEmptyResponse(http::status::conflict);
  if (!stored)
    co_return MakeEmptyResponse(stored.error().mKind == FailureKind::WriteUnknown
                                  ? http::status::gateway_timeout
                                  : http::status::service_unavailable);
  if (IsHolder())
    mHolder->OnJobAccepted(aJob.mId, aJob.mValue);
  else
    asio::co_spawn(mContext, NotifyHolder("/accepted", EncodeMessage(aJob)), asio::detached);
  co_return done;
}

// Refusal of jobs that can't be done in time
// Decides by what the holder last published. A job that lasts or runs later is never refused: it
// may find other limits and other work.
RefusalDecision Entry::JudgeJob(const JobSpec& aSpec)
{
  const bool lasts =
    std::any_of(aSpec.mStages.begin(), aSpec.mStages.end(), [](const StageSpec& aItem) {
      return aItem.mLongRunning || aItem.mFiller;
    });
  if (aSpec.mTeam.empty() || aSpec.mOccurrences > 0 || lasts)
    return {};
  if (IsHolder()) {
    mLoad = mHolder->GetLoad();
    mLoadAt = BootClock::now();
  }
  return DecideRefusal(MakeDemand(aSpec),
                       FindTeamLimit(mConfig, aSpec.mTeam),
                       mLoad,
                       BootClock::now() - mLoadAt,
                       std::uniform_real_distribution<double>(0, 1)(mRandom));
}

// Returns whether the job may have been stored by an earlier request: then it must not be refused.
Async<bool> Entry::MayBeStored(std::string aId)
{
  auto stored = co_await mStore.Get(MakeJobKey(aId), platform::kStoreDeadline);
  co_return !stored || stored->has_value();
}

HttpResponse Entry::MakeHopelessRefusal(const JobSpec& aSpec, const RefusalDecision& aRefusal)
{
  const std::string_view reason = GetReasonName(aRefusal.mReason);
  const CapacityLimit limit = FindTeamLimit(mConfig, aSpec.mTeam);
  const auto waitMs = std::chrono::duration_cast<milliseconds>(aRefusal.mWait).count();
  Log(LogPart::Request,
      LogLevel::Info,
      "refused: the job can't be done in time",
      { { "job", aSpec.mId },
        { "team", aSpec.mTeam },
        { "queue", aSpec.mQueue },
        { "reason", reason },
        { "limit_millicores", limit.mMilliCores },
        { "wait_ms", waitMs },
        { "retry_after_s", aRefusal.mRetryAfter } });
  mMetrics.GetCounter("fleet_refusals_total", "reason=\"" + std::string(reason) + "\"").Add();
  const boost::json::object body{ { "reason", reason },
                                  { "team", aSpec.mTeam },
                                  { "limit_millicores", limit.mMilliCores },
                                  { "limit_memory_mib", limit.mMemoryMiB },
                                  { "limit_accelerators", limit.mAccelerators },
                                  { "wait_ms", waitMs },
                                  { "retry_after_s", aRefusal.mRetryAfter } };
  HttpResponse response =
    MakeJsonResponse(http::status::too_many_requests, boost::json::serialize(body));
  response.set(http::field::retry_after, std::to_string(aRefusal.mRetryAfter));
  return response;
}

}  // namespace monsoon::fleet
