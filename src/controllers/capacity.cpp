#include "controllers/capacity.h"

#include <boost/functional/hash.hpp>

#include <iterator>

namespace monsoon {

CapacityShards::CapacityShards()
{
  // Shard i hands out the ids i + 1, i + 1 + kCapacityShards, ..., so no two shards share an id.
  for (std::size_t i = 0; i < mShards.size(); ++i)
    mShards[i].mBook = CapacityBook(i + 1, kCapacityShards);
}

void CapacityShards::SetSlotsHandler(std::function<void()> aHandler)
{
  mHandler = std::move(aHandler);
}

std::size_t CapacityShards::FindShard(const WorkerName& aWorker)
{
  return boost::hash<WorkerName>()(aWorker) % kCapacityShards;
}

std::vector<WorkerView> CapacityShards::ListViews(const JobId& aJob)
{
  std::vector<WorkerView> views;
  ForEach([&](CapacityBook& aBook) {
    std::vector<WorkerView> some = aBook.ListViews(aJob);
    views.insert(
      views.end(), std::make_move_iterator(some.begin()), std::make_move_iterator(some.end()));
  });
  return views;
}

std::uint32_t CapacityShards::CountFreeSlots()
{
  std::uint32_t n = 0;
  ForEach([&](CapacityBook& aBook) { n += aBook.CountFreeSlots(); });
  return n;
}

std::vector<Grant> CapacityShards::Expire(TimePoint aNow)
{
  std::vector<Grant> expired;
  ForEach([&](CapacityBook& aBook) {
    std::vector<Grant> some = aBook.Expire(aNow);
    expired.insert(expired.end(), some.begin(), some.end());
  });
  return expired;
}

void CapacityShards::CheckInvariants()
{
  ForEach([](CapacityBook& aBook) { aBook.CheckInvariants(); });
}

}  // namespace monsoon
