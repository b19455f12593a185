#include "fleet/cancelled_ids.h"

#include <algorithm>

#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

// A cancellation that is repeated within this time needs no other record.
constexpr Duration kRepeatTime = seconds(10);

}  // namespace

CancelledIds::Cancellation* CancelledIds::Find(const CancelledId& aId)
{
  const auto [first, last] = mById.equal_range(aId.mId);
  const auto it = std::find_if(
    first, last, [&aId](const auto& aItem) { return aItem.second.mAccess == aId.mAccess; });
  return it == last ? nullptr : &it->second;
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

void CancelledIds::SetKey(const CancelledIdsRecord& aRecord, const std::string& aKey)
{
  for (const CancelledId& it : aRecord.mIds) {
    if (Cancellation* known = Find(it))
      known->mKey = aKey;
    else
      mById.emplace(it.mId, Cancellation{ it.mAccess, aKey });
  }
}

void CancelledIds::AddRecord(const std::string& aKey,
                             const CancelledIdsRecord& aRecord,
                             TimePoint aNow)
{
  mRecords.emplace(aKey, aNow);
  SetKey(aRecord, aKey);
}

// Each write has a key of its own: one that had no answer may be carried out after the next, which
// has more ids.
std::optional<CancelledIdsWrite> CancelledIds::MakeWrite(std::uint64_t aEpoch, TimePoint aNow)
{
  if (mUnstored.empty())
    return std::nullopt;
  CancelledIdsWrite write;
  write.mKey.append(kCancelledPrefix).append(std::to_string(aEpoch)).append("-");
  write.mKey.append(std::to_string(mWrites++));
  const std::size_t count = std::min(mUnstored.size(), kMaxRecordIds);
  write.mRecord.mIds.assign(mUnstored.begin(),
                            mUnstored.begin() + static_cast<std::ptrdiff_t>(count));
  mRecords.emplace(write.mKey, aNow);
  return write;
}

void CancelledIds::OnStored(const CancelledIdsWrite& aWrite)
{
  SetKey(aWrite.mRecord, aWrite.mKey);
  mUnstored.erase(mUnstored.begin(),
                  mUnstored.begin() + static_cast<std::ptrdiff_t>(aWrite.mRecord.mIds.size()));
}

bool CancelledIds::IsStored(const CancelledId& aId)
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
