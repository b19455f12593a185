#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace monsoon::fleet {

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr Duration kPollInterval = milliseconds(100);
constexpr Duration kLease = seconds(6);
constexpr Duration kAdviceTime = milliseconds(40);

}  // namespace

FleetModel::FleetModel(std::uint64_t aSeed, FleetFaults aFaults, std::size_t aWorkers)
  : mRandom(aSeed)
  , mFaults(aFaults)
{
  mScheduler = std::make_unique<Scheduler>(SchedulerSettings{ .mEpoch = mEpoch });
  mConfig.mVersion = 1;
  for (std::size_t n = 0; n < aWorkers; ++n)
    AddNode("w" + std::to_string(mNextNode++), "10.0.0." + std::to_string(n) + ":80");
}

void FleetModel::AddNode(std::string aId, std::string aAddress)
{
  Node node;
  node.mEntry.mId = aId;
  node.mEntry.mAddress = std::move(aAddress);
  node.mEntry.mService = "pool";
  node.mEntry.mMilliCores = 16'000;
  node.mEntry.mMemoryMiB = 65'536;
  mScheduler->ListWorker(node.mEntry, true, mNow);
  mRecorded[aId] = node.mEntry.mAddress;
  mNodes[aId] = std::move(node);
  Schedule(kPollInterval, [this, aId] { PollWorker(aId); });
}

void FleetModel::SetQueue(QueueConfig aQueue)
{
  mConfig.mQueues.push_back(std::move(aQueue));
  mScheduler->SetQueues(mConfig);
}

void FleetModel::Submit(JobSpec aSpec)
{
  mJobs[aSpec.mId] = aSpec;
  mScheduler->AddJob(std::move(aSpec), {}, false, mNow);
}

void FleetModel::Cancel(const std::string& aId)
{
  mCancelled.insert(aId);
  mScheduler->CancelJob(aId, mNow);
}

std::size_t FleetModel::CountStarts(const std::string& aTask) const
{
  auto it = mStarts.find(aTask);
  return it == mStarts.end() ? 0 : it->second;
}

void FleetModel::Schedule(Duration aDelay, std::function<void()> aAction)
{
  mEvents.emplace(mNow + aDelay, std::move(aAction));
}

bool FleetModel::Happens(double aShare)
{
  return aShare > 0 && std::uniform_real_distribution<>(0, 1)(mRandom) < aShare;
}

void FleetModel::ReportViolation(std::string aWhat)
{
  if (mViolations.size() < 20)
    mViolations.push_back(std::to_string((mNow - TimePoint(seconds(1000))) / milliseconds(1)) +
                          " ms: " + std::move(aWhat));
}

const StageSpec* FleetModel::FindStage(const std::string& aTask, const JobSpec** aJob) const
{
  const auto dot = aTask.find('.');
  auto job = mJobs.find(aTask.substr(0, dot));
  if (job == mJobs.end())
    return nullptr;
  *aJob = &job->second;
  const auto stage = std::stoul(aTask.substr(aTask.find('.', dot + 1) + 1));
  return stage < job->second.mStages.size() ? &job->second.mStages[stage] : nullptr;
}

void FleetModel::EndRun(Node& aNode, std::size_t aIndex, EndKind aKind)
{
  const Running it = std::move(aNode.mRunning[aIndex]);
  aNode.mRunning.erase(aNode.mRunning.begin() + static_cast<std::ptrdiff_t>(aIndex));
  aNode.mEnded.push_back({ aNode.mNextEnd++, it.mOrder.mTask, it.mOrder.mRun, aKind, "" });
  auto& closed = aNode.mClosed[it.mOrder.mTask];
  closed = std::max(closed, it.mOrder.mRun);
  if (aKind == EndKind::Failed)
    ++mFailures[it.mOrder.mTask];
}

// Returns the progress of a task in whole percent, as workers report it.
double FleetModel::ComputePercent(const Running& aRunning) const
{
  const double all = static_cast<double>((aRunning.mEndAt - aRunning.mStartedAt).count());
  const double done = static_cast<double>((mNow - aRunning.mStartedAt).count());
  return all <= 0 ? 100 : std::floor(100 * done / all);
}

void FleetModel::Advance(Node& aNode)
{
  // A stalled worker makes no progress, so the start and end of its tasks are shifted.
  const Duration stalled = std::min(mNow, aNode.mStalledUntil) - aNode.mAdvancedAt;
  if (aNode.mAdvancedAt != TimePoint{} && stalled > Duration::zero())
    for (Running& it : aNode.mRunning)
      if (it.mEnd != EndKind::Stopped) {
        it.mStartedAt += stalled;
        it.mEndAt += stalled;
      }
  aNode.mAdvancedAt = mNow;
  for (std::size_t n = aNode.mRunning.size(); n-- > 0;) {
    if (aNode.mRunning[n].mEndAt <= mNow)
      EndRun(aNode, n, aNode.mRunning[n].mEnd);
    else if (aNode.mLeaseUntil < mNow)
      EndRun(aNode, n, EndKind::Lapsed);
  }
}

// Carries out a start order on its worker, and checks the invariants of a start.
void FleetModel::DeliverStart(const StartOrder& aOrder, std::uint64_t aEpoch, TimePoint aSentAt)
{
  auto found = mNodes.find(aOrder.mWorker);
  if (found == mNodes.end() || !found->second.mUp)
    return;
  Node& node = found->second;
  Advance(node);
  if (aEpoch < node.mToken || mNow > aSentAt + kLease)
    return;
  node.mToken = aEpoch;
  auto closed = node.mClosed.find(aOrder.mTask);
  if (closed != node.mClosed.end() && aOrder.mRun <= closed->second)
    return;
  for (const Running& it : node.mRunning)
    if (it.mOrder.mTask == aOrder.mTask && it.mOrder.mRun == aOrder.mRun)
      return;
  const JobSpec* job = nullptr;
  const StageSpec* stage = FindStage(aOrder.mTask, &job);
  if (!stage) {
    ReportViolation("a start of a task of an unknown job or stage: " + aOrder.mTask);
    return;
  }
  if (node.mRunning.empty())
    node.mLeaseUntil = aSentAt + kLease;
  node.mLeaseUntil = std::max(node.mLeaseUntil, aSentAt + kLease);
  std::uint64_t used = stage->mMilliCores;
  for (const Running& it : node.mRunning) {
    const JobSpec* other = nullptr;
    used += FindStage(it.mOrder.mTask, &other)->mMilliCores;
  }
  if (used > node.mEntry.mMilliCores)
    ReportViolation("a worker is over its capacity: " + aOrder.mWorker);
  for (auto& [id, other] : mNodes) {
    Advance(other);
    for (const Running& it : other.mRunning)
      if (other.mUp && it.mOrder.mTask == aOrder.mTask && !stage->mSpeculative)
        ReportViolation("two runs of a task at once: " + aOrder.mTask + " on " + id + " and " +
                        aOrder.mWorker);
  }
  if (mAcknowledged.contains(aOrder.mTask) && !stage->mSpeculative)
    ReportViolation("a start after an acknowledged successful end: " + aOrder.mTask);
  for (const std::uint32_t before : stage->mAfter)
    for (std::uint32_t n = 0; n < job->mStages[before].mCount; ++n) {
      const std::string earlier =
        job->mId + ".0." + std::to_string(before) + "." + std::to_string(n);
      const bool hasEnded =
        mAcknowledged.contains(earlier) ||
        std::any_of(mNodes.begin(), mNodes.end(), [&](const auto& aItem) {
          return std::any_of(
            aItem.second.mEnded.begin(), aItem.second.mEnded.end(), [&](const EndedTask& aRow) {
              return aRow.mTask == earlier && aRow.mKind == EndKind::Done;
            });
        });
      if (!hasEnded && !job->mStages[before].mGang)
        ReportViolation("a start before " + earlier + " has ended: " + aOrder.mTask);
    }
  ++mStarts[aOrder.mTask];
  if (mPoison.contains(aOrder.mTask))
    Schedule(milliseconds(10), [this, id = aOrder.mWorker] { CrashUnderTask(id); });
  auto runTime = mRunTimes.find(job->mId);
  const Duration planned =
    runTime != mRunTimes.end() ? runTime->second : Duration(milliseconds(200 + mRandom() % 1500));
  Running it;
  it.mOrder = aOrder;
  it.mEnd = Happens(mFaults.mFailure) ? EndKind::Failed : EndKind::Done;
  it.mStartedAt = mNow;
  it.mEndAt = stage->mLongRunning ? mNow + seconds(10'000) : mNow + planned;
  if (stage->mGang) {
    // Members start to work when all of them are there. A member that waits in vain ends.
    it.mEndAt = mNow + seconds(3);
    it.mEnd = EndKind::Alone;
  }
  node.mRunning.push_back(it);
  if (!stage->mGang)
    return;
  std::vector<Running*> members;
  const std::string prefix = aOrder.mTask.substr(0, aOrder.mTask.rfind('.') + 1);
  for (auto& [id, other] : mNodes)
    for (Running& member : other.mRunning)
      if (other.mUp && member.mOrder.mTask.starts_with(prefix) && member.mOrder.mRun == aOrder.mRun)
        members.push_back(&member);
  if (members.size() < stage->mCount)
    return;
  for (Running* member : members) {
    member->mEndAt = mNow + planned;
    member->mEnd = EndKind::Done;
  }
}

void FleetModel::SendStart(const StartOrder& aOrder)
{
  const std::uint64_t epoch = mEpoch;
  const TimePoint sentAt = mNow;
  const auto report = [this, aOrder, epoch](Duration aDelay, StartOutcome aOutcome) {
    Schedule(aDelay, [this, aOrder, epoch, aOutcome] {
      if (epoch == mEpoch)
        mScheduler->OnStart(aOrder, aOutcome, mNow);
    });
  };
  if (mForcedOutcome) {
    report(milliseconds(5), *mForcedOutcome);
    mForcedOutcome.reset();
    return;
  }
  if (Happens(mFaults.mNoConnection)) {
    report(milliseconds(800), StartOutcome::NotStarted);
    return;
  }
  if (Happens(mFaults.mDelayed)) {
    Schedule(milliseconds(2000 + mRandom() % 10'000),
             [this, aOrder, epoch, sentAt] { DeliverStart(aOrder, epoch, sentAt); });
    report(milliseconds(800), StartOutcome::Unknown);
    return;
  }
  auto node = mNodes.find(aOrder.mWorker);
  const bool isUnresponsive =
    node == mNodes.end() || !node->second.mUp || mNow < node->second.mUnresponsiveUntil;
  if (isUnresponsive) {
    report(milliseconds(800), StartOutcome::Unknown);
    return;
  }
  const bool isLost = Happens(mFaults.mLostAnswer);
  Schedule(milliseconds(3), [this, aOrder, epoch, sentAt, isLost, report] {
    auto it = mNodes.find(aOrder.mWorker);
    const auto closed = it == mNodes.end() ? 0 : it->second.mClosed[aOrder.mTask];
    const bool isFenced = it != mNodes.end() && epoch < it->second.mToken;
    DeliverStart(aOrder, epoch, sentAt);
    if (isLost)
      report(milliseconds(797), StartOutcome::Unknown);
    else if (closed >= aOrder.mRun)
      report(milliseconds(3), StartOutcome::StaleRun);
    else
      report(milliseconds(3), isFenced ? StartOutcome::NotStarted : StartOutcome::Started);
  });
}

void FleetModel::SendStop(const StopOrder& aOrder)
{
  const std::uint64_t epoch = mEpoch;
  auto found = mNodes.find(aOrder.mWorker);
  if (found == mNodes.end() || !found->second.mUp || mNow < found->second.mUnresponsiveUntil)
    return;
  const bool isLost = Happens(mFaults.mLostAnswer);
  Schedule(milliseconds(3), [this, aOrder, epoch, isLost] {
    auto it = mNodes.find(aOrder.mWorker);
    if (it == mNodes.end() || epoch < it->second.mToken)
      return;
    Node& node = it->second;
    Advance(node);
    auto& closed = node.mClosed[aOrder.mTask];
    closed = std::max(closed, aOrder.mRun);
    for (std::size_t n = node.mRunning.size(); n-- > 0;)
      if (node.mRunning[n].mOrder.mTask == aOrder.mTask &&
          node.mRunning[n].mOrder.mRun <= aOrder.mRun)
        node.mRunning[n].mEndAt = std::min(node.mRunning[n].mEndAt, mNow + milliseconds(150)),
        node.mRunning[n].mEnd = EndKind::Stopped;
    if (!isLost && epoch == mEpoch)
      mScheduler->OnStop(aOrder, true, mNow);
  });
}

void FleetModel::PollWorker(const std::string& aId)
{
  auto found = mNodes.find(aId);
  if (found == mNodes.end())
    return;
  Schedule(kPollInterval, [this, aId] { PollWorker(aId); });
  Node& node = found->second;
  Worker* worker = mScheduler->FindWorker(aId);
  if (!worker)
    return;
  if (node.mIsReplaced) {
    mScheduler->OnReplaced(aId, mNow);
    return;
  }
  Advance(node);
  if (!node.mUp || mNow < node.mUnresponsiveUntil) {
    mScheduler->OnSilence(aId, mNow);
    return;
  }
  node.mToken = std::max(node.mToken, mEpoch);
  const Duration lease = mScheduler->RenewTaskLeases(*worker, mNow, mNow);
  if (lease > Duration::zero())
    node.mLeaseUntil = std::max(node.mLeaseUntil, mNow + lease);
  const std::uint64_t acknowledged = worker->mStoredEnd;
  for (const EndedTask& row : node.mEnded)
    if (row.mNumber <= acknowledged && row.mKind == EndKind::Done)
      mAcknowledged.insert(row.mTask);
  std::erase_if(node.mEnded,
                [acknowledged](const EndedTask& aRow) { return aRow.mNumber <= acknowledged; });
  WorkerReport report;
  report.mEnded = node.mEnded;
  for (const EndedTask& row : node.mEnded)
    mAloneEnds += row.mKind == EndKind::Alone ? 1 : 0;
  for (const Running& it : node.mRunning)
    report.mRunning.push_back({ it.mOrder.mTask, it.mOrder.mRun, "", ComputePercent(it), 0 });
  mScheduler->OnReport(aId, report, mNow, mNow);
}

void FleetModel::StoreProgress()
{
  for (;;) {
    const ProgressBatch batch = mScheduler->CollectProgress(31, mNow);
    for (const StoredProgress& it : batch.mJobs)
      mProgress[it.mJob] = it.mBytes;
    mScheduler->OnProgressStored(batch);
    if (batch.mJobs.empty())
      return;
  }
}

// Stores the task list of an unresponsive worker, and removes it when the worker answers again, as
// the holder does.
void FleetModel::RecordWorkers()
{
  std::erase_if(mRecorded,
                [this](const auto& aItem) { return !mScheduler->FindWorker(aItem.first); });
  for (const auto& [id, listed] : mScheduler->GetWorkers()) {
    Worker& worker = *mScheduler->FindWorker(id);
    if (worker.mFinalWanted && !worker.mReachable) {
      std::set<std::string> tasks;
      for (const Run& run : worker.mRuns)
        tasks.insert(run.mTask);
      mFinalTasksByWorker[id] = tasks;
      mSuspectsByWorker[id] = mScheduler->ListSuspects(worker);
      worker.mFinalTasks = std::move(tasks);
      worker.mFinalWanted = false;
    } else if ((worker.mFinalTasks || worker.mFinalWanted) && worker.mReachable && worker.mFenced) {
      mFinalTasksByWorker.erase(id);
      worker.mFinalTasks.reset();
      worker.mFinalWanted = false;
    }
  }
}

void FleetModel::TakeOver()
{
  ++mEpoch;
  mScheduler = std::make_unique<Scheduler>(SchedulerSettings{ .mEpoch = mEpoch });
  mScheduler->SetQueues(mConfig);
  for (const auto& [id, spec] : mJobs) {
    auto progress = mProgress.find(id);
    mScheduler->AddJob(
      spec, progress == mProgress.end() ? std::string_view() : progress->second, true, mNow);
    if (mCancelled.contains(id))
      mScheduler->CancelJob(id, mNow);
  }
  for (const auto& [id, address] : mRecorded) {
    WorkerEntry entry;
    entry.mId = id;
    entry.mAddress = address;
    entry.mService = "pool";
    mScheduler->ListWorker(entry, true, mNow);
    mScheduler->UnlistWorker(id, mNow);
    if (auto it = mFinalTasksByWorker.find(id); it != mFinalTasksByWorker.end())
      mScheduler->SetFinalTasks(id, it->second, mSuspectsByWorker[id]);
  }
  for (const auto& [id, node] : mNodes)
    if (node.mUp)
      mScheduler->ListWorker(node.mEntry, true, mNow);
}

// Ends the other members of a gang that has lost one.
void FleetModel::BreakGang(const StartOrder& aMember)
{
  const JobSpec* job = nullptr;
  const StageSpec* stage = FindStage(aMember.mTask, &job);
  if (!stage || !stage->mGang)
    return;
  const std::string prefix = aMember.mTask.substr(0, aMember.mTask.rfind('.') + 1);
  for (auto& [id, node] : mNodes)
    for (Running& it : node.mRunning)
      if (it.mOrder.mTask.starts_with(prefix) && it.mOrder.mRun == aMember.mRun) {
        it.mEndAt = mNow;
        it.mEnd = EndKind::Broken;
      }
}

// Crashes a worker. Once its successor answers at its address, polls of the old id tell the
// scheduler so.
void FleetModel::CrashUnderTask(const std::string& aId)
{
  auto found = mNodes.find(aId);
  if (found == mNodes.end() || !found->second.mUp)
    return;
  found->second.mUp = false;
  for (const Running& it : found->second.mRunning)
    BreakGang(it.mOrder);
  found->second.mRunning.clear();
  const std::string address = found->second.mEntry.mAddress;
  Schedule(seconds(3), [this, aId, address] {
    mNodes[aId].mIsReplaced = true;
    AddNode("w" + std::to_string(mNextNode++), address);
  });
}

void FleetModel::InjectFaults()
{
  const double tick = std::chrono::duration<double>(kTick).count();
  if (Happens(mFaults.mTakeoverPerS * tick))
    TakeOver();
  std::vector<std::string> ids;
  for (const auto& [id, node] : mNodes)
    if (node.mUp)
      ids.push_back(id);
  for (const std::string& id : ids) {
    if (Happens(mFaults.mUnresponsivePerS * tick))
      mNodes[id].mUnresponsiveUntil = mNow + milliseconds(500 + mRandom() % 7500);
    if (Happens(mFaults.mStallPerS * tick)) {
      Advance(mNodes[id]);
      mNodes[id].mStalledUntil = mNow + milliseconds(500 + mRandom() % 5500);
    }
    if (!Happens(mFaults.mCrashPerS * tick))
      continue;
    Node& node = mNodes[id];
    node.mUp = false;
    node.mRunning.clear();
    const std::string address = node.mEntry.mAddress;
    Schedule(seconds(1), [this, address] { AddNode("w" + std::to_string(mNextNode++), address); });
  }
}

void FleetModel::Tick()
{
  InjectFaults();
  mScheduler->DropLapsed(mNow);
  Orders orders = mScheduler->Plan(mNow, 0, true, 8);
  for (const StopOrder& it : orders.mStops)
    SendStop(it);
  for (const StartOrder& it : orders.mStarts)
    SendStart(it);
  const std::uint64_t epoch = mEpoch;
  for (const AdviceOrder& it : orders.mAdvice)
    Schedule(kAdviceTime, [this, it, epoch, askedAt = mNow] {
      if (epoch != mEpoch)
        return;
      std::vector<AdmittedWorker> admitted;
      for (const std::string& id : it.mWorkers) {
        // Each stage may run on the first machine, whichever worker lives there, so each can end.
        const auto node = mNodes.find(id);
        const bool isFirst = node != mNodes.end() && node->second.mEntry.mAddress == "10.0.0.0:80";
        if (isFirst || std::hash<std::string>()(it.mStage + id) % 10 < 6)
          admitted.push_back({ id, "ticket" });
      }
      mScheduler->OnAdvice(it, &admitted, seconds(2), askedAt, mNow);
    });
  if ((mNow.time_since_epoch() / kTick) % 5 == 0)
    StoreProgress();
  if ((mNow.time_since_epoch() / kTick) % 6 == 0)
    RecordWorkers();
  Schedule(kTick, [this] { Tick(); });
}

void FleetModel::Stall(const std::string& aTask, Duration aTime)
{
  for (auto& [id, node] : mNodes)
    for (const Running& it : node.mRunning)
      if (it.mOrder.mTask == aTask) {
        Advance(node);
        node.mStalledUntil = mNow + aTime;
        return;
      }
}

void FleetModel::MakeUnresponsive(const std::string& aTask, Duration aTime)
{
  for (auto& [id, node] : mNodes)
    for (const Running& it : node.mRunning)
      if (it.mOrder.mTask == aTask)
        node.mUnresponsiveUntil = mNow + aTime;
}

void FleetModel::RunFor(Duration aTime)
{
  const TimePoint end = mNow + aTime;
  if (!mTicking) {
    mTicking = true;
    Schedule(kTick, [this] { Tick(); });
  }
  while (!mEvents.empty() && mEvents.begin()->first <= end) {
    auto node = mEvents.extract(mEvents.begin());
    mNow = node.key();
    node.mapped()();
  }
  mNow = end;
}

}  // namespace monsoon::fleet
