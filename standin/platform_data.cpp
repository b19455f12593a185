#include "standin/platform_data.h"

#include <algorithm>

namespace monsoon::standin {

// Values

const Value* PlatformData::Find(const std::string& aKey) const
{
  const auto it = mValues.find(aKey);
  return it == mValues.end() ? nullptr : &it->second;
}

std::uint64_t PlatformData::Put(const std::string& aKey, std::string aValue, LeaseId aLease)
{
  Value& value = mValues[aKey];
  value = Value{ aKey, std::move(aValue), ++mRevision, aLease };
  mHistory.push_back(value);
  if (mHistory.size() > kMaxHistory)
    mHistory.pop_front();
  return mRevision;
}

Result<std::uint64_t> PlatformData::Create(const std::string& aKey,
                                           std::string aValue,
                                           LeaseId aLease)
{
  if (aValue.size() > kMaxValueBytes)
    return MakeFailure(FailureKind::TooLarge);
  if (mValues.contains(aKey))
    return MakeFailure(FailureKind::AlreadyExists);
  if (aLease != 0 && !mLeases.contains(aLease))
    return MakeFailure(FailureKind::NotFound);
  return Put(aKey, std::move(aValue), aLease);
}

Result<std::uint64_t> PlatformData::CompareAndSwap(const std::string& aKey,
                                                   std::string aValue,
                                                   std::uint64_t aRevision,
                                                   LeaseId aLease)
{
  if (aValue.size() > kMaxValueBytes)
    return MakeFailure(FailureKind::TooLarge);
  const Value* value = Find(aKey);
  if (!value || value->mRevision != aRevision)
    return MakeFailure(FailureKind::Conflict);
  if (aLease != 0 && !mLeases.contains(aLease))
    return MakeFailure(FailureKind::NotFound);
  return Put(aKey, std::move(aValue), aLease);
}

Result<void> PlatformData::Delete(const std::string& aKey, std::uint64_t aRevision)
{
  const auto it = mValues.find(aKey);
  if (it == mValues.end() && aRevision == 0)
    return {};
  if (it == mValues.end() || (aRevision != 0 && it->second.mRevision != aRevision))
    return MakeFailure(FailureKind::Conflict);
  mValues.erase(it);
  ++mRevision;
  return {};
}

std::vector<Value> PlatformData::List(const std::string& aPrefix,
                                      const std::string& aAfter,
                                      std::size_t aLimit) const
{
  std::vector<Value> values;
  for (auto it = mValues.lower_bound(std::max(aPrefix, aAfter)); it != mValues.end(); ++it) {
    if (!it->first.starts_with(aPrefix) || values.size() >= aLimit)
      break;
    if (it->first != aAfter)
      values.push_back(it->second);
  }
  return values;
}

// History

std::vector<Value> PlatformData::ListChanges(const std::string& aPrefix, std::uint64_t aAfter) const
{
  std::vector<Value> changes;
  const auto begin =
    std::partition_point(mHistory.begin(), mHistory.end(), [aAfter](const Value& aChange) {
      return aChange.mRevision <= aAfter;
    });
  std::copy_if(begin, mHistory.end(), std::back_inserter(changes), [&](const Value& aChange) {
    return aChange.mKey.starts_with(aPrefix);
  });
  return changes;
}

bool PlatformData::IsLost(std::uint64_t aAfter) const noexcept
{
  return aAfter != 0 && mHistory.size() >= kMaxHistory && mHistory.front().mRevision > aAfter + 1;
}

// Leases

LeaseId PlatformData::GrantLease(Duration aTtl, TimePoint aNow)
{
  mLeases[++mLastLease] = Lease{ aTtl, aNow + aTtl };
  return mLastLease;
}

Result<void> PlatformData::KeepLease(LeaseId aLease, TimePoint aNow)
{
  LapseLeases(aNow);
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end())
    return MakeFailure(FailureKind::NotFound, "the lease has lapsed");
  it->second.mUntil = aNow + it->second.mTtl;
  return {};
}

void PlatformData::LapseLeases(TimePoint aNow)
{
  for (auto it = mLeases.begin(); it != mLeases.end();) {
    if (it->second.mUntil > aNow) {
      ++it;
      continue;
    }
    DropKeysOf(it->first);
    it = mLeases.erase(it);
  }
}

void PlatformData::LapseAllLeases()
{
  LapseLeases(TimePoint::max());
}

void PlatformData::DropKeysOf(LeaseId aLease)
{
  mRevision +=
    std::erase_if(mValues, [aLease](const auto& aPair) { return aPair.second.mLease == aLease; });
}

// VM list

void PlatformData::PutVm(const WorkerSpec& aVm, TimePoint aNow)
{
  mVms[aVm.mName].push_back(VmChange{ aNow, aVm });
}

void PlatformData::DeleteVm(const std::string& aName, TimePoint aNow)
{
  mVms[aName].push_back(VmChange{ aNow, std::nullopt });
}

std::vector<WorkerSpec> PlatformData::ListVms(TimePoint aAsOf)
{
  std::vector<WorkerSpec> vms;
  for (auto& [name, changes] : mVms) {
    // A change is kept for as long as a list might still show what stood before it.
    static constexpr Duration kLongestLag = std::chrono::hours(1);
    while (changes.size() > 1 && changes[1].mAt <= aAsOf - kLongestLag)
      changes.pop_front();
    const VmChange* last = nullptr;
    for (const VmChange& change : changes)
      if (change.mAt <= aAsOf)
        last = &change;
    if (last && last->mVm)
      vms.push_back(*last->mVm);
  }
  return vms;
}

}  // namespace monsoon::standin
