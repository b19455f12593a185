// The platform's stand-in: its start, its policy service and what it tells tests.
#include <algorithm>

#include "core/json.h"
#include "standin/fleet_impl.h"

namespace monsoon::standin {

namespace json = boost::json;

FleetStandin::FleetStandin(asio::io_context& aContext, FleetStandinOptions aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mTeams(aOptions.mTeams)
{
}

FleetStandin::~FleetStandin() = default;

Result<void> FleetStandin::Start()
{
  const std::vector<asio::io_context*> contexts{ &mContext };
  HttpLimits limits;
  limits.mMaxBodyBytes = 8 * 1024 * 1024;
  mStore = std::make_unique<HttpServer>(
    limits, [this](HttpRequest aRequest, std::string) { return HandleStore(std::move(aRequest)); });
  mAdvice = std::make_unique<HttpServer>(limits, [this](HttpRequest aRequest, std::string) {
    return HandleAdvice(std::move(aRequest));
  });
  auto store = mStore->Listen("127.0.0.1", 0, contexts);
  auto advice = mAdvice->Listen("127.0.0.1", 0, contexts);
  if (!store)
    return store.error();
  if (!advice)
    return advice.error();
  mStorePort = *store;
  mAdvicePort = *advice;
  for (std::uint32_t n = 0; n < mOptions.mWorkers; ++n) {
    auto worker = std::make_unique<WorkerState>();
    auto listening = ListenAs(n, *worker);
    if (!listening)
      return listening;
    worker->mId = "w" + std::to_string(n) + "-0";
    worker->mBornMs = ReadWallMillis();
    worker->mMilliCores = mOptions.mMilliCores;
    mWorkers.push_back(std::move(worker));
    Announce(n);
  }
  WriteConfig();
  asio::co_spawn(mContext, RunClock(), asio::detached);
  return {};
}

// Returns a queue whose name is new in each version.
json::object FleetStandin::MakeQueue(std::string aName, std::string aPrefix) const
{
  return { { "name", std::move(aName) + std::to_string(mConfigVersion) },
           { "host", "127.0.0.1" },
           { "prefix", std::move(aPrefix) },
           { "service", "pool" },
           { "max_attempts", 50 },
           { "stretch", 2 },
           { "target_latency_ms", 500 },
           { "advice",
             json::object{ { "decide_ms", 20 }, { "each_ms", 0.1 }, { "valid_ms", 2000 } } } };
}

// Writes the next version of the configuration.
void FleetStandin::WriteConfig()
{
  ++mConfigVersion;
  json::array queues{ MakeQueue("q", "/q/") };
  json::object config{ { "version", mConfigVersion },
                       { "services", json::array{ json::object{ { "name", "pool" } } } } };
  if (!mTeams.empty()) {
    queues.push_back(MakeQueue("open", "/open/"));
    queues.back().as_object()["anonymous"] = true;
    json::array teams;
    for (const StandinTeam& it : mTeams)
      teams.push_back(json::object{ { "name", it.mName },
                                    { "api_keys", json::value_from(it.mKeys) },
                                    { "weight", 1 },
                                    { "max_count", json::object{ { "cpu", it.mMilliCores } } } });
    config["tenants"] = teams;
  }
  for (std::size_t n = 0; n < mAddedQueues; ++n) {
    const std::string number = std::to_string(n);
    queues.push_back(MakeQueue("new-" + number + "-", "/new-" + number + "/"));
  }
  config["routes"] = queues;
  PutText("op/config", json::serialize(config));
}

std::size_t FleetStandin::AddQueues(std::size_t aCount)
{
  const std::lock_guard lock(mLock);
  mAddedQueues += aCount;
  WriteConfig();
  return mItems["op/config"].mValue.size() / 4 * 3;
}

void FleetStandin::ReplaceQueue()
{
  const std::lock_guard lock(mLock);
  WriteConfig();
}

void FleetStandin::SetTeams(std::vector<StandinTeam> aTeams)
{
  const std::lock_guard lock(mLock);
  const TimePoint until = BootClock::now() + mOptions.mLimitNotice;
  for (const StandinTeam& it : mTeams)
    mFormerLimits.emplace(it.mName, std::pair(until, it.mMilliCores));
  mTeams = std::move(aTeams);
  WriteConfig();
}

void FleetStandin::Complain(std::string aWhat)
{
  if (mViolations.size() < 50)
    mViolations.push_back(std::move(aWhat));
}

bool FleetStandin::Happens(double aShare)
{
  const std::lock_guard lock(mLock);
  return aShare > 0 && std::uniform_real_distribution<>(0, 1)(mRandom) < aShare;
}

std::vector<std::string> FleetStandin::ReadViolations() const
{
  const std::lock_guard lock(mLock);
  return mViolations;
}

std::uint64_t FleetStandin::CountEnds(const std::string& aJob) const
{
  const std::lock_guard lock(mLock);
  return static_cast<std::uint64_t>(std::count_if(
    mDone.begin(), mDone.end(), [&](const std::string& aItem) { return GetJob(aItem) == aJob; }));
}

bool FleetStandin::IsRunning(const std::string& aJob) const
{
  const std::lock_guard lock(mLock);
  return std::any_of(mWorkers.begin(), mWorkers.end(), [&aJob](const auto& aWorker) {
    return aWorker->mUp &&
           std::any_of(aWorker->mRunning.begin(),
                       aWorker->mRunning.end(),
                       [&aJob](const Running& aItem) { return GetJob(aItem.mTask) == aJob; });
  });
}

std::uint64_t FleetStandin::CountListedEnds() const
{
  const std::lock_guard lock(mLock);
  std::uint64_t n = mAcknowledgedAfter.size();
  for (const auto& worker : mWorkers)
    n += static_cast<std::uint64_t>(
      std::count_if(worker->mEnded.begin(), worker->mEnded.end(), [](const Ended& aItem) {
        return aItem.mListedAt != TimePoint{};
      }));
  return n;
}

std::uint64_t FleetStandin::CountLateEnds(Duration aTime) const
{
  const std::lock_guard lock(mLock);
  const TimePoint now = BootClock::now();
  auto n = std::count_if(mAcknowledgedAfter.begin(),
                         mAcknowledgedAfter.end(),
                         [aTime](Duration aItem) { return aItem > aTime; });
  for (const auto& worker : mWorkers)
    n += std::count_if(worker->mEnded.begin(), worker->mEnded.end(), [&](const Ended& aItem) {
      return aItem.mListedAt != TimePoint{} && now - aItem.mListedAt > aTime;
    });
  return static_cast<std::uint64_t>(n);
}

std::uint64_t FleetStandin::CountCrashes(const std::string& aJob) const
{
  const std::lock_guard lock(mLock);
  std::uint64_t most = 0;
  for (const auto& [task, crashes] : mCrashes)
    if (GetJob(task) == aJob)
      most = std::max(most, crashes);
  return most;
}

void FleetStandin::RegisterJob(const std::string& aId,
                               std::vector<StandinStage> aStages,
                               std::string aTeam)
{
  const std::lock_guard lock(mLock);
  mTeamsOfJobs[aId] = std::move(aTeam);
  mJobs[aId] = std::move(aStages);
}

// Policy service

std::string FleetStandin::MakeTicket(const std::string& aStage, const WorkerState& aWorker)
{
  return "ticket-" + aStage + "-" + aWorker.mId + "-" + std::to_string(aWorker.mLife);
}

Async<HttpResponse> FleetStandin::HandleAdvice(HttpRequest aRequest)
{
  co_await Sleep(mOptions.mAdviceTime);
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeJsonResponse(http::status::bad_request, "{}");
  const std::string stage = GetString(*body, "step");
  json::array admitted;
  const std::lock_guard lock(mLock);
  for (const json::value& it : GetArray(*body, "workers")) {
    const std::string id(it.as_string());
    std::string pair = stage;
    pair.append("-").append(id);
    // The first worker may run each stage, so that each job can end.
    if (id != mWorkers.front()->mId &&
        std::hash<std::string>()(pair) % 1000 >= 1000 * mOptions.mAdmitted)
      continue;
    for (const auto& worker : mWorkers)
      if (worker->mId == id)
        admitted.push_back(json::array{ id, MakeTicket(stage, *worker) });
  }
  co_return Answer(http::status::ok, json::object{ { "admitted", admitted } });
}

}  // namespace monsoon::standin
