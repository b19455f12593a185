#include "controllers/capacity_book.h"

#include <algorithm>

#include "controllers/capacity_math.h"

namespace monsoon {

namespace {

// Covers rounding and the drift of two clocks over kMaxReadingAge.
constexpr Duration kClockMargin = milliseconds(10);
constexpr std::size_t kMaxEvents = 32;

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

void CapacityBook::Count(Worker& aWorker, Act aAct, GrantId aId, const Resources& aAmount)
{
  aWorker.mCounted = Add(aWorker.mCounted, aAmount);
  aWorker.mEvents.push_back({ aAct, aId, aAmount });
  if (aWorker.mEvents.size() > kMaxEvents)
    aWorker.mEvents.pop_front();
}

void CapacityBook::Uncount(Worker& aWorker, Act aAct, GrantId aId, const Resources& aAmount)
{
  Count(aWorker, aAct, aId, Subtract({}, aAmount));
  // An allowance above the capacity shrinks with what is given back and never grows again.
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
  const bool taken = worker.mEpoch != aEpoch;
  const bool moved = worker.mSpec.mHost != aSpec.mHost || worker.mSpec.mPort != aSpec.mPort;
  if (taken) {
    const bool excluded = worker.mExcluded;
    worker = Worker{};
    worker.mEpoch = aEpoch;
    worker.mExcluded = excluded;
    worker.mEvents.push_back({ Act::TookOver, aEpoch, {} });
  } else if (!Fits(worker.mCounted, aSpec.mCapacity)) {
    worker.mEvents.push_back({ Act::Shrunk, 0, aSpec.mCapacity });
  }
  if (moved)
    worker.mKnown = false;
  worker.mSpec = aSpec;
  worker.mCounted = SumCounted(worker);
  worker.mAllowance = Max(aSpec.mCapacity, SumGiven(worker));
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
  const bool running = worker->mFoundRequests.contains(aRequest);
  if (running || std::any_of(worker->mLoans.begin(), worker->mLoans.end(), [&](const auto& aLoan) {
        return aLoan.second.mRequest == aRequest;
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
  worker->mLoans[id] = { .mRequest = aRequest,
                         .mStartUntil = aNow + kGrantStartWithin,
                         .mExpiry = aNow + hold };
  Count(*worker, Act::Lent, id, need);
  return Grant{ .mId = id,
                .mWorker = worker->mSpec,
                .mEpoch = worker->mEpoch,
                .mStartBefore = *startBefore,
                .mExpiry = hold };
}

void CapacityBook::FreeLoan(Worker& aWorker, std::map<GrantId, Loan>::iterator aLoan)
{
  Uncount(aWorker, Act::Returned, aLoan->first, MakeSlotNeed(aWorker.mSpec));
  aWorker.mLoans.erase(aLoan);
}

Result<void> CapacityBook::ReturnSlot(const GrantReturn& aReturn, TimePoint aNow)
{
  Worker* const worker = Find(aReturn.mWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aReturn.mWorker);
  if (aReturn.mEpoch != worker->mEpoch)
    return MakeFailure(FailureKind::Fenced, "grant of another epoch");
  const auto it = worker->mLoans.find(aReturn.mId);
  if (it == worker->mLoans.end())
    return MakeFailure(FailureKind::NotFound, "no such grant");
  // Without a whole answer the endpoint may still run it: only a later inventory frees the slot,
  // sent when it can't start any more either.
  if (aReturn.mEnd == GrantEnd::Broken || aReturn.mEnd == GrantEnd::Unknown) {
    it->second.mInDoubt = true;
    it->second.mExpiry = std::min(it->second.mExpiry, std::max(aNow, it->second.mStartUntil));
    return {};
  }
  worker->mRecentEnds[it->second.mRequest] = aNow;
  FreeLoan(*worker, it);
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
    return MakeFailure(FailureKind::BadInput, "a negative size");
  if (!worker->mKnown || worker->mExcluded || worker->mSpec.mLeaving)
    return MakeFailure(FailureKind::CapacityFull, aRequest.mWorker + " takes no new work");
  if (shape.mNeed.mAccelerators > 0 && shape.mAcceleratorType != worker->mSpec.mAcceleratorType)
    return MakeFailure(FailureKind::NeverFits, "another type of accelerator");
  HeldRoom room{ .mNeed = shape.mNeed, .mExpiry = aNow + aRequest.mExpiry };
  HoldReply reply{ .mEpoch = worker->mEpoch };
  Resources free = FindFree(*worker);
  for (const TaskKey& task : aRequest.mTasks) {
    if (!Fits(shape.mNeed, free))
      break;
    if (!room.mTasks.insert(task).second)
      continue;
    free = Subtract(free, shape.mNeed);
    reply.mTasks.push_back(task);
  }
  if (reply.mTasks.empty())
    return MakeFailure(FailureKind::CapacityFull, aRequest.mWorker + " has no room");
  reply.mId = MakeId();
  for (std::size_t i = 0; i < reply.mTasks.size(); ++i)
    Count(*worker, Act::Held, reply.mId, shape.mNeed);
  worker->mHolds.emplace(reply.mId, std::move(room));
  return reply;
}

Result<void> CapacityBook::BeginStart(const TaskStart& aStart, TimePoint aNow)
{
  Worker* const worker = Find(aStart.mWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aStart.mWorker);
  if (aStart.mEpoch != worker->mEpoch)
    return MakeFailure(FailureKind::Fenced, "hold of another epoch");
  const Attempt key{ aStart.mTask, aStart.mAttempt };
  if (worker->mStarted.contains(key))
    return {};  // a repeat of the same start
  const auto it = worker->mHolds.find(aStart.mHold);
  if (it == worker->mHolds.end() || it->second.mExpiry <= aNow ||
      !it->second.mTasks.contains(aStart.mTask))
    return MakeFailure(FailureKind::NotFound, "the hold has expired");
  HeldRoom& room = it->second;
  if (!Fits(aStart.mNeed, room.mNeed))
    return MakeFailure(FailureKind::BadInput, "needs more than was held");
  room.mTasks.erase(aStart.mTask);
  Uncount(*worker, Act::Released, aStart.mHold, room.mNeed);
  Count(*worker, Act::Began, aStart.mHold, aStart.mNeed);
  worker->mStarted.emplace(key, Started{ .mNeed = aStart.mNeed, .mCounted = aStart.mNeed });
  if (room.mTasks.empty())
    worker->mHolds.erase(it);
  return {};
}

Result<void> CapacityBook::ReleaseHold(const HoldRelease& aRelease, TimePoint)
{
  Worker* const worker = Find(aRelease.mWorker);
  if (worker == nullptr)
    return MakeFailure(FailureKind::NotFound, aRelease.mWorker);
  if (aRelease.mEpoch != worker->mEpoch)
    return MakeFailure(FailureKind::Fenced, "hold of another epoch");
  const auto it = worker->mHolds.find(aRelease.mId);
  if (it == worker->mHolds.end())
    return MakeFailure(FailureKind::NotFound, "no such hold");
  DropHold(*worker, it);
  return {};
}

void CapacityBook::DropHold(Worker& aWorker, std::map<GrantId, HeldRoom>::iterator aHold)
{
  for (std::size_t i = 0; i < aHold->second.mTasks.size(); ++i)
    Uncount(aWorker, Act::Released, aHold->first, aHold->second.mNeed);
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
    for (auto& [id, loan] : worker.mLoans) {
      if (loan.mExpired || loan.mExpiry > aNow)
        continue;
      loan.mExpired = true;
      if (!loan.mInDoubt)
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
  // From when the read was sent: that is the longest that the reading can have aged.
  if (worker->mReadAt == TimePoint::min() || aNow - worker->mReadSentAt > kMaxReadingAge)
    return MakeFailure(FailureKind::NotReady, "no recent inventory of " + aWorker);
  // The reading was taken when the answer arrived at the latest, which gives the earliest deadline.
  const Duration ahead = aNow - worker->mReadAt + std::min(aWithin, kMaxStartWithin);
  const Duration safe = ahead - kClockMargin;
  return worker->mReadNowMs + std::chrono::duration_cast<milliseconds>(safe).count();
}

}  // namespace monsoon
