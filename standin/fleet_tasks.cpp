// The workers of the platform's stand-in: the tasks that they run, and the checks of every start.
#include <algorithm>

#include "core/json.h"
#include "standin/fleet_impl.h"

namespace monsoon::standin {

namespace json = boost::json;

namespace {

constexpr Duration kStep = milliseconds(10);       // of waits
constexpr Duration kStopTime = milliseconds(100);  // until a stopped task has ended
constexpr Duration kMinSlowCall = milliseconds(50);
constexpr Duration kMaxSlowCall = milliseconds(600);

}  // namespace

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
    const TimePoint at = hasLapsed ? aWorker.mLeaseUntil : it.mEndAt;
    aWorker.mEnded.push_back({ aWorker.mNextEnd++, it.mTask, it.mRun, it.mHow, at });
    auto& closed = aWorker.mClosed[it.mTask];
    closed = std::max(closed, it.mRun);
    if (it.mHow == "done")
      mDone.insert(it.mTask);
    aWorker.mRunning.erase(aWorker.mRunning.begin() + static_cast<std::ptrdiff_t>(n));
  }
  if (aWorker.mLeaseUntil < now)
    for (Ended& it : aWorker.mEnded)
      it.mHasLapsed = true;
}

// Checks what must hold when a worker starts a task.
void FleetStandin::CheckStart(const WorkerState& aWorker,
                              const std::string& aTask,
                              const StandinStage& aStage)
{
  std::uint64_t used = aStage.mMilliCores;
  for (const Running& it : aWorker.mRunning)
    used += FindStage(it.mTask)->mMilliCores;
  if (const std::uint32_t allowed = GetAllowedMilliCores(aWorker); used > allowed)
    Complain("over capacity: " + aWorker.mId + " with " + aTask + ", " + std::to_string(used) +
             " of " + std::to_string(allowed));
  for (const auto& other : mWorkers) {
    Advance(*other);
    for (const Running& it : other->mRunning)
      if (it.mTask == aTask)
        Complain("two runs at once: " + aTask + " on " + other->mId + " and " + aWorker.mId);
  }
  if (mNoted.contains(aTask))
    Complain("a start after a good end: " + aTask);
  for (const std::uint32_t before : aStage.mAfter)
    for (std::uint32_t n = 0; n < mJobs[GetJob(aTask)][before].mCount; ++n)
      if (std::string earlier = GetJob(aTask); !mDone.contains(earlier.append(".0.")
                                                                 .append(std::to_string(before))
                                                                 .append(".")
                                                                 .append(std::to_string(n))))
        Complain("a start before its predecessors: " + aTask);
}

// Returns the highest limit of a team that an order may follow; 0: none.
std::uint64_t FleetStandin::GetAllowedUse(const std::string& aTeam, TimePoint aArrivedAt) const
{
  const auto team = std::find_if(
    mTeams.begin(), mTeams.end(), [&](const StandinTeam& aItem) { return aItem.mName == aTeam; });
  std::uint64_t highest = team == mTeams.end() ? 0 : team->mMilliCores;
  const auto [begin, end] = mFormerLimits.equal_range(aTeam);
  for (auto it = begin; it != end && highest != 0; ++it)
    if (aArrivedAt < it->second.first)
      highest = it->second.second == 0 ? 0 : std::max(highest, it->second.second);
  return highest;
}

// Checks what the tasks of a team use on all workers once aTask has started. A tenth and one task
// above the limit are allowed.
void FleetStandin::CheckTeamLimit(const std::string& aTask,
                                  const StandinStage& aStage,
                                  TimePoint aArrivedAt)
{
  const std::string& team = mTeamsOfJobs[GetJob(aTask)];
  const std::uint64_t allowed = GetAllowedUse(team, aArrivedAt);
  if (allowed == 0)
    return;
  std::uint64_t used = aStage.mMilliCores;
  for (const auto& worker : mWorkers)
    for (const Running& it : worker->mRunning)
      used += mTeamsOfJobs[GetJob(it.mTask)] == team ? FindStage(it.mTask)->mMilliCores : 0;
  if (used > allowed + allowed / 10 + aStage.mMilliCores)
    Complain("over the limit of team " + team + " with " + aTask + ", " + std::to_string(used) +
             " of " + std::to_string(allowed));
}

