// Session leases and outage promises, one rule at a time.
#include <catch2/catch.hpp>

#include "control_mocks.h"
#include "controllers/takeover.h"

using namespace monsoon;
using namespace monsoon::mocks;

namespace {

const TimePoint kStart{ seconds(1000) };

// Drives a session until it has nothing to do at aNow, or wants to announce itself; the store
// answers at once.
SessionStep Drive(SessionState& aSession,
                  MemoryStore& aStore,
                  const ProcessName& aName,
                  TimePoint aNow)
{
  const std::string key = MakeSessionKey(aName);
  while (true) {
    const SessionAction action = aSession.Next(aNow);
    if (action.mStep == SessionStep::Read)
      aSession.OnRead(aStore.Get(key), aNow);
    else if (action.mStep == SessionStep::Create)
      aSession.OnWritten(aStore.Create(key, action.mValue), aNow);
    else if (action.mStep == SessionStep::Swap)
      aSession.OnWritten(aStore.Swap(key, action.mValue, action.mRevision), aNow);
    else
      return action.mStep;
  }
}

SessionSettings WithoutPromises()
{
  SessionSettings settings;
  settings.mExtendByPromises = false;
  return settings;
}

OutagePromiseRequest MakeRequest(std::uint64_t aIncarnation, Duration aFor)
{
  OutagePromiseRequest request;
  request.mFrom = "x";
  request.mIncarnation = aIncarnation;
  request.mFor = aFor;
  return request;
}

}  // namespace

TEST_CASE("the right to act counts from before the renewal was sent", "[session]")
{
  MemoryStore store;
  const SessionSettings settings = WithoutPromises();
  SessionState session("x", settings, 1);
  Drive(session, store, "x", kStart);
  REQUIRE(session.GetIncarnation() == 1);
  const SessionAction renewal = session.Next(kStart + seconds(1));
  REQUIRE(renewal.mStep == SessionStep::Swap);
  const auto written = store.Swap("session/x", renewal.mValue, renewal.mRevision);
  session.OnWritten(written, kStart + seconds(2));  // the answer took its time
  CHECK(session.GetDeadline() == kStart + seconds(1) + settings.mLease - settings.mDrift);
  CHECK_FALSE(session.MayAct(session.GetDeadline()));
}

TEST_CASE("a renewal whose answer was lost counts once it is read back", "[session]")
{
  MemoryStore store;
  const SessionSettings settings = WithoutPromises();
  SessionState session("x", settings, 1);
  Drive(session, store, "x", kStart);
  const TimePoint sent = kStart + seconds(1);
  const SessionAction renewal = session.Next(sent);
  (void)store.Swap("session/x", renewal.mValue, renewal.mRevision);
  session.OnWritten(MakeFailure(FailureKind::WriteUnknown), sent + seconds(1));
  CHECK_FALSE(session.IsStoreReachable(sent + seconds(1)));
  const TimePoint later = sent + seconds(1) + settings.mRetryAfter;
  REQUIRE(session.Next(later).mStep == SessionStep::Read);  // never a blind write
  session.OnRead(store.Get("session/x"), later);
  CHECK(session.GetIncarnation() == 1);
  CHECK(session.GetDeadline() == sent + settings.mLease - settings.mDrift);
}

TEST_CASE("a session that another ended is over, and the next incarnation starts anew", "[session]")
{
  MemoryStore store;
  const SessionSettings settings = WithoutPromises();
  SessionState session("x", settings, 1);
  PromiseIssuer issuer(settings, kStart);
  Takeover takeover("y", "x", 1, settings);
  Drive(session, store, "x", kStart);
  // Its last renewal took effect without an answer; then it freezes.
  const SessionAction renewal = session.Next(kStart + seconds(1));
  (void)store.Swap("session/x", renewal.mValue, renewal.mRevision);
  TimePoint now = kStart + seconds(1);
  for (; takeover.GetEnded() == 0; now += milliseconds(10)) {
    const TakeoverAction action = takeover.Next(issuer, now);
    if (action.mStep == TakeoverStep::Read)
      takeover.OnRead(store.Get("session/x"), issuer, now);
    else if (action.mStep == TakeoverStep::Swap)
      takeover.OnWritten(store.Swap("session/x", action.mValue, action.mRevision), issuer, now);
  }
  CHECK(now >= kStart + seconds(1) + settings.mLease + settings.mDrift);
  CHECK_FALSE(session.MayAct(now));
  session.OnWritten(MakeFailure(FailureKind::WriteUnknown), now);
  session.OnRead(store.Get("session/x"), now);
  CHECK(session.GetIncarnation() == 0);
  CHECK_FALSE(session.MayAct(now));
  Drive(session, store, "x", now + settings.mRetryAfter);
  CHECK(session.GetIncarnation() == 2);
  CHECK(session.MayAct(now + settings.mRetryAfter));
}

