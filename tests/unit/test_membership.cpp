// Tests heartbeats, failure detection and gossip in virtual time, over links that lose and delay
// datagrams. Also tests rendezvous hashing.
#include <catch2/catch.hpp>

#include <random>
#include <set>

#include "controllers/membership.h"
#include "controllers/rendezvous.h"

using namespace monsoon;

namespace {

struct Net
{
  Net(std::size_t aZones, std::size_t aPerZone, double aLoss, std::uint64_t aSeed)
    : mLoss(aLoss)
    , mRandom(aSeed)
  {
    for (std::size_t zone = 0; zone < aZones; ++zone)
      for (std::size_t i = 0; i < aPerZone; ++i)
        mAddresses.push_back(
          { "p" + std::to_string(zone) + "-" + std::to_string(i), "zone-" + std::to_string(zone) });
    for (const MemberAddress& it : mAddresses)
      Start(it);
  }

  void Start(const MemberAddress& aSelf)
  {
    std::vector<MemberAddress> others;
    for (const MemberAddress& it : mAddresses)
      if (it.mName != aSelf.mName)
        others.push_back(it);
    mTables.insert_or_assign(
      aSelf.mName, MembershipTable(aSelf.mName, aSelf.mZone, others, MembershipSettings{}, mNow));
    LocalStatus status;
    status.mReady = true;
    mTables.at(aSelf.mName).SetLocalStatus(status);
  }

  void Run(Duration aFor)
  {
    const TimePoint end = mNow + aFor;
    while (mNow < end) {
      mNow += milliseconds(20);
      while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
        const HeartbeatSend send = mQueue.begin()->second;
        mQueue.erase(mQueue.begin());
        if (mDead.contains(send.mTo))
          continue;
        if (mFrozen.contains(send.mTo))
          mQueue.emplace(mNow + milliseconds(20), send);  // the kernel queues it
        else
          mTables.at(send.mTo).Handle(send.mHeartbeat, mNow);
      }
      ++mStep;
      for (std::size_t i = 0; i < mAddresses.size(); ++i)
        if ((mStep + i) % 10 == 0)
          Tick(mAddresses[i].mName);
    }
  }

  void Tick(const ProcessName& aName)
  {
    if (mDead.contains(aName) || mFrozen.contains(aName))
      return;
    const TickResult result = mTables.at(aName).Tick(mNow);
    mFroze += result.mFroze ? 1 : 0;
    for (const HeartbeatSend& send : result.mSends) {
      ++mSent[aName];
      mMaxGossip = std::max(mMaxGossip, send.mHeartbeat.mMembers.size());
      if (std::uniform_real_distribution<double>(0, 1)(mRandom) < mLoss ||
          mPartitioned.contains(aName))
        continue;
      mQueue.emplace(mNow + milliseconds(1 + mRandom() % 20), send);
    }
  }

  MemberState GetStateAt(const ProcessName& aBy, const ProcessName& aOf) const
  {
    for (const MemberStatus& it : mTables.at(aBy).ListMemberStatuses())
      if (it.mName == aOf)
        return it.mState;
    return MemberState::Dead;
  }

  std::size_t CountStateViews(const ProcessName& aOf, MemberState aState) const
  {
    std::size_t n = 0;
    for (const auto& [name, table] : mTables)
      n += name != aOf && !mDead.contains(name) && GetStateAt(name, aOf) == aState ? 1 : 0;
    return n;
  }

  TimePoint mNow{ seconds(1000) };
  std::uint64_t mStep = 0;
  double mLoss;
  std::mt19937_64 mRandom;
  std::vector<MemberAddress> mAddresses{};
  std::map<ProcessName, MembershipTable> mTables{};
  std::multimap<TimePoint, HeartbeatSend> mQueue{};
  std::set<ProcessName> mDead{};
  std::set<ProcessName> mFrozen{};
  std::set<ProcessName> mPartitioned{};
  std::map<ProcessName, std::uint64_t> mSent{};
  std::size_t mMaxGossip = 0;
  std::size_t mFroze = 0;
};

}  // namespace

TEST_CASE("every process sees all others as alive, across zones through speakers", "[membership]")
{
  Net net(3, 3, 0.1, 1);
  net.Run(seconds(5));
  for (const MemberAddress& it : net.mAddresses)
    CHECK(net.CountStateViews(it.mName, MemberState::Alive) == 8);
}

TEST_CASE("a dead process is suspected quickly in its zone, and seen as dead everywhere",
          "[membership]")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Net net(3, 3, 0.05, seed);
    net.Run(seconds(5));
    net.mDead.insert("p0-0");
    net.Run(milliseconds(1000));
    CHECK(net.GetStateAt("p0-1", "p0-0") != MemberState::Alive);
    net.Run(seconds(5));
    CHECK(net.CountStateViews("p0-0", MemberState::Dead) == 8);
  }
}

