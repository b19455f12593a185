// Background load for integration tests, and judgement of what the workers recorded.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/cell.h"

namespace monsoon::testing {

struct RequestRecord  // what the caller was told about one request
{
  std::string mId{};
  int mStatus = 0;         // 0: the connection broke without an answer
  bool mWhole = false;     // 200 and the body is this request's own
  std::string mOutcome{};  // of a problem answer: not_run or unknown
  std::string mDetail{};   // of a problem answer, for people
};

struct RequestLoadOptions
{
  std::vector<std::uint16_t> mPorts{};  // taken in turn
  std::uint32_t mThreads = 8;
  std::uint32_t mRunMs = 20;
  bool mRepeatable = true;
  std::string mPrefix = "r";  // of the request ids
};

// Callers that post one request after another until stopped.
class RequestLoad
{
public:
  explicit RequestLoad(RequestLoadOptions aOptions);
  ~RequestLoad();

  std::vector<RequestRecord> Stop();  // waits for those in flight
  [[nodiscard]] std::uint64_t CountAnswered() const { return mAnswered; }

private:
  void Run(std::uint32_t aThread);

  RequestLoadOptions mOptions;
  std::atomic<bool> mStopping = false;
  std::atomic<std::uint64_t> mAnswered = 0;
  std::mutex mLock{};
  std::vector<RequestRecord> mRecords{};
  std::vector<std::thread> mThreads{};
};

// Judgement

struct Run  // one start in the workers' evidence
{
  std::string mWorker{};
  std::string mId{};
  std::uint32_t mAttempt = 0;
  std::int64_t mStartMs = 0;  // the stand-ins share one machine's clock
  std::int64_t mEndMs = 0;    // 0: still running
  std::string mEnd{};
};

using RunsById = std::map<std::string, std::vector<Run>>;

// aWhat: "request" or "task".
[[nodiscard]] RunsById CollectRuns(const std::vector<boost::json::value>& aEvidence,
                                   std::string_view aWhat);
[[nodiscard]] std::vector<std::string> FindOverlaps(
  const RunsById& aRuns);  // ids that ran in two places at once
[[nodiscard]] std::vector<std::string> FindRepeats(
  const RunsById& aRuns);  // ids that were started twice

}  // namespace monsoon::testing
