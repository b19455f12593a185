#include "controllers/ownership.h"

#include <algorithm>
#include <charconv>

namespace monsoon {

namespace {

constexpr std::string_view kWorkerPrefix = "worker/";
constexpr std::string_view kShardPrefix = "shard/";

}  // namespace

ZoneName ChooseShardZone(std::span<const ZoneName> aZones, ShardIndex aShard)
{
  return aZones.empty() ? ZoneName{} : aZones[aShard % aZones.size()];
}

std::string MakeOwnershipJournal(const ZoneName& aZone)
{
  return "ownership/" + aZone;
}

OwnershipEvent MakeOwnershipEvent(const ResourceKey& aResource, bool aGained)
{
  OwnershipEvent event;
  event.mGained = aGained;
  event.mIsShard = aResource.starts_with(kShardPrefix);
  if (!event.mIsShard) {
    event.mWorker = aResource.substr(kWorkerPrefix.size());
    return event;
  }
  const std::string_view digits = std::string_view(aResource).substr(kShardPrefix.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), event.mShard);
  return event;
}

std::vector<Eligible> ListEligible(std::span<const MemberStatus> aStatuses)
{
  std::vector<Eligible> eligible;
  for (const MemberStatus& it : aStatuses)
    if (it.mState == MemberState::Alive && it.mReady && it.mStoreReachable)
      eligible.push_back({ it.mName, it.mZone, it.mSession, it.mSince });
  return eligible;
}

bool IsTakeoverDue(std::span<const MemberStatus> aStatuses,
                   const ProcessName& aOwner,
                   std::uint64_t aIncarnation,
                   bool aStoreReachable)
{
  const auto it =
    std::find_if(aStatuses.begin(), aStatuses.end(), [&](const MemberStatus& aMember) {
      return aMember.mName == aOwner;
    });
  if (it == aStatuses.end())
    return true;  // no longer in the settings
  if (it->mState == MemberState::Suspect || it->mState == MemberState::Dead)
    return true;
  // A newer session of the owner takes back its own resources. A process that can't reach the store
  // can't do that, so others take over.
  if (it->mSession > aIncarnation)
    return false;
  return aStoreReachable && !it->mStoreReachable;
}

void OwnershipSink::ApplyEntry(Sequence aSequence, const std::string& aBytes)
{
  const auto changes = mTable.Apply(aSequence, aBytes);
  if (!changes || !mOnChange)
    return;  // the table counts entries that it could not decode
  for (const OwnershipChange& change : *changes)
    mOnChange(change);
}

void OwnershipSink::ApplySnapshot(Sequence aSequence, const std::string& aBytes)
{
  auto changes = mTable.LoadSnapshot(aSequence, aBytes);
  if (!changes || !mOnChange)
    return;
  for (OwnershipChange& change : *changes) {
    change.mQuietFor = mSnapshotQuiet;
    mOnChange(change);
  }
}

}  // namespace monsoon
