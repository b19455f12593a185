// Guards the outcome that a caller receives (answered, not_run or unknown) against failures of
// owners, endpoints, peers and the key journal at each step of a request.
#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include "controllers/keys.h"
#include "filters/chain.h"
#include "tests/unit/request_mocks.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

using Environment =
  RequestEnvironment<MockPeers, MockWorkers, MockOwnership, MockMembership, MockConfiguration>;
using Keys = KeyController<MockJournal, MockOwnership>;

// The entry process p1 with the owners p1 and p2, which grant a slot at once unless a test replaces
// their scripts.
struct Fixture
{
  asio::io_context mContext{ 1 };
  MockPeers mPeers{};
  MockWorkers mWorkers{};
  MockOwnership mOwnership{};
  MockMembership mMembership{};
  MockConfiguration mConfiguration{};
  RequestSettings mSettings{ .mSelf = "p1", .mZone = "a", .mJobShards = 1 };
  std::unique_ptr<RequestShared> mShared{};
  MockJournal mJournal{};
  Keys mKeys{ 0, mJournal, mOwnership };
  GrantId mNextGrant = 1;

  Fixture()
  {
    mOwnership.mOwners = { "p1", "p2" };
    mOwnership.mShards[0] = { "p1", 1 };
    mMembership.mMembers = { { "p1", "a", true }, { "p2", "b", true } };
    mSettings.mRouting.mZoneStep = milliseconds(1);
    mSettings.mRouting.mCrossZonePrice = milliseconds(1);
    mShared = std::make_unique<RequestShared>(mSettings);
    for (const char* name : { "p1", "p2" })
      mPeers.mScripts[name] = [this, name](PeerRequest aRequest) {
        return Serve(name, std::move(aRequest));
      };
  }

  Environment GetEnvironment()
  {
    return { mPeers, mWorkers, mOwnership, mMembership, mConfiguration, mSettings, *mShared };
  }

  Grant MakeGrant(const ProcessName& aOwner)
  {
    Grant grant;
    grant.mId = mNextGrant++;
    grant.mOwner = aOwner;
    grant.mWorker.mName = "w-" + aOwner;
    grant.mEpoch = 1;
    return grant;
  }

  Async<Result<PeerReply>> Serve(ProcessName aOwner, PeerRequest aRequest)
  {
    if (std::holds_alternative<GrantRequest>(aRequest)) {
      const Grant grant = MakeGrant(aOwner);
      co_return PeerReply(grant);
    }
    if (auto* record = std::get_if<KeyRecord>(&aRequest))
      co_return co_await mKeys.Record(*record);
    if (auto* outcome = std::get_if<KeyOutcome>(&aRequest))
      co_return co_await mKeys.Report(*outcome);
    co_return PeerReply(Done{});
  }

  HttpResponse Run(RequestSpec aSpec)
  {
    return RunUntilDone(mContext, RunRequest(GetEnvironment(), std::move(aSpec)));
  }

  // Runs until all returns of grants and reports of key outcomes have ended.
  void FinishBackgroundWork()
  {
    mContext.restart();
    while (mShared->mBackground > 0 && mContext.run_one() > 0) {
    }
  }
};

RequestSpec MakeSpec(bool aRepeatable = true)
{
  RequestSpec spec{ .mId = "r", .mCaller = "c", .mRepeatable = aRepeatable };
  spec.mTimeout = milliseconds(300);
  spec.mBody = "body";
  if (!aRepeatable)
    spec.mIdempotencyKey = "key";
  return spec;
}

std::string GetOutcome(const HttpResponse& aResponse)
{
  if (aResponse.result_int() == 200)
    return "answered";
  return std::string(boost::json::parse(aResponse.body()).at("outcome").as_string());
}

}  // namespace

TEST_CASE("a repeatable request is answered whole and without a store call", "[filters]")
{
  Fixture it;
  for (int i = 0; i < 100; ++i) {
    const HttpResponse response = it.Run(MakeSpec());
    CHECK(response.body() == "body");
    CHECK(response["Request-Id"] == "r");
  }
  it.FinishBackgroundWork();
  CHECK(it.mJournal.mAppends == 0);
  CHECK(it.mPeers.List<KeyRecord>().empty());
  CHECK(it.mPeers.List<KeyOutcome>().empty());
  CHECK(it.mPeers.List<GrantReturn>().size() == 100);
}

TEST_CASE(
  "a request that an endpoint refused or that could not reach it is retried, repeatable or not",
  "[filters]")
{
  for (const FailureKind kind :
       { FailureKind::EndpointRefused, FailureKind::EndpointUnreachable }) {
    Fixture it;
    it.mWorkers.mScript.push_back(MakeFailure(kind));
    CHECK(GetOutcome(it.Run(MakeSpec(false))) == "answered");
    CHECK(it.mWorkers.mRuns.size() == 2);
    it.FinishBackgroundWork();
    const auto returns = it.mPeers.List<GrantReturn>();
    REQUIRE(returns.size() == 2);
    CHECK(returns[0].mEnd == GrantEnd::Refused);
    CHECK(returns[1].mEnd == GrantEnd::Answered);
  }
}

