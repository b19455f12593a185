#include "control_sim.h"

namespace monsoon::mocks {

SimProcess::SimProcess(Sim& aSim, std::size_t aIndex)
  : mSim(aSim)
  , mName("p" + std::to_string(aIndex))
  , mRate(1 + (aSim.Draw() * 2 - 1) * aSim.mSettings.mClockSkew)
{
  Restart();
}

void SimProcess::Restart()
{
  ++mGeneration;
  mDead = false;
  mSessionBusy = mJournalBusy = false;
  mTakeovers.clear();
  mTakeoverBusy.clear();
  mAnnouncedTo.clear();
  mFreeSince.clear();
  mTable = {};
  const auto& settings = mSim.mSettings;
  std::vector<ProcessName> others;
  for (std::size_t i = 0; i < settings.mProcesses; ++i)
    if (const ProcessName name = "p" + std::to_string(i); name != mName)
      others.push_back(name);
  mSession = std::make_unique<SessionState>(mName, settings.mSession, mSim.mRandom());
  mIssuer = std::make_unique<PromiseIssuer>(settings.mSession, Now());
  mCollector = std::make_unique<PromiseCollector>(others, settings.mSession);
}

TimePoint SimProcess::Now() const
{
  const double elapsed = static_cast<double>(mSim.mTrueTime.time_since_epoch().count());
  return TimePoint(Duration(static_cast<Duration::rep>(elapsed * mRate)));
}

bool SimProcess::IsFrozen() const
{
  return mDead || mSim.mTrueTime < mFrozenUntil;
}

bool SimProcess::Owns() const
{
  const auto owner = mTable.Find(kSimResource);
  return owner && owner->mProcess == mName && mSession->GetIncarnation() != 0 &&
         owner->mIncarnation == mSession->GetIncarnation();
}

void SimProcess::Step()
{
  // Act first, which is the worst case: a process that resumes after a freeze has not noticed it
  // yet.
  if (Owns() && mSession->MayAct(Now()))
    mSim.Act(*this, mTable.Find(kSimResource)->mEpoch);
  DriveSession();
  DrivePromises();
  for (const ProcessName& failed : mSuspects)
    DriveTakeover(failed);
  DriveJournal();
}

void SimProcess::DriveSession()
{
  if (mSessionBusy)
    return;
  const SessionAction action = mSession->Next(Now());
  const std::string key = MakeSessionKey(mName);
  if (action.mStep == SessionStep::Wait)
    return;
  if (action.mStep == SessionStep::Announce) {
    Announce(action.mIncarnation);
    return;
  }
  mSessionBusy = true;
  if (action.mStep == SessionStep::Read) {
    mSim.Call<std::optional<StoreValue>>(
      *this,
      false,
      [this, key] { return mSim.mStore.Get(key); },
      [this](const auto& aRead) {
        mSessionBusy = false;
        mSession->OnRead(aRead, Now());
      });
    return;
  }
  mSim.Call<std::uint64_t>(
    *this,
    true,
    [this, key, action] {
      return action.mStep == SessionStep::Create
               ? mSim.mStore.Create(key, action.mValue)
               : mSim.mStore.Swap(key, action.mValue, action.mRevision);
    },
    [this](const auto& aWritten) {
      mSessionBusy = false;
      mSession->OnWritten(aWritten, Now());
    });
}

void SimProcess::Announce(std::uint64_t aIncarnation)
{
  std::set<ProcessName> reached;
  bool knew = false;
  for (auto& peer : mSim.mProcesses) {
    if (peer.get() == this || peer->IsFrozen())
      continue;
    OutagePromiseRequest request;
    request.mFrom = mName;
    request.mIncarnation = aIncarnation;
    const auto promise = peer->mIssuer->Answer(request, false, peer->Now());
    knew = knew || (promise.mPromised && mAnnouncedTo.contains(peer->mName));
    reached.insert(peer->mName);
  }
  mAnnouncedTo = reached;
  if (!reached.empty())
    mSession->OnAnnounced(knew);
}

void SimProcess::DrivePromises()
{
  const TimePoint now = Now();
  const auto& settings = mSim.mSettings.mSession;
  const bool wants = settings.mExtendByPromises && mSession->MayAct(now) &&
                     !mSession->IsStoreReachable(now) &&
                     mSession->GetDeadline() - now < settings.mLease - settings.mRenewEvery;
  if (!wants || now - mPromisesRequestedAt < milliseconds(200))
    return;
  mPromisesRequestedAt = now;
  OutagePromiseRequest request;
  request.mFrom = mName;
  request.mIncarnation = mSession->GetIncarnation();
  request.mFor = settings.mLease;
  const auto round = mCollector->BeginRound(request.mIncarnation, now);
  for (auto& it : mSim.mProcesses) {
    SimProcess* peer = it.get();
    if (peer == this)
      continue;
    mSim.At(milliseconds(5), [this, peer, request, round, generation = mGeneration] {
      mSim.Deliver(*peer, peer->mGeneration, [this, peer, request, round, generation] {
        const TimePoint peerNow = peer->Now();
        const bool unavailable = !peer->mSession->IsStoreReachable(peerNow);
        if (!unavailable)
          peer->mSession->RequestRenewal(peerNow);
        const auto promise = peer->mIssuer->Answer(request, unavailable, peerNow);
        mSim.At(milliseconds(5), [this, peer, request, round, generation, promise] {
          mSim.Deliver(*this, generation, [this, peer, request, round, promise] {
            const auto until = mCollector->OnAnswer(round, peer->mName, promise.mPromised);
            if (until)
              mSession->Extend(request.mIncarnation, *until, Now());
          });
        });
      });
    });
  }
}

void SimProcess::DriveTakeover(const ProcessName& aFailedProcess)
{
  const auto owner = mTable.Find(kSimResource);
  if (mTakeoverBusy.contains(aFailedProcess) || !owner || owner->mProcess != aFailedProcess)
    return;
  auto& takeover = mTakeovers[aFailedProcess];
  if (!takeover)
    takeover = std::make_unique<Takeover>(
      mName, aFailedProcess, owner->mIncarnation, mSim.mSettings.mSession);
  const TakeoverAction action = takeover->Next(*mIssuer, Now());
  const std::string key = MakeSessionKey(aFailedProcess);
  if (action.mStep == TakeoverStep::Aborted) {
    takeover.reset();
  } else if (action.mStep == TakeoverStep::Read) {
    mTakeoverBusy.insert(aFailedProcess);
    mSim.Call<std::optional<StoreValue>>(
      *this,
      false,
      [this, key] { return mSim.mStore.Get(key); },
      [this, aFailedProcess](const auto& aRead) {
        mTakeoverBusy.erase(aFailedProcess);
        mTakeovers[aFailedProcess]->OnRead(aRead, *mIssuer, Now());
      });
  } else if (action.mStep == TakeoverStep::Swap) {
    mTakeoverBusy.insert(aFailedProcess);
    mSim.Call<std::uint64_t>(
      *this,
      true,
      [this, key, action] { return mSim.mStore.Swap(key, action.mValue, action.mRevision); },
      [this, aFailedProcess](const auto& aWritten) {
        mTakeoverBusy.erase(aFailedProcess);
        mTakeovers[aFailedProcess]->OnWritten(aWritten, *mIssuer, Now());
      });
  }
}

std::vector<OwnershipEntry> SimProcess::Plan()
{
  OwnershipPlanContext context;
  context.mSelf = mName;
  context.mIncarnation = mSession->GetIncarnation();
  context.mZone = "zone-a";
  context.mSettings = mSim.mSettings.mPlan;
  context.mNow = Now();
  std::vector<Eligible> eligible;
  eligible.push_back({ mName, "zone-a", context.mIncarnation, {} });
  context.mEligible = eligible;
  auto entries = PlanTakeover(context, mTable, mName, context.mIncarnation - 1, context.mNow);
  for (const auto& [failed, takeover] : mTakeovers)
    if (entries.empty() && takeover && takeover->GetEnded() != 0)
      entries =
        PlanTakeover(context, mTable, failed, takeover->GetEnded(), takeover->GetInactiveSince());
  if (entries.empty()) {
    const std::vector<ResourceKey> resources{ kSimResource };
    entries = PlanClaims(context, mTable, resources, mFreeSince);
  }
  return entries;
}

void SimProcess::DriveJournal()
{
  if (mJournalBusy)
    return;
  const Sequence next = mTable.GetApplied() + 1;
  const std::string key = "journal/" + std::to_string(next);
  std::vector<OwnershipEntry> entries;
  if (mSession->GetIncarnation() != 0 && mSession->MayAct(Now()) && mSim.Draw() < 0.5)
    entries = Plan();
  if (entries.empty() && mSim.Draw() < 0.8)
    return;
  mJournalBusy = true;
  const auto read = [this, key, next] {
    mSim.Call<std::optional<StoreValue>>(
      *this,
      false,
      [this, key] { return mSim.mStore.Get(key); },
      [this, next](const auto& aRead) {
        mJournalBusy = false;
        if (aRead && *aRead)
          (void)mTable.Apply(next, (*aRead)->mValue);
      });
  };
  if (entries.empty())
    return read();
  mSim.Call<std::uint64_t>(
    *this,
    true,
    [this, key, bytes = Encode(entries)] { return mSim.mStore.Create(key, bytes); },
    [read](const auto&) { read(); });
}

void Sim::Deliver(SimProcess& aTo, std::uint64_t aGeneration, std::function<void()> aEvent)
{
  if (aTo.mDead || aTo.mGeneration != aGeneration)
    return;
  if (!aTo.IsFrozen()) {
    aEvent();
    return;
  }
  // After a freeze, pending events may be handled before or after the process's own step.
  const Duration wait =
    aTo.mFrozenUntil - mTrueTime + Duration(static_cast<Duration::rep>(Draw() * 2e7));
  At(wait, [this, to = &aTo, aGeneration, aEvent] { Deliver(*to, aGeneration, aEvent); });
}

void Sim::Act(const SimProcess& aProcess, Epoch aEpoch)
{
  ++const_cast<SimProcess&>(aProcess).mActs;
  if (aEpoch < mHighestEpoch)
    ++mViolations;
  mHighestEpoch = std::max(mHighestEpoch, aEpoch);
}

SimProcess* Sim::FindOwner()
{
  for (auto& process : mProcesses)
    if (!process->IsFrozen() && process->Owns() && process->mSession->MayAct(process->Now()))
      return process.get();
  return nullptr;
}

void Sim::Run(Duration aFor)
{
  const TimePoint end = mTrueTime + aFor;
  while (mTrueTime < end) {
    const TimePoint next = mTrueTime + kSimStep;
    while (!mEvents.empty() && mEvents.begin()->first <= next) {
      mTrueTime = std::max(mTrueTime, mEvents.begin()->first);
      const auto event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
    mTrueTime = next;
    for (auto& process : mProcesses)
      if (!process->IsFrozen())
        process->Step();
  }
}

}  // namespace monsoon::mocks
