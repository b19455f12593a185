// Sends orders to workers, and runs the planning loop.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kPlanBatchDelay = milliseconds(4);  // plans once for events that arrive together
constexpr std::size_t kMaxConcurrentOrders = 3;        // per worker
constexpr Duration kOrderDeadline = milliseconds(400);   // a cross-zone round trip takes 9 ms
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
  if (DropClosedConnections(target->mAddress, address)) {
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
  ++mStats.mStarts;
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
  else if (mChannels[aId].mIsIdle)
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
  if (!target || !MayRenewTaskLeases()) {
    mScheduler.OnPace(aOrder, false, BootClock::now());
    co_return;
  }
  auto paced = co_await platform::PaceTask(mClient, std::move(*target), aOrder, kOrderDeadline);
  if (mSteppedDown)
    co_return;
  mScheduler.OnPace(aOrder, paced.has_value(), BootClock::now());
  Log(LogPart::Task,
      LogLevel::Info,
      "set the pace of a filler task",
      { { "task", aOrder.mTask },
        { "run", aOrder.mRun },
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
    ++mStats.mPlans;
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
