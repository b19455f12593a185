// Bodies of Supervision. Included by controllers/supervision.h only.
#pragma once

#include <algorithm>

namespace monsoon {

inline constexpr int kPollsPerRun = 4;  // renewals during the estimated run time of a short task

// Workers
template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Supervision<Client, Peers, Ownership, Capacity>::Supervision(asio::any_io_executor aExecutor,
                                                             Client& aClient,
                                                             Peers& aPeers,
                                                             const Ownership& aOwnership,
                                                             Capacity& aCapacity,
                                                             SupervisionSettings aSettings)
  : mExecutor(std::move(aExecutor))
  , mClient(aClient)
  , mPeers(aPeers)
  , mOwnership(aOwnership)
  , mCapacity(aCapacity)
  , mSettings(std::move(aSettings))
{
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
void Supervision<Client, Peers, Ownership, Capacity>::PutWorker(const WorkerSpec& aSpec)
{
  WatchedPtr& watched = mWatched[aSpec.mName];
  if (watched) {
    watched->mSpec = aSpec;
    if (watched->mState)
      mCapacity.With(aSpec.mName,
                     [&](auto& aBook) { aBook.PutWorker(aSpec, watched->mState->GetEpoch()); });
    return;
  }
  watched = std::make_shared<Watched>(mExecutor);
  watched->mSpec = aSpec;
  asio::co_spawn(mExecutor, Watch(watched), asio::detached);
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
void Supervision<Client, Peers, Ownership, Capacity>::SetDrained(
  const std::set<WorkerName>& aDrained)
{
  mDrained = aDrained;
  for (const auto& it : mWatched) {
    const WorkerName& name = it.first;
    if (it.second->mState)
      mCapacity.With(name, [&](auto& aBook) { aBook.SetExcluded(name, mDrained.contains(name)); });
  }
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
void Supervision<Client, Peers, Ownership, Capacity>::RefreshInventory(const WorkerName& aWorker)
{
  auto it = mWatched.find(aWorker);
  if (it == mWatched.end())
    return;
  it->second->mRefreshRequested = true;
  it->second->mTimer.cancel();
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
void Supervision<Client, Peers, Ownership, Capacity>::Stop()
{
  mStopped = true;
  for (const auto& [name, watched] : mWatched)
    watched->mTimer.cancel();
}

// Watching
template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<void> Supervision<Client, Peers, Ownership, Capacity>::Watch(WatchedPtr aWatched)
{
  while (!mStopped) {
    if (Prepare(*aWatched)) {
      co_await Renew(aWatched);
      co_await StopDisowned(aWatched);
      if (!aWatched->mReporting && aWatched->mState) {
        aWatched->mReporting = true;
        asio::co_spawn(mExecutor, Report(aWatched), asio::detached);
      }
    }
    if (mStopped)
      break;
    if (aWatched->mRefreshRequested)
      aWatched->mTimer.expires_after(mSettings.mShortestInterval);
    else
      aWatched->mTimer.expires_after(ComputePause(*aWatched));
    aWatched->mRefreshRequested = false;
    [[maybe_unused]] auto [ec] = co_await aWatched->mTimer.async_wait(kNoThrow);
  }
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Duration Supervision<Client, Peers, Ownership, Capacity>::ComputePause(Watched& aWatched) const
{
  const TimePoint now = BootClock::now();
  auto& ends = aWatched.mExpectedEnds;
  ends.erase(ends.begin(), ends.upper_bound(now));
  Duration pause = mSettings.mInterval;
  if (!ends.empty())
    pause = std::min<Duration>(pause, *ends.begin() - now);
  // Workers that run short tasks are polled more often: until an end is read, its capacity stays
  // unused. The number of polls stays proportional to the number of starts.
  if (aWatched.mState)
    for (const auto& [attempt, task] : aWatched.mState->GetTasks())
      if (task.mEnd == TaskEnd::Running)
        pause =
          std::min(pause, mRuns.Estimate(attempt.first.mJob, pause * kPollsPerRun) / kPollsPerRun);
  return std::max(pause, mSettings.mShortestInterval);
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
bool Supervision<Client, Peers, Ownership, Capacity>::Prepare(Watched& aWatched)
{
  const TimePoint now = BootClock::now();
  const WorkerName& name = aWatched.mSpec.mName;
  const auto epoch = mOwnership.MayActOnWorker(name, now);
  const auto owner = mOwnership.FindWorkerOwner(name);
  const bool lost = !owner || owner->mProcess != mSettings.mSelf;
  if (aWatched.mState && (lost || (epoch && *epoch != aWatched.mState->GetEpoch())))
    DropState(aWatched);
  if (!epoch || *epoch == aWatched.mFencedEpoch)
    return false;
  if (aWatched.mState)
    return true;
  Log(LogPart::Ownership, LogLevel::Info, "took over", { { "worker", name }, { "epoch", *epoch } });
  aWatched.mState = std::make_unique<SupervisionState>(*epoch, now);
  mCapacity.With(name, [&](auto& aBook) {
    aBook.PutWorker(aWatched.mSpec, *epoch);
    aBook.SetQuietUntil(name, now + kTaskStartWithin);
    aBook.SetExcluded(name, mDrained.contains(name));
  });
  return true;
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
void Supervision<Client, Peers, Ownership, Capacity>::DropState(Watched& aWatched)
{
  aWatched.mState.reset();
  aWatched.mExpectedEnds.clear();
  const WorkerName& name = aWatched.mSpec.mName;
  mCapacity.With(name, [&](auto& aBook) { aBook.DropWorker(name); });
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<void> Supervision<Client, Peers, Ownership, Capacity>::Renew(WatchedPtr aWatched)
{
  const TimePoint sentAt = BootClock::now();
  const Epoch epoch = aWatched->mState->GetEpoch();
  LeaseRenewal renewal;
  renewal.mEpoch = epoch;
  renewal.mLease = mSettings.mLease;
  renewal.mRenew = aWatched->mState->ListRenewals(sentAt);
  renewal.mAcknowledge = aWatched->mState->ListAcknowledgements();
  const WorkerSpec spec = aWatched->mSpec;
  if (mOwnership.MayActOnWorker(spec.mName, BootClock::now()) != epoch)
    co_return;
  const bool renews = !renewal.mRenew.empty();
  // Recorded before it is sent: the renewal may reach the worker at any moment from then on.
  if (renews)
    aWatched->mState->NoteLease(sentAt, mSettings.mLease, mSettings.mCallDeadline, true);
  const auto inventory = co_await mClient.Renew(spec, renewal, mSettings.mCallDeadline);

  if (!aWatched->mState || aWatched->mState->GetEpoch() != epoch)
    co_return;  // the ownership has changed meanwhile
  if (!inventory) {
    if (inventory.error().mKind == FailureKind::EndpointRefused) {
      aWatched->mFencedEpoch = epoch;
      DropState(*aWatched);
      co_return;
    }
    RecordEnds(*aWatched, aWatched->mState->DeclareLost(BootClock::now()));
    co_return;
  }
  aWatched->mState->DropAcknowledged(renewal.mAcknowledge);
  ApplyInventory(*aWatched, *inventory, sentAt);
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
void Supervision<Client, Peers, Ownership, Capacity>::ApplyInventory(Watched& aWatched,
                                                                     const Inventory& aInventory,
                                                                     TimePoint aSentAt)
{
  const TimePoint now = BootClock::now();
  const Epoch epoch = aWatched.mState->GetEpoch();
  const WorkerName& name = aWatched.mSpec.mName;
  if (aInventory.mHighestEpoch > epoch) {
    aWatched.mFencedEpoch = epoch;
    DropState(aWatched);
    return;
  }
  const auto ended = aWatched.mState->ApplyInventory(aInventory, aSentAt, now);
  mCapacity.With(name, [&](auto& aBook) {
    // The worker has seen our epoch and refuses lower ones, so no start of a previous owner can
    // take effect any more.
    if (aInventory.mHighestEpoch == epoch)
      aBook.SetQuietUntil(name, TimePoint{});
    aBook.ApplyInventory(name, aInventory, aSentAt, now);
    aBook.Expire(now);
  });
  RecordEnds(aWatched, ended);
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
void Supervision<Client, Peers, Ownership, Capacity>::RecordEnds(
  Watched& aWatched,
  const std::vector<SupervisionState::Attempt>& aEnded)
{
  const WorkerName& name = aWatched.mSpec.mName;
  for (const auto& attempt : aEnded) {
    const TaskEnd end = aWatched.mState->GetTasks().at(attempt).mEnd;
    mCapacity.With(name, [&](auto& aBook) { aBook.EndTask(name, attempt.first, attempt.second); });
    Log(LogPart::Task,
        LogLevel::Info,
        "ended",
        { { "job", attempt.first.mJob },
          { "task", attempt.first.mIndex },
          { "attempt", attempt.second },
          { "worker", name },
          { "end", GetName(end) } });
    if (end == TaskEnd::Succeeded || end == TaskEnd::Failed)
      mRuns.Record(
        attempt.first.mJob, aWatched.mState->GetTasks().at(attempt).mRan, BootClock::now());
    if (end == TaskEnd::Succeeded || end == TaskEnd::Failed)
      mQuarantine.Record(name, attempt.first.mJob, end == TaskEnd::Failed, BootClock::now());
  }
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<void> Supervision<Client, Peers, Ownership, Capacity>::StopDisowned(WatchedPtr aWatched)
{
  if (!aWatched->mState)
    co_return;
  const Epoch epoch = aWatched->mState->GetEpoch();
  const WorkerSpec spec = aWatched->mSpec;
  for (const auto& [task, attempt] : aWatched->mState->ListDisowned()) {
    TaskStop stop;
    stop.mWorker = spec.mName;
    stop.mTask = task;
    stop.mAttempt = attempt;
    if (mOwnership.MayActOnWorker(spec.mName, BootClock::now()) != epoch)
      co_return;
    [[maybe_unused]] auto done = co_await mClient.Stop(spec, stop, mSettings.mCallDeadline);
  }
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<void> Supervision<Client, Peers, Ownership, Capacity>::Report(WatchedPtr aWatched)
{
  if (!aWatched->mState) {
    aWatched->mReporting = false;
    co_return;
  }
  std::map<ProcessName, std::map<ShardIndex, TaskReports>> byShard;
  for (const TaskReport& it : aWatched->mState->ListReports(aWatched->mSpec.mName)) {
    const ShardIndex shard = ComputeShard(it.mTask.mJob, mSettings.mShards);
    if (const auto owner = mOwnership.FindShardOwner(shard))
      byShard[owner->mProcess][shard].mReports.push_back(it);
  }
  std::vector<PeerCall> calls;
  std::vector<TaskReports> sent;
  for (auto& [process, shards] : byShard)
    for (auto& [shard, reports] : shards) {
      sent.push_back(reports);
      calls.push_back({ process, std::move(reports) });
    }
  const auto replies = co_await CallAll(mPeers, std::move(calls), mSettings.mPeerDeadline);
  bool confirmed = false;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    if (!replies[i] || !aWatched->mState)
      continue;
    for (const TaskReport& it : sent[i].mReports) {
      aWatched->mState->NoteReported(it);
      confirmed = confirmed || it.mEnd != TaskEnd::Running;
    }
  }
  aWatched->mReporting = false;
  if (confirmed)
    RefreshInventory(aWatched->mSpec.mName);
}

// Requests of other processes
template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Failure Supervision<Client, Peers, Ownership, Capacity>::MakeNotOwner(
  const WorkerName& aWorker) const
{
  const auto owner = mOwnership.FindWorkerOwner(aWorker);
  return MakeFailure(FailureKind::NotOwner, owner ? owner->mProcess : std::string());
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
auto Supervision<Client, Peers, Ownership, Capacity>::FindOwned(const WorkerName& aWorker)
  -> Result<WatchedPtr>
{
  auto it = mWatched.find(aWorker);
  if (it == mWatched.end())
    return MakeNotOwner(aWorker);
  const auto epoch = mOwnership.MayActOnWorker(aWorker, BootClock::now());
  if (!epoch || !it->second->mState || it->second->mState->GetEpoch() != *epoch)
    return MakeNotOwner(aWorker);
  return it->second;
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<Result<PeerReply>> Supervision<Client, Peers, Ownership, Capacity>::Handle(FitQuery aQuery)
{
  const TimePoint now = BootClock::now();
  std::vector<WorkerView> views = mCapacity.ListViews(aQuery.mShape.mJob);
  std::erase_if(
    views, [&](const WorkerView& aIt) { return !mOwnership.MayActOnWorker(aIt.mSpec.mName, now); });
  for (WorkerView& it : views) {
    it.mExcluded = it.mExcluded || mDrained.contains(it.mSpec.mName) ||
                   mQuarantine.IsExcluded(it.mSpec.mName, now);
    it.mFailureRate = mQuarantine.GetFailureRate(it.mSpec.mName);
  }
  FitReply reply = RankWorkers(views, aQuery.mShape, aQuery.mCount);
  co_return PeerReply(std::move(reply));
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<Result<PeerReply>> Supervision<Client, Peers, Ownership, Capacity>::Handle(
  HoldRequest aRequest)
{
  const auto watched = FindOwned(aRequest.mWorker);
  if (!watched)
    co_return watched.error();
  const TimePoint now = BootClock::now();
  if (mDrained.contains(aRequest.mWorker) || mQuarantine.IsExcluded(aRequest.mWorker, now))
    co_return MakeFailure(FailureKind::CapacityFull, "the worker takes no new work");
  auto reply =
    mCapacity.With(aRequest.mWorker, [&](auto& aBook) { return aBook.Hold(aRequest, now); });
  if (!reply)
    co_return reply.error();
  co_return PeerReply(std::move(*reply));
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<Result<PeerReply>> Supervision<Client, Peers, Ownership, Capacity>::Handle(
  HoldRelease aRelease)
{
  auto done = mCapacity.With(
    aRelease.mWorker, [&](auto& aBook) { return aBook.ReleaseHold(aRelease, BootClock::now()); });
  if (!done)
    co_return done.error();
  co_return PeerReply(Done{});
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<Result<PeerReply>> Supervision<Client, Peers, Ownership, Capacity>::Handle(TaskStart aStart)
{
  auto found = FindOwned(aStart.mWorker);
  if (!found)
    co_return found.error();
  const WatchedPtr watched = std::move(*found);
  const Epoch epoch = watched->mState->GetEpoch();
  if (aStart.mEpoch != epoch)
    co_return MakeFailure(FailureKind::Fenced, "the task was assigned under another epoch");
  const TimePoint now = BootClock::now();
  const Duration within = std::min(aStart.mStartWithin, kTaskStartWithin);
  const SupervisionState::Attempt attempt{ aStart.mTask, aStart.mAttempt };
  const auto before = mCapacity.With(aStart.mWorker, [&](auto& aBook) {
    return aBook.FindStartBefore(aStart.mWorker, within, now);
  });
  if (!before)
    co_return before.error();
  if (auto begun = watched->mState->BeginStart(attempt, now + within); !begun) {
    if (begun.error().mKind != FailureKind::AlreadyExists)
      co_return begun.error();
    co_return MakeFailure(FailureKind::PeerUnknown,
                          "a start of this attempt is already in progress");
  }
  const auto reserved =
    mCapacity.With(aStart.mWorker, [&](auto& aBook) { return aBook.BeginStart(aStart, now); });
  const auto refuse = [&](Failure aFailure) {
    aFailure.mKind = FailureKind::EndpointRefused;
    if (watched->mState && watched->mState->GetEpoch() == epoch)
      watched->mState->EndStart(attempt, &aFailure, BootClock::now());
    return aFailure;
  };
  if (!reserved)
    co_return refuse(reserved.error());
  mQuarantine.BeginStart(aStart.mWorker, now);
  if (mOwnership.MayActOnWorker(aStart.mWorker, BootClock::now()) != epoch) {
    mCapacity.With(aStart.mWorker, [&](auto& aBook) {
      aBook.EndTask(aStart.mWorker, attempt.first, attempt.second);
    });
    co_return refuse(MakeNotOwner(aStart.mWorker));
  }
  watched->mState->NoteLease(now, mSettings.mLease, mSettings.mCallDeadline, true);
  const WorkerSpec spec = watched->mSpec;
  const auto done =
    co_await mClient.Start(spec, aStart, *before, mSettings.mLease, mSettings.mCallDeadline);

  if (watched->mState && watched->mState->GetEpoch() == epoch) {
    const Failure failure = done ? Failure{} : done.error();
    watched->mState->EndStart(attempt, done ? nullptr : &failure, BootClock::now());
    if (!watched->mState->GetTasks().contains(attempt))
      mCapacity.With(aStart.mWorker, [&](auto& aBook) {
        aBook.EndTask(aStart.mWorker, attempt.first, attempt.second);
      });
  }
  if (!done)
    co_return done.error();
  Log(LogPart::Task,
      LogLevel::Info,
      "started",
      { { "job", aStart.mTask.mJob },
        { "task", aStart.mTask.mIndex },
        { "attempt", aStart.mAttempt },
        { "worker", aStart.mWorker } });
  watched->mExpectedEnds.insert(BootClock::now() + aStart.mExpectedRun);
  watched->mTimer.cancel();
  co_return PeerReply(Done{});
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<Result<PeerReply>> Supervision<Client, Peers, Ownership, Capacity>::Handle(TaskStop aStop)
{
  const auto found = FindOwned(aStop.mWorker);
  if (!found)
    co_return found.error();
  const WorkerSpec spec = (*found)->mSpec;
  const auto done = co_await mClient.Stop(spec, aStop, mSettings.mCallDeadline);
  if (!done)
    co_return done.error();
  RefreshInventory(aStop.mWorker);
  co_return PeerReply(Done{});
}

template<WorkerClient Client, PeerCaller Peers, OwnershipView Ownership, CapacityAccess Capacity>
Async<Result<PeerReply>> Supervision<Client, Peers, Ownership, Capacity>::Handle(TaskQuery aQuery)
{
  const auto found = FindOwned(aQuery.mWorker);
  if (!found)
    co_return found.error();
  auto reports = (*found)->mState->Answer(aQuery, BootClock::now());
  if (!reports)
    co_return reports.error();
  co_return PeerReply(std::move(*reports));
}

}  // namespace monsoon
