// Stand-in endpoint: runs requests in slots and tasks under leases, on timers, and judges its
// callers. It keeps evidence of every start and end, and counts what must never happen; it refuses
// only what a real endpoint refuses (late starts, lower epochs).
//
// Bodies and payloads may be JSON, see standin/worker_behaviour.h; anything else runs 50 ms.
//
//   POST /v1/run, /v1/tasks/start, /v1/tasks/stop, /v1/renew    as an endpoint
//   GET  /v1/evidence                                           what ran, and what never may
//   PUT  /v1/behaviour                                          for everything from now on; {}
//   resets
#pragma once

#include <memory>
#include <string>

#include "core/model.h"
#include "http/server.h"

namespace monsoon::standin {

struct WorkerEvidence
{
  std::uint64_t mRequestsRun = 0;
  std::uint64_t mTasksStarted = 0;
  std::uint64_t mTasksEnded = 0;
  std::uint64_t mOvercommits = 0;  // starts beyond the capacity
  std::uint64_t mDoubled = 0;      // a request id or task attempt started twice here
  std::uint64_t mLateStarts = 0;   // refused: after the start deadline
  std::uint64_t mLowEpochs = 0;    // refused: epoch below the highest seen
  std::uint64_t mLapsed = 0;       // tasks stopped because their lease lapsed
};

class Worker
{
public:
  // Everything runs on aContext's one thread.
  Worker(asio::io_context& aContext, WorkerSpec aSpec);
  ~Worker();

  Result<std::uint16_t> Listen();  // on the spec's host and port; 0 picks one
  void Stop();
  [[nodiscard]] WorkerSpec GetSpec() const;
  [[nodiscard]] WorkerEvidence GetEvidence() const;  // any thread

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon::standin
