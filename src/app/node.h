// One process of the system: its threads, its server, its links, its controllers. Several may live
// in one program (`dev`), so nothing here is global.
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

  Result<void> Start();  // binds, then returns; work goes on in the node's own threads
  void Stop();           // graceful: finishes what is in flight, then joins the threads
  [[nodiscard]] std::uint16_t GetHttpPort() const noexcept;

private:
  struct State;
  std::unique_ptr<State> mState;
};

}  // namespace monsoon
