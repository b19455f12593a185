// The idempotency keys of one job shard, built from the entries of its journal. Pure state: entries
// carry the shard's time, and the caller passes the current time.
//
// The journal is shared with the shard's jobs, so each entry begins with a tag byte.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/errors.h"
#include "core/model.h"
#include "peer/messages.h"

namespace monsoon {

inline constexpr char kKeyEntryTag = 'k';  // first byte of every key entry

struct KeySettings
{
  Duration mRetention = seconds(600);  // shortest time from a key's last entry to its removal
  Duration mLease = seconds(10);       // added to a call's timeout; after both it counts as unknown
  std::size_t mMaxKeys = 200000;       // of one shard; further new keys are refused
};

// Time of a shard. It advances only while the shard has an owner, and never faster than real time.
// A new owner continues from the last entry's time, so that it needn't trust the clock of another
// VM.
using ShardTime = Duration;

struct KeyEntry
{
  ShardTime mAt{};
  std::string mKey{};
  RequestId mRequest{};                  // the call that holds the key
  ProcessName mEntry{};                  // the entry process of that call
  KeyState mState = KeyState::InFlight;  // InFlight until the outcome is reported
  Duration mTimeout{};
  std::uint32_t mStatus = 0;
  std::string mBody{};
};

class KeyTable
{
public:
  explicit KeyTable(KeySettings aSettings = {});

  // Returns the state of the key for this call. Fresh: the call must record it before it runs.
  [[nodiscard]] KeyReply LookUp(const KeyRecord& aRecord, ShardTime aNow) const;
  // Return the entry to journal for a record or an outcome. Conflict: the key is held by another
  // call. NotFound: the key is not recorded. TooLarge: the table is full.
  [[nodiscard]] Result<KeyEntry> MakeEntry(const KeyRecord& aRecord, ShardTime aNow) const;
  [[nodiscard]] Result<KeyEntry> MakeEntry(const KeyOutcome& aOutcome, ShardTime aNow) const;
  void Apply(const KeyEntry& aEntry);  // aEntry is committed; a replay gives the same state
  void Forget(ShardTime aNow);         // drops keys older than the retention

  [[nodiscard]] ShardTime GetLastTime() const noexcept;  // of the latest entry applied
  [[nodiscard]] std::size_t Count() const noexcept;
  [[nodiscard]] std::string EncodeSnapshot() const;
  Result<void> RestoreSnapshot(std::string_view aBytes);  // CorruptEntry; empty bytes: no keys

private:
  [[nodiscard]] KeyState GetState(const KeyEntry& aEntry, ShardTime aNow) const;

  KeySettings mSettings;
  std::map<std::string, KeyEntry> mKeys{};
  std::multimap<ShardTime, std::string> mByTime{};
  ShardTime mLast{};
};

// An encoded entry is the tag byte and the entry's cereal encoding.
[[nodiscard]] std::string Encode(const KeyEntry& aEntry);
[[nodiscard]] bool IsKeyEntry(std::string_view aBytes) noexcept;
[[nodiscard]] Result<KeyEntry> DecodeKeyEntry(std::string_view aBytes);  // CorruptEntry

}  // namespace monsoon