TEST_CASE("a zone whose processes all die is seen as dead by the other zones", "[membership]")
{
  Net net(3, 3, 0.05, 3);
  net.Run(seconds(5));
  for (const auto* name : { "p2-0", "p2-1", "p2-2" })
    net.mDead.insert(name);
  net.Run(seconds(8));
  for (const auto* name : { "p2-0", "p2-1", "p2-2" })
    CHECK(net.CountStateViews(name, MemberState::Dead) == 6);
}

TEST_CASE("a wrongly suspected process refutes it, and a restarted one is seen as alive",
          "[membership]")
{
  Net net(2, 3, 0, 4);
  net.Run(seconds(5));
  net.mPartitioned.insert("p0-0");
  net.Run(seconds(6));
  CHECK(net.CountStateViews("p0-0", MemberState::Dead) == 5);
  net.mPartitioned.clear();
  net.Run(seconds(3));
  CHECK(net.CountStateViews("p0-0", MemberState::Alive) == 5);
  CHECK(net.mTables.at("p0-0").GetIncarnation() > 1);

  net.Start({ "p0-0", "zone-0" });  // restarted: its heartbeat count starts from 0
  net.Run(seconds(3));
  CHECK(net.CountStateViews("p0-0", MemberState::Alive) == 5);
  net.Run(seconds(5));
  CHECK(net.CountStateViews("p0-0", MemberState::Alive) == 5);
}

TEST_CASE("a process detects its own freeze before it accepts heartbeats or acts", "[membership]")
{
  Net net(1, 4, 0, 5);
  net.Run(seconds(5));
  net.mFrozen.insert("p0-0");
  net.Run(seconds(2));
  net.mDead.insert("p0-3");  // dies during the freeze; the kernel of p0-0 has its last heartbeats
  net.Run(seconds(4));
  CHECK(net.CountStateViews("p0-0", MemberState::Dead) == 2);
  MembershipTable& table = net.mTables.at("p0-0");
  CHECK_FALSE(table.IsAwake(net.mNow));  // before its first tick
  Heartbeat queued;
  queued.mFrom = "p0-3";
  queued.mIncarnation = 1;
  queued.mCount = 1000000;
  CHECK_FALSE(table.Handle(queued, net.mNow));
  net.mFrozen.clear();
  net.Run(milliseconds(240));
  CHECK(net.mFroze == 1);
  CHECK(table.IsAwake(net.mNow));
  CHECK(net.GetStateAt("p0-0", "p0-1") == MemberState::Alive);  // p0-0 missed its heartbeats
  net.Run(seconds(6));
  CHECK(net.GetStateAt("p0-0", "p0-3") == MemberState::Dead);
  CHECK(net.CountStateViews("p0-0", MemberState::Alive) == 2);
}

TEST_CASE("a process in a planned stop is seen as leaving, then as dead", "[membership]")
{
  Net net(1, 3, 0, 6);
  net.Run(seconds(3));
  LocalStatus status;
  status.mLeaving = true;
  net.mTables.at("p0-0").SetLocalStatus(status);
  net.Run(seconds(1));
  CHECK(net.CountStateViews("p0-0", MemberState::Leaving) == 2);
  net.mDead.insert("p0-0");
  net.Run(seconds(2));
  CHECK(net.CountStateViews("p0-0", MemberState::Dead) == 2);
}

TEST_CASE("the heartbeats of one process do not grow with the fleet", "[membership]")
{
  const auto measure = [](std::size_t aZones, std::size_t aPerZone) {
    Net net(aZones, aPerZone, 0, 7);
    net.Run(seconds(5));
    net.mSent.clear();
    net.Run(seconds(5));
    std::uint64_t maxSent = 0;
    for (const auto& [name, sent] : net.mSent)
      maxSent = std::max(maxSent, sent);
    CHECK(net.mMaxGossip <= MembershipSettings{}.mGossip);
    return static_cast<double>(maxSent) / 5;
  };
  const double small = measure(3, 3);
  const double medium = measure(8, 15);
  const double large = measure(14, 20);
  WARN("heartbeats per second sent by the busiest process: 9 processes "
       << small << ", 120 processes " << medium << ", 280 processes " << large);
  CHECK(large == medium);
}

TEST_CASE("rendezvous hashing moves only the keys of an added or removed candidate", "[ownership]")
{
  std::vector<ProcessName> names{ "a", "b", "c", "d" };
  std::map<ProcessName, int> load;
  int moved = 0;
  const std::vector<ProcessName> fewer{ "a", "b", "c" };
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "worker/" + std::to_string(i);
    const ProcessName owner = ChooseCandidate(key, names);
    ++load[owner];
    if (owner != "d")
      CHECK(ChooseCandidate(key, fewer) == owner);
    else
      ++moved;
    CHECK(RankCandidates(key, names).front() == owner);
    CHECK(IsChosen(key, names, owner, 1));
  }
  for (const auto& [name, n] : load)
    CHECK((n > 200 && n < 300));
  CHECK(moved == load["d"]);
}
