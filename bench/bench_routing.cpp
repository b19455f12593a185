// Waiting time by routing, in virtual time: the real queue, book and routes, a model of network,
// callers and runners. No clock and no thread, so a seed gives the same figures anywhere.
//
//   bench_routing [--requests N] [--seed N] [--json]
//
// Waiting time runs from a request's arrival at its entry process to its start at the runner.
#include <tclap/CmdLine.h>

#include <boost/json.hpp>

#include <cstdio>
#include <iostream>

#include "bench/routing_model.h"
#include "controllers/grant_core.h"
#include "peer/codec.h"
#include "policy/routing.h"

using namespace monsoon;
using namespace monsoon::bench;

namespace {

constexpr std::size_t kProcesses = 8;
constexpr std::size_t kZones = 3;
constexpr Duration kZoneDelay = std::chrono::microseconds(250);  // one way inside a zone
constexpr Duration kCrossZoneDelay = milliseconds(5);            // one way between zones
constexpr Duration kGossipInterval = milliseconds(500);
constexpr Duration kInventoryInterval = seconds(1);
constexpr Duration kRequestTimeout = seconds(30);
constexpr std::size_t kBodyBytes = 2048;  // request and answer with their headers, together
constexpr double kLoads[] = { 0.70, 0.85, 0.95 };

std::size_t MeasureRequest(const PeerRequest& aRequest)
{
  return Encode(RequestFrame{ .mFrom = "entry-1", .mRequest = aRequest }).size();
}

// The cell: processes that are entries and owners, runners, and events in virtual time.
class Cell
{
public:
  Cell(RoutingSettings aSettings, double aLoad, std::size_t aRequests, std::uint64_t aSeed)
    : mLoad(aLoad)
    , mWanted(aRequests)
    , mRandom(aSeed)
    , mSettings(aSettings)
  {
    for (std::size_t i = 0; i < kProcesses; ++i)
      mOwners.push_back(std::make_unique<Owner>(i));
    for (std::size_t i = 0; i < kRunners; ++i)
      AddRunner(i);
    mReplyBytes = Encode(ReplyFrame{ .mReply = Grant{} }).size() + 64;  // names and address
  }

  Row Run()
  {
    Gossip();
    ReadInventories();
    At(Duration::zero(), [this] { Arrive(); });
    while (mWaits.size() + mNotRun < mWanted) {
      const auto it = mEvents.begin();
      mNow = it->first;
      const auto what = std::move(it->second);
      mEvents.erase(it);
      what();
    }
    for (const auto& owner : mOwners)
      owner->mCapacity.CheckInvariants();
    std::vector<double> waits(mWaits.begin() + static_cast<std::ptrdiff_t>(mWaits.size() / 10),
                              mWaits.end());  // the first tenth fills the cell
    waits.insert(waits.end(), mNotRun, ToMs(kRequestTimeout));
    Row row = MakeRow(std::string(GetName(mSettings.mRouting)), mLoad, std::move(waits));
    row.mCrossZoneBytes = static_cast<double>(mCrossBytes) / static_cast<double>(mArrived);
    row.mNotRun = mNotRun;
    return row;
  }

private:
  struct Owner
  {
    explicit Owner(std::size_t aIndex)
      : mName("entry-" + std::to_string(aIndex))
      , mZone(aIndex % kZones)
      , mCore(mName, mCapacity)
    {
    }
    ProcessName mName;
    std::size_t mZone;
    std::size_t mRunners = 0;
    CapacityShards mCapacity{};
    GrantCore mCore;
    std::map<Ticket, std::function<void(Grant)>> mGive{};  // what a grant to this waiter does
    std::int64_t mGossiped = 0;

    std::int64_t CountFresh()
    {
      return static_cast<std::int64_t>(mCapacity.CountFreeSlots()) -
             static_cast<std::int64_t>(mCore.CountWaiting());
    }
  };

  struct Runner
  {
    std::size_t mZone = 0;
    std::size_t mOwner = 0;
    std::set<RequestId> mRunning{};
  };

