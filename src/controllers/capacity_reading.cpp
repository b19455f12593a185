#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "controllers/capacity_book.h"
#include "controllers/capacity_math.h"

namespace monsoon {

namespace {

std::string Format(const Resources& aValue)
{
  std::ostringstream out;
  out << aValue.mMilliCores << " mcores, " << aValue.mMemoryMiB << " MiB, " << aValue.mAccelerators
      << " accelerators, " << aValue.mSlots << " slots, " << aValue.mConnections << " connections";
  return std::move(out).str();
}

}  // namespace

Resources CapacityBook::FindFree(const Worker& aWorker)
{
  // Clamped per dimension: use above the capacity in one does not reduce the others.
  return Max(Subtract(aWorker.mSpec.mCapacity, aWorker.mCounted), {});
}

WorkerView CapacityBook::MakeView(const Worker& aWorker, const JobId& aJob)
{
  WorkerView view{ .mSpec = aWorker.mSpec, .mKnown = aWorker.mKnown };
  if (aWorker.mKnown)
    view.mFree = FindFree(aWorker);
  view.mExcluded = aWorker.mExcluded || aWorker.mSpec.mLeaving;
  if (aJob.empty())
    return view;
  auto it = aWorker.mStarted.lower_bound({ TaskKey{ aJob, 0 }, 0 });
  for (; it != aWorker.mStarted.end() && it->first.first.mJob == aJob; ++it)
    view.mTasksOfJob += it->second.mEnded ? 0 : 1;
  for (const auto& [id, held] : aWorker.mHolds)
    for (const TaskKey& task : held.mTasks)
      view.mTasksOfJob += task.mJob == aJob ? 1 : 0;
  return view;
}

std::vector<WorkerView> CapacityBook::ListViews(const JobId& aJob) const
{
  std::vector<WorkerView> views;
  views.reserve(mWorkers.size());
  for (const auto& [name, worker] : mWorkers)
    views.push_back(MakeView(worker, aJob));
  return views;
}

std::optional<WorkerView> CapacityBook::FindView(const WorkerName& aWorker, const JobId& aJob) const
{
  const Worker* const worker = Find(aWorker);
  if (worker == nullptr)
    return std::nullopt;
  return MakeView(*worker, aJob);
}

std::vector<std::pair<TaskKey, std::uint32_t>> CapacityBook::ListStarted(
  const WorkerName& aWorker) const
{
  std::vector<Attempt> started;
  if (const Worker* const worker = Find(aWorker))
    for (const auto& [key, task] : worker->mStarted)
      started.push_back(key);
  return started;
}

std::optional<Epoch> CapacityBook::FindEpoch(const WorkerName& aWorker) const
{
  const Worker* const worker = Find(aWorker);
  return worker == nullptr ? std::nullopt : std::optional(worker->mEpoch);
}

std::uint32_t CapacityBook::CountFreeSlots() const
{
  std::int64_t n = 0;
  for (const auto& [name, worker] : mWorkers)
    if (worker.mKnown && !worker.mExcluded && !worker.mSpec.mLeaving)
      n += FindFree(worker).mSlots;
  return static_cast<std::uint32_t>(n);
}

std::uint64_t CapacityBook::CountSlotChanges() const noexcept
{
  return mSlotChanges;
}

Resources CapacityBook::SumAllocated(const Worker& aWorker)
{
  Resources sum;
  for (std::size_t i = 0; i < aWorker.mGrants.size(); ++i)
    sum = Add(sum, MakeSlotNeed(aWorker.mSpec));
  for (const auto& [id, held] : aWorker.mHolds)
    for (std::size_t i = 0; i < held.mTasks.size(); ++i)
      sum = Add(sum, held.mNeed);
  for (const auto& [key, task] : aWorker.mStarted)
    if (!task.mFromInventory && !task.mEnded)
      sum = Add(sum, task.mNeed);
  return sum;
}

Resources CapacityBook::SumCounted(const Worker& aWorker)
{
  Resources sum = SumAllocated(aWorker);
  for (std::size_t i = 0; i < aWorker.mUntrackedRequests.size(); ++i)
    sum = Add(sum, MakeSlotNeed(aWorker.mSpec));
  for (const auto& [key, task] : aWorker.mStarted) {
    const bool allocated = !task.mFromInventory && !task.mEnded;
    sum = Add(sum, allocated ? Subtract(task.mCounted, task.mNeed) : task.mCounted);
  }
  return sum;
}

std::string CapacityBook::FindInvariantViolation() const
{
  static constexpr const char* kChangeNames[] = { "took over", "shrunk", "lent",
                                                  "returned",  "held",   "released",
                                                  "began",     "ended",  "found" };
  for (const auto& [name, worker] : mWorkers) {
    const bool fits = Fits(SumAllocated(worker), worker.mAllowance);
    if (fits && SumCounted(worker) == worker.mCounted)
      continue;
    std::ostringstream out;
    out << name
        << (fits ? " has a wrong sum of allocations" : " is allocated more than its capacity")
        << " at epoch " << worker.mEpoch << ": capacity " << Format(worker.mSpec.mCapacity)
        << "; allocated " << Format(SumAllocated(worker)) << "; counted " << Format(worker.mCounted)
        << "; last changes:";
    for (const Event& event : worker.mEvents)
      out << "\n  " << kChangeNames[static_cast<std::size_t>(event.mChange)] << " " << event.mId
          << ": " << Format(event.mAmount);
    return std::move(out).str();
  }
  return {};
}

void CapacityBook::CheckInvariants() const
{
  const std::string violation = FindInvariantViolation();
  if (violation.empty())
    return;
  std::fprintf(
    stderr,
    "capacity book: %s\nAllocate capacity only through TakeSlot and Hold, under the lock "
    "of the worker's shard.\n",
    violation.c_str());
  std::abort();
}

}  // namespace monsoon
