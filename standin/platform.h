// Stand-in of the platform: key-value service with compare-and-swap, create-if-absent, leases and
// watches, and the VM list. In memory, on one thread. Values are any bytes: raw in a PUT's body,
// base64 in JSON answers. A request may name its purpose in the header "Purpose".
//
//   GET    /v1/kv/KEY                 {value, revision} or 404
//   PUT    /v1/kv/KEY?create=1        412 when it has a value; &lease=ID attaches it to a lease
//   PUT    /v1/kv/KEY?revision=N      409 when the revision differs; &lease=ID as above
//   DELETE /v1/kv/KEY?revision=N      409 when the revision differs; 0 deletes whatever is there
//   GET    /v1/list?prefix=&after=&limit=
//   GET    /v1/watch?prefix=&after=REVISION&wait_ms=    answers at once on a change; not of deletes
//   POST   /v1/leases?ttl_ms=         {lease}; PUT /v1/leases/ID keeps it, 404 when it has lapsed
//   GET    /v1/vms, PUT /v1/vms/NAME, DELETE /v1/vms/NAME
//   GET    /v1/stats                  calls by operation and purpose, peak calls per second
//   PUT    /v1/faults                 see platform_faults.h
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
