// FleetModel: what workers do and see, and the directory that lists them.
#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace monsoon::fleet {

namespace {

constexpr Duration kPollInterval = milliseconds(100);
constexpr Duration kLease = seconds(6);

}  // namespace

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

// Returns the worker that runs at an address; null: none.
FleetModel::Node* FleetModel::FindNodeAt(const std::string& aAddress)
{
  for (auto& [id, node] : mNodes)
    if (node.mUp && node.mEntry.mAddress == aAddress)
      return &node;
  return nullptr;
}

bool FleetModel::IsAnswering(const Node& aNode, const HolderState& aHolder) const
{
  const bool isPartitioned = &aHolder == mHolder.get() && mNow < aNode.mPartitionedUntil;
  return aNode.mUp && mNow >= aNode.mUnresponsiveUntil && !isPartitioned &&
         !aHolder.mCutFrom.contains(aNode.mEntry.mId);
}

std::string FleetModel::GetTicket(const std::string& aId) const
{
  const auto node = mNodes.find(aId);
  const std::uint32_t life = node == mNodes.end() ? 0 : node->second.mLife;
  return life == 0 ? "ticket" : "ticket-" + std::to_string(life);
}

std::uint32_t FleetModel::GetAllowedCores(const Node& aNode) const
{
  std::uint32_t cores = aNode.mEntry.mMilliCores;
  for (const auto& [until, earlier] : aNode.mCores)
    if (mNow < until + kShrinkNotice)
      cores = std::max(cores, earlier);
  return cores;
}

void FleetModel::AddNode(std::string aId, std::string aAddress)
{
  Node node;
  node.mEntry.mId = aId;
  node.mEntry.mAddress = std::move(aAddress);
  node.mEntry.mService = "pool";
  node.mEntry.mMilliCores = 16'000;
  node.mEntry.mMemoryMiB = 65'536;
  if (mFaults.mRestartPerS > 0)
    node.mEntry.mBornMs = GetUnixMillis(mNow);
  mHolder->mScheduler->ListWorker(node.mEntry, true, mNow);
  mRecorded[aId] = node.mEntry;
  mDirectory[aId] = node.mEntry;
  mNodes[aId] = std::move(node);
  Schedule(kPollInterval, [this, aId] { PollWorker(aId); });
}

// Shows the present entry of a worker in the directory after aLag, behind its earlier changes, and
// not before the worker reaches the store.
void FleetModel::Announce(const std::string& aId, Duration aLag)
{
  Node& node = mNodes.at(aId);
  node.mListedUntil =
    std::max({ node.mListedUntil + milliseconds(1), mNow + aLag, node.mCutUntil });
  Schedule(node.mListedUntil - mNow, [this, aId, entry = node.mEntry] {
    mNodes.at(aId).mWrittenAt = mNow;
    WriteEntry(entry);
  });
}

void FleetModel::WriteEntry(const WorkerEntry& aEntry)
{
  mDirectory[aEntry.mId] = aEntry;
  WorkerEntry change = aEntry;
  change.mJustWritten = true;
  ForEachHolder([&](HolderState& aHolder) { aHolder.mScheduler->ListWorker(change, false, mNow); });
}

