// What stands in a zone's ownership journal. One journal value carries one decision: a list of
// entries that hold together.
#pragma once

#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon {

using ResourceKey = std::string;  // "worker/<name>" or "shard/<index>"

[[nodiscard]] ResourceKey MakeWorkerKey(std::string_view aWorker);
[[nodiscard]] ResourceKey MakeShardKey(ShardIndex aShard);

struct Claim  // takes a resource that nobody owns, for oneself or for another process
{
  ResourceKey mResource{};
  ProcessName mProcess{};
  std::uint64_t mIncarnation = 0;  // of its session
  Epoch mReplaces = 0;             // epoch of the ownership that is over; 0: never owned
  Duration mQuietFor{};            // starts of the predecessor may still arrive, from the append on
};

struct Handover  // by the owner itself, which has stopped acting on the resource
{
  ResourceKey mResource{};
  ProcessName mFrom{};
  std::uint64_t mFromIncarnation = 0;
  ProcessName mTo{};
  std::uint64_t mToIncarnation = 0;
  Duration mQuietFor{};
};

struct Release  // by the owner itself, when no other process can take it
{
  ResourceKey mResource{};
  ProcessName mProcess{};
  std::uint64_t mIncarnation = 0;
};

struct ProcessEnded  // its session has surely ended: all it owned under it is free
{
  ProcessName mProcess{};
  std::uint64_t mIncarnation = 0;  // and all before
};

using OwnershipEntry = std::variant<Claim, Handover, Release, ProcessEnded>;

[[nodiscard]] std::string Encode(std::span<const OwnershipEntry> aEntries);
// CorruptEntry: not readable by this version.
[[nodiscard]] Result<std::vector<OwnershipEntry>> DecodeOwnership(const std::string& aBytes);

}  // namespace monsoon
