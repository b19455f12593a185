// The capacity ledger of one process, split into shards. Each worker belongs to one shard, which is
// a CapacityBook with a lock of its own.
#pragma once

#include <array>
#include <functional>
#include <mutex>

#include "controllers/capacity_book.h"

namespace monsoon {

inline constexpr std::size_t kCapacityShards = 16;

class CapacityShards
{
public:
  CapacityShards();

  // Sets the function that is called, with no lock held, whenever slots may have become free. Must
  // be set before the first use.
  void SetSlotsHandler(std::function<void()> aHandler);

  // Runs aUse(CapacityBook&) under the lock of the worker's shard. aUse must not block.
  template<class Use>
  auto With(const WorkerName& aWorker, Use&& aUse)
  {
    Shard& shard = mShards[FindShard(aWorker)];
    return Run(shard, aUse);
  }

  // Runs aUse(CapacityBook&) for each shard in turn, one lock at a time.
  template<class Use>
  void ForEach(Use&& aUse)
  {
    for (Shard& shard : mShards)
      Run(shard, aUse);
  }

  [[nodiscard]] std::vector<WorkerView> ListViews(const JobId& aJob = {});
  [[nodiscard]] std::uint32_t CountFreeSlots();
  std::vector<Grant> Expire(TimePoint aNow);  // see CapacityBook::Expire
  void CheckInvariants();

private:
  struct Shard
  {
    std::mutex mLock{};
    CapacityBook mBook{};
  };

  static std::size_t FindShard(const WorkerName& aWorker);

  template<class Use>
  auto Run(Shard& aShard, Use& aUse)
  {
    struct Notifier  // its destructor runs after the lock was released, however aUse returns
    {
      CapacityShards& mShards;
      bool mChanged = false;
      ~Notifier()
      {
        if (mChanged && mShards.mHandler)
          mShards.mHandler();
      }
    };
    Notifier notifier{ *this };
    std::lock_guard lock(aShard.mLock);
    struct ChangeDetector
    {
      const CapacityBook& mBook;
      bool& mChanged;
      std::uint64_t mBefore;
      ~ChangeDetector() { mChanged = mBook.CountSlotChanges() != mBefore; }
    };
    const ChangeDetector detector{ aShard.mBook,
                                   notifier.mChanged,
                                   aShard.mBook.CountSlotChanges() };
    return aUse(aShard.mBook);
  }

  std::array<Shard, kCapacityShards> mShards{};
  std::function<void()> mHandler{};
};

}  // namespace monsoon
