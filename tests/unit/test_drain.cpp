// Exclusion of leaving and drained workers, and the order of a planned stop.
#include <catch2/catch.hpp>

#include "controllers/drain.h"

using namespace monsoon;

namespace {

WorkerSpec MakeWorker(const WorkerName& aName, bool aLeaving)
{
  WorkerSpec worker;
  worker.mName = aName;
  worker.mLeaving = aLeaving;
  return worker;
}

}  // namespace

TEST_CASE("leaving, vanished and drained workers are excluded", "[drain]")
{
  ExclusionTable table;
  CHECK(
    table.UpdateWorkers(std::vector{ MakeWorker("w1", false), MakeWorker("w2", false) }).empty());
  const auto left = table.UpdateWorkers(std::vector{ MakeWorker("w1", true) });
  REQUIRE(left.size() == 2);
  CHECK(table.IsExcluded("w1"));
  CHECK(table.IsExcluded("w2"));  // no longer listed

  Configuration configuration;
  configuration.mDrained["w1"] = true;
  CHECK(table.UpdateConfiguration(configuration).empty());  // it is excluded already
  const auto back =
    table.UpdateWorkers(std::vector{ MakeWorker("w1", false), MakeWorker("w2", false) });
  REQUIRE(back.size() == 1);
  CHECK(back.front().mWorker == "w2");
  CHECK(table.IsExcluded("w1"));  // still drained by the operator
  CHECK(table.UpdateConfiguration(Configuration{}).size() == 1);
  CHECK_FALSE(table.IsExcluded("w1"));
}

TEST_CASE("a planned stop takes its steps only in order", "[drain]")
{
  StopMachine machine;
  machine.Process(StopEvent::OwnsNothing);
  CHECK(machine.GetState() == StopState::Ready);
  machine.Process(StopEvent::Announce);
  machine.Process(StopEvent::DrainEnded);
  CHECK(machine.GetState() == StopState::Announced);
  machine.Process(StopEvent::BalancerNotified);
  machine.Process(StopEvent::OwnsNothing);  // ignored until the requests in flight have finished
  CHECK(machine.GetState() == StopState::Draining);
  machine.Process(StopEvent::DrainEnded);
  CHECK(machine.GetState() == StopState::Draining);
  machine.Process(StopEvent::OwnsNothing);
  CHECK(machine.GetState() == StopState::HandedOver);
  machine.Process(StopEvent::SessionEnded);
  CHECK(machine.GetState() == StopState::Stopped);
}

TEST_CASE("a planned stop waits for requests in flight, then hands over", "[drain]")
{
  asio::io_context context{ 1 };
  std::size_t inFlight = 3;
  std::vector<std::string> steps;
  StopSettings settings;
  settings.mAnnounceFor = milliseconds(5);
  settings.mPollInterval = milliseconds(1);
  StopHooks hooks;
  StopDriver* driver = nullptr;
  hooks.mCountInFlight = [&] {
    if (driver->GetState() == StopState::Draining && inFlight > 0)
      --inFlight;
    return inFlight;
  };
  hooks.mHandOver = [&](Duration) -> Async<Result<void>> {
    steps.push_back("handover with " + std::to_string(inFlight));
    co_return Result<void>();
  };
  hooks.mEndSession = [&](Duration) -> Async<Result<void>> {
    steps.emplace_back("end");
    co_return Result<void>();
  };
  StopDriver stop(settings, hooks);
  driver = &stop;
  CHECK(stop.IsReady());
  std::optional<StopReport> report;
  asio::co_spawn(
    context, [&]() -> Async<void> { report = co_await stop.Run(); }, asio::detached);
  context.poll_one();
  CHECK_FALSE(stop.IsReady());
  CHECK(stop.AcceptsRequests());  // the load balancer may still send some
  context.run();
  REQUIRE(report.has_value());
  CHECK(report->mAborted == 0);
  CHECK(steps == std::vector<std::string>{ "handover with 0", "end" });
  CHECK(stop.GetState() == StopState::Stopped);
  CHECK_FALSE(stop.AcceptsRequests());
}
