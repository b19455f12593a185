// The work of one process as an owner: books and grants of its workers, supervision of their tasks,
// its job shards with their idempotency keys.
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
  // Everything runs on aContext's one thread.
  WorkPlane(asio::io_context& aContext,
            const Settings& aSettings,
            CellStore& aStore,
            PeerLink& aLink,
            HttpWorker& aWorkers,
            ControlPlane& aControl);
  ~WorkPlane();

  // Tasks that were placed by this process's job shards; called on aContext's thread.
  using PlacedHandler = std::function<
    void(const TaskShape& aShape, std::size_t aTasks, Duration aWaited, Duration aTook)>;

  void Start(PlacedHandler aOnPlaced);
  void Stop();
  void Drain();               // no new grants to others
  void OnOwnershipChanged();  // something was gained or lost
  void OnFleetUpdate(const std::vector<WorkerSpec>& aWorkers,
                     const std::set<WorkerName>& aExcluded);
  // A request of another process, or of this one. BadInput: not a request for an owner.
  Async<Result<PeerReply>> Handle(PeerRequest aRequest);

  // Any thread
  [[nodiscard]] std::uint32_t CountFreeSlots() const;
  [[nodiscard]] std::vector<WorkerView> ListViews() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon
