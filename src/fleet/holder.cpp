// The lease, and questions to its holder.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kRenewInterval = milliseconds(300);     // several tries within one lease
constexpr Duration kRenewDeadline = milliseconds(600);     // slow days: some 400 ms
constexpr Duration kMaxResignTime = milliseconds(1200);    // a slow store takes some 400 ms a write
constexpr Duration kResignDeadline = milliseconds(300);    // a cross-zone round trip takes 9 ms
constexpr Duration kStoreFailingTime = milliseconds(300);  // of failing calls
constexpr Duration kPollTransitMargin =
  milliseconds(50);  // of a poll, between two clocks' readings
constexpr Duration kYieldCheckInterval = milliseconds(700);  // most processes have polled by then
constexpr double kHandoverCoreRatio = 2;  // times the cores that are worth a handover

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
  , mScheduler(
      SchedulerSettings{ .mEpoch = mGrant.mRecord.mEpoch, .mTaskLease = aSettings.mTaskLease })
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
  Spawn(mContext, KeepLease());
  Spawn(mContext, Load());
  if (!mPreviousHolderStopped)
    Spawn(mContext, AskPreviousHolder());
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
      "this process schedules no more",
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
  // What is not stored is still listed by the workers, and its successor hears of it.
  const TimePoint deadline = BootClock::now() + kMaxResignTime;
  while (!mSteppedDown && mScheduler.HasProgress() && BootClock::now() < deadline)
    if (!co_await StoreProgressOnce())
      co_await Sleep(milliseconds(20));
  StepDown(aWhy);
  auto ended = co_await mStore.EndLease(mGrant.mLease, platform::kStoreDeadline);
  if (!ended)
    Log(LogPart::Ownership,
        LogLevel::Warn,
        "the lease could not be ended; its successor waits until it lapses",
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
      StepDown("its lease has ended");
    } else if (!MayRenewTaskLeases()) {
      StepDown("its lease could not be renewed");
    } else if (CanAnotherReachStore()) {
      mRequestsLeaseEnd = true;
      StepDown("the store turns this process away and serves others");
    }
  }
}

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

// Another process can hold the lease once this one's has ended. It then either hears from us, or
// reaches every worker first, or waits kOutageGrace before it starts anything: so orders may go on
// until then, and an outage of the store alone stops nothing.
bool Holder::MayRenewTaskLeases() const
{
  return !mSteppedDown && BootClock::now() < mGrant.mRenewedAt + kOutageGrace;
}

bool Holder::MayStart() const
{
  if (!mLoaded || !MayRenewTaskLeases())
    return false;
  return mPreviousHolderStopped || mScheduler.AreAllResolved() ||
         BootClock::now() > mElectedAt + kOutageGrace;
}

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
      mPreviousHolderStopped = true;
      WakePlan();
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

// Scheduling costs processor time in proportion to the fleet, so it belongs on a large VM.
Async<void> Holder::YieldToLarger()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    co_await Sleep(kYieldCheckInterval);
    if (mSteppedDown)
      co_return;
    if (GetLargestCores() < kHandoverCoreRatio * mSettings.mCores)
      continue;
    // Candidates read there that they are to stand back.
    HolderRecord record = mGrant.mRecord;
    record.mLargestCores = std::max(record.mLargestCores, GetLargestCores());
    platform::StoreTransaction transaction;
    transaction.mConditions.emplace_back(kHolderKey, mGrant.mKeyRevision);
    transaction.mWrites.push_back({ std::string(kEpochKey), EncodeMessage(record) });
    auto outcome = co_await mStore.Commit(std::move(transaction), platform::kStoreDeadline);
    if (outcome && outcome->mCommitted && !mSteppedDown)
      co_await Resign("a larger process is there");
  }
}

Async<StateReply> Holder::GetState(std::string aId)
{
  auto self = shared_from_this();
  constexpr int kTries = 80;  // a write takes some 10 ms, on slow days 400
  for (int n = 0;; ++n) {
    const Job* job = mSteppedDown ? nullptr : mScheduler.FindJob(aId);
    if (!job)
      co_return StateReply{};
    if (!IsOver(job->mState) || job->mStoredState == job->mState)
      co_return StateReply{ true, static_cast<std::uint8_t>(job->mState) };
    // An end is shown once it is stored, so that no later holder can run the job again.
    if (n == kTries)
      co_return StateReply{ true, static_cast<std::uint8_t>(JobState::Running) };
    mStoreTimer.cancel();
    co_await Sleep(milliseconds(10));
  }
}

std::optional<std::size_t> Holder::CountPending(const std::string& aQueue) const
{
  if (mSteppedDown || !mLoaded)
    return std::nullopt;
  return mScheduler.CountPending(aQueue);
}

}  // namespace monsoon::fleet
