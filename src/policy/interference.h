// Interference: learns how much tasks of one image raise the tail latency of serving tasks of
// another image on the same worker. Load pattern: tasks that use idle cores disturb serving tasks
// beside them, by amounts that differ by image and change within seconds. Each sample is rough, and
// a serving task's own load moves its tail as well.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace monsoon {

struct NeighborLoad  // what runs beside a serving task
{
  std::string_view mImage{};
  double mLoad = 0;  // cores in use, as a share of those that its tasks ask for
};

struct DecayingSums  // of samples, by age: recent ones count most
{
  double mWeight = 0;
  double mLoad = 0;
  double mTail = 0;
  double mLoadSquared = 0;
  double mLoadTail = 0;
  TimePoint mUpdatedAt{};
};

struct NeighborEffect
{
  DecayingSums mSums{};
  TimePoint mSeenAt{};  // when a task of this image last ran beside a serving task
};

struct ServingRecord  // of one image of serving tasks
{
  DecayingSums mOwn{};  // tail without what is due to neighbors
  std::map<std::string, NeighborEffect, std::less<>> mNeighbors{};
  TimePoint mSeenAt{};
};

struct InterferenceTable
{
  std::map<std::string, ServingRecord, std::less<>> mServing{};
};

// Records one report of a serving task. aTail: relative to its target. aBeside: all that ran beside
// it at a steady pace while the tail was measured.
void ObserveTail(InterferenceTable& aTable,
                 std::string_view aServing,
                 double aTail,
                 std::span<const NeighborLoad> aBeside,
                 TimePoint aNow);

// Returns how much a load of 1 raises the tail, relative to the target. Nothing is returned unless
// tails were seen with and without the neighbor, or at different loads, a few seconds ago at most.
[[nodiscard]] std::optional<double> EstimateRise(const InterferenceTable& aTable,
                                                 std::string_view aServing,
                                                 std::string_view aNeighbor,
                                                 TimePoint aNow);

// Returns the tail of such a task without its neighbors, relative to the target.
[[nodiscard]] std::optional<double> EstimateOwnTail(const InterferenceTable& aTable,
                                                    std::string_view aServing,
                                                    TimePoint aNow);

[[nodiscard]] std::size_t CountPairs(const InterferenceTable& aTable);

}  // namespace monsoon
