// Follows who holds the scheduler's lease, ends the lease of a lost holder, and runs for election.
#include <algorithm>

#include "fleet/entry_impl.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kHolderLease = milliseconds(2000);   // the store's minimum is 1 s
constexpr Duration kCampaignJitter = milliseconds(30);  // random delay before each attempt
constexpr Duration kSmallVmDelay = milliseconds(400);   // an election takes some 100 ms

}  // namespace

// Ends the lease of a holder that did not answer this process, if the holder is lost, so that no
// process has to wait until the lease expires. A holder counts as lost if it was this process
// before its restart, if the probed members get no answer from it either, or if no member answered
// and its machine refuses connections. If it runs after all, it is fenced like any previous holder.
Async<void> Entry::ReplaceLostHolder()
{
  if (!mView.mRecord || IsHolder())
    co_return;
  if (mHolder && mHolder->GetEpoch() == mView.mRecord->mEpoch)
    co_return;  // this process resigns: it ends the lease once its progress is stored
  const HolderRecord record = *mView.mRecord;
  const HttpAddress address{ record.mHost, record.mPort };
  std::string why;
  if (IsSelf(record)) {
    if (!mCampaigning)
      why = "the holder was this process before its restart";
  } else {
    const ProbeTally tally = co_await ProbeMembers(record.mEpoch);
    if (tally.mAnswered > 0 && tally.mReachHolder == 0)
      why = "no member that was asked reaches the holder";
    else if (tally.mAnswered == 0 && co_await IsConnectionRefused(address, kPingDeadline))
      why = "the holder's machine refuses connections";
  }
  if (IsStoreDown())
    co_return;  // the lease can't be ended from here
  if (why.empty() || IsHolder() || !mView.mRecord || !(*mView.mRecord == record))
    co_return;
  Log(LogPart::Ownership,
      LogLevel::Warn,
      "the holder is lost; ending its lease",
      { { "holder", record.mName }, { "epoch", record.mEpoch }, { "why", why } });
  co_await EndHolderLease(record.mLease);
}

// Ends the holder's lease and starts an election. Does not wait until the watch reports the deleted
// key: a watch from before an outage of the store may never receive another change.
Async<void> Entry::EndHolderLease(std::uint64_t aLease)
{
  auto ended = co_await mStore.EndLease(aLease, platform::kStoreDeadline);
  if (!ended) {
    Log(LogPart::Ownership,
        LogLevel::Warn,
        "the holder's lease could not be ended; it will expire",
        { { "why", ended.error().mDetail } });
    co_return;
  }
  if (mView.mRecord && mView.mRecord->mLease == aLease)
    mView.mRecord.reset();
  CampaignIfVacant();
}

void Entry::CampaignIfVacant()
{
  if (!mView.mRecord && !mCampaigning && !mStopping && !IsHolder())
    asio::co_spawn(mContext, Campaign(), asio::detached);
}

// Reads the changes that the watches may have missed while the store was unreachable.
Async<void> Entry::RefreshAfterOutage()
{
  auto holder = co_await mStore.List(std::string(kHolderKey), platform::kStoreDeadline);
  if (holder) {
    for (const StoreItem& it : holder->mItems)
      ApplyHolderItem(it);
    if (holder->mItems.empty())
      ApplyHolderItem({ std::string(kHolderKey), {}, holder->mRevision, true });
    CampaignIfVacant();
  }
  auto config = co_await mStore.List(std::string(platform::kConfigKey), platform::kStoreDeadline);
  if (config)
    for (const StoreItem& it : config->mItems)
      ApplyConfigItem(it);
}

bool Entry::IsSelf(const HolderRecord& aRecord) const
{
  return HttpAddress{ aRecord.mHost, aRecord.mPort } == mSettings.mPeersAdvertised;
}

// Returns the time since this process last sent a start order that may still take effect.
Duration Entry::GetQuietTime() const
{
  return mHolder ? mHolder->GetQuietTime() : BootClock::now() - mStartedAt;
}

void Entry::SetHolder(HolderRecord aRecord)
{
  if (aRecord.mEpoch > mView.mNewestEpoch)
    mView.mNewestSeenAt = BootClock::now();
  mView.mNewestEpoch = std::max(mView.mNewestEpoch, aRecord.mEpoch);
  mView.mRecord = std::move(aRecord);
  mHolderFailingSince.reset();  // the failed calls went to another holder
}

