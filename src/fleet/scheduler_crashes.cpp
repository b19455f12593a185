// Scheduler: workers that crash, and the tasks that may have caused it.
#include "fleet/scheduler_impl.h"

namespace monsoon::fleet {

std::string FormatUnproven(const Worker& aWorker)
{
  std::string text;
  for (const Run& it : aWorker.mRuns) {
    if (!IsUnproven(aWorker, it))
      continue;
    if (!text.empty())
      text += ',';
    text.append(it.mTask).append(":").append(std::to_string(it.mRun));
  }
  return text;
}

}  // namespace monsoon::fleet
