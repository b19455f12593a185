// A whole cell in one process: stand-ins of the platform and the workers, and several nodes, on
// free loopback ports.
#pragma once

#include <memory>
#include <vector>

#include "app/node.h"
#include "http/client.h"

namespace monsoon {

struct RunInterval  // one run of a request or task on a worker
{
  std::string mId{};
  std::int64_t mStart = 0;  // ms
  std::int64_t mEnd = 0;    // ms; 0 while it runs
};

// Counts the runs whose id had run before; with aOnlyOverlaps only those that started before the
// previous run of the id ended. Sorts aRuns.
[[nodiscard]] std::uint64_t CountDuplicateRuns(std::vector<RunInterval>& aRuns, bool aOnlyOverlaps);

struct DevCounts  // from the records of the stand-ins
{
  std::uint64_t mRequestsRun = 0;
  std::uint64_t mTasksStarted = 0;
  std::uint64_t mEvidence = 0;       // runs that were checked for duplicates
  std::uint64_t mDuplicateRuns = 0;  // requests that ran again, tasks whose runs overlapped
  std::uint64_t mOvercommits = 0;    // starts beyond a worker's capacity
  std::uint64_t mStoreCalls = 0;
  std::uint64_t mCrossZoneBytes = 0;
  double mSlotsBusy = 0;  // share of all slot time between the first start and the last end
};

class DevCell
{
public:
  DevCell();
  ~DevCell();
  DevCell(const DevCell&) = delete;
  DevCell& operator=(const DevCell&) = delete;

  Result<void> Start();  // returns once every node is ready
  void Stop();           // stops the nodes gracefully, then the stand-ins
  [[nodiscard]] std::vector<HttpAddress> ListAddresses() const;  // of the nodes
  [[nodiscard]] std::vector<std::string> Describe() const;       // a few lines of text for the user
  [[nodiscard]] DevCounts ReadCounts() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

}  // namespace monsoon
