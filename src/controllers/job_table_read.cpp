// JobTable: reading, snapshots and the check of invariants.
#include <algorithm>
#include <cassert>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>

#include "controllers/job_table.h"
#include "controllers/job_table_machine.h"
#include "core/serialize.h"

namespace monsoon {

template<class Archive>
void serialize(Archive& aArchive, RetiringAttempt& aValue)
{
  aArchive(aValue.mAttempt, aValue.mWorker, aValue.mEpoch, aValue.mNeed);
}

namespace {

constexpr std::uint8_t kSnapshotVersion = 1;

// The journaled part of mCount consecutive equal tasks; most tasks of a job are equal.
struct StoredTask
{
  std::uint32_t mCount = 0;
  TaskState mState = TaskState::Waiting;
  std::uint32_t mAttempt = 0;
  std::uint32_t mLastAttempt = 0;
  std::uint32_t mFailures = 0;
  WorkerName mWorker{};
  Epoch mEpoch = 0;
  Resources mNeed{};
  std::vector<WorkerName> mFailedOn{};
  RetiringAttempt mRetiring{};
};

struct StoredJob
{
  JobSpec mSpec{};
  bool mCancelled = false;
  std::string mReason{};
  Sequence mAt = 0;
  std::vector<StoredTask> mTasks{};
};

template<class Archive>
void serialize(Archive& aArchive, StoredTask& aValue)
{
  aArchive(aValue.mCount, aValue.mState, aValue.mAttempt, aValue.mLastAttempt, aValue.mFailures);
  aArchive(aValue.mWorker, aValue.mEpoch, aValue.mNeed, aValue.mFailedOn, aValue.mRetiring);
}

template<class Archive>
void serialize(Archive& aArchive, StoredJob& aValue)
{
  aArchive(aValue.mSpec, aValue.mCancelled, aValue.mReason, aValue.mAt, aValue.mTasks);
}

// Confirmations are not journaled, so a snapshot stores running tasks as assigned.
StoredTask Store(const TaskRecord& aTask)
{
  StoredTask stored;
  stored.mCount = 1;
  const bool confirmed = aTask.mState == TaskState::Running;
  stored.mState = confirmed ? TaskState::Assigned : aTask.mState;
  stored.mAttempt = aTask.mAttempt;
  stored.mLastAttempt = aTask.mLastAttempt;
  stored.mFailures = aTask.mFailures;
  if (IsFinal(aTask.mState))
    return stored;
  stored.mWorker = aTask.mWorker;
  stored.mEpoch = aTask.mEpoch;
  stored.mNeed = aTask.mNeed;
  stored.mFailedOn = aTask.mFailedOn;
  stored.mRetiring = aTask.mRetiring;
  return stored;
}

bool IsSame(const StoredTask& aLeft, const StoredTask& aRight)
{
  return aLeft.mState == aRight.mState && aLeft.mAttempt == aRight.mAttempt &&
         aLeft.mLastAttempt == aRight.mLastAttempt && aLeft.mFailures == aRight.mFailures &&
         aLeft.mWorker == aRight.mWorker && aLeft.mEpoch == aRight.mEpoch &&
         aLeft.mNeed == aRight.mNeed && aLeft.mFailedOn == aRight.mFailedOn &&
         aLeft.mRetiring.mAttempt == 0 && aRight.mRetiring.mAttempt == 0;
}

StoredJob Store(const JobRecord& aJob)
{
  StoredJob stored{ aJob.mSpec, aJob.mCancelled, aJob.mReason, aJob.mAt, {} };
  for (const TaskRecord& task : aJob.mTasks) {
    StoredTask next = Store(task);
    if (!stored.mTasks.empty() && IsSame(stored.mTasks.back(), next))
      ++stored.mTasks.back().mCount;
    else
      stored.mTasks.push_back(std::move(next));
  }
  return stored;
}

TaskRecord Load(const StoredTask& aStored)
{
  TaskRecord task;
  task.mState = aStored.mState;
  task.mAttempt = aStored.mAttempt;
  task.mLastAttempt = aStored.mLastAttempt;
  task.mFailures = aStored.mFailures;
  task.mWorker = aStored.mWorker;
  task.mEpoch = aStored.mEpoch;
  task.mNeed = aStored.mNeed;
  task.mFailedOn = aStored.mFailedOn;
  task.mRetiring = aStored.mRetiring;
  return task;
}

}  // namespace

std::string JobTable::MakeSnapshot() const
{
  std::ostringstream buf;
  cereal::PortableBinaryOutputArchive archive(buf);
  archive(kSnapshotVersion, static_cast<std::uint32_t>(mJobs.size()));
  for (const auto& [id, job] : mJobs)
    archive(Store(job));
  return std::move(buf).str();
}

Result<void> JobTable::Restore(std::string_view aSnapshot, TimePoint aNow)
{
  Clear();
  std::istringstream buf{ std::string(aSnapshot) };
  try {
    cereal::PortableBinaryInputArchive archive(buf);
    std::uint8_t version = 0;
    std::uint32_t n = 0;
    archive(version, n);
    if (version != kSnapshotVersion)
      return MakeFailure(FailureKind::CorruptEntry, "unknown version of a job snapshot");
    for (; n > 0; --n) {
      StoredJob stored;
      archive(stored);
      JobRecord& job = mJobs[stored.mSpec.mId];
      job.mSpec = stored.mSpec;
      job.mCancelled = stored.mCancelled;
      job.mReason = stored.mReason;
      job.mAt = stored.mAt;
      job.mSince = aNow;
      for (const StoredTask& it : stored.mTasks)
        job.mTasks.insert(job.mTasks.end(), it.mCount, Load(it));
      IndexLoadedJob(job);
    }
  } catch (const std::exception& error) {
    Clear();
    return MakeFailure(FailureKind::CorruptEntry, error.what());
  }
  return {};
}

// Adds a loaded job to the ledger and the indices; a finished job by its last change.
void JobTable::IndexLoadedJob(JobRecord& aJob)
{
  for (const TaskRecord& task : aJob.mTasks) {
    if (task.mState == TaskState::Assigned)
      mLedger.Add(aJob.mSpec.mTeam, task.mNeed);
    if (task.mRetiring.mAttempt != 0)
      mLedger.Add(aJob.mSpec.mTeam, task.mRetiring.mNeed);
  }
  mAt = aJob.mAt;
  mActiveJobs.insert(aJob.mSpec.mId);
  Recount(aJob);
}

void JobTable::Clear()
{
  mJobs.clear();
  mWaitingJobs.clear();
  mActiveJobs.clear();
  mFinished.clear();
  mFinishedCount = 0;
  mLedger = {};
  mBlocked.reset();
}

const JobRecord* JobTable::Find(const JobId& aJob) const
{
  auto it = mJobs.find(aJob);
  return it == mJobs.end() ? nullptr : &it->second;
}

bool JobTable::IsCurrent(const TaskKey& aTask, std::uint32_t aAttempt) const
{
  const JobRecord* job = Find(aTask.mJob);
  if (!job || aTask.mIndex >= job->mTasks.size())
    return false;
  const TaskRecord& task = job->mTasks[aTask.mIndex];
  if (task.mRetiring.mAttempt != 0 && task.mRetiring.mAttempt == aAttempt)
    return true;
  return task.mAttempt == aAttempt &&
         (task.mState == TaskState::Assigned || task.mState == TaskState::Running);
}

std::optional<JobStatus> JobTable::GetStatus(const JobId& aJob) const
{
  const JobRecord* job = Find(aJob);
  if (!job)
    return std::nullopt;
  JobStatus status;
  status.mSpec = job->mSpec;
  status.mReason = job->mReason;
  status.mAt = job->mAt;
  for (std::uint32_t i = 0; i < job->mTasks.size(); ++i) {
    const TaskRecord& task = job->mTasks[i];
    status.mTasks.push_back({ i, task.mState, task.mAttempt, task.mWorker });
  }
  return status;
}

JobStatuses JobTable::ListJobs(std::uint32_t aLimit) const
{
  std::vector<const JobRecord*> jobs;
  for (const auto& [id, job] : mJobs)
    jobs.push_back(&job);
  std::ranges::sort(jobs, std::ranges::greater(), &JobRecord::mAt);
  JobStatuses statuses;
  for (const JobRecord* job : jobs) {
    if (statuses.mJobs.size() >= aLimit)
      break;
    statuses.mJobs.push_back(*GetStatus(job->mSpec.mId));
  }
  return statuses;
}

bool JobTable::IsDone(const JobId& aJob) const
{
  const JobRecord* job = Find(aJob);
  return job && job->mOpen == 0;
}

void JobTable::CheckInvariants() const
{
  std::map<TeamName, Resources> used;
  for (const auto& [id, job] : mJobs) {
    for (const TaskRecord& task : job.mTasks) {
      const bool holds = task.mState == TaskState::Assigned || task.mState == TaskState::Running;
      if (holds)
        used[job.mSpec.mTeam] = Add(used[job.mSpec.mTeam], task.mNeed);
      if (task.mRetiring.mAttempt != 0)
        used[job.mSpec.mTeam] = Add(used[job.mSpec.mTeam], task.mRetiring.mNeed);
      assert((!holds || task.mAttempt > 0) && "a task holds a worker without an attempt");
      assert((!job.mCancelled || task.mState != TaskState::Waiting) &&
             "a task of a cancelled job waits");
    }
    assert(mActiveJobs.contains(id) == (job.mOpen > 0) && "the index of open jobs is stale");
    assert(mWaitingJobs.contains(id) == (job.mWaiting > 0) && "the index of waiting jobs is stale");
  }
  for (const auto& [team, sum] : used)
    assert(mLedger.GetUsed(team) == sum && "the ledger's use of the team differs from its tasks");
}

}  // namespace monsoon
