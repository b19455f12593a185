// Polls workers for their reports.
#include <algorithm>

#include "fleet/holder_impl.h"

namespace monsoon::fleet {

namespace {

// A worker answers when it has news, or after the wait that the poll names.
constexpr Duration kReportWait = milliseconds(1000);
constexpr Duration kReportMargin = milliseconds(400);         // for the round trip of a poll
constexpr Duration kShortTaskReportWait = milliseconds(500);  // to measure a short task's speed
constexpr Duration kShortTask = seconds(2);                   // longest estimate of a short task
constexpr Duration kLossyReportWait = milliseconds(250);      // while answers are being lost
constexpr std::size_t kMinUnansweredForLossy = 3;             // polls, in the whole fleet
constexpr Duration kUnansweredWindow = seconds(3);            // for kMinUnansweredForLossy
constexpr Duration kIdlePollInterval = seconds(3);            // of a worker that runs nothing
constexpr Duration kUnreachablePollInterval = milliseconds(300);

}  // namespace

// Closes connections to aTarget, formatted as aAddress, that were closed by the other side: what
// answers there may have restarted. Returns whether there were any.
bool Holder::DropClosedConnections(const HttpAddress& aTarget, const std::string& aAddress)
{
  if (!mClient.DropClosed(mContext, aTarget))
    return false;
  for (const std::string& it : mScheduler.ListWorkersAt(aAddress)) {
    mScheduler.OnConnectionsClosed(it, BootClock::now());
    WakeWorker(it);
  }
  return true;
}

// Requests a report from a worker, which may delay its answer by aWait, and renews the leases of
// its tasks. Returns false if the worker did not answer, is unknown, or this process stepped down.
Async<bool> Holder::PollWorker(std::string aId, Duration aWait)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  Worker* worker = mScheduler.FindWorker(aId);
  if (!worker)
    co_return false;
  if (!target) {  // unreachable, or its loop would go round without a pause
    mScheduler.OnSilence(aId, BootClock::now());
    co_return false;
  }
  const std::string address = worker->mAddress;
  DropClosedConnections(target->mAddress, address);
  const TimePoint sentAt = BootClock::now();
  platform::ReportRequest order;
  order.mToken = GetEpoch();
  order.mAcknowledgedEnd = Scheduler::GetAcknowledgedEnd(*worker);
  order.mWaitMs =
    static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(aWait).count());
  Channel& channel = mChannels[aId];
  Duration lease{};
  if (channel.mClockMs != 0 && MayRenewTaskLeases())
    lease = mScheduler.RenewTaskLeases(*worker, sentAt, mGrant.mRenewedAt);
  if (lease > Duration::zero())
    order.mUntilMs = EstimateWorkerClock(channel, sentAt) +
                     std::chrono::duration_cast<milliseconds>(lease).count();
  auto report =
    co_await platform::RequestReport(mClient, std::move(*target), order, aWait + kReportMargin);
  if (mSteppedDown)
    co_return false;
  if (!report) {
    if (report.error().mKind == FailureKind::Fenced) {
      StepDown("a worker has seen a later epoch");
      co_return false;
    }
    if (report.error().mKind == FailureKind::NotFound) {
      mScheduler.OnReplaced(aId, address, BootClock::now());
      WakePlan();
      co_return false;
    }
    worker = mScheduler.FindWorker(aId);
    if (worker && worker->mAddress != address)
      co_return true;  // it has answered elsewhere since
    mMetrics.GetCounter("fleet_silent_reports_total").Add();
    mUnansweredAt.push_back(BootClock::now());
    mScheduler.OnSilence(aId, BootClock::now());
    co_return false;
  }
  ApplyReport(aId, *report, address, sentAt);
  co_return true;
}

// Requests a report where the directory lists a worker, if it is known at another address. What
// answers there may be its next incarnation, so this renews no leases and acknowledges no ends, and
// no answer says nothing about the one that is known.
Async<void> Holder::PollListedAddress(std::string aId)
{
  auto self = shared_from_this();
  const Worker* worker = mScheduler.FindWorker(aId);
  if (!worker || !IsListedElsewhere(*worker))
    co_return;
  const std::string listed = worker->mEntry.mAddress;
  auto address = ParseAddress(listed);
  if (!address)
    co_return;
  DropClosedConnections(*address, listed);
  platform::WorkerTarget target{ *address, aId, GetEpoch() };
  platform::ReportRequest order;
  order.mToken = GetEpoch();
  const TimePoint sentAt = BootClock::now();
  auto report = co_await platform::RequestReport(mClient, std::move(target), order, kReportMargin);
  if (mSteppedDown)
    co_return;
  if (!report) {
    if (report.error().mKind == FailureKind::Fenced)
      StepDown("a worker has seen a later epoch");
    Log(LogPart::Task,
        LogLevel::Debug,
        "a worker does not answer where it is listed",
        { { "worker", aId }, { "address", listed }, { "why", report.error().mDetail } });
    co_return;
  }
  ApplyReport(aId, *report, listed, sentAt);
}

