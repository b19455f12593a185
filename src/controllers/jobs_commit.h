// PendingCommit holds the entries of one caller until a shard's journal has taken or refused them.
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
  std::vector<Result<void>> mEffects{};  // per entry, once committed: whether it took effect
  std::optional<Failure> mFailure{};     // set if the append failed or its outcome is unknown
  bool mFinished = false;
  asio::steady_timer mDone;  // never expires; cancelled when finished
};

using CommitPtr = std::shared_ptr<PendingCommit>;

// Returns whether this failure of a start proves that the task does not run.
[[nodiscard]] bool IsCertainlyNotRun(FailureKind aKind) noexcept;
// Returns a text that says why a job found no capacity.
[[nodiscard]] std::string DescribeNoCapacity(const FitReply& aReply);

}  // namespace monsoon
