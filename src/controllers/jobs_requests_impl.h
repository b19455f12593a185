// Implementation of JobsController: requests. Included by controllers/jobs_impl.h only.
#pragma once

namespace monsoon {

MONSOON_JOBS_TEMPLATE
auto MONSOON_JOBS::FindActingShard(ShardIndex aShard) -> Result<ShardPtr>
{
  if (aShard >= mShards.size())
    return MakeFailure(FailureKind::BadInput, "the job shard does not exist");
  const ShardPtr& shard = mShards[aShard];
  const auto epoch = mOwnership.MayActOnShard(aShard, BootClock::now());
  if (!epoch) {
    const auto owner = mOwnership.FindShardOwner(aShard);
    return MakeFailure(FailureKind::NotOwner, owner ? owner->mProcess : std::string());
  }
  if (!IsActing(*shard, *epoch))
    return MakeFailure(FailureKind::NotReady, "the shard is being taken over");
  return shard;
}

MONSOON_JOBS_TEMPLATE
bool MONSOON_JOBS::IsActing(const Shard& aShard, Epoch aEpoch) const
{
  return aShard.mReady && aShard.mEpoch == aEpoch &&
         mOwnership.MayActOnShard(aShard.mIndex, BootClock::now()) == aEpoch;
}

MONSOON_JOBS_TEMPLATE
Async<Result<PeerReply>> MONSOON_JOBS::MakeStatus(ShardPtr aShard, JobId aJob)
{
  auto status = aShard->mTable.GetStatus(aJob);
  if (!status)
    co_return MakeFailure(FailureKind::NotFound, aJob);
  co_return PeerReply(std::move(*status));
}

MONSOON_JOBS_TEMPLATE
Async<Result<PeerReply>> MONSOON_JOBS::Handle(JobSubmit aRequest)
{
  const auto shard = FindActingShard(ComputeShard(aRequest.mSpec.mId, mSettings.mShards));
  if (!shard)
    co_return shard.error();
  const JobId id = aRequest.mSpec.mId;
  // A repeated submission needs no journal entry.
  if (const JobRecord* job = (*shard)->mTable.Find(id)) {
    if (!AreSame(job->mSpec, aRequest.mSpec))
      co_return MakeFailure(FailureKind::Conflict,
                            "job " + id + " exists with another specification");
    co_return co_await MakeStatus(*shard, id);
  }
  std::vector<JobEntry> entries;
  entries.emplace_back(JobSubmitted{ std::move(aRequest.mSpec) });
  const CommitPtr commit = co_await Commit(*shard, std::move(entries));
  if (commit->mFailure)
    co_return *commit->mFailure;
  const Result<void>& effect = commit->mEffects.front();
  if (!effect && effect.error().mKind != FailureKind::AlreadyExists)
    co_return effect.error();
  co_return co_await MakeStatus(*shard, id);
}

MONSOON_JOBS_TEMPLATE
Async<Result<PeerReply>> MONSOON_JOBS::Handle(JobCancel aRequest)
{
  const auto shard = FindActingShard(ComputeShard(aRequest.mId, mSettings.mShards));
  if (!shard)
    co_return shard.error();
  const JobRecord* job = (*shard)->mTable.Find(aRequest.mId);
  if (!job)
    co_return MakeFailure(FailureKind::NotFound, aRequest.mId);
  if (job->mCancelled || job->mOpen == 0)
    co_return co_await MakeStatus(*shard, aRequest.mId);
  std::vector<JobEntry> entries;
  entries.emplace_back(JobCancelled{ aRequest.mId });
  const CommitPtr commit = co_await Commit(*shard, std::move(entries));
  if (commit->mFailure)
    co_return *commit->mFailure;
  co_return co_await MakeStatus(*shard, aRequest.mId);
}

MONSOON_JOBS_TEMPLATE
Async<Result<PeerReply>> MONSOON_JOBS::Handle(JobQuery aRequest)
{
  auto found = FindActingShard(ComputeShard(aRequest.mId, mSettings.mShards));
  if (!found)
    co_return found.error();
  const ShardPtr shard = std::move(*found);
  if (!shard->mTable.Find(aRequest.mId))
    co_return MakeFailure(FailureKind::NotFound, aRequest.mId);
  if (aRequest.mWaitUntilDone > Duration::zero() && !shard->mTable.IsDone(aRequest.mId)) {
    asio::steady_timer timer(mExecutor, aRequest.mWaitUntilDone);
    const auto waiter = shard->mWaiters.emplace(aRequest.mId, &timer);
    [[maybe_unused]] auto [ec] = co_await timer.async_wait(kNoThrow);
    shard->mWaiters.erase(waiter);
    if (!shard->mReady)
      co_return MakeFailure(FailureKind::NotOwner, "the shard moved during the wait");
  }
  co_return co_await MakeStatus(shard, aRequest.mId);
}

MONSOON_JOBS_TEMPLATE
Async<Result<PeerReply>> MONSOON_JOBS::Handle(JobList aRequest)
{
  const auto shard = FindActingShard(aRequest.mShard);
  if (!shard)
    co_return shard.error();
  JobStatuses statuses = (*shard)->mTable.ListJobs(aRequest.mLimit);
  co_return PeerReply(std::move(statuses));
}

MONSOON_JOBS_TEMPLATE
Async<Result<PeerReply>> MONSOON_JOBS::Handle(TaskReports aRequest)
{
  std::map<ShardIndex, std::vector<TaskReport>> byShard;
  for (TaskReport& it : aRequest.mReports)
    byShard[ComputeShard(it.mTask.mJob, mSettings.mShards)].push_back(std::move(it));
  for (auto& [index, reports] : byShard) {
    const auto shard = FindActingShard(index);
    if (!shard)
      co_return shard.error();
    const auto done = co_await ApplyReports(*shard, std::move(reports));
    if (!done)
      co_return done.error();
  }
  co_return PeerReply(Done{});
}

}  // namespace monsoon