void Entry::ApplyHolderItem(const StoreItem& aItem)
{
  if (aItem.mKey != kHolderKey || aItem.mRevision < mView.mRevision)
    return;
  mView.mRevision = aItem.mRevision;
  mView.mRecord.reset();
  if (!aItem.mDeleted) {
    auto record = DecodeMessage<HolderRecord>(aItem.mValue);
    if (record)
      SetHolder(std::move(*record));
  }
  if (mHolder && !mHolder->HasSteppedDown() &&
      (!mView.mRecord || mView.mRecord->mEpoch != mHolder->GetEpoch()) &&
      (!mView.mRecord || mView.mRecord->mEpoch > mHolder->GetEpoch() || aItem.mDeleted))
    mHolder->StepDown("the store names another holder or none");
}

Async<void> Entry::WatchHolder()
{
  std::uint64_t revision = 0;
  while (!mStopping) {
    const bool isList = revision == 0;
    auto page = co_await ReadChanges(std::string(kHolderKey), revision);
    if (!page)
      continue;
    for (const StoreItem& it : page->mItems)
      ApplyHolderItem(it);
    if (isList && page->mItems.empty())
      ApplyHolderItem({ std::string(kHolderKey), {}, revision, true });
    CampaignIfVacant();
  }
}

// Runs for election until some process holds the lease. A process on a small VM delays its
// candidacy once, so that a larger one, if there is one, becomes the holder.
Async<void> Entry::Campaign()
{
  mCampaigning = true;
  const auto isVacant = [this] { return !mStopping && !mView.mRecord && !IsHolder(); };
  const auto random = [this] {
    return Duration(
      std::uniform_int_distribution<std::int64_t>(0, kCampaignJitter.count())(mRandom));
  };
  co_await Sleep(random());
  bool hasYielded = false;
  for (; isVacant(); co_await Sleep(kRetryStore + random())) {
    auto epoch = co_await mStore.Get(std::string(kEpochKey), platform::kStoreDeadline);
    if (!epoch || !isVacant())
      continue;
    HolderGrant grant;
    if (*epoch) {
      auto last = DecodeMessage<HolderRecord>((*epoch)->mValue);
      if (last) {
        grant.mPreviousHolder = std::move(*last);
      } else {
        // Each election raises the revision of this key by one or more, so no epoch is above it.
        Log(LogPart::Ownership,
            LogLevel::Error,
            "the previous holder's record can't be decoded; waiting until its orders have expired",
            { { "what", last.error().mDetail }, { "revision", (*epoch)->mRevision } });
        grant.mPreviousHolder = HolderRecord{ .mEpoch = (*epoch)->mRevision };
      }
      const bool isSeen = grant.mPreviousHolder->mEpoch == mView.mNewestEpoch;
      grant.mPreviousSeenAt = isSeen ? mView.mNewestSeenAt : BootClock::now();
    }
    const double largest = grant.mPreviousHolder ? grant.mPreviousHolder->mLargestCores : 0;
    if (mSettings.mCores * kHandoverCoreRatio <= largest && !hasYielded) {
      hasYielded = true;
      co_await Sleep(kSmallVmDelay);
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
    record.mEpoch = (grant.mPreviousHolder ? grant.mPreviousHolder->mEpoch : 0) + 1;
    record.mNonce = mRandom();
    record.mLease = *lease;
    record.mLargestCores = std::max(largest, mSettings.mCores);
    record.mSettled = !grant.mPreviousHolder;
    if (!isVacant()) {
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
        auto stored = DecodeMessage<HolderRecord>((*item)->mValue);
        if (stored && *stored == record)
          revision = (*item)->mRevision;
      }
    }
    if (outcome && !outcome->mCommitted)
      for (const StoreItem& it : outcome->mCurrent)
        ApplyHolderItem(it);
    if (revision == 0) {
      // Ending the lease also deletes the holder key of a write that is applied late.
      co_await mStore.EndLease(*lease, platform::kStoreDeadline);
      continue;
    }
    if (mStopping) {
      co_await mStore.EndLease(*lease, platform::kStoreDeadline);
      break;
    }
    grant.mKeyRevision = revision;
    if (mHolder)
      mHolder->StepDown("this process holds a newer lease");
    if (grant.mPreviousHolder && IsSelf(*grant.mPreviousHolder))
      grant.mOwnQuietTime = GetQuietTime();
    mView.mRevision = std::max(mView.mRevision, revision);
    SetHolder(record);
    mHolder =
      std::make_shared<Holder>(mContext, mSettings, mClient, mStore, mMetrics, std::move(grant));
    mHolder->Start(mConfig);
    break;
  }
  mCampaigning = false;
}

}  // namespace monsoon::fleet
