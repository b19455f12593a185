#include "standin/fleet.h"

#include <algorithm>

#include "core/json.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr Duration kStep = milliseconds(10);       // of waits
constexpr Duration kStopTime = milliseconds(100);  // until a stopped task has ended

HttpResponse Answer(http::status aStatus, const json::value& aBody)
{
  return MakeJsonResponse(aStatus, json::serialize(aBody));
}

std::string GetJob(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

}  // namespace

struct FleetStandin::Running
{
  std::string mTask{};
  std::uint64_t mRun = 0;
  TimePoint mEndAt{};
  std::string mHow = "done";
};

struct FleetStandin::WorkerState
{
  std::unique_ptr<HttpServer> mServer{};
  std::uint16_t mPort = 0;
  std::string mId{};
  std::uint32_t mLife = 0;
  bool mSilent = false;
  std::uint64_t mToken = 0;
  TimePoint mLeaseUntil{};
  std::vector<Running> mRunning{};
  struct Ended
  {
    std::uint64_t mNumber;
    std::string mTask;
    std::uint64_t mRun;
    std::string mHow;
  };
  std::vector<Ended> mEnded{};
  std::uint64_t mNextEnd = 1;
  std::map<std::string, std::uint64_t> mClosed{};
};

FleetStandin::FleetStandin(asio::io_context& aContext, FleetStandinOptions aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
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
    worker->mServer =
      std::make_unique<HttpServer>(limits, [this, n](HttpRequest aRequest, std::string) {
        return HandleWorker(n, std::move(aRequest));
      });
    auto port = worker->mServer->Listen("127.0.0.1", 0, contexts);
    if (!port)
      return port.error();
    worker->mPort = *port;
    worker->mId = "w" + std::to_string(n) + "-0";
    mWorkers.push_back(std::move(worker));
    Announce(n);
  }
  const json::object queue{
    { "name", "q" },
    { "host", "127.0.0.1" },
    { "prefix", "/q/" },
    { "service", "pool" },
    { "max_attempts", 50 },
    { "stretch", 2 },
    { "target_latency_ms", 500 },
    { "advice", json::object{ { "decide_ms", 20 }, { "each_ms", 0.1 }, { "valid_ms", 2000 } } }
  };
  const json::object config{ { "version", 1 },
                             { "routes", json::array{ queue } },
                             { "services", json::array{ json::object{ { "name", "pool" } } } } };
  PutText("op/config", json::serialize(config));
  asio::co_spawn(mContext, RunClock(), asio::detached);
  return {};
}

void FleetStandin::Complain(std::string aWhat)
{
  if (mViolations.size() < 50)
    mViolations.push_back(std::move(aWhat));
}

