// The holder's lease: renewal, resignation and handover; queries about jobs.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kRenewInterval = milliseconds(300);   // allows several attempts within one lease
constexpr Duration kRenewDeadline = milliseconds(600);   // a slow store takes some 400 ms
constexpr Duration kMaxResignTime = milliseconds(1200);  // a slow store takes some 400 ms a write
constexpr Duration kResignDeadline = milliseconds(300);  // a cross-zone round trip takes 9 ms
constexpr Duration kStoreFailingTime = milliseconds(300);  // then members may end the lease
constexpr Duration kPollTransitMargin =
  milliseconds(50);  // mStoreServedAt is late by a poll's network delay
constexpr Duration kYieldCheckInterval = milliseconds(700);  // most members have polled by then

}  // namespace

Holder::Holder(asio::io_context& aContext,
               const EntrySettings& aSettings,
               HttpClient& aClient,
               platform::Store& aStore,
               Metrics& aMetrics,
               HolderGrant aGrant)
  : mContext(aContext)
  , mSettings(aSettings)
  , mClient(aClient)
  , mStore(aStore)
  , mMetrics(aMetrics)
  , mGrant(std::move(aGrant))
  , mScheduler(SchedulerSettings{ .mEpoch = mGrant.mRecord.mEpoch,
                                  .mMaxTaskLease = aSettings.mMaxTaskLease,
                                  .mWorkerHeartbeat = aSettings.mWorkerHeartbeat })
  , mElectedAt(BootClock::now())
  , mPlanTimer(aContext)
  , mStoreTimer(aContext)
{
}

void Holder::Start(const FleetConfig& aConfig)
{
  Log(LogPart::Ownership,
      LogLevel::Info,
      "this process schedules now",
      { { "epoch", GetEpoch() }, { "lease", mGrant.mLease } });
  mMetrics.GetCounter("fleet_takeovers_total").Add();
  SetConfig(aConfig);
  mPreviousHolderStopped = !mGrant.mPreviousHolder.has_value();
  if (!mPreviousHolderStopped)
    SetPredecessorQuietAt(mElectedAt + GetStartGrace() + kStartEffect);
  Spawn(mContext, KeepLease());
  Spawn(mContext, Load());
  if (mGrant.mOwnQuietTime)
    OnPredecessorStopped(*mGrant.mOwnQuietTime);
  else if (!mPreviousHolderStopped)
    Spawn(mContext, AskPreviousHolder());
  if (mGrant.mPreviousHolder)
    Spawn(mContext, ReadRevisionOfTakeover());
  if (!mSettings.mTokensChecked)
    Spawn(mContext, RecordSettled());
}

void Holder::SetConfig(const FleetConfig& aConfig)
{
  mConfig = aConfig;
  mScheduler.SetQueues(aConfig);
  WakePlan();
}

void Holder::StepDown(std::string_view aWhy)
{
  if (mSteppedDown)
    return;
  mSteppedDown = true;
  Log(LogPart::Ownership,
      LogLevel::Warn,
      "this process no longer schedules",
      { { "epoch", GetEpoch() }, { "why", aWhy } });
  mPlanTimer.cancel();
  mStoreTimer.cancel();
  for (auto& [id, channel] : mChannels)
    if (channel.mWake)
      channel.mWake->cancel();
  for (auto& [name, member] : mMembers)
    if (member.mWaiting)
      member.mWaiting->cancel();
}

Async<void> Holder::Resign(std::string_view aWhy)
{
  auto self = shared_from_this();
  // Ends that are not stored by the deadline aren't lost: the workers keep listing them, so the
  // next holder learns of them from the workers' reports.
  const TimePoint deadline = BootClock::now() + kMaxResignTime;
  while (!mSteppedDown && mScheduler.HasProgress() && BootClock::now() < deadline)
    if (!co_await StoreProgressOnce())
      co_await Sleep(milliseconds(20));
  StepDown(aWhy);
  co_await StoreHandover();
  auto ended = co_await mStore.EndLease(mGrant.mLease, platform::kStoreDeadline);
  if (!ended)
    Log(LogPart::Ownership,
        LogLevel::Warn,
        "the lease could not be ended; the next holder waits until it expires",
        { { "why", ended.error().mDetail } });
}

