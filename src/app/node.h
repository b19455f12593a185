// One process of the cell: its threads, HTTP server, peer link and controllers. `monsoonstage dev`
// runs several nodes in one program, so a node has no global state.
#pragma once

#include <memory>

#include "app/settings.h"
#include "core/errors.h"

namespace monsoon {

class Node
{
public:
  explicit Node(Settings aSettings);
  ~Node();

  Result<void> Start();  // binds the ports and starts the node's threads, then returns
  void Stop();           // finishes work in flight, hands over, then joins the threads
  [[nodiscard]] std::uint16_t GetHttpPort() const noexcept;

private:
  struct State;
  std::unique_ptr<State> mState;
};

}  // namespace monsoon
