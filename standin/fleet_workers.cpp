// The workers of the platform's stand-in: their directory entries and their faults.
#include <algorithm>

#include "core/json.h"
#include "standin/fleet_impl.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr Duration kHeartbeat = milliseconds(1500);
constexpr Duration kShrinkNotice = seconds(3) + kHeartbeat;  // until a smaller capacity counts
constexpr int kMissedHeartbeats = 3;                         // that remove a directory entry

}  // namespace

// Draws a duration from aLeast to aMost.
Duration FleetStandin::Draw(Duration aLeast, Duration aMost)
{
  const std::lock_guard lock(mLock);
  const auto range = static_cast<std::uint64_t>((aMost - aLeast) / milliseconds(1));
  return aLeast + milliseconds(mRandom() % (range + 1));
}

Result<void> FleetStandin::ListenAs(std::uint32_t aWorker, WorkerState& aState)
{
  aState.mServer =
    std::make_unique<HttpServer>(HttpLimits{}, [this, aWorker](HttpRequest aRequest, std::string) {
      return HandleWorker(aWorker, std::move(aRequest));
    });
  auto port = aState.mServer->Listen("127.0.0.1", aState.mPort, { &mContext });
  if (!port)
    return port.error();
  aState.mPort = *port;
  return {};
}

void FleetStandin::SetSilent(std::uint32_t aWorker, bool aSilent)
{
  const std::lock_guard lock(mLock);
  mWorkers[aWorker]->mSilent = aSilent;
}

void FleetStandin::SetSlowCalls(std::uint32_t aWorker, double aShare)
{
  const std::lock_guard lock(mLock);
  mWorkers[aWorker]->mSlowCalls = aShare;
}

// Starts a new incarnation, with nothing left of the one before.
void FleetStandin::BeginLife(WorkerState& aWorker, std::uint32_t aMilliCores)
{
  Advance(aWorker);
  for (const Running& it : aWorker.mRunning)
    ++mCrashes[it.mTask];
  const std::int64_t before = aWorker.mBornMs;
  static_cast<Incarnation&>(aWorker) = Incarnation{};
  aWorker.mBornMs = std::max(ReadWallMillis(), before + 1);
  aWorker.mMilliCores = aMilliCores;
  aWorker.mUp = true;
}

void FleetStandin::CrashWorker(std::uint32_t aWorker)
{
  const std::lock_guard lock(mLock);
  WorkerState& worker = *mWorkers[aWorker];
  ++mRevision;
  Remove("servers/" + worker.mId);
  BeginLife(worker, worker.mMilliCores);
  if (!worker.mServer)  // it was about to restart
    if (auto listening = ListenAs(aWorker, worker); !listening)
      Complain("a worker can't listen after its restart: " + listening.error().mDetail);
  worker.mId = "w" + std::to_string(aWorker) + "-" + std::to_string(++worker.mLife);
  ++worker.mHidings;
  worker.mHidden = false;
  Announce(aWorker);
}

void FleetStandin::RestartWorker(std::uint32_t aWorker, std::uint32_t aMilliCores)
{
  const std::lock_guard lock(mLock);
  WorkerState& worker = *mWorkers[aWorker];
  BeginLife(worker, aMilliCores);
  worker.mUp = false;
  worker.mServer.reset();  // its connections end with its process
  ++worker.mLife;
  asio::co_spawn(mContext, FinishRestart(aWorker, worker.mLife, aMilliCores), asio::detached);
}

Async<void> FleetStandin::FinishRestart(std::uint32_t aWorker,
                                        std::uint32_t aLife,
                                        std::uint32_t aMilliCores)
{
  co_await Sleep(Draw(milliseconds(20), milliseconds(500)));
  {
    const std::lock_guard lock(mLock);
    if (mWorkers[aWorker]->mLife != aLife)
      co_return;
    BeginLife(*mWorkers[aWorker], aMilliCores);
    if (auto listening = ListenAs(aWorker, *mWorkers[aWorker]); !listening)
      Complain("a worker can't listen after its restart: " + listening.error().mDetail);
  }
  co_await AnnounceLater(aWorker, Draw(milliseconds(50), milliseconds(800)));
}

void FleetStandin::ResizeWorker(std::uint32_t aWorker, std::uint32_t aMilliCores)
{
  const std::lock_guard lock(mLock);
  WorkerState& worker = *mWorkers[aWorker];
  worker.mEarlierMilliCores.emplace_back(BootClock::now(), worker.mMilliCores);
  worker.mMilliCores = aMilliCores;
  asio::co_spawn(
    mContext, AnnounceLater(aWorker, Draw(Duration::zero(), kHeartbeat)), asio::detached);
}

