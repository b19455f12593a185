#include "controllers/configuration_table.h"

#include <algorithm>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "core/serialize.h"

namespace monsoon {

template<class A>
void serialize(A& aArchive, TeamSet& aE)
{
  aArchive(aE.mQuota);
}
template<class A>
void serialize(A& aArchive, TeamRemoved& aE)
{
  aArchive(aE.mTeam);
}
template<class A>
void serialize(A& aArchive, WorkerDrained& aE)
{
  aArchive(aE.mWorker);
}
template<class A>
void serialize(A& aArchive, WorkerUndrained& aE)
{
  aArchive(aE.mWorker);
}
template<class A>
void serialize(A& aArchive, CellSettingSet& aE)
{
  aArchive(aE.mName, aE.mValue);
}
template<class A>
void serialize(A& aArchive, JobDeclared& aE)
{
  aArchive(aE.mSpec);
}
template<class A>
void serialize(A& aArchive, JobWithdrawn& aE)
{
  aArchive(aE.mId);
}
template<class A>
void serialize(A& aArchive, Configuration& aC)
{
  aArchive(aC.mRevision, aC.mTeams, aC.mDrained, aC.mSettings, aC.mDeclared);
}

namespace {

constexpr std::uint16_t kVersion = 1;
// Stored names of the kinds, by index in the variant. A name must never get another meaning.
constexpr std::array<std::string_view, std::variant_size_v<ConfigurationEntry>> kKinds = {
  "set_team",         "remove_team", "drain_worker",   "undrain_worker",
  "set_cell_setting", "declare_job", "remove_declared"
};

struct WireEntry  // decodes also when this version doesn't know its kind
{
  std::string mKind{};
  std::string mBytes{};

  template<class A>
  void serialize(A& aArchive)
  {
    aArchive(mKind, mBytes);
  }
};

template<class T>
std::string EncodeBytes(T aValue)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(aValue);
  return std::move(out).str();
}

template<class T>
void DecodeBytes(const std::string& aBytes, T& aValue)
{
  std::istringstream in(aBytes);
  cereal::PortableBinaryInputArchive archive(in);
  archive(aValue);
}

template<std::size_t kIndex = 0>
std::optional<ConfigurationEntry> DecodeEntry(const WireEntry& aEntry)
{
  if constexpr (kIndex < kKinds.size()) {
    if (aEntry.mKind != kKinds[kIndex])
      return DecodeEntry<kIndex + 1>(aEntry);
    std::variant_alternative_t<kIndex, ConfigurationEntry> entry;
    DecodeBytes(aEntry.mBytes, entry);
    return entry;
  }
  return std::nullopt;
}

void Apply(Configuration& aC, const TeamSet& aE)
{
  aC.mTeams[aE.mQuota.mTeam] = aE.mQuota;
}
void Apply(Configuration& aC, const TeamRemoved& aE)
{
  aC.mTeams.erase(aE.mTeam);
}
void Apply(Configuration& aC, const WorkerDrained& aE)
{
  aC.mDrained[aE.mWorker] = true;
}
void Apply(Configuration& aC, const WorkerUndrained& aE)
{
  aC.mDrained.erase(aE.mWorker);
}
void Apply(Configuration& aC, const CellSettingSet& aE)
{
  aC.mSettings[aE.mName] = aE.mValue;
}
void Apply(Configuration& aC, const JobDeclared& aE)
{
  aC.mDeclared[aE.mSpec.mId] = aE.mSpec;
}
void Apply(Configuration& aC, const JobWithdrawn& aE)
{
  aC.mDeclared.erase(aE.mId);
}

}  // namespace

std::string Encode(const ConfigurationChange& aChange)
{
  std::vector<WireEntry> wire;
  for (const ConfigurationEntry& entry : aChange.mEntries) {
    const std::string_view kind = kKinds[entry.index()];
    wire.push_back({ std::string(kind),
                     std::visit([](const auto& aEntry) { return EncodeBytes(aEntry); }, entry) });
  }
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(kVersion, aChange.mId, wire);
  return std::move(out).str();
}

