#include "tests/unit/job_model.h"

namespace monsoon::testing {

namespace {

constexpr Duration kLease = seconds(15);
constexpr Duration kDeadline = seconds(2);
constexpr Duration kLeavingGrace = seconds(5);  // then a leaving endpoint must get no new tasks

bool IsRunning(const ModelTask& aTask)
{
  return aTask.mEnd == TaskEnd::Running;
}

}  // namespace

JobModel::JobModel(std::uint32_t aSeed, InjectedFault aFault)
  : mRandom(aSeed)
  , mInjectedFault(aFault)
{
}

void JobModel::RecordViolation(std::string aViolation)
{
  if (mViolation.empty())
    mViolation = std::move(aViolation);
}

std::int64_t JobModel::GetMillis() const
{
  return std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch()).count();
}

bool JobModel::DrawLoss()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < mLoss;
}

void JobModel::AddWorker(const WorkerName& aName, const Resources& aCapacity)
{
  ModelWorker& worker = mWorkers[aName];
  worker.mSpec.mName = aName;
  worker.mSpec.mZone = "zone-a";
  worker.mSpec.mCapacity = aCapacity;
  TakeOver(worker);
  Renew(worker);
}

void JobModel::TakeOver(ModelWorker& aWorker)
{
  aWorker.mState = std::make_unique<SupervisionState>(aWorker.mEpoch, mNow);
  aWorker.mBook = CapacityBook();
  aWorker.mBook.PutWorker(aWorker.mSpec, aWorker.mEpoch);
  aWorker.mBook.SetQuietUntil(aWorker.mSpec.mName, mNow + kTaskStartWithin);
}

// Journal
bool JobModel::Commit(const JobEntry& aEntry)
{
  const std::vector<JobEntry> entries{ aEntry };
  ++mAt;
  const bool forgotten =
    mInjectedFault == InjectedFault::ForgetEntry && aEntry.index() == 0 && mAt % 7 == 0;
  mLog.push_back(EncodeEntries(forgotten ? std::vector<JobEntry>() : entries));
  if (std::uniform_real_distribution<double>(0, 1)(mRandom) < mWriteUnknown) {
    Replay();
    return false;
  }
  return mTable.Apply(aEntry, mAt, mNow).has_value();
}

void JobModel::Replay()
{
  mTable.Clear();
  for (std::size_t i = 0; i < mLog.size(); ++i)
    for (const JobEntry& it : *DecodeEntries(mLog[i]))
      [[maybe_unused]] const auto effect = mTable.Apply(it, i + 1, mNow);
  mTable.QueryAllNow();
}

void JobModel::KillShardOwner()
{
  Replay();
}

Result<void> JobModel::Submit(const JobSpec& aSpec)
{
  mSpecs[aSpec.mId] = aSpec;
  if (!Commit(JobSubmitted{ aSpec }))
    return MakeFailure(FailureKind::WriteUnknown);
  mAccepted.insert(aSpec.mId);
  return {};
}

void JobModel::Cancel(const JobId& aJob)
{
  if (Commit(JobCancelled{ aJob }))
    mCancelled.insert(aJob);
}

// Placement
void JobModel::Place()
{
  PlanContext context;
  context.mNow = mNow;
  for (const auto& [name, since] : mLeavingSince)
    context.mLeaving.insert(name);
  const auto groups = mTable.PlanNext(context);
  for (const JobId& it : mCancelDuringPlace)
    Cancel(it);
  mCancelDuringPlace.clear();
  for (const PlannedGroup& group : groups) {
    const bool found = PlaceGroup(group);
    if (mInjectedFault != InjectedFault::ForgetEndPlacing)
      mTable.EndPlacing(group, found, mNow);
  }
}

