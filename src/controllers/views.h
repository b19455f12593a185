// What one controller may ask of another. Requests, jobs and commands are written against these
// concepts, so that tests can put mocks in their place. All calls are quick, lock a shard at most,
// and never wait.
#pragma once

#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "core/model.h"

namespace monsoon {

struct OwnerOf
{
  ProcessName mProcess{};
  Epoch mEpoch = 0;
};

// OwnershipView
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
  // Epoch while this process owns it AND its lease has margin at aNow; else nothing. Check before
  // each act.
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
    } -> std::same_as<std::vector<ProcessName>>;  // that own any worker
};

// MembershipView
struct MemberView
{
  ProcessName mName{};
  ZoneName mZone{};
  bool mAlive = false;  // heard of within the suspicion bound
  bool mLeaving = false;
  std::uint32_t mFreeSlots = 0;  // as gossiped; a hint
};

template<class T>
concept MembershipView = requires(const T& aMembership)
{
  {
    aMembership.ListMembers()
    } -> std::same_as<std::vector<MemberView>>;
};

// ConfigurationView: the accepted declarations, as of one revision
struct Configuration
{
  Revision mRevision = 0;
  std::map<TeamName, TeamQuota> mTeams{};
  std::map<WorkerName, bool> mDrained{};           // workers an operator has drained
  std::map<std::string, std::string> mSettings{};  // cell-wide settings by name, e.g. "routing"
  std::map<JobId, JobSpec> mDeclared{};            // jobs kept by `apply`
};

template<class T>
concept ConfigurationView = requires(const T& aConfiguration)
{
  {
    aConfiguration.GetConfiguration()
    } -> std::same_as<std::shared_ptr<const Configuration>>;
  {
    aConfiguration.IsConfirmed()
    } -> std::same_as<bool>;  // the head was confirmed within the bound
};

}  // namespace monsoon
