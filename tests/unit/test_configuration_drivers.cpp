// Concurrent configuration changes through two processes, over a store that loses answers.
#include <catch2/catch.hpp>

#include "control_mocks.h"
#include "controllers/configuration.h"
#include "journal/journal.h"

using namespace monsoon;
using namespace monsoon::mocks;

namespace {

using TestConfiguration = ConfigurationController<Journal<AsyncStore>, AsyncStore, MemoryPeers>;

struct Process
{
  Process(asio::io_context& aContext,
          MemoryStore& aMemory,
          std::map<ProcessName, MemoryPeers::Handler>& aHandlers,
          const ProcessName& aName)
    : mStore{ aMemory }
    , mPeers{ aHandlers, aName }
  {
    ConfigurationSettings settings;
    settings.mRetryAfter = milliseconds(1);
    settings.mFollower.mWatchWait = milliseconds(50);
    settings.mFollower.mRetryAfter = milliseconds(5);
    settings.mFollower.mPoll = milliseconds(5);
    mConfiguration =
      std::make_unique<TestConfiguration>(aContext.get_executor(),
                                          mStore,
                                          std::make_unique<Journal<AsyncStore>>(mStore, "config"),
                                          mPeers,
                                          aName,
                                          1,
                                          settings);
    aHandlers[aName] = [this](ProcessName, PeerRequest aRequest) -> Result<PeerReply> {
      return PeerReply(mConfiguration->OnFetch(std::get<JournalFetch>(aRequest)));
    };
  }

  AsyncStore mStore;
  MemoryPeers mPeers;
  std::unique_ptr<TestConfiguration> mConfiguration{};
};

ConfigurationEntry MakeSetting(const std::string& aValue)
{
  return CellSettingSet{ "routing", aValue };
}

struct ChangeOutcome
{
  std::string mValue{};
  Result<Revision> mAnswer{ Revision{ 0 } };
};

Async<void> Operate(TestConfiguration& aConfiguration,
                    std::string aName,
                    int aCount,
                    std::vector<ChangeOutcome>& aOutcomes,
                    Revision& aHighest,
                    bool& aReverted)
{
  for (int i = 0; i < aCount; ++i) {
    const std::string value = aName + std::to_string(i);
    const std::optional<Revision> expected =
      i % 2 == 0 ? std::optional<Revision>(aConfiguration.GetConfiguration()->mRevision)
                 : std::nullopt;
    std::vector<ConfigurationEntry> entries{ MakeSetting(value) };
    const auto answer = co_await aConfiguration.Change(expected, entries);
    aOutcomes.push_back({ value, answer });
    const Revision shown = aConfiguration.GetConfiguration()->mRevision;
    aReverted = aReverted || shown < aHighest;
    aHighest = std::max(aHighest, shown);
    co_await Sleep(milliseconds(1));
  }
}

void Race(std::uint64_t aSeed)
{
  asio::io_context context{ 1 };
  MemoryStore memory;
  std::mt19937_64 random(aSeed);
  memory.mLoseAnswer = [&] { return random() % 4 == 0; };
  std::map<ProcessName, MemoryPeers::Handler> handlers;
  Process one(context, memory, handlers, "one");
  Process two(context, memory, handlers, "two");
  for (Process* it : { &one, &two })
    asio::co_spawn(
      context, it->mConfiguration->Run([] { return true; }, [] { return false; }), asio::detached);
  std::vector<ChangeOutcome> outcomes;
  std::array<Revision, 2> highest{};
  bool reverted = false;
  int running = 2;
  const auto done = [&](std::exception_ptr) { --running; };
  asio::co_spawn(
    context, Operate(*one.mConfiguration, "a", 100, outcomes, highest[0], reverted), done);
  asio::co_spawn(
    context, Operate(*two.mConfiguration, "b", 100, outcomes, highest[1], reverted), done);
  std::uint64_t n = 0;
  const TimePoint bound = BootClock::now() + seconds(120);
  while (running > 0 && BootClock::now() < bound) {
    context.run_for(milliseconds(2));
    memory.mDown = ++n % 40 > 36;  // short outages in between
  }
  REQUIRE(running == 0);
  memory.mDown = false;
  const auto headOf = [](Process& aProcess) {
    return aProcess.mConfiguration->GetConfiguration()->mRevision;
  };
  while ((headOf(one) != headOf(two) || headOf(one) != memory.mValues.size()) &&
         BootClock::now() < bound)
    context.run_for(milliseconds(5));
  CHECK_FALSE(reverted);
  REQUIRE(headOf(one) == memory.mValues.size());
  CHECK(headOf(two) == headOf(one));

  // Compares the committed changes, in order, with the answers that each operator got.
  std::map<std::string, Revision> committed;
  Revision at = 0;
  for (const auto& [key, value] : memory.mValues) {
    const auto carried = DecodeValue(value.mValue);
    REQUIRE(carried.has_value());
    const auto change = DecodeConfigurationChange(carried->mEntries.front());
    REQUIRE(change.has_value());
    const auto& setting = std::get<CellSettingSet>(change->mEntries.front());
    CHECK(committed.emplace(setting.mValue, ++at).second);  // no change is committed twice
  }
  CHECK(outcomes.size() == 200);
  for (const ChangeOutcome& it : outcomes) {
    if (it.mAnswer)
      CHECK(committed.at(it.mValue) == *it.mAnswer);
    else
      CHECK(((it.mAnswer.error().mKind == FailureKind::WriteUnknown) ||
             !committed.contains(it.mValue)));
  }
  one.mConfiguration->Stop();
  two.mConfiguration->Stop();
  context.run_for(milliseconds(300));
}

}  // namespace

