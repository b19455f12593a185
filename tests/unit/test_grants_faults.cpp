// Random faults against CapacityBook and GrantCore: messages are lost, late, duplicated or
// reordered, owners lose their lease, grant holders freeze, endpoints go on running after their
// callers gave up. The model endpoint detects overcommit.
#include <catch2/catch.hpp>

#include <random>

#include "controllers/grant_core.h"

using namespace monsoon;

namespace {

constexpr Duration kStep = milliseconds(5);
constexpr std::int64_t kSlots = 2;

// Runs each request unless its start deadline has passed or a later owner was seen.
struct Endpoint
{
  std::int64_t mOffsetMs = 0;
  double mDrift = 0;
  bool mKeepsEpochs = true;  // if false, it refuses late starts only
  Epoch mHighestEpoch = 0;
  std::multimap<RequestId, TimePoint> mRunning{};  // with the time of its end
  std::uint64_t mOvercommits = 0;
  std::uint64_t mRuns = 0;

  std::int64_t ReadClock(TimePoint aNow) const
  {
    const auto ms = static_cast<double>(aNow.time_since_epoch() / milliseconds(1));
    return mOffsetMs + static_cast<std::int64_t>(ms * (1 + mDrift));
  }
  void Advance(TimePoint aNow)
  {
    std::erase_if(mRunning, [&](const auto& aRun) { return aRun.second <= aNow; });
  }
  bool Start(const RequestId& aRequest, const Grant& aGrant, Duration aRun, TimePoint aNow)
  {
    Advance(aNow);
    if (aGrant.mEpoch < mHighestEpoch || ReadClock(aNow) > aGrant.mStartBefore)
      return false;
    mHighestEpoch = mKeepsEpochs ? aGrant.mEpoch : 0;
    mRunning.emplace(aRequest, aNow + aRun);
    ++mRuns;
    if (static_cast<std::int64_t>(mRunning.size()) > kSlots)
      ++mOvercommits;
    return true;
  }
  Inventory Read(Epoch aEpoch, TimePoint aNow)
  {
    Advance(aNow);
    mHighestEpoch = mKeepsEpochs ? std::max(mHighestEpoch, aEpoch) : 0;
    Inventory inventory{ .mNowMs = ReadClock(aNow), .mHighestEpoch = mHighestEpoch };
    for (const auto& [id, end] : mRunning)
      inventory.mRequests.push_back(id);
    return inventory;
  }
};

struct Owner
{
  CapacityShards mCapacity{};
  GrantCore mCore{ "owner", mCapacity };
  TimePoint mLeaseUntil{};
};

struct Trial
{
  explicit Trial(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::mt19937_64 mRandom;
  TimePoint mNow{ seconds(1000) };
  std::multimap<TimePoint, std::function<void()>> mEvents{};
  std::map<WorkerName, Endpoint> mEndpoints{};
  std::map<Ticket, RequestId> mWaiting{};
  std::unique_ptr<Owner> mOwner{};
  Epoch mEpoch = 0;
  std::uint64_t mNextRequest = 1;
  std::uint64_t mGranted = 0;

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
  }
  Duration Pick(Duration aMin, Duration aMax)
  {
    const auto span = static_cast<std::uint64_t>((aMax - aMin) / kStep) + 1;
    return aMin + kStep * static_cast<std::int64_t>(mRandom() % span);
  }
  // Mostly short; sometimes the sender or the network is stuck for seconds.
  Duration PickDelay()
  {
    return Chance(0.1) ? Pick(milliseconds(500), seconds(6)) : Pick(kStep, milliseconds(20));
  }
  void At(Duration aAfter, std::function<void()> aAction)
  {
    mEvents.emplace(mNow + aAfter, std::move(aAction));
  }

  void TakeOver()
  {
    mOwner = std::make_unique<Owner>();
    mWaiting.clear();
    ++mEpoch;
    mOwner->mLeaseUntil = mNow + Pick(seconds(2), seconds(8));
    for (auto& [name, endpoint] : mEndpoints)
      mOwner->mCapacity.With(name, [&, &name = name](CapacityBook& aBook) {
        WorkerSpec spec{ .mName = name };
        spec.mCapacity.mSlots = kSlots;
        aBook.PutWorker(spec, mEpoch);
        aBook.SetQuietUntil(name, mNow + kGrantStartWithin);
      });
    // The next owner takes over only after the lease has expired.
    At(mOwner->mLeaseUntil - mNow + Pick(kStep, milliseconds(500)), [this] { TakeOver(); });
    for (auto& [name, endpoint] : mEndpoints)
      ReadInventory(name, mEpoch);
  }

