#include "controllers/job_table_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace monsoon {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::Row;

template<TaskEvent>
struct On
{
};

template<TaskState>
struct In : msm::front::state<>
{
};

using Waiting = In<TaskState::Waiting>;
using Assigned = In<TaskState::Assigned>;
using Running = In<TaskState::Running>;
using Succeeded = In<TaskState::Succeeded>;
using Cancelled = In<TaskState::Cancelled>;
using DeadLetter = In<TaskState::DeadLetter>;
using Held = In<TaskState::Held>;
using E = TaskEvent;

struct TaskMachineDef : msm::front::state_machine_def<TaskMachineDef>
{
  using initial_state = Waiting;
  using no_message_queue = int;
  using no_exception_thrown = int;
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): the name that Boost.MSM looks for
  struct transition_table : mpl::vector<
    Row<Waiting,  On<E::Assign>,   Assigned>,
    Row<Waiting,  On<E::Hold>,     Held>,
    Row<Waiting,  On<E::Cancel>,   Cancelled>,
    Row<Held,     On<E::Release>,  Waiting>,
    Row<Held,     On<E::Cancel>,   Cancelled>,
    Row<Assigned, On<E::Confirm>,  Running>,
    Row<Assigned, On<E::Requeue>,  Waiting>,
    Row<Assigned, On<E::Succeed>,  Succeeded>,
    Row<Assigned, On<E::Withdraw>, Cancelled>,
    Row<Assigned, On<E::GiveUp>,   DeadLetter>,
    Row<Running,  On<E::Confirm>,  Running>,
    Row<Running,  On<E::Requeue>,  Waiting>,
    Row<Running,  On<E::Succeed>,  Succeeded>,
    Row<Running,  On<E::Withdraw>, Cancelled>,
    Row<Running,  On<E::GiveUp>,   DeadLetter>
  > {};
  // clang-format on
  bool mRefused = false;

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm& aFsm, int)
  {
    aFsm.mRefused = true;
  }
};

using TaskMachine = msm::back::state_machine<TaskMachineDef>;

template<TaskState State>
bool IsIn(TaskMachine& aMachine)
{
  static const int kId = msm::back::get_state_id<typename TaskMachine::stt, In<State>>::type::value;
  return aMachine.current_state()[0] == kId;
}

TaskState ReadState(TaskMachine& aMachine)
{
  if (IsIn<TaskState::Assigned>(aMachine))
    return TaskState::Assigned;
  if (IsIn<TaskState::Running>(aMachine))
    return TaskState::Running;
  if (IsIn<TaskState::Succeeded>(aMachine))
    return TaskState::Succeeded;
  if (IsIn<TaskState::Cancelled>(aMachine))
    return TaskState::Cancelled;
  if (IsIn<TaskState::DeadLetter>(aMachine))
    return TaskState::DeadLetter;
  if (IsIn<TaskState::Held>(aMachine))
    return TaskState::Held;
  return TaskState::Waiting;
}

template<TaskEvent Event>
void Send(TaskMachine& aMachine)
{
  aMachine.process_event(On<Event>());
}

using Sender = void (*)(TaskMachine&);
constexpr std::array<Sender, kTaskEvents> kSenders = {
  Send<E::Assign>, Send<E::Confirm>, Send<E::Requeue>, Send<E::Succeed>, Send<E::Withdraw>,
  Send<E::GiveUp>, Send<E::Hold>,    Send<E::Release>, Send<E::Cancel>
};

constexpr std::size_t kStates = static_cast<std::size_t>(TaskState::Held) + 1;
using Table = std::array<std::array<std::optional<TaskState>, kTaskEvents>, kStates>;

// Starts the machine and sends it the events of aPath.
void RunPath(TaskMachine& aMachine, std::initializer_list<TaskEvent> aPath)
{
  aMachine.start();
  for (const TaskEvent event : aPath)
    kSenders[static_cast<std::size_t>(event)](aMachine);
}

// Fills the row of the state that aPath leads to: tries each event on a fresh machine.
void FillRow(Table& aTable, std::initializer_list<TaskEvent> aPath)
{
  for (std::size_t i = 0; i < kTaskEvents; ++i) {
    TaskMachine machine;
    RunPath(machine, aPath);
    const auto from = static_cast<std::size_t>(ReadState(machine));
    kSenders[i](machine);
    if (!machine.mRefused)
      aTable[from][i] = ReadState(machine);
  }
}

// Copies all transitions of the state machine into a table once. A machine per task would take more
// memory than the task itself.
Table MakeTable()
{
  Table table{};
  FillRow(table, {});
  FillRow(table, { E::Assign });
  FillRow(table, { E::Assign, E::Confirm });
  FillRow(table, { E::Assign, E::Succeed });
  FillRow(table, { E::Assign, E::GiveUp });
  FillRow(table, { E::Hold });
  FillRow(table, { E::Cancel });
  return table;
}

}  // namespace

std::optional<TaskState> FindNextState(TaskState aState, TaskEvent aEvent) noexcept
{
  static const Table kTable = MakeTable();
  return kTable[static_cast<std::size_t>(aState)][static_cast<std::size_t>(aEvent)];
}

bool IsFinal(TaskState aState) noexcept
{
  return aState == TaskState::Succeeded || aState == TaskState::Cancelled ||
         aState == TaskState::DeadLetter;
}

}  // namespace monsoon
