#include "fleet/cancelled_ids.h"

#include <algorithm>
#include <utility>

namespace monsoon::fleet {

namespace {

// A cancellation that is repeated within this time needs no other record.
constexpr Duration kRepeatTime = seconds(10);

}  // namespace

const CancelledIds::Cancellation* CancelledIds::Find(const CancelledId& aId) const
{
  const auto [first, last] = mById.equal_range(aId.mId);
  const auto it = std::find_if(
    first, last, [&aId](const auto& aItem) { return aItem.second.mAccess == aId.mAccess; });
  return it == last ? nullptr : &it->second;
}

CancelledIds::Cancellation* CancelledIds::Find(const CancelledId& aId)
{
  return const_cast<Cancellation*>(std::as_const(*this).Find(aId));
}

bool CancelledIds::Add(const CancelledId& aId, TimePoint aNow)
{
  Cancellation* known = Find(aId);
  if (known && (known->mKey.empty() || aNow - mRecords.at(known->mKey) < kRepeatTime))
    return true;
  if (mById.size() >= kMaxCancelledIds || mUnstored.size() >= kMaxCancelledIds)
    return false;
  if (known)
    known->mKey.clear();
  else
    mById.emplace(aId.mId, Cancellation{ aId.mAccess, {} });
  mUnstored.push_back(aId);
  return true;
}

void CancelledIds::AddRecord(const std::string& aKey,
                             const CancelledIdsRecord& aRecord,
                             TimePoint aNow)
{
  if (!mRecords.try_emplace(aKey, aNow).second)
    return;
  for (const CancelledId& it : aRecord.mIds) {
    Cancellation* known = Find(it);
    if (known)
      known->mKey = aKey;
    else
      mById.emplace(it.mId, Cancellation{ it.mAccess, aKey });
  }
}

CancelledIdsRecord CancelledIds::GetNextRecord() const
{
  const std::size_t count = std::min(mUnstored.size(), kMaxRecordIds);
  const auto end = mUnstored.begin() + static_cast<std::ptrdiff_t>(count);
  return { { mUnstored.begin(), end } };
}

void CancelledIds::OnStored(const std::string& aKey,
                            const CancelledIdsRecord& aRecord,
                            TimePoint aNow)
{
  AddRecord(aKey, aRecord, aNow);
  mUnstored.erase(mUnstored.begin(),
                  mUnstored.begin() + static_cast<std::ptrdiff_t>(aRecord.mIds.size()));
}

bool CancelledIds::IsStored(const CancelledId& aId) const
{
  const Cancellation* known = Find(aId);
  return known && !known->mKey.empty();
}

bool CancelledIds::Contains(const JobSpec& aJob) const
{
  const auto [first, last] = mById.equal_range(aJob.mId);
  return std::any_of(first, last, [&aJob](const auto& aItem) {
    return MayAccess(aItem.second.mAccess, aJob.mTeam, aJob.mQueue);
  });
}

std::vector<std::string> CancelledIds::ListExpired(TimePoint aNow) const
{
  std::vector<std::string> keys;
  for (const auto& [key, addedAt] : mRecords)
    if (aNow - addedAt >= kLongestWrite + kRepeatTime)
      keys.push_back(key);
  return keys;
}

void CancelledIds::EraseRecord(const std::string& aKey)
{
  mRecords.erase(aKey);
  std::erase_if(mById, [&aKey](const auto& aItem) { return aItem.second.mKey == aKey; });
}

}  // namespace monsoon::fleet
