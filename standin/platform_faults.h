// Faults of the stand-in platform, steered while it runs, and its count of calls. Decisions come
// from a seed; time is passed in.
//
// PUT /v1/faults takes this form and replaces all faults; what is absent is off, {} clears all.
// Each fault may have "for_ms", after which it ends by itself.
//   {"seed": 1,
//    "down":         {"mode": "refuse" | "hang"},         503 to each call, or no answer at all
//    "slow":         {"min_ms": 5, "mean_ms": 50},        least delay plus an exponential one
//    "lose_answers": {"probability": 0.1},                a write takes effect, then the connection
//                                                         is closed without an answer
//    "rate_limit":   {"writes_per_s": 300, "reads_per_s": 2000, "status": 429},
//    "watches":      {"drop": 0.1, "replay": 0.1},        per change; per watch
//    "vms":          {"lag_ms": 2000},                    the list shows what stood so long ago
//    "lapse_leases": true}                                once, now
#pragma once

#include <boost/json.hpp>

#include <map>
#include <random>
#include <string>

#include "core/errors.h"
#include "core/time.h"

namespace monsoon::standin {

// Faults
enum class DownMode : std::uint8_t
{
  Up,
  Refuse,
  Hang,
};

struct FaultPeriod  // when a fault is on
{
  bool mOn = false;
  TimePoint mUntil = TimePoint::max();
  [[nodiscard]] bool IsOn(TimePoint aNow) const noexcept { return mOn && aNow < mUntil; }
};

struct FaultSettings
{
  std::uint64_t mSeed = 1;
  FaultPeriod mDown{};
  DownMode mDownMode = DownMode::Refuse;
  FaultPeriod mSlow{};
  Duration mLeastDelay{};
  Duration mMeanDelay{};  // of the exponential part
  FaultPeriod mLose{};
  double mLoseProbability = 0;
  FaultPeriod mLimit{};
  std::uint64_t mWritesPerSecond = 0;  // 0: no limit
  std::uint64_t mReadsPerSecond = 0;   // 0: no limit
  unsigned mLimitStatus = 429;
  FaultPeriod mWatches{};
  double mDropProbability = 0;
  double mReplayProbability = 0;
  FaultPeriod mVms{};
  Duration mVmLag{};
  bool mLapseLeases = false;
};

// BadInput: a probability outside 0 to 1, an unknown mode, a delay above an hour.
[[nodiscard]] Result<FaultSettings> ParseFaults(const boost::json::value& aValue, TimePoint aNow);

class PlatformFaults
{
public:
  void Set(const FaultSettings& aSettings);

  [[nodiscard]] DownMode GetDownMode(TimePoint aNow) const noexcept;
  [[nodiscard]] Duration PickDelay(TimePoint aNow);
  [[nodiscard]] bool PickLostAnswer(TimePoint aNow);  // for a write that has taken effect
  [[nodiscard]] bool PickDroppedChange(TimePoint aNow);
  [[nodiscard]] bool PickReplay(TimePoint aNow);
  [[nodiscard]] Duration GetVmLag(TimePoint aNow) const noexcept;
  // The status to refuse with, or 0, for the aCount-th such call of the running second.
  [[nodiscard]] unsigned GetLimitStatus(bool aWrite, std::uint64_t aCount, TimePoint aNow) const;

private:
  bool Happens(double aProbability);

  FaultSettings mSettings{};
  std::mt19937_64 mRandom{ 1 };
};

// Stats
class PlatformStats
{
public:
  // Counts a call and returns how many of its kind came within the running second, this included.
  std::uint64_t Count(const std::string& aOperation,
                      const std::string& aPurpose,
                      bool aWrite,
                      TimePoint aNow);
  [[nodiscard]] boost::json::object MakeJson() const;

private:
  struct Rate
  {
    std::int64_t mSecond = 0;
    std::uint64_t mCount = 0;
    std::uint64_t mPeak = 0;  // calls within one second
    std::uint64_t Add(std::int64_t aSecond);
  };

  std::map<std::string, std::uint64_t> mOperations{};
  std::map<std::string, std::uint64_t> mPurposes{};
  Rate mReads{};
  Rate mWrites{};
};

}  // namespace monsoon::standin
