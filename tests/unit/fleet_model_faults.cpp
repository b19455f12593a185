// FleetModel: crashes, restarts, drains and other faults of workers.
#include "fleet_model.h"

#include <algorithm>

namespace monsoon::fleet {

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr std::uint32_t kSizes[] = { 8'000, 16'000, 32'000 };  // in milli-cores

}  // namespace

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

void FleetModel::LoseTasks(Node& aNode)
{
  Advance(aNode);
  for (const Running& it : aNode.mRunning)
    BreakGang(it.mOrder);
  aNode.mRunning.clear();
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
  mDirectory.erase(aId);
  const std::string address = found->second.mEntry.mAddress;
  Schedule(seconds(3), [this, address] { AddNode("w" + std::to_string(mNextNode++), address); });
}

// Restarts a worker under its id: it knows nothing of before, its counts start anew, and it may be
// of another size. At times the directory shows its former entry again, until its next heartbeat.
void FleetModel::RestartNode(const std::string& aId)
{
  Node& node = mNodes.at(aId);
  LoseTasks(node);
  node.mUp = false;
  Schedule(Draw(milliseconds(20), mFaults.mRestartTime), [this, aId] {
    Node& it = mNodes.at(aId);
    const Node former = std::move(it);
    it = Node{};
    it.mEntry = former.mEntry;
    it.mEntry.mBornMs = GetUnixMillis(mNow) - (Happens(0.15) ? 3000 : 0);  // its clock was set back
    if (it.mEntry.mBornMs == former.mEntry.mBornMs)
      ++it.mEntry.mBornMs;  // workers distinguish their incarnations by it
    const std::uint32_t cores = kSizes[mRandom() % std::size(kSizes)];
    if (mFaults.mRestartsResized)
      it.mEntry.mMilliCores = cores;
    it.mLife = former.mLife + 1;
    it.mListedUntil = former.mListedUntil;
    it.mUnresponsiveUntil = former.mUnresponsiveUntil;
    Announce(aId, Draw(milliseconds(5), mFaults.mDirectoryLag));
    if (!Happens(0.1))
      return;
    const WorkerEntry present = it.mEntry;
    it.mEntry = former.mEntry;
    Announce(aId, Draw(Duration::zero(), milliseconds(500)));
    it.mEntry = present;
    Announce(aId, kHeartbeat);
  });
}

void FleetModel::ResizeNode(Node& aNode)
{
  aNode.mCores.emplace_back(mNow, aNode.mEntry.mMilliCores);
  while (aNode.mCores.front().first + kShrinkNotice < mNow)
    aNode.mCores.pop_front();
  aNode.mEntry.mMilliCores = kSizes[mRandom() % std::size(kSizes)];
  Announce(aNode.mEntry.mId, Draw(Duration::zero(), kHeartbeat));
}

void FleetModel::CutFromStore(const std::string& aId)
{
  Node& node = mNodes.at(aId);
  const Duration lasts = Draw(seconds(1), seconds(10));
  node.mCutUntil = mNow + lasts;
  // Its last heartbeat was a moment ago, and the entry expires after three missed ones.
  Schedule(3 * kHeartbeat - Draw(Duration::zero(), kHeartbeat), [this, aId] { ExpireEntry(aId); });
  Schedule(lasts, [this, aId] {
    if (mNodes.at(aId).mUp)
      Announce(aId, Duration::zero());
  });
}

void FleetModel::ExpireEntry(const std::string& aId)
{
  const Node& node = mNodes.at(aId);
  if (mNow < node.mCutUntil && mNow >= node.mWrittenAt + 2 * kHeartbeat)
    RemoveEntry(aId);
}

// Writes the entry of a draining worker, which shows the remaining time.
void FleetModel::SendHeartbeat(const std::string& aId)
{
  const Node& node = mNodes.at(aId);
  if (!node.mUp)
    return;
  if (mNow >= node.mCutUntil)
    Announce(aId, Duration::zero());
  Schedule(kHeartbeat, [this, aId] { SendHeartbeat(aId); });
}

void FleetModel::DrainNode(const std::string& aId)
{
  mNodes.at(aId).mEntry.mDraining = true;
  Announce(aId, Draw(Duration::zero(), mFaults.mDirectoryLag));
  Schedule(kHeartbeat, [this, aId] { SendHeartbeat(aId); });
  Schedule(Draw(seconds(2), seconds(6)), [this, aId] {
    Node& node = mNodes.at(aId);
    LoseTasks(node);
    node.mUp = false;
    RemoveEntry(aId);
    const std::size_t number = mNextNode++;
    AddNode("w" + std::to_string(number), "10.0.1." + std::to_string(number) + ":80");
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
    if (Happens(mFaults.mResizePerS * tick))
      ResizeNode(mNodes[id]);
    if (Happens(mFaults.mUnlistPerS * tick))
      CutFromStore(id);
    if (Happens(mFaults.mForeignEntryPerS * tick))
      WriteForeignEntry(id);
    if (Happens(mFaults.mDrainPerS * tick) && !mNodes[id].mEntry.mDraining &&
        mNodes[id].mEntry.mAddress != "10.0.0.0:80")
      DrainNode(id);
    if (Happens(mFaults.mRestartPerS * tick) && !mNodes[id].mEntry.mDraining)
      RestartNode(id);
    if (!Happens(mFaults.mCrashPerS * tick) || !mNodes[id].mUp)
      continue;
    Node& node = mNodes[id];
    node.mUp = false;
    node.mRunning.clear();
    mDirectory.erase(id);
    const std::string address = node.mEntry.mAddress;
    Schedule(seconds(1), [this, address] { AddNode("w" + std::to_string(mNextNode++), address); });
  }
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

}  // namespace monsoon::fleet
