#include "controllers/journal_follower.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "core/serialize.h"

namespace monsoon {

std::string EncodeSliceEntry(const JournalEntry& aEntry)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(aEntry.mSequence, aEntry.mBytes);
  return std::move(out).str();
}

Result<JournalEntry> DecodeSliceEntry(const std::string& aBytes)
{
  try {
    std::istringstream in(aBytes);
    cereal::PortableBinaryInputArchive archive(in);
    JournalEntry entry;
    archive(entry.mSequence, entry.mBytes);
    return entry;
  } catch (const std::exception& e) {
    return MakeFailure(FailureKind::CorruptEntry, e.what());
  }
}

}  // namespace monsoon
