// Owners of all resources, for reads from any thread. The index is split by key into shards with a
// lock each.
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

  // Writes come from one thread. aSession: incarnation of this process's session; 0: none.
  void Apply(const OwnershipChange& aChange, std::uint64_t aSession);
  void Process(const ResourceKey& aResource, OwnerEvent aEvent);
  // Marks what was owned under other sessions than aSession as lost, and returns it.
  std::vector<ResourceKey> ChangeSession(std::uint64_t aSession);

  // Any thread
  [[nodiscard]] std::optional<OwnerOf> Find(std::string_view aResource) const;
  // Returns the epoch if this process owns aResource under aSession and is not handing it over.
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