bool JobModel::PlaceGroup(const PlannedGroup& aGroup)
{
  std::vector<Offer> offers;
  const auto count = static_cast<std::uint32_t>(aGroup.mTasks.size());
  for (auto& [name, worker] : mWorkers) {
    worker.mBook.Expire(mNow);
    std::vector<WorkerView> views = worker.mBook.ListViews(aGroup.mShape.mJob);
    for (WorkerView& it : views)
      it.mExcluded =
        mInjectedFault != InjectedFault::StartOnLeaving && mLeavingSince.contains(name);
    FitReply fit = RankWorkers(views, aGroup.mShape, count);
    offers.insert(offers.end(), fit.mOffers.begin(), fit.mOffers.end());
  }
  if (mInjectedFault == InjectedFault::StartWithoutHold) {
    ModelWorker& first = mWorkers.begin()->second;
    for (const std::uint32_t index : aGroup.mTasks)
      Assign(aGroup, { aGroup.mShape.mJob, index }, { 0, first.mEpoch, {} }, first);
    return true;
  }
  const auto steps = PlanGang(ChooseOffers(offers, aGroup.mShape, count), aGroup.mTasks);
  std::vector<Offer> chosen = ChooseOffers(offers, aGroup.mShape, count);
  if (aGroup.mAllOrNone && steps.empty())
    return false;
  bool found = false;
  std::size_t next = 0;
  for (const Offer& offer : chosen) {
    ModelWorker& worker = mWorkers[offer.mWorker];
    HoldRequest request;
    request.mShape = aGroup.mShape;
    request.mWorker = offer.mWorker;
    for (std::uint32_t i = 0; i < offer.mCount && next < aGroup.mTasks.size(); ++i)
      request.mTasks.push_back({ aGroup.mShape.mJob, aGroup.mTasks[next++] });
    request.mExpiry = seconds(3);
    const auto hold = worker.mBook.Hold(request, mNow);
    if (!hold)
      continue;
    for (const TaskKey& task : hold->mTasks)
      found = Assign(aGroup, task, *hold, worker) || found;
  }
  return found;
}

bool JobModel::Assign(const PlannedGroup& aGroup,
                      const TaskKey& aTask,
                      const HoldReply& aHold,
                      ModelWorker& aWorker)
{
  const JobRecord* job = mTable.Find(aTask.mJob);
  const std::uint32_t attempt = job ? job->mTasks[aTask.mIndex].mLastAttempt + 1 : 1;
  const WorkerName& name = aWorker.mSpec.mName;
  const bool cancelled = mCancelled.contains(aTask.mJob);
  const TaskAssigned entry{ aTask, attempt, name, aHold.mEpoch, aGroup.mShape.mNeed };
  if (!Commit(entry) && !(mInjectedFault == InjectedFault::IgnoreCancel && cancelled))
    return false;
  if (DrawLoss())
    return true;  // simulates an owner that dies between the entry and the start
  TaskStart start;
  start.mHold = aHold.mId;
  start.mEpoch = aHold.mEpoch;
  start.mWorker = name;
  start.mTask = aTask;
  start.mAttempt = attempt;
  start.mNeed = aGroup.mShape.mNeed;
  BeginStart(aWorker, start);
  return true;
}

void JobModel::BeginStart(ModelWorker& aWorker, const TaskStart& aStart)
{
  const WorkerName& name = aWorker.mSpec.mName;
  if (aStart.mEpoch != aWorker.mEpoch)
    return;
  const auto before = aWorker.mBook.FindStartBefore(name, kTaskStartWithin, mNow);
  const AttemptId attempt{ aStart.mTask, aStart.mAttempt };
  if (mCancelled.contains(aStart.mTask.mJob))
    RecordViolation("started after its cancellation: " + aStart.mTask.mJob);
  if (!before || !aWorker.mState->BeginStart(attempt, mNow + kTaskStartWithin))
    return;
  if (!aWorker.mBook.BeginStart(aStart, mNow) &&
      mInjectedFault != InjectedFault::StartWithoutHold) {
    const Failure refused = MakeFailure(FailureKind::EndpointRefused);
    aWorker.mState->EndStart(attempt, &refused, mNow);
    return;
  }
  aWorker.mState->NoteLease(mNow, kLease, kDeadline, true);
  const auto delay = std::uniform_int_distribution<int>(0, 4000)(mRandom);
  mStarts.push_back({ aStart, *before, mNow + (mLoss > 0 ? milliseconds(delay) : Duration()) });
}