Async<void> Holder::KeepLease()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    co_await Sleep(kRenewInterval);
    if (mSteppedDown)
      co_return;
    const TimePoint sentAt = BootClock::now();
    auto kept = co_await mStore.KeepLease(mGrant.mLease, kRenewDeadline);
    if (kept) {
      mGrant.mRenewedAt = sentAt;
    } else if (kept.error().mKind == FailureKind::NotFound) {
      StepDown("the lease has expired or was ended");
    } else if (!MayRenewTaskLeases()) {
      StepDown("the lease could not be renewed");
    } else if (CanAnotherReachStore()) {
      mRequestsLeaseEnd = true;
      StepDown("the store does not serve this process but serves other members");
    }
  }
}

// Returns whether calls of this process to the store fail while the store serves a member.
bool Holder::CanAnotherReachStore() const
{
  const auto since = mStore.GetFailingSince();
  const TimePoint now = BootClock::now();
  if (!since || now - *since < kStoreFailingTime)
    return false;
  return std::any_of(mMembers.begin(), mMembers.end(), [&since](const auto& aItem) {
    return aItem.second.mStoreServedAt > *since + kPollTransitMargin;
  });
}

// Returns whether orders to workers, other than starts, are still safe. Another process can become
// the holder as soon as this one's lease has expired, but it gives up the tasks of an unresponsive
// worker only when their leases have expired, counted from kMaxLeaseOverhang after its election.
// Renewals may therefore continue after the last renewal of the holder's lease, for shorter leases
// (Scheduler::GetTaskLease), and a short outage of the store stops no task.
bool Holder::MayRenewTaskLeases() const
{
  return !mSteppedDown && BootClock::now() < mGrant.mRenewedAt + kOutageGrace;
}

// Returns how long starts may continue after the last renewal. A successor starts tasks only after
// this process has confirmed that it stepped down, after every worker has answered the successor
// and so refuses the older token, or after this time. Without checked tokens the second way is
// missing.
Duration Holder::GetStartGrace() const
{
  return mSettings.mTokensChecked ? kOutageGrace : kUncheckedGrace;
}

Duration Holder::GetQuietTime() const
{
  Duration quiet = kQuiet;
  for (const auto& [number, sentAt] : mUnsettledStarts)
    quiet = std::min(quiet, BootClock::now() - sentAt);
  return quiet;
}

// Sets when the last order of an earlier holder has taken effect. Until then the reports of workers
// that don't check tokens do not tell what will run there.
void Holder::SetPredecessorQuietAt(TimePoint aAt)
{
  mPredecessorQuietAt = aAt;
  if (!mSettings.mTokensChecked)
    mScheduler.SetFencedFrom(aAt);
}

// Returns whether tasks may start: the stored state is loaded, no successor can have started any,
// and the previous holder can no longer start any.
bool Holder::MayStart() const
{
  const TimePoint now = BootClock::now();
  if (!mLoaded || mSteppedDown || now >= mGrant.mRenewedAt + GetStartGrace())
    return false;
  if (mScheduler.GetTaskLease(now, mGrant.mRenewedAt) < kStartEffect)
    return false;  // a start would outlive the leases that a successor waits for
  if (!mSettings.mTokensChecked)
    return now >= mPredecessorQuietAt;
  return mPreviousHolderStopped || mScheduler.AreAllResolved() ||
         now > mElectedAt + GetStartGrace();
}

void Holder::OnPredecessorStopped(Duration aQuiet)
{
  mPreviousHolderStopped = true;
  TimePoint quietAt = BootClock::now() + std::max(Duration::zero(), kStartEffect - aQuiet);
  // Unless the previous holder had waited for its own predecessor, that one counts as well. It was
  // replaced when the previous holder was first seen, at the latest.
  if (!mGrant.mPreviousHolder->mSettled)
    quietAt = std::max(quietAt, mGrant.mPreviousSeenAt + GetStartGrace() + kStartEffect);
  SetPredecessorQuietAt(std::min(mPredecessorQuietAt, quietAt));
  WakePlan();
}

// Reads the store's revision once no earlier holder can send a start any more: none of them has
// started tasks of jobs that were accepted later.
Async<void> Holder::ReadRevisionOfTakeover()
{
  auto self = shared_from_this();
  while (!mSteppedDown && BootClock::now() < mPredecessorQuietAt - kStartEffect)
    co_await Sleep(kPlanInterval);
  while (!mSteppedDown && !mTakeoverRevision) {
    auto page = co_await mStore.List(std::string(kHolderKey), platform::kStoreDeadline);
    if (page)
      mTakeoverRevision = page->mRevision;
    else
      co_await Sleep(kRetryStore);
  }
}

// Records that no order of an earlier holder can take effect, so that the next holder need not wait
// for more than this one.
Async<void> Holder::RecordSettled()
{
  auto self = shared_from_this();
  while (!mSteppedDown && !mGrant.mRecord.mSettled) {
    if (BootClock::now() < mPredecessorQuietAt) {
      co_await Sleep(kPlanInterval);
      continue;
    }
    HolderRecord record = mGrant.mRecord;
    record.mSettled = true;
    platform::StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    transaction.mWrites.push_back({ std::string(kEpochKey), EncodeMessage(record) });
    auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (outcome && outcome->mCommitted)
      mGrant.mRecord.mSettled = true;
    else
      co_await Sleep(kRetryStore);
  }
}

// Asks the previous holder to step down, so that this one need not wait for kOutageGrace.
Async<void> Holder::AskPreviousHolder()
{
  auto self = shared_from_this();
  const HolderRecord& it = *mGrant.mPreviousHolder;
  for (int n = 0; n < 10 && !mSteppedDown && !mPreviousHolderStopped; ++n) {
    HttpRequest request(http::verb::post, "/resign", 11);
    request.body() = EncodeMessage(it.mEpoch);
    HttpAddress address{ it.mHost, it.mPort };
    auto response = co_await mClient.Call(std::move(address), std::move(request), kResignDeadline);
    if (response && response->result() == http::status::ok) {
      const auto reply = DecodeMessage<ResignReply>(response->body());
      OnPredecessorStopped(reply ? Duration(milliseconds(reply->mQuietMs)) : Duration::zero());
      co_return;
    }
    co_await Sleep(milliseconds(100));
  }
}

double Holder::GetLargestCores() const
{
  double cores = mSettings.mCores;
  for (const auto& [name, it] : mMembers)
    if (BootClock::now() - it.mPolledAt < kMemberAge)
      cores = std::max(cores, it.mCores);
  return cores;
}

// Hands the lease to a member on a larger VM: scheduling needs processor time in proportion to the
// size of the fleet.
Async<void> Holder::YieldToLarger()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    co_await Sleep(kYieldCheckInterval);
    if (mSteppedDown)
      co_return;
    if (GetLargestCores() < kHandoverCoreRatio * mSettings.mCores)
      continue;
    // Candidates on smaller VMs read mLargestCores and delay their candidacy.
    HolderRecord record = mGrant.mRecord;
    record.mLargestCores = std::max(record.mLargestCores, GetLargestCores());
    platform::StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    transaction.mWrites.push_back({ std::string(kEpochKey), EncodeMessage(record) });
    auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (outcome && outcome->mCommitted && !mSteppedDown)
      co_await Resign("a member has more cores");
  }
}

Async<StateReply> Holder::GetState(std::string aId)
{
  auto self = shared_from_this();
  constexpr int kTries = 80;  // 10 ms each; a write takes some 10 ms, 400 ms on a slow store
  for (int n = 0;; ++n) {
    const Job* job = mSteppedDown ? nullptr : mScheduler.FindJob(aId);
    if (!job)
      co_return StateReply{};
    StateReply reply{ true, static_cast<std::uint8_t>(job->mState) };
    reply.mTeam = job->mSpec.mTeam;
    reply.mQueue = job->mSpec.mQueue;
    if (!IsOver(job->mState) || job->mStoredState == job->mState)
      co_return reply;
    // Reports the end of a job only once it is stored: after that no later holder can run it again.
    if (n == kTries) {
      reply.mState = static_cast<std::uint8_t>(JobState::Running);
      co_return reply;
    }
    mStoreTimer.cancel();
    co_await Sleep(milliseconds(10));
  }
}

// Jobs are added only once they are stored.
bool Holder::KnowsJob(const std::string& aId, std::string_view aSpec) const
{
  const Job* job = mSteppedDown ? nullptr : mScheduler.FindJob(aId);
  const auto spec = DecodeMessage<JobSpec>(aSpec);
  return job && spec && job->mSpec.mTeam == spec->mTeam;
}

std::optional<std::size_t> Holder::CountPending(const std::string& aQueue) const
{
  if (mSteppedDown || !mLoaded)
    return std::nullopt;
  return mScheduler.CountPending(aQueue);
}

}  // namespace monsoon::fleet
