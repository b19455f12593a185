// Reports of workers, and orders to them.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kPlanSoon = milliseconds(4);         // gathers what comes in together
constexpr std::size_t kOrdersAtOnce = 3;                // to one worker
constexpr Duration kOrderDeadline = milliseconds(400);  // a cross-zone round trip takes 9 ms
constexpr Duration kHoldWait = milliseconds(1000);      // a report at least so often
constexpr Duration kHoldMargin = milliseconds(400);
constexpr Duration kShortTaskHoldWait =
  milliseconds(500);  // while a short task runs, to see its speed
constexpr Duration kShortTask = seconds(2);
constexpr Duration kShortHoldWait = milliseconds(250);  // while answers get lost
constexpr std::size_t kSilencesForShort = 3;            // within kSilenceAge, in the whole fleet
constexpr Duration kSilenceAge = seconds(3);
constexpr Duration kIdleHold = seconds(3);           // looks at a worker that runs nothing
constexpr Duration kSilentHold = milliseconds(300);  // looks at a worker that does not answer

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

std::int64_t Holder::ReadWorkerClock(const Channel& aChannel) const
{
  const auto passed =
    std::chrono::duration_cast<milliseconds>(BootClock::now() - aChannel.mClockAt);
  return aChannel.mClockMs + passed.count();
}

void Holder::NoteClock(Channel& aChannel, std::int64_t aClockMs, TimePoint aSentAt)
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
  auto address = ParseAddress(worker->mEntry.mAddress);
  if (!address)
    return std::nullopt;
  return platform::WorkerTarget{ *address, aId, GetEpoch() };
}

void Holder::EnsureLoop(const std::string& aId)
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

Async<bool> Holder::HoldOnce(std::string aId, Duration aWait)
{
  auto self = shared_from_this();
  auto target = MakeTarget(aId);
  Worker* worker = mScheduler.FindWorker(aId);
  if (!target || !worker)
    co_return false;
  const TimePoint sentAt = BootClock::now();
  platform::HoldOrder order;
  order.mToken = GetEpoch();
  order.mNotedEnd = worker->mStoredEnd;
  order.mWaitMs =
    static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(aWait).count());
  Channel& channel = mChannels[aId];
  // A worker that was silent is asked first, without prolonging: its tasks may be waited out.
  if (channel.mClockMs != 0 && worker->mReachable && MayRenewTaskLeases()) {
    order.mUntilMs = ReadWorkerClock(channel) +
                     std::chrono::duration_cast<milliseconds>(mSettings.mTaskLease).count();
    worker->mLeaseSentAt = sentAt;
  }
  auto report = co_await platform::Hold(mClient, std::move(*target), order, aWait + kHoldMargin);
  if (mDeposed)
    co_return false;
  if (!report) {
    if (report.error().mKind == FailureKind::Fenced) {
      Depose("a worker has seen a later epoch");
      co_return false;
    }
    mMetrics.GetCounter("fleet_silent_reports_total").Add();
    mSilences.push_back(BootClock::now());
    mScheduler.OnSilence(aId, BootClock::now());
    co_return false;
  }
  if (sentAt < channel.mReportSentAt)
    co_return true;  // a later order's answer was faster: this report is out of date
  channel.mReportSentAt = sentAt;
  NoteClock(channel, report->mClockMs, sentAt);
  mScheduler.OnReport(aId, *report, sentAt, BootClock::now());
  if (mScheduler.HasEndedJob())
    mStoreTimer.cancel();
  WakePlan();
  co_return true;
}

// A lost answer hides what ended on its worker until the call is given up, so calls are kept short
// while answers get lost.
Duration Holder::ChooseHoldWait(const Worker& aWorker)
{
  const TimePoint now = BootClock::now();
  while (!mSilences.empty() && now - mSilences.front() > kSilenceAge)
    mSilences.pop_front();
  if (mSilences.size() >= kSilencesForShort)
    return kShortHoldWait;
  const bool hasShort =
    std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const Run& aItem) {
      return aItem.mEstimate > Duration::zero() && aItem.mEstimate <= kShortTask;
    });
  return hasShort ? kShortTaskHoldWait : kHoldWait;
}