  struct Request
  {
    RequestId mId{};
    std::size_t mEntry = 0;
    TimePoint mArrivedAt{};
    Duration mService{};
    std::map<std::size_t, Ticket> mOpen{};  // reservations by owner; ticket 0 while on the way
    std::vector<RouteStep> mSteps{};
    bool mWon = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void At(Duration aAfter, std::function<void()> aWhat)
  {
    mEvents.emplace(mNow + aAfter, std::move(aWhat));
  }
  // A message; between zones its bytes are paid for.
  void Send(std::size_t aFrom, std::size_t aTo, std::size_t aBytes, std::function<void()> aWhat)
  {
    mCrossBytes += aFrom != aTo ? aBytes : 0;
    At(aFrom == aTo ? kZoneDelay : kCrossZoneDelay, std::move(aWhat));
  }
  void SendPeer(std::size_t aFrom, std::size_t aTo, std::size_t aBytes, std::function<void()> aWhat)
  {
    if (aFrom == aTo)
      At(Duration::zero(), std::move(aWhat));
    else
      Send(mOwners[aFrom]->mZone, mOwners[aTo]->mZone, aBytes, std::move(aWhat));
  }

  void AddRunner(std::size_t aIndex)
  {
    Runner runner{ .mZone = aIndex % kZones };
    std::vector<std::size_t> owners;
    for (std::size_t i = 0; i < kProcesses; ++i)
      if (mOwners[i]->mZone == runner.mZone)
        owners.push_back(i);
    runner.mOwner = owners[aIndex / kZones % owners.size()];
    Owner& owner = *mOwners[runner.mOwner];
    ++owner.mRunners;
    WorkerSpec spec{ .mName = "runner-" + std::to_string(aIndex) };
    spec.mCapacity.mSlots = kSlotsPerRunner;
    owner.mCapacity.With(spec.mName, [&](CapacityBook& aBook) { aBook.PutWorker(spec, 1); });
    mRunners.emplace(spec.mName, std::move(runner));
  }

  void Gossip()
  {
    for (const auto& owner : mOwners)
      owner->mGossiped = owner->CountFresh();
    At(kGossipInterval, [this] { Gossip(); });
  }

  void ReadInventories()
  {
    for (auto& [name, runner] : mRunners) {
      Inventory inventory{ .mNowMs = mNow.time_since_epoch() / milliseconds(1),
                           .mHighestEpoch = 1 };
      inventory.mRequests.assign(runner.mRunning.begin(), runner.mRunning.end());
      mOwners[runner.mOwner]->mCapacity.With(name, [&, &name = name](CapacityBook& aBook) {
        aBook.ApplyInventory(name, inventory, mNow, mNow);
      });
    }
    At(kInventoryInterval, [this] { ReadInventories(); });
  }

  void Arrive()
  {
    auto request = std::make_shared<Request>();
    request->mId = "request-" + std::to_string(++mArrived);
    request->mEntry = mRandom() % kProcesses;
    request->mArrivedAt = mNow;
    request->mService = PickService(mRandom);
    std::vector<OwnerView> views;
    for (const auto& owner : mOwners) {
      const bool fresh = mSettings.mRouting == Routing::TwoChoices;
      views.push_back({ .mName = owner->mName,
                        .mZone = std::to_string(owner->mZone),
                        .mWorkers = static_cast<std::uint32_t>(owner->mRunners),
                        .mFreeSlots = fresh ? owner->CountFresh() : owner->mGossiped });
    }
    const Owner& self = *mOwners[request->mEntry];
    request->mSteps = MakeRoute(views, self.mName, std::to_string(self.mZone), mSettings, mRandom);
    for (std::size_t i = 0; i < request->mSteps.size(); ++i)
      At(request->mSteps[i].mAfter, [this, request, i] { Launch(request, i); });
    At(kRequestTimeout, [this, request] {
      if (!request->mWon)
        GiveUp(request);
    });
    At(PickGap(mLoad, mRandom), [this] { Arrive(); });
  }

