// Implementation of JobsController: events, shards, commits. Included by controllers/jobs.h only.
#pragma once

#include <algorithm>

namespace monsoon {

inline constexpr std::size_t kMaxBatchBytes = 256 * 1024;  // target size of one journal value
inline constexpr std::size_t kMaxStopsPerRound = 512;
inline constexpr Duration kTakeoverRetryInterval = milliseconds(500);

#define MONSOON_JOBS_TEMPLATE                                                                      \
  template<JournalLike Journal, PeerCaller Peers, OwnershipView Ownership, ConfigurationView Config>
#define MONSOON_JOBS JobsController<Journal, Peers, Ownership, Config>

MONSOON_JOBS_TEMPLATE
MONSOON_JOBS::JobsController(asio::any_io_executor aExecutor,
                             JournalFactory aMakeJournal,
                             Peers& aPeers,
                             const Ownership& aOwnership,
                             const Config& aConfig,
                             JobsSettings aSettings)
  : mExecutor(std::move(aExecutor))
  , mMakeJournal(std::move(aMakeJournal))
  , mPeers(aPeers)
  , mOwnership(aOwnership)
  , mConfig(aConfig)
  , mSettings(std::move(aSettings))
{
  for (ShardIndex i = 0; i < mSettings.mShards; ++i)
    mShards.push_back(std::make_shared<Shard>(mExecutor, i));
}

// Events
MONSOON_JOBS_TEMPLATE
void MONSOON_JOBS::Start()
{
  for (const ShardPtr& shard : mShards)
    asio::co_spawn(mExecutor, RunShard(shard), asio::detached);
}

MONSOON_JOBS_TEMPLATE
void MONSOON_JOBS::Stop()
{
  mStopped = true;
  Wake();
}

MONSOON_JOBS_TEMPLATE
void MONSOON_JOBS::Wake()
{
  for (const ShardPtr& shard : mShards)
    WakeShard(*shard);
}

MONSOON_JOBS_TEMPLATE
void MONSOON_JOBS::OnFleetChanged(std::set<WorkerName> aLeaving)
{
  mLeaving = std::move(aLeaving);
  for (const ShardPtr& shard : mShards) {
    shard->mTable.OnFleetChanged();
    shard->mFleetChanged = true;
  }
  Wake();
}

MONSOON_JOBS_TEMPLATE
void MONSOON_JOBS::WakeShard(Shard& aShard)
{
  aShard.mWakeRequested = true;
  aShard.mTimer.cancel();
}

// Shards
MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::RunShard(ShardPtr aShard)
{
  while (!mStopped) {
    aShard->mWakeRequested = false;
    Duration pause = mSettings.mFallbackInterval;
    const auto epoch = mOwnership.MayActOnShard(aShard->mIndex, BootClock::now());
    if (!epoch) {
      const auto owner = mOwnership.FindShardOwner(aShard->mIndex);
      if (aShard->mReady && (!owner || owner->mProcess != mSettings.mSelf))
        DropShard(*aShard);
    } else if (!aShard->mReady || aShard->mEpoch != *epoch) {
      DropShard(*aShard);
      const bool done = co_await TakeOver(aShard, *epoch);
      pause = done ? Duration::zero() : kTakeoverRetryInterval;
    } else {
      co_await RunRound(aShard);
    }
    if (aShard->mWakeRequested || mStopped)
      continue;
    aShard->mTimer.expires_after(pause);
    [[maybe_unused]] auto [ec] = co_await aShard->mTimer.async_wait(kNoThrow);
  }
}

MONSOON_JOBS_TEMPLATE
void MONSOON_JOBS::DropShard(Shard& aShard)
{
  aShard.mReady = false;
  aShard.mEpoch = 0;
  aShard.mTable.Clear();
  for (const auto& [job, timer] : aShard.mWaiters)
    timer->cancel();
}

// Replays the journal and appends a fence entry, after which every append of the previous owner
// fails. The shard decides nothing until the fence is committed.
MONSOON_JOBS_TEMPLATE
Async<bool> MONSOON_JOBS::TakeOver(ShardPtr aShard, Epoch aEpoch)
{
  if (aShard->mWriting)
    co_return false;
  aShard->mJournal = mMakeJournal(aShard->mIndex);
  auto state = co_await aShard->mJournal->Replay();
  if (!state || !state->mCorrupt.empty())
    co_return false;
  const TimePoint now = BootClock::now();
  aShard->mTable.Clear();
  if (state->mSnapshotAt != 0 && !aShard->mTable.Restore(state->mSnapshot, now))
    co_return false;
  for (const JournalEntry& it : state->mEntries) {
    const auto entries = DecodeEntries(it.mBytes);
    if (!entries)
      co_return false;
    for (const JobEntry& entry : *entries)
      [[maybe_unused]] const auto effect = aShard->mTable.Apply(entry, it.mSequence, now);
  }
  const std::vector<JobEntry> fence{ ShardFenced{ mSettings.mSelf } };
  const auto appended = co_await aShard->mJournal->Append(EncodeEntries(fence));
  if (!appended)
    co_return false;
  aShard->mSinceSnapshot = static_cast<std::uint32_t>(state->mEntries.size());
  aShard->mEpoch = aEpoch;
  aShard->mReady = true;
  aShard->mTable.QueryAllNow();
  co_return true;
}

MONSOON_JOBS_TEMPLATE
PlanContext MONSOON_JOBS::MakeContext() const
{
  PlanContext context;
  context.mNow = BootClock::now();
  context.mMaxTasks = mSettings.mMaxTasksPerRound;
  context.mLeaving = mLeaving;
  if (const auto configuration = mConfig.GetConfiguration()) {
    context.mQuotas = configuration->mTeams;
    for (const auto& [worker, drained] : configuration->mDrained)
      if (drained)
        context.mLeaving.insert(worker);
  }
  return context;
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::RunRound(ShardPtr aShard)
{
  if (aShard->mFleetChanged) {
    aShard->mFleetChanged = false;
    co_await ReleaseHeldJobs(aShard);
  }
  if (!aShard->mReady)
    co_return;
  const PlanContext context = MakeContext();
  // Stops are sent first: after many cancellations they free the capacity that placements need.
  auto stops = aShard->mTable.ListStops(context.mNow, kMaxStopsPerRound);
  if (!stops.empty())
    asio::co_spawn(mExecutor, SendStops(aShard, std::move(stops)), asio::detached);
  auto queries = aShard->mTable.ListQueries(context.mNow);
  if (!queries.empty())
    asio::co_spawn(mExecutor, SendQueries(aShard, std::move(queries)), asio::detached);
  if (aShard->mPlacements >= mSettings.mMaxPlacements)
    co_return;
  for (PlannedGroup& it : aShard->mTable.PlanNext(context)) {
    ++aShard->mPlacements;
    asio::co_spawn(mExecutor, Place(aShard, std::move(it)), asio::detached);
  }
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::ReleaseHeldJobs(ShardPtr aShard)
{
  std::vector<JobEntry> entries;
  for (const JobId& it : aShard->mTable.ListHeld())
    entries.emplace_back(JobHeld{ it, false, "the fleet has changed" });
  if (!entries.empty())
    co_await Commit(aShard, std::move(entries));
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::SendStops(ShardPtr aShard, std::vector<TaskStop> aStops)
{
  std::vector<PeerCall> calls;
  for (const TaskStop& it : aStops)
    calls.push_back({ FindOwner(it.mWorker), it });
  const auto replies = co_await CallAll(mPeers, std::move(calls), mSettings.mPeerDeadline);
  if (std::ranges::any_of(replies, [](const auto& aIt) { return aIt.has_value(); }))
    WakeShard(*aShard);
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::SendQueries(ShardPtr aShard, std::vector<TaskQuery> aQueries)
{
  const Epoch epoch = aShard->mEpoch;
  std::vector<PeerCall> calls;
  for (const TaskQuery& it : aQueries)
    calls.push_back({ FindOwner(it.mWorker), it });
  auto replies = co_await CallAll(mPeers, std::move(calls), mSettings.mPeerDeadline);
  std::vector<TaskReport> reports;
  for (auto& reply : replies) {
    if (!reply || !std::holds_alternative<TaskReports>(*reply))
      continue;
    auto& some = std::get<TaskReports>(*reply).mReports;
    reports.insert(reports.end(), some.begin(), some.end());
  }
  if (!reports.empty() && IsActing(*aShard, epoch))
    co_await ApplyReports(aShard, std::move(reports));
}

MONSOON_JOBS_TEMPLATE
Async<Result<void>> MONSOON_JOBS::ApplyReports(ShardPtr aShard, std::vector<TaskReport> aReports)
{
  const TimePoint now = BootClock::now();
  std::vector<JobEntry> entries;
  std::vector<TaskStop> stops;
  for (const TaskReport& it : aReports) {
    if (it.mEnd == TaskEnd::Running) {
      if (!aShard->mTable.ConfirmRunning(it.mTask, it.mAttempt, now))
        stops.push_back({ it.mWorker, it.mTask, it.mAttempt, TaskStopMode::Stop });
    } else if (auto ended = aShard->mTable.DecideEnd(it)) {
      entries.emplace_back(std::move(*ended));
    }
  }
  if (!stops.empty())
    asio::co_spawn(mExecutor, SendStops(aShard, std::move(stops)), asio::detached);
  if (entries.empty())
    co_return Result<void>();
  const CommitPtr commit = co_await Commit(aShard, std::move(entries));
  if (commit->mFailure)
    co_return *commit->mFailure;
  aShard->mTable.OnCapacityFreed();
  WakeShard(*aShard);
  co_return Result<void>();
}

// Commits
// Appends the entries to the journal and then applies them to the table. The table never changes
// before the journal, so a failed append needs no rollback.
MONSOON_JOBS_TEMPLATE
Async<CommitPtr> MONSOON_JOBS::Commit(ShardPtr aShard, std::vector<JobEntry> aEntries)
{
  auto commit = std::make_shared<PendingCommit>(mExecutor, std::move(aEntries));
  aShard->mQueue.push_back(commit);
  if (!aShard->mWriting) {
    aShard->mWriting = true;
    asio::co_spawn(mExecutor, Write(aShard), asio::detached);
  }
  while (!commit->mFinished) {
    [[maybe_unused]] auto [ec] = co_await commit->mDone.async_wait(kNoThrow);
  }
  co_return commit;
}

// Writes queued commits; each shard has one writer. Commits that arrive during an append go into
// the next one (group commit).
MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::Write(ShardPtr aShard)
{
  while (!aShard->mQueue.empty())
    co_await WriteBatch(aShard);
  if (aShard->mReady && aShard->mSinceSnapshot >= mSettings.mSnapshotInterval)
    co_await WriteSnapshot(aShard);
  aShard->mWriting = false;
  // Commits that were queued during the snapshot saw mWriting set and did not start a writer.
  if (!aShard->mQueue.empty()) {
    aShard->mWriting = true;
    asio::co_spawn(mExecutor, Write(aShard), asio::detached);
  }
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::WriteBatch(ShardPtr aShard)
{
  std::vector<CommitPtr> batch;
  std::vector<JobEntry> entries;
  std::size_t bytes = 0;
  while (!aShard->mQueue.empty() && (batch.empty() || bytes < kMaxBatchBytes)) {
    batch.push_back(aShard->mQueue.front());
    aShard->mQueue.erase(aShard->mQueue.begin());
    bytes += EncodeEntries(batch.back()->mEntries).size();
    entries.insert(entries.end(), batch.back()->mEntries.begin(), batch.back()->mEntries.end());
  }
  const Epoch epoch = aShard->mEpoch;
  Result<Sequence> at = MakeFailure(FailureKind::NotOwner, "this process does not own the shard");
  if (IsActing(*aShard, epoch))
    at = co_await aShard->mJournal->Append(EncodeEntries(entries));
  if (at && (!aShard->mReady || aShard->mEpoch != epoch))
    at =
      MakeFailure(FailureKind::WriteUnknown, "ownership of the shard was lost during the append");
  // The journal may hold entries that this table lacks: the shard must replay it before it acts.
  if (!at &&
      (at.error().mKind == FailureKind::Fenced || at.error().mKind == FailureKind::WriteUnknown) &&
      aShard->mEpoch == epoch)
    aShard->mReady = false;
  const TimePoint now = BootClock::now();
  for (const CommitPtr& commit : batch) {
    if (!at)
      commit->mFailure = at.error();
    else
      for (const JobEntry& it : commit->mEntries)
        commit->mEffects.push_back(aShard->mTable.Apply(it, *at, now));
    commit->mFinished = true;
    commit->mDone.cancel();
  }
  if (at)
    ++aShard->mSinceSnapshot;
  WakeWaiters(*aShard);
  WakeShard(*aShard);
}

MONSOON_JOBS_TEMPLATE
Async<void> MONSOON_JOBS::WriteSnapshot(ShardPtr aShard)
{
  aShard->mSinceSnapshot = 0;
  const Sequence head = aShard->mJournal->GetHead();
  [[maybe_unused]] const auto done =
    co_await aShard->mJournal->WriteSnapshot(head, aShard->mTable.MakeSnapshot());
}

MONSOON_JOBS_TEMPLATE
void MONSOON_JOBS::WakeWaiters(Shard& aShard)
{
  for (const auto& [job, timer] : aShard.mWaiters)
    if (aShard.mTable.IsDone(job))
      timer->cancel();
}

}  // namespace monsoon

#include "controllers/jobs_requests_impl.h"