void JobModel::DeliverStarts()
{
  std::vector<ModelStart> due;
  std::erase_if(mStarts, [&](const ModelStart& aIt) {
    if (aIt.mArrives > mNow)
      return false;
    due.push_back(aIt);
    return true;
  });
  for (const ModelStart& it : due)
    Deliver(it);
}

void JobModel::Deliver(const ModelStart& aStart)
{
  ModelWorker& worker = mWorkers[aStart.mStart.mWorker];
  const AttemptId attempt{ aStart.mStart.mTask, aStart.mStart.mAttempt };
  const bool fromCurrentOwner = aStart.mStart.mEpoch == worker.mEpoch;
  std::optional<Failure> failure;
  if (!worker.mResponsive)
    failure = MakeFailure(FailureKind::EndpointUnknown);
  else if (aStart.mStart.mEpoch < worker.mHighest || GetMillis() > aStart.mStartBefore)
    failure = MakeFailure(FailureKind::EndpointRefused);
  else
    RecordRun(worker, aStart.mStart);
  if (DrawLoss())
    failure = MakeFailure(FailureKind::EndpointUnknown);
  if (!fromCurrentOwner)
    return;  // the owner that sent the start was replaced
  worker.mState->EndStart(attempt, failure ? &*failure : nullptr, mNow);
  if (!worker.mState->GetTasks().contains(attempt))
    worker.mBook.EndTask(worker.mSpec.mName, attempt.first, attempt.second);
  if (DrawLoss() || (failure && failure->mKind != FailureKind::EndpointRefused))
    return;
  ApplyReport({ attempt.first,
                attempt.second,
                worker.mSpec.mName,
                failure ? TaskEnd::NeverStarted : TaskEnd::Running });
}

// Records a started task and checks the invariants at the worker, where a violation takes effect.
void JobModel::RecordRun(ModelWorker& aWorker, const TaskStart& aStart)
{
  const AttemptId attempt{ aStart.mTask, aStart.mAttempt };
  const JobSpec& spec = mSpecs[aStart.mTask.mJob];
  aWorker.mHighest = std::max(aWorker.mHighest, aStart.mEpoch);
  for (const auto& [name, worker] : mWorkers)
    for (const auto& [id, task] : worker.mTasks)
      if (id.first == aStart.mTask && IsRunning(task))
        RecordViolation("runs in two places: " + aStart.mTask.mJob);
  if (++mRuns[aStart.mTask] > 1 && !spec.mRepeatable)
    RecordViolation("a non-repeatable task ran twice: " + aStart.mTask.mJob);
  auto leaving = mLeavingSince.find(aWorker.mSpec.mName);
  if (leaving != mLeavingSince.end() && mNow > leaving->second + kLeavingGrace)
    RecordViolation("new work on a leaving endpoint: " + leaving->first);
  mStartedAttempts.insert(attempt);
  ModelTask task{ aStart };
  const auto factor = std::uniform_int_distribution<int>(1, 4)(mRandom);
  task.mEndsAt = mNow + mRun * factor / 2;
  task.mLeaseUntil = mNow + kLease;
  aWorker.mTasks[attempt] = task;
  Resources used;
  for (const auto& [id, it] : aWorker.mTasks)
    if (IsRunning(it))
      used = Add(used, it.mStart.mNeed);
  if (!Fits(used, aWorker.mSpec.mCapacity))
    RecordViolation("overcommit: " + aWorker.mSpec.mName);
}

