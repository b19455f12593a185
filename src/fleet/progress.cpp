// Scheduler: the stored form of a job's progress, from which a later holder learns which tasks are
// done and must not start again.
#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

#include "fleet/scheduler.h"
#include "observe/log.h"

namespace monsoon::fleet {

namespace {

constexpr std::size_t kEntriesPerEndedJob = 1;  // in a transaction; it is the last write of the job
constexpr std::size_t kEntriesPerRunningJob = 2;  // the write and its precondition
constexpr std::size_t kRunningShare = 3;          // a third of a batch is kept for running jobs

struct StageRecord
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStage = 0;
  std::vector<std::uint32_t> mDone{};                                  // task indexes
  std::vector<std::pair<std::uint32_t, std::uint64_t>> mFailedRuns{};  // task index, run number
  std::vector<std::uint64_t> mFailedGangRuns{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOccurrence, mStage, mDone, mFailedRuns, mFailedGangRuns);
  }
};

struct CrashRecord
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStage = 0;
  std::uint32_t mIndex = 0;
  std::uint64_t mRun = 0;
  bool mSoon = false;
  bool mAlone = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOccurrence, mStage, mIndex, mRun, mSoon, mAlone);
  }
};

struct JobRecord
{
  std::uint8_t mState = 0;
  std::vector<StageRecord> mStages{};
  std::vector<CrashRecord> mCrashes{};  // stored behind the record; earlier builds stored none

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mState, mStages);
  }
};

std::optional<JobRecord> ReadRecord(std::string_view aBytes)
{
  std::istringstream in{ std::string(aBytes) };
  JobRecord record;
  try {
    cereal::BinaryInputArchive archive(in);
    archive(record);
    if (in.peek() != std::istringstream::traits_type::eof())
      archive(record.mCrashes);
  } catch (const cereal::Exception& error) {
    Log(LogPart::Store,
        LogLevel::Error,
        "a stored progress record can't be read",
        { { "what", error.what() }, { "bytes", aBytes.size() } });
    return std::nullopt;
  }
  if (record.mState > static_cast<std::uint8_t>(JobState::Cancelled))
    return std::nullopt;
  return record;
}

}  // namespace

std::string Scheduler::EncodeProgress(const Job& aJob) const
{
  JobRecord record;
  record.mState = static_cast<std::uint8_t>(aJob.mState);
  for (std::uint32_t k = 0; k < aJob.mOccurrences.size() && !IsOver(aJob.mState); ++k) {
    const Occurrence& occurrence = aJob.mOccurrences[k];
    for (std::uint32_t n = 0; n < occurrence.mStages.size(); ++n) {
      const StageRun& stage = occurrence.mStages[n];
      StageRecord it;
      it.mOccurrence = k;
      it.mStage = n;
      for (std::uint32_t index = 0; index < stage.mTasks.size(); ++index) {
        if (stage.mTasks[index].mDone)
          it.mDone.push_back(index);
        for (const std::uint64_t run : stage.mTasks[index].mFailedRuns)
          it.mFailedRuns.emplace_back(index, run);
        for (const WorkerCrash& crash : stage.mTasks[index].mCrashes)
          record.mCrashes.push_back({ k, n, index, crash.mRun, crash.mSoon, crash.mAlone });
      }
      it.mFailedGangRuns.assign(stage.mFailedGangRuns.begin(), stage.mFailedGangRuns.end());
      if (!it.mDone.empty() || !it.mFailedRuns.empty())
        record.mStages.push_back(std::move(it));
    }
  }
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(record, record.mCrashes);
  return out.str();
}

