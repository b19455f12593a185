// Blocks SIGTERM and SIGINT, and waits for them.
#pragma once

namespace monsoon {

// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts later. Call it before
// any thread is started.
void BlockStopSignals();

// Waits for SIGTERM or SIGINT. Later ones stay blocked, so that a second SIGTERM doesn't cut a
// graceful stop short.
void WaitForStopSignal();

}  // namespace monsoon