// Reports
void JobModel::ApplyReport(const TaskReport& aReport)
{
  const AttemptId attempt{ aReport.mTask, aReport.mAttempt };
  if (aReport.mEnd == TaskEnd::NeverStarted && mStartedAttempts.contains(attempt))
    RecordViolation("reported as never started but ran: " + aReport.mTask.mJob);
  if (aReport.mEnd == TaskEnd::Running) {
    mTable.ConfirmRunning(aReport.mTask, aReport.mAttempt, mNow);
    return;
  }
  auto ended = mTable.DecideEnd(aReport);
  if (!ended)
    return;
  const bool repeats =
    ended->mNext == TaskState::DeadLetter && mInjectedFault == InjectedFault::RepeatUnknown;
  if (repeats)
    ended->mNext = TaskState::Waiting;
  Commit(*ended);
}

void JobModel::Renew(ModelWorker& aWorker)
{
  SupervisionState& state = *aWorker.mState;
  const WorkerName& name = aWorker.mSpec.mName;
  const TimePoint sentAt = mNow;
  const auto renewals = state.ListRenewals(mNow);
  const auto acknowledged = state.ListAcknowledgements();
  if (!renewals.empty())
    state.NoteLease(sentAt, kLease, kDeadline, true);
  std::vector<AttemptId> ended;
  if (aWorker.mResponsive && !DrawLoss()) {
    aWorker.mHighest = std::max(aWorker.mHighest, aWorker.mEpoch);
    for (const AttemptId& it : renewals)
      if (aWorker.mTasks.contains(it))
        aWorker.mTasks[it].mLeaseUntil = mNow + kLease;
    for (const AttemptId& it : acknowledged)
      if (aWorker.mTasks.contains(it) && !IsRunning(aWorker.mTasks[it]))
        aWorker.mTasks.erase(it);
    Inventory inventory;
    inventory.mIncarnation = std::to_string(aWorker.mIncarnation);
    inventory.mNowMs = GetMillis();
    inventory.mHighestEpoch = aWorker.mHighest;
    for (const auto& [id, task] : aWorker.mTasks)
      inventory.mTasks.push_back(
        { id.first, id.second, task.mStart.mEpoch, task.mEnd, task.mStart.mNeed });
    if (!DrawLoss()) {
      state.DropAcknowledged(acknowledged);
      ended = state.ApplyInventory(inventory, sentAt, mNow);
      aWorker.mBook.SetQuietUntil(name, TimePoint{});
      aWorker.mBook.ApplyInventory(name, inventory, sentAt, mNow);
      if (aWorker.mEarlierAnswer && mLoss > 0) {
        state.ApplyInventory(aWorker.mEarlierAnswer->first, aWorker.mEarlierAnswer->second, mNow);
        aWorker.mBook.ApplyInventory(
          name, aWorker.mEarlierAnswer->first, aWorker.mEarlierAnswer->second, mNow);
      }
      aWorker.mEarlierAnswer = { inventory, sentAt };
    }
  }
  const auto lost = state.DeclareLost(mNow);
  ended.insert(ended.end(), lost.begin(), lost.end());
  for (const AttemptId& it : ended)
    aWorker.mBook.EndTask(name, it.first, it.second);
  for (const AttemptId& it : state.ListDisowned())
    if (aWorker.mResponsive && aWorker.mTasks.contains(it) && IsRunning(aWorker.mTasks[it]))
      aWorker.mTasks[it].mEnd = TaskEnd::Stopped;
  for (TaskReport report : state.ListReports(name)) {
    if (DrawLoss())
      continue;
    const bool running = report.mEnd == TaskEnd::Running;
    if (running && mInjectedFault == InjectedFault::RepeatRunning)
      report.mEnd = TaskEnd::Unknown;
    if (running && mInjectedFault == InjectedFault::ReportNeverStarted)
      report.mEnd = TaskEnd::NeverStarted;
    ApplyReport(report);
    report.mEnd = running ? TaskEnd::Running : report.mEnd;
    if (!DrawLoss())
      state.NoteReported(report);
  }
}

