// Gang scheduling: the tasks of a gang get all their holds or none. Also chooses the victims of
// preemption.
#pragma once

#include <random>
#include <span>
#include <vector>

#include "peer/messages.h"

namespace monsoon {

// Lifetime of the holds of a gang, so that a gang that cannot get all of them frees its capacity.
inline constexpr Duration kGangHoldExpiry = seconds(2);

struct GangStep  // one hold of a gang, on one worker
{
  WorkerName mWorker{};
  std::vector<std::uint32_t> mTasks{};  // indices of the tasks placed there
};

// Divides the tasks over the chosen offers, ordered by worker name: all gangs request their holds
// in this order. Returns no steps when the offers have too little capacity; no hold may be
// requested then.
[[nodiscard]] std::vector<GangStep> PlanGang(std::span<const Offer> aChosen,
                                             std::span<const std::uint32_t> aTasks);
// Returns the delay before the next attempt: a random time whose upper bound doubles with each
// attempt, so that two gangs that compete for the same workers do not collide again and again.
[[nodiscard]] Duration ComputeGangDelay(std::uint32_t aAttempts, std::minstd_rand& aRandom);

struct PreemptionCandidate  // a running task that may be checkpointed and stopped
{
  TaskKey mTask{};
  std::uint32_t mAttempt = 0;
  WorkerName mWorker{};
  Resources mNeed{};
  Priority mPriority = Priority::Low;
  bool mBorrows = false;  // its team is above its guarantee
  Duration mRan{};        // work that a checkpoint puts at risk
};

// Returns the tasks of one worker whose preemption frees aNeed: lowest priority first, then those
// of teams above their guarantee, then least work at risk. A task may be preempted if its priority
// is below aPriority or, with aReclaim, if its team is above its guarantee; aReclaim is set when
// the waiting team is within its own. Empty when no worker has enough such tasks.
[[nodiscard]] std::vector<PreemptionCandidate> ChooseVictims(
  std::span<const PreemptionCandidate> aRunning,
  const Resources& aNeed,
  Priority aPriority,
  bool aReclaim);

}  // namespace monsoon
