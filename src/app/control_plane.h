// Who is alive, who owns what, and what the operators have declared, as one process sees it:
// session lease, membership, ownership, configuration, the VM list and the planned stop, wired
// together. Satisfies OwnershipView, MembershipView and ConfigurationView.
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

struct ControlHooks  // called on the control thread
{
  std::function<void()> mOnOwnershipChanged{};  // something was gained or lost
  // The fleet or its exclusions changed; aExcluded are leaving or drained.
  std::function<void(const std::vector<WorkerSpec>& aWorkers,
                     const std::set<WorkerName>& aExcluded)>
    mOnFleetUpdate{};
  std::function<std::uint32_t()> mCountFreeSlots{};
};

class ControlPlane
{
public:
  // Everything runs on aContext's one thread; the views, Change and IsReady may be called from any.
  ControlPlane(asio::io_context& aContext,
               const Settings& aSettings,
               CellStore& aStore,
               PeerLink& aLink);
  ~ControlPlane();

  void Start(ControlHooks aHooks);
  void OnHeartbeat(const Heartbeat& aHeartbeat);  // from the link
  Result<PeerReply> OnFetch(const JournalFetch& aFetch);
  Result<PeerReply> OnPromiseRequest(const OutagePromiseRequest& aRequest);
  // Planned stop, up to the end of the session. aCountInFlight: requests and calls of this process.
  Async<StopReport> StopGracefully(std::function<std::size_t()> aCountInFlight,
                                   std::function<void()> aOnDraining);
  void Stop();  // ends the loops

  // Readiness
  [[nodiscard]] bool IsReady() const;                   // lease held, head confirmed, not stopping
  [[nodiscard]] const char* DescribeReadiness() const;  // why not, for people
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
  // The revision at which the entries came into force. Conflict: another revision is present.
  Async<Result<Revision>> Change(std::optional<Revision> aExpected,
                                 std::vector<ConfigurationEntry> aEntries);

  // Fleet
  [[nodiscard]] std::uint32_t CountFreeSlots() const;         // of the owned workers
  [[nodiscard]] std::vector<WorkerSpec> ListWorkers() const;  // as the VM list last showed it
  [[nodiscard]] bool IsExcluded(const WorkerName& aWorker) const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon
