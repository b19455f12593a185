// Randomized soak: real entry processes against the platform's stand-in, with faults from outside:
// kills, stops, pauses and restarts by signals; a store that is busy, silent or loses answers;
// links that are delayed, cut or frozen by proxies; workers that crash, restart under their ids,
// change their capacity, fall silent, can't reach the store, lose answers or carry out orders late;
// slow links to workers, so that starts take effect late and reports overtake each other;
// other writers of the directory; configurations that replace the queue while it has jobs.
// In a third of the seeds also: writes that are carried out late, cancelled jobs, ends that wait
// for a slow store, a large configuration on slow links; see soak_store.cpp. In a fifth of the
// seeds callers are of teams, whose keys and limits change; see soak_teams.h. What must always hold
// is checked from what callers and workers see.
//
//   fleet_soak --seed 7 --seconds 20 --processes 5 --workers 8 --runs 10
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <iostream>

#include "core/json.h"
#include "tests/soak/soak.h"

namespace monsoon {

namespace {

constexpr Duration kSettle = seconds(90);  // for all accepted jobs to end once the faults are over
constexpr Duration kAckTime = seconds(4);  // the platform's ack_ms
constexpr std::uint64_t kMaxLateEndsShare = 5;       // a fifth of the ends, as its rules allow
constexpr std::uint64_t kCrashesThatMayEndAJob = 2;  // of workers, under the same task
constexpr Duration kContact =
  seconds(4);  // the platform's contact_ms: calm for so long is in touch
// A holder that stays behind a fault may follow a former limit for this long.
constexpr Duration kLimitNotice = seconds(10);

}  // namespace

standin::FleetStandinOptions Soak::MakePlatformOptions(const SoakOptions& aOptions,
                                                       const SoakTeams& aTeams)
{
  standin::FleetStandinOptions platform;
  platform.mWorkers = aOptions.mWorkers;
  platform.mSeed = aOptions.mSeed;
  if (aOptions.mTeams)
    platform.mTeams = aTeams.List();
  if (aOptions.mFaults)
    platform.mLimitNotice = kLimitNotice;
  return platform;
}

Soak::Soak(SoakOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mTeams(aOptions.mSeed, aOptions.mKeyBound)
  , mFleet(mContext,
           MakePlatformOptions(aOptions, mTeams),
           std::vector<double>(aOptions.mProcesses, 1.0),
           "fleet-soak")
  , mCalm(aOptions.mProcesses)
{
}

// Returns whether a process has been in touch since kContact before aSince.
bool Soak::IsInTouch(std::size_t aIndex, TimePoint aSince) const
{
  for (const Calm& it : { mCalm[aIndex], mStoreCalm })
    if (it.mFaults > 0 || aSince < it.mSince + kContact)
      return false;
  return true;
}

Async<Result<HttpResponse>> Soak::Call(http::verb aVerb,
                                       std::string aId,
                                       std::string aBody,
                                       std::string aTeam,
                                       std::string aKey)
{
  const std::size_t index = Draw(mFleet.Count());
  const std::string target = (mOptions.mTeams && aTeam.empty() ? "/open/" : "/q/") + aId;
  KeyedCall call{ aKey, BootClock::now() };
  auto response = co_await mFleet.Call(index, aVerb, target, std::move(aBody), aKey);
  call.mInTouch = IsInTouch(index, call.mSentAt);
  call.mAnswer = response ? response->result() : http::status::unknown;
  if (auto wrong = call.mKey.empty() ? std::nullopt : mTeams.Check(call))
    mFindings.push_back("entry-" + std::to_string(index) + ": " + *wrong);
  co_return response;
}

// Calls for a job with the key of another team, or with none.
Async<void> Soak::CallAsOther(Submission aSubmission, http::verb aVerb)
{
  const std::string team = mTeams.Draw(4) == 0 ? "" : mTeams.DrawOther(aSubmission.mTeam);
  const std::string key = team.empty() ? "" : SoakTeams::GetLastingKey(team);
  auto response = co_await Call(aVerb, aSubmission.mId, {}, team, key);
  if (response && response->result() == http::status::ok)
    mFindings.push_back(aSubmission.mId + ": a job of " + aSubmission.mTeam + " is open to " +
                        (team.empty() ? "anybody" : team));
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
  if (mOptions.mTeams)
    submission.mTeam = mTeams.DrawTeam();
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
  mFleet.GetPlatform().RegisterJob(id, stages, submission.mTeam);
  const std::string payload = "ms=" + std::to_string(millis) + " fail=3";
  const std::string body =
    boost::json::serialize(boost::json::object{ { "spec", payload }, { "steps", steps } });
  for (int n = 0; n < kTries && !submission.mAccepted; ++n) {
    std::string key;
    if (!submission.mTeam.empty())
      key = mTeams.DrawKey(submission.mTeam);
    auto response = co_await Call(http::verb::post, id, body, submission.mTeam, key);
    submission.mAccepted = response && response->result() == http::status::ok;
    const bool notRun = response ? response->result() == http::status::service_unavailable ||
                                     response->result() == http::status::unauthorized
                                 : response.error().mKind == FailureKind::EndpointUnreachable;
    submission.mMaybe = submission.mMaybe || (!submission.mAccepted && !notRun);
    if (!submission.mAccepted)
      co_await Sleep(milliseconds(200));
  }
  mSubmissions.push_back(submission);
  if (submission.mAccepted && !submission.mTeam.empty() && mTeams.Draw(5) == 0)
    co_await CallAsOther(submission, http::verb::delete_);
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
    std::string key;
    if (!it.mTeam.empty()) {
      key = SoakTeams::GetLastingKey(it.mTeam);
      co_await CallAsOther(it, http::verb::get);
    }
    while (BootClock::now() < deadline) {
      auto response = co_await Call(http::verb::get, it.mId, {}, it.mTeam, key);
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
  co_await CheckCancelled();
  for (std::string& it : mFleet.GetPlatform().ReadViolations())
    mFindings.push_back(std::move(it));
  mContext.stop();
}

bool Soak::Run()
{
  for (std::size_t n = 0; n < mFleet.Count(); ++n)
    mFleet.Get(n).mStoreLink->SetFaults({ .mDelay = mOptions.mStoreDelay });
  asio::co_spawn(mContext, SubmitJobs(), asio::detached);
  if (mOptions.mTeams)
    asio::co_spawn(mContext, ChangeTeams(), asio::detached);
  if (mOptions.mFaults) {
    asio::co_spawn(mContext, InjectFaults(), asio::detached);
    asio::co_spawn(mContext, InjectWorkerFaults(), asio::detached);
    asio::co_spawn(mContext, SlowLinks(), asio::detached);
  }
  if (mOptions.mStoreFaults)
    asio::co_spawn(mContext, InjectStoreFaults(), asio::detached);
  if (mOptions.mStoreFaults && !mOptions.mTeams)
    asio::co_spawn(mContext, CancelJobs(), asio::detached);
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
            << mFleet.GetPlatform().CountLateStarts() << " late, " << mCancelled.size()
            << " cancelled, " << mFindings.size() << " findings\n";
  for (const std::string& it : mFindings)
    std::cout << "  " << it << '\n';
  if (!mFindings.empty()) {
    mFleet.KeepFiles();
    std::cout << "  logs: " << mFleet.GetDirectory() << '\n';
  }
  std::cout.flush();
  return mFindings.empty();
}

}  // namespace monsoon

int main(int argc, char** argv)
{
  using namespace monsoon;
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
  TCLAP::ValueArg<int> teams(
    "", "teams", "callers of teams; -1: in a fifth of the seeds", false, -1, "-1|0|1", line);
  TCLAP::ValueArg<int> store("",
                             "store-faults",
                             "of soak_store.cpp; -1: in a third of the seeds",
                             false,
                             -1,
                             "-1|0|1",
                             line);
  TCLAP::ValueArg<std::uint32_t> bound(
    "", "key-bound-ms", "until a revoked key is refused", false, 3000, "MS", line);
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
    options.mTeams = teams.getValue() < 0 ? options.mSeed % 5 == 0 : teams.getValue() != 0;
    const bool hasStoreFaults =
      store.getValue() < 0 ? options.mSeed % 3 == 1 : store.getValue() > 0;
    options.mStoreFaults = hasStoreFaults && options.mFaults;
    options.mKeyBound = milliseconds(bound.getValue());
    options.mStoreDelay = milliseconds(delay.getValue());
    Soak soak(options);
    failed += soak.Run() ? 0 : 1;
  }
  std::cout << (runs.getValue() - static_cast<std::uint32_t>(failed)) << " passed, " << failed
            << " failed\n";
  return failed == 0 ? 0 : 1;
}
