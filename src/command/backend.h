// What the executor of the operators' language asks of the node. The node implements it; tests
// mock it.
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
  ProcessName mOwner{};  // empty: none
  Resources mFree{};     // of owned and known workers
  bool mKnown = false;   // its owner has read its inventory
  bool mDrained = false;
  bool mQuarantined = false;
};

struct ProcessRow
{
  ProcessName mName{};
  ZoneName mZone{};
  bool mAlive = false;
  bool mLeaving = false;
  std::uint32_t mWorkers = 0;    // owned
  std::uint32_t mFreeSlots = 0;  // of these, as gossiped
};

struct JobExplanation
{
  JobStatus mStatus{};
  FitReply mFit{};                    // counts of workers per reason, summed over the owners
  Resources mLargest{};               // the largest worker of the wanted accelerator type
  std::vector<std::string> mHints{};  // further reasons, e.g. the team's quota
};

// CommandBackend
// aExpected: `if revision N`. For the configuration its revision, for a job its `revision` column;
// Conflict when it differs.
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
    } -> std::same_as<Async<Result<JobStatus>>>;  // AlreadyExists: another job has the id
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
    } -> std::same_as<Async<Result<Revision>>>;  // the new revision, once accepted
};

}  // namespace monsoon
