#include "controllers/key_table.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/tuple.hpp>

#include <algorithm>
#include <sstream>

#include "core/serialize.h"

namespace monsoon {

// Found by argument-dependent lookup, so it must be in the namespace of KeyEntry.
template<class Archive>
void serialize(Archive& aArchive, KeyEntry& aEntry)
{
  aArchive(aEntry.mAt, aEntry.mKey, aEntry.mRequest, aEntry.mEntry, aEntry.mState);
  aArchive(aEntry.mTimeout, aEntry.mStatus, aEntry.mBody);
}

namespace {

constexpr std::uint16_t kSnapshotVersion = 1;

template<class Value>
Result<Value> Decode(std::string_view aBytes)
{
  try {
    std::istringstream in{ std::string(aBytes) };
    cereal::PortableBinaryInputArchive archive(in);
    Value value;
    archive(value);
    if (in.peek() != std::istringstream::traits_type::eof())
      return MakeFailure(FailureKind::CorruptEntry, "unexpected bytes after the value");
    return value;
  } catch (const std::exception& error) {
    return MakeFailure(FailureKind::CorruptEntry, error.what());
  }
}

bool IsFinal(KeyState aState)
{
  return aState == KeyState::Answered || aState == KeyState::Unknown;
}

}  // namespace

KeyTable::KeyTable(KeySettings aSettings)
  : mSettings(aSettings)
{
}

// A call whose process died never reports its outcome. After its deadline and lease it can't act
// any more, but what it did before is unknown, so the key never becomes fresh again.
KeyState KeyTable::GetState(const KeyEntry& aEntry, ShardTime aNow) const
{
  if (aEntry.mState == KeyState::InFlight && aNow > aEntry.mAt + aEntry.mTimeout + mSettings.mLease)
    return KeyState::Unknown;
  // The call did not run, so the next one may.
  if (aEntry.mState == KeyState::NotRun)
    return KeyState::Fresh;
  return aEntry.mState;
}

KeyReply KeyTable::LookUp(const KeyRecord& aRecord, ShardTime aNow) const
{
  const auto it = mKeys.find(aRecord.mKey);
  if (it == mKeys.end())
    return { .mState = KeyState::Fresh, .mRequest = aRecord.mRequest };
  const KeyEntry& entry = it->second;
  const KeyState state = GetState(entry, aNow);
  if (state == KeyState::Fresh)
    return { .mState = KeyState::Fresh, .mRequest = aRecord.mRequest };
  return { state, entry.mRequest, entry.mStatus, entry.mBody };
}

Result<KeyEntry> KeyTable::MakeEntry(const KeyRecord& aRecord, ShardTime aNow) const
{
  if (LookUp(aRecord, aNow).mState != KeyState::Fresh)
    return MakeFailure(FailureKind::Conflict, "the key is already recorded");
  if (mKeys.size() >= mSettings.mMaxKeys && !mKeys.contains(aRecord.mKey))
    return MakeFailure(FailureKind::TooLarge, "too many keys are remembered");
  KeyEntry entry;
  entry.mAt = std::max(aNow, mLast);
  entry.mKey = aRecord.mKey;
  entry.mRequest = aRecord.mRequest;
  entry.mEntry = aRecord.mEntry;
  entry.mTimeout = aRecord.mTimeout;
  return entry;
}

Result<KeyEntry> KeyTable::MakeEntry(const KeyOutcome& aOutcome, ShardTime aNow) const
{
  const auto it = mKeys.find(aOutcome.mKey);
  if (it == mKeys.end())
    return MakeFailure(FailureKind::NotFound, "the key is not recorded");
  if (it->second.mRequest != aOutcome.mRequest)
    return MakeFailure(FailureKind::Conflict, "the key is held by another call");
  if (aOutcome.mState == KeyState::Fresh || aOutcome.mState == KeyState::InFlight)
    return MakeFailure(FailureKind::BadInput, "the reported state is not an outcome");
  KeyEntry entry = it->second;
  entry.mAt = std::max(aNow, mLast);
  entry.mState = aOutcome.mState;
  entry.mStatus = aOutcome.mStatus;
  entry.mBody = aOutcome.mBody;
  return entry;
}

// The last entry of a key wins, except that an answer is never replaced by another state, and a
// final state never by InFlight.
void KeyTable::Apply(const KeyEntry& aEntry)
{
  mLast = std::max(mLast, aEntry.mAt);
  KeyEntry& entry = mKeys[aEntry.mKey];
  if (entry.mState == KeyState::Answered && aEntry.mState != KeyState::Answered)
    return;
  if (IsFinal(entry.mState) && aEntry.mState == KeyState::InFlight)
    return;
  const auto [first, last] = mByTime.equal_range(entry.mAt);
  const auto old =
    std::find_if(first, last, [&](const auto& aPlace) { return aPlace.second == aEntry.mKey; });
  if (old != last)
    mByTime.erase(old);
  entry = aEntry;
  mByTime.emplace(entry.mAt, entry.mKey);
}

void KeyTable::Forget(ShardTime aNow)
{
  while (!mByTime.empty()) {
    const auto it = mByTime.begin();
    const KeyEntry& entry = mKeys.at(it->second);
    const Duration pending =
      entry.mState == KeyState::InFlight ? entry.mTimeout + mSettings.mLease : Duration::zero();
    if (aNow <= entry.mAt + pending + mSettings.mRetention)
      return;
    mKeys.erase(it->second);
    mByTime.erase(it);
  }
}

ShardTime KeyTable::GetLastTime() const noexcept
{
  return mLast;
}

std::size_t KeyTable::Count() const noexcept
{
  return mKeys.size();
}

std::string KeyTable::EncodeSnapshot() const
{
  std::vector<KeyEntry> entries;
  for (const auto& [at, key] : mByTime)
    entries.push_back(mKeys.at(key));
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(std::tuple(kSnapshotVersion, mLast, entries));
  return std::move(out).str();
}

Result<void> KeyTable::RestoreSnapshot(std::string_view aBytes)
{
  mKeys.clear();
  mByTime.clear();
  mLast = {};
  if (aBytes.empty())
    return {};
  auto snapshot = Decode<std::tuple<std::uint16_t, ShardTime, std::vector<KeyEntry>>>(aBytes);
  if (!snapshot)
    return snapshot.error();
  const auto& [version, last, entries] = *snapshot;
  if (version != kSnapshotVersion)
    return MakeFailure(FailureKind::CorruptEntry, "the snapshot has an unknown version");
  for (const KeyEntry& it : entries)
    Apply(it);
  mLast = std::max(mLast, last);
  return {};
}

std::string Encode(const KeyEntry& aEntry)
{
  std::ostringstream out;
  out << kKeyEntryTag;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(aEntry);
  return std::move(out).str();
}

bool IsKeyEntry(std::string_view aBytes) noexcept
{
  return !aBytes.empty() && aBytes.front() == kKeyEntryTag;
}

Result<KeyEntry> DecodeKeyEntry(std::string_view aBytes)
{
  if (!IsKeyEntry(aBytes))
    return MakeFailure(FailureKind::CorruptEntry, "not a key entry");
  auto entry = Decode<KeyEntry>(aBytes.substr(1));
  if (entry && static_cast<unsigned>(entry->mState) > static_cast<unsigned>(KeyState::Unknown))
    return MakeFailure(FailureKind::CorruptEntry, "an unknown key state");
  return entry;
}

}  // namespace monsoon
