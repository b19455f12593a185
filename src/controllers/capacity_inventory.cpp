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
  // Answers may cross: an older read says nothing about what happened since.
  if (aSentAt < worker->mReadSentAt)
    return;
  // A worker that keeps no epochs reports zero; one that keeps them proves the order of owners.
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
  // A read sent earlier can't show what the predecessor's last messages still start.
  const bool known = aSentAt >= worker->mQuietUntil;
  if (known && !worker->mKnown)
    ++mSlotChanges;
  worker->mKnown = known;
}

void CapacityBook::ApplyRequests(Worker& aWorker, const Inventory& aInventory, TimePoint aSentAt)
{
  const std::set<RequestId> running(aInventory.mRequests.begin(), aInventory.mRequests.end());
  std::set<RequestId> lent;
  for (auto it = aWorker.mLoans.begin(); it != aWorker.mLoans.end();) {
    const auto loan = it++;
    const bool over = loan->second.mExpiry < aSentAt;
    if (over && !running.contains(loan->second.mRequest))
      FreeLoan(aWorker, loan);
    else
      lent.insert(loan->second.mRequest);
  }
  // Returned after the read was sent: the read may show it although it has ended.
  std::erase_if(aWorker.mRecentEnds, [&](const auto& aEnd) { return aEnd.second < aSentAt; });
  std::set<RequestId> found;
  for (const RequestId& it : running)
    if (!lent.contains(it) && !aWorker.mRecentEnds.contains(it))
      found.insert(it);
  const Resources need = MakeSlotNeed(aWorker.mSpec);
  for (const RequestId& it : aWorker.mFoundRequests)
    if (!found.contains(it))
      Uncount(aWorker, Act::Ended, 0, need);
  for (const RequestId& it : found)
    if (!aWorker.mFoundRequests.contains(it))
      Count(aWorker, Act::Found, 0, need);
  aWorker.mFoundRequests = std::move(found);
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
      it->second.mFinished = true;
      Recount(aWorker, it->second, {});
      running.insert(key);
      continue;
    }
    running.insert(key);
    if (it == aWorker.mStarted.end())
      it = aWorker.mStarted.emplace(key, Started{ .mNeed = task.mNeed, .mFound = true }).first;
    if (!it->second.mFinished)
      Recount(aWorker, it->second, Max(it->second.mNeed, task.mUsed));
  }
  // What was only ever known from inventories goes with them; begun tasks wait for EndTask.
  for (auto it = aWorker.mStarted.begin(); it != aWorker.mStarted.end();) {
    const auto task = it++;
    if (!task->second.mFound || running.contains(task->first))
      continue;
    Recount(aWorker, task->second, {});
    aWorker.mStarted.erase(task);
  }
}

void CapacityBook::Recount(Worker& aWorker, Started& aStarted, const Resources& aCounted)
{
  if (aStarted.mCounted == aCounted)
    return;
  Uncount(aWorker, Act::Ended, 0, aStarted.mCounted);
  if (aCounted != Resources{})
    Count(aWorker, Act::Found, 0, aCounted);
  aStarted.mCounted = aCounted;
}

}  // namespace monsoon
