#include "standin/worker_evidence.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxLines = 200000;

}  // namespace

void EvidenceBook::Count(std::uint64_t WorkerEvidence::*aCounter)
{
  std::lock_guard lock(mLock);
  ++(mCounters.*aCounter);
}

WorkerEvidence EvidenceBook::GetCounters() const
{
  std::lock_guard lock(mLock);
  return mCounters;
}

std::size_t EvidenceBook::AddLine(EvidenceLine aLine)
{
  if (mLines.size() >= kMaxLines)
    return kMaxLines;
  mLines.push_back(std::move(aLine));
  return mLines.size() - 1;
}

void EvidenceBook::EndLine(std::size_t aIndex, std::int64_t aEndMs, std::string aEnd)
{
  if (aIndex >= mLines.size())
    return;
  mLines[aIndex].mEndMs = aEndMs;
  mLines[aIndex].mEnd = std::move(aEnd);
}

json::object EvidenceBook::MakeJson(const WorkerName& aWorker) const
{
  const WorkerEvidence counters = GetCounters();
  json::object object;
  object["worker"] = aWorker;
  object["requests_run"] = counters.mRequestsRun;
  object["tasks_started"] = counters.mTasksStarted;
  object["tasks_ended"] = counters.mTasksEnded;
  object["overcommits"] = counters.mOvercommits;
  object["doubled"] = counters.mDoubled;
  object["late_starts"] = counters.mLateStarts;
  object["low_epochs"] = counters.mLowEpochs;
  object["lapsed"] = counters.mLapsed;
  json::array lines;
  for (const EvidenceLine& line : mLines) {
    json::object it;
    it["what"] = line.mWhat;
    it["id"] = line.mId;
    it["attempt"] = line.mAttempt;
    it["epoch"] = line.mEpoch;
    it["start_ms"] = line.mStartMs;
    it["end_ms"] = line.mEndMs;
    it["end"] = line.mEnd;
    lines.push_back(std::move(it));
  }
  object["lines"] = std::move(lines);
  return object;
}

}  // namespace monsoon::standin
