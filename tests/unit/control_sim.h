// Simulates scheduler processes with sessions, promises, takeovers and an ownership journal over an
// in-memory store, in virtual time. Faults: frozen processes, delayed effects, lost answers, clocks
// of different speed, and a store that is unavailable to some processes. There is one resource, and
// every action on it is checked.
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
  double mLossRate = 0;      // share of store answers that are lost
  double mLateRate = 0;      // share of store calls whose effect is delayed
  double mClockSkew = 0.02;  // max relative error of a clock's speed
  SessionSettings mSession{};
  PlanSettings mPlan{};
};

class Sim;

struct SimProcess
{
  SimProcess(Sim& aSim, std::size_t aIndex);

  [[nodiscard]] TimePoint Now() const;
  [[nodiscard]] bool IsFrozen() const;
  [[nodiscard]] bool Owns() const;  // according to its own table
  void Restart();
  void Step();

  Sim& mSim;
  ProcessName mName;
  double mRate = 1;
  TimePoint mFrozenUntil{};        // in mTrueTime
  bool mStoreUnavailable = false;  // for this process
  bool mDead = false;
  std::uint64_t mGeneration = 0;
  std::unique_ptr<SessionState> mSession{};
  std::unique_ptr<PromiseIssuer> mIssuer{};
  std::unique_ptr<PromiseCollector> mCollector{};
  std::map<ProcessName, std::unique_ptr<Takeover>> mTakeovers{};
  std::set<ProcessName> mSuspects{};  // set by the test, rightly or wrongly
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
  // Calls the store. The effect and the answer come later, or not at all.
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
  Epoch mHighestEpoch = 0;        // with which a process has acted
  std::uint64_t mViolations = 0;  // actions with a lower epoch
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
  Duration requestDelay = milliseconds(1) + Duration(static_cast<Duration::rep>(Draw() * 1e7));
  if (Draw() < mSettings.mLateRate)
    requestDelay += Duration(static_cast<Duration::rep>(Draw() * 6e9));
  const Duration answerDelay = milliseconds(1) + Duration(static_cast<Duration::rep>(Draw() * 1e7));
  if (aFrom.mStoreUnavailable || Draw() < mSettings.mLossRate / 2) {
    At(mSettings.mSession.mCallTimeout, [answer, lost] { answer(lost); });
    return;
  }
  const bool answered =
    Draw() >= mSettings.mLossRate && requestDelay + answerDelay < mSettings.mSession.mCallTimeout;
  if (!answered)
    At(mSettings.mSession.mCallTimeout, [answer, lost] { answer(lost); });
  At(requestDelay, [this, answered, answerDelay, aEffect, answer] {
    const Result<T> result = aEffect();
    if (answered)
      At(answerDelay, [answer, result] { answer(result); });
  });
}

}  // namespace monsoon::mocks