HttpResponse FleetStandin::StartTask(std::uint32_t aWorker,
                                     const json::value& aBody,
                                     TimePoint aArrivedAt)
{
  WorkerState& worker = *mWorkers[aWorker];
  const TimePoint now = BootClock::now();
  const std::string task = GetString(aBody, "task");
  const std::uint64_t run = GetUnsigned(aBody, "run");
  const std::int64_t clock = worker.GetClockMs();
  const auto refuse = [&](const char* aReason) {
    return Answer(http::status::conflict,
                  json::object{ { "clock_ms", clock }, { "reason", aReason } });
  };
  if (GetSigned(aBody, "until_ms") <= clock)
    return refuse("late");
  const TimePoint until =
    now +
    std::min(mOptions.mLongestLease, Duration(milliseconds(GetSigned(aBody, "until_ms") - clock)));
  worker.mLeaseUntil = std::max(worker.mLeaseUntil, until);
  if (auto closed = worker.mClosed.find(task);
      closed != worker.mClosed.end() && run <= closed->second)
    return refuse("old");
  for (const Running& it : worker.mRunning)
    if (it.mTask == task && it.mRun == run)
      return Answer(http::status::ok, json::object{ { "clock_ms", clock } });
  if (GetString(aBody, "ticket") != MakeTicket(task.substr(0, task.rfind('.')), worker))
    return refuse("ticket");
  const StandinStage* stage = FindStage(task);
  if (!stage) {
    Complain("a start of a task that nobody asked for: " + task);
    return refuse("room");
  }
  CheckStart(worker, task, *stage);
  CheckTeamLimit(task, *stage, aArrivedAt);
  // The payload says how long the tasks run, and in percent how many fail: "ms=200 fail=5".
  const std::string payload = GetString(aBody, "spec");
  long ms = 100;
  int failing = 0;
  std::sscanf(payload.c_str(), "ms=%ld fail=%d", &ms, &failing);
  Running it;
  it.mTask = task;
  it.mRun = run;
  it.mStartedAt = now;
  it.mLength = milliseconds(std::max(ms, 1L));
  it.mEndAt = now + it.mLength;
  it.mHow = Happens(failing / 100.0) ? "failed" : "done";
  worker.mRunning.push_back(std::move(it));
  mLastStarts[task] = now;
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
  return Answer(http::status::ok, json::object{ { "clock_ms", worker.GetClockMs() } });
}

// Forgets the ends up to aNumber. A good one counts from now on, and against starts since then,
// unless the worker's lease has expired in between.
void FleetStandin::Acknowledge(WorkerState& aWorker, std::uint64_t aNumber)
{
  for (const Ended& it : aWorker.mEnded) {
    if (it.mNumber <= aNumber && it.mListedAt != TimePoint{})
      mAcknowledgedAfter.push_back(BootClock::now() - it.mListedAt);
    if (it.mNumber > aNumber || it.mHow != "done")
      continue;
    mNoted.insert(it.mTask);
    const auto start = mLastStarts.find(it.mTask);
    if (!it.mHasLapsed && start != mLastStarts.end() && start->second > it.mAt)
      Complain("a start after a good end that was acknowledged later: " + it.mTask);
  }
  std::erase_if(aWorker.mEnded, [&](const Ended& aItem) { return aItem.mNumber <= aNumber; });
}

HttpResponse FleetStandin::MakeReport(WorkerState& aWorker) const
{
  json::array running;
  json::array ended;
  for (const Running& it : aWorker.mRunning) {
    const auto percent = 100 * (BootClock::now() - it.mStartedAt) / it.mLength;
    running.push_back(
      json::array{ it.mTask, it.mRun, "", std::min<std::int64_t>(percent, 100), 0 });
  }
  for (Ended& it : aWorker.mEnded) {
    if (ended.size() == mOptions.mEndsListed)
      break;
    if (it.mListedAt == TimePoint{})
      it.mListedAt = BootClock::now();
    ended.push_back(json::array{ it.mNumber, it.mTask, it.mRun, it.mHow, "" });
  }
  return Answer(http::status::ok,
                json::object{ { "clock_ms", aWorker.GetClockMs() },
                              { "born", aWorker.mBornMs },
                              { "running", running },
                              { "ended", ended } });
}

Async<HttpResponse> FleetStandin::Hold(std::uint32_t aWorker, json::value aBody)
{
  const TimePoint deadline = BootClock::now() + GetMillis(aBody, "wait_ms");
  std::uint32_t life = 0;
  for (bool isFirst = true;; isFirst = false) {
    {
      const std::lock_guard lock(mLock);
      WorkerState& worker = *mWorkers[aWorker];
      const TimePoint now = BootClock::now();
      if (isFirst)
        life = worker.mLife;
      if (worker.mLife != life)
        co_return MakeJsonResponse(kCloseWithoutResponse, "");
      Advance(worker);
      if (isFirst) {
        Acknowledge(worker, GetUnsigned(aBody, "last_seen"));
        const std::int64_t clock = worker.GetClockMs();
        if (const auto until = GetSigned(aBody, "until_ms"); until > clock)
          worker.mLeaseUntil =
            std::max(worker.mLeaseUntil,
                     now + std::min(mOptions.mLongestLease, Duration(milliseconds(until - clock))));
      }
      if (!worker.mEnded.empty() || now >= deadline)
        co_return MakeReport(worker);
    }
    co_await Sleep(kStep);
  }
}

