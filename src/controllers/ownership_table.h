// State of one zone's ownership journal: who owns what, in which epoch. Pure: every process that
// applies the same entries has the same table.
#pragma once

#include <map>
#include <optional>

#include "controllers/ownership_entries.h"

namespace monsoon {

struct OwnerRecord
{
  ProcessName mProcess{};  // empty: nobody
  std::uint64_t mIncarnation = 0;
  Epoch mEpoch = 0;  // of the last change; only grows
};

struct OwnershipChange
{
  ResourceKey mResource{};
  OwnerRecord mBefore{};
  OwnerRecord mAfter{};
  Duration mQuietFor{};  // from applying on: starts of the predecessor may still arrive
};

class OwnershipTable
{
public:
  // Entries that no longer hold (their premise was overtaken) change nothing, on every process
  // alike. CorruptEntry: counted, reported, and passed over by every process alike.
  Result<std::vector<OwnershipChange>> Apply(Sequence aSequence, const std::string& aBytes);

  [[nodiscard]] std::string EncodeSnapshot() const;
  // Replaces the whole state; nothing changes on failure.
  Result<std::vector<OwnershipChange>> LoadSnapshot(Sequence aSequence, const std::string& aBytes);

  [[nodiscard]] std::optional<OwnerRecord> Find(const ResourceKey& aResource) const;
  [[nodiscard]] bool IsEnded(const ProcessName& aProcess, std::uint64_t aIncarnation) const;
  // Nobody owns it, or whoever does has ended.
  [[nodiscard]] bool IsFree(const ResourceKey& aResource) const;
  [[nodiscard]] const std::map<ResourceKey, OwnerRecord>& GetAll() const noexcept
  {
    return mOwners;
  }
  [[nodiscard]] Sequence GetApplied() const noexcept { return mApplied; }
  void SkipTo(Sequence aSequence) noexcept;  // past values that could not be decoded
  [[nodiscard]] std::uint64_t CountCorrupt() const noexcept { return mCorrupt; }

private:
  void Apply(const Claim& aClaim);
  void Apply(const Handover& aHandover);
  void Apply(const Release& aRelease);
  void Apply(const ProcessEnded& aEnded);
  void Set(const ResourceKey& aResource, OwnerRecord aOwner, Duration aQuietFor);

  std::map<ResourceKey, OwnerRecord> mOwners{};
  std::map<ProcessName, std::uint64_t> mEnded{};
  Sequence mApplied = 0;
  std::uint64_t mCorrupt = 0;
  Epoch mEpoch = 0;  // of the entry that is being applied
  std::vector<OwnershipChange> mChanges{};
};

}  // namespace monsoon
