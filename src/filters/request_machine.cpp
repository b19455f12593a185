#include "filters/request_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoon {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

namespace {

struct ReserveEvent
{};
struct GrantEvent
{};
struct ReleaseEvent
{};
struct SendEvent
{};
struct AnswerEvent
{};
struct RefuseEvent
{};
struct BreakEvent
{};
struct DoubtEvent
{};
struct ReplayEvent
{};
struct GiveUpEvent
{};

struct Received : msm::front::state<>
{};
struct Reserved : msm::front::state<>
{};
struct Granted : msm::front::state<>
{};
struct Sent : msm::front::state<>
{};
struct Answered : msm::front::state<>
{};
struct Refused : msm::front::state<>
{};
struct Unknown : msm::front::state<>
{};

struct RequestDef : msm::front::state_machine_def<RequestDef>
{
  using initial_state = Received;  // NOLINT(readability-identifier-naming): name set by Boost.MSM
  bool mInDoubt = false;           // an earlier attempt may have run

  struct MarkInDoubt
  {
    template<class Event, class Fsm, class Source, class Target>
    void operator()(const Event&, Fsm& aFsm, Source&, Target&) const
    {
      aFsm.mInDoubt = true;
    }
  };
  struct IsInDoubt
  {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event&, Fsm& aFsm, Source&, Target&) const
    {
      return aFsm.mInDoubt;
    }
  };
  struct IsCertain
  {
    template<class Event, class Fsm, class Source, class Target>
    bool operator()(const Event&, Fsm& aFsm, Source&, Target&) const
    {
      return !aFsm.mInDoubt;
    }
  };

  template<class Source,
           class Event,
           class Target,
           class Action = msm::front::none,
           class Guard = msm::front::none>
  using Row = msm::front::Row<Source, Event, Target, Action, Guard>;
  using None = msm::front::none;

  // clang-format off
  struct transition_table : mpl::vector<  // NOLINT(readability-identifier-naming)
    //  from      event          to        action  guard
    Row<Received, ReserveEvent,  Reserved>,
    Row<Received, ReplayEvent,   Answered>,
    Row<Received, DoubtEvent,    Received, MarkInDoubt>,
    Row<Received, GiveUpEvent,   Refused,  None,   IsCertain>,
    Row<Received, GiveUpEvent,   Unknown,  None,   IsInDoubt>,
    Row<Reserved, GrantEvent,    Granted>,
    Row<Reserved, ReleaseEvent,  Received>,
    Row<Reserved, GiveUpEvent,   Refused,  None,   IsCertain>,
    Row<Reserved, GiveUpEvent,   Unknown,  None,   IsInDoubt>,
    Row<Granted,  SendEvent,     Sent>,
    Row<Granted,  ReleaseEvent,  Received>,
    Row<Granted,  GiveUpEvent,   Refused,  None,   IsCertain>,
    Row<Granted,  GiveUpEvent,   Unknown,  None,   IsInDoubt>,
    Row<Sent,     AnswerEvent,   Answered>,
    Row<Sent,     RefuseEvent,   Received>,
    Row<Sent,     BreakEvent,    Received, MarkInDoubt>,
    Row<Sent,     GiveUpEvent,   Unknown>
  > {};
  // clang-format on

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

}  // namespace

struct RequestMachine::Machine : msm::back::state_machine<RequestDef>
{
  template<class Event>
  bool Apply(const Event& aEvent)
  {
    return process_event(aEvent) == msm::back::HANDLED_TRUE;
  }
};

RequestMachine::RequestMachine()
  : mMachine(std::make_unique<Machine>())
{
  mMachine->start();
}

RequestMachine::~RequestMachine() = default;
RequestMachine::RequestMachine(RequestMachine&&) noexcept = default;
RequestMachine& RequestMachine::operator=(RequestMachine&&) noexcept = default;

bool RequestMachine::Reserve()
{
  return mMachine->Apply(ReserveEvent{});
}
bool RequestMachine::Grant()
{
  return mMachine->Apply(GrantEvent{});
}
bool RequestMachine::Release()
{
  return mMachine->Apply(ReleaseEvent{});
}
bool RequestMachine::Send()
{
  return mMachine->Apply(SendEvent{});
}
bool RequestMachine::Answer()
{
  return mMachine->Apply(AnswerEvent{});
}
bool RequestMachine::RefuseAttempt()
{
  return mMachine->Apply(RefuseEvent{});
}
bool RequestMachine::BreakAttempt()
{
  return mMachine->Apply(BreakEvent{});
}
bool RequestMachine::MarkInDoubt()
{
  return mMachine->Apply(DoubtEvent{});
}
bool RequestMachine::Replay()
{
  return mMachine->Apply(ReplayEvent{});
}
void RequestMachine::GiveUp()
{
  mMachine->Apply(GiveUpEvent{});
}

RequestState RequestMachine::GetState() const noexcept
{
  // Boost.MSM numbers the states by their first appearance in the transition table, so the ids
  // differ from the values of RequestState.
  using Back = msm::back::state_machine<RequestDef>;
  using Table = Back::stt;
  const int id = mMachine->current_state()[0];
  if (id == msm::back::get_state_id<Table, Received>::value)
    return RequestState::Received;
  if (id == msm::back::get_state_id<Table, Reserved>::value)
    return RequestState::Reserved;
  if (id == msm::back::get_state_id<Table, Granted>::value)
    return RequestState::Granted;
  if (id == msm::back::get_state_id<Table, Sent>::value)
    return RequestState::Sent;
  if (id == msm::back::get_state_id<Table, Answered>::value)
    return RequestState::Answered;
  if (id == msm::back::get_state_id<Table, Refused>::value)
    return RequestState::Refused;
  return RequestState::Unknown;
}

bool RequestMachine::MayHaveRun() const noexcept
{
  const RequestState state = GetState();
  return mMachine->mInDoubt || state == RequestState::Sent || state == RequestState::Unknown;
}

Outcome RequestMachine::GetOutcome() const noexcept
{
  if (GetState() == RequestState::Answered)
    return Outcome::Answered;
  return MayHaveRun() ? Outcome::Unknown : Outcome::NotRun;
}

const char* GetName(RequestState aState) noexcept
{
  static constexpr const char* kNames[] = { "received", "reserved", "granted", "sent",
                                            "answered", "refused",  "unknown" };
  return kNames[static_cast<std::size_t>(aState)];
}

}  // namespace monsoon
