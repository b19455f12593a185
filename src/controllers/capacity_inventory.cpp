#include "controllers/capacity_book.h"
#include "controllers/capacity_math.h"

namespace monsoon {

void CapacityBook::ApplyInventory(const WorkerName& aWorker,
                                  const Inventory& aInventory,
                                  TimePoint aSentAt,
                                  TimePoint aNow)
{
  Worker* const worker = Find(aWorker);
  if (worker == nullptr)
    return;
  // Answers may arrive out of order: an older read shows nothing of what happened since.
  if (aSentAt < worker->mReadSentAt)
    return;
  // A worker that keeps no epochs reports zero. One that keeps them shows whether an older owner's
  // read or a newer owner reached it.
  const Epoch seen = aInventory.mHighestEpoch;
  if (seen != 0 && seen < worker->mEpoch)
    return;
  if (seen > worker->mEpoch) {
    worker->mKnown = false;
    return;
  }
  worker->mReadSentAt = aSentAt;
  worker->mReadAt = aNow;
  worker->mReadNowMs = aInventory.mNowMs;
  worker->mIncarnation = aInventory.mIncarnation;
  ApplyRequests(*worker, aInventory, aSentAt);
  ApplyTasks(*worker, aInventory);
  // A read that was sent earlier may miss what the previous owner's last messages still start.
  const bool known = aSentAt >= worker->mQuietUntil;
  if (known && !worker->mKnown)
    ++mSlotChanges;
  worker->mKnown = known;
}

void CapacityBook::ApplyRequests(Worker& aWorker, const Inventory& aInventory, TimePoint aSentAt)
{
  const std::set<RequestId> running(aInventory.mRequests.begin(), aInventory.mRequests.end());
  std::set<RequestId> granted;
  for (auto it = aWorker.mGrants.begin(); it != aWorker.mGrants.end();) {
    const auto grant = it++;
    const bool expired = grant->second.mExpiry < aSentAt;
    if (expired && !running.contains(grant->second.mRequest))
      FreeSlot(aWorker, grant);
    else
      granted.insert(grant->second.mRequest);
  }
  // Keep the requests that were returned after the read was sent: the read may still list them.
  std::erase_if(aWorker.mRecentEnds, [&](const auto& aEnd) { return aEnd.second < aSentAt; });
  std::set<RequestId> found;
  for (const RequestId& it : running)
    if (!granted.contains(it) && !aWorker.mRecentEnds.contains(it))
      found.insert(it);
  const Resources need = MakeSlotNeed(aWorker.mSpec);
  for (const RequestId& it : aWorker.mUntrackedRequests)
    if (!found.contains(it))
      Uncount(aWorker, Change::Ended, 0, need);
  for (const RequestId& it : found)
    if (!aWorker.mUntrackedRequests.contains(it))
      Count(aWorker, Change::Found, 0, need);
  aWorker.mUntrackedRequests = std::move(found);
}

void CapacityBook::ApplyTasks(Worker& aWorker, const Inventory& aInventory)
{
  std::set<Attempt> running;
  for (const WorkerTask& task : aInventory.mTasks) {
    const Attempt key{ task.mTask, task.mAttempt };
    auto it = aWorker.mStarted.find(key);
    if (task.mEnd != TaskEnd::Running) {
      if (it == aWorker.mStarted.end())
        continue;
      it->second.mEnded = true;
      Recount(aWorker, it->second, {});
      running.insert(key);
      continue;
    }
    running.insert(key);
    if (it == aWorker.mStarted.end())
      it =
        aWorker.mStarted.emplace(key, Started{ .mNeed = task.mNeed, .mFromInventory = true }).first;
    if (!it->second.mEnded)
      Recount(aWorker, it->second, Max(it->second.mNeed, task.mUsed));
  }
  // Drop tasks that are known from inventories only and are listed no more. Tasks that were started
  // here stay until EndTask.
  for (auto it = aWorker.mStarted.begin(); it != aWorker.mStarted.end();) {
    const auto task = it++;
    if (!task->second.mFromInventory || running.contains(task->first))
      continue;
    Recount(aWorker, task->second, {});
    aWorker.mStarted.erase(task);
  }
}

void CapacityBook::Recount(Worker& aWorker, Started& aStarted, const Resources& aCounted)
{
  if (aStarted.mCounted == aCounted)
    return;
  Uncount(aWorker, Change::Ended, 0, aStarted.mCounted);
  if (aCounted != Resources{})
    Count(aWorker, Change::Found, 0, aCounted);
  aStarted.mCounted = aCounted;
}

}  // namespace monsoon