  void ReadInventory(const WorkerName& aWorker, Epoch aEpoch)
  {
    if (aEpoch != mEpoch)
      return;
    At(milliseconds(200), [this, aWorker, aEpoch] { ReadInventory(aWorker, aEpoch); });
    const TimePoint sent = mNow;
    At(PickDelay(), [this, aWorker, aEpoch, sent] {
      const Inventory inventory = mEndpoints[aWorker].Read(aEpoch, mNow);
      if (Chance(0.1))
        return;
      At(PickDelay(), [this, aWorker, aEpoch, sent, inventory] {
        if (aEpoch == mEpoch)
          mOwner->mCapacity.With(aWorker, [&](CapacityBook& aBook) {
            aBook.ApplyInventory(aWorker, inventory, sent, mNow);
          });
      });
    });
  }

  void Arrive()
  {
    GrantRequest want;
    want.mRequest = "r" + std::to_string(mNextRequest++);
    want.mCaller = "c" + std::to_string(mRandom() % 3);
    want.mWait = Pick(milliseconds(10), seconds(1));
    want.mHold = Pick(milliseconds(100), seconds(3));
    auto ticket = mOwner->mCore.Push(want, mNow);
    if (!ticket)
      return;
    mWaiting[*ticket] = want.mRequest;
    At(want.mWait, [this, ticket = *ticket, epoch = mEpoch] {
      if (epoch == mEpoch && mOwner->mCore.Remove(ticket))
        mWaiting.erase(ticket);
    });
  }

  void Serve()
  {
    const auto mayAct = [&](const WorkerName&) {
      return mNow < mOwner->mLeaseUntil ? std::optional(mEpoch) : std::nullopt;
    };
    mOwner->mCapacity.Expire(mNow);
    for (const GivenSlot& it : mOwner->mCore.Serve(mayAct, mNow)) {
      ++mGranted;
      const RequestId id = mWaiting[it.mTicket];
      mWaiting.erase(it.mTicket);
      if (Chance(0.05))
        continue;  // the reply with the grant is lost
      const Grant grant = it.mGrant;
      At(PickDelay(), [this, id, grant] { Send(id, grant); });
    }
  }

  void Send(const RequestId& aRequest, const Grant& aGrant)
  {
    if (Chance(0.05))
      return Return(aGrant, GrantEnd::Unused);  // its caller has disconnected
    At(PickDelay(), [this, aRequest, aGrant] {
      // Sometimes runs longer than the caller waits: the caller gives up, the endpoint does not.
      const Duration run =
        Chance(0.1) ? Pick(seconds(1), seconds(8)) : Pick(milliseconds(5), milliseconds(100));
      if (!mEndpoints[aGrant.mWorker.mName].Start(aRequest, aGrant, run, mNow))
        return Return(aGrant, GrantEnd::Refused);
      const Duration patience = Pick(milliseconds(20), seconds(2));
      if (run <= patience)
        At(run, [this, aGrant] { Return(aGrant, GrantEnd::Answered); });
      else
        At(patience,
           [this, aGrant] { Return(aGrant, Chance(0.5) ? GrantEnd::Unknown : GrantEnd::Broken); });
    });
  }

  void Return(const Grant& aGrant, GrantEnd aEnd)
  {
    const int copies = Chance(0.1) ? 0 : Chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
      At(PickDelay(), [this, aGrant, aEnd] {
        const GrantReturn end{ aGrant.mId, aGrant.mWorker.mName, aGrant.mEpoch, aEnd };
        mOwner->mCore.Return(end, mNow);
      });
  }

  void Run(Duration aFor)
  {
    for (int i = 0; i < 3; ++i)
      mEndpoints["w" + std::to_string(i)] = { .mOffsetMs =
                                                static_cast<std::int64_t>(mRandom() % 1000000),
                                              .mDrift =
                                                (static_cast<double>(mRandom() % 200) - 100) * 1e-6,
                                              .mKeepsEpochs = i == 0 };
    TakeOver();
    const TimePoint end = mNow + aFor;
    while (mNow < end) {
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const auto action = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        action();
      }
      if (Chance(0.3))
        Arrive();
      Serve();
      CheckStep();
      mNow += kStep;
    }
  }

  void CheckStep()
  {
    mOwner->mCapacity.ForEach([](CapacityBook& aBook) {
      const std::string violation = aBook.FindInvariantViolation();
      if (!violation.empty())
        FAIL(violation);
    });
    for (auto& [name, endpoint] : mEndpoints)
      if (endpoint.mOvercommits > 0)
        FAIL(name << " runs more requests than it has slots at epoch " << mEpoch);
  }
};

}  // namespace

TEST_CASE("no fault makes an endpoint run more requests than it has slots", "[grants][faults]")
{
  std::uint64_t granted = 0;
  std::uint64_t runs = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    Trial trial(seed);
    trial.Run(seconds(15));
    granted += trial.mGranted;
    for (const auto& [name, endpoint] : trial.mEndpoints)
      runs += endpoint.mRuns;
  }
  // Shows that the faults did not stop the work which they are meant to disturb.
  CHECK(granted > 4000);
  CHECK(runs > 3000);
}
