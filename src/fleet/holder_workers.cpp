// Polls workers for their reports, sends them orders, and runs the planning loop.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

// Planning and orders
constexpr Duration kPlanBatchDelay = milliseconds(4);  // plans once for events that arrive together
constexpr std::size_t kMaxConcurrentOrders = 3;        // per worker
constexpr Duration kOrderDeadline = milliseconds(400);  // a cross-zone round trip takes 9 ms
// Polls. A worker answers when it has news, or after the wait that the poll names.
constexpr Duration kReportWait = milliseconds(1000);
constexpr Duration kReportMargin = milliseconds(400);         // for the round trip of a poll
constexpr Duration kShortTaskReportWait = milliseconds(500);  // to measure a short task's speed
constexpr Duration kShortTask = seconds(2);                   // longest estimate of a short task
constexpr Duration kLossyReportWait = milliseconds(250);      // while answers are being lost
constexpr std::size_t kMinUnansweredForLossy = 3;             // polls, in the whole fleet
constexpr Duration kUnansweredWindow = seconds(3);            // for kMinUnansweredForLossy
constexpr Duration kIdlePollInterval = seconds(3);            // of a worker that runs nothing
constexpr Duration kUnreachablePollInterval = milliseconds(300);
constexpr milliseconds kClockSlack = milliseconds(100);  // of readings of a worker's clock

std::string_view GetStartLabel(StartOutcome aOutcome)
{
  switch (aOutcome) {
    case StartOutcome::Started:
      return R"(outcome="started")";
    case StartOutcome::Unknown:
      return R"(outcome="unknown")";
    default:
      return R"(outcome="not_started")";
  }
}

}  // namespace

// Estimates the worker's clock at a time from its last known reading.
std::int64_t Holder::EstimateWorkerClock(const Channel& aChannel, TimePoint aAt) const
{
  const auto passed = std::chrono::duration_cast<milliseconds>(aAt - aChannel.mClockAt);
  return aChannel.mClockMs + passed.count();
}

// Returns whether a reading of the worker's clock, in the answer to a call that was sent at
// aSentAt, is far below what an earlier one leads to, as after a restart. A worker's clock may be
// slow.
bool Holder::IsClockReset(const Channel& aChannel, std::int64_t aClockMs, TimePoint aSentAt) const
{
  if (aClockMs == 0 || aChannel.mClockMs == 0 || aSentAt < aChannel.mClockAt)
    return false;
  const Duration passed = aSentAt - aChannel.mClockAt;
  const auto slack = std::chrono::duration_cast<milliseconds>(passed / 20) + kClockSlack;
  return aClockMs + slack.count() < EstimateWorkerClock(aChannel, aSentAt);
}

void Holder::RecordClock(Channel& aChannel, std::int64_t aClockMs, TimePoint aSentAt)
{
  if (aClockMs == 0 || aSentAt < aChannel.mClockAt)
    return;
  aChannel.mClockMs = aClockMs;
  aChannel.mClockAt = BootClock::now();
}

std::optional<platform::WorkerTarget> Holder::MakeTarget(const std::string& aId)
{
  Worker* worker = mScheduler.FindWorker(aId);
  if (!worker)
    return std::nullopt;
  auto address = ParseAddress(worker->mAddress);
  if (!address)
    return std::nullopt;
  return platform::WorkerTarget{ *address, aId, GetEpoch() };
}

void Holder::EnsureWatched(const std::string& aId)
{
  Channel& channel = mChannels[aId];
  if (channel.mLoopRuns)
    return;
  channel.mLoopRuns = true;
  if (!channel.mWake)
    channel.mWake = std::make_unique<asio::steady_timer>(mContext);
  Spawn(mContext, WatchWorker(aId));
}

void Holder::WakeWorker(const std::string& aId)
{
  auto it = mChannels.find(aId);
  if (it != mChannels.end() && it->second.mWake)
    it->second.mWake->cancel();
}

