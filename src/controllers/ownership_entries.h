// Entries of a zone's ownership journal. One journal value carries one decision: a list of entries
// that are committed together.
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

struct Claim  // assigns a free resource to the appending process or to another one
{
  ResourceKey mResource{};
  ProcessName mProcess{};
  std::uint64_t mIncarnation = 0;  // of the session of mProcess
  Epoch mReplaces = 0;             // epoch of the previous ownership; 0: never owned
  Duration mQuietFor{};  // starts by the previous owner may arrive so long after the append
};

struct Handover  // written by the owner, which has stopped acting on the resource
{
  ResourceKey mResource{};
  ProcessName mFrom{};
  std::uint64_t mFromIncarnation = 0;
  ProcessName mTo{};
  std::uint64_t mToIncarnation = 0;
  Duration mQuietFor{};
};

struct Release  // written by the owner, when no other process can take it
{
  ResourceKey mResource{};
  ProcessName mProcess{};
  std::uint64_t mIncarnation = 0;
};

struct ProcessEnded  // its session has certainly ended: what it owned is free
{
  ProcessName mProcess{};
  std::uint64_t mIncarnation = 0;  // this one and all earlier ones
};

using OwnershipEntry = std::variant<Claim, Handover, Release, ProcessEnded>;

[[nodiscard]] std::string Encode(std::span<const OwnershipEntry> aEntries);
// Fails with CorruptEntry when aBytes can't be decoded.
[[nodiscard]] Result<std::vector<OwnershipEntry>> DecodeOwnership(const std::string& aBytes);

}  // namespace monsoon
