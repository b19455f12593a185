#include "app/signals.h"

#include <csignal>
#include <pthread.h>

namespace monsoon {

namespace {

sigset_t MakeStopSet()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void BlockStopSignals()
{
  const sigset_t set = MakeStopSet();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void WaitForStopSignal()
{
  const sigset_t set = MakeStopSet();
  int signal = 0;
  sigwait(&set, &signal);
}

}  // namespace monsoon
