#include "policy/stage_order.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <queue>
#include <tuple>

namespace monsoon {

namespace {

// A job still earns its callers something until this many times its target.
constexpr int kUsefulTargets = 3;
// A stage ends with its slowest task, and its tasks run longer on slow workers.
constexpr double kSlowestTask = 1.25;
// Part of a pool's capacity that is left to jobs with a turn.
constexpr double kTurnShare = 0.25;
constexpr Duration kMaxTurnInterval = seconds(5);
// Part of a pool's capacity that tasks can use, as they don't fill workers exactly.
constexpr double kUsableCapacity = 0.8;
// Ranks of teams above their share; each has half as much again as the one before.
constexpr double kRankRatio = 1.5;
constexpr double kMaxRank = 12;

// Returns 0 for a team within its share.
std::uint32_t RankUse(double aUse, double aShare)
{
  if (aUse <= aShare)
    return 0;
  if (aShare <= 0)
    return static_cast<std::uint32_t>(kMaxRank);
  const double rank = 1 + std::floor(std::log(aUse / aShare) / std::log(kRankRatio));
  return static_cast<std::uint32_t>(std::min(rank, kMaxRank));
}

// Returns how long the job has waited for each unit of what it still takes.
double GetResponseRatio(const StageDemand& aStage)
{
  constexpr double kLeast = 1e-9;
  return std::chrono::duration<double>(aStage.mWaited).count() /
         std::max(aStage.mRemaining, kLeast);
}

struct Key
{
  bool mIsLater = false;  // no restart
  bool mIsHopeless = false;
  std::uint32_t mPriority = 0;
  std::uint32_t mRank = 0;  // of its team's use
  bool mHasNoTurn = true;
  Prospect mProspect = Prospect::InTime;
  double mUrgency = 0;
  TimePoint mDueAt{};
  auto operator<=>(const Key&) const = default;
};

Key MakeKey(const StageDemand& aStage)
{
  Key key;
  key.mIsLater = !aStage.mIsRestart;
  key.mIsHopeless = aStage.mProspect == Prospect::Hopeless && !aStage.mHasTurn;
  key.mHasNoTurn = !aStage.mHasTurn;
  key.mPriority = aStage.mPriority;
  key.mProspect = aStage.mProspect;
  key.mUrgency = aStage.mProspect == Prospect::InTime ? 0 : -GetResponseRatio(aStage);
  key.mDueAt = aStage.mDueAt;
  return key;
}

// Returns each team's part of its pool.
std::vector<double> ComputeShares(std::span<const TeamUse> aTeams)
{
  std::vector<double> weights;  // by pool
  for (const TeamUse& it : aTeams) {
    if (it.mPool >= weights.size())
      weights.resize(it.mPool + 1);
    weights[it.mPool] += it.mWeight;
  }
  std::vector<double> shares;
  shares.reserve(aTeams.size());
  for (const TeamUse& it : aTeams)
    shares.push_back(weights[it.mPool] > 0 ? it.mWeight / weights[it.mPool] : 0);
  return shares;
}

// Sets the rank of each stage as if all stages of its team that come before it had been placed, so
// that a team's surplus falls behind although it has little running yet. What the stage's own job
// runs doesn't count: a job that is larger than its team's share has to end as well.
void RankTeams(std::span<const StageDemand> aStages,
               std::span<const TeamUse> aTeams,
               std::span<const std::size_t> aOrder,
               std::vector<Key>& aKeys)
{
  const std::vector<double> shares = ComputeShares(aTeams);
  std::vector<CapacityShare> uses;
  uses.reserve(aTeams.size());
  for (const TeamUse& it : aTeams)
    uses.push_back(it.mRuns);
  for (const std::size_t n : aOrder) {
    const StageDemand& stage = aStages[n];
    if (stage.mTeam >= aTeams.size())
      continue;
    CapacityShare before = uses[stage.mTeam];
    before += stage.mRuns * -1;
    aKeys[n].mRank = RankUse(before.GetDominant(), shares[stage.mTeam]);
    uses[stage.mTeam] += stage.mNeeds;
  }
}

struct Backlog  // of a pool
{
  double mSeconds = 0;  // of its whole capacity
  bool mIsOverloaded = false;
  std::pair<std::uint32_t, std::uint32_t> mClass{};             // priority, rank
  std::priority_queue<std::pair<double, std::size_t>> mKept{};  // of the class, by size
};

// Marks the jobs that make others late, as Moore and Hodgson do for a single machine: in due order,
// whenever a job would be late, the largest one so far is taken out. Stages of a higher priority,
// or of teams with a lower rank, only delay those behind them. Jobs that would be close without the
// others as well are taken out only if there is more than the pool can do.
void TakeOutSurplus(std::span<const StageDemand> aStages,
                    std::span<const std::size_t> aOrder,
                    TimePoint aNow,
                    std::vector<Key>& aKeys)
{
  const auto takeOut = [&](std::size_t aIndex) {
    aKeys[aIndex].mProspect = Prospect::Late;
    aKeys[aIndex].mUrgency = -GetResponseRatio(aStages[aIndex]);
  };
  std::map<std::uint32_t, Backlog> pools;
  std::vector<std::size_t> close;
  for (const std::size_t n : aOrder) {
    const StageDemand& stage = aStages[n];
    const Key& key = aKeys[n];
    if (key.mProspect != Prospect::InTime || stage.mIsLimited)
      continue;
    Backlog& backlog = pools[stage.mPool];
    if (const std::pair its(key.mPriority, key.mRank); backlog.mClass != its) {
      backlog.mClass = its;
      backlog.mKept = {};
    }
    const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(backlog.mSeconds / kUsableCapacity));
    const TimePoint end = aNow + std::chrono::duration_cast<Duration>(kSlowestTask * stage.mChain);
    backlog.mSeconds += stage.mRemaining;
    if (end > stage.mDueAt) {
      close.push_back(n);
      continue;
    }
    backlog.mKept.emplace(stage.mRemaining, n);
    if (end + wait <= stage.mDueAt)
      continue;
    const auto [size, largest] = backlog.mKept.top();
    backlog.mKept.pop();
    backlog.mSeconds -= size;
    backlog.mIsOverloaded = true;
    takeOut(largest);
  }
  for (const std::size_t n : close)
    if (pools[aStages[n].mPool].mIsOverloaded)
      takeOut(n);
}

}  // namespace

