// FleetModel: orders and polls between holders and workers, and calls of the policy service.
#include "fleet_model.h"

#include <algorithm>

namespace monsoon::fleet {

namespace {

constexpr Duration kPollInterval = milliseconds(100);
constexpr Duration kAdviceTime = milliseconds(40);
constexpr Duration kSlowReport = milliseconds(400);
constexpr Duration kOrderDeadline = milliseconds(400);  // as the holder's

}  // namespace

// Returns whether connections of the holder to a worker were closed, as the worker was restarted.
bool FleetModel::HasClosedConnections(const HolderState& aHolder, const std::string& aId) const
{
  const auto node = mNodes.find(aId);
  const auto known = aHolder.mLives.find(aId);
  return node != mNodes.end() && node->second.mUp && known != aHolder.mLives.end() &&
         known->second != node->second.mLife;
}

void FleetModel::SendStart(const HolderRef& aHolder, const StartOrder& aOrder)
{
  const std::uint64_t epoch = aHolder->mEpoch;
  const TimePoint sentAt = mNow;
  const auto report = [this, aOrder, aHolder](Duration aDelay, StartOutcome aOutcome) {
    Schedule(aDelay, [this, aOrder, aHolder, aOutcome] {
      if (!HasStopped(*aHolder))
        aHolder->mScheduler->OnStart(aOrder, aOutcome, mNow);
    });
  };
  if (!aHolder->mScheduler->IsStartWanted(aOrder)) {
    report(Duration::zero(), StartOutcome::Withdrawn);
    return;
  }
  if (mForcedOutcome) {
    report(milliseconds(5), *mForcedOutcome);
    mForcedOutcome.reset();
    return;
  }
  if (HasClosedConnections(*aHolder, aOrder.mWorker)) {
    aHolder->mScheduler->OnConnectionsClosed(aOrder.mWorker, mNow);
    report(Duration::zero(), StartOutcome::Withdrawn);
    return;
  }
  // Orders of this model are valid for as long as a lease, and renew it.
  if (Worker* worker = aHolder->mScheduler->FindWorker(aOrder.mWorker))
    worker->mLeaseSentAt = std::max(worker->mLeaseSentAt, mNow);
  if (Happens(mFaults.mNoConnection)) {
    report(milliseconds(800), StartOutcome::NotStarted);
    return;
  }
  auto node = mNodes.find(aOrder.mWorker);
  const auto deliverLater = [&](Duration aDelay) {
    const std::uint32_t life = node == mNodes.end() ? 0 : node->second.mLife;
    Schedule(aDelay, [this, aOrder, epoch, sentAt, life] {
      auto it = mNodes.find(aOrder.mWorker);
      if (it != mNodes.end() && it->second.mLife == life)  // it waits in the worker's process
        DeliverStart(aOrder, epoch, sentAt);
    });
  };
  if (Happens(mFaults.mDelayed)) {
    deliverLater(milliseconds(2000 + mRandom() % 10'000));
    report(milliseconds(800), StartOutcome::Unknown);
    return;
  }
  if (Happens(mFaults.mSlowCall)) {
    deliverLater(Draw(milliseconds(300), milliseconds(1200)));
    report(kOrderDeadline, StartOutcome::Unknown);
    return;
  }
  if (node == mNodes.end() || !IsAnswering(node->second, *aHolder)) {
    report(milliseconds(800), StartOutcome::Unknown);
    return;
  }
  const bool isLost = Happens(mFaults.mLostAnswer);
  Schedule(milliseconds(3), [this, aOrder, aHolder, epoch, sentAt, isLost, report] {
    auto it = mNodes.find(aOrder.mWorker);
    const auto closed = it == mNodes.end() ? 0 : it->second.mClosed[aOrder.mTask];
    const bool isFenced = it != mNodes.end() && epoch < it->second.mToken;
    const bool isTicketValid =
      aOrder.mTicket.empty() || aOrder.mTicket == GetTicket(aOrder.mWorker);
    DeliverStart(aOrder, epoch, sentAt);
    if (isLost)
      report(milliseconds(797), StartOutcome::Unknown);
    else if (isFenced && aHolder != mHolder)
      aHolder->mStopsAt = std::min(aHolder->mStopsAt, mNow + milliseconds(3));
    else if (closed >= aOrder.mRun)
      report(milliseconds(3), StartOutcome::StaleRun);
    else if (!isTicketValid)
      report(milliseconds(3), StartOutcome::BadTicket);
    else
      report(milliseconds(3), isFenced ? StartOutcome::NotStarted : StartOutcome::Started);
    // The answer shows the worker's clock, which starts anew with each life.
    if (!isLost && it != mNodes.end() && it->second.mUp &&
        HasClosedConnections(*aHolder, aOrder.mWorker))
      Schedule(milliseconds(3), [this, aHolder, id = aOrder.mWorker] {
        if (!HasStopped(*aHolder))
          aHolder->mScheduler->OnClockReset(id, mNow);
      });
  });
}

void FleetModel::SendStop(const HolderRef& aHolder, const StopOrder& aOrder)
{
  auto found = mNodes.find(aOrder.mWorker);
  if (found == mNodes.end() || !IsAnswering(found->second, *aHolder))
    return;
  const bool isLost = Happens(mFaults.mLostAnswer);
  const Duration toWorker =
    Happens(mFaults.mSlowCall / 2) ? Draw(milliseconds(10), kSlowReport) : milliseconds(3);
  const Duration back =
    Happens(mFaults.mSlowCall / 2) ? Draw(milliseconds(10), kSlowReport) : Duration::zero();
  const std::uint32_t life = found->second.mLife;
  Schedule(toWorker, [this, aOrder, aHolder, isLost, back, life] {
    auto it = mNodes.find(aOrder.mWorker);
    if (it == mNodes.end() || !it->second.mUp || aHolder->mEpoch < it->second.mToken)
      return;
    Node& node = it->second;
    if (mFaults.mSlowCall > 0 && node.mLife != life)
      return;  // it was on its way to a process that has ended
    node.mToken = aHolder->mEpoch;
    Advance(node);
    auto& closed = node.mClosed[aOrder.mTask];
    closed = std::max(closed, aOrder.mRun);
    for (Running& run : node.mRunning)
      if (run.mOrder.mTask == aOrder.mTask && run.mOrder.mRun <= aOrder.mRun) {
        run.mEndAt = std::min(run.mEndAt, mNow + milliseconds(150));
        run.mEnd = EndKind::Stopped;
      }
    if (isLost)
      return;
    Schedule(back, [this, aOrder, aHolder] {
      if (!HasStopped(*aHolder))
        aHolder->mScheduler->OnStop(aOrder, true, mNow);
    });
  });
}

void FleetModel::SendAdvice(const HolderRef& aHolder, const AdviceOrder& aOrder)
{
  Schedule(kAdviceTime, [this, aOrder, aHolder, askedAt = mNow] {
    if (HasStopped(*aHolder))
      return;
    std::vector<AdmittedWorker> admitted;
    for (const std::string& id : aOrder.mWorkers) {
      // Each stage may run on the first machine, whichever worker lives there, so each can end.
      const auto node = mNodes.find(id);
      const bool isFirst = node != mNodes.end() && node->second.mEntry.mAddress == "10.0.0.0:80";
      if (isFirst || std::hash<std::string>()(aOrder.mStage + id) % 10 < 6)
        admitted.push_back({ id, GetTicket(id) });
    }
    aHolder->mScheduler->OnAdvice(aOrder, &admitted, seconds(2), askedAt, mNow);
  });
}

void FleetModel::PollWorker(const std::string& aId)
{
  Schedule(kPollInterval, [this, aId] { PollWorker(aId); });
  for (HolderRef it = mHolder; it; it = it->mPrevious)
    if (!HasStopped(*it))
      Poll(it, aId);
}

void FleetModel::Poll(const HolderRef& aHolder, const std::string& aId)
{
  Scheduler& scheduler = *aHolder->mScheduler;
  Worker* worker = scheduler.FindWorker(aId);
  if (!worker)
    return;
  Node* node = FindNodeAt(worker->mAddress);
  if (node && node->mEntry.mId != aId && IsAnswering(*node, *aHolder)) {
    scheduler.OnReplaced(aId, worker->mAddress, mNow);
    return;
  }
  if (!node || node->mEntry.mId != aId) {
    scheduler.OnSilence(aId, mNow);
    return;
  }
  const bool isIdle = worker->mRuns.empty() && worker->mFenced && worker->mReachable;
  if (isIdle && worker->mLastEnd <= worker->mStoredEnd &&
      mNow - worker->mAnsweredAt < mFaults.mIdlePollInterval)
    return;
  Advance(*node);
  if (!IsAnswering(*node, *aHolder)) {
    scheduler.OnSilence(aId, mNow);
    return;
  }
  if (HasClosedConnections(*aHolder, aId))
    scheduler.OnConnectionsClosed(aId, mNow);
  ReportRequest request{ mNow, node->mLife };
  request.mAcknowledgedEnd = Scheduler::GetAcknowledgedEnd(*worker);
  request.mLease = scheduler.RenewTaskLeases(*worker, mNow, std::min(mNow, aHolder->mReplacedAt));
  if (Happens(mFaults.mSlowCall / 2))
    Schedule(Draw(milliseconds(10), kSlowReport),
             [this, aHolder, aId, request] { AnswerPoll(aHolder, aId, request); });
  else
    AnswerPoll(aHolder, aId, request);
}

// Carries out a poll on its worker.
void FleetModel::AnswerPoll(const HolderRef& aHolder,
                            const std::string& aId,
                            const ReportRequest& aRequest)
{
  if (HasStopped(*aHolder))
    return;
  Scheduler& scheduler = *aHolder->mScheduler;
  const auto found = mNodes.find(aId);
  if (found == mNodes.end() || found->second.mLife != aRequest.mLife ||
      !IsAnswering(found->second, *aHolder)) {
    scheduler.OnSilence(aId, mNow);
    return;
  }
  Node& node = found->second;
  Advance(node);
  if (aHolder->mEpoch < node.mToken) {
    aHolder->mStopsAt = mNow;
    return;
  }
  node.mToken = aHolder->mEpoch;
  if (aRequest.mLease > Duration::zero())
    node.mLeaseUntil = std::max(node.mLeaseUntil, aRequest.mSentAt + aRequest.mLease);
  Acknowledge(node, aRequest.mAcknowledgedEnd);
  if (Happens(mFaults.mLostReport)) {
    scheduler.OnSilence(aId, mNow);
    return;
  }
  WorkerReport report;
  report.mBornMs = node.mEntry.mBornMs;
  for (const Ended& it : node.mEnded) {
    report.mHasMoreEnds = report.mEnded.size() == mMaxListedEnds;
    if (report.mHasMoreEnds)
      break;
    report.mEnded.push_back(it.mRow);
    mAloneEnds += it.mRow.mKind == EndKind::Alone ? 1 : 0;
  }
  for (const Running& it : node.mRunning)
    report.mRunning.push_back({ it.mOrder.mTask, it.mOrder.mRun, "", ComputePercent(it), 0 });
  if (Happens(mFaults.mSlowCall / 2))
    Schedule(Draw(milliseconds(10), kSlowReport), [this, aHolder, aId, aRequest, report] {
      ReceiveReport(aHolder, aId, aRequest, report);
    });
  else
    ReceiveReport(aHolder, aId, aRequest, report);
}

// Passes a report on, as Holder::ApplyReport does.
void FleetModel::ReceiveReport(const HolderRef& aHolder,
                               const std::string& aId,
                               const ReportRequest& aRequest,
                               const WorkerReport& aReport)
{
  TimePoint& requestedAt = aHolder->mRequestedAt[aId];
  if (HasStopped(*aHolder) || aRequest.mSentAt < requestedAt)
    return;
  requestedAt = aRequest.mSentAt;
  aHolder->mLives[aId] = aRequest.mLife;
  aHolder->mScheduler->OnReport(aId, aReport, aRequest.mSentAt, mNow);
}

}  // namespace monsoon::fleet