Result<ConfigurationChange> DecodeConfigurationChange(const std::string& aBytes)
{
  try {
    std::istringstream in(aBytes);
    cereal::PortableBinaryInputArchive archive(in);
    std::uint16_t version = 0;
    std::vector<WireEntry> wire;
    ConfigurationChange change;
    archive(version, change.mId, wire);
    for (const WireEntry& it : wire) {
      auto entry = DecodeEntry(it);
      if (entry)
        change.mEntries.push_back(std::move(*entry));
      else
        ++change.mUnknown[it.mKind];
    }
    return change;
  } catch (const std::exception& e) {
    return MakeFailure(FailureKind::CorruptEntry, e.what());
  }
}

ConfigurationTable::ConfigurationTable()
  : mConfiguration(std::make_shared<const Configuration>())
{
}

std::shared_ptr<const Configuration> ConfigurationTable::Get() const
{
  std::lock_guard lock(mLock);
  return mConfiguration;
}

Sequence ConfigurationTable::GetApplied() const noexcept
{
  return Get()->mRevision;
}

void ConfigurationTable::Publish(Configuration aConfiguration)
{
  auto fresh = std::make_shared<const Configuration>(std::move(aConfiguration));
  std::lock_guard lock(mLock);
  mConfiguration = std::move(fresh);
}

void ConfigurationTable::ApplyEntry(Sequence aSequence, const std::string& aBytes)
{
  Configuration next = *Get();
  if (aSequence <= next.mRevision)
    return;
  next.mRevision = aSequence;
  const auto change = DecodeConfigurationChange(aBytes);
  if (!change) {
    std::lock_guard lock(mLock);
    ++mSkipped["corrupt"];
  } else {
    for (const ConfigurationEntry& entry : change->mEntries)
      std::visit([&](const auto& aEntry) { Apply(next, aEntry); }, entry);
    std::lock_guard lock(mLock);
    for (const auto& [kind, count] : change->mUnknown)
      mSkipped[kind] += count;
    mChanges.emplace_back(change->mId, aSequence);
    if (mChanges.size() > kMaxRememberedChanges)
      mChanges.pop_front();
  }
  Publish(std::move(next));
}

void ConfigurationTable::ApplySnapshot(Sequence aSequence, const std::string& aBytes)
{
  if (aSequence <= GetApplied())
    return;
  Configuration next;
  std::deque<std::pair<std::string, Revision>> changes;
  try {
    std::istringstream in(aBytes);
    cereal::PortableBinaryInputArchive archive(in);
    std::uint16_t version = 0;
    std::vector<std::pair<std::string, Revision>> ids;
    archive(version, next, ids);
    changes.assign(ids.begin(), ids.end());
  } catch (const std::exception&) {
    std::lock_guard lock(mLock);
    ++mSkipped["corrupt"];
    return;
  }
  next.mRevision = aSequence;
  {
    std::lock_guard lock(mLock);
    mChanges = std::move(changes);
  }
  Publish(std::move(next));
}

void ConfigurationTable::SkipTo(Sequence aSequence)
{
  Configuration next = *Get();
  if (aSequence <= next.mRevision)
    return;
  next.mRevision = aSequence;
  Publish(std::move(next));
}

std::string ConfigurationTable::EncodeState() const
{
  Configuration state = *Get();
  std::vector<std::pair<std::string, Revision>> ids;
  {
    std::lock_guard lock(mLock);
    ids.assign(mChanges.begin(), mChanges.end());
  }
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(kVersion, state, ids);
  return std::move(out).str();
}

std::optional<Revision> ConfigurationTable::FindChange(const std::string& aId) const
{
  std::lock_guard lock(mLock);
  const auto it = std::find_if(
    mChanges.begin(), mChanges.end(), [&](const auto& aItem) { return aItem.first == aId; });
  if (it == mChanges.end())
    return std::nullopt;
  return it->second;
}

std::map<std::string, std::uint64_t> ConfigurationTable::CountSkipped() const
{
  std::lock_guard lock(mLock);
  return mSkipped;
}

}  // namespace monsoon