void Scheduler::DecodeProgress(Job& aJob, std::string_view aBytes, TimePoint aNow)
{
  auto record = ReadRecord(aBytes);
  if (!record)
    return;
  aJob.mState = static_cast<JobState>(record->mState);
  for (const StageRecord& it : record->mStages) {
    if (it.mOccurrence >= aJob.mOccurrences.size() || it.mStage >= aJob.mSpec.mStages.size())
      continue;
    Occurrence& occurrence = aJob.mOccurrences[it.mOccurrence];
    if (!occurrence.mStarted)
      MakeOccurrence(aJob, it.mOccurrence, aNow);
    StageRun& stage = occurrence.mStages[it.mStage];
    for (const std::uint32_t index : it.mDone) {
      if (index >= stage.mTasks.size() || stage.mTasks[index].mDone)
        continue;
      stage.mTasks[index].mDone = true;
      ++stage.mDone;
      --stage.mWaiting;
    }
    for (const auto& [index, run] : it.mFailedRuns)
      if (index < stage.mTasks.size())
        stage.mTasks[index].mFailedRuns.insert(run);
    stage.mFailedGangRuns.insert(it.mFailedGangRuns.begin(), it.mFailedGangRuns.end());
  }
  for (const CrashRecord& it : record->mCrashes) {
    if (it.mOccurrence >= aJob.mOccurrences.size() || it.mStage >= aJob.mSpec.mStages.size() ||
        it.mIndex >= aJob.mSpec.mStages[it.mStage].mCount)
      continue;
    Occurrence& occurrence = aJob.mOccurrences[it.mOccurrence];
    if (!occurrence.mStarted)
      MakeOccurrence(aJob, it.mOccurrence, aNow);
    occurrence.mStages[it.mStage].mTasks[it.mIndex].mCrashes.push_back(
      { it.mRun, it.mSoon, it.mAlone });
  }
}

std::optional<JobState> Scheduler::ReadState(std::string_view aProgress)
{
  auto record = ReadRecord(aProgress);
  if (!record)
    return std::nullopt;
  return static_cast<JobState>(record->mState);
}

void Scheduler::AddUnstoredEnd(Worker& aWorker, const EndedTask& aRow)
{
  UnstoredEnd end{ .mNumber = aRow.mNumber, .mTask = aRow.mTask, .mKind = aRow.mKind };
  if (TaskRef ref; ParseTask(aRow.mTask, ref)) {
    const Job* job = FindJob(ref.mJob);
    end.mChange = job ? job->mChanges : 0;
    end.mJob = std::move(ref.mJob);
  }
  aWorker.mUnstoredEnds.push_back(std::move(end));
}

// Returns whether the effect of an end is in a batch that was not lost, or it has none.
bool Scheduler::IsCollected(const Worker& aWorker, const UnstoredEnd& aEnd) const
{
  const bool isOrphan = std::any_of(aWorker.mOrphanEnds.begin(),
                                    aWorker.mOrphanEnds.end(),
                                    [&](const auto& aItem) { return aEnd.IsOf(aItem.second); });
  if (isOrphan)
    return false;
  const Job* job = FindJob(aEnd.mJob);
  return !job || job->mCollectedChanges >= aEnd.mChange;
}

// Returns whether the end changes the stored progress of its job, as far as the job is known.
bool Scheduler::HasStoredEffect(const UnstoredEnd& aEnd) const
{
  if (aEnd.mKind != EndKind::Done && aEnd.mKind != EndKind::Failed)
    return false;
  const Job* job = FindJob(aEnd.mJob);
  TaskRef ref;
  return !job || !ParseTask(aEnd.mTask, ref) || ref.mStage >= job->mSpec.mStages.size() ||
         !job->mSpec.mStages[ref.mStage].mLongRunning;
}

std::vector<std::string> Scheduler::ListUnsettledTasks(const Worker& aWorker) const
{
  std::vector<std::string> tasks;
  for (const Run& it : aWorker.mRuns)
    tasks.push_back(it.mTask);
  for (const UnstoredEnd& it : aWorker.mUnstoredEnds)
    if (HasStoredEffect(it))
      tasks.push_back(it.mTask);
  return tasks;
}

