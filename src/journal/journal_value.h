// The bytes of a journal's values and snapshots in the store: cereal's portable binary form, with a
// format version and a checksum. A reader takes any minor version of its own major version: what a
// newer writer added after the known fields is kept apart. Another major version is reported.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon {

inline constexpr std::uint16_t kJournalMajor = 1;  // changes when old readers can't go on
inline constexpr std::uint16_t kJournalMinor = 1;  // changes when fields are added at the end
inline constexpr std::size_t kMaxStoreValueBytes = 1000 * 1000;  // the platform's limit
inline constexpr std::size_t kValueHeadroomBytes = 4 * 1024;     // for everything but the entries
inline constexpr std::size_t kEntryOverheadBytes = 8;            // length prefix of one entry

// Identifies one attempt to write, so that a writer can tell its own value from another's.
struct WriteNonce
{
  std::uint64_t mWriter = 0;  // random, one per journal object
  std::uint64_t mCount = 0;   // grows with each value of this writer
  bool operator==(const WriteNonce&) const = default;
};

// Values
struct JournalValue
{
  WriteNonce mNonce{};
  std::vector<std::string> mEntries{};  // one batch, in order
  std::string mExtra{};                 // what a newer minor version added; not read
};

enum class ValueFault : std::uint8_t
{
  Corrupt,         // checksum or form is wrong
  UnknownVersion,  // another major version
  Missing,         // a gap in the sequence
};

struct UnreadableValue  // reported, never skipped silently
{
  Sequence mSequence = 0;
  ValueFault mFault = ValueFault::Corrupt;
};

[[nodiscard]] std::string EncodeValue(const JournalValue& aValue);
// CorruptEntry with the fault as detail; aFault says which.
[[nodiscard]] Result<JournalValue> DecodeValue(std::span<const char> aBytes,
                                               ValueFault* aFault = nullptr);

// Snapshots
struct SnapshotHead
{
  WriteNonce mNonce{};
  Sequence mAt = 0;           // covers all values up to here
  std::uint32_t mParts = 0;   // 0: the bytes stand in mBytes; else in that many part keys
  std::uint32_t mCrc = 0;     // of the whole snapshot's bytes
  std::uint64_t mLength = 0;  // of the whole snapshot, bytes
  std::string mBytes{};
  std::string mExtra{};  // what a newer minor version added; not read
};

[[nodiscard]] std::string EncodeSnapshot(const SnapshotHead& aHead);
[[nodiscard]] Result<SnapshotHead> DecodeSnapshot(std::span<const char> aBytes);  // CorruptEntry
[[nodiscard]] std::uint32_t GetChecksum(std::span<const char> aBytes);            // CRC-32

// Keys: list order is sequence order
[[nodiscard]] std::string MakeValueKey(std::string_view aJournal, Sequence aSequence);
[[nodiscard]] std::string MakeValuePrefix(std::string_view aJournal);  // values, no snapshots
[[nodiscard]] std::string MakeSnapshotKey(std::string_view aJournal);
[[nodiscard]] std::string MakePartKey(std::string_view aJournal,
                                      const SnapshotHead& aHead,
                                      std::uint32_t aPart);
[[nodiscard]] Sequence ParseValueKey(std::string_view aKey);  // 0: not a value's key

}  // namespace monsoon
