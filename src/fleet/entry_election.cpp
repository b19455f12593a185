// The holder as this process knows it, and its election.
#include <algorithm>

#include "fleet/entry_impl.h"
#include "fleet/keys.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kHolderLease = milliseconds(2000);  // of the scheduler; the store's least is 1 s
constexpr Duration kCampaignSpread = milliseconds(30);  // random delay between candidates
constexpr Duration kStandBack = milliseconds(400);      // an election takes some 100 ms

}  // namespace

// Ends the lease of a holder that did not answer this process and is lost, so that nobody waits
// until it lapses: it was this process before its restart, or the members that are asked get no
// answer either, or its machine says that the process is gone. Should it live after all, it is
// fenced like any predecessor.
Async<void> Entry::ReplaceLostHolder()
{
  if (!mView.mRecord || IsHolder())
    co_return;
  if (mHolder && mHolder->GetEpoch() == mView.mRecord->mEpoch)
    co_return;  // it resigns, and ends its lease itself once its progress is stored
  const HolderRecord record = *mView.mRecord;
  const HttpAddress address{ record.mHost, record.mPort };
  std::string why;
  if (address == mSettings.mPeersAdvertised) {
    if (!mCampaigning)
      why = "it was this process before its restart";
  } else {
    const ProbeTally tally = co_await AskMembers(record.mEpoch);
    if (tally.mAnswered > 0 && tally.mReachHolder == 0)
      why = "no member that was asked reaches it";
    else if (tally.mAnswered == 0 && co_await IsConnectionRefused(address, kPingDeadline))
      why = "its machine refuses connections";
  }
  if (IsStoreDown())
    co_return;  // the lease can't be ended from here
  if (why.empty() || IsHolder() || !mView.mRecord || !(*mView.mRecord == record))
    co_return;
  Log(LogPart::Ownership,
      LogLevel::Warn,
      "the holder is lost; its lease is ended",
      { { "holder", record.mName }, { "epoch", record.mEpoch }, { "why", why } });
  co_await EndHolderLease(record.mLease);
}

// Does not wait for the watch to show that the key is gone: a watch from before an outage of the
// store may hear nothing more.
Async<void> Entry::EndHolderLease(std::uint64_t aLease)
{
  auto ended = co_await mStore.EndLease(aLease, platform::kStoreDeadline);
  if (!ended) {
    Log(LogPart::Ownership,
        LogLevel::Warn,
        "the lease could not be ended; it lapses",
        { { "why", ended.error().mDetail } });
    co_return;
  }
  if (mView.mRecord && mView.mRecord->mLease == aLease)
    mView.mRecord.reset();
  CampaignIfOpen();
}

void Entry::CampaignIfOpen()
{
  if (!mView.mRecord && !mCampaigning && !mStopping && !IsHolder())
    asio::co_spawn(mContext, Campaign(), asio::detached);
}

// Reads what the watches may have missed while the store was out of reach.
Async<void> Entry::CatchUp()
{
  auto holder = co_await mStore.List(std::string(kHolderKey), platform::kStoreDeadline);
  if (holder) {
    for (const StoreItem& it : holder->mItems)
      TakeHolder(it);
    if (holder->mItems.empty())
      TakeHolder({ std::string(kHolderKey), {}, holder->mRevision, true });
    CampaignIfOpen();
  }
  auto config = co_await mStore.List(std::string(platform::kConfigKey), platform::kStoreDeadline);
  if (config)
    for (const StoreItem& it : config->mItems)
      TakeConfig(it);
}

void Entry::SetHolder(HolderRecord aRecord)
{
  mView.mNewestEpoch = std::max(mView.mNewestEpoch, aRecord.mEpoch);
  mView.mRecord = std::move(aRecord);
  mHolderFailingSince.reset();  // it says nothing of another holder
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
      SetHolder(std::move(*record));
  }
  if (mHolder && !mHolder->IsDeposed() &&
      (!mView.mRecord || mView.mRecord->mEpoch != mHolder->GetEpoch()) &&
      (!mView.mRecord || mView.mRecord->mEpoch > mHolder->GetEpoch() || aItem.mDeleted))
    mHolder->Depose("the store names another holder");
}

Async<void> Entry::WatchHolder()
{
  std::uint64_t revision = 0;
  while (!mStopping) {
    const bool isList = revision == 0;
    auto page = co_await Follow(std::string(kHolderKey), revision);
    if (!page)
      continue;
    for (const StoreItem& it : page->mItems)
      TakeHolder(it);
    if (isList && page->mItems.empty())
      TakeHolder({ std::string(kHolderKey), {}, revision, true });
    CampaignIfOpen();
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
    if (outcome && !outcome->mCommitted)
      for (const StoreItem& it : outcome->mCurrent)
        TakeHolder(it);
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
    SetHolder(record);
    mHolder =
      std::make_shared<Holder>(mContext, mSettings, mClient, mStore, mMetrics, std::move(grant));
    mHolder->Start(mConfig);
    break;
  }
  mCampaigning = false;
}

}  // namespace monsoon::fleet
