// Gangs: all holds or none.
#pragma once

#include <random>
#include <span>
#include <vector>

#include "peer/messages.h"

namespace monsoon {

inline constexpr Duration kGangHoldExpiry = seconds(2);  // a gang that can't finish frees its room

struct GangStep  // one hold of a gang
{
  WorkerName mWorker{};
  std::vector<std::uint32_t> mTasks{};  // indices
};

// Divides the tasks over the chosen offers, in the one global order of workers. Empty when the
// offers have too little room: then no hold may be asked for.
[[nodiscard]] std::vector<GangStep> PlanGang(std::span<const Offer> aChosen,
                                             std::span<const std::uint32_t> aTasks);
// Grows with each try, with full jitter: two gangs that meet once don't meet for ever.
[[nodiscard]] Duration ComputeGangDelay(std::uint32_t aAttempts, std::minstd_rand& aRandom);

struct PreemptionCandidate  // a running task that may be checkpointed
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
  Resources mNeed{};
  Priority mPriority = Priority::Low;
  bool mBorrows = false;  // its team is above its guarantee
  Duration mRan{};        // work that a checkpoint puts at risk
};

// Victims on one worker that make room for aNeed: lowest priority, then borrowed, then cheapest.
// Empty when none are below aPriority or borrowed (aReclaim: the waiting team is within its
// guarantee).
[[nodiscard]] std::vector<PreemptionCandidate> ChooseVictims(
  std::span<const PreemptionCandidate> aRunning,
  const Resources& aNeed,
  Priority aPriority,
  bool aReclaim);

}  // namespace monsoon
