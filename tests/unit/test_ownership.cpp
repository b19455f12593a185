// Tests that at most one process acts on a resource: sessions, takeovers and promises run in
// virtual time under seeded random faults.
#include <catch2/catch.hpp>

#include "control_sim.h"

using namespace monsoon;
using namespace monsoon::mocks;

namespace {

constexpr std::uint64_t kSeeds = 60;

void Suspect(Sim& aSim, const ProcessName& aFailedProcess, bool aSuspected)
{
  for (auto& process : aSim.mProcesses) {
    if (process->mName == aFailedProcess)
      continue;
    if (aSuspected)
      process->mSuspects.insert(aFailedProcess);
    else
      process->mSuspects.erase(aFailedProcess);
  }
}

bool RunUntilOwned(Sim& aSim)
{
  for (int i = 0; i < 12000 && aSim.FindOwner() == nullptr; ++i)
    aSim.Run(kSimStep);
  return aSim.FindOwner() != nullptr;
}

// Freezes and restarts processes at random, makes the store unavailable to some, and raises right
// and wrong suspicions.
void InjectRandomFaults(Sim& aSim, Duration aFor, bool aOutages)
{
  const TimePoint end = aSim.mTrueTime + aFor;
  while (aSim.mTrueTime < end) {
    SimProcess& process = aSim.Get(aSim.mRandom() % aSim.mProcesses.size());
    const double draw = aSim.Draw();
    if (draw < 0.35) {
      process.mFrozenUntil =
        aSim.mTrueTime + Duration(static_cast<Duration::rep>(aSim.Draw() * 9e9));
      Suspect(aSim, process.mName, true);
    } else if (draw < 0.45) {
      process.Restart();
    } else if (draw < 0.6) {
      Suspect(aSim, process.mName, aSim.Draw() < 0.5);
    } else if (aOutages && draw < 0.85) {
      process.mStoreUnavailable = aSim.Draw() < 0.6;
    } else if (aOutages) {
      const bool unavailable = aSim.Draw() < 0.6;
      for (auto& it : aSim.mProcesses)
        it->mStoreUnavailable = unavailable;
    }
    aSim.Run(Duration(static_cast<Duration::rep>(aSim.Draw() * 3e9)));
  }
}

}  // namespace

TEST_CASE("an owner frozen past its lease never acts after a takeover", "[ownership]")
{
  std::uint64_t takeovers = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimSettings settings;
    settings.mLossRate = 0.1;
    Sim sim(seed, settings);
    REQUIRE(RunUntilOwned(sim));
    SimProcess* owner = sim.FindOwner();
    sim.Run(seconds(1));
    owner->mFrozenUntil = sim.mTrueTime + seconds(6) + milliseconds(sim.mRandom() % 4000);
    Suspect(sim, owner->mName, true);
    sim.Run(owner->mFrozenUntil - sim.mTrueTime);
    const auto acts = owner->mActs;
    SimProcess* successor = sim.FindOwner();
    if (successor != nullptr && successor != owner)
      ++takeovers;
    sim.Run(milliseconds(30));
    if (successor != nullptr)
      CHECK(owner->mActs == acts);
    sim.Run(seconds(5));
    INFO("seed " << seed);
    CHECK(sim.mViolations == 0);
  }
  CHECK(takeovers > kSeeds / 2);
}

TEST_CASE("two processes race for a takeover and one wins", "[ownership]")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimSettings settings;
    settings.mLossRate = 0.2;
    settings.mLateRate = 0.1;
    Sim sim(seed, settings);
    REQUIRE(RunUntilOwned(sim));
    SimProcess* owner = sim.FindOwner();
    owner->mDead = true;
    Suspect(sim, owner->mName, true);
    INFO("seed " << seed);
    REQUIRE(RunUntilOwned(sim));
    sim.Run(seconds(5));
    CHECK(sim.mViolations == 0);
    int owners = 0;
    for (auto& process : sim.mProcesses)
      owners += !process->mDead && process->Owns() ? 1 : 0;
    CHECK(owners <= 1);
  }
}

TEST_CASE("a partition between peers moves no ownership while the store is available",
          "[ownership]")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Sim sim(seed, {});
    REQUIRE(RunUntilOwned(sim));
    SimProcess* owner = sim.FindOwner();
    for (auto& process : sim.mProcesses)
      Suspect(sim, process->mName, true);
    const Epoch epoch = sim.mHighestEpoch;
    sim.Run(seconds(60));
    CHECK(sim.FindOwner() == owner);
    CHECK(sim.mHighestEpoch == epoch);
  }
}

TEST_CASE("no process acts with an outdated epoch under any fault", "[ownership][promises]")
{
  for (const bool promises : { false, true })
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SimSettings settings;
      settings.mLossRate = 0.1;
      settings.mLateRate = 0.05;
      settings.mSession.mExtendByPromises = promises;
      Sim sim(seed, settings);
      InjectRandomFaults(sim, seconds(120), true);
      INFO("seed " << seed << " promises " << promises);
      CHECK(sim.mViolations == 0);
      CHECK(sim.mHighestEpoch > 0);
    }
}

TEST_CASE("in a store outage of 60 s a plain lease expires and promises extend it", "[promises]")
{
  const auto measure = [](bool aPromises, bool aOneSeesTheStore) {
    SimSettings settings;
    settings.mSession.mExtendByPromises = aPromises;
    Sim sim(7, settings);
    REQUIRE(RunUntilOwned(sim));
    sim.Run(seconds(5));  // so long after a start, processes do not begin takeovers
    SimProcess* owner = sim.FindOwner();
    const auto before = owner->mActs;
    for (auto& process : sim.mProcesses)
      process->mStoreUnavailable = process.get() == owner || !aOneSeesTheStore;
    sim.Run(seconds(60));
    const auto during = owner->mActs - before;
    for (auto& process : sim.mProcesses)
      process->mStoreUnavailable = false;
    REQUIRE(RunUntilOwned(sim));
    CHECK(sim.mViolations == 0);
    return static_cast<double>(during) * 0.01;  // seconds in which the owner could act
  };
  const double plain = measure(false, false);
  const double extended = measure(true, false);
  const double refused = measure(true, true);
  WARN("acting during a 60 s outage: plain lease " << plain << " s, with promises " << extended
                                                   << " s, one peer sees the store " << refused
                                                   << " s");
  CHECK(plain < 3);
  CHECK(extended > 59);
  CHECK(refused < 3);
}

TEST_CASE("an idle cell writes nothing to the store but lease renewals", "[ownership]")
{
  Sim sim(3, {});
  REQUIRE(RunUntilOwned(sim));
  sim.Run(seconds(5));
  // Counts only writes: the simulation reads the journal where real processes use watches and
  // gossip.
  std::uint64_t renewals = 0;
  std::map<std::string, std::uint64_t> before;
  for (const auto& [key, value] : sim.mStore.mValues)
    before[key] = value.mRevision;
  const std::uint64_t revision = sim.mStore.mRevision;
  sim.Run(seconds(100));
  renewals = sim.mStore.mRevision - revision;
  const double each = static_cast<double>(renewals) / 100 / 3;
  WARN("session writes per process and second when idle: " << each);
  CHECK(each > 0.9);
  CHECK(each < 1.1);
  for (const auto& [key, value] : sim.mStore.mValues)
    CHECK((key.starts_with("session/") || before.at(key) == value.mRevision));
}
