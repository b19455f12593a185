#include "controllers/owner_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoon {

namespace {

namespace front = boost::msm::front;
using front::none;
using front::Row;

struct Gained
{};
struct HandoverBegun
{};
struct HandoverRefused
{};
struct Lost
{};

template<OwnerState kState>
struct In : front::state<>
{
  template<class Event, class Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.mState = kState;
  }
};

using NotOwned = In<OwnerState::NotOwned>;
using Owned = In<OwnerState::Owned>;
using HandingOver = In<OwnerState::HandingOver>;

struct OwnerDefinition : front::state_machine_def<OwnerDefinition>
{
  OwnerState mState = OwnerState::NotOwned;

  using initial_state = NotOwned;
  using transition_table = boost::mpl::vector<Row<NotOwned, Gained, Owned, none, none>,
                                              Row<Owned, HandoverBegun, HandingOver, none, none>,
                                              Row<Owned, Lost, NotOwned, none, none>,
                                              Row<HandingOver, HandoverRefused, Owned, none, none>,
                                              Row<HandingOver, Lost, NotOwned, none, none>>;

  template<class Event, class Machine>
  void no_transition(const Event&, Machine&, int)
  {
  }
};

}  // namespace

struct OwnerMachine::Impl
{
  boost::msm::back::state_machine<OwnerDefinition> mMachine{};
};

OwnerMachine::OwnerMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

OwnerMachine::~OwnerMachine() = default;
OwnerMachine::OwnerMachine(OwnerMachine&&) noexcept = default;
OwnerMachine& OwnerMachine::operator=(OwnerMachine&&) noexcept = default;

void OwnerMachine::Process(OwnerEvent aEvent)
{
  auto& machine = mImpl->mMachine;
  switch (aEvent) {
    case OwnerEvent::Gained:
      machine.process_event(Gained{});
      return;
    case OwnerEvent::HandoverBegun:
      machine.process_event(HandoverBegun{});
      return;
    case OwnerEvent::HandoverRefused:
      machine.process_event(HandoverRefused{});
      return;
    case OwnerEvent::Lost:
      machine.process_event(Lost{});
      return;
  }
}

OwnerState OwnerMachine::GetState() const noexcept
{
  return mImpl->mMachine.mState;
}

}  // namespace monsoon