CapacityShare& CapacityShare::operator+=(const CapacityShare& aOther)
{
  mCores += aOther.mCores;
  mMemory += aOther.mMemory;
  mAccelerators += aOther.mAccelerators;
  return *this;
}

CapacityShare operator*(const CapacityShare& aShare, double aFactor)
{
  return { aShare.mCores * aFactor, aShare.mMemory * aFactor, aShare.mAccelerators * aFactor };
}

TimePoint GetUseUntil(TimePoint aDueAt, Duration aTarget)
{
  return aDueAt + (kUsefulTargets - 1) * aTarget;
}

Prospect JudgeProspect(TimePoint aDueAt, Duration aTarget, Duration aRemaining, TimePoint aNow)
{
  const TimePoint end = aNow + aRemaining;
  if (end <= aDueAt)
    return Prospect::InTime;
  return end <= GetUseUntil(aDueAt, aTarget) ? Prospect::Late : Prospect::Hopeless;
}

std::vector<std::size_t> OrderStages(std::span<const StageDemand> aStages,
                                     std::span<const TeamUse> aTeams,
                                     TimePoint aNow)
{
  std::vector<Key> keys;
  keys.reserve(aStages.size());
  for (const StageDemand& it : aStages)
    keys.push_back(MakeKey(it));
  std::vector<std::size_t> order(aStages.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  const auto sort = [&] {
    std::stable_sort(order.begin(), order.end(), [&keys](std::size_t aLeft, std::size_t aRight) {
      return keys[aLeft] < keys[aRight];
    });
  };
  sort();
  if (!aTeams.empty()) {
    RankTeams(aStages, aTeams, order, keys);
    sort();
  }
  TakeOutSurplus(aStages, order, aNow, keys);
  sort();
  return order;
}

std::vector<bool> FindTeamsAboveShare(std::span<const TeamUse> aTeams)
{
  const std::vector<double> shares = ComputeShares(aTeams);
  std::vector<bool> isAbove;
  isAbove.reserve(aTeams.size());
  for (std::size_t n = 0; n < aTeams.size(); ++n)
    isAbove.push_back(aTeams[n].mRuns.GetDominant() > shares[n]);
  return isAbove;
}

std::size_t ChooseTurn(std::span<const StageDemand> aStages, Prospect aFirst)
{
  const auto getKey = [aFirst](const StageDemand& aStage) {
    return std::pair(aStage.mProspect != aFirst, aStage.mUseUntil);
  };
  std::size_t chosen = aStages.size();
  for (std::size_t n = 0; n < aStages.size(); ++n)
    if (aStages[n].mProspect != Prospect::InTime && !aStages[n].mHasTurn &&
        !aStages[n].mIsLimited &&
        (chosen == aStages.size() || getKey(aStages[n]) < getKey(aStages[chosen])))
      chosen = n;
  return chosen;
}

Duration GetTurnInterval(const StageDemand& aStage)
{
  const std::chrono::duration<double> interval(aStage.mRemaining / kTurnShare);
  return std::min(kMaxTurnInterval, std::chrono::duration_cast<Duration>(interval));
}

}  // namespace monsoon
