#include "controllers/ownership_table.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <utility>

#include "core/serialize.h"

namespace monsoon {

namespace {

constexpr std::uint16_t kSnapshotVersion = 1;
constexpr unsigned kEntryBits = 16;  // low bits of an epoch: position of the entry in its value

}  // namespace

template<class A>
void serialize(A& aArchive, OwnerRecord& aOwner)
{
  aArchive(aOwner.mProcess, aOwner.mIncarnation, aOwner.mEpoch);
}

Result<std::vector<OwnershipChange>> OwnershipTable::Apply(Sequence aSequence,
                                                           const std::string& aBytes)
{
  if (aSequence <= mApplied)
    return std::vector<OwnershipChange>{};
  mApplied = aSequence;
  const auto entries = DecodeOwnership(aBytes);
  if (!entries) {
    ++mCorrupt;
    return entries.error();
  }
  mChanges.clear();
  mEpoch = aSequence << kEntryBits;
  for (const OwnershipEntry& entry : *entries) {
    ++mEpoch;
    std::visit([this](const auto& aEntry) { Apply(aEntry); }, entry);
  }
  return std::exchange(mChanges, {});
}

void OwnershipTable::Set(const ResourceKey& aResource, OwnerRecord aOwner, Duration aQuietFor)
{
  OwnerRecord& owner = mOwners[aResource];
  aOwner.mEpoch = mEpoch;
  mChanges.push_back({ aResource, owner, aOwner, aQuietFor });
  owner = std::move(aOwner);
}

void OwnershipTable::Apply(const Claim& aClaim)
{
  const auto owner = Find(aClaim.mResource);
  if ((owner ? owner->mEpoch : 0) != aClaim.mReplaces || !IsFree(aClaim.mResource))
    return;
  if (IsEnded(aClaim.mProcess, aClaim.mIncarnation))
    return;
  Set(aClaim.mResource, { aClaim.mProcess, aClaim.mIncarnation }, aClaim.mQuietFor);
}

void OwnershipTable::Apply(const Handover& aHandover)
{
  const auto owner = Find(aHandover.mResource);
  if (!owner || owner->mProcess != aHandover.mFrom ||
      owner->mIncarnation != aHandover.mFromIncarnation)
    return;
  Set(aHandover.mResource, { aHandover.mTo, aHandover.mToIncarnation }, aHandover.mQuietFor);
}

void OwnershipTable::Apply(const Release& aRelease)
{
  const auto owner = Find(aRelease.mResource);
  if (!owner || owner->mProcess != aRelease.mProcess ||
      owner->mIncarnation != aRelease.mIncarnation)
    return;
  Set(aRelease.mResource, {}, {});
}

void OwnershipTable::Apply(const ProcessEnded& aEnded)
{
  std::uint64_t& ended = mEnded[aEnded.mProcess];
  ended = std::max(ended, aEnded.mIncarnation);
}

std::optional<OwnerRecord> OwnershipTable::Find(const ResourceKey& aResource) const
{
  auto it = mOwners.find(aResource);
  if (it == mOwners.end())
    return std::nullopt;
  return it->second;
}

bool OwnershipTable::IsEnded(const ProcessName& aProcess, std::uint64_t aIncarnation) const
{
  auto it = mEnded.find(aProcess);
  return it != mEnded.end() && aIncarnation <= it->second;
}

bool OwnershipTable::IsFree(const ResourceKey& aResource) const
{
  const auto owner = Find(aResource);
  return !owner || owner->mProcess.empty() || IsEnded(owner->mProcess, owner->mIncarnation);
}

void OwnershipTable::SkipTo(Sequence aSequence) noexcept
{
  mApplied = std::max(mApplied, aSequence);
}

std::string OwnershipTable::EncodeSnapshot() const
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(kSnapshotVersion, mOwners, mEnded);
  return std::move(out).str();
}

Result<std::vector<OwnershipChange>> OwnershipTable::LoadSnapshot(Sequence aSequence,
                                                                  const std::string& aBytes)
{
  if (aSequence <= mApplied)
    return std::vector<OwnershipChange>{};
  std::map<ResourceKey, OwnerRecord> owners;
  std::map<ProcessName, std::uint64_t> ended;
  try {
    std::istringstream in(aBytes);
    cereal::PortableBinaryInputArchive archive(in);
    std::uint16_t version = 0;
    archive(version, owners, ended);
  } catch (const std::exception& e) {
    ++mCorrupt;
    return MakeFailure(FailureKind::CorruptEntry, e.what());
  }
  std::vector<OwnershipChange> changes;
  for (const auto& [key, owner] : owners) {
    const auto before = Find(key).value_or(OwnerRecord{});
    if (before.mEpoch != owner.mEpoch)
      changes.push_back({ key, before, owner, {} });
  }
  mOwners = std::move(owners);
  mEnded = std::move(ended);
  mApplied = aSequence;
  return changes;
}

}  // namespace monsoon