// Adds jobs that have ended, or others, to a batch until it takes aMaxEntries.
void Scheduler::CollectDirty(bool aEnded, std::size_t aMaxEntries, ProgressBatch& aBatch)
{
  const std::size_t cost = aEnded ? kEntriesPerEndedJob : kEntriesPerRunningJob;
  std::deque<std::string>& dirty = aEnded ? mDirtyEnded : mDirtyRunning;
  for (; !dirty.empty(); dirty.pop_front()) {
    Job* job = FindJobMutable(dirty.front());
    if (!job || !job->mDirty || IsOver(job->mState) != aEnded)
      continue;
    if (aBatch.mEntries + cost > aMaxEntries)
      return;
    aBatch.mEntries += cost;
    job->mDirty = false;
    job->mCollectedChanges = job->mChanges;
    --mDirtyCount;
    aBatch.mJobs.push_back({ dirty.front(), EncodeProgress(*job), job->mState });
  }
}

// Adds the ends that may be acknowledged once a batch is stored: those whose effects, and the
// effects of all ends before them on their worker, are in it or in earlier ones.
void Scheduler::CollectEnds(ProgressBatch& aBatch, TimePoint aNow)
{
  mHasNewEnds = false;
  for (auto& item : mWorkers) {
    Worker& worker = item.second;
    std::erase_if(worker.mOrphanEnds,
                  [&](const auto& aItem) { return IsOrphan(aItem.first, aNow); });
    const auto first =
      std::find_if_not(worker.mUnstoredEnds.begin(),
                       worker.mUnstoredEnds.end(),
                       [&](const UnstoredEnd& aItem) { return IsCollected(worker, aItem); });
    if (first != worker.mUnstoredEnds.begin())
      aBatch.mEnds.push_back({ item.first, worker.mBornMs, std::prev(first)->mNumber });
    mHasNewEnds = mHasNewEnds || first != worker.mUnstoredEnds.end();
  }
}

ProgressBatch Scheduler::CollectProgress(std::size_t aMaxEntries, TimePoint aNow)
{
  ProgressBatch batch;
  // Ended jobs come first, because callers wait for them and one transaction may not hold them all.
  // A part is left to the others: until they are stored, workers list their ends in each report.
  const std::size_t reserved = mDirtyRunning.empty() ? 0 : aMaxEntries / kRunningShare;
  CollectDirty(true, aMaxEntries - reserved, batch);
  CollectDirty(false, aMaxEntries, batch);
  CollectDirty(true, aMaxEntries, batch);
  mHasEndedJob = !mDirtyEnded.empty();
  // Nothing else is in flight, so what was collected is either stored or in this batch.
  if (mBatchesInFlight == 0)
    CollectEnds(batch, aNow);
  ++mBatchesInFlight;
  return batch;
}

SchedulerBacklog Scheduler::GetBacklog() const
{
  SchedulerBacklog backlog = mWaitingStages;
  backlog.mUnstoredJobs = CountUnstoredJobs();
  backlog.mTurns = mTurns;
  for (const auto& [id, worker] : mWorkers)
    backlog.mUnstoredEnds += static_cast<std::size_t>(worker.mLastEnd - worker.mStoredEnd);
  return backlog;
}

void Scheduler::OnProgressStored(const ProgressBatch& aBatch)
{
  --mBatchesInFlight;
  for (const StoredProgress& it : aBatch.mJobs)
    if (Job* job = FindJobMutable(it.mJob))
      job->mStoredState = it.mState;
  for (const StoredEnds& it : aBatch.mEnds)
    if (Worker* worker = FindWorker(it.mWorker); worker && worker->mBornMs == it.mBornMs) {
      worker->mStoredEnd = std::max(worker->mStoredEnd, it.mLast);
      std::erase_if(worker->mUnstoredEnds,
                    [&it](const UnstoredEnd& aItem) { return aItem.mNumber <= it.mLast; });
    }
}

void Scheduler::OnProgressLost(const ProgressBatch& aBatch)
{
  --mBatchesInFlight;
  for (const StoredProgress& it : aBatch.mJobs)
    if (Job* job = FindJobMutable(it.mJob)) {
      job->mCollectedChanges = 0;
      MarkDirty(*job);
    }
  mHasNewEnds = true;
}

}  // namespace monsoon::fleet
