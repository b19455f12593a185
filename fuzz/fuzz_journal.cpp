// Journal values and snapshots: as they come, and as a body in an envelope whose checksum fits, so
// that the fuzzer gets behind the checksum.
#include <cstdlib>

#include "core/archive.h"
#include "journal/journal_value.h"

using namespace monsoon;

namespace {

void CheckValue(std::span<const char> aBytes)
{
  const auto value = DecodeValue(aBytes);
  if (!value)
    return;
  const auto again = DecodeValue(EncodeValue(*value));
  if (!again || again->mEntries != value->mEntries || again->mExtra != value->mExtra)
    std::abort();
}

void CheckSnapshot(std::span<const char> aBytes)
{
  const auto head = DecodeSnapshot(aBytes);
  if (!head)
    return;
  const auto again = DecodeSnapshot(EncodeSnapshot(*head));
  if (!again || again->mBytes != head->mBytes || again->mAt != head->mAt)
    std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  const std::string sealed = EncodeBytes(kJournalMajor, kJournalMinor, GetChecksum(bytes), bytes);
  CheckValue(bytes);
  CheckValue(sealed);
  CheckSnapshot(bytes);
  CheckSnapshot(sealed);
  [[maybe_unused]] const Sequence sequence = ParseValueKey(bytes);
  return 0;
}
