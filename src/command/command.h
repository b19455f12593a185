// The operators' language as a typed syntax tree: what the parser gives and the executor runs.
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
struct CreateJob  // submits it once
{
  JobSpec mSpec{};
};

struct JobChange  // only what is set changes
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

struct DeclareJob  // kept in the cell's configuration
{
  JobSpec mSpec{};
};

struct WithdrawJob  // takes a declared job out of the configuration
{
  JobId mId{};
};

struct ExplainJob  // why it isn't running, and what would make it fit
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
  std::vector<Condition> mWhere{};  // all must hold
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

struct SetSetting  // a cell-wide setting
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
  std::optional<Revision> mIfRevision{};  // Conflict unless the revision still is this one
};

// Parsing
struct SyntaxError
{
  std::uint32_t mColumn = 0;  // in bytes from 1
  std::string mExpected{};    // what would have been right there
  std::string mFound{};       // what stands there; empty at the end
};

// One command. BadInput: mDetail is `column N: expected …, found …`.
[[nodiscard]] Result<Command> ParseCommand(std::string_view aText);
[[nodiscard]] std::variant<Command, SyntaxError> ParseCommandOrError(std::string_view aText);

// Writing: parses back to the same
[[nodiscard]] std::string FormatCommand(const DeclareJob& aCommand);
[[nodiscard]] std::string FormatCommand(const SetTeam& aCommand);
[[nodiscard]] std::string FormatCommand(const SetSetting& aCommand);
[[nodiscard]] std::string Quote(std::string_view aText);  // as a string of the language
[[nodiscard]] const char* GetName(ShowTarget aTarget) noexcept;

}  // namespace monsoon
