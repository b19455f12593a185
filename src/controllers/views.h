// Read-only interfaces between the controllers. Requests, jobs and commands are written against
// these concepts, so that tests can substitute mocks. Every call returns quickly: it locks at most
// one shard and never waits.
//
// Index
//   OwnershipView       who owns which worker and job shard
//   MembershipView      the processes of the cell
//   ConfigurationView   the operators' configuration
#pragma once

#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "core/model.h"

namespace monsoon {

// OwnershipView
struct OwnerOf
{
  ProcessName mProcess{};
  Epoch mEpoch = 0;
};

template<class T>
concept OwnershipView =
  requires(const T& aOwnership, std::string_view aWorker, ShardIndex aShard, TimePoint aNow)
{
  {
    aOwnership.FindWorkerOwner(aWorker)
    } -> std::same_as<std::optional<OwnerOf>>;  // as journaled
  {
    aOwnership.FindShardOwner(aShard)
    } -> std::same_as<std::optional<OwnerOf>>;  // as journaled
  // Returns the epoch while this process owns the worker or shard and its lease is still valid at
  // aNow with a safety margin; otherwise std::nullopt. Checked before every action on it.
  {
    aOwnership.MayActOnWorker(aWorker, aNow)
    } -> std::same_as<std::optional<Epoch>>;
  {
    aOwnership.MayActOnShard(aShard, aNow)
    } -> std::same_as<std::optional<Epoch>>;
  {
    aOwnership.ListOwnedWorkers()
    } -> std::same_as<std::vector<WorkerName>>;
  {
    aOwnership.ListOwners()
    } -> std::same_as<std::vector<ProcessName>>;  // processes that own at least one worker
};

// MembershipView
struct MemberView
{
  ProcessName mName{};
  ZoneName mZone{};
  bool mAlive = false;  // a heartbeat arrived within the suspicion timeout
  bool mLeaving = false;
  std::uint32_t mFreeSlots = 0;  // from its last heartbeat; only a hint
};

template<class T>
concept MembershipView = requires(const T& aMembership)
{
  {
    aMembership.ListMembers()
    } -> std::same_as<std::vector<MemberView>>;
};

// ConfigurationView
// The configuration that the operators' accepted changes have produced, at one revision.
struct Configuration
{
  Revision mRevision = 0;
  std::map<TeamName, TeamQuota> mTeams{};
  std::map<WorkerName, bool> mDrained{};           // workers that an operator has drained
  std::map<std::string, std::string> mSettings{};  // cell-wide settings by name, e.g. "routing"
  std::map<JobId, JobSpec> mDeclared{};            // jobs declared by the command `apply`
};

template<class T>
concept ConfigurationView = requires(const T& aConfiguration)
{
  {
    aConfiguration.GetConfiguration()
    } -> std::same_as<std::shared_ptr<const Configuration>>;
  {
    aConfiguration.IsConfirmed()
    } -> std::same_as<bool>;  // the journal's head was confirmed recently enough
};

}  // namespace monsoon
