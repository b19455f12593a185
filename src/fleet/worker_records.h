// Which records of workers a holder stores. A later holder learns from them which workers may run
// tasks, also when their directory entries have expired.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/peer_messages.h"
#include "fleet/scheduler.h"

namespace monsoon::fleet {

struct RecordPlan  // one transaction
{
  // Worker → revision of the record that is replaced or deleted; 0: it has none.
  std::vector<std::pair<std::string, std::uint64_t>> mConditions{};
  std::map<std::string, WorkerRecord> mWrites{};  // by worker
  std::vector<std::string> mDeletes{};            // workers

  [[nodiscard]] bool IsEmpty() const { return mWrites.empty() && mDeletes.empty(); }
};

class WorkerRecords
{
public:
  // Sets the revision of a stored record.
  void SetRevision(const std::string& aWorker, std::uint64_t aRevision);
  // Plans at most aMaxEntries conditions, writes and deletes.
  [[nodiscard]] RecordPlan Plan(const Scheduler& aScheduler, std::size_t aMaxEntries) const;
  // Applies a plan that was committed with this revision of the store.
  void OnCommitted(const RecordPlan& aPlan, std::uint64_t aRevision, Scheduler& aScheduler);
  // Corrects the revisions after a condition failed: an earlier write of this process was applied,
  // but its answer was lost. aCurrent: the revisions of the plan's records that exist.
  void OnConflict(const RecordPlan& aPlan, const std::map<std::string, std::uint64_t>& aCurrent);

private:
  std::map<std::string, std::uint64_t> mRevisions{};  // of the workers that have a record
};

}  // namespace monsoon::fleet
