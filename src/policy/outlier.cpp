#include "policy/outlier.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr Duration kProbeTimeout = seconds(30);  // a probe without an outcome by then is abandoned

bool IsFailure(GrantEnd aEnd)
{
  return aEnd == GrantEnd::Refused || aEnd == GrantEnd::Broken || aEnd == GrantEnd::Unknown ||
         aEnd == GrantEnd::Failed;
}

}  // namespace

OutlierTable::OutlierTable(OutlierSettings aSettings)
  : mSettings(aSettings)
{
}

void OutlierTable::SetWorkerCount(std::size_t aCount)
{
  mWorkerCount = aCount;
}

void OutlierTable::Record(const WorkerName& aWorker,
                          const std::string& aCaller,
                          GrantEnd aEnd,
                          TimePoint aNow)
{
  DropExpired(aNow);
  Worker& worker = mWorkers[aWorker];
  worker.mProbeUntil = TimePoint::min();
  if (aEnd == GrantEnd::Unused)
    return;
  if (!IsFailure(aEnd)) {
    worker = Worker{};
    mCallers[aCaller].mSucceededOn[aWorker] = aNow;
    return;
  }
  // A request cannot make its endpoint refuse connections, so a refusal does not count against the
  // caller.
  const bool refused = aEnd == GrantEnd::Refused;
  if (!refused)
    mCallers[aCaller].mFailedOn[aWorker] = aNow;
  if (aNow - worker.mLastFailure > mSettings.mWindow) {
    worker.mFailures.clear();
    worker.mRefusals = 0;
  }
  worker.mLastFailure = aNow;
  ++(refused ? worker.mRefusals : worker.mFailures[aCaller]);
  const bool probed = worker.mEjected;
  if (probed || CountAttributedFailures(worker, aNow) >= mSettings.mFailures)
    Eject(worker, aNow);
}

std::uint32_t OutlierTable::CountAttributedFailures(const Worker& aWorker, TimePoint aNow) const
{
  std::uint32_t n = aWorker.mRefusals;
  for (const auto& [caller, failures] : aWorker.mFailures)
    n += IsSuspect(caller, aNow) ? 0 : failures;
  return n;
}

void OutlierTable::Eject(Worker& aWorker, TimePoint aNow)
{
  // If most workers fail, the cause is probably not the workers; ejecting more would overload the
  // remaining ones.
  const auto maxEjected = static_cast<double>(mWorkerCount) * mSettings.mMaxEjectedShare;
  if (!aWorker.mEjected && mWorkerCount > 0 && static_cast<double>(CountEjected() + 1) > maxEjected)
    return;
  const std::uint32_t doublings = std::min(aWorker.mEjections, 10U);
  aWorker.mEjectedUntil =
    aNow + std::min(mSettings.mMaxEjectFor, mSettings.mEjectFor * (1U << doublings));
  aWorker.mEjected = true;
  ++aWorker.mEjections;
}

std::size_t OutlierTable::CountEjected() const
{
  return static_cast<std::size_t>(std::count_if(
    mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) { return aEntry.second.mEjected; }));
}

bool OutlierTable::IsSuspect(const std::string& aCaller, TimePoint aNow) const
{
  const auto it = mCallers.find(aCaller);
  if (it == mCallers.end())
    return false;
  const auto countRecent = [&](const std::map<WorkerName, TimePoint>& aTimes) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](const auto& aEntry) {
      return aNow - aEntry.second <= mSettings.mWindow;
    });
  };
  const auto failed = countRecent(it->second.mFailedOn);
  return failed >= mSettings.mSuspectWorkers && failed >= countRecent(it->second.mSucceededOn);
}

WorkerHealth OutlierTable::GetHealth(const WorkerName& aWorker, TimePoint aNow) const
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end() || !it->second.mEjected)
    return WorkerHealth::Good;
  return aNow < it->second.mEjectedUntil ? WorkerHealth::Ejected : WorkerHealth::Probing;
}

bool OutlierTable::MayUse(const WorkerName& aWorker, TimePoint aNow) const
{
  switch (GetHealth(aWorker, aNow)) {
    case WorkerHealth::Good:
      return true;
    case WorkerHealth::Ejected:
      return false;
    case WorkerHealth::Probing:
      return mWorkers.at(aWorker).mProbeUntil <= aNow;
  }
  return true;
}

void OutlierTable::BeginProbe(const WorkerName& aWorker, TimePoint aNow)
{
  if (GetHealth(aWorker, aNow) == WorkerHealth::Probing)
    mWorkers[aWorker].mProbeUntil = aNow + kProbeTimeout;
}

void OutlierTable::DropExpired(TimePoint aNow)
{
  if (aNow - mLastCleanup < mSettings.mWindow)
    return;
  mLastCleanup = aNow;
  const auto isOld = [&](const auto& aEntry) { return aNow - aEntry.second > mSettings.mWindow; };
  for (auto& [name, caller] : mCallers) {
    std::erase_if(caller.mFailedOn, isOld);
    std::erase_if(caller.mSucceededOn, isOld);
  }
  std::erase_if(mCallers, [](const auto& aEntry) {
    return aEntry.second.mFailedOn.empty() && aEntry.second.mSucceededOn.empty();
  });
  std::erase_if(mWorkers, [&](const auto& aEntry) {
    return !aEntry.second.mEjected && aNow - aEntry.second.mLastFailure > mSettings.mWindow;
  });
}

}  // namespace monsoon