TEST_CASE("not_run is reported only if no attempt may have run", "[filters]")
{
  Fixture it;
  it.mWorkers.mScript.assign(20, MakeFailure(FailureKind::EndpointRefused));
  CHECK(GetOutcome(it.Run(MakeSpec())) == "not_run");
  it.mWorkers.mScript.assign(20, MakeFailure(FailureKind::EndpointRefused));
  it.mWorkers.mScript.push_front(MakeFailure(FailureKind::EndpointUnknown));
  CHECK(GetOutcome(it.Run(MakeSpec())) == "unknown");
}

TEST_CASE("after bytes were written only a repeatable request is retried", "[filters]")
{
  for (const FailureKind kind :
       { FailureKind::EndpointUnknown, FailureKind::Timeout, FailureKind::BadInput }) {
    Fixture it;
    it.mWorkers.mScript.push_back(MakeFailure(kind));
    CHECK(GetOutcome(it.Run(MakeSpec(true))) == "answered");
    it.mWorkers.mRuns.clear();
    it.mWorkers.mScript.push_back(MakeFailure(kind));
    CHECK(GetOutcome(it.Run(MakeSpec(false))) == "unknown");
    CHECK(it.mWorkers.mRuns.size() == 1);
    it.FinishBackgroundWork();
    const auto returns = it.mPeers.List<GrantReturn>();
    CHECK(returns.back().mEnd ==
          (kind == FailureKind::Timeout ? GrantEnd::Unknown : GrantEnd::Broken));
  }
}

TEST_CASE("retries stop when the retry budget is spent", "[filters]")
{
  Fixture it;
  it.mSettings.mRetry.mMaxAttempts = 3;
  for (int i = 0; i < 50; ++i) {
    it.mWorkers.mScript.assign(3, MakeFailure(FailureKind::EndpointUnknown));
    it.Run(MakeSpec());
  }
  // 50 first attempts, 10 retries from the full budget and about 5 that the requests pay in (0.1
  // each).
  CHECK(it.mWorkers.mRuns.size() >= 60);
  CHECK(it.mWorkers.mRuns.size() <= 65);
}

TEST_CASE("the first grant is used, and a grant that crosses its cancellation is returned unused",
          "[filters]")
{
  Fixture it;
  std::shared_ptr<asio::steady_timer> p1Delay =
    std::make_shared<asio::steady_timer>(it.mContext, asio::steady_timer::time_point::max());
  it.mPeers.mScripts["p1"] = [&it, p1Delay](PeerRequest aRequest) -> Async<Result<PeerReply>> {
    if (!std::holds_alternative<GrantRequest>(aRequest))
      co_return PeerReply(Done{});
    [[maybe_unused]] auto [ec] = co_await p1Delay->async_wait(kNoThrow);
    const Grant grant = it.MakeGrant("p1");
    co_return PeerReply(grant);
  };
  CHECK(GetOutcome(it.Run(MakeSpec())) == "answered");
  CHECK(it.mWorkers.mRuns.front().first == "w-p2");
  REQUIRE(it.mPeers.List<GrantCancel>().size() == 1);
  p1Delay->cancel();  // p1's grant crosses the cancellation
  it.mContext.restart();
  it.mContext.poll();
  const auto returns = it.mPeers.List<GrantReturn>();
  REQUIRE(returns.size() == 2);
  CHECK(returns.back().mEnd == GrantEnd::Unused);
  CHECK(returns.back().mWorker == "w-p1");
}

TEST_CASE(
  "a request without a slot by its deadline is not run, and admission refuses the next at once",
  "[filters]")
{
  Fixture it;
  it.mSettings.mAdmission.mMinSamples = 1;
  it.mShared = std::make_unique<RequestShared>(it.mSettings);
  for (const char* name : { "p1", "p2" })
    it.mPeers.mScripts[name] = [](PeerRequest) -> Async<Result<PeerReply>> {
      co_return MakeFailure(FailureKind::CapacityFull);
    };
  RequestSpec spec = MakeSpec();
  spec.mTimeout = milliseconds(60);
  CHECK(GetOutcome(it.Run(spec)) == "not_run");
  const std::size_t calls = it.mPeers.mCalls.size();
  CHECK(calls > 0);
  spec.mTimeout = milliseconds(40);
  CHECK(GetOutcome(it.Run(spec)) == "not_run");
  CHECK(it.mPeers.mCalls.size() == calls);
}