void FleetStandin::HideWorker(std::uint32_t aWorker, Duration aTime)
{
  const std::lock_guard lock(mLock);
  WorkerState& worker = *mWorkers[aWorker];
  if (worker.mHidden)
    return;
  worker.mHidden = true;
  asio::co_spawn(mContext, Hide(aWorker, ++worker.mHidings, aTime), asio::detached);
}

Async<void> FleetStandin::Hide(std::uint32_t aWorker, std::uint32_t aHiding, Duration aTime)
{
  // Its last heartbeat was up to an interval ago.
  const Duration expiry = kMissedHeartbeats * kHeartbeat - Draw(Duration::zero(), kHeartbeat);
  co_await Sleep(std::min(aTime, expiry));
  if (expiry < aTime) {
    {
      const std::lock_guard lock(mLock);
      WorkerState& worker = *mWorkers[aWorker];
      if (worker.mHidings != aHiding)
        co_return;
      ++mRevision;
      Remove("servers/" + worker.mId);
    }
    co_await Sleep(aTime - expiry);
  }
  const std::lock_guard lock(mLock);
  WorkerState& worker = *mWorkers[aWorker];
  if (worker.mHidings != aHiding)
    co_return;
  worker.mHidden = false;
  if (worker.mUp)
    Announce(aWorker);
}

// Writes the entry that the worker has after aLag, if it reaches the store then.
Async<void> FleetStandin::AnnounceLater(std::uint32_t aWorker, Duration aLag)
{
  co_await Sleep(aLag);
  const std::lock_guard lock(mLock);
  if (mWorkers[aWorker]->mUp && !mWorkers[aWorker]->mHidden)
    Announce(aWorker);
}

json::object FleetStandin::MakeEntry(const WorkerState& aWorker)
{
  return { { "service", "pool" },
           { "address", "127.0.0.1:" + std::to_string(aWorker.mPort) },
           { "zone", "zone-a" },
           { "state", "ready" },
           { "capacity",
             json::object{ { "cpu", aWorker.mMilliCores }, { "mem_mb", 65'536 }, { "gpu", 0 } } },
           { "labels", json::array{ "a", "r1" } },
           { "born", aWorker.mBornMs },
           { "sequence", 1 } };
}

void FleetStandin::Announce(std::uint32_t aWorker)
{
  const WorkerState& worker = *mWorkers[aWorker];
  PutText("servers/" + worker.mId, json::serialize(MakeEntry(worker)));
}

void FleetStandin::WriteForeignEntry(std::uint32_t aWorker, ForeignEntry aKind)
{
  const std::lock_guard lock(mLock);
  const WorkerState& worker = *mWorkers[aWorker];
  if (!worker.mUp || worker.mHidden)
    return;
  json::object entry = MakeEntry(worker);
  if (aKind == ForeignEntry::AtAddress) {
    const std::string key = "servers/x" + std::to_string(mNextForeign++);
    entry["born"] = ReadWallMillis();
    if (Happens(0.5))
      entry["service"] = "other";
    PutText(key, json::serialize(entry));
    asio::co_spawn(mContext, RemoveLater(key, Draw(milliseconds(500), seconds(6))), asio::detached);
    return;
  }
  const std::size_t other = (aWorker + 1) % mWorkers.size();
  switch (aKind) {
    case ForeignEntry::OtherAddress:
      entry["address"] = "127.0.0.1:" + std::to_string(mWorkers[other]->mPort);
      break;
    case ForeignEntry::NoPort:
      entry["address"] = "127.0.0.1";
      break;
    case ForeignEntry::OtherService:
      entry["service"] = "other";
      break;
    case ForeignEntry::OtherState:
      entry["state"] = "gone";
      break;
    case ForeignEntry::NoCapacity:
      entry.erase("capacity");
      break;
    default:
      break;
  }
  std::string text = json::serialize(entry);
  if (aKind == ForeignEntry::Unreadable)
    text.resize(text.size() / 2);
  PutText("servers/" + worker.mId, text);
  asio::co_spawn(
    mContext, AnnounceLater(aWorker, Draw(Duration::zero(), kHeartbeat)), asio::detached);
}

Async<void> FleetStandin::RemoveLater(std::string aKey, Duration aLag)
{
  co_await Sleep(aLag);
  const std::lock_guard lock(mLock);
  ++mRevision;
  Remove(aKey);
}

// Returns the capacity that a start may use up.
std::uint32_t FleetStandin::GetAllowedMilliCores(const WorkerState& aWorker)
{
  std::uint32_t cores = aWorker.mMilliCores;
  for (const auto& [until, earlier] : aWorker.mEarlierMilliCores)
    if (BootClock::now() < until + kShrinkNotice)
      cores = std::max(cores, earlier);
  return cores;
}

}  // namespace monsoon::standin
