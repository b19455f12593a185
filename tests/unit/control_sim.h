// Processes with sessions, promises, takeovers and an ownership journal over a store in memory, in
// virtual time: frozen processes, late effects, lost answers, clocks of unlike speed, and a store
// that is out for some. One resource; every act on it is judged.
#pragma once

#include <map>
#include <set>

#include "control_mocks.h"
#include "controllers/ownership_plan.h"
#include "controllers/takeover.h"

namespace monsoon::mocks {

struct SimSettings
{
  std::size_t mProcesses = 3;
  double mLossRate = 0;      // share of answers lost
  double mLateRate = 0;      // share of calls whose effect is late
  double mClockSkew = 0.02;  // clocks run this much faster or slower
  SessionSettings mSession{};
  PlanSettings mPlan{};
};

class Sim;

struct SimProcess
{
  SimProcess(Sim& aSim, std::size_t aIndex);

  [[nodiscard]] TimePoint Now() const;
  [[nodiscard]] bool IsFrozen() const;
  [[nodiscard]] bool Owns() const;  // as far as it knows
  void Restart();
  void Step();

  Sim& mSim;
  ProcessName mName;
  double mRate = 1;
  TimePoint mFrozenUntil{};        // true time
  bool mStoreUnavailable = false;  // for this process
  bool mDead = false;
  std::uint64_t mGeneration = 0;
  std::unique_ptr<SessionState> mSession{};
  std::unique_ptr<PromiseIssuer> mIssuer{};
  std::unique_ptr<PromiseCollector> mCollector{};
  std::map<ProcessName, std::unique_ptr<Takeover>> mTakeovers{};
  std::set<ProcessName> mSuspects{};  // by the test, rightly or wrongly
  OwnershipTable mTable{};
  std::map<ResourceKey, TimePoint> mFreeSince{};
  std::set<ProcessName> mAnnouncedTo{};
  bool mSessionBusy = false;
  bool mJournalBusy = false;
  std::set<ProcessName> mTakeoverBusy{};
  TimePoint mPromisesRequestedAt{};
  std::uint64_t mActs = 0;

private:
  void DriveSession();
  void DrivePromises();
  void DriveTakeover(const ProcessName& aFailedProcess);
  void DriveJournal();
  void Announce(std::uint64_t aIncarnation);
  [[nodiscard]] std::vector<OwnershipEntry> Plan();
};

class Sim
{
public:
  Sim(std::uint64_t aSeed, SimSettings aSettings)
    : mSettings(aSettings)
    , mRandom(aSeed)
  {
    for (std::size_t i = 0; i < mSettings.mProcesses; ++i)
      mProcesses.push_back(std::make_unique<SimProcess>(*this, i));
  }

  void Run(Duration aFor);
  void At(Duration aAfter, std::function<void()> aEvent)
  {
    mEvents.emplace(mTrueTime + aAfter, std::move(aEvent));
  }
  // A call to the store: its effect and its answer come later, or not at all.
  template<class T>
  void Call(SimProcess& aFrom,
            bool aWrite,
            std::function<Result<T>()> aEffect,
            std::function<void(const Result<T>&)> aAnswer);
  void Deliver(SimProcess& aTo, std::uint64_t aGeneration, std::function<void()> aEvent);
  void Act(const SimProcess& aProcess, Epoch aEpoch);
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
  SimProcess& Get(std::size_t aIndex) { return *mProcesses.at(aIndex); }
  SimProcess* FindOwner();

  SimSettings mSettings;
  std::mt19937_64 mRandom;
  MemoryStore mStore{};
  TimePoint mTrueTime{ seconds(100) };
  std::multimap<TimePoint, std::function<void()>> mEvents{};
  std::vector<std::unique_ptr<SimProcess>> mProcesses{};
  Epoch mHighestEpoch = 0;        // that acted
  std::uint64_t mViolations = 0;  // acts below it
};

inline const ResourceKey kSimResource = "worker/w1";
inline constexpr Duration kSimStep = milliseconds(10);

template<class T>
void Sim::Call(SimProcess& aFrom,
               bool aWrite,
               std::function<Result<T>()> aEffect,
               std::function<void(const Result<T>&)> aAnswer)
{
  const auto generation = aFrom.mGeneration;
  SimProcess* from = &aFrom;
  const Failure lost = MakeFailure(aWrite ? FailureKind::WriteUnknown : FailureKind::Timeout);
  const auto answer = [this, from, generation, aAnswer](const Result<T>& aResult) {
    Deliver(*from, generation, [aAnswer, aResult] { aAnswer(aResult); });
  };
  Duration there = milliseconds(1) + Duration(static_cast<Duration::rep>(Draw() * 1e7));
  if (Draw() < mSettings.mLateRate)
    there += Duration(static_cast<Duration::rep>(Draw() * 6e9));
  const Duration back = milliseconds(1) + Duration(static_cast<Duration::rep>(Draw() * 1e7));
  if (aFrom.mStoreUnavailable || Draw() < mSettings.mLossRate / 2) {
    At(mSettings.mSession.mCallTimeout, [answer, lost] { answer(lost); });
    return;
  }
  const bool answered =
    Draw() >= mSettings.mLossRate && there + back < mSettings.mSession.mCallTimeout;
  if (!answered)
    At(mSettings.mSession.mCallTimeout, [answer, lost] { answer(lost); });
  At(there, [this, answered, back, aEffect, answer] {
    const Result<T> result = aEffect();
    if (answered)
      At(back, [answer, result] { answer(result); });
  });
}

}  // namespace monsoon::mocks