// Closes connections to aTarget, formatted as aAddress, that were closed by the other side: what
// answers there may have restarted. Returns whether there were any.
Async<bool> Holder::DropClosedConnections(HttpAddress aTarget, std::string aAddress)
{
  auto self = shared_from_this();
  if (!co_await mClient.DropClosed(aTarget))
    co_return false;
  for (const std::string& it : mScheduler.ListWorkersAt(aAddress)) {
    mScheduler.OnConnectionsClosed(it, BootClock::now());
    WakeWorker(it);
  }
  co_return true;
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
  co_await DropClosedConnections(target->mAddress, address);
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
  if (!worker || !worker->mListed || worker->mEntry.mAddress == worker->mAddress)
    co_return;
  const std::string listed = worker->mEntry.mAddress;
  auto address = ParseAddress(listed);
  if (!address)
    co_return;
  co_await DropClosedConnections(*address, listed);
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
    const bool wasReachable = worker->mReachable;
    const bool hasUnstoredEnds = worker->mLastEnd > worker->mStoredEnd;
    const bool isUnsure =
      std::any_of(worker->mRuns.begin(), worker->mRuns.end(), [](const Run& aItem) {
        return aItem.mPhase == RunPhase::Unconfirmed || aItem.mPhase == RunPhase::Stopping;
      });
    const bool isIdle = worker->mRuns.empty() && worker->mFenced && wasReachable;
    if (isIdle && !hasUnstoredEnds && BootClock::now() - worker->mAnsweredAt < kIdlePollInterval) {
      pause = kIdlePollInterval - (BootClock::now() - worker->mAnsweredAt);
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
      channel.mWake->expires_after(pause);
      co_await channel.mWake->async_wait(kNoThrow);
    }
  }
  mChannels[aId].mLoopRuns = false;
}

Async<void> Holder::Execute(std::string aId)
{
  auto self = shared_from_this();
  for (;;) {
    Channel& channel = mChannels[aId];
    if (mSteppedDown || channel.mQueue.empty()) {
      --channel.mActive;
      co_return;
    }
    auto order = std::move(channel.mQueue.front());
    channel.mQueue.pop_front();
    if (auto* start = std::get_if<StartOrder>(&order))
      co_await ExecuteStart(aId, std::move(*start));
    else if (auto* stop = std::get_if<StopOrder>(&order))
      co_await ExecuteStop(aId, std::move(*stop));
    else
      co_await ExecutePace(aId, std::move(std::get<PaceOrder>(order)));
  }
}

Async<void> Holder::ExecuteStart(std::string aId, StartOrder aOrder)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  // Taken before the permission is checked: after a pause the worker refuses the order.
  const TimePoint sentAt = BootClock::now();
  if (!target || !MayStart()) {
    mScheduler.OnStart(aOrder, StartOutcome::NotStarted, BootClock::now());
    co_return;
  }
  if (!mScheduler.IsStartWanted(aOrder)) {
    Log(LogPart::Place,
        LogLevel::Info,
        "withdrew a start before it was sent",
        { { "task", aOrder.mTask }, { "run", aOrder.mRun }, { "worker", aId } });
    mScheduler.OnStart(aOrder, StartOutcome::Withdrawn, BootClock::now());
    WakePlan();
    co_return;
  }
  // A worker that has closed its connections may have restarted, as another kind.
  const std::string address = mScheduler.FindWorker(aId)->mAddress;
  if (co_await DropClosedConnections(target->mAddress, address)) {
    mScheduler.OnStart(aOrder, StartOutcome::Withdrawn, BootClock::now());
    WakePlan();
    co_return;
  }
  // The order counts as a renewal up to the last moment at which it may take effect.
  if (Worker* worker = mScheduler.FindWorker(aId))
    worker->mLeaseSentAt =
      std::max(worker->mLeaseSentAt,
               sentAt + kStartEffect - mScheduler.GetTaskLease(sentAt, mGrant.mRenewedAt));
  // The worker refuses an order that arrives after this time. Polls renew the tasks' leases.
  const std::int64_t until = EstimateWorkerClock(mChannels[aId], sentAt) + kStartValidity.count();
  std::erase_if(mUnsettledStarts,
                [&](const auto& aItem) { return sentAt - aItem.second > kStartEffect; });
  const std::uint64_t number = ++mNextStart;
  mUnsettledStarts.emplace(number, sentAt);
  const auto answer =
    co_await platform::StartTask(mClient, std::move(*target), aOrder, until, kOrderDeadline);
  if (answer.mOutcome != StartOutcome::Unknown)
    mUnsettledStarts.erase(number);
  if (mSteppedDown)
    co_return;
  Log(LogPart::Place,
      answer.mOutcome == StartOutcome::Started ? LogLevel::Debug : LogLevel::Warn,
      answer.mOutcome == StartOutcome::Started ? "started" : "not started",
      { { "task", aOrder.mTask },
        { "run", aOrder.mRun },
        { "worker", aId },
        { "answer", answer.mDetail },
        { "took_ms", BootClock::now() - sentAt } });
  mMetrics.GetCounter("fleet_starts_total", GetStartLabel(answer.mOutcome)).Add();
  mMetrics.GetHistogram("fleet_start_seconds").Record(BootClock::now() - sentAt);
  if (answer.mFenced) {
    StepDown("a worker has seen a later epoch");
    co_return;
  }
  const bool isClockReset = IsClockReset(mChannels[aId], answer.mClockMs, sentAt);
  RecordClock(mChannels[aId], answer.mClockMs, sentAt);
  mScheduler.OnStart(aOrder, answer.mOutcome, BootClock::now());
  if (isClockReset)
    mScheduler.OnClockReset(aId, BootClock::now());
  if (answer.mOutcome == StartOutcome::Unknown || answer.mOutcome == StartOutcome::StaleRun)
    Spawn(mContext, ProbeWorker(aId));
  if (answer.mOutcome != StartOutcome::Started)
    WakePlan();
  else
    WakeWorker(aId);
}

