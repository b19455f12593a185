// Faults of the soak that come with the store: writes that are carried out late, beside callers who
// cancel; ends of tasks that wait for a slow store while their holder is killed; and a large
// configuration on slow links. They draw by themselves, so that the other faults of a seed stay the
// same.
#include <csignal>

#include "tests/integration/entry_jobs.h"
#include "tests/soak/soak.h"

namespace monsoon {

namespace {

constexpr std::uint64_t kSlowLink = 10'000'000 / 8;      // bytes per second
constexpr std::size_t kManyQueues = 5000;                // a configuration of some 900 kB
constexpr std::size_t kMaxMoreQueues = 300;              // ... that still fits into a value
constexpr Duration kSlowStoreDelay = milliseconds(120);  // in each direction
constexpr int kBurstJobs = 80;
constexpr Duration kBurstPause = milliseconds(20);
constexpr const char* kLastingJob =
  R"({"spec":"ms=600000 fail=0","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":300,)"
  R"("long_running":true}]})";

}  // namespace

void Soak::SetStoreLinks(testing::LinkFaults aFaults)
{
  for (std::size_t n = 0; n < mFleet.Count(); ++n)
    mFleet.Get(n).mStoreLink->SetFaults(aFaults);
}

Async<void> Soak::DelayWrites(Duration aTime)
{
  const Disturbance disturbance(mStoreCalm);
  mFleet.GetPlatform().SetStoreMode(standin::StoreMode::DelaysWrites);
  co_await Sleep(aTime);
  mFleet.GetPlatform().SetStoreMode(standin::StoreMode::Serving);
}

// Kills the holder while the ends of many jobs wait for a slow store, and a worker whose ends it
// has received does not answer. The worker is back before its lease expires.
Async<void> Soak::LoseHolderWithEnds(std::uint32_t aWorker, Duration aSlow, Duration aSilent)
{
  const Disturbance disturbance(mStoreCalm);
  SetStoreLinks({ .mDelay = kSlowStoreDelay });
  for (int n = 0; n < kBurstJobs; ++n) {
    asio::co_spawn(mContext, SubmitJob(), asio::detached);
    co_await Sleep(kBurstPause);
  }
  co_await Sleep(aSlow);
  mFleet.GetPlatform().SetSilent(aWorker, true);
  co_await Sleep(milliseconds(700));
  const std::size_t holder = testing::FindHolder(mFleet);
  if (holder < mFleet.Count())
    mFleet.End(holder, SIGKILL);
  co_await Sleep(milliseconds(400));
  if (holder < mFleet.Count())
    mFleet.Start(holder);
  SetStoreLinks({ .mDelay = mOptions.mStoreDelay });
  co_await Sleep(aSilent);
  mFleet.GetPlatform().SetSilent(aWorker, false);
}

// Changes a large configuration on slow links, and kills all processes or none of them.
Async<void> Soak::ChangeLargeConfig(std::uint64_t aChanges, bool aIsKilled)
{
  const Disturbance disturbance(mStoreCalm);
  SetStoreLinks({ .mBytesPerS = kSlowLink });
  for (std::uint64_t n = 0; n < aChanges && mMoreQueues < kMaxMoreQueues; ++n, ++mMoreQueues) {
    mFleet.GetPlatform().AddQueues(mMoreQueues == 0 ? kManyQueues : 1);
    co_await Sleep(milliseconds(330));
  }
  for (std::size_t n = 0; n < mFleet.Count() && aIsKilled; ++n)
    mFleet.End(n, SIGKILL);
  for (std::size_t n = 0; n < mFleet.Count() && aIsKilled; ++n)
    mFleet.Start(n);
  co_await Sleep(seconds(3));
  SetStoreLinks({ .mDelay = mOptions.mStoreDelay });
}

Async<void> Soak::InjectStoreFaults()
{
  std::mt19937_64 random(mOptions.mSeed + 2'000'000);
  const auto draw = [&random](std::uint64_t aBound) { return random() % aBound; };
  while (!mOver) {
    co_await Sleep(milliseconds(300 + draw(1200)));
    const std::uint64_t kind = draw(5);
    const auto time = milliseconds(1000 + draw(3000));
    const auto worker = static_cast<std::uint32_t>(draw(mOptions.mWorkers));
    const auto silent = milliseconds(500 + draw(2500));
    const std::uint64_t changes = 1 + draw(6);
    const bool isKilled = draw(2) == 0;
    if (kind < 2)
      co_await DelayWrites(time);
    else if (kind < 4)
      co_await LoseHolderWithEnds(worker, time, silent);
    else
      co_await ChangeLargeConfig(changes, isKilled);
  }
}

// Submits a lasting job, does not wait long for its answer, and cancels it.
Async<void> Soak::CancelJob(std::string aId, std::size_t aProcess, Duration aBudget)
{
  constexpr std::size_t kTries = 8;
  const std::string target = "/q/" + aId;
  mFleet.GetPlatform().RegisterJob(aId, { standin::StandinStage{ 2, 1000, {} } });
  co_await mFleet.Call(aProcess, http::verb::post, target, kLastingJob, {}, aBudget);
  for (std::size_t n = 1; n <= kTries; ++n) {
    const std::size_t other = (aProcess + n) % mFleet.Count();
    auto response = co_await mFleet.Call(other, http::verb::delete_, target, {});
    if (response &&
        (response->result() == http::status::ok || response->result() == http::status::gone)) {
      mCancelled.push_back(std::move(aId));
      co_return;
    }
    co_await Sleep(milliseconds(100));
  }
}

Async<void> Soak::CancelJobs()
{
  std::mt19937_64 random(mOptions.mSeed + 3'000'000);
  while (!mOver) {
    const auto pause = milliseconds(50 + random() % 300);
    co_await Sleep(pause);
    char id[17];
    std::snprintf(id, sizeof id, "%016lx", static_cast<unsigned long>(random()));
    const std::size_t process = random() % mFleet.Count();
    const auto budget = milliseconds(200 + random() % 600);
    asio::co_spawn(mContext, CancelJob(id, process, budget), asio::detached);
  }
}

// Checks that jobs whose cancellation was acknowledged are gone, however late they were stored.
Async<void> Soak::CheckCancelled()
{
  constexpr int kTries = 20;
  const std::vector<std::string> cancelled = mCancelled;  // a late call may still add one
  for (const std::string& id : cancelled) {
    bool isShown = false;
    for (int n = 0; n < kTries && !isShown; ++n) {
      auto response = co_await mFleet.Call(Draw(mFleet.Count()), http::verb::get, "/q/" + id, {});
      isShown = response && (response->result() == http::status::gone ||
                             response->body().find("cancelled") != std::string::npos);
      if (!isShown)
        co_await Sleep(milliseconds(100));
    }
    if (!isShown)
      mFindings.push_back(id + ": cancelled, and not shown as such");
    if (mFleet.GetPlatform().IsRunning(id))
      mFindings.push_back(id + ": cancelled, and it runs on");
  }
}

}  // namespace monsoon
