// Evidence of the stand-in endpoint: a line for each start with its end, and counters of what must
// never happen.
#pragma once

#include <boost/json.hpp>

#include <mutex>
#include <string>
#include <vector>

#include "standin/worker.h"

namespace monsoon::standin {

struct EvidenceLine
{
  std::string mWhat{};  // "request" or "task"
  std::string mId{};    // request id, or job/index
  std::uint32_t mAttempt = 0;
  Epoch mEpoch = 0;
  std::int64_t mStartMs = 0;
  std::int64_t mEndMs = 0;  // 0 while running
  std::string mEnd{};
};

class EvidenceBook
{
public:
  void Count(std::uint64_t WorkerEvidence::*aCounter);  // any thread
  [[nodiscard]] WorkerEvidence GetCounters() const;     // any thread
  std::size_t AddLine(EvidenceLine aLine);              // its index
  void EndLine(std::size_t aIndex, std::int64_t aEndMs, std::string aEnd);
  [[nodiscard]] boost::json::object MakeJson(const WorkerName& aWorker) const;

private:
  mutable std::mutex mLock{};
  WorkerEvidence mCounters{};
  std::vector<EvidenceLine> mLines{};
};

}  // namespace monsoon::standin
