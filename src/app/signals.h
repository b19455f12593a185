// SIGTERM and SIGINT as a wait.
#pragma once

namespace monsoon {

// Blocks SIGTERM and SIGINT in this thread and all it starts later. Call before any thread is
// started.
void BlockStopSignals();

// Waits for one of them. Later ones stay blocked, so that a second SIGTERM doesn't hurry a graceful
// stop.
void WaitForStopSignal();

}  // namespace monsoon