Async<void> Holder::ExecuteStop(std::string aId, StopOrder aOrder)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  if (!target || !MayRenewTaskLeases())
    co_return;
  auto stopped = co_await platform::StopTask(mClient, std::move(*target), aOrder, kOrderDeadline);
  if (mSteppedDown)
    co_return;
  Log(LogPart::Task,
      stopped ? LogLevel::Info : LogLevel::Warn,
      stopped ? "stopped" : "the stop was not confirmed",
      { { "task", aOrder.mTask },
        { "run", aOrder.mRun },
        { "worker", aId },
        { "answer", stopped ? std::string("200") : stopped.error().mDetail } });
  mScheduler.OnStop(aOrder, stopped.has_value(), BootClock::now());
  if (stopped)
    Spawn(mContext, ProbeWorker(aId));
}

Async<void> Holder::ExecutePace(std::string aId, PaceOrder aOrder)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  if (!target || !MayRenewTaskLeases())
    co_return;
  auto paced = co_await platform::PaceTask(mClient, std::move(*target), aOrder, kOrderDeadline);
  Log(LogPart::Task,
      LogLevel::Info,
      "set the pace of a filler task",
      { { "task", aOrder.mTask },
        { "worker", aId },
        { "percent", aOrder.mPercent },
        { "answer", paced ? std::string("200") : paced.error().mDetail } });
}

// Logs one line for all tasks of a stage that one plan starts; ExecuteStart logs failed starts.
void Holder::LogStarts(const std::vector<StartOrder>& aStarts)
{
  for (std::size_t n = 0; n < aStarts.size();) {
    const std::string stage = aStarts[n].mTask.substr(0, aStarts[n].mTask.rfind('.'));
    std::string placed;
    const std::size_t first = n;
    for (; n < aStarts.size() && aStarts[n].mTask.starts_with(stage + "."); ++n) {
      if (!placed.empty())
        placed += ',';
      placed.append(aStarts[n].mTask, stage.size() + 1).append("@").append(aStarts[n].mWorker);
    }
    Log(LogPart::Place,
        LogLevel::Info,
        "starting",
        { { "stage", stage },
          { "run", aStarts[first].mRun },
          { "tasks", n - first },
          { "epoch", GetEpoch() },
          { "placed", placed } });
  }
}

void Holder::Dispatch(Orders aOrders)
{
  LogStarts(aOrders.mStarts);
  const auto push = [this](auto aOrder, bool aFirst) {
    const std::string id = aOrder.mWorker;
    Channel& channel = mChannels[id];
    if (aFirst)
      channel.mQueue.emplace_front(std::move(aOrder));
    else
      channel.mQueue.emplace_back(std::move(aOrder));
    if (channel.mActive < kMaxConcurrentOrders) {
      ++channel.mActive;
      Spawn(mContext, Execute(id));
    }
  };
  for (StopOrder& it : aOrders.mStops)
    push(std::move(it), true);
  for (PaceOrder& it : aOrders.mPaces)
    push(std::move(it), true);
  for (StartOrder& it : aOrders.mStarts)
    push(std::move(it), false);
  for (AdviceOrder& it : aOrders.mAdvice)
    AssignAdviceCall(std::move(it));
}

void Holder::WakePlan()
{
  if (mPlanWoken)
    return;
  mPlanWoken = true;
  mPlanTimer.cancel();
}

Async<void> Holder::RunPlan()
{
  auto self = shared_from_this();
  while (!mSteppedDown) {
    if (!mPlanWoken) {
      mPlanTimer.expires_after(kPlanInterval);
      co_await mPlanTimer.async_wait(kNoThrow);
    }
    if (mPlanWoken)
      co_await Sleep(kPlanBatchDelay);
    mPlanWoken = false;
    if (mSteppedDown)
      co_return;
    ExpireAdvice();
    const TimePoint now = BootClock::now();
    if (MayRenewTaskLeases())
      mScheduler.DropLapsed(now);
    Dispatch(mScheduler.Plan(now, ReadWallMillis(), MayStart(), CountFreeAdvisors()));
    // Limits planning to a fifth of the thread's time, so that answers are handled in between.
    const Duration took = BootClock::now() - now;
    if (took > kPlanBatchDelay / 4)
      co_await Sleep(4 * took);
  }
}

}  // namespace monsoon::fleet
