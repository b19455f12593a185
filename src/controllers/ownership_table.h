// State of one zone's ownership journal: the owner and epoch of each resource. Deterministic: every
// process that applies the same entries has the same table.
#pragma once

#include <map>
#include <optional>

#include "controllers/ownership_entries.h"

namespace monsoon {

struct OwnerRecord
{
  ProcessName mProcess{};  // empty: no owner
  std::uint64_t mIncarnation = 0;
  Epoch mEpoch = 0;  // of the last change; never decreases
};

struct OwnershipChange
{
  ResourceKey mResource{};
  OwnerRecord mBefore{};
  OwnerRecord mAfter{};
  Duration mQuietFor{};  // starts by the previous owner may arrive so long after applying
};

class OwnershipTable
{
public:
  // Applies the entries of one journal value. Entries whose precondition no longer holds change
  // nothing. A value that can't be decoded is counted, skipped and reported as CorruptEntry. Every
  // process decides the same in both cases.
  Result<std::vector<OwnershipChange>> Apply(Sequence aSequence, const std::string& aBytes);

  [[nodiscard]] std::string EncodeSnapshot() const;
  // Replaces the whole state and returns the changes; changes no owner on failure.
  Result<std::vector<OwnershipChange>> LoadSnapshot(Sequence aSequence, const std::string& aBytes);

  [[nodiscard]] std::optional<OwnerRecord> Find(const ResourceKey& aResource) const;
  [[nodiscard]] bool IsEnded(const ProcessName& aProcess, std::uint64_t aIncarnation) const;
  // Returns whether aResource has no owner, or one whose session has ended.
  [[nodiscard]] bool IsFree(const ResourceKey& aResource) const;
  [[nodiscard]] const std::map<ResourceKey, OwnerRecord>& GetAll() const noexcept
  {
    return mOwners;
  }
  [[nodiscard]] Sequence GetApplied() const noexcept { return mApplied; }
  void SkipTo(Sequence aSequence) noexcept;  // skips values that could not be decoded
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
  Epoch mEpoch = 0;  // of the entry being applied
  std::vector<OwnershipChange> mChanges{};
};

}  // namespace monsoon
