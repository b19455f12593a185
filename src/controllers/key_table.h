// The idempotency keys of one job shard, as its journal tells them. Pure state: entries carry the
// shard's time, and whoever applies them passes the present.
//
// The journal is shared with the shard's jobs: each entry begins with a tag byte.
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
  Duration mRetention =
    seconds(600);                 // a key is remembered at least this long after its last entry
  Duration mLease = seconds(10);  // added to the caller's timeout before in flight is unknown
  std::size_t mMaxKeys = 200000;  // of one shard; beyond it new keys are refused
};

// Time of a shard: grows while it has an owner, and never runs ahead of real time. A new owner goes
// on from the last entry, so that no clock of another VM is trusted.
using ShardTime = Duration;

struct KeyEntry
{
  ShardTime mAt{};
  std::string mKey{};
  RequestId mRequest{};  // the call that holds the key
  ProcessName mEntry{};
  KeyState mState = KeyState::InFlight;  // InFlight: recorded; else its outcome
  Duration mTimeout{};
  std::uint32_t mStatus = 0;
  std::string mBody{};
};

class KeyTable
{
public:
  explicit KeyTable(KeySettings aSettings = {});

  // What the key's state is for this call, without changing anything. Fresh: record it first.
  [[nodiscard]] KeyReply Look(const KeyRecord& aRecord, ShardTime aNow) const;
  // The entries to journal. Conflict: the key is another call's. NotFound: it is not recorded.
  // TooLarge: the table is full.
  [[nodiscard]] Result<KeyEntry> MakeEntry(const KeyRecord& aRecord, ShardTime aNow) const;
  [[nodiscard]] Result<KeyEntry> MakeEntry(const KeyOutcome& aOutcome, ShardTime aNow) const;
  void Apply(const KeyEntry& aEntry);  // an entry that stands; replays give the same state
  void Forget(ShardTime aNow);         // drops what is older than the retention

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

// Tag byte and cereal form.
[[nodiscard]] std::string Encode(const KeyEntry& aEntry);
[[nodiscard]] bool IsKeyEntry(std::string_view aBytes) noexcept;
[[nodiscard]] Result<KeyEntry> DecodeKeyEntry(std::string_view aBytes);  // CorruptEntry

}  // namespace monsoon