// Returns whether the sender of an order or a poll is the newest holder so far.
bool FleetStandin::AcceptToken(WorkerState& aWorker, const json::value& aBody)
{
  const std::uint64_t token = GetUnsigned(aBody, "fencing_token");
  if (token < aWorker.mToken)
    return false;
  aWorker.mToken = token;
  return true;
}

// Carries out a start order long after it was sent.
Async<void> FleetStandin::StartLate(std::uint32_t aWorker, std::uint32_t aLife, json::value aBody)
{
  const TimePoint arrivedAt = BootClock::now();
  const bool isSoon = Happens(0.5);  // within the time that orders are valid
  co_await Sleep(isSoon ? Draw(milliseconds(50), seconds(2)) : Draw(seconds(2), seconds(12)));
  const std::lock_guard lock(mLock);
  WorkerState& worker = *mWorkers[aWorker];
  if (worker.mLife != aLife || !AcceptToken(worker, aBody))
    co_return;
  Advance(worker);
  if (StartTask(aWorker, aBody, arrivedAt).result() == http::status::ok)
    ++mLateStarts;
}

// Delivers a call and its response, each of which may take long.
Async<HttpResponse> FleetStandin::HandleWorker(std::uint32_t aWorker, HttpRequest aRequest)
{
  const TimePoint arrivedAt = BootClock::now();
  Duration there{};
  Duration back{};
  std::uint32_t life = 0;
  {
    const std::lock_guard lock(mLock);
    life = mWorkers[aWorker]->mLife;
    if (Happens(mWorkers[aWorker]->mSlowCalls))
      (Happens(0.5) ? there : back) = Draw(kMinSlowCall, kMaxSlowCall);
  }
  if (there > Duration::zero()) {
    co_await Sleep(there);
    const std::lock_guard lock(mLock);
    if (mWorkers[aWorker]->mLife != life)  // it was sent to a process that has ended
      co_return MakeJsonResponse(kCloseWithoutResponse, "");
  }
  HttpResponse response = co_await CarryOut(aWorker, std::move(aRequest), arrivedAt);
  if (back > Duration::zero())
    co_await Sleep(back);
  co_return response;
}

Async<HttpResponse> FleetStandin::CarryOut(std::uint32_t aWorker,
                                           HttpRequest aRequest,
                                           TimePoint aArrivedAt)
{
  const std::string path(aRequest.target());
  auto body = ParseJson(aRequest.body());
  if (!body)
    co_return MakeJsonResponse(http::status::bad_request, "{}");
  bool isAnswered = true;
  {
    const std::lock_guard lock(mLock);
    WorkerState& worker = *mWorkers[aWorker];
    if (worker.mSilent || !worker.mUp)
      co_return MakeJsonResponse(kCloseWithoutResponse, "");
    if (std::string(aRequest["X-Expect-Instance"]) != worker.mId)
      co_return MakeJsonResponse(http::status::misdirected_request, "{}");
    if (path == "/run-start" && Happens(mLateOrders)) {
      asio::co_spawn(mContext, StartLate(aWorker, worker.mLife, *body), asio::detached);
      if (Happens(0.5))
        co_return MakeJsonResponse(kCloseWithoutResponse, "");
      isAnswered = false;
    } else if (!AcceptToken(worker, *body)) {
      co_return Answer(http::status::conflict,
                       json::object{ { "clock_ms", worker.GetClockMs() }, { "reason", "fence" } });
    } else {
      Advance(worker);
      if (path == "/run-start" || path == "/run-stop") {
        HttpResponse response =
          path == "/run-start" ? StartTask(aWorker, *body, aArrivedAt) : StopTask(aWorker, *body);
        if (Happens(mLostAnswers))
          co_return MakeJsonResponse(kCloseWithoutResponse, "");
        co_return response;
      }
    }
  }
  if (!isAnswered)
    co_return co_await NeverAnswer();
  if (path == "/hold")
    co_return co_await Hold(aWorker, *body);
  co_return MakeJsonResponse(path == "/pace" ? http::status::ok : http::status::not_found, "{}");
}

}  // namespace monsoon::standin
