// The interface that commands of the operators' language run on. The node implements it; tests use
// a fake.
//
// Index
//   Changes of the cell's configuration
//   Rows
//   CommandBackend
#pragma once

#include <concepts>
#include <memory>

#include "command/command.h"
#include "controllers/views.h"
#include "core/async.h"
#include "peer/messages.h"

namespace monsoon {

// Changes of the cell's configuration
struct PutTeam
{
  TeamQuota mQuota{};
};

struct PutDrained
{
  WorkerName mWorker{};
  bool mDrained = true;
};

struct PutSetting
{
  std::string mName{};
  std::string mValue{};
};

struct PutDeclaredJob
{
  JobSpec mSpec{};
};

struct DropDeclaredJob
{
  JobId mId{};
};

using DeclarationChange =
  std::variant<PutTeam, PutDrained, PutSetting, PutDeclaredJob, DropDeclaredJob>;

// Rows
struct WorkerRow
{
  WorkerSpec mSpec{};
  ProcessName mOwner{};  // empty: the worker has no owner
  Resources mFree{};     // free capacity; only set when owned and known
  bool mKnown = false;   // the owner has read the worker's inventory
  bool mDrained = false;
  bool mQuarantined = false;
};

struct ProcessRow
{
  ProcessName mName{};
  ZoneName mZone{};
  bool mAlive = false;
  bool mLeaving = false;
  std::uint32_t mWorkers = 0;    // number of workers that it owns
  std::uint32_t mFreeSlots = 0;  // free slots of these workers, as of the last gossip
};

struct JobExplanation
{
  JobStatus mStatus{};
  FitReply mFit{};                    // numbers of workers per reason, summed over all owners
  Resources mLargest{};               // the largest worker of the required accelerator type
  std::vector<std::string> mHints{};  // further reasons, e.g. the team's quota
};

// CommandBackend
// aExpected is the N of `if revision N`: the revision of the configuration, or for a job the value
// of its `revision` column. Calls fail with Conflict when the current revision differs.
template<class T>
concept CommandBackend = requires(T& aBackend,
                                  JobSpec aSpec,
                                  JobId aId,
                                  JobChange aChange,
                                  DeclarationChange aConfigurationChange,
                                  std::optional<Revision> aExpected,
                                  std::uint32_t aLimit)
{
  {
    aBackend.SubmitJob(aSpec, aExpected)
    } -> std::same_as<Async<Result<JobStatus>>>;  // AlreadyExists: the id is taken by another job
  {
    aBackend.ChangeJob(aId, aChange, aExpected)
    } -> std::same_as<Async<Result<JobStatus>>>;
  {
    aBackend.CancelJob(aId, aExpected)
    } -> std::same_as<Async<Result<JobStatus>>>;
  {
    aBackend.FindJob(aId)
    } -> std::same_as<Async<Result<JobStatus>>>;
  {
    aBackend.ListJobs(aLimit)
    } -> std::same_as<Async<Result<std::vector<JobStatus>>>>;
  {
    aBackend.ExplainJob(aId)
    } -> std::same_as<Async<Result<JobExplanation>>>;
  {
    aBackend.ListWorkers()
    } -> std::same_as<Async<Result<std::vector<WorkerRow>>>>;
  {
    aBackend.ListProcesses()
    } -> std::same_as<Async<Result<std::vector<ProcessRow>>>>;
  {
    aBackend.GetConfiguration()
    } -> std::same_as<std::shared_ptr<const Configuration>>;
  {
    aBackend.ChangeConfiguration(aConfigurationChange, aExpected)
    } -> std::same_as<Async<Result<Revision>>>;  // returns the new revision once accepted
};

}  // namespace monsoon
