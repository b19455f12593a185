#include "controllers/member_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoon {

namespace {

namespace front = boost::msm::front;
using front::none;
using front::Row;

struct Heard
{};
struct Reborn
{};
struct Silent
{};
struct Departed
{};
struct Expired
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
  // A count that grows proves life, whatever was concluded before.
  using transition_table = boost::mpl::vector<Row<Dead, Reborn, Alive, none, none>,
                                              Row<Dead, Heard, Alive, none, none>,
                                              Row<Alive, Silent, Suspect, none, none>,
                                              Row<Alive, Departed, Leaving, none, none>,
                                              Row<Suspect, Heard, Alive, none, none>,
                                              Row<Suspect, Reborn, Alive, none, none>,
                                              Row<Suspect, Departed, Leaving, none, none>,
                                              Row<Suspect, Expired, Dead, none, none>,
                                              Row<Leaving, Silent, Dead, none, none>,
                                              Row<Leaving, Reborn, Alive, none, none>>;

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
    case MemberEvent::Heard:
      machine.process_event(Heard{});
      return;
    case MemberEvent::Reborn:
      machine.process_event(Reborn{});
      return;
    case MemberEvent::Silent:
      machine.process_event(Silent{});
      return;
    case MemberEvent::Departed:
      machine.process_event(Departed{});
      return;
    case MemberEvent::Expired:
      machine.process_event(Expired{});
      return;
  }
}

MemberState MemberMachine::GetState() const noexcept
{
  return mImpl->mMachine.mState;
}

}  // namespace monsoon