void JobModel::RenewAll()
{
  for (auto& [name, worker] : mWorkers)
    Renew(worker);
}

void JobModel::SendStops()
{
  for (const TaskStop& it : mTable.ListStops(mNow, 10000)) {
    ModelWorker& worker = mWorkers[it.mWorker];
    auto task = worker.mTasks.find({ it.mTask, it.mAttempt });
    if (!DrawLoss() && worker.mResponsive && task != worker.mTasks.end() && IsRunning(task->second))
      task->second.mEnd = TaskEnd::Stopped;
  }
}

void JobModel::SendQueries()
{
  for (const TaskQuery& it : mTable.ListQueries(mNow)) {
    if (DrawLoss())
      continue;
    const auto reports = mWorkers[it.mWorker].mState->Answer(it, mNow);
    if (!reports || DrawLoss())
      continue;
    for (const TaskReport& report : reports->mReports)
      ApplyReport(report);
  }
}

// Time and faults
void JobModel::Advance(Duration aBy)
{
  mNow += aBy;
  for (auto& [name, worker] : mWorkers)
    for (auto& [id, task] : worker.mTasks) {
      if (!IsRunning(task))
        continue;
      if (mNow >= std::min(task.mLeaseUntil, task.mEndsAt))
        task.mEnd = task.mLeaseUntil < task.mEndsAt ? TaskEnd::Stopped
                    : worker.mFailsAll              ? TaskEnd::Failed
                                                    : TaskEnd::Succeeded;
    }
}

void JobModel::KillWorkerOwner(const WorkerName& aWorker)
{
  ModelWorker& worker = mWorkers[aWorker];
  worker.mEpoch += 5;
  worker.mEarlierAnswer.reset();
  TakeOver(worker);
}

void JobModel::RestartWorker(const WorkerName& aWorker)
{
  ModelWorker& worker = mWorkers[aWorker];
  worker.mTasks.clear();
  ++worker.mIncarnation;
}

void JobModel::SetLeaving(const WorkerName& aWorker)
{
  mLeavingSince.emplace(aWorker, mNow);
}

void JobModel::Settle(std::uint32_t aRounds)
{
  mLoss = mWriteUnknown = 0;
  for (auto& [name, worker] : mWorkers)
    worker.mResponsive = true;
  for (std::uint32_t i = 0; i < aRounds && !AreAllDone(); ++i) {
    Advance(milliseconds(700));
    SendStops();
    DeliverStarts();
    RenewAll();
    SendQueries();
    Place();
  }
}

// Invariants
std::string JobModel::FindViolation() const
{
  if (!mViolation.empty())
    return mViolation;
  mTable.CheckInvariants();
  for (const auto& [name, worker] : mWorkers)
    if (const std::string unsound = worker.mBook.FindInvariantViolation(); !unsound.empty())
      return "overcommit: " + unsound;
  for (const JobId& id : mAccepted)
    if (mTable.Find(id) == nullptr)
      return "an accepted job was lost: " + id;
  return {};
}

bool JobModel::AreAllDone() const
{
  for (const JobId& id : mAccepted)
    if (!mTable.IsDone(id))
      return false;
  return true;
}

std::uint32_t JobModel::CountStates(const JobId& aJob, TaskState aState) const
{
  std::uint32_t n = 0;
  if (const JobRecord* job = mTable.Find(aJob))
    for (const TaskRecord& it : job->mTasks)
      n += it.mState == aState ? 1 : 0;
  return n;
}

std::uint32_t JobModel::CountRuns(const TaskKey& aTask) const
{
  auto it = mRuns.find(aTask);
  return it == mRuns.end() ? 0 : it->second;
}

}  // namespace monsoon::testing
