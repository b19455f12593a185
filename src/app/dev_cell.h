// A whole cell in one process: platform and worker stand-ins and several nodes, on loopback ports
// that it picks.
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

// Runs of an id that ran before; with aOnlyOverlaps only those that began while another went on.
[[nodiscard]] std::uint64_t CountDuplicateRuns(std::vector<RunInterval>& aRuns, bool aOnlyOverlaps);

struct DevCounts  // as the stand-ins saw it
{
  std::uint64_t mRequestsRun = 0;
  std::uint64_t mTasksStarted = 0;
  std::uint64_t mEvidence = 0;       // runs that could be checked for doubling
  std::uint64_t mDuplicateRuns = 0;  // a request or task that ran twice, on one worker or on two
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

  Result<void> Start();  // returns when every node is ready
  void Stop();           // nodes gracefully, then the stand-ins
  [[nodiscard]] std::vector<HttpAddress> ListAddresses() const;  // of the nodes
  [[nodiscard]] std::vector<std::string> Describe() const;       // a few lines for people
  [[nodiscard]] DevCounts ReadCounts() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

}  // namespace monsoon
