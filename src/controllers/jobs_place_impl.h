// Implementation of JobsController: placement. Included by controllers/jobs.h only.
#pragma once

namespace monsoon {

inline constexpr Duration kMinWaitToPreempt = seconds(1);    // without capacity
inline constexpr Duration kPreemptionInterval = seconds(5);  // between stops of the same task

MONSOON_JOBS_TEMPLATE
ProcessName MONSOON_JOBS::FindOwner(const WorkerName& aWorker) const
{
  const auto owner = mOwnership.FindWorkerOwner(aWorker);
  return owner ? owner->mProcess : ProcessName();
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::Place(ShardPtr aShard, PlannedGroup aGroup)
{
  const Epoch epoch = aShard->mEpoch;
  const bool found = co_await PlaceGroup(aShard, aGroup);
  --aShard->mPlacements;
  if (aShard->mReady && aShard->mEpoch == epoch)
    aShard->mTable.EndPlacing(aGroup, found, BootClock::now());
  if (found)
    WakeShard(*aShard);
}

MONSOON_JOBS_TEMPLATE
Async<bool> MONSOON_JOBS::PlaceGroup(ShardPtr aShard, PlannedGroup& aGroup)
{
  const Epoch epoch = aShard->mEpoch;
  const TimePoint began = BootClock::now();
  const auto count = static_cast<std::uint32_t>(aGroup.mTasks.size());
  const TaskShape& shape = aGroup.mShape;
  const bool everywhere = aGroup.mAllOrNone || shape.mSpreadZones || shape.mSpreadRacks;
  FitReply fit = co_await CollectOffers(shape, count, everywhere);
  // Avoiding workers is a preference; it is a condition only when they are leaving.
  if (fit.mOffers.empty() && fit.mExcluded > 0 && !shape.mAvoid.empty() && !aGroup.mReplaces) {
    aGroup.mShape.mAvoid.clear();
    fit = co_await CollectOffers(shape, count, true);
  }
  // If the corrected size fits no VM, it is wrong, because the measured tasks ran on some VM. The
  // declared size is used instead.
  const bool corrected = shape.mNeed != aGroup.mDeclared;
  if (fit.mOffers.empty() && fit.mFullNow + fit.mExcluded == 0 && corrected) {
    aGroup.mShape.mNeed = aGroup.mDeclared;
    fit = co_await CollectOffers(shape, count, true);
  }
  if (!IsActing(*aShard, epoch))
    co_return false;
  std::vector<Offer> chosen = ChooseOffers(fit.mOffers, shape, count);
  std::vector<WorkerHold> held;
  if (aGroup.mAllOrNone)
    held = co_await HoldGang(aGroup, std::move(chosen));
  else
    held = co_await HoldAll(aGroup, std::move(chosen));
  if (!IsActing(*aShard, epoch)) {
    co_await ReleaseAll(std::move(held));
    co_return false;
  }
  for (const WorkerHold& hold : held)
    Log(LogPart::Place,
        LogLevel::Info,
        "capacity held",
        { { "job", shape.mJob },
          { "tasks", hold.mReply.mTasks.size() },
          { "worker", hold.mWorker },
          { "offers", fit.mOffers.size() },
          { "full", fit.mFullNow },
          { "too_small", fit.mNeverFits },
          { "excluded", fit.mExcluded } });
  if (held.empty()) {
    Log(LogPart::Place,
        LogLevel::Info,
        "no capacity",
        { { "job", shape.mJob },
          { "tasks", count },
          { "offers", fit.mOffers.size() },
          { "full", fit.mFullNow },
          { "too_small", fit.mNeverFits },
          { "excluded", fit.mExcluded } });
    co_await HandleNoCapacity(aShard, aGroup, fit);
    co_return false;
  }

  std::vector<JobEntry> entries;
  const JobRecord* job = aShard->mTable.Find(shape.mJob);
  for (const WorkerHold& hold : held)
    for (const TaskKey& task : hold.mReply.mTasks) {
      TaskAssigned assigned{ task, 0, hold.mWorker, hold.mReply.mEpoch, shape.mNeed };
      assigned.mReplaces = aGroup.mReplaces;
      assigned.mAttempt = job ? job->mTasks[task.mIndex].mLastAttempt + 1 : 1;
      entries.emplace_back(std::move(assigned));
    }
  const CommitPtr commit = co_await Commit(aShard, std::move(entries));
  if (commit->mFailure || !IsActing(*aShard, epoch)) {
    co_await ReleaseAll(std::move(held));
    co_return false;
  }
  std::size_t placed = 0;
  for (const WorkerHold& hold : held)
    placed += hold.mReply.mTasks.size();
  if (mOnPlaced)
    mOnPlaced(shape, placed, aGroup.mWaited, BootClock::now() - began);
  co_await StartAll(aShard, aGroup, std::move(held), commit);
  co_return true;
}

// Offers
MONSOON_JOBS_TEMPLATE
Async<FitReply> MONSOON_JOBS::AskOwners(std::vector<ProcessName> aOwners,
                                        TaskShape aShape,
                                        std::uint32_t aCount)
{
  std::vector<PeerCall> calls;
  for (ProcessName& it : aOwners)
    calls.push_back({ std::move(it), FitQuery{ aShape, aCount } });
  const auto replies = co_await CallAll(mPeers, std::move(calls), mSettings.mPeerDeadline);
  FitReply sum;
  for (const auto& reply : replies) {
    // An owner that does not answer may have capacity. Counting it as excluded prevents the
    // conclusion that no VM fits.
    if (!reply || !std::holds_alternative<FitReply>(*reply)) {
      ++sum.mExcluded;
      continue;
    }
    const FitReply& fit = std::get<FitReply>(*reply);
    sum.mOffers.insert(sum.mOffers.end(), fit.mOffers.begin(), fit.mOffers.end());
    sum.mNeverFits += fit.mNeverFits;
    sum.mFullNow += fit.mFullNow;
    sum.mExcluded += fit.mExcluded;
  }
  co_return sum;
}

// Asks the owners in this process's zone first, because traffic between zones costs money.
MONSOON_JOBS_TEMPLATE
Async<FitReply> MONSOON_JOBS::CollectOffers(TaskShape aShape,
                                            std::uint32_t aCount,
                                            bool aEverywhere)
{
  std::vector<ProcessName> near;
  std::vector<ProcessName> far;
  for (const ProcessName& it : mOwnership.ListOwners()) {
    auto zone = mSettings.mZones.find(it);
    const bool isNear =
      it == mSettings.mSelf || (zone != mSettings.mZones.end() && zone->second == mSettings.mZone);
    (aEverywhere || isNear ? near : far).push_back(it);
  }
  FitReply fit = co_await AskOwners(std::move(near), aShape, aCount);
  std::uint32_t n = 0;
  for (const Offer& it : fit.mOffers)
    n += it.mCount;
  if (n >= aCount || far.empty())
    co_return fit;
  FitReply more = co_await AskOwners(std::move(far), aShape, aCount);
  fit.mOffers.insert(fit.mOffers.end(), more.mOffers.begin(), more.mOffers.end());
  fit.mNeverFits += more.mNeverFits;
  fit.mFullNow += more.mFullNow;
  fit.mExcluded += more.mExcluded;
  co_return fit;
}

// Holds
MONSOON_JOBS_TEMPLATE
HoldRequest MONSOON_JOBS::MakeHoldRequest(const PlannedGroup& aGroup, const GangStep& aStep) const
{
  HoldRequest request;
  request.mShape = aGroup.mShape;
  request.mWorker = aStep.mWorker;
  for (const std::uint32_t index : aStep.mTasks)
    request.mTasks.push_back({ aGroup.mShape.mJob, index });
  request.mExpiry =
    aGroup.mAllOrNone ? kGangHoldExpiry + mSettings.mHoldExpiry : mSettings.mHoldExpiry;
  return request;
}

MONSOON_JOBS_TEMPLATE
auto MONSOON_JOBS::HoldAll(const PlannedGroup& aGroup, std::vector<Offer> aChosen)
  -> Async<std::vector<WorkerHold>>
{
  std::vector<PeerCall> calls;
  std::vector<WorkerHold> requested;
  std::size_t next = 0;
  for (const Offer& offer : aChosen) {
    GangStep step{ offer.mWorker, {} };
    for (; step.mTasks.size() < offer.mCount && next < aGroup.mTasks.size(); ++next)
      step.mTasks.push_back(aGroup.mTasks[next]);
    requested.push_back({ offer.mWorker, FindOwner(offer.mWorker), {} });
    calls.push_back({ requested.back().mOwner, MakeHoldRequest(aGroup, step) });
  }
  auto replies = co_await CallAll(mPeers, std::move(calls), mSettings.mPeerDeadline);
  std::vector<WorkerHold> held;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    if (!replies[i] || !std::holds_alternative<HoldReply>(*replies[i]))
      continue;
    requested[i].mReply = std::move(std::get<HoldReply>(*replies[i]));
    if (!requested[i].mReply.mTasks.empty())
      held.push_back(std::move(requested[i]));
  }
  co_return held;
}

// Requests the holds one after the other, in the global order of workers. If one is not granted in
// full, all are released at once and the gang retries after a jittered delay, so contending gangs
// keep no partial holds.
MONSOON_JOBS_TEMPLATE
auto MONSOON_JOBS::HoldGang(const PlannedGroup& aGroup, std::vector<Offer> aChosen)
  -> Async<std::vector<WorkerHold>>
{
  std::vector<WorkerHold> held;
  for (const GangStep& step : PlanGang(aChosen, aGroup.mTasks)) {
    WorkerHold hold{ step.mWorker, FindOwner(step.mWorker), {} };
    const PeerRequest request(MakeHoldRequest(aGroup, step));
    auto reply = co_await mPeers.Call(hold.mOwner, request, mSettings.mPeerDeadline);
    const bool got = reply.has_value() && std::holds_alternative<HoldReply>(*reply);
    if (got) {
      hold.mReply = std::move(std::get<HoldReply>(*reply));
      held.push_back(std::move(hold));
    }
    if (got && held.back().mReply.mTasks.size() == step.mTasks.size())
      continue;
    co_await ReleaseAll(std::move(held));
    co_return std::vector<WorkerHold>();
  }
  co_return held;
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::ReleaseAll(std::vector<WorkerHold> aHeld)
{
  std::vector<PeerCall> calls;
  for (const WorkerHold& it : aHeld)
    calls.push_back({ it.mOwner, HoldRelease{ it.mReply.mId, it.mWorker, it.mReply.mEpoch } });
  co_await CallAll(mPeers, std::move(calls), mSettings.mPeerDeadline);
}

// Starts
MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::StartAll(ShardPtr aShard,
                                   const PlannedGroup& aGroup,
                                   std::vector<WorkerHold> aHeld,
                                   CommitPtr aCommit)
{
  const Epoch epoch = aShard->mEpoch;
  const JobRecord* job = aShard->mTable.Find(aGroup.mShape.mJob);
  std::vector<PeerCall> calls;
  std::vector<TaskReport> reports;
  std::vector<WorkerHold> unused;
  std::size_t entry = 0;
  for (const WorkerHold& hold : aHeld) {
    const std::size_t before = calls.size();
    for (const TaskKey& task : hold.mReply.mTasks) {
      const auto& assigned = std::get<TaskAssigned>(aCommit->mEntries[entry]);
      const bool tookEffect = aCommit->mEffects[entry++].has_value();
      // The job was cancelled before this entry in the journal, or since: don't start the task.
      if (!tookEffect || !job || job->mCancelled)
        continue;
      TaskStart start;
      start.mHold = hold.mReply.mId;
      start.mEpoch = hold.mReply.mEpoch;
      start.mWorker = hold.mWorker;
      start.mTask = task;
      start.mAttempt = assigned.mAttempt;
      start.mKind = aGroup.mShape.mKind;
      start.mNeed = aGroup.mShape.mNeed;
      start.mExpectedRun = aGroup.mExpectedRun;
      start.mStartWithin = mSettings.mStartWithin;
      start.mPayload = job->mSpec.mPayload;
      calls.push_back({ hold.mOwner, std::move(start) });
      reports.push_back({ task, assigned.mAttempt, hold.mWorker });
    }
    if (calls.size() == before)
      unused.push_back(hold);
  }
  co_await ReleaseAll(std::move(unused));
  const auto replies = co_await CallAll(mPeers, std::move(calls), mSettings.mPeerDeadline);
  std::vector<TaskReport> known;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    // A start with an unknown outcome is left to a later query.
    if (!replies[i] && !IsCertainlyNotRun(replies[i].error().mKind))
      continue;
    reports[i].mEnd = replies[i] ? TaskEnd::Running : TaskEnd::NeverStarted;
    known.push_back(std::move(reports[i]));
  }
  if (!known.empty() && IsActing(*aShard, epoch))
    co_await ApplyReports(aShard, std::move(known));
}

// No capacity
MONSOON_JOBS_TEMPLATE
Async<bool> MONSOON_JOBS::HandleNoCapacity(ShardPtr aShard,
                                           const PlannedGroup& aGroup,
                                           const FitReply& aReply)
{
  const std::string reason = DescribeNoCapacity(aReply);
  aShard->mTable.SetReason(aGroup.mShape.mJob, reason);
  const bool never =
    aReply.mOffers.empty() && aReply.mNeverFits > 0 && aReply.mFullNow + aReply.mExcluded == 0;
  if (never && !aGroup.mReplaces) {
    std::vector<JobEntry> entries;
    entries.emplace_back(
      JobHeld{ aGroup.mShape.mJob, true, "no VM that exists could run it: " + reason });
    co_await Commit(aShard, std::move(entries));
    co_return true;
  }
  const bool urgent = aGroup.mShape.mPriority == Priority::Urgent;
  if ((urgent || aGroup.mGuaranteed) && aGroup.mWaited >= kMinWaitToPreempt)
    co_await Preempt(aShard, aGroup);
  co_return false;
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::Preempt(ShardPtr aShard, const PlannedGroup& aGroup)
{
  const PlanContext context = MakeContext();
  const auto running = aShard->mTable.ListPreemptible(context);
  // Only urgent jobs preempt lower priorities; a team within its guarantee preempts borrowers.
  const Priority priority =
    aGroup.mShape.mPriority == Priority::Urgent ? Priority::Urgent : Priority::Low;
  std::vector<TaskStop> stops;
  for (const auto& it : ChooseVictims(running, aGroup.mShape.mNeed, priority, aGroup.mGuaranteed)) {
    aShard->mTable.RecordStopSent(it.mTask, context.mNow + kPreemptionInterval);
    stops.push_back({ it.mWorker, it.mTask, it.mAttempt, TaskStopMode::Checkpoint });
  }
  if (!stops.empty())
    co_await SendStops(aShard, std::move(stops));
}

}  // namespace monsoon

#undef MONSOON_JOBS
#undef MONSOON_JOBS_TEMPLATE
