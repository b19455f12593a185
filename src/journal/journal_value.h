// Encoding of a journal's values and snapshots in the store: cereal's portable binary format, with
// a format version and a checksum. A reader accepts every minor version of its own major version
// and keeps fields that a newer writer appended as undecoded bytes. It reports another major
// version.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon {

inline constexpr std::uint16_t kJournalMajor = 1;  // changes if old readers can't decode values
inline constexpr std::uint16_t kJournalMinor = 1;  // changes when fields are added at the end
inline constexpr std::size_t kMaxStoreValueBytes = 1000 * 1000;  // the platform's limit
inline constexpr std::size_t kValueHeadroomBytes = 4 * 1024;     // for all except the entries
inline constexpr std::size_t kEntryOverheadBytes = 8;            // length prefix of one entry

// Identifies one write, so that a writer can tell its own value from another writer's.
struct WriteNonce
{
  std::uint64_t mWriter = 0;  // random, one per journal object
  std::uint64_t mCount = 0;   // grows with each write of this writer
  bool operator==(const WriteNonce&) const = default;
};

// Values
struct JournalValue
{
  WriteNonce mNonce{};
  std::vector<std::string> mEntries{};  // one group commit, in order
  std::string mExtra{};                 // undecoded fields of a newer minor version
};

enum class ValueFault : std::uint8_t
{
  Corrupt,         // the checksum differs, or the bytes can't be decoded
  UnknownVersion,  // written with another major version
  Missing,         // the sequence has no value, but a later one has
};

struct UnreadableValue  // a value that could not be read; always reported to the journal's user
{
  Sequence mSequence = 0;
  ValueFault mFault = ValueFault::Corrupt;
};

[[nodiscard]] std::string EncodeValue(const JournalValue& aValue);
// Decodes a value. Fails with CorruptEntry and sets aFault.
[[nodiscard]] Result<JournalValue> DecodeValue(std::span<const char> aBytes,
                                               ValueFault* aFault = nullptr);

// Snapshots
struct SnapshotHead  // record under the snapshot's key
{
  WriteNonce mNonce{};
  Sequence mAt = 0;           // last sequence that the snapshot covers
  std::uint32_t mParts = 0;   // number of part keys that hold the bytes; 0: mBytes holds them
  std::uint32_t mCrc = 0;     // CRC-32 of the whole snapshot
  std::uint64_t mLength = 0;  // size of the whole snapshot in bytes
  std::string mBytes{};
  std::string mExtra{};  // undecoded fields of a newer minor version
};

[[nodiscard]] std::string EncodeSnapshot(const SnapshotHead& aHead);
[[nodiscard]] Result<SnapshotHead> DecodeSnapshot(std::span<const char> aBytes);  // CorruptEntry
[[nodiscard]] std::uint32_t GetChecksum(std::span<const char> aBytes);            // CRC-32

// Keys. The store lists values in the order of their sequences.
[[nodiscard]] std::string MakeValueKey(std::string_view aJournal, Sequence aSequence);
[[nodiscard]] std::string MakeValuePrefix(std::string_view aJournal);  // excludes snapshots
[[nodiscard]] std::string MakeSnapshotKey(std::string_view aJournal);
[[nodiscard]] std::string MakePartKey(std::string_view aJournal,
                                      const SnapshotHead& aHead,
                                      std::uint32_t aPart);
[[nodiscard]] Sequence ParseValueKey(std::string_view aKey);  // 0: the key is no value's key

}  // namespace monsoon
