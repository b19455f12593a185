// Open-loop load: arrivals don't wait for answers, and waiting time counts from the intended
// arrival.
#pragma once

#include <functional>
#include <memory>

#include "app/load_plan.h"
#include "http/client.h"
#include "observe/metrics.h"

namespace monsoon {

struct LoadReport
{
  std::string mProfile{};
  std::uint64_t mSeed = 0;
  double mSeconds = 0;
  std::uint64_t mAsked = 0;
  std::uint64_t mAnswered = 0;   // a whole answer; of a service or watch: it ran
  std::uint64_t mFailed = 0;     // the work ran and failed
  std::uint64_t mCancelled = 0;  // by a wave
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mWrong = 0;                         // the answer of another request, or not whole
  std::uint64_t mUnfinished = 0;                    // jobs without an end when the run was given up
  std::map<std::string, std::uint64_t> mByClass{};  // answered
  HistogramSnapshot mWaiting{};                     // requests: latency less the run time
  HistogramSnapshot mUrgentWaiting{};               // of these, the urgent ones
  HistogramSnapshot mJobWaiting{};                  // jobs: until the end, less the run time
};

struct LoadProgress
{
  std::uint64_t mAsked = 0;
  std::uint64_t mDone = 0;
};

// Blocks until every answer is there; jobs may take up to aPatience after the last arrival.
// aProgress, if any, is called about once a second.
[[nodiscard]] LoadReport RunLoad(const LoadOptions& aOptions,
                                 std::vector<HttpAddress> aTargets,
                                 Duration aPatience,
                                 const std::function<void(const LoadProgress&)>& aProgress);

[[nodiscard]] std::string FormatText(const LoadReport& aReport);
[[nodiscard]] std::string FormatJson(const LoadReport& aReport);
// Share of requests that waited longer, over waiting time; both axes logarithmic.
[[nodiscard]] std::string FormatSvg(const LoadReport& aReport);

}  // namespace monsoon