  std::size_t FindOwner(const ProcessName& aName) const
  {
    return static_cast<std::size_t>(std::stoul(aName.substr(aName.find('-') + 1)));
  }

  void Launch(const RequestPtr& aRequest, std::size_t aStep)
  {
    if (aRequest->mWon)
      return;
    GrantRequest want;
    want.mRequest = aRequest->mId;
    want.mCaller = "caller-" + std::to_string(aRequest->mEntry);
    want.mWait = aRequest->mArrivedAt + kRequestTimeout - mNow;
    want.mAge = mNow - aRequest->mArrivedAt;
    want.mHold = want.mWait;
    for (const ProcessName& name : aRequest->mSteps[aStep].mOwners) {
      const std::size_t owner = FindOwner(name);
      aRequest->mOpen[owner] = 0;
      SendPeer(aRequest->mEntry, owner, MeasureRequest(want), [this, aRequest, owner, want] {
        Reserve(aRequest, owner, want);
      });
    }
  }

  void Reserve(const RequestPtr& aRequest, std::size_t aOwner, const GrantRequest& aWant)
  {
    Owner& owner = *mOwners[aOwner];
    const Ticket ticket = owner.mCore.Push(aWant, mNow).value();
    aRequest->mOpen[aOwner] = ticket;
    owner.mGive[ticket] = [this, aRequest, aOwner](Grant aGrant) {
      SendPeer(aOwner, aRequest->mEntry, mReplyBytes, [this, aRequest, aOwner, aGrant] {
        Granted(aRequest, aOwner, aGrant);
      });
    };
    Serve(aOwner);
  }

  void Serve(std::size_t aOwner)
  {
    Owner& owner = *mOwners[aOwner];
    const auto mayAct = [](const WorkerName&) { return std::optional<Epoch>(1); };
    for (GivenSlot& it : owner.mCore.Serve(mayAct, mNow)) {
      const auto give = std::move(owner.mGive.at(it.mTicket));
      owner.mGive.erase(it.mTicket);
      give(std::move(it.mGrant));
    }
  }

  void Granted(const RequestPtr& aRequest, std::size_t aOwner, const Grant& aGrant)
  {
    aRequest->mOpen.erase(aOwner);
    if (aRequest->mWon)
      return Return(aRequest, aOwner, aGrant, GrantEnd::Unused);  // it crossed the withdrawal
    aRequest->mWon = true;
    Withdraw(aRequest);
    Runner& runner = mRunners.at(aGrant.mWorker.mName);
    const std::size_t zone = mOwners[aRequest->mEntry]->mZone;
    Send(zone, runner.mZone, kBodyBytes / 2, [this, aRequest, aOwner, aGrant, zone, &runner] {
      mWaits.push_back(ToMs(mNow - aRequest->mArrivedAt));
      runner.mRunning.insert(aRequest->mId);
      At(aRequest->mService, [this, aRequest, aOwner, aGrant, zone, &runner] {
        runner.mRunning.erase(aRequest->mId);
        Send(runner.mZone, zone, kBodyBytes / 2, [this, aRequest, aOwner, aGrant] {
          Return(aRequest, aOwner, aGrant, GrantEnd::Answered);
        });
      });
    });
  }

  void Withdraw(const RequestPtr& aRequest)
  {
    const GrantCancel cancel{ aRequest->mId };
    for (const auto& [owner, ticket] : aRequest->mOpen)
      SendPeer(aRequest->mEntry, owner, MeasureRequest(cancel), [this, aRequest, owner = owner] {
        for (const Ticket it : mOwners[owner]->mCore.FindByRequest(aRequest->mId)) {
          mOwners[owner]->mCore.Remove(it);
          mOwners[owner]->mGive.erase(it);
        }
      });
  }

  void GiveUp(const RequestPtr& aRequest)
  {
    aRequest->mWon = true;
    ++mNotRun;
    Withdraw(aRequest);
  }