void Holder::ApplyReport(const std::string& aId,
                         const WorkerReport& aReport,
                         std::string_view aAddress,
                         TimePoint aSentAt)
{
  Channel& channel = mChannels[aId];
  if (aSentAt < channel.mReportSentAt)
    return;  // a poll sent later was answered first: this report is outdated
  channel.mReportSentAt = aSentAt;
  RecordClock(channel, aReport.mClockMs, aSentAt);
  ++mStats.mReports;
  mStats.mListedRunning += aReport.mRunning.size();
  mStats.mListedEnds += aReport.mEnded.size();
  mScheduler.OnReport(aId, aReport, aSentAt, BootClock::now(), aAddress);
  if (mScheduler.HasEndedJob())
    mStoreTimer.cancel();
  WakePlan();
}

// Chooses how long a worker may delay its report. Ends of tasks in a lost answer remain unknown
// until the poll times out, so polls are kept short while answers are being lost.
Duration Holder::ChooseReportWait(const Worker& aWorker)
{
  const TimePoint now = BootClock::now();
  while (!mUnansweredAt.empty() && now - mUnansweredAt.front() > kUnansweredWindow)
    mUnansweredAt.pop_front();
  if (mUnansweredAt.size() >= kMinUnansweredForLossy)
    return kLossyReportWait;
  const bool hasShort =
    std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const Run& aItem) {
      return aItem.mEstimate > Duration::zero() && aItem.mEstimate <= kShortTask;
    });
  return hasShort ? kShortTaskReportWait : kReportWait;
}

Async<void> Holder::ProbeWorker(std::string aId)
{
  auto self = shared_from_this();
  // After an unanswered start this poll renews no leases; the next one does.
  if (co_await PollWorker(aId, Duration::zero()))
    WakeWorker(aId);
}

Async<void> Holder::WatchWorker(std::string aId)
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    Worker* worker = mScheduler.FindWorker(aId);
    if (!worker)
      break;
    Duration pause{};
    bool isPausedAsIdle = false;
    const bool wasReachable = worker->mReachable;
    const bool hasUnstoredEnds = worker->mLastEnd > worker->mStoredEnd;
    const bool isUnsure =
      std::any_of(worker->mRuns.begin(), worker->mRuns.end(), [](const Run& aItem) {
        return aItem.mPhase == RunPhase::Unconfirmed || aItem.mPhase == RunPhase::Stopping;
      });
    const bool isIdle = worker->mRuns.empty() && worker->mFenced && wasReachable;
    if (isIdle && !hasUnstoredEnds && BootClock::now() - worker->mAnsweredAt < kIdlePollInterval) {
      pause = kIdlePollInterval - (BootClock::now() - worker->mAnsweredAt);
      isPausedAsIdle = true;
    } else {
      const bool mayWait =
        wasReachable && worker->mFenced && !hasUnstoredEnds && !isUnsure && !isIdle;
      const bool isAnswered =
        co_await PollWorker(aId, mayWait ? ChooseReportWait(*worker) : Duration::zero());
      if (!isAnswered)
        co_await PollListedAddress(aId);
      if (mSteppedDown)
        break;
      worker = mScheduler.FindWorker(aId);
      if (!worker)
        break;
      if (!isAnswered)
        pause =
          wasReachable ? Duration::zero() : kUnreachablePollInterval;  // one answer may be lost
      else if (!wasReachable)
        pause = Duration::zero();
      else if (worker->mLastEnd > worker->mStoredEnd || isUnsure || !worker->mFenced)
        pause = milliseconds(100);  // or until WakeWorker, once the ends are stored
    }
    if (pause > Duration::zero()) {
      Channel& channel = mChannels[aId];
      channel.mIsIdle = isPausedAsIdle;
      channel.mWake->expires_after(pause);
      co_await channel.mWake->async_wait(kNoThrow);
      channel.mIsIdle = false;
    }
  }
  mChannels[aId].mLoopRuns = false;
}

}  // namespace monsoon::fleet
