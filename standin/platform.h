// Stand-in of the platform: key-value service with compare-and-swap, create-if-absent and watches,
// and the VM list. In memory, on one thread.
//
//   GET    /v1/kv/KEY                 {value, revision} or 404
//   PUT    /v1/kv/KEY?create=1        412 when it has a value
//   PUT    /v1/kv/KEY?revision=N      409 when the revision differs
//   DELETE /v1/kv/KEY?revision=N      409 when the revision differs; 0 deletes whatever is there
//   GET    /v1/list?prefix=&after=&limit=
//   GET    /v1/watch?prefix=&after=REVISION&wait_ms=
//   GET    /v1/vms, PUT /v1/vms/NAME, DELETE /v1/vms/NAME
//   GET    /v1/stats                  calls counted by kind
#pragma once

#include <memory>
#include <string>

#include "core/model.h"
#include "http/server.h"

namespace monsoon::standin {

class Platform
{
public:
  // Everything runs on aContext's one thread.
  explicit Platform(asio::io_context& aContext);
  ~Platform();

  Result<std::uint16_t> Listen(const std::string& aHost, std::uint16_t aPort);  // port 0 picks one
  void Stop();
  void AddVm(const WorkerSpec& aWorker);  // any thread

private:
  struct State;
  std::shared_ptr<State> mState;
};

}  // namespace monsoon::standin
