// The order in which stages that wait for capacity get it. Performs no I/O and reads no clock.
//
// Load patterns that it answers:
//   Overload   More work is due than there is capacity for. By due time alone, capacity goes to
//              what is already lost, and what is still in time becomes late behind it.
//   Hot team   One team sends many times its usual. By due time alone, its surplus delays the
//              jobs of all teams.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

#include "core/time.h"

namespace monsoon {

struct CapacityShare  // of a pool's total capacity, by resource: 0 to 1
{
  double mCores = 0;
  double mMemory = 0;
  double mAccelerators = 0;

  [[nodiscard]] double GetDominant() const { return std::max({ mCores, mMemory, mAccelerators }); }
  CapacityShare& operator+=(const CapacityShare& aOther);
};

[[nodiscard]] CapacityShare operator*(const CapacityShare& aShare, double aFactor);

// What a job's callers can still expect
enum class Prospect : std::uint8_t
{
  InTime,   // it can end by its due time
  Late,     // it can't, but it can end within three times its target
  Hopeless  // neither
};

// aTarget: from acceptance until aDueAt. aRemaining: estimated duration of the longest chain of
// stages that have not started.
[[nodiscard]] Prospect JudgeProspect(TimePoint aDueAt,
                                     Duration aTarget,
                                     Duration aRemaining,
                                     TimePoint aNow);

// Returns until when the end of a job is of use to its callers.
[[nodiscard]] TimePoint GetUseUntil(TimePoint aDueAt, Duration aTarget);

inline constexpr std::uint32_t kNoTeam = std::numeric_limits<std::uint32_t>::max();

struct StageDemand  // a stage with waiting tasks
{
  std::uint32_t mPool = 0;      // of workers
  bool mIsRestart = false;      // of lasting tasks that ran before
  bool mHasTurn = false;        // see ChooseTurn
  bool mIsLimited = false;      // waits for its team's limit: takes no capacity now
  std::uint32_t mPriority = 0;  // of its queue; 0 is the most urgent
  std::uint32_t mTeam = kNoTeam;
  Prospect mProspect = Prospect::InTime;
  TimePoint mDueAt{};
  Duration mWaited{};      // since its job was accepted
  Duration mChain{};       // see JudgeProspect, aRemaining
  TimePoint mUseUntil{};   // see GetUseUntil
  double mRemaining = 0;   // capacity times seconds that its job still takes: dominant share
  CapacityShare mRuns{};   // what its job's running tasks have
  CapacityShare mNeeds{};  // what its waiting tasks need
};

struct TeamUse  // of a team that has waiting or running tasks in a pool
{
  std::uint32_t mPool = 0;  // its share is its part of the weights of all teams of the pool
  double mWeight = 1;
  CapacityShare mRuns{};  // what its running tasks have
};

// Returns the indexes of aStages, the one that gets capacity first in front. aTeams: by mTeam.
//
// Restarts come first; hopeless jobs come last, unless they have a turn. Between them, the queue's
// priority decides, then how far the stage's team is above its share, then turns, then the
// prospect. Jobs in time are ordered by due time. If their pool can't end all of them in time, the
// largest ones count as late, as few as possible. Among the others, the wait counts against the
// capacity that the job still takes, so that short ones end soon and long ones are not passed over
// for ever.
[[nodiscard]] std::vector<std::size_t> OrderStages(std::span<const StageDemand> aStages,
                                                   std::span<const TeamUse> aTeams,
                                                   TimePoint aNow);

// Returns for each team whether it has more running than its share.
[[nodiscard]] std::vector<bool> FindTeamsAboveShare(std::span<const TeamUse> aTeams);

// Returns the index of the stage whose job gets the next turn: of jobs with prospect aFirst, if
// there are any, otherwise of those that are late or hopeless, the one that is of use for the
// shortest time; the number of stages if there is none. Turns leave a part of the capacity to jobs
// that yield, or they would wait until they are lost, and hopeless ones for ever under a lasting
// overload.
[[nodiscard]] std::size_t ChooseTurn(std::span<const StageDemand> aStages, Prospect aFirst);

// Returns the time from a turn to the next one.
[[nodiscard]] Duration GetTurnInterval(const StageDemand& aStage);

}  // namespace monsoon
