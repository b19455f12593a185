#include "tests/integration/load.h"

#include <algorithm>

namespace monsoon::testing {

namespace json = boost::json;

RequestLoad::RequestLoad(RequestLoadOptions aOptions)
  : mOptions(std::move(aOptions))
{
  for (std::uint32_t i = 0; i < mOptions.mThreads; ++i)
    mThreads.emplace_back([this, i] { Run(i); });
}

RequestLoad::~RequestLoad()
{
  Stop();
}

std::vector<RequestRecord> RequestLoad::Stop()
{
  mStopping = true;
  for (std::thread& thread : mThreads)
    thread.join();
  mThreads.clear();
  return mRecords;
}

namespace {

RequestRecord MakeRecord(const std::string& aId, const std::string& aBody, const Answer& aAnswer)
{
  RequestRecord record{ aId, aAnswer.mStatus };
  boost::system::error_code ec;
  const json::value answer = json::parse(aAnswer.mBody, ec);
  if (ec || !answer.is_object())
    return record;
  const auto* echo = answer.get_object().if_contains("echo");
  record.mWhole =
    aAnswer.mStatus == 200 && echo && echo->is_string() && echo->get_string() == aBody;
  if (const auto* detail = answer.get_object().if_contains("detail"); detail && detail->is_string())
    record.mDetail = std::string(detail->get_string());
  if (const auto* outcome = answer.get_object().if_contains("outcome");
      outcome && outcome->is_string())
    record.mOutcome = std::string(outcome->get_string());
  return record;
}

}  // namespace

void RequestLoad::Run(std::uint32_t aThread)
{
  for (std::uint32_t i = 0; !mStopping; ++i) {
    const std::string id =
      mOptions.mPrefix + "-" + std::to_string(aThread) + "-" + std::to_string(i);
    const std::string body =
      "{\"run_ms\":" + std::to_string(mOptions.mRunMs) + ",\"id\":\"" + id + "\"}";
    Headers headers{ { "Request-Id", id }, { "Request-Timeout", "20s" } };
    if (!mOptions.mRepeatable) {
      headers["Repeatable"] = "no";
      headers["Idempotency-Key"] = id;
    }
    const std::uint16_t port = mOptions.mPorts[(aThread + i) % mOptions.mPorts.size()];
    const RequestRecord record = MakeRecord(id, body, Post(port, "/v1/requests", body, headers));
    if (record.mWhole)
      ++mAnswered;
    if (record.mStatus == 0)
      std::this_thread::sleep_for(milliseconds(10));
    std::lock_guard lock(mLock);
    mRecords.push_back(record);
  }
}

RunsById CollectRuns(const std::vector<json::value>& aEvidence, std::string_view aWhat)
{
  RunsById runs;
  for (const json::value& worker : aEvidence) {
    for (const json::value& line : worker.at("lines").as_array()) {
      if (line.at("what").as_string() != aWhat)
        continue;
      Run run;
      run.mWorker = std::string(worker.at("worker").as_string());
      run.mId = std::string(line.at("id").as_string());
      run.mAttempt = line.at("attempt").to_number<std::uint32_t>();
      run.mStartMs = line.at("start_ms").to_number<std::int64_t>();
      run.mEndMs = line.at("end_ms").to_number<std::int64_t>();
      run.mEnd = std::string(line.at("end").as_string());
      runs[run.mId].push_back(std::move(run));
    }
  }
  return runs;
}

std::vector<std::string> FindOverlaps(const RunsById& aRuns)
{
  std::vector<std::string> found;
  for (auto [id, runs] : aRuns) {
    std::sort(runs.begin(), runs.end(), [](const Run& aLeft, const Run& aRight) {
      return aLeft.mStartMs < aRight.mStartMs;
    });
    for (std::size_t i = 1; i < runs.size(); ++i)
      if (runs[i - 1].mEndMs == 0 || runs[i].mStartMs < runs[i - 1].mEndMs) {
        found.push_back(id);
        break;
      }
  }
  return found;
}

std::vector<std::string> FindRepeats(const RunsById& aRuns)
{
  std::vector<std::string> found;
  for (const auto& [id, runs] : aRuns)
    if (runs.size() > 1)
      found.push_back(id);
  return found;
}

}  // namespace monsoon::testing
