// The operators' language as a typed syntax tree, which the parser builds and the executor runs.
//
// Index
//   Jobs        create, change, cancel, declare, withdraw, explain
//   Show        tables with conditions, order and limit
//   Cell        drain, undrain, teams, settings
//   Command     any of them, with `if revision N`
//   Parsing
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon {

// Jobs
struct CreateJob  // submits a job once
{
  JobSpec mSpec{};
};

struct JobChange  // only members that are set change
{
  std::optional<std::uint32_t> mTasks{};  // replicas of a service
  std::optional<Priority> mPriority{};
  std::optional<std::uint32_t> mMaxAttempts{};
  std::optional<Duration> mExpectedRun{};
};

struct ChangeJob
{
  JobId mId{};
  JobChange mChange{};
};

struct CancelJob
{
  JobId mId{};
};

struct DeclareJob  // adds a job to the cell's configuration
{
  JobSpec mSpec{};
};

struct WithdrawJob  // removes a declared job from the cell's configuration
{
  JobId mId{};
};

struct ExplainJob  // tells why a job isn't running and what would make it fit
{
  JobId mId{};
};

// Show
enum class ShowTarget : std::uint8_t
{
  Workers,
  Jobs,
  Tasks,
  Processes,
  Teams,
  Config
};

enum class Comparison : std::uint8_t
{
  Equal,
  NotEqual,
  Less,
  LessOrEqual,
  Greater,
  GreaterOrEqual
};

using CommandValue = std::variant<std::int64_t, std::string>;

struct Condition
{
  std::string mColumn{};
  Comparison mComparison = Comparison::Equal;
  CommandValue mValue{};
};

struct OrderBy
{
  std::string mColumn{};
  bool mDescending = false;
};

struct Show
{
  ShowTarget mTarget = ShowTarget::Workers;
  std::vector<Condition> mWhere{};  // all conditions must hold
  std::optional<OrderBy> mOrder{};
  std::optional<std::uint32_t> mLimit{};
};

// Cell
struct DrainWorker
{
  WorkerName mWorker{};
  bool mDrained = true;  // false: undrain
};

struct SetTeam
{
  TeamQuota mQuota{};
};

struct SetSetting  // changes a setting of the whole cell
{
  std::string mName{};
  std::string mValue{};
};

// Command
using CommandBody = std::variant<CreateJob,
                                 ChangeJob,
                                 CancelJob,
                                 DeclareJob,
                                 WithdrawJob,
                                 ExplainJob,
                                 Show,
                                 DrainWorker,
                                 SetTeam,
                                 SetSetting>;

struct Command
{
  CommandBody mBody{};
  std::optional<Revision> mIfRevision{};  // fails with Conflict when the current revision differs
};

// Parsing
struct SyntaxError
{
  std::uint32_t mColumn = 0;  // byte position, from 1
  std::string mExpected{};    // what the grammar allows at this position
  std::string mFound{};       // the word at this position; empty at the end of the text
};

// Parses one command. Fails with BadInput, where mDetail is `column N: expected …, found …`.
[[nodiscard]] Result<Command> ParseCommand(std::string_view aText);
[[nodiscard]] std::variant<Command, SyntaxError> ParseCommandOrError(std::string_view aText);

// Formatting: parsing the text gives the same command again
[[nodiscard]] std::string FormatCommand(const DeclareJob& aCommand);
[[nodiscard]] std::string FormatCommand(const SetTeam& aCommand);
[[nodiscard]] std::string FormatCommand(const SetSetting& aCommand);
[[nodiscard]] std::string Quote(std::string_view aText);  // as a quoted string of the language
[[nodiscard]] const char* GetName(ShowTarget aTarget) noexcept;

}  // namespace monsoon
