// One process's view of the cell: connects session lease, membership, ownership, configuration, VM
// list and planned stop. Satisfies OwnershipView, MembershipView and ConfigurationView.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "app/settings.h"
#include "controllers/configuration_table.h"
#include "controllers/drain.h"
#include "controllers/views.h"
#include "peer/link.h"
#include "platform/http_store.h"
#include "platform/store_guard.h"

namespace monsoon {

using CellStore = GuardedStore<HttpStore>;

struct ControlHooks  // called on the control plane's thread
{
  std::function<void()> mOnOwnershipChanged{};  // a shard or worker was gained or lost
  // The VM list was read, or the exclusions changed. aExcluded: workers that are leaving or
  // drained.
  std::function<void(const std::vector<WorkerSpec>& aWorkers,
                     const std::set<WorkerName>& aExcluded)>
    mOnFleetUpdate{};
  std::function<std::uint32_t()> mCountFreeSlots{};
};

class ControlPlane
{
public:
  // Everything runs on aContext's single thread; the views, Change and IsReady may be called from
  // any thread.
  ControlPlane(asio::io_context& aContext,
               const Settings& aSettings,
               CellStore& aStore,
               PeerLink& aLink);
  ~ControlPlane();

  void Start(ControlHooks aHooks);
  void OnHeartbeat(const Heartbeat& aHeartbeat);  // received by the peer link
  Result<PeerReply> OnFetch(const JournalFetch& aFetch);
  Result<PeerReply> OnPromiseRequest(const OutagePromiseRequest& aRequest);
  // Runs the planned stop until the session has ended. aCountInFlight counts the requests and calls
  // of this process; aOnDraining is called once, when draining begins.
  Async<StopReport> StopGracefully(std::function<std::size_t()> aCountInFlight,
                                   std::function<void()> aOnDraining);
  void Stop();  // ends the loops

  // Readiness
  [[nodiscard]] bool IsReady() const;                   // DescribeReadiness() is "ready"
  [[nodiscard]] const char* DescribeReadiness() const;  // "ready", or why not
  [[nodiscard]] StopState GetStopState() const;

  // OwnershipView
  [[nodiscard]] std::optional<OwnerOf> FindWorkerOwner(std::string_view aWorker) const;
  [[nodiscard]] std::optional<OwnerOf> FindShardOwner(ShardIndex aShard) const;
  [[nodiscard]] std::optional<Epoch> MayActOnWorker(std::string_view aWorker, TimePoint aNow) const;
  [[nodiscard]] std::optional<Epoch> MayActOnShard(ShardIndex aShard, TimePoint aNow) const;
  [[nodiscard]] std::vector<WorkerName> ListOwnedWorkers() const;
  [[nodiscard]] std::vector<ProcessName> ListOwners() const;

  // MembershipView
  [[nodiscard]] std::vector<MemberView> ListMembers() const;

  // ConfigurationView
  [[nodiscard]] std::shared_ptr<const Configuration> GetConfiguration() const;
  [[nodiscard]] bool IsConfirmed() const;
  // Returns the revision at which the entries took effect. Conflict: aExpected is not the current
  // revision.
  Async<Result<Revision>> Change(std::optional<Revision> aExpected,
                                 std::vector<ConfigurationEntry> aEntries);

  // Fleet
  [[nodiscard]] std::uint32_t CountFreeSlots() const;         // of this process's workers
  [[nodiscard]] std::vector<WorkerSpec> ListWorkers() const;  // from the last VM list
  [[nodiscard]] bool IsExcluded(const WorkerName& aWorker) const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon
