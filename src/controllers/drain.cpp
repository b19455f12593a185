#include "controllers/drain.h"

#include <algorithm>
#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "observe/log.h"

namespace monsoon {

// Exclusion

std::set<WorkerName> ExclusionTable::Join() const
{
  std::set<WorkerName> all = mLeaving;
  all.insert(mDrained.begin(), mDrained.end());
  return all;
}

std::vector<ExclusionChange> ExclusionTable::Compare(std::set<WorkerName> aBefore) const
{
  std::vector<ExclusionChange> changes;
  const std::set<WorkerName> after = Join();
  for (const WorkerName& worker : after)
    if (!aBefore.contains(worker))
      changes.push_back({ worker, true });
  for (const WorkerName& worker : aBefore)
    if (!after.contains(worker))
      changes.push_back({ worker, false });
  return changes;
}

std::vector<ExclusionChange> ExclusionTable::UpdateWorkers(std::span<const WorkerSpec> aWorkers)
{
  std::lock_guard lock(mLock);
  auto before = Join();
  std::set<WorkerName> listed;
  std::set<WorkerName> leaving;
  for (const WorkerSpec& worker : aWorkers) {
    listed.insert(worker.mName);
    if (worker.mLeaving)
      leaving.insert(worker.mName);
  }
  for (const WorkerName& worker : mListed)
    if (!listed.contains(worker))
      leaving.insert(worker);
  for (const WorkerName& worker : mLeaving)
    if (!listed.contains(worker))
      leaving.insert(worker);
  mListed = std::move(listed);
  mLeaving = std::move(leaving);
  return Compare(std::move(before));
}

std::vector<ExclusionChange> ExclusionTable::UpdateConfiguration(
  const Configuration& aConfiguration)
{
  std::lock_guard lock(mLock);
  auto before = Join();
  mDrained.clear();
  for (const auto& [worker, drained] : aConfiguration.mDrained)
    if (drained)
      mDrained.insert(worker);
  return Compare(std::move(before));
}

bool ExclusionTable::IsExcluded(const WorkerName& aWorker) const
{
  std::lock_guard lock(mLock);
  return mLeaving.contains(aWorker) || mDrained.contains(aWorker);
}

// StopMachine

namespace {

namespace front = boost::msm::front;
using front::none;
using front::Row;

struct Announce
{};
struct BalancerNotified
{};
struct DrainEnded
{};
struct OwnsNothing
{};
struct SessionEnded
{};

template<StopState kState>
struct MachineState : front::state<>
{
  template<class Event, class Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.mState = kState;
  }
};

using Ready = MachineState<StopState::Ready>;
using Announced = MachineState<StopState::Announced>;
using Draining = MachineState<StopState::Draining>;
struct HandingOver
  : front::state<>  // ownership is being handed over; GetState still returns Draining
{};
using HandedOver = MachineState<StopState::HandedOver>;
using Stopped = MachineState<StopState::Stopped>;

struct StopDefinition : front::state_machine_def<StopDefinition>
{
  StopState mState = StopState::Ready;

  using initial_state = Ready;
  using transition_table =
    boost::mpl::vector<Row<Ready, Announce, Announced, none, none>,
                       Row<Announced, BalancerNotified, Draining, none, none>,
                       Row<Draining, DrainEnded, HandingOver, none, none>,
                       Row<HandingOver, OwnsNothing, HandedOver, none, none>,
                       Row<HandedOver, SessionEnded, Stopped, none, none>>;

  template<class Event, class Machine>
  void no_transition(const Event&, Machine&, int)
  {
  }
};

}  // namespace

struct StopMachine::Impl
{
  boost::msm::back::state_machine<StopDefinition> mMachine{};
};

StopMachine::StopMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

StopMachine::~StopMachine() = default;

void StopMachine::Process(StopEvent aEvent)
{
  auto& machine = mImpl->mMachine;
  switch (aEvent) {
    case StopEvent::Announce:
      machine.process_event(Announce{});
      return;
    case StopEvent::BalancerNotified:
      machine.process_event(BalancerNotified{});
      return;
    case StopEvent::DrainEnded:
      machine.process_event(DrainEnded{});
      return;
    case StopEvent::OwnsNothing:
      machine.process_event(OwnsNothing{});
      return;
    case StopEvent::SessionEnded:
      machine.process_event(SessionEnded{});
      return;
  }
}

StopState StopMachine::GetState() const noexcept
{
  return mImpl->mMachine.mState;
}

// StopDriver

StopDriver::StopDriver(StopSettings aSettings, StopHooks aHooks)
  : mSettings(aSettings)
  , mHooks(std::move(aHooks))
{
}

void StopDriver::Process(StopEvent aEvent)
{
  static constexpr std::array<std::string_view, 5> kNames = {
    "ready", "announced", "draining", "handed_over", "stopped"
  };
  mMachine.Process(aEvent);
  const StopState before = mState.exchange(mMachine.GetState());
  if (before != GetState())
    Log(LogPart::Drain,
        LogLevel::Info,
        "planned stop changed state",
        { { "state", kNames[static_cast<std::size_t>(GetState())] } });
}

Async<StopReport> StopDriver::Run()
{
  StopReport report;
  Process(StopEvent::Announce);
  co_await Sleep(mSettings.mAnnounceFor);
  Process(StopEvent::BalancerNotified);
  const TimePoint deadline = BootClock::now() + mSettings.mDrainFor;
  while (mHooks.mCountInFlight() > 0 && BootClock::now() < deadline)
    co_await Sleep(mSettings.mPollInterval);
  report.mAborted = mHooks.mCountInFlight();
  Process(StopEvent::DrainEnded);
  const auto handed = co_await mHooks.mHandOver(mSettings.mHandOverFor);
  report.mHandedOver = handed.has_value();
  Process(StopEvent::OwnsNothing);
  const auto ended = co_await mHooks.mEndSession(mSettings.mEndSessionFor);
  report.mSessionEnded = ended.has_value();
  Process(StopEvent::SessionEnded);
  co_return report;
}

}  // namespace monsoon
