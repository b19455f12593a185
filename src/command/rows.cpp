#include "command/rows.h"

#include <cassert>

namespace monsoon {

namespace {

std::string FormatYesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::int64_t CountState(const JobStatus& aJob, TaskState aState)
{
  std::int64_t n = 0;
  for (const TaskStatus& it : aJob.mTasks)
    n += it.mState == aState ? 1 : 0;
  return n;
}

std::int64_t CountEnded(const JobStatus& aJob)
{
  return CountState(aJob, TaskState::Succeeded) + CountState(aJob, TaskState::Cancelled) +
         CountState(aJob, TaskState::DeadLetter);
}

// Returns the state that describes the job as a whole: of its tasks' states, the one that needs
// attention first.
const char* SummarizeState(const JobStatus& aJob)
{
  for (const TaskState it : { TaskState::Held,
                              TaskState::DeadLetter,
                              TaskState::Failed,
                              TaskState::Waiting,
                              TaskState::Assigned,
                              TaskState::Running,
                              TaskState::Cancelled })
    if (CountState(aJob, it) > 0)
      return GetName(it);
  return GetName(TaskState::Succeeded);
}

}  // namespace

Result<Table> MakeRows(const Result<std::vector<WorkerRow>>& aWorkers)
{
  if (!aWorkers)
    return aWorkers.error();
  Table table;
  table.mColumns = { "worker",     "zone",       "rack",       "owner",    "state",
                     "cores_m",    "cores_free", "memory_mib", "mem_free", "accel",
                     "accel_free", "slots",      "slots_free" };
  for (const WorkerRow& it : *aWorkers) {
    const char* state = "good";
    if (!it.mKnown)
      state = "unknown";
    if (it.mQuarantined)
      state = "quarantined";
    if (it.mDrained)
      state = "drained";
    if (it.mSpec.mLeaving)
      state = "leaving";
    const Resources& all = it.mSpec.mCapacity;
    const Resources& free = it.mFree;
    table.mRows.push_back({ it.mSpec.mName,
                            it.mSpec.mZone,
                            it.mSpec.mRack,
                            it.mOwner,
                            std::string(state),
                            all.mMilliCores,
                            free.mMilliCores,
                            all.mMemoryMiB,
                            free.mMemoryMiB,
                            all.mAccelerators,
                            free.mAccelerators,
                            all.mSlots,
                            free.mSlots });
  }
  return table;
}

Result<Table> MakeRows(const Result<std::vector<JobStatus>>& aJobs)
{
  if (!aJobs)
    return aJobs.error();
  Table table;
  table.mColumns = { "job",   "kind",    "team",  "priority", "state",
                     "tasks", "running", "ended", "revision", "reason" };
  for (const JobStatus& it : *aJobs)
    table.mRows.push_back({ it.mSpec.mId,
                            std::string(GetName(it.mSpec.mKind)),
                            it.mSpec.mTeam,
                            std::string(GetName(it.mSpec.mPriority)),
                            std::string(SummarizeState(it)),
                            static_cast<std::int64_t>(it.mTasks.size()),
                            CountState(it, TaskState::Running),
                            CountEnded(it),
                            static_cast<std::int64_t>(it.mAt),
                            it.mReason });
  return table;
}

Result<Table> MakeTaskRows(const Result<std::vector<JobStatus>>& aJobs)
{
  if (!aJobs)
    return aJobs.error();
  Table table;
  table.mColumns = { "job", "task", "kind", "state", "attempt", "worker" };
  for (const JobStatus& job : *aJobs)
    for (const TaskStatus& it : job.mTasks)
      table.mRows.push_back({ job.mSpec.mId,
                              std::int64_t{ it.mIndex },
                              std::string(GetName(job.mSpec.mKind)),
                              std::string(GetName(it.mState)),
                              std::int64_t{ it.mAttempt },
                              it.mWorker });
  return table;
}

Result<Table> MakeRows(const Result<std::vector<ProcessRow>>& aProcesses)
{
  if (!aProcesses)
    return aProcesses.error();
  Table table;
  table.mColumns = { "process", "zone", "alive", "leaving", "workers", "slots_free" };
  for (const ProcessRow& it : *aProcesses)
    table.mRows.push_back({ it.mName,
                            it.mZone,
                            FormatYesNo(it.mAlive),
                            FormatYesNo(it.mLeaving),
                            std::int64_t{ it.mWorkers },
                            std::int64_t{ it.mFreeSlots } });
  return table;
}

Result<Table> MakeRows(const Result<JobExplanation>& aExplanation)
{
  if (!aExplanation)
    return aExplanation.error();
  const JobExplanation& it = *aExplanation;
  const Resources& need = it.mStatus.mSpec.mShape;
  Table table;
  table.mColumns = { "what", "value" };
  const auto add = [&](std::string aWhat, TableCell aValue) {
    table.mRows.push_back({ std::move(aWhat), std::move(aValue) });
  };
  std::int64_t fittingTasks = 0;
  for (const Offer& offer : it.mFit.mOffers)
    fittingTasks += offer.mCount;
  add("state", std::string(SummarizeState(it.mStatus)));
  if (!it.mStatus.mReason.empty())
    add("reason", it.mStatus.mReason);
  add("tasks waiting", CountState(it.mStatus, TaskState::Waiting));
  add("tasks held", CountState(it.mStatus, TaskState::Held));
  add("workers with room", static_cast<std::int64_t>(it.mFit.mOffers.size()));
  add("tasks that fit now", fittingTasks);
  add("workers too small when empty", std::int64_t{ it.mFit.mNeverFits });
  add("workers full now", std::int64_t{ it.mFit.mFullNow });
  add("workers excluded", std::int64_t{ it.mFit.mExcluded });
  const bool fitsNoWorker = it.mFit.mOffers.empty() && it.mFit.mFullNow == 0;
  if (fitsNoWorker && need.mMilliCores > it.mLargest.mMilliCores)
    add("would fit with cores_m at most", it.mLargest.mMilliCores);
  if (fitsNoWorker && need.mMemoryMiB > it.mLargest.mMemoryMiB)
    add("would fit with memory_mib at most", it.mLargest.mMemoryMiB);
  if (fitsNoWorker && need.mAccelerators > it.mLargest.mAccelerators)
    add("would fit with accelerators at most", it.mLargest.mAccelerators);
  for (const std::string& hint : it.mHints)
    add("hint", hint);
  return table;
}

Table MakeTeamRows(const Configuration& aConfiguration)
{
  Table table;
  table.mColumns = { "team", "cores_m", "memory_mib", "accel", "may_borrow", "revision" };
  for (const auto& [name, it] : aConfiguration.mTeams)
    table.mRows.push_back({ name,
                            it.mGuaranteed.mMilliCores,
                            it.mGuaranteed.mMemoryMiB,
                            it.mGuaranteed.mAccelerators,
                            FormatYesNo(it.mMayBorrow),
                            static_cast<std::int64_t>(aConfiguration.mRevision) });
  return table;
}

Table MakeConfigRows(const Configuration& aConfiguration)
{
  Table table;
  table.mColumns = { "kind", "name", "command" };
  table.mRows.push_back(
    { std::string("revision"), std::to_string(aConfiguration.mRevision), std::string() });
  for (const auto& [name, value] : aConfiguration.mSettings)
    table.mRows.push_back(
      { std::string("setting"), name, FormatCommand(SetSetting{ name, value }) });
  for (const auto& [name, quota] : aConfiguration.mTeams)
    table.mRows.push_back({ std::string("team"), name, FormatCommand(SetTeam{ quota }) });
  for (const auto& [name, drained] : aConfiguration.mDrained)
    if (drained)
      table.mRows.push_back({ std::string("drained"), name, "drain worker " + Quote(name) });
  for (const auto& [name, spec] : aConfiguration.mDeclared)
    table.mRows.push_back({ std::string("job"), name, FormatCommand(DeclareJob{ spec }) });
  return table;
}

Result<Table> MakeChangeResult(const Result<JobStatus>& aJob)
{
  if (!aJob)
    return aJob.error();
  Table table;
  table.mColumns = { "job", "state", "revision" };
  table.mRows.push_back(
    { aJob->mSpec.mId, std::string(SummarizeState(*aJob)), static_cast<std::int64_t>(aJob->mAt) });
  return table;
}

Result<Table> MakeChangeResult(const Result<Revision>& aRevision)
{
  if (!aRevision)
    return aRevision.error();
  Table table;
  table.mColumns = { "revision" };
  table.mRows.push_back({ static_cast<std::int64_t>(*aRevision) });
  return table;
}

DeclarationChange MakeDeclarationChange(const CommandBody& aBody)
{
  if (const auto* it = std::get_if<DrainWorker>(&aBody))
    return PutDrained{ it->mWorker, it->mDrained };
  if (const auto* it = std::get_if<SetTeam>(&aBody))
    return PutTeam{ it->mQuota };
  if (const auto* it = std::get_if<SetSetting>(&aBody))
    return PutSetting{ it->mName, it->mValue };
  if (const auto* it = std::get_if<DeclareJob>(&aBody))
    return PutDeclaredJob{ it->mSpec };
  const auto* it = std::get_if<WithdrawJob>(&aBody);
  assert(it && "expected a command that changes the configuration");
  return DropDeclaredJob{ it->mId };
}

}  // namespace monsoon
