// Tests the rules of session leases, takeovers and outage promises one by one.
#include <catch2/catch.hpp>

#include "control_mocks.h"
#include "controllers/takeover.h"

using namespace monsoon;
using namespace monsoon::mocks;

namespace {

const TimePoint kStart{ seconds(1000) };

// Executes the steps of a session against a store that answers at once, until the session waits or
// wants to announce its incarnation. Returns that step.
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

TEST_CASE("the lease counts from the moment before the renewal was sent", "[session]")
{
  MemoryStore store;
  const SessionSettings settings = WithoutPromises();
  SessionState session("x", settings, 1);
  Drive(session, store, "x", kStart);
  REQUIRE(session.GetIncarnation() == 1);
  const SessionAction renewal = session.Next(kStart + seconds(1));
  REQUIRE(renewal.mStep == SessionStep::Swap);
  const auto written = store.Swap("session/x", renewal.mValue, renewal.mRevision);
  session.OnWritten(written, kStart + seconds(2));  // the answer took a second
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
  REQUIRE(session.Next(later).mStep == SessionStep::Read);  // no write before a read
  session.OnRead(store.Get("session/x"), later);
  CHECK(session.GetIncarnation() == 1);
  CHECK(session.GetDeadline() == sent + settings.mLease - settings.mDrift);
}

TEST_CASE("a session ended by a takeover is lost, and a new incarnation starts", "[session]")
{
  MemoryStore store;
  const SessionSettings settings = WithoutPromises();
  SessionState session("x", settings, 1);
  PromiseIssuer issuer(settings, kStart);
  Takeover takeover("y", "x", 1, settings);
  Drive(session, store, "x", kStart);
  // The last renewal takes effect, but x freezes before it gets the answer.
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

TEST_CASE("a restarted process waits until the lease of its previous incarnation has expired",
          "[session]")
{
  MemoryStore store;
  SessionState previous("x", WithoutPromises(), 1);
  Drive(previous, store, "x", kStart);
  SessionState successor("x", WithoutPromises(), 1000);
  TimePoint now = kStart + milliseconds(10);
  for (; successor.GetIncarnation() == 0; now += milliseconds(10)) {
    CHECK_FALSE(successor.MayAct(now));
    Drive(successor, store, "x", now);
  }
  CHECK(successor.GetIncarnation() == 2);
  CHECK_FALSE(previous.MayAct(now - milliseconds(10)));
  Drive(previous, store, "x", now);
  CHECK(previous.GetIncarnation() == 0);  // it found its record overwritten
}

TEST_CASE("a previous holder that extends its lease by promises is refused before it is replaced",
          "[promises]")
{
  MemoryStore store;
  const SessionSettings settings;
  SessionState previous("x", settings, 1);
  Drive(previous, store, "x", kStart);
  PromiseIssuer peer(settings, kStart - seconds(10));
  SessionState successor("x", settings, 1000);
  bool announced = false;
  // The store is unavailable to the previous holder and to the peer, but not to the new process.
  for (TimePoint now = kStart + seconds(1); now < kStart + seconds(30); now += milliseconds(50)) {
    if (previous.MayAct(now) && previous.GetDeadline() - now < seconds(1)) {
      const auto promise = peer.Answer(MakeRequest(1, settings.mLease), true, now);
      if (promise.mPromised)
        previous.Extend(1, now + settings.mLease - settings.mDrift, now);
    }
    const SessionStep step =
      now > kStart + seconds(15) ? Drive(successor, store, "x", now) : SessionStep::Wait;
    if (step == SessionStep::Announce) {
      const bool knew = peer.Answer(MakeRequest(2, {}), false, now).mPromised;
      successor.OnAnnounced(knew && announced);
      announced = true;
    }
    REQUIRE_FALSE((previous.MayAct(now) && successor.MayAct(now)));
    if (now < kStart + seconds(15))
      CHECK(previous.MayAct(now));
  }
  CHECK(successor.GetIncarnation() == 2);
  CHECK_FALSE(previous.MayAct(kStart + seconds(30)));
}

TEST_CASE("a promise prevents a takeover, and a takeover in progress prevents promises",
          "[promises]")
{
  const SessionSettings settings;
  PromiseIssuer issuer(settings, kStart);
  // An earlier incarnation of this process may have promised.
  CHECK_FALSE(issuer.BeginTakeover("x", kStart + seconds(1)));
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

TEST_CASE("promises extend only an unexpired lease, and only when all peers have promised",
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
  CHECK_FALSE(collector.OnAnswer(first, "z", true));  // answer to an older round
  CHECK_FALSE(collector.OnAnswer(round, "y", true));
  CHECK_FALSE(collector.OnAnswer(round, "z", false));
  const auto until = collector.OnAnswer(round, "z", true);
  REQUIRE(until);
  CHECK(*until == asked + settings.mLease - settings.mDrift);
  CHECK_FALSE(session.Extend(2, *until, asked));                  // another incarnation
  CHECK_FALSE(session.Extend(1, *until, session.GetDeadline()));  // the lease has expired
  CHECK(session.Extend(1, *until, asked));
  CHECK(session.GetDeadline() == *until);
}
