// Refusal of jobs that can't be done in time, before they are stored. Answers this load: a team
// sends more than its limit lets through. Its jobs wait behind each other until none is of use, and
// no caller learns it; those who are told at once return when there is room.
//
// Only what is sure to be in vain is refused, by the estimate that favours the job most. Performs
// no I/O and reads no clock.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace monsoon {

struct CapacityLimit  // 0: unlimited
{
  std::uint64_t mMilliCores = 0;
  std::uint64_t mMemoryMiB = 0;
  std::uint64_t mAccelerators = 0;
};

// Upper ends of the ranges, of the time to a waiting job's due time, that its work is counted in.
inline constexpr std::array<std::int64_t, 8> kDueRangesMs{ 500,  1000,   2000,   4000,
                                                           8000, 16'000, 32'000, 64'000 };

struct TeamBacklog  // work that waits for capacity, of jobs that aren't late yet
{
  std::string mPool{};
  std::string mTeam{};
  std::uint32_t mPriority = 0;                             // of the queue; 0 is the most urgent
  std::array<std::uint64_t, kDueRangesMs.size()> mWork{};  // milli-cores x seconds, by due time
};

struct PoolCapacity
{
  std::string mPool{};
  std::uint64_t mMilliCores = 0;  // of all workers
  CapacityLimit mLargest{};       // of any worker, by resource
};

struct LoadSummary  // what the scheduler publishes
{
  std::vector<PoolCapacity> mPools{};
  std::vector<TeamBacklog> mBacklogs{};  // only those that may matter
};

struct JobDemand
{
  std::string_view mPool{};
  std::string_view mTeam{};
  std::uint32_t mPriority = 0;
  Duration mTarget{};                // from acceptance to the due time
  CapacityLimit mLargestTask{};      // by resource
  CapacityLimit mLargestTogether{};  // of tasks that only run together, by resource
};

enum class RefusalReason : std::uint8_t
{
  None,       // accepted
  TooLarge,   // no worker can hold a task
  OverLimit,  // a task, or a gang, takes more than its team may have
  Backlog     // the team's own waiting work takes too long
};

struct RefusalDecision
{
  RefusalReason mReason = RefusalReason::None;
  Duration mWait{};               // least time until the job's turn, if mReason is Backlog
  std::uint32_t mRetryAfter = 0;  // s
};

[[nodiscard]] std::string_view GetReasonName(RefusalReason aReason) noexcept;

// Returns the least time until all work in aBacklogs that goes before the job has had capacity: its
// estimates are halved, and the team has all that its limit and the pool allow.
[[nodiscard]] Duration EstimateLeastWait(const JobDemand& aJob,
                                         const CapacityLimit& aLimit,
                                         const LoadSummary& aLoad);

// aAge: of aLoad; a decision by old figures could refuse what there is room for again. aDraw:
// uniform in [0, 1).
[[nodiscard]] RefusalDecision DecideRefusal(const JobDemand& aJob,
                                            const CapacityLimit& aLimit,
                                            const LoadSummary& aLoad,
                                            Duration aAge,
                                            double aDraw);

}  // namespace monsoon