bool FleetStandin::Happens(double aShare)
{
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

std::uint64_t FleetStandin::CountCrashes(const std::string& aJob) const
{
  const std::lock_guard lock(mLock);
  std::uint64_t most = 0;
  for (const auto& [task, crashes] : mCrashes)
    if (GetJob(task) == aJob)
      most = std::max(most, crashes);
  return most;
}

void FleetStandin::RegisterJob(const std::string& aId, std::vector<StandinStage> aStages)
{
  const std::lock_guard lock(mLock);
  mJobs[aId] = std::move(aStages);
}

void FleetStandin::SetSilent(std::uint32_t aWorker, bool aSilent)
{
  const std::lock_guard lock(mLock);
  mWorkers[aWorker]->mSilent = aSilent;
}

void FleetStandin::CrashWorker(std::uint32_t aWorker)
{
  const std::lock_guard lock(mLock);
  WorkerState& worker = *mWorkers[aWorker];
  Advance(worker);
  ++mRevision;
  Remove("servers/" + worker.mId);
  for (const Running& it : worker.mRunning)
    ++mCrashes[it.mTask];
  worker.mId = "w" + std::to_string(aWorker) + "-" + std::to_string(++worker.mLife);
  worker.mRunning.clear();
  worker.mEnded.clear();
  worker.mClosed.clear();
  worker.mNextEnd = 1;
  worker.mToken = 0;
  Announce(aWorker);
}

void FleetStandin::Announce(std::uint32_t aWorker)
{
  const WorkerState& worker = *mWorkers[aWorker];
  const json::object entry{
    { "service", "pool" },
    { "address", "127.0.0.1:" + std::to_string(worker.mPort) },
    { "zone", "zone-a" },
    { "state", "ready" },
    { "capacity",
      json::object{ { "cpu", mOptions.mMilliCores }, { "mem_mb", 65'536 }, { "gpu", 0 } } },
    { "labels", json::array{ "a", "r1" } },
    { "sequence", 1 }
  };
  PutText("servers/" + worker.mId, json::serialize(entry));
}

// Policy service

Async<HttpResponse> FleetStandin::HandleAdvice(HttpRequest aRequest)
{
  co_await Sleep(mOptions.mAdviceTime);
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeJsonResponse(http::status::bad_request, "{}");
  const std::string stage = GetString(*body, "step");
  json::array admitted;
  for (const json::value& it : GetArray(*body, "workers")) {
    const std::string id(it.as_string());
    std::string pair = stage;
    pair.append("-").append(id);
    if (std::hash<std::string>()(pair) % 1000 < 1000 * mOptions.mAdmitted)
      admitted.push_back(json::array{ id, "ticket-" + pair });
  }
  co_return Answer(http::status::ok, json::object{ { "admitted", admitted } });
}

// Workers

const StandinStage* FleetStandin::FindStage(const std::string& aTask) const
{
  auto job = mJobs.find(GetJob(aTask));
  if (job == mJobs.end())
    return nullptr;
  const auto first = aTask.find('.');
  const auto second = aTask.find('.', first + 1);
  const std::size_t stage = std::strtoul(aTask.c_str() + second + 1, nullptr, 10);
  return stage < job->second.size() ? &job->second[stage] : nullptr;
}

void FleetStandin::Advance(WorkerState& aWorker)
{
  const TimePoint now = BootClock::now();
  for (std::size_t n = aWorker.mRunning.size(); n-- > 0;) {
    Running& it = aWorker.mRunning[n];
    const bool hasLapsed = aWorker.mLeaseUntil < now && aWorker.mLeaseUntil < it.mEndAt;
    if (it.mEndAt > now && !hasLapsed)
      continue;
    if (hasLapsed)
      it.mHow = "lapsed";
    aWorker.mEnded.push_back({ aWorker.mNextEnd++, it.mTask, it.mRun, it.mHow });
    auto& closed = aWorker.mClosed[it.mTask];
    closed = std::max(closed, it.mRun);
    if (it.mHow == "done")
      mDone.insert(it.mTask);
    aWorker.mRunning.erase(aWorker.mRunning.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

HttpResponse FleetStandin::StartTask(std::uint32_t aWorker, const json::value& aBody)
{
  WorkerState& worker = *mWorkers[aWorker];
  const TimePoint now = BootClock::now();
  const std::string task = GetString(aBody, "task");
  const std::uint64_t run = GetUnsigned(aBody, "run");
  const std::int64_t clock = now.time_since_epoch() / milliseconds(1);
  const auto refuse = [&](const char* aReason) {
    return Answer(http::status::conflict,
                  json::object{ { "clock_ms", clock }, { "reason", aReason } });
  };
  if (GetSigned(aBody, "until_ms") <= clock)
    return refuse("late");
  const TimePoint until =
    now +
    std::min(mOptions.mLongestLease, Duration(milliseconds(GetSigned(aBody, "until_ms") - clock)));
  worker.mLeaseUntil = worker.mRunning.empty() ? until : std::max(worker.mLeaseUntil, until);
  if (auto closed = worker.mClosed.find(task);
      closed != worker.mClosed.end() && run <= closed->second)
    return refuse("old");
  for (const Running& it : worker.mRunning)
    if (it.mTask == task && it.mRun == run)
      return Answer(http::status::ok, json::object{ { "clock_ms", clock } });
  const std::string stageName = task.substr(0, task.rfind('.'));
  if (GetString(aBody, "ticket") != "ticket-" + stageName + "-" + worker.mId)
    return refuse("ticket");
  const StandinStage* stage = FindStage(task);
  if (!stage) {
    Complain("a start of a task that nobody asked for: " + task);
    return refuse("room");
  }
  std::uint64_t used = stage->mMilliCores;
  for (const Running& it : worker.mRunning)
    used += FindStage(it.mTask)->mMilliCores;
  if (used > mOptions.mMilliCores)
    Complain("over capacity: " + worker.mId + " with " + task);
  for (const auto& other : mWorkers) {
    Advance(*other);
    for (const Running& it : other->mRunning)
      if (it.mTask == task)
        Complain("two runs at once: " + task + " on " + other->mId + " and " + worker.mId);
  }
  if (mNoted.contains(task))
    Complain("a start after a good end: " + task);
  for (const std::uint32_t before : stage->mAfter)
    for (std::uint32_t n = 0; n < mJobs[GetJob(task)][before].mCount; ++n)
      if (std::string earlier = GetJob(task); !mDone.contains(earlier.append(".0.")
                                                                .append(std::to_string(before))
                                                                .append(".")
                                                                .append(std::to_string(n))))
        Complain("a start before its predecessors: " + task);
  // The payload says how long the tasks run, and in percent how many fail: "ms=200 fail=5".
  const std::string payload = GetString(aBody, "spec");
  long ms = 100;
  int failing = 0;
  std::sscanf(payload.c_str(), "ms=%ld fail=%d", &ms, &failing);
  Running it;
  it.mTask = task;
  it.mRun = run;
  it.mEndAt = now + milliseconds(ms);
  it.mHow = Happens(failing / 100.0) ? "failed" : "done";
  worker.mRunning.push_back(std::move(it));
  ++mStarts;
  return Answer(http::status::ok, json::object{ { "clock_ms", clock } });
}

HttpResponse FleetStandin::StopTask(std::uint32_t aWorker, const json::value& aBody)
{
  WorkerState& worker = *mWorkers[aWorker];
  const std::string task = GetString(aBody, "task");
  const std::uint64_t run = GetUnsigned(aBody, "run");
  auto& closed = worker.mClosed[task];
  closed = std::max(closed, run);
  for (Running& it : worker.mRunning) {
    if (it.mTask != task || it.mRun > run || it.mHow == "stopped")
      continue;
    it.mEndAt = std::min(it.mEndAt, BootClock::now() + kStopTime);
    it.mHow = "stopped";
  }
  return Answer(http::status::ok, json::object{ { "clock_ms", 1 } });
}

Async<HttpResponse> FleetStandin::Hold(std::uint32_t aWorker, json::value aBody)
{
  const TimePoint deadline = BootClock::now() + GetMillis(aBody, "wait_ms");
  for (bool isFirst = true;; isFirst = false) {
    {
      const std::lock_guard lock(mLock);
      WorkerState& worker = *mWorkers[aWorker];
      const TimePoint now = BootClock::now();
      Advance(worker);
      const std::uint64_t noted = GetUnsigned(aBody, "last_seen");
      if (isFirst) {
        for (const auto& it : worker.mEnded)
          if (it.mNumber <= noted && it.mHow == "done")
            mNoted.insert(it.mTask);
        std::erase_if(worker.mEnded, [noted](const auto& aItem) { return aItem.mNumber <= noted; });
        const std::int64_t clock = now.time_since_epoch() / milliseconds(1);
        if (const auto until = GetSigned(aBody, "until_ms"); until > clock)
          worker.mLeaseUntil =
            std::max(worker.mLeaseUntil,
                     now + std::min(mOptions.mLongestLease, Duration(milliseconds(until - clock))));
      }
      if (!worker.mEnded.empty() || now >= deadline) {
        json::array running;
        json::array ended;
        for (const Running& it : worker.mRunning)
          running.push_back(json::array{ it.mTask, it.mRun, "", 50, 0 });
        for (const auto& it : worker.mEnded)
          ended.push_back(json::array{ it.mNumber, it.mTask, it.mRun, it.mHow, "" });
        co_return Answer(http::status::ok,
                         json::object{ { "clock_ms", now.time_since_epoch() / milliseconds(1) },
                                       { "running", running },
                                       { "ended", ended } });
      }
    }
    co_await Sleep(kStep);
  }
}

Async<HttpResponse> FleetStandin::HandleWorker(std::uint32_t aWorker, HttpRequest aRequest)
{
  const std::string path(aRequest.target());
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeJsonResponse(http::status::bad_request, "{}");
  {
    const std::lock_guard lock(mLock);
    WorkerState& worker = *mWorkers[aWorker];
    if (worker.mSilent)
      co_return MakeJsonResponse(kCloseWithoutResponse, "");
    if (std::string(aRequest["X-Expect-Instance"]) != worker.mId)
      co_return MakeJsonResponse(http::status::misdirected_request, "{}");
    const std::uint64_t token = GetUnsigned(*body, "fencing_token");
    if (token < worker.mToken)
      co_return Answer(http::status::conflict, json::object{ { "reason", "fence" } });
    worker.mToken = token;
    Advance(worker);
    if (path == "/run-start" || path == "/run-stop") {
      HttpResponse response =
        path == "/run-start" ? StartTask(aWorker, *body) : StopTask(aWorker, *body);
      if (Happens(mLostAnswers))
        co_return MakeJsonResponse(kCloseWithoutResponse, "");
      co_return response;
    }
  }
  if (path == "/hold")
    co_return co_await Hold(aWorker, *body);
  co_return MakeJsonResponse(path == "/pace" ? http::status::ok : http::status::not_found, "{}");
}

}  // namespace monsoon::standin
