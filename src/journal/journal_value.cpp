#include "journal/journal_value.h"

#include <boost/crc.hpp>

#include <charconv>
#include <cstdio>

#include "core/archive.h"

namespace monsoon {

template<class Archive>
void serialize(Archive& aArchive, WriteNonce& aNonce)
{
  aArchive(aNonce.mWriter, aNonce.mCount);
}

namespace {

constexpr std::size_t kSequenceDigits = 20;

struct Envelope  // outer encoding, the same for all versions
{
  std::uint16_t mMajor = kJournalMajor;
  std::uint16_t mMinor = kJournalMinor;
  std::uint32_t mCrc = 0;  // of mBody
  std::string mBody{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMajor, mMinor, mCrc, mBody);
  }
};

std::string EncodeEnvelope(std::string aBody)
{
  Envelope envelope;
  envelope.mCrc = GetChecksum(aBody);
  envelope.mBody = std::move(aBody);
  return EncodeBytes(envelope);
}

Failure MakeDecodeFailure(ValueFault aFault, std::string aDetail, ValueFault* aFaultOut)
{
  if (aFaultOut)
    *aFaultOut = aFault;
  return MakeFailure(FailureKind::CorruptEntry, std::move(aDetail));
}

// Checks the version before the checksum: another major version may compute its checksum
// differently.
Result<std::string> DecodeEnvelope(std::span<const char> aBytes, ValueFault* aFault)
{
  std::uint16_t major = 0;
  if (!DecodeSome(aBytes, major))
    return MakeDecodeFailure(ValueFault::Corrupt, "the version is missing", aFault);
  if (major != kJournalMajor)
    return MakeDecodeFailure(
      ValueFault::UnknownVersion, "unknown major version " + std::to_string(major), aFault);
  Envelope envelope;
  if (!DecodeAll(aBytes, envelope))
    return MakeDecodeFailure(ValueFault::Corrupt, "the envelope cannot be decoded", aFault);
  if (GetChecksum(envelope.mBody) != envelope.mCrc)
    return MakeDecodeFailure(ValueFault::Corrupt, "checksum mismatch", aFault);
  return std::move(envelope.mBody);
}

}  // namespace

std::string EncodeValue(const JournalValue& aValue)
{
  std::string body = EncodeBytes(aValue.mNonce, aValue.mEntries);
  body += aValue.mExtra;
  return EncodeEnvelope(std::move(body));
}

Result<JournalValue> DecodeValue(std::span<const char> aBytes, ValueFault* aFault)
{
  auto body = DecodeEnvelope(aBytes, aFault);
  if (!body)
    return body.error();
  JournalValue value;
  auto rest = DecodeSome(*body, value.mNonce, value.mEntries);
  if (!rest)
    return MakeDecodeFailure(ValueFault::Corrupt, "the body cannot be decoded", aFault);
  value.mExtra.assign(rest->begin(), rest->end());
  return value;
}

std::string EncodeSnapshot(const SnapshotHead& aHead)
{
  std::string body =
    EncodeBytes(aHead.mNonce, aHead.mAt, aHead.mParts, aHead.mCrc, aHead.mLength, aHead.mBytes);
  body += aHead.mExtra;
  return EncodeEnvelope(std::move(body));
}

Result<SnapshotHead> DecodeSnapshot(std::span<const char> aBytes)
{
  auto body = DecodeEnvelope(aBytes, nullptr);
  if (!body)
    return body.error();
  SnapshotHead head;
  auto rest =
    DecodeSome(*body, head.mNonce, head.mAt, head.mParts, head.mCrc, head.mLength, head.mBytes);
  if (!rest)
    return MakeFailure(FailureKind::CorruptEntry, "the snapshot's head record cannot be decoded");
  head.mExtra.assign(rest->begin(), rest->end());
  return head;
}

std::uint32_t GetChecksum(std::span<const char> aBytes)
{
  boost::crc_32_type crc;
  crc.process_bytes(aBytes.data(), aBytes.size());
  return crc.checksum();
}

std::string MakeValueKey(std::string_view aJournal, Sequence aSequence)
{
  const std::string digits = std::to_string(aSequence);
  std::string key = "journal/" + std::string(aJournal) + "/";
  key.append(kSequenceDigits - digits.size(), '0');
  return key + digits;
}

// The padded digits of sequences below 10^19 start with a zero. Keys of snapshots don't, so reads
// of the tail never list them.
std::string MakeValuePrefix(std::string_view aJournal)
{
  return "journal/" + std::string(aJournal) + "/0";
}

std::string MakeSnapshotKey(std::string_view aJournal)
{
  return "journal/" + std::string(aJournal) + "/snapshot";
}

std::string MakePartKey(std::string_view aJournal, const SnapshotHead& aHead, std::uint32_t aPart)
{
  char name[80];
  std::snprintf(name,
                sizeof(name),
                "/%020llu-%016llx-%llu/%05u",
                static_cast<unsigned long long>(aHead.mAt),
                static_cast<unsigned long long>(aHead.mNonce.mWriter),
                static_cast<unsigned long long>(aHead.mNonce.mCount),
                aPart);
  return MakeSnapshotKey(aJournal) + name;
}

Sequence ParseValueKey(std::string_view aKey)
{
  const auto slash = aKey.rfind('/');
  if (slash == std::string_view::npos || aKey.size() - slash - 1 != kSequenceDigits)
    return 0;
  Sequence sequence = 0;
  const char* end = aKey.data() + aKey.size();
  const auto [stop, ec] = std::from_chars(aKey.data() + slash + 1, end, sequence);
  return ec == std::errc() && stop == end ? sequence : 0;
}

}  // namespace monsoon
