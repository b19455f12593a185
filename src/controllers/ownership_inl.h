// Bodies of OwnershipController; included by ownership.h only.
#pragma once

namespace monsoon {

#define MONSOON_OWNERSHIP                                                                          \
  template<JournalLike J, Store S, PeerCaller P, class SessionType, class MembersType>
#define MONSOON_CONTROLLER OwnershipController<J, S, P, SessionType, MembersType>

MONSOON_OWNERSHIP
std::optional<Epoch> MONSOON_CONTROLLER::MayAct(const ResourceKey& aResource, TimePoint aNow) const
{
  // Read the incarnation before the deadline: a session that ends clears its deadline first, so
  // MayAct is false if it ends between the two reads.
  const std::uint64_t incarnation = mSession.GetIncarnation();
  if (!mSession.MayAct(aNow) || !mMembers.IsAwake(aNow))
    return std::nullopt;
  return mIndex.FindOwn(aResource, incarnation);
}

MONSOON_OWNERSHIP
std::vector<WorkerName> MONSOON_CONTROLLER::ListOwnedWorkers() const
{
  std::vector<WorkerName> workers;
  for (const ResourceKey& key : mIndex.ListOwn()) {
    OwnershipEvent event = MakeOwnershipEvent(key, true);
    if (!event.mIsShard)
      workers.push_back(std::move(event.mWorker));
  }
  return workers;
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::NotifyObserver(const ResourceKey& aResource,
                                        bool aGained,
                                        Epoch aEpoch,
                                        Duration aQuietFor)
{
  Log(LogPart::Ownership,
      LogLevel::Info,
      aGained ? "gained" : "lost",
      { { "resource", aResource }, { "epoch", aEpoch }, { "quiet_for", aQuietFor } });
  if (!mObserver)
    return;
  OwnershipEvent event = MakeOwnershipEvent(aResource, aGained);
  event.mEpoch = aEpoch;
  event.mQuietUntil = BootClock::now() + aQuietFor;
  mObserver(event);
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::OnChange(const OwnershipChange& aChange)
{
  const std::uint64_t session = mSession.GetIncarnation();
  const bool had =
    aChange.mBefore.mProcess == mSelf && aChange.mBefore.mIncarnation == mIncarnation;
  if (had) {
    mIndex.Process(aChange.mResource, OwnerEvent::Lost);
    NotifyObserver(aChange.mResource, false, aChange.mBefore.mEpoch, {});
  }
  const OwnerRecord& after = aChange.mAfter;
  if (session != 0 && after.mProcess == mSelf && after.mIncarnation == session)
    NotifyObserver(aChange.mResource, true, after.mEpoch, aChange.mQuietFor);
  mIndex.Apply(aChange, session);
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::UpdateSession()
{
  const std::uint64_t session = mSession.GetIncarnation();
  if (session == mIncarnation)
    return;
  Log(LogPart::Ownership,
      LogLevel::Info,
      session == 0 ? "session lost" : "session started",
      { { "incarnation", session }, { "former", mIncarnation } });
  for (const ResourceKey& key : mIndex.ChangeSession(session))
    NotifyObserver(key, false, 0, {});
  mIncarnation = session;
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::SetWorkers(std::span<const WorkerSpec> aWorkers)
{
  std::map<ResourceKey, ZoneName> workers;
  for (const WorkerSpec& worker : aWorkers)
    workers.emplace(MakeWorkerKey(worker.mName), worker.mZone);
  std::lock_guard lock(mWorkersLock);
  mWorkers = std::move(workers);
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::GroupResourcesByZone()
{
  std::map<ResourceKey, ZoneName> workers;
  {
    std::lock_guard lock(mWorkersLock);
    workers = mWorkers;
  }
  for (ShardIndex i = 0; i < mSettings.mShards; ++i)
    workers.emplace(MakeShardKey(i), ChooseShardZone(mSettings.mZones, i));
  for (auto& [name, zone] : mZones)
    zone->mResources.clear();
  for (const auto& [key, name] : workers) {
    OpenZone(name);
    mZones.at(name)->mResources.push_back(key);
  }
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::OpenZone(const ZoneName& aName)
{
  if (mZones.contains(aName))
    return;
  auto zone = std::make_unique<Zone>();
  zone->mName = aName;
  zone->mJournal = mMakeJournal(MakeOwnershipJournal(aName));
  zone->mSink.mSnapshotQuiet = mSettings.mPlan.mStartDeadline;
  zone->mSink.mOnChange = [this](const OwnershipChange& aChange) { OnChange(aChange); };
  zone->mFollower = std::make_unique<Follower>(
    mStore, *zone->mJournal, mPeers, zone->mSink, MakeOwnershipJournal(aName), mSettings.mFollower);
  mZones.emplace(aName, std::move(zone));
}

MONSOON_OWNERSHIP
bool MONSOON_CONTROLLER::IsZoneWatcher(const Zone& aZone) const
{
  return IsWatcher(mEligible, aZone.mName, mSelf, "watch/" + aZone.mName, mSettings.mWatchers);
}

MONSOON_OWNERSHIP
OwnershipPlanContext MONSOON_CONTROLLER::MakeContext(const Zone& aZone) const
{
  OwnershipPlanContext context;
  context.mSelf = mSelf;
  context.mIncarnation = mIncarnation;
  context.mZone = aZone.mName;
  context.mEligible = mEligible;
  context.mSettings = mSettings.mPlan;
  context.mNow = BootClock::now();
  return context;
}

// Returns the entries of the next journal value of a zone, by urgency; empty: nothing to do.
MONSOON_OWNERSHIP
std::vector<OwnershipEntry> MONSOON_CONTROLLER::Plan(Zone& aZone, bool aStopping)
{
  const OwnershipPlanContext context = MakeContext(aZone);
  const OwnershipTable& table = aZone.mSink.mTable;
  if (aStopping)
    return PlanStop(context, table);
  // Take back what earlier incarnations of this process own. Whoever wrote the current session
  // record has waited until their leases had expired.
  auto entries = PlanTakeover(context, table, mSelf, mIncarnation - 1, context.mNow);
  for (const auto& [failed, ended] : mEnded)
    if (entries.empty())
      entries = PlanTakeover(context, table, failed, ended.mIncarnation, ended.mInactiveSince);
  if (entries.empty())
    entries = PlanClaims(context, table, aZone.mResources, aZone.mFreeSince);
  const bool due = context.mNow - aZone.mRebalancedAt >= mSettings.mPlan.mRebalanceInterval;
  if (!entries.empty() || !due)
    return entries;
  aZone.mRebalancedAt = context.mNow;
  return PlanRebalance(context, table);
}

// Appends aEntries to the zone's journal and returns whether they are committed. This process stops
// acting on a resource before it sends the hand-over, and resumes only when the entry can certainly
// not be committed any more.
MONSOON_OWNERSHIP
Async<bool> MONSOON_CONTROLLER::Commit(Zone& aZone, std::vector<OwnershipEntry> aEntries)
{
  for (const OwnershipEntry& entry : aEntries)
    if (const auto* handover = std::get_if<Handover>(&entry))
      mIndex.Process(handover->mResource, OwnerEvent::HandoverBegun);
    else if (const auto* release = std::get_if<Release>(&entry))
      mIndex.Process(release->mResource, OwnerEvent::HandoverBegun);
  aZone.mUnresolved = std::move(aEntries);
  const Sequence before = aZone.mSink.GetApplied();
  const auto appended = co_await aZone.mFollower->Append(Encode(aZone.mUnresolved));
  const bool advanced = aZone.mSink.GetApplied() > before;
  Log(LogPart::Ownership,
      LogLevel::Info,
      appended ? "ownership entries committed" : "ownership append failed",
      { { "zone", aZone.mName },
        { "entries", aZone.mUnresolved.size() },
        { "reason", appended ? std::string_view("none") : GetName(appended.error().mKind) } });
  const bool refused = !appended && (appended.error().mKind == FailureKind::StoreUnavailable ||
                                     appended.error().mKind == FailureKind::BudgetExhausted);
  if (appended || advanced || refused)
    ResolveHandovers(aZone);
  co_return appended.has_value();
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::ResolveHandovers(Zone& aZone)
{
  for (const OwnershipEntry& entry : aZone.mUnresolved) {
    const auto* handover = std::get_if<Handover>(&entry);
    const auto* release = std::get_if<Release>(&entry);
    if (handover == nullptr && release == nullptr)
      continue;
    const ResourceKey& key = handover != nullptr ? handover->mResource : release->mResource;
    const auto owner = aZone.mSink.mTable.Find(key);
    if (owner && owner->mProcess == mSelf && owner->mIncarnation == mIncarnation)
      mIndex.Process(key, OwnerEvent::HandoverRefused);
  }
  aZone.mUnresolved.clear();
}

MONSOON_OWNERSHIP
Async<void> MONSOON_CONTROLLER::CommitNextDecision(Zone& aZone)
{
  // An append whose answer was lost is repeated at the same sequence until the journal has a value
  // there.
  std::vector<OwnershipEntry> entries = aZone.mUnresolved;
  if (entries.empty())
    entries = Plan(aZone, false);
  if (!entries.empty())
    co_await Commit(aZone, std::move(entries));
  aZone.mBusy = false;
}

MONSOON_OWNERSHIP
Async<void> MONSOON_CONTROLLER::Run()
{
  const auto executor = co_await asio::this_coro::executor;
  mExecutor = executor;
  std::set<ZoneName> running;
  while (!mStopped) {
    UpdateSession();
    const auto statuses = mMembers.ListMemberStatuses();
    mEligible = ListEligible(statuses);
    const TimePoint now = BootClock::now();
    const bool canAct = mIncarnation != 0 && mSession.MayAct(now) && mMembers.IsAwake(now);
    if (canAct && !mStopping)
      mEligible.push_back({ mSelf, mZone, mIncarnation, now });
    GroupResourcesByZone();
    for (auto& [name, zone] : mZones) {
      Zone* it = zone.get();
      if (running.insert(name).second)
        asio::co_spawn(
          executor, it->mFollower->Run([this, it] { return IsZoneWatcher(*it); }), asio::detached);
      if (!canAct || mStopping || it->mBusy || !it->mFollower->IsLoaded())
        continue;
      it->mBusy = true;
      asio::co_spawn(executor, CommitNextDecision(*it), asio::detached);
    }
    if (canAct && !mStopping)
      FindFailedProcesses();
    co_await Sleep(mSettings.mTick);
  }
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::Stop()
{
  mStopped = true;
  for (auto& [name, zone] : mZones)
    zone->mFollower->Stop();
}

MONSOON_OWNERSHIP
Async<Result<void>> MONSOON_CONTROLLER::HandOverAll(Duration aDeadline)
{
  mStopping = true;
  const TimePoint deadline = BootClock::now() + aDeadline;
  std::erase_if(mEligible, [this](const Eligible& aMember) { return aMember.mName == mSelf; });
  while (BootClock::now() < deadline) {
    bool done = true;
    for (auto& [name, zone] : mZones) {
      if (zone->mBusy) {
        done = false;
        continue;
      }
      zone->mBusy = true;
      auto entries = zone->mUnresolved;
      if (entries.empty())
        entries = Plan(*zone, true);
      if (!entries.empty()) {
        co_await Commit(*zone, std::move(entries));
        done = false;
      }
      zone->mBusy = false;
    }
    if (done)
      co_return Result<void>();
    co_await Sleep(milliseconds(20));
  }
  co_return MakeFailure(FailureKind::Timeout,
                        "not all resources were handed over before the deadline");
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::FindFailedProcesses()
{
  std::map<ProcessName, std::uint64_t> owners;
  for (const auto& [name, zone] : mZones)
    for (const auto& [key, owner] : zone->mSink.mTable.GetAll())
      if (!owner.mProcess.empty() &&
          !zone->mSink.mTable.IsEnded(owner.mProcess, owner.mIncarnation))
        owners[owner.mProcess] = std::max(owners[owner.mProcess], owner.mIncarnation);
  const auto statuses = mMembers.ListMemberStatuses();
  const TimePoint now = BootClock::now();
  std::vector<ProcessName> candidates;
  for (const Eligible& it : mEligible)
    candidates.push_back(it.mName);
  for (const auto& [owner, incarnation] : owners) {
    auto ended = mEnded.find(owner);
    const bool known = ended != mEnded.end() && ended->second.mIncarnation >= incarnation;
    if (owner == mSelf || known ||
        !IsTakeoverDue(statuses, owner, incarnation, mSession.IsStoreReachable())) {
      mFailedProcesses.erase(owner);
      continue;
    }
    const TimePoint since = mFailedProcesses.try_emplace(owner, now).first->second;
    const auto ranked = RankCandidates("takeover/" + owner, candidates);
    const auto rank = std::find(ranked.begin(), ranked.end(), mSelf) - ranked.begin();
    if (now - since >= rank * mSettings.mTakeoverRankDelay && mTakeovers.insert(owner).second)
      asio::co_spawn(*mExecutor, TakeOver(owner, incarnation), asio::detached);
  }
}

MONSOON_OWNERSHIP
Async<void> MONSOON_CONTROLLER::TakeOver(ProcessName aFailedProcess, std::uint64_t aLatest)
{
  Takeover takeover(mSelf, aFailedProcess, aLatest, mSettings.mSession);
  PromiseIssuer& issuer = mSession.GetPromiseIssuer();
  const std::string key = MakeSessionKey(aFailedProcess);
  while (!mStopped) {
    if (!mFailedProcesses.contains(aFailedProcess) && !takeover.IsInProgress())
      break;  // the process is no longer suspected
    const TakeoverAction action = takeover.Next(issuer, BootClock::now());
    if (action.mStep == TakeoverStep::Done || action.mStep == TakeoverStep::Aborted)
      break;
    if (action.mStep == TakeoverStep::Read) {
      const auto read = co_await mStore.Get(key, CallPurpose::Session);
      takeover.OnRead(read, issuer, BootClock::now());
    } else if (action.mStep == TakeoverStep::Swap) {
      const auto written =
        co_await mStore.CompareAndSwap(key, action.mValue, action.mRevision, CallPurpose::Session);
      takeover.OnWritten(written, issuer, BootClock::now());
    } else {
      co_await Sleep(milliseconds(20));
    }
  }
  Log(LogPart::Ownership,
      LogLevel::Info,
      takeover.GetEnded() != 0 ? "ended the session of a failed process" : "takeover aborted",
      { { "process", aFailedProcess }, { "incarnation", takeover.GetEnded() } });
  if (takeover.GetEnded() != 0)
    mEnded[aFailedProcess] = { takeover.GetEnded(), takeover.GetInactiveSince() };
  mTakeovers.erase(aFailedProcess);
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow)
{
  for (const JournalHead& head : aHeartbeat.mHeads)
    for (auto& [name, zone] : mZones)
      if (head.mJournal == MakeOwnershipJournal(name))
        zone->mFollower->OnHead(aHeartbeat.mFrom, head, aNow);
}

MONSOON_OWNERSHIP
void MONSOON_CONTROLLER::AddHeads(std::vector<JournalHead>& aHeads, TimePoint aNow) const
{
  for (const auto& [name, zone] : mZones)
    if (zone->mFollower->IsLoaded())
      aHeads.push_back(zone->mFollower->GetHead(aNow));
}

MONSOON_OWNERSHIP
Result<JournalSlice> MONSOON_CONTROLLER::OnFetch(const JournalFetch& aFetch) const
{
  for (const auto& [name, zone] : mZones)
    if (aFetch.mJournal == MakeOwnershipJournal(name))
      return zone->mFollower->OnFetch(aFetch);
  return MakeFailure(FailureKind::NotFound, aFetch.mJournal);
}

#undef MONSOON_OWNERSHIP
#undef MONSOON_CONTROLLER

}  // namespace monsoon
