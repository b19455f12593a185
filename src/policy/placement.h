// Task placement: best fit over VMs of different sizes. Functions without state.
//
// Index
//   At a worker's owner     RankWorkers
//   At a shard's owner      ChooseOffers
//   Baseline                PlaceFirstFit, a comparison for benchmarks only
#pragma once

#include <span>
#include <vector>

#include "peer/messages.h"
#include "policy/worker_view.h"

namespace monsoon {

// At a worker's owner
inline constexpr std::size_t kMaxOffers = 256;  // in one reply

// Returns offers of the best workers for up to aCount tasks, best first, and counts the workers
// that do not fit by reason.
[[nodiscard]] FitReply RankWorkers(std::span<const WorkerView> aWorkers,
                                   const TaskShape& aShape,
                                   std::uint32_t aCount);
// Returns the score of a worker that the task fits; lower is better. Scores of different owners are
// comparable.
[[nodiscard]] double ScoreFit(const WorkerView& aWorker, const TaskShape& aShape) noexcept;
// Returns how many tasks of this need fit into the free resources at once.
[[nodiscard]] std::uint32_t CountFits(const Resources& aNeed, const Resources& aFree) noexcept;

// At a shard's owner
// Chooses from the merged offers of all owners. mCount of a returned offer is the number of tasks
// that its worker gets; their sum is below aCount when the offers have too little capacity.
[[nodiscard]] std::vector<Offer> ChooseOffers(std::span<const Offer> aOffers,
                                              const TaskShape& aShape,
                                              std::uint32_t aCount);

// Baseline
// Returns the index of the first worker that the task fits; aWorkers.size() when there is none.
[[nodiscard]] std::size_t PlaceFirstFit(std::span<const WorkerView> aWorkers,
                                        const TaskShape& aShape);

}  // namespace monsoon