TEST_CASE("a process waits out its own predecessor", "[session]")
{
  MemoryStore store;
  SessionState old("x", WithoutPromises(), 1);
  Drive(old, store, "x", kStart);
  SessionState fresh("x", WithoutPromises(), 1000);
  TimePoint now = kStart + milliseconds(10);
  for (; fresh.GetIncarnation() == 0; now += milliseconds(10)) {
    CHECK_FALSE(fresh.MayAct(now));
    Drive(fresh, store, "x", now);
  }
  CHECK(fresh.GetIncarnation() == 2);
  CHECK_FALSE(old.MayAct(now - milliseconds(10)));
  Drive(old, store, "x", now);
  CHECK(old.GetIncarnation() == 0);  // it found its record overwritten
}

TEST_CASE("a predecessor that goes on by promises is refused before it is replaced", "[promises]")
{
  MemoryStore store;
  const SessionSettings settings;
  SessionState old("x", settings, 1);
  Drive(old, store, "x", kStart);
  PromiseIssuer peer(settings, kStart - seconds(10));
  SessionState fresh("x", settings, 1000);
  bool announced = false;
  // Only x's predecessor and the peer find the store out; the successor sees it.
  for (TimePoint now = kStart + seconds(1); now < kStart + seconds(30); now += milliseconds(50)) {
    if (old.MayAct(now) && old.GetDeadline() - now < seconds(1)) {
      const auto promise = peer.Answer(MakeRequest(1, settings.mLease), true, now);
      if (promise.mPromised)
        old.Extend(1, now + settings.mLease - settings.mDrift, now);
    }
    const SessionStep step =
      now > kStart + seconds(15) ? Drive(fresh, store, "x", now) : SessionStep::Wait;
    if (step == SessionStep::Announce) {
      const bool knew = peer.Answer(MakeRequest(2, {}), false, now).mPromised;
      fresh.OnAnnounced(knew && announced);
      announced = true;
    }
    REQUIRE_FALSE((old.MayAct(now) && fresh.MayAct(now)));
    if (now < kStart + seconds(15))
      CHECK(old.MayAct(now));
  }
  CHECK(fresh.GetIncarnation() == 2);
  CHECK_FALSE(old.MayAct(kStart + seconds(30)));
}

TEST_CASE("a promise binds, a takeover under way refuses", "[promises]")
{
  const SessionSettings settings;
  PromiseIssuer issuer(settings, kStart);
  CHECK_FALSE(issuer.BeginTakeover("x", kStart + seconds(1)));  // its predecessor may have promised
  const TimePoint now = kStart + seconds(10);
  CHECK_FALSE(issuer.Answer(MakeRequest(1, settings.mLease), false, now).mPromised);
  CHECK(issuer.Answer(MakeRequest(1, settings.mLease), true, now).mPromised);
  CHECK_FALSE(issuer.Answer(MakeRequest(1, 2 * settings.mLease), true, now).mPromised);
  CHECK_FALSE(issuer.BeginTakeover("x", now + settings.mLease - milliseconds(1)));
  CHECK(issuer.BeginTakeover("x", now + settings.mLease));
  CHECK_FALSE(issuer.Answer(MakeRequest(1, settings.mLease), true, now + seconds(5)).mPromised);
  issuer.FinishTakeover("x", 1);
  CHECK_FALSE(issuer.Answer(MakeRequest(1, settings.mLease), true, now + seconds(6)).mPromised);
  CHECK(issuer.Answer(MakeRequest(2, settings.mLease), true, now + seconds(6)).mPromised);
}

TEST_CASE("promises lengthen a lease that still runs, and only when all have promised",
          "[promises]")
{
  MemoryStore store;
  const SessionSettings settings;
  SessionState session("x", settings, 1);
  Drive(session, store, "x", kStart);
  PromiseCollector collector({ "y", "z" }, settings);
  const TimePoint asked = kStart + seconds(2);
  const auto first = collector.BeginRound(1, kStart + seconds(1));
  CHECK_FALSE(collector.OnAnswer(first, "y", true));
  const auto round = collector.BeginRound(1, asked);
  CHECK_FALSE(collector.OnAnswer(first, "z", true));  // of an older round
  CHECK_FALSE(collector.OnAnswer(round, "y", true));
  CHECK_FALSE(collector.OnAnswer(round, "z", false));
  const auto until = collector.OnAnswer(round, "z", true);
  REQUIRE(until);
  CHECK(*until == asked + settings.mLease - settings.mDrift);
  CHECK_FALSE(session.Extend(2, *until, asked));                  // another incarnation
  CHECK_FALSE(session.Extend(1, *until, session.GetDeadline()));  // it has lapsed: no bridge
  CHECK(session.Extend(1, *until, asked));
  CHECK(session.GetDeadline() == *until);
}