Async<void> Holder::ProbeWorker(std::string aId)
{
  auto self = shared_from_this();
  co_await HoldOnce(std::move(aId), Duration::zero());
}

Async<void> Holder::WatchWorker(std::string aId)
{
  auto self = shared_from_this();
  while (!mDeposed) {
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
    if (isIdle && !hasUnstoredEnds && BootClock::now() - worker->mAnsweredAt < kIdleHold) {
      pause = kIdleHold - (BootClock::now() - worker->mAnsweredAt);
    } else {
      const bool mayWait =
        wasReachable && worker->mFenced && !hasUnstoredEnds && !isUnsure && !isIdle;
      const bool isAnswered =
        co_await HoldOnce(aId, mayWait ? ChooseHoldWait(*worker) : Duration::zero());
      if (mDeposed)
        break;
      worker = mScheduler.FindWorker(aId);
      if (!worker)
        break;
      if (!isAnswered)
        pause = wasReachable ? Duration::zero() : kSilentHold;  // one answer may just be lost
      else if (!wasReachable)
        pause = Duration::zero();
      else if (worker->mLastEnd > worker->mStoredEnd || isUnsure)
        pause = milliseconds(100);  // or until the ends are stored
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
    if (mDeposed || channel.mQueue.empty()) {
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
  if (!target || !MayStart()) {
    mScheduler.OnStart(aOrder, StartOutcome::NotStarted, BootClock::now());
    co_return;
  }
  const TimePoint sentAt = BootClock::now();
  if (Worker* worker = mScheduler.FindWorker(aId))
    worker->mLeaseSentAt = sentAt;
  const std::int64_t until = ReadWorkerClock(mChannels[aId]) +
                             std::chrono::duration_cast<milliseconds>(mSettings.mTaskLease).count();
  const auto answer =
    co_await platform::StartTask(mClient, std::move(*target), aOrder, until, kOrderDeadline);
  if (mDeposed)
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
    Depose("a worker has seen a later epoch");
    co_return;
  }
  NoteClock(mChannels[aId], answer.mClockMs, sentAt);
  mScheduler.OnStart(aOrder, answer.mOutcome, BootClock::now());
  if (answer.mOutcome == StartOutcome::Unknown || answer.mOutcome == StartOutcome::OldRun)
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
  if (mDeposed)
    co_return;
  Log(LogPart::Task,
      stopped ? LogLevel::Info : LogLevel::Warn,
      stopped ? "stopped" : "a stop was not confirmed",
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
      "paced a filling task",
      { { "task", aOrder.mTask },
        { "worker", aId },
        { "percent", aOrder.mPercent },
        { "answer", paced ? std::string("200") : paced.error().mDetail } });
}

// One line for the starts of a stage that are decided together; a start that fails has its own.
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
    if (channel.mActive < kOrdersAtOnce) {
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
    HandOut(std::move(it));
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
  while (!mDeposed) {
    if (!mPlanWoken) {
      mPlanTimer.expires_after(kPlanEvery);
      co_await mPlanTimer.async_wait(kNoThrow);
    }
    if (mPlanWoken)
      co_await Sleep(kPlanSoon);
    mPlanWoken = false;
    if (mDeposed)
      co_return;
    ExpireAdvice();
    const TimePoint now = BootClock::now();
    if (MayRenewTaskLeases())
      mScheduler.DropLapsed(now, mPredecessorGone ? Duration::zero() : kOutageGrace);
    Dispatch(mScheduler.Plan(now, ReadWallMillis(), MayStart(), CountFreeAdvisors()));
    // Planning gets a fifth of the time at most, so that answers are taken in between.
    const Duration took = BootClock::now() - now;
    if (took > kPlanSoon / 4)
      co_await Sleep(4 * took);
  }
}

}  // namespace monsoon::fleet
