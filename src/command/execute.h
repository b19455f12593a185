// Runs commands of the operators' language on a backend.
#pragma once

#include "command/backend.h"
#include "command/rows.h"
#include "observe/log.h"

namespace monsoon {

inline constexpr std::uint32_t kMaxListedJobs = 100'000;

template<CommandBackend Backend>
class CommandExecutor
{
public:
  explicit CommandExecutor(Backend& aBackend)
    : mBackend(aBackend)
  {
  }

  // Parses and runs one command. A command that changes something returns one row with the new
  // revision.
  Async<Result<Table>> Run(std::string aText)
  {
    auto command = ParseCommand(aText);
    if (!command) {
      Log(LogPart::Command,
          LogLevel::Info,
          "rejected a command",
          { { "why", command.error().mDetail } });
      co_return command.error();
    }
    auto table = co_await Run(std::move(*command));
    const std::string outcome = table ? "done" : std::string(GetName(table.error().mKind));
    Log(LogPart::Command,
        LogLevel::Info,
        "ran a command",
        { { "command", aText }, { "outcome", outcome } });
    co_return table;
  }

  Async<Result<Table>> Run(Command aCommand)
  {
    const auto expected = aCommand.mIfRevision;
    if (auto* it = std::get_if<Show>(&aCommand.mBody))
      co_return co_await RunShow(std::move(*it));
    if (auto* it = std::get_if<ExplainJob>(&aCommand.mBody))
      co_return MakeRows(co_await mBackend.ExplainJob(it->mId));
    if (auto* it = std::get_if<CreateJob>(&aCommand.mBody))
      co_return MakeChangeResult(co_await mBackend.SubmitJob(it->mSpec, expected));
    if (auto* it = std::get_if<ChangeJob>(&aCommand.mBody))
      co_return MakeChangeResult(co_await mBackend.ChangeJob(it->mId, it->mChange, expected));
    if (auto* it = std::get_if<CancelJob>(&aCommand.mBody))
      co_return MakeChangeResult(co_await mBackend.CancelJob(it->mId, expected));
    co_return MakeChangeResult(
      co_await mBackend.ChangeConfiguration(MakeDeclarationChange(aCommand.mBody), expected));
  }

private:
  Async<Result<Table>> RunShow(Show aShow)
  {
    auto table = co_await ReadAll(aShow.mTarget);
    if (!table)
      co_return table;
    co_return SelectRows(std::move(*table), aShow);
  }

  Async<Result<Table>> ReadAll(ShowTarget aTarget)
  {
    switch (aTarget) {
      case ShowTarget::Workers:
        co_return MakeRows(co_await mBackend.ListWorkers());
      case ShowTarget::Jobs:
        co_return MakeRows(co_await mBackend.ListJobs(kMaxListedJobs));
      case ShowTarget::Tasks:
        co_return MakeTaskRows(co_await mBackend.ListJobs(kMaxListedJobs));
      case ShowTarget::Processes:
        co_return MakeRows(co_await mBackend.ListProcesses());
      case ShowTarget::Teams:
        co_return MakeTeamRows(*mBackend.GetConfiguration());
      case ShowTarget::Config:
        break;
    }
    co_return MakeConfigRows(*mBackend.GetConfiguration());
  }

  Backend& mBackend;
};

}  // namespace monsoon
