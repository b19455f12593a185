// Randomized soak: real entry processes against the platform's stand-in, with faults from outside:
// kills, stops, pauses and restarts by signals; a store that is busy, silent or loses answers;
// links that are delayed, cut or frozen by proxies; workers that crash, restart under their ids,
// change their capacity, fall silent, can't reach the store, lose answers or carry out orders late;
// slow links to workers, so that starts take effect late and reports overtake each other;
// other writers of the directory; configurations that replace the queue while it has jobs.
// What must always hold is checked from what callers and workers see.
//
//   fleet_soak --seed 7 --seconds 20 --processes 5 --workers 8 --runs 10
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>

#include "core/json.h"
#include "tests/integration/entry_fleet.h"

using namespace monsoon;

namespace {

struct SoakOptions
{
  std::uint64_t mSeed = 1;
  Duration mTime = seconds(20);
  std::uint32_t mProcesses = 5;
  std::uint32_t mWorkers = 8;
  bool mFaults = true;
  std::uint32_t mJobsPerS = 0;  // 0: 6 to 25
  Duration mStoreDelay{};       // of all links to the store, unless another fault replaces it
};

constexpr Duration kSettle = seconds(90);  // for all accepted jobs to end once the faults are over
constexpr Duration kAckTime = seconds(4);  // the platform's ack_ms
constexpr std::uint64_t kMaxLateEndsShare = 5;  // a fifth of the ends, as its rules allow
constexpr std::uint32_t kSizes[] = { 4'000, 8'000, 12'000, 16'000, 24'000 };  // of workers
constexpr std::uint64_t kCrashesThatMayEndAJob = 2;  // of workers, under the same task

struct Submission
{
  std::string mId{};
  std::uint64_t mTasks = 0;
  bool mAccepted = false;
  bool mMaybe = false;  // some attempt's outcome is unknown
};

class Soak
{
public:
  explicit Soak(SoakOptions aOptions);
  bool Run();

private:
  Async<void> SubmitJobs();
  Async<void> SubmitJob();
  void CheckAcknowledgements();
  Async<void> InjectFaults();
  Async<void> InjectOne();
  Async<void> InjectWorkerFaults();
  Async<void> SlowLinks();
  Async<void> CheckEnds();
  Async<Result<HttpResponse>> Call(http::verb aVerb, std::string aId, std::string aBody);
  std::uint64_t Draw(std::uint64_t aBound) { return mRandom() % aBound; }

  SoakOptions mOptions;
  std::mt19937_64 mRandom;
  asio::io_context mContext{ 1 };
  testing::EntryFleet mFleet;
  std::vector<Submission> mSubmissions{};
  std::vector<std::string> mFindings{};
  bool mOver = false;
};

standin::FleetStandinOptions MakePlatformOptions(const SoakOptions& aOptions)
{
  standin::FleetStandinOptions platform;
  platform.mWorkers = aOptions.mWorkers;
  platform.mSeed = aOptions.mSeed;
  return platform;
}

Soak::Soak(SoakOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mFleet(mContext,
           MakePlatformOptions(aOptions),
           std::vector<double>(aOptions.mProcesses, 1.0),
           "fleet-soak")
{
}

Async<Result<HttpResponse>> Soak::Call(http::verb aVerb, std::string aId, std::string aBody)
{
  co_return co_await mFleet.Call(Draw(mFleet.Count()), aVerb, "/q/" + aId, std::move(aBody));
}

Async<void> Soak::SubmitJobs()
{
  while (!mOver) {
    if (mOptions.mJobsPerS == 0) {
      co_await Sleep(milliseconds(40 + Draw(120)));
      co_await SubmitJob();
    } else {
      co_await Sleep(Duration(seconds(1)) / mOptions.mJobsPerS);
      asio::co_spawn(mContext, SubmitJob(), asio::detached);
    }
  }
}

Async<void> Soak::SubmitJob()
{
  constexpr int kTries = 5;
  char id[17];
  std::snprintf(id, sizeof id, "%016lx", static_cast<unsigned long>(mRandom()));
  Submission submission{ id };
  std::vector<standin::StandinStage> stages;
  boost::json::array steps;
  const std::uint64_t count = 1 + Draw(3);
  const std::uint64_t millis = Draw(4) == 0 ? 2000 + Draw(2000) : 50 + Draw(800);
  for (std::uint64_t n = 0; n < count; ++n) {
    standin::StandinStage stage{ static_cast<std::uint32_t>(1 + Draw(4)),
                                 static_cast<std::uint32_t>(1000 + 1000 * Draw(3)),
                                 {} };
    boost::json::object step{ { "count", stage.mCount },
                              { "cpu", stage.mMilliCores },
                              { "mem_mb", 100 },
                              { "estimate_ms", std::max<std::uint64_t>(millis / 2, 300) } };
    if (n > 0) {
      stage.mAfter.push_back(static_cast<std::uint32_t>(n - 1));
      step["after"] = boost::json::array{ n - 1 };
    }
    submission.mTasks += stage.mCount;
    stages.push_back(stage);
    steps.push_back(step);
  }
  mFleet.GetPlatform().RegisterJob(id, stages);
  const std::string payload = "ms=" + std::to_string(millis) + " fail=3";
  const std::string body =
    boost::json::serialize(boost::json::object{ { "spec", payload }, { "steps", steps } });
  for (int n = 0; n < kTries && !submission.mAccepted; ++n) {
    auto response = co_await Call(http::verb::post, id, body);
    submission.mAccepted = response && response->result() == http::status::ok;
    const bool notRun = response ? response->result() == http::status::service_unavailable
                                 : response.error().mKind == FailureKind::EndpointUnreachable;
    submission.mMaybe = submission.mMaybe || (!submission.mAccepted && !notRun);
    if (!submission.mAccepted)
      co_await Sleep(milliseconds(200));
  }
  mSubmissions.push_back(std::move(submission));
}

Async<void> Soak::InjectOne()
{
  const std::size_t index = Draw(mFleet.Count());
  testing::EntryProcess& process = mFleet.Get(index);
  const Duration time = milliseconds(300 + Draw(3500));
  const auto worker = static_cast<std::uint32_t>(Draw(mOptions.mWorkers));
  switch (Draw(11)) {
    case 0:
    case 1:
      mFleet.End(index, SIGKILL);
      co_await Sleep(time / 4);
      mFleet.Start(index);
      break;
    case 2:
      mFleet.Signal(index, SIGSTOP);
      co_await Sleep(time);
      mFleet.Signal(index, SIGCONT);
      break;
    case 3:
      mFleet.Signal(index, SIGTERM);
      co_await Sleep(seconds(6));
      mFleet.End(index, SIGKILL);
      mFleet.Start(index);
      break;
    case 4:
      mFleet.GetPlatform().SetStoreMode(static_cast<standin::StoreMode>(1 + Draw(3)));
      co_await Sleep(time);
      mFleet.GetPlatform().SetStoreMode(standin::StoreMode::Serving);
      break;
    case 5:
    case 6: {
      testing::LinkFaults faults;
      const std::uint64_t kind = Draw(3);
      faults.mDelay = kind == 0 ? milliseconds(50 + Draw(200)) : milliseconds(0);
      faults.mCut = kind == 1;
      faults.mFrozen = kind == 2;
      testing::Proxy& link = Draw(2) == 0 ? *process.mStoreLink : *process.mPeerLink;
      link.SetFaults(faults);
      co_await Sleep(time);
      link.SetFaults({});
      break;
    }
    case 7:
      mFleet.GetPlatform().CrashWorker(worker);
      break;
    case 8:
      mFleet.GetPlatform().SetSilent(worker, true);
      co_await Sleep(2 * time);
      mFleet.GetPlatform().SetSilent(worker, false);
      break;
    case 9:
      mFleet.GetPlatform().ReplaceQueue();
      break;
    default:
      mFleet.GetPlatform().SetLostAnswers(0.1);
      co_await Sleep(time);
      mFleet.GetPlatform().SetLostAnswers(0);
      break;
  }
}

Async<void> Soak::InjectFaults()
{
  while (!mOver) {
    co_await Sleep(milliseconds(200 + Draw(1200)));
    if (!mOver)
      asio::co_spawn(mContext, InjectOne(), asio::detached);  // faults come in series and overlap
  }
}

// Faults that workers have in a healthy cluster as well, so they come more often than the others.
Async<void> Soak::InjectWorkerFaults()
{
  standin::FleetStandin& platform = mFleet.GetPlatform();
  while (!mOver) {
    co_await Sleep(milliseconds(100 + Draw(500)));
    const auto worker = static_cast<std::uint32_t>(Draw(mOptions.mWorkers));
    const std::uint32_t size = kSizes[Draw(std::size(kSizes))];
    switch (Draw(10)) {
      case 0:
      case 1:
      case 2:
        platform.ResizeWorker(worker, size);
        break;
      case 3:
      case 4:
        platform.RestartWorker(worker, size);
        break;
      case 5:
        platform.HideWorker(worker, milliseconds(1000 + Draw(9000)));
        break;
      case 6:
      case 7:
        platform.WriteForeignEntry(worker, static_cast<standin::ForeignEntry>(Draw(7)));
        break;
      default:
        platform.SetLateOrders(Draw(2) == 0 ? 0.01 : 0.1);
        break;
    }
  }
  platform.SetLateOrders(0);
}

// Makes the links to a few workers slow for some seconds at a time. Draws by itself, so that the
// other faults of a seed stay the same.
Async<void> Soak::SlowLinks()
{
  std::mt19937_64 random(mOptions.mSeed + 1'000'000);
  while (!mOver) {
    const auto pause = milliseconds(500 + random() % 1500);
    co_await Sleep(pause);
    const auto first = static_cast<std::uint32_t>(random() % mOptions.mWorkers);
    const std::uint32_t other = (first + mOptions.mWorkers / 2) % mOptions.mWorkers;
    const double share = random() % 2 == 0 ? 0.3 : 0.9;
    const auto time = milliseconds(2000 + random() % 3000);
    for (const std::uint32_t worker : { first, other })
      mFleet.GetPlatform().SetSlowCalls(worker, share);
    co_await Sleep(time);
    for (const std::uint32_t worker : { first, other })
      mFleet.GetPlatform().SetSlowCalls(worker, 0);
  }
}

// Without faults ends have to be acknowledged in time, whatever the load.
void Soak::CheckAcknowledgements()
{
  const std::uint64_t listed = mFleet.GetPlatform().CountListedEnds();
  const std::uint64_t late = mFleet.GetPlatform().CountLateEnds(kAckTime);
  if (late * kMaxLateEndsShare > listed)
    mFindings.push_back(std::to_string(late) + " of " + std::to_string(listed) +
                        " ends were not acknowledged in time");
}

Async<void> Soak::CheckEnds()
{
  const TimePoint deadline = BootClock::now() + kSettle;
  for (const Submission& it : mSubmissions) {
    if (!it.mAccepted) {
      if (!it.mMaybe && mFleet.GetPlatform().CountEnds(it.mId) > 0)
        mFindings.push_back(it.mId + ": said not to have run, but it ran");
      continue;
    }
    std::string state;
    while (BootClock::now() < deadline) {
      auto response = co_await Call(http::verb::get, it.mId, {});
      if (response && response->result() == http::status::gone)
        mFindings.push_back(it.mId + ": accepted, and now unknown");
      if (response && response->result() == http::status::ok)
        state = response->body();
      if (state.find("completed") != std::string::npos || state.find("failed") != std::string::npos)
        break;
      co_await Sleep(milliseconds(100));
    }
    // A task under which two workers have crashed may be given up.
    if (state.find("failed") != std::string::npos &&
        mFleet.GetPlatform().CountCrashes(it.mId) >= kCrashesThatMayEndAJob)
      continue;
    if (state.find("completed") == std::string::npos)
      mFindings.push_back(it.mId + ": accepted, and not completed: " + state);
    else if (mFleet.GetPlatform().CountEnds(it.mId) != it.mTasks)
      mFindings.push_back(it.mId + ": shown as completed with tasks that have not ended");
  }
  for (std::string& it : mFleet.GetPlatform().ReadViolations())
    mFindings.push_back(std::move(it));
  mContext.stop();
}

bool Soak::Run()
{
  for (std::size_t n = 0; n < mFleet.Count(); ++n)
    mFleet.Get(n).mStoreLink->SetFaults({ .mDelay = mOptions.mStoreDelay });
  asio::co_spawn(mContext, SubmitJobs(), asio::detached);
  if (mOptions.mFaults) {
    asio::co_spawn(mContext, InjectFaults(), asio::detached);
    asio::co_spawn(mContext, InjectWorkerFaults(), asio::detached);
    asio::co_spawn(mContext, SlowLinks(), asio::detached);
  }
  asio::co_spawn(
    mContext,
    [this]() -> Async<void> {
      co_await Sleep(mOptions.mTime);
      mOver = true;
      if (!mOptions.mFaults)
        CheckAcknowledgements();
      co_await Sleep(seconds(10));  // the longest fault under way
      for (std::size_t n = 0; n < mFleet.Count(); ++n)
        mFleet.Start(n);
      co_await CheckEnds();
    },
    asio::detached);
  mContext.run();
  std::size_t accepted = 0;
  for (const Submission& it : mSubmissions)
    accepted += it.mAccepted ? 1 : 0;
  std::cout << "seed " << mOptions.mSeed << ": " << mSubmissions.size() << " jobs, " << accepted
            << " accepted, " << mFleet.GetPlatform().CountStarts() << " starts, "
            << mFleet.GetPlatform().CountLateStarts() << " late, " << mFindings.size()
            << " findings\n";
  for (const std::string& it : mFindings)
    std::cout << "  " << it << '\n';
  if (!mFindings.empty()) {
    mFleet.KeepFiles();
    std::cout << "  logs: " << mFleet.GetDirectory() << '\n';
  }
  std::cout.flush();
  return mFindings.empty();
}

}  // namespace

int main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine line("Runs entry processes under random faults and checks what must hold.");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "N", line);
  TCLAP::ValueArg<std::uint32_t> runs("", "runs", "seeds to run", false, 1, "N", line);
  TCLAP::ValueArg<std::uint32_t> time("", "seconds", "of faults in each run", false, 20, "S", line);
  TCLAP::ValueArg<std::uint32_t> processes("", "processes", "entry processes", false, 5, "N", line);
  TCLAP::ValueArg<std::uint32_t> workers("", "workers", "workers", false, 8, "N", line);
  TCLAP::ValueArg<int> faults("", "faults", "0: none", false, 1, "0|1", line);
  TCLAP::ValueArg<std::uint32_t> rate("", "jobs-per-s", "0: 6 to 25", false, 0, "N", line);
  TCLAP::ValueArg<std::uint32_t> delay(
    "", "store-delay-ms", "of each direction", false, 0, "MS", line);
  line.parse(argc, argv);
  int failed = 0;
  for (std::uint32_t n = 0; n < runs.getValue(); ++n) {
    SoakOptions options;
    options.mSeed = seed.getValue() + n;
    options.mTime = seconds(time.getValue());
    options.mProcesses = processes.getValue();
    options.mWorkers = workers.getValue();
    options.mFaults = faults.getValue() != 0;
    options.mJobsPerS = rate.getValue();
    options.mStoreDelay = milliseconds(delay.getValue());
    Soak soak(options);
    failed += soak.Run() ? 0 : 1;
  }
  std::cout << (runs.getValue() - static_cast<std::uint32_t>(failed)) << " passed, " << failed
            << " failed\n";
  return failed == 0 ? 0 : 1;
}
