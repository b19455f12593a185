// Open-loop load generator: arrivals don't wait for earlier answers, and waiting time is measured
// from the planned arrival.
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
  std::uint64_t mAnswered = 0;   // complete answers; services and watches whose tasks ran
  std::uint64_t mFailed = 0;     // the work ran and failed
  std::uint64_t mCancelled = 0;  // jobs cancelled by a wave
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mWrongAnswers = 0;                  // the answer doesn't echo the request's payload
  std::uint64_t mUnfinished = 0;                    // jobs that had not ended at the finish timeout
  std::map<std::string, std::uint64_t> mByClass{};  // answered, by class name
  HistogramSnapshot mWaiting{};                     // requests: latency less the run time
  HistogramSnapshot mUrgentWaiting{};               // of these, the urgent ones
  HistogramSnapshot mJobWaiting{};                  // jobs: until the end, less the run time
};

struct LoadProgress
{
  std::uint64_t mAsked = 0;
  std::uint64_t mDone = 0;
};

// Runs the load and blocks until all work has ended; jobs may take up to aFinishTimeout after the
// last arrival. aProgress, if any, is called about once a second.
[[nodiscard]] LoadReport RunLoad(const LoadOptions& aOptions,
                                 std::vector<HttpAddress> aTargets,
                                 Duration aFinishTimeout,
                                 const std::function<void(const LoadProgress&)>& aProgress);

[[nodiscard]] std::string FormatText(const LoadReport& aReport);
[[nodiscard]] std::string FormatJson(const LoadReport& aReport);
// Plots the share of work that waited longer against the waiting time; both axes are logarithmic.
[[nodiscard]] std::string FormatSvg(const LoadReport& aReport);

}  // namespace monsoon
