// Where tasks go: best fit over unlike VMs. Pure functions over spans.
//
// Index
//   At a worker's owner     RankWorkers
//   At a shard's owner      ChooseOffers
//   Baseline                PlaceFirstFit, for comparison in benchmarks only
#pragma once

#include <span>
#include <vector>

#include "peer/messages.h"
#include "policy/worker_view.h"

namespace monsoon {

// At a worker's owner
inline constexpr std::size_t kMaxOffers = 256;  // offers in one reply

// The best workers for up to aCount tasks, best first, and why the others are not among them.
[[nodiscard]] FitReply RankWorkers(std::span<const WorkerView> aWorkers,
                                   const TaskShape& aShape,
                                   std::uint32_t aCount);
// Lower fits better; comparable between owners. The task must fit.
[[nodiscard]] double ScoreFit(const WorkerView& aWorker, const TaskShape& aShape) noexcept;
// How many such tasks fit at once.
[[nodiscard]] std::uint32_t CountFits(const Resources& aNeed, const Resources& aFree) noexcept;

// At a shard's owner
// Picks from the owners' merged offers; the counts are how many tasks each worker gets. Fewer than
// aCount in sum when there is no more room.
[[nodiscard]] std::vector<Offer> ChooseOffers(std::span<const Offer> aOffers,
                                              const TaskShape& aShape,
                                              std::uint32_t aCount);

// Baseline
// Index of the first worker with room; aWorkers.size() when there is none.
[[nodiscard]] std::size_t PlaceFirstFit(std::span<const WorkerView> aWorkers,
                                        const TaskShape& aShape);

}  // namespace monsoon
