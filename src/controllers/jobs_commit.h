// One caller's entries on their way into a shard's journal.
#pragma once

#include <memory>

#include "controllers/job_entries.h"
#include "core/async.h"

namespace monsoon {

struct PendingCommit
{
  PendingCommit(const asio::any_io_executor& aExecutor, std::vector<JobEntry> aEntries)
    : mEntries(std::move(aEntries))
    , mDone(aExecutor, asio::steady_timer::time_point::max())
  {
  }
  std::vector<JobEntry> mEntries{};
  std::vector<Result<void>> mEffects{};  // per entry, once it stands: whether it took effect
  std::optional<Failure> mFailure{};     // the journal did not take them, or it is unknown
  bool mFinished = false;
  asio::steady_timer mDone;  // cancelled when finished
};

using CommitPtr = std::shared_ptr<PendingCommit>;

// Which failures of a start say for certain that the task does not run.
[[nodiscard]] bool IsCertainlyNotRun(FailureKind aKind) noexcept;
// Why a job found no room, for people.
[[nodiscard]] std::string DescribeNoCapacity(const FitReply& aReply);

}  // namespace monsoon