// Writes an entry that no worker has written, near the one of aId.
void FleetModel::WriteForeignEntry(const std::string& aId)
{
  WorkerEntry entry = mNodes.at(aId).mEntry;
  const auto other =
    std::next(mNodes.begin(), static_cast<std::ptrdiff_t>(mRandom() % mNodes.size()));
  if (Happens(0.5))
    entry.mService = "other";
  if (Happens(0.7))
    entry.mBornMs = Happens(0.3) ? 0 : GetUnixMillis(mNow) + (Happens(0.5) ? 0 : 100'000);
  if (Happens(0.5)) {  // under a key of its own
    entry.mId = "x" + std::to_string(mNextForeign++);
    WriteEntry(entry);
    Schedule(kPollInterval, [this, id = entry.mId] { PollWorker(id); });
    Schedule(Draw(milliseconds(500), seconds(6)), [this, id = entry.mId] { RemoveEntry(id); });
    return;
  }
  switch (mRandom() % 3) {
    case 0:
      entry.mAddress = other->second.mEntry.mAddress;
      break;
    case 1:
      entry.mAddress = "10.9.9.9:80";  // nothing answers there
      break;
    default:
      entry.mMilliCores = 0;
      break;
  }
  WriteEntry(entry);
  Schedule(Draw(Duration::zero(), kHeartbeat), [this, aId] {
    if (mNodes.at(aId).mUp)
      Announce(aId, Duration::zero());
  });
}

void FleetModel::RemoveEntry(const std::string& aId)
{
  mDirectory.erase(aId);
  ForEachHolder([&](HolderState& aHolder) { aHolder.mScheduler->UnlistWorker(aId, mNow); });
}

void FleetModel::EndRun(Node& aNode, std::size_t aIndex, EndKind aKind)
{
  const Running it = std::move(aNode.mRunning[aIndex]);
  aNode.mRunning.erase(aNode.mRunning.begin() + static_cast<std::ptrdiff_t>(aIndex));
  aNode.mEnded.push_back(
    { { aNode.mNextEnd++, it.mOrder.mTask, it.mOrder.mRun, aKind, "" }, mNow, false });
  auto& closed = aNode.mClosed[it.mOrder.mTask];
  closed = std::max(closed, it.mOrder.mRun);
  if (aKind == EndKind::Done)
    mDone.insert(it.mOrder.mTask);
  if (aKind == EndKind::Failed)
    ++mFailures[it.mOrder.mTask];
}

// Forgets the ends up to aNumber, as told by a holder. One that was successful counts from now on,
// also against starts since then, unless the worker's lease has expired in between.
void FleetModel::Acknowledge(Node& aNode, std::uint64_t aNumber)
{
  for (const Ended& it : aNode.mEnded) {
    if (it.mRow.mNumber > aNumber || it.mRow.mKind != EndKind::Done)
      continue;
    mAcknowledgedAt.try_emplace(it.mRow.mTask, mNow);
    if (!it.mHasLapsed)
      mAcknowledged.insert(it.mRow.mTask);
    const JobSpec* job = nullptr;
    const StageSpec* stage = FindStage(it.mRow.mTask, &job);
    if (stage && !stage->mSpeculative && !it.mHasLapsed && mLastStarts[it.mRow.mTask] > it.mAt)
      ReportViolation("a start after a successful end that was acknowledged later: " +
                      it.mRow.mTask);
  }
  std::erase_if(aNode.mEnded,
                [aNumber](const Ended& aItem) { return aItem.mRow.mNumber <= aNumber; });
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
  if (aNode.mLeaseUntil < mNow)
    for (Ended& it : aNode.mEnded)
      it.mHasLapsed = true;
}

// Checks the invariants of a start that a worker is about to carry out.
void FleetModel::CheckStart(const Node& aNode, const StartOrder& aOrder, TimePoint aSentAt)
{
  const JobSpec* job = nullptr;
  const StageSpec* stage = FindStage(aOrder.mTask, &job);
  std::uint64_t used = stage->mMilliCores;
  for (const Running& it : aNode.mRunning) {
    const JobSpec* other = nullptr;
    used += FindStage(it.mOrder.mTask, &other)->mMilliCores;
  }
  if (used > GetAllowedCores(aNode))
    ReportViolation("a worker is over its capacity: " + aOrder.mWorker + " with " + aOrder.mTask);
  for (auto& [id, other] : mNodes) {
    Advance(other);
    for (const Running& it : other.mRunning)
      if (other.mUp && it.mOrder.mTask == aOrder.mTask && !stage->mSpeculative)
        ReportViolation("two runs of a task at once: " + aOrder.mTask + " on " + id + " and " +
                        aOrder.mWorker);
  }
  // An end does not count if the worker's lease expired before it was acknowledged. Another start
  // may have been sent by then, but none is sent afterwards.
  const auto acknowledged = mAcknowledgedAt.find(aOrder.mTask);
  const bool isLaterOrder = acknowledged != mAcknowledgedAt.end() && aSentAt > acknowledged->second;
  if ((mAcknowledged.contains(aOrder.mTask) || isLaterOrder) && !stage->mSpeculative)
    ReportViolation("a start after an acknowledged successful end: " + aOrder.mTask);
  for (const std::uint32_t before : stage->mAfter)
    for (std::uint32_t n = 0; n < job->mStages[before].mCount; ++n) {
      const std::string earlier =
        job->mId + ".0." + std::to_string(before) + "." + std::to_string(n);
      if (!mDone.contains(earlier) && !job->mStages[before].mGang)
        ReportViolation("a start before " + earlier + " has ended: " + aOrder.mTask);
    }
}

// Returns how much tasks of a team may use, by the highest limit that may be in force for an order
// sent at aSentAt; 0: unlimited.
std::int64_t FleetModel::GetAllowedUse(const std::string& aTeam,
                                       std::int64_t TeamResources::*aResource,
                                       TimePoint aSentAt) const
{
  const auto team = std::find_if(mConfig.mTeams.begin(),
                                 mConfig.mTeams.end(),
                                 [&](const TeamConfig& aItem) { return aItem.mName == aTeam; });
  if (team == mConfig.mTeams.end())
    return 0;
  std::int64_t highest = team->mLimit.*aResource;
  for (const auto& [until, limit] : mTeamLimits.at(aTeam).mFormer)
    if (aSentAt < until && highest != 0)
      highest = limit.*aResource == 0 ? 0 : std::max(highest, limit.*aResource);
  return highest;
}

// Checks what all tasks of a team use, on whatever worker, once this one has started. A tenth and
// one task above the limit are allowed.
void FleetModel::CheckTeamLimit(const StartOrder& aOrder, TimePoint aSentAt)
{
  const JobSpec* job = nullptr;
  const StageSpec* stage = FindStage(aOrder.mTask, &job);
  const TeamResources added{ stage->mMilliCores, stage->mMemoryMiB, stage->mAccelerators };
  TeamResources used = added;
  for (auto& [id, node] : mNodes) {
    if (!node.mUp)
      continue;
    Advance(node);
    for (const Running& it : node.mRunning) {
      const JobSpec* other = nullptr;
      const StageSpec* otherStage = FindStage(it.mOrder.mTask, &other);
      if (other->mTeam != job->mTeam)
        continue;
      used.mMilliCores += otherStage->mMilliCores;
      used.mMemoryMiB += otherStage->mMemoryMiB;
      used.mAccelerators += otherStage->mAccelerators;
    }
  }
  for (const auto resource :
       { &TeamResources::mMilliCores, &TeamResources::mMemoryMiB, &TeamResources::mAccelerators }) {
    const std::int64_t allowed = GetAllowedUse(job->mTeam, resource, aSentAt);
    if (allowed != 0 && used.*resource > allowed + allowed / 10 + added.*resource)
      ReportViolation("over the limit of a team: " + job->mTeam + " with " + aOrder.mTask + ", " +
                      std::to_string(used.*resource) + " of " + std::to_string(allowed));
  }
}

// Carries out a start order on its worker.
void FleetModel::SetRunTimeFactors(const std::vector<double>& aFactors)
{
  std::size_t n = 0;
  for (auto& [id, node] : mNodes) {
    node.mRunTimeFactor = aFactors[n++ % aFactors.size()];
    node.mEntry.mLabels = { "kind-" + std::to_string(node.mRunTimeFactor) };
    mDirectory[id] = node.mEntry;
    mHolder->mScheduler->ListWorker(node.mEntry, true, mNow);
  }
}

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
  if (!aOrder.mTicket.empty() && aOrder.mTicket != GetTicket(aOrder.mWorker))
    return;
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
  CheckStart(node, aOrder, aSentAt);
  CheckTeamLimit(aOrder, aSentAt);
  ++mStarts[aOrder.mTask];
  mLastStarts[aOrder.mTask] = mNow;
  if (mPoison.contains(aOrder.mTask))
    Schedule(milliseconds(10), [this, id = aOrder.mWorker] { CrashUnderTask(id); });
  auto runTime = mRunTimes.find(job->mId);
  const Duration nominal =
    runTime != mRunTimes.end() ? runTime->second : Duration(milliseconds(200 + mRandom() % 1500));
  const auto planned = std::chrono::duration_cast<Duration>(nominal * node.mRunTimeFactor);
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

}  // namespace monsoon::fleet
