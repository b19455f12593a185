#include "controllers/job_entries.h"

#include <boost/crc.hpp>
#include <cereal/archives/portable_binary.hpp>

#include <sstream>

#include "core/serialize.h"

namespace monsoon {

template<class Archive>
void serialize(Archive& aArchive, JobSubmitted& aEntry)
{
  aArchive(aEntry.mSpec);
}

template<class Archive>
void serialize(Archive& aArchive, JobCancelled& aEntry)
{
  aArchive(aEntry.mJob);
}

template<class Archive>
void serialize(Archive& aArchive, TaskAssigned& aEntry)
{
  aArchive(aEntry.mTask, aEntry.mAttempt, aEntry.mWorker, aEntry.mEpoch);
  aArchive(aEntry.mNeed, aEntry.mReplaces);
}

template<class Archive>
void serialize(Archive& aArchive, TaskEnded& aEntry)
{
  aArchive(aEntry.mTask, aEntry.mAttempt, aEntry.mEnd, aEntry.mNext, aEntry.mUsed);
}

template<class Archive>
void serialize(Archive& aArchive, JobHeld& aEntry)
{
  aArchive(aEntry.mJob, aEntry.mHeld, aEntry.mReason);
}

template<class Archive>
void serialize(Archive& aArchive, ShardFenced& aEntry)
{
  aArchive(aEntry.mOwner);
}

namespace {

template<class T>
JobEntry Load(cereal::PortableBinaryInputArchive& aArchive)
{
  T entry;
  aArchive(entry);
  return entry;
}

// A tag is the position of the type in JobEntry, so new types must be appended to the variant.
JobEntry LoadTagged(cereal::PortableBinaryInputArchive& aArchive)
{
  std::uint8_t tag = 0;
  aArchive(tag);
  switch (tag) {
    case 0:
      return Load<JobSubmitted>(aArchive);
    case 1:
      return Load<JobCancelled>(aArchive);
    case 2:
      return Load<TaskAssigned>(aArchive);
    case 3:
      return Load<TaskEnded>(aArchive);
    case 4:
      return Load<JobHeld>(aArchive);
    case 5:
      return Load<ShardFenced>(aArchive);
    default:
      throw cereal::Exception("unknown tag of a job entry: " + std::to_string(tag));
  }
}

}  // namespace

std::string EncodeEntries(std::span<const JobEntry> aEntries)
{
  std::ostringstream buf;
  cereal::PortableBinaryOutputArchive archive(buf);
  archive(kJobEntryVersion, static_cast<std::uint32_t>(aEntries.size()));
  for (const JobEntry& it : aEntries) {
    archive(static_cast<std::uint8_t>(it.index()));
    std::visit([&archive](const auto& aEntry) { archive(aEntry); }, it);
  }
  return std::move(buf).str();
}

Result<std::vector<JobEntry>> DecodeEntries(std::string_view aBytes)
{
  std::istringstream buf{ std::string(aBytes) };
  std::vector<JobEntry> entries;
  try {
    cereal::PortableBinaryInputArchive archive(buf);
    std::uint8_t version = 0;
    std::uint32_t n = 0;
    archive(version, n);
    if (version != kJobEntryVersion)
      return MakeFailure(FailureKind::CorruptEntry, "unknown version of job entries");
    for (; n > 0; --n)
      entries.push_back(LoadTagged(archive));
  } catch (const std::exception& error) {
    return MakeFailure(FailureKind::CorruptEntry, error.what());
  }
  return entries;
}

ShardIndex ComputeShard(std::string_view aId, ShardIndex aShards) noexcept
{
  boost::crc_32_type crc;
  crc.process_bytes(aId.data(), aId.size());
  return aShards == 0 ? 0 : crc.checksum() % aShards;
}

}  // namespace monsoon
