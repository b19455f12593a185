// Who owns what, for reads from any thread: shards by key, each under its own lock.
#pragma once

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "controllers/owner_machine.h"
#include "controllers/ownership_table.h"
#include "controllers/views.h"

namespace monsoon {

class OwnershipIndex
{
public:
  explicit OwnershipIndex(ProcessName aSelf);

  // Writing: one thread. aSession: incarnation of the own session, 0 without.
  void Apply(const OwnershipChange& aChange, std::uint64_t aSession);
  void Process(const ResourceKey& aResource, OwnerEvent aEvent);
  // Another session, or none: what was owned under the former one is lost. Returns what was lost.
  std::vector<ResourceKey> ChangeSession(std::uint64_t aSession);

  // Any thread
  [[nodiscard]] std::optional<OwnerOf> Find(std::string_view aResource) const;
  // Epoch while this process owns it under that session and is not handing it over.
  [[nodiscard]] std::optional<Epoch> FindOwn(std::string_view aResource,
                                             std::uint64_t aSession) const;
  [[nodiscard]] std::vector<ResourceKey> ListOwn() const;
  [[nodiscard]] std::vector<ProcessName> ListOwners(std::string_view aPrefix) const;

private:
  struct Item
  {
    OwnerRecord mOwner{};
    OwnerMachine mMachine{};
  };
  struct Shard
  {
    mutable std::mutex mLock{};
    std::map<ResourceKey, Item, std::less<>> mItems{};
  };

  [[nodiscard]] const Shard& GetShard(std::string_view aResource) const noexcept;
  [[nodiscard]] Shard& GetShard(std::string_view aResource) noexcept;

  static constexpr std::size_t kShards = 16;
  ProcessName mSelf;
  std::array<Shard, kShards> mShards{};
};

}  // namespace monsoon
