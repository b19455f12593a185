#include "controllers/ownership_entries.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "core/serialize.h"

namespace monsoon {

namespace {

constexpr std::uint16_t kEntryVersion = 1;

}  // namespace

template<class A>
void serialize(A& aArchive, Claim& aE)
{
  aArchive(aE.mResource, aE.mProcess, aE.mIncarnation, aE.mReplaces, aE.mQuietFor);
}
template<class A>
void serialize(A& aArchive, Handover& aE)
{
  aArchive(aE.mResource, aE.mFrom, aE.mFromIncarnation, aE.mTo, aE.mToIncarnation, aE.mQuietFor);
}
template<class A>
void serialize(A& aArchive, Release& aE)
{
  aArchive(aE.mResource, aE.mProcess, aE.mIncarnation);
}
template<class A>
void serialize(A& aArchive, ProcessEnded& aE)
{
  aArchive(aE.mProcess, aE.mIncarnation);
}

ResourceKey MakeWorkerKey(std::string_view aWorker)
{
  return "worker/" + std::string(aWorker);
}

ResourceKey MakeShardKey(ShardIndex aShard)
{
  return "shard/" + std::to_string(aShard);
}

std::string Encode(std::span<const OwnershipEntry> aEntries)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(kEntryVersion, std::vector<OwnershipEntry>(aEntries.begin(), aEntries.end()));
  return std::move(out).str();
}

Result<std::vector<OwnershipEntry>> DecodeOwnership(const std::string& aBytes)
{
  try {
    std::istringstream in(aBytes);
    cereal::PortableBinaryInputArchive archive(in);
    std::uint16_t version = 0;
    std::vector<OwnershipEntry> entries;
    archive(version, entries);
    return entries;
  } catch (const std::exception& e) {
    return MakeFailure(FailureKind::CorruptEntry, e.what());
  }
}

}  // namespace monsoon
