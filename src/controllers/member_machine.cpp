#include "controllers/member_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoon {

namespace {

namespace front = boost::msm::front;
using front::none;
using front::Row;

struct HeartbeatReceived
{};
struct NewIncarnation
{};
struct TimedOut
{};
struct StopAnnounced
{};
struct SuspicionExpired
{};

template<MemberState kState>
struct In : front::state<>
{
  template<class Event, class Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.mState = kState;
  }
};

using Alive = In<MemberState::Alive>;
using Suspect = In<MemberState::Suspect>;
using Dead = In<MemberState::Dead>;
using Leaving = In<MemberState::Leaving>;

struct MemberDefinition : front::state_machine_def<MemberDefinition>
{
  MemberState mState = MemberState::Dead;

  using initial_state = Dead;
  // A higher heartbeat count proves that a member is alive, so HeartbeatReceived revives it even
  // from Suspect or Dead.
  using transition_table = boost::mpl::vector<Row<Dead, NewIncarnation, Alive, none, none>,
                                              Row<Dead, HeartbeatReceived, Alive, none, none>,
                                              Row<Alive, TimedOut, Suspect, none, none>,
                                              Row<Alive, StopAnnounced, Leaving, none, none>,
                                              Row<Suspect, HeartbeatReceived, Alive, none, none>,
                                              Row<Suspect, NewIncarnation, Alive, none, none>,
                                              Row<Suspect, StopAnnounced, Leaving, none, none>,
                                              Row<Suspect, SuspicionExpired, Dead, none, none>,
                                              Row<Leaving, TimedOut, Dead, none, none>,
                                              Row<Leaving, NewIncarnation, Alive, none, none>>;

  template<class Event, class Machine>
  void no_transition(const Event&, Machine&, int)
  {
  }
};

}  // namespace

struct MemberMachine::Impl
{
  boost::msm::back::state_machine<MemberDefinition> mMachine{};
};

MemberMachine::MemberMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

MemberMachine::~MemberMachine() = default;
MemberMachine::MemberMachine(MemberMachine&&) noexcept = default;
MemberMachine& MemberMachine::operator=(MemberMachine&&) noexcept = default;

void MemberMachine::Process(MemberEvent aEvent)
{
  auto& machine = mImpl->mMachine;
  switch (aEvent) {
    case MemberEvent::HeartbeatReceived:
      machine.process_event(HeartbeatReceived{});
      return;
    case MemberEvent::NewIncarnation:
      machine.process_event(NewIncarnation{});
      return;
    case MemberEvent::TimedOut:
      machine.process_event(TimedOut{});
      return;
    case MemberEvent::StopAnnounced:
      machine.process_event(StopAnnounced{});
      return;
    case MemberEvent::SuspicionExpired:
      machine.process_event(SuspicionExpired{});
      return;
  }
}

MemberState MemberMachine::GetState() const noexcept
{
  return mImpl->mMachine.mState;
}

}  // namespace monsoon