  void Return(const RequestPtr& aRequest, std::size_t aOwner, const Grant& aGrant, GrantEnd aEnd)
  {
    const GrantReturn end{ aGrant.mId, aGrant.mWorker.mName, aGrant.mEpoch, aEnd };
    SendPeer(aRequest->mEntry, aOwner, MeasureRequest(end), [this, aOwner, end] {
      mOwners[aOwner]->mCore.Return(end, mNow);
      Serve(aOwner);
    });
  }

  double mLoad;
  std::size_t mWanted;
  std::mt19937_64 mRandom;
  RoutingSettings mSettings;
  TimePoint mNow{ seconds(1000) };
  std::multimap<TimePoint, std::function<void()>> mEvents{};
  std::vector<std::unique_ptr<Owner>> mOwners{};
  std::map<WorkerName, Runner> mRunners{};
  std::vector<double> mWaits{};
  std::size_t mNotRun = 0;
  std::size_t mArrived = 0;
  std::size_t mReplyBytes = 0;
  std::uint64_t mCrossBytes = 0;
};

void PrintTable(const std::vector<Row>& aRows)
{
  std::printf("%-22s %5s %10s %10s %10s %12s %9s %8s\n",
              "routing",
              "load",
              "p50 ms",
              "p99 ms",
              "p99.9 ms",
              "xzone B/req",
              "requests",
              "not_run");
  for (const Row& it : aRows)
    std::printf("%-22s %4.0f%% %10.2f %10.2f %10.2f %12.0f %9zu %8zu\n",
                it.mRouting.c_str(),
                it.mLoad * 100,
                it.mP50,
                it.mP99,
                it.mP999,
                it.mCrossZoneBytes,
                it.mRequests,
                it.mNotRun);
}

void PrintJson(const std::vector<Row>& aRows, std::uint64_t aSeed)
{
  boost::json::array rows;
  for (const Row& it : aRows)
    rows.push_back({ { "routing", it.mRouting },
                     { "load", it.mLoad },
                     { "p50_ms", it.mP50 },
                     { "p99_ms", it.mP99 },
                     { "p999_ms", it.mP999 },
                     { "cross_zone_bytes_per_request", it.mCrossZoneBytes },
                     { "requests", it.mRequests },
                     { "not_run", it.mNotRun } });
  boost::json::object report;
  report["bench"] = "routing";
  report["seed"] = aSeed;
  report["rows"] = std::move(rows);
  std::cout << boost::json::serialize(report) << '\n';
}

}  // namespace

int main(int argc, char** argv)
{
  TCLAP::CmdLine line("Waiting time by routing, in virtual time.", ' ', "0.1.0");
  TCLAP::ValueArg<std::size_t> requests("n", "requests", "per row", false, 100000, "N", line);
  TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "of all randomness", false, 1, "N", line);
  TCLAP::ValueArg<std::string> only("o", "only", "one routing alone", false, "", "NAME", line);
  TCLAP::ValueArg<int> price("", "price-ms", "cross-zone price", false, 2, "N", line);
  TCLAP::ValueArg<int> full("", "full-price-ms", "of full zones", false, 250, "N", line);
  TCLAP::SwitchArg json("j", "json", "one JSON object in place of the table", line);
  line.parse(argc, argv);
  const std::size_t n = requests.getValue();
  std::vector<Row> rows;
  for (const double load : kLoads) {
    for (const Routing routing : { Routing::LateBinding,
                                   Routing::TwoChoices,
                                   Routing::LeastLoadedGossip,
                                   Routing::Random }) {
      RoutingSettings settings{ .mRouting = routing };
      settings.mCrossZonePrice = milliseconds(price.getValue());
      settings.mFullZonePrice = milliseconds(full.getValue());
      if (only.getValue().empty() || only.getValue() == GetName(routing))
        rows.push_back(Cell(settings, load, n, seed.getValue()).Run());
    }
    rows.push_back(RunModel("model: one queue", 0, load, n, seed.getValue()));
    rows.push_back(RunModel("model: two runners", 2, load, n, seed.getValue()));
    rows.push_back(RunModel("model: random runner", 1, load, n, seed.getValue()));
  }
  if (json.getValue())
    PrintJson(rows, seed.getValue());
  else
    PrintTable(rows);
  return 0;
}
