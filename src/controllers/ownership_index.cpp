#include "controllers/ownership_index.h"

#include <algorithm>

#include "controllers/rendezvous.h"

namespace monsoon {

OwnershipIndex::OwnershipIndex(ProcessName aSelf)
  : mSelf(std::move(aSelf))
{
}

const OwnershipIndex::Shard& OwnershipIndex::GetShard(std::string_view aResource) const noexcept
{
  return mShards[HashPair(aResource, "") % kShards];
}

OwnershipIndex::Shard& OwnershipIndex::GetShard(std::string_view aResource) noexcept
{
  return mShards[HashPair(aResource, "") % kShards];
}

void OwnershipIndex::Apply(const OwnershipChange& aChange, std::uint64_t aSession)
{
  Shard& shard = GetShard(aChange.mResource);
  std::lock_guard lock(shard.mLock);
  Item& item = shard.mItems[aChange.mResource];
  item.mOwner = aChange.mAfter;
  item.mMachine.Process(OwnerEvent::Lost);
  if (aSession != 0 && item.mOwner.mProcess == mSelf && item.mOwner.mIncarnation == aSession)
    item.mMachine.Process(OwnerEvent::Gained);
}

void OwnershipIndex::Process(const ResourceKey& aResource, OwnerEvent aEvent)
{
  Shard& shard = GetShard(aResource);
  std::lock_guard lock(shard.mLock);
  auto it = shard.mItems.find(aResource);
  if (it != shard.mItems.end())
    it->second.mMachine.Process(aEvent);
}

std::vector<ResourceKey> OwnershipIndex::ChangeSession(std::uint64_t aSession)
{
  std::vector<ResourceKey> lost;
  for (Shard& shard : mShards) {
    std::lock_guard lock(shard.mLock);
    for (auto& [key, item] : shard.mItems) {
      if (item.mMachine.GetState() == OwnerState::NotOwned || item.mOwner.mIncarnation == aSession)
        continue;
      item.mMachine.Process(OwnerEvent::Lost);
      lost.push_back(key);
    }
  }
  return lost;
}

std::optional<OwnerOf> OwnershipIndex::Find(std::string_view aResource) const
{
  const Shard& shard = GetShard(aResource);
  std::lock_guard lock(shard.mLock);
  auto it = shard.mItems.find(aResource);
  if (it == shard.mItems.end() || it->second.mOwner.mProcess.empty())
    return std::nullopt;
  return OwnerOf{ it->second.mOwner.mProcess, it->second.mOwner.mEpoch };
}

std::optional<Epoch> OwnershipIndex::FindOwn(std::string_view aResource,
                                             std::uint64_t aSession) const
{
  const Shard& shard = GetShard(aResource);
  std::lock_guard lock(shard.mLock);
  auto it = shard.mItems.find(aResource);
  if (it == shard.mItems.end() || aSession == 0)
    return std::nullopt;
  const Item& item = it->second;
  if (item.mMachine.GetState() != OwnerState::Owned || item.mOwner.mIncarnation != aSession)
    return std::nullopt;
  return item.mOwner.mEpoch;
}

std::vector<ResourceKey> OwnershipIndex::ListOwn() const
{
  std::vector<ResourceKey> keys;
  for (const Shard& shard : mShards) {
    std::lock_guard lock(shard.mLock);
    for (const auto& [key, item] : shard.mItems)
      if (item.mMachine.GetState() != OwnerState::NotOwned)
        keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

std::vector<ProcessName> OwnershipIndex::ListOwners(std::string_view aPrefix) const
{
  std::vector<ProcessName> names;
  for (const Shard& shard : mShards) {
    std::lock_guard lock(shard.mLock);
    for (const auto& [key, item] : shard.mItems)
      if (key.starts_with(aPrefix) && !item.mOwner.mProcess.empty())
        names.push_back(item.mOwner.mProcess);
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace monsoon