TEST_CASE("concurrent operators get correct answers and see one order of changes",
          "[configuration][drivers]")
{
  static_assert(ConfigurationView<TestConfiguration>);
  for (const std::uint64_t seed : { 1U, 2U, 3U })
    Race(seed);
}

TEST_CASE("a process that starts while the store is unavailable reads a peer's copy",
          "[configuration][drivers]")
{
  asio::io_context context{ 1 };
  MemoryStore memory;
  std::map<ProcessName, MemoryPeers::Handler> handlers;
  Process one(context, memory, handlers, "one");
  asio::co_spawn(
    context, one.mConfiguration->Run([] { return true; }, [] { return false; }), asio::detached);
  std::vector<ChangeOutcome> outcomes;
  Revision highest = 0;
  bool reverted = false;
  asio::co_spawn(
    context, Operate(*one.mConfiguration, "a", 10, outcomes, highest, reverted), asio::detached);
  while (outcomes.size() < 10)
    context.run_for(milliseconds(5));
  memory.mDown = true;
  Process two(context, memory, handlers, "two");
  bool storeDownForAll = false;
  asio::co_spawn(context,
                 two.mConfiguration->Run([] { return true; }, [&] { return storeDownForAll; }),
                 asio::detached);
  CHECK_FALSE(two.mConfiguration->IsConfirmed());
  Heartbeat heartbeat;
  heartbeat.mFrom = "one";
  heartbeat.mHeads = { { "config", 10, std::chrono::minutes(1) } };
  const TimePoint bound = BootClock::now() + seconds(60);
  while (two.mConfiguration->GetConfiguration()->mRevision != 10 && BootClock::now() < bound) {
    two.mConfiguration->OnHeartbeat(heartbeat, BootClock::now());
    context.run_for(milliseconds(5));
  }
  CHECK(two.mConfiguration->GetConfiguration()->mSettings.at("routing") == "a9");
  context.run_for(milliseconds(300));
  CHECK_FALSE(two.mConfiguration->IsConfirmed());  // the peer's own confirmation is too old
  storeDownForAll = true;
  context.run_for(milliseconds(300));
  CHECK(two.mConfiguration->IsConfirmed());
  one.mConfiguration->Stop();
  two.mConfiguration->Stop();
  context.run_for(milliseconds(500));
}