TEST_CASE("a refused request is not run, and ended requests no longer count toward the limits",
          "[filters]")
{
  Fixture it;
  it.mConfiguration.mConfirmed = false;
  CHECK(GetOutcome(it.Run(MakeSpec())) == "not_run");
  it.mConfiguration.mConfirmed = true;
  it.mShared->mDraining = true;
  CHECK(GetOutcome(it.Run(MakeSpec())) == "not_run");
  it.mShared->mDraining = false;
  it.mSettings.mLimits.mMaxInFlightPerCaller = 1;
  REQUIRE(it.mShared->BeginRequest("c"));
  CHECK(GetOutcome(it.Run(MakeSpec())) == "not_run");
  RequestSpec other = MakeSpec();
  other.mCaller = "d";
  CHECK(GetOutcome(it.Run(other)) == "answered");
  it.mShared->EndRequest("c");
  CHECK(GetOutcome(it.Run(MakeSpec())) == "answered");
  CHECK(it.mShared->CountInFlight() == 0);
}

TEST_CASE("a second request with an answered key gets the recorded answer", "[filters]")
{
  Fixture it;
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "answered");
  RequestSpec again = MakeSpec(false);
  again.mId = "r-again";
  const HttpResponse response = it.Run(again);
  CHECK(response.body() == "body");
  CHECK(response["Replayed"] == "yes");
  CHECK(it.mWorkers.mRuns.size() == 1);
}

TEST_CASE("a request that was not run may be sent again under the same key", "[filters]")
{
  Fixture it;
  it.mWorkers.mScript.assign(8, MakeFailure(FailureKind::EndpointRefused));
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "not_run");
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "answered");
}

TEST_CASE("a request whose key was recorded by a crashed process is never run again", "[filters]")
{
  Fixture it;
  // Another entry process recorded the key and crashed after sending the request, so no outcome is
  // ever reported.
  const KeyRecord record{ "key", "dead-call", "p2", milliseconds(100) };
  const auto fresh = RunUntilDone(it.mContext, it.mKeys.Record(record));
  REQUIRE(std::get<KeyReply>(*fresh).mState == KeyState::Fresh);
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "unknown");
  CHECK(it.mWorkers.mRuns.empty());
}

TEST_CASE("a request whose key can't be recorded is not run and never sent", "[filters]")
{
  Fixture it;
  it.mJournal.mFail.assign(100, FailureKind::StoreUnavailable);
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "not_run");
  it.mJournal.mFail.assign(100, FailureKind::WriteUnknown);
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "not_run");
  it.mOwnership.mShards.clear();
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "not_run");
  CHECK(it.mWorkers.mRuns.empty());
}

TEST_CASE("after a lost reply the key is recorded again, and the request is sent once", "[filters]")
{
  Fixture it;
  int lost = 2;
  it.mPeers.mScripts["p1"] = [&](PeerRequest aRequest) -> Async<Result<PeerReply>> {
    const bool isRecord = std::holds_alternative<KeyRecord>(aRequest);
    auto reply = co_await it.Serve("p1", std::move(aRequest));
    if (isRecord && lost-- > 0)
      co_return MakeFailure(FailureKind::PeerUnknown);
    co_return reply;
  };
  CHECK(GetOutcome(it.Run(MakeSpec(false))) == "answered");
  CHECK(it.mWorkers.mRuns.size() == 1);
  CHECK(it.mJournal.mAppends == 2);  // the record and the outcome
}

TEST_CASE("every filter decides only outcomes that it lists", "[filters]")
{
  // Random failures of endpoints and of the journal, from a fixed list of seeds.
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Fixture it;
    std::mt19937_64 random(seed);
    const auto chance = [&](double aShare) {
      return std::uniform_real_distribution<>(0, 1)(random) < aShare;
    };
    for (int i = 0; i < 10; ++i)
      if (chance(0.5))
        it.mWorkers.mScript.push_back(MakeFailure(static_cast<FailureKind>(random() % 24)));
      else
        it.mWorkers.mScript.push_back(RunAnswer{ chance(0.5) ? 200U : 503U, "x" });
    for (int i = 0; i < 4; ++i)
      if (chance(0.3))
        it.mJournal.mFail.push_back(chance(0.5) ? FailureKind::WriteUnknown
                                                : FailureKind::StoreUnavailable);
    RequestContext context;
    context.mSpec = MakeSpec(chance(0.5));
    context.mArrivedAt = BootClock::now();
    context.mDeadline = context.mArrivedAt + milliseconds(50);
    context.mCallId = "call";
    RequestChain<Environment> chain(it.GetEnvironment());
    RunUntilDone(it.mContext, [](auto& aChain, auto& aContext) -> Async<bool> {
      co_await aChain.template Run<kPlacementFilter>(aContext);
      co_return true;
    }(chain, context));
    INFO("seed " << seed);
    CHECK_FALSE(chain.GetUnlistedOutcome().has_value());
    const RequestState state = context.mMachine.GetState();
    CHECK((state == RequestState::Answered || state == RequestState::Refused ||
           state == RequestState::Unknown));
    if (!context.mSpec.mRepeatable && state == RequestState::Unknown)
      CHECK(it.mWorkers.mRuns.size() == context.mAttempts);
  }
}
