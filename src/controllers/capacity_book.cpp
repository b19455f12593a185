#include "controllers/capacity_book.h"

#include <algorithm>

#include "controllers/capacity_math.h"

namespace monsoon {

namespace {

// Covers rounding and the drift between two clocks over kMaxReadingAge.
constexpr Duration kClockMargin = milliseconds(10);
constexpr std::size_t kMaxEvents = 32;  // last changes kept per worker

}  // namespace

CapacityBook::CapacityBook(GrantId aFirstId, GrantId aStep)
  : mNextId(aFirstId)
  , mStep(aStep)
{
}

CapacityBook::Worker* CapacityBook::Find(const WorkerName& aWorker)
{
  const auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? nullptr : &it->second;
}

const CapacityBook::Worker* CapacityBook::Find(const WorkerName& aWorker) const
{
  const auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? nullptr : &it->second;
}

GrantId CapacityBook::MakeId()
{
  const GrantId id = mNextId;
  mNextId += mStep;
  return id;
}

void CapacityBook::Count(Worker& aWorker, Change aChange, GrantId aId, const Resources& aAmount)
{
  aWorker.mCounted = Add(aWorker.mCounted, aAmount);
  aWorker.mEvents.push_back({ aChange, aId, aAmount });
  if (aWorker.mEvents.size() > kMaxEvents)
    aWorker.mEvents.pop_front();
}

void CapacityBook::Uncount(Worker& aWorker, Change aChange, GrantId aId, const Resources& aAmount)
{
  Count(aWorker, aChange, aId, Subtract({}, aAmount));
  // An allowance above the capacity shrinks as capacity is released and never grows again.
  aWorker.mAllowance = Max(aWorker.mSpec.mCapacity, Min(aWorker.mAllowance, aWorker.mCounted));
  if (aAmount.mSlots > 0)
    ++mSlotChanges;
}

// Workers
void CapacityBook::PutWorker(const WorkerSpec& aSpec, Epoch aEpoch)
{
  Worker& worker = mWorkers[aSpec.mName];
  if (aEpoch < worker.mEpoch)
    return;
  const bool newOwnership = worker.mEpoch != aEpoch;
  const bool newAddress = worker.mSpec.mHost != aSpec.mHost || worker.mSpec.mPort != aSpec.mPort;
  if (newOwnership) {
    const bool excluded = worker.mExcluded;
    worker = Worker{};
    worker.mEpoch = aEpoch;
    worker.mExcluded = excluded;
    worker.mEvents.push_back({ Change::TookOver, aEpoch, {} });
  } else if (!Fits(worker.mCounted, aSpec.mCapacity)) {
    worker.mEvents.push_back({ Change::Shrunk, 0, aSpec.mCapacity });
  }
  if (newAddress)
    worker.mKnown = false;
  worker.mSpec = aSpec;
  worker.mCounted = SumCounted(worker);
  worker.mAllowance = Max(aSpec.mCapacity, SumAllocated(worker));
  ++mSlotChanges;
}

void CapacityBook::DropWorker(const WorkerName& aWorker)
{
  mWorkers.erase(aWorker);
}

void CapacityBook::SetExcluded(const WorkerName& aWorker, bool aExcluded)
{
  Worker* const worker = Find(aWorker);
  if (worker == nullptr)
    return;
  worker->mExcluded = aExcluded;
  ++mSlotChanges;
}

void CapacityBook::SetQuietUntil(const WorkerName& aWorker, TimePoint aQuietUntil)
{
  Worker* const worker = Find(aWorker);
  if (worker == nullptr)
    return;
  worker->mQuietUntil = aQuietUntil;
  if (worker->mReadSentAt < aQuietUntil)
    worker->mKnown = false;
}

// Slots
Result<Grant> CapacityBook::TakeSlot(const WorkerName& aWorker,
                                     const RequestId& aRequest,
                                     Duration aHold,
                                     TimePoint aNow)
{
  Worker* const worker = Find(aWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aWorker);
  if (!worker->mKnown || worker->mExcluded || worker->mSpec.mLeaving)
    return MakeFailure(FailureKind::CapacityFull, aWorker + " takes no new work");
  const bool running = worker->mUntrackedRequests.contains(aRequest);
  if (running ||
      std::any_of(worker->mGrants.begin(), worker->mGrants.end(), [&](const auto& aGrant) {
        return aGrant.second.mRequest == aRequest;
      }))
    return MakeFailure(FailureKind::Conflict, aRequest + " may still run on " + aWorker);
  const Resources need = MakeSlotNeed(worker->mSpec);
  if (!Fits(need, FindFree(*worker)))
    return MakeFailure(FailureKind::CapacityFull, aWorker + " has no free slot");
  auto startBefore = FindStartBefore(aWorker, kGrantStartWithin, aNow);
  if (!startBefore)
    return startBefore.error();
  // A grant never expires before the start that it permits.
  const Duration hold = std::max(aHold, kGrantStartWithin);
  const GrantId id = MakeId();
  worker->mGrants[id] = { .mRequest = aRequest,
                          .mStartUntil = aNow + kGrantStartWithin,
                          .mExpiry = aNow + hold };
  Count(*worker, Change::Lent, id, need);
  return Grant{ .mId = id,
                .mWorker = worker->mSpec,
                .mEpoch = worker->mEpoch,
                .mStartBefore = *startBefore,
                .mExpiry = hold };
}

void CapacityBook::FreeSlot(Worker& aWorker, std::map<GrantId, SlotGrant>::iterator aGrant)
{
  Uncount(aWorker, Change::Returned, aGrant->first, MakeSlotNeed(aWorker.mSpec));
  aWorker.mGrants.erase(aGrant);
}

Result<void> CapacityBook::ReturnSlot(const GrantReturn& aReturn, TimePoint aNow)
{
  Worker* const worker = Find(aReturn.mWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aReturn.mWorker);
  if (aReturn.mEpoch != worker->mEpoch)
    return MakeFailure(FailureKind::Fenced, "the grant belongs to another epoch");
  const auto it = worker->mGrants.find(aReturn.mId);
  if (it == worker->mGrants.end())
    return MakeFailure(FailureKind::NotFound, "the grant does not exist");
  // Without a complete answer the endpoint may still run the request. The slot is freed only by an
  // inventory whose read was sent after the start deadline, when the request can't start any more.
  if (aReturn.mEnd == GrantEnd::Broken || aReturn.mEnd == GrantEnd::Unknown) {
    it->second.mInDoubt = true;
    it->second.mExpiry = std::min(it->second.mExpiry, std::max(aNow, it->second.mStartUntil));
    return {};
  }
  worker->mRecentEnds[it->second.mRequest] = aNow;
  FreeSlot(*worker, it);
  return {};
}

// Holds
Result<HoldReply> CapacityBook::Hold(const HoldRequest& aRequest, TimePoint aNow)
{
  Worker* const worker = Find(aRequest.mWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aRequest.mWorker);
  const TaskShape& shape = aRequest.mShape;
  if (IsNegative(shape.mNeed))
    return MakeFailure(FailureKind::BadInput, "the tasks need a negative amount of a resource");
  if (!worker->mKnown || worker->mExcluded || worker->mSpec.mLeaving)
    return MakeFailure(FailureKind::CapacityFull, aRequest.mWorker + " takes no new work");
  if (shape.mNeed.mAccelerators > 0 && shape.mAcceleratorType != worker->mSpec.mAcceleratorType)
    return MakeFailure(FailureKind::NeverFits, "the worker has another type of accelerator");
  HeldCapacity held{ .mNeed = shape.mNeed, .mExpiry = aNow + aRequest.mExpiry };
  HoldReply reply{ .mEpoch = worker->mEpoch };
  Resources free = FindFree(*worker);
  for (const TaskKey& task : aRequest.mTasks) {
    if (!Fits(shape.mNeed, free))
      break;
    if (!held.mTasks.insert(task).second)
      continue;
    free = Subtract(free, shape.mNeed);
    reply.mTasks.push_back(task);
  }
  if (reply.mTasks.empty())
    return MakeFailure(FailureKind::CapacityFull,
                       aRequest.mWorker + " has too little free capacity");
  reply.mId = MakeId();
  for (std::size_t i = 0; i < reply.mTasks.size(); ++i)
    Count(*worker, Change::Held, reply.mId, shape.mNeed);
  worker->mHolds.emplace(reply.mId, std::move(held));
  return reply;
}

Result<void> CapacityBook::BeginStart(const TaskStart& aStart, TimePoint aNow)
{
  Worker* const worker = Find(aStart.mWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aStart.mWorker);
  if (aStart.mEpoch != worker->mEpoch)
    return MakeFailure(FailureKind::Fenced, "the hold belongs to another epoch");
  const Attempt key{ aStart.mTask, aStart.mAttempt };
  if (worker->mStarted.contains(key))
    return {};  // the same start was sent again
  const auto it = worker->mHolds.find(aStart.mHold);
  if (it == worker->mHolds.end() || it->second.mExpiry <= aNow ||
      !it->second.mTasks.contains(aStart.mTask))
    return MakeFailure(FailureKind::NotFound, "the hold has expired");
  HeldCapacity& held = it->second;
  if (!Fits(aStart.mNeed, held.mNeed))
    return MakeFailure(FailureKind::BadInput, "the task needs more than its hold reserved");
  held.mTasks.erase(aStart.mTask);
  Uncount(*worker, Change::Released, aStart.mHold, held.mNeed);
  Count(*worker, Change::Began, aStart.mHold, aStart.mNeed);
  worker->mStarted.emplace(key, Started{ .mNeed = aStart.mNeed, .mCounted = aStart.mNeed });
  if (held.mTasks.empty())
    worker->mHolds.erase(it);
  return {};
}

Result<void> CapacityBook::ReleaseHold(const HoldRelease& aRelease, TimePoint)
{
  Worker* const worker = Find(aRelease.mWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aRelease.mWorker);
  if (aRelease.mEpoch != worker->mEpoch)
    return MakeFailure(FailureKind::Fenced, "the hold belongs to another epoch");
  const auto it = worker->mHolds.find(aRelease.mId);
  if (it == worker->mHolds.end())
    return MakeFailure(FailureKind::NotFound, "the hold does not exist");
  DropHold(*worker, it);
  return {};
}

void CapacityBook::DropHold(Worker& aWorker, std::map<GrantId, HeldCapacity>::iterator aHold)
{
  for (std::size_t i = 0; i < aHold->second.mTasks.size(); ++i)
    Uncount(aWorker, Change::Released, aHold->first, aHold->second.mNeed);
  aWorker.mHolds.erase(aHold);
}

void CapacityBook::EndTask(const WorkerName& aWorker, const TaskKey& aTask, std::uint32_t aAttempt)
{
  Worker* const worker = Find(aWorker);
  if (worker == nullptr)
    return;
  const auto it = worker->mStarted.find({ aTask, aAttempt });
  if (it == worker->mStarted.end())
    return;
  Recount(*worker, it->second, {});
  worker->mStarted.erase(it);
}

// Time
std::vector<Grant> CapacityBook::Expire(TimePoint aNow)
{
  std::vector<Grant> expired;
  for (auto& [name, worker] : mWorkers) {
    for (auto it = worker.mHolds.begin(); it != worker.mHolds.end();) {
      const auto hold = it++;
      if (hold->second.mExpiry <= aNow)
        DropHold(worker, hold);
    }
    for (auto& [id, grant] : worker.mGrants) {
      if (grant.mExpired || grant.mExpiry > aNow)
        continue;
      grant.mExpired = true;
      if (!grant.mInDoubt)
        expired.push_back({ .mId = id, .mWorker = worker.mSpec, .mEpoch = worker.mEpoch });
    }
  }
  return expired;
}

Result<std::int64_t> CapacityBook::FindStartBefore(const WorkerName& aWorker,
                                                   Duration aWithin,
                                                   TimePoint aNow) const
{
  const Worker* const worker = Find(aWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aWorker);
  // The age is measured from when the read was sent, which is its upper bound.
  if (worker->mReadAt == TimePoint::min() || aNow - worker->mReadSentAt > kMaxReadingAge)
    return MakeFailure(FailureKind::NotReady, "no recent inventory of " + aWorker);
  // The worker read its clock before the answer arrived at mReadAt. Assuming that latest moment
  // gives the earliest deadline.
  const Duration ahead = aNow - worker->mReadAt + std::min(aWithin, kMaxStartWithin);
  const Duration safe = ahead - kClockMargin;
  return worker->mReadNowMs + std::chrono::duration_cast<milliseconds>(safe).count();
}

}  // namespace monsoon
