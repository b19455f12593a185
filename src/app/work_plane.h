// What one process does as an owner: it tracks and grants the capacity of its workers, supervises
// their tasks, and runs its job shards and their idempotency keys.
#pragma once

#include <memory>
#include <set>

#include "app/control_plane.h"
#include "policy/worker_view.h"
#include "worker/http_worker.h"

namespace monsoon {

class WorkPlane
{
public:
  // Everything runs on aContext's single thread, except as noted below.
  WorkPlane(asio::io_context& aContext,
            const Settings& aSettings,
            CellStore& aStore,
            PeerLink& aLink,
            HttpWorker& aWorkers,
            ControlPlane& aControl);
  ~WorkPlane();

  // Reports tasks that this process's job shards have placed; called on aContext's thread.
  using PlacedHandler = std::function<
    void(const TaskShape& aShape, std::size_t aTasks, Duration aWaited, Duration aTook)>;

  void Start(PlacedHandler aOnPlaced);
  void Stop();
  void Drain();               // refuses new grants, fails the waiting ones
  void OnOwnershipChanged();  // a shard or worker was gained or lost
  void OnFleetUpdate(const std::vector<WorkerSpec>& aWorkers,
                     const std::set<WorkerName>& aExcluded);
  // Handles a request from another process, or from this one. BadInput: owners don't handle this
  // type of request.
  Async<Result<PeerReply>> Handle(PeerRequest aRequest);

  // Any thread
  [[nodiscard]] std::uint32_t CountFreeSlots() const;
  [[nodiscard]] std::vector<WorkerView> ListViews() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon
