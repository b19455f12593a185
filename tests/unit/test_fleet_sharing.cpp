// The scheduler keeps tasks apart that slow each other down, as reports of workers tell.
#include "fleet_jobs.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr Duration kReport = milliseconds(750);

JobSpec MakeImageJob(std::string aId, std::string aImage, std::int64_t aTargetMs, bool aFiller)
{
  JobSpec job = MakeFleetJob(std::move(aId), 1, true);
  job.mStages[0].mImage = std::move(aImage);
  job.mStages[0].mMilliCores = 1000;
  job.mStages[0].mLatencyTargetMs = aTargetMs;
  job.mStages[0].mFiller = aFiller;
  return job;
}

// Workers whose reports list what was started there. Fillers of the image "loud" raise the tails of
// serving tasks beside them from 40 to 130 of 100 ms.
struct SharedFleet
{
  explicit SharedFleet(std::uint64_t aEpoch, TimePoint aFrom)
    : mScheduler({ .mEpoch = aEpoch })
    , mNow(aFrom)
  {
    mScheduler.SetQueues(MakeFleetConfig());
  }

  void AddWorker(const std::string& aId, bool aRecorded = true)
  {
    mScheduler.ListWorker(MakeWorkerEntry(aId), aRecorded, mNow);
    mReports[aId];
    mScheduler.OnReport(aId, mReports[aId], mNow, mNow);
  }

  void Submit(JobSpec aSpec)
  {
    mImages[aSpec.mId] = aSpec.mStages[0].mImage;
    mScheduler.AddJob(std::move(aSpec), {}, false, mNow);
    Step();
  }

  [[nodiscard]] bool IsServing(const std::string& aTask) const
  {
    return mImages.at(aTask.substr(0, aTask.find('.'))) == "portal";
  }

  void Step()
  {
    Apply(mScheduler.Plan(mNow, 0, true, 0));
    mNow += kReport;
    for (auto& [id, report] : mReports) {
      double rise = 0;
      for (RunningTask& it : report.mRunning) {
        const std::uint32_t pace = mPaces.contains(it.mTask) ? mPaces[it.mTask] : 100;
        const bool isLoud = mImages.at(it.mTask.substr(0, it.mTask.find('.'))) == "loud";
        rise += isLoud ? 0.9 * pace : 0;
        it.mActivity = 10.0 * pace;
      }
      for (RunningTask& it : report.mRunning)
        if (IsServing(it.mTask))
          it.mActivity = 40 + rise;
      mScheduler.OnReport(id, report, mNow, mNow);
    }
  }

  void RunFor(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;)
      Step();
  }

  void EndServing(const std::string& aWorker, const std::string& aJob)
  {
    WorkerReport& report = mReports[aWorker];
    std::erase_if(report.mRunning,
                  [&](const RunningTask& aItem) { return aItem.mTask == aJob + ".0.0.0"; });
    report.mEnded.push_back({ 1, aJob + ".0.0.0", 1, EndKind::Done, "" });
    mScheduler.CancelJob(aJob, mNow);
  }

  void Apply(const Orders& aOrders)
  {
    for (const StartOrder& it : aOrders.mStarts) {
      mScheduler.OnStart(it, StartOutcome::Started, mNow);
      RunningTask row;
      row.mTask = it.mTask;
      row.mRun = it.mRun;
      row.mPercent = 100;
      mReports[it.mWorker].mRunning.push_back(row);
      mHosts[it.mTask] = it.mWorker;
    }
    for (const PaceOrder& it : aOrders.mPaces) {
      ++mPaceOrders;
      if (!mLosesOrders)
        mPaces[it.mTask] = it.mPercent;
      mScheduler.OnPace(it, !mLosesOrders, mNow);
    }
  }

  Scheduler mScheduler;
  TimePoint mNow{};
  std::map<std::string, WorkerReport> mReports{};
  std::map<std::string, std::string> mImages{};  // by job
  std::map<std::string, std::string> mHosts{};   // by task
  std::map<std::string, std::uint32_t> mPaces{};
  std::size_t mPaceOrders = 0;
  bool mLosesOrders = false;
};

constexpr TimePoint kFrom{ seconds(2000) };

// Returns a fleet of one worker, with a serving task and a filler of the image "loud".
SharedFleet MakeCrowdedFleet()
{
  SharedFleet fleet(1, kFrom);
  fleet.AddWorker("w0");
  fleet.Submit(MakeImageJob("s", "portal", 100, false));
  fleet.Submit(MakeImageJob("f", "loud", 0, true));
  return fleet;
}

}  // namespace

TEST_CASE(
  "sharing: without room elsewhere a filler is paced until the serving task is below target")
{
  SharedFleet fleet = MakeCrowdedFleet();
  CHECK(fleet.mHosts.at("f.0.0.0") == "w0");  // apart is a preference, no condition
  fleet.RunFor(seconds(4));
  CHECK(fleet.mReports["w0"].mRunning[0].mActivity < 100);
  fleet.RunFor(seconds(20));
  CHECK(fleet.mPaces.at("f.0.0.0") > 0);
  const std::size_t orders = fleet.mPaceOrders;
  fleet.RunFor(seconds(10));
  CHECK(fleet.mReports["w0"].mRunning[0].mActivity < 100);
  CHECK(fleet.mPaceOrders <= orders + 2);  // it comes to rest
}

TEST_CASE("sharing: a filler gets its full pace back when no serving task is left beside it")
{
  SharedFleet fleet = MakeCrowdedFleet();
  fleet.RunFor(seconds(10));
  REQUIRE(fleet.mPaces.at("f.0.0.0") < 100);
  fleet.EndServing("w0", "s");
  // An order that is lost is given again.
  fleet.mLosesOrders = true;
  fleet.RunFor(seconds(2));
  CHECK(fleet.mPaces.at("f.0.0.0") < 100);
  fleet.mLosesOrders = false;
  fleet.RunFor(seconds(2));
  CHECK(fleet.mPaces.at("f.0.0.0") == 100);
  // One without an answer may be carried out after later ones.
  fleet.mPaces["f.0.0.0"] = 0;
  fleet.RunFor(seconds(15));
  CHECK(fleet.mPaces.at("f.0.0.0") == 100);
}

TEST_CASE("sharing: tasks that disturb each other are placed apart where there is room")
{
  SharedFleet fleet = MakeCrowdedFleet();
  fleet.RunFor(seconds(10));
  // The first choice by size alone: the worker with the serving task for another one, which is then
  // the fullest, and any worker with as many idle cores for a filler.
  fleet.AddWorker("w1");
  fleet.Submit(MakeImageJob("s2", "portal", 100, false));
  CHECK(fleet.mHosts.at("s2.0.0.0") == "w1");
  fleet.AddWorker("w2");
  fleet.Submit(MakeFleetJob("x", 1, true));  // leaves the fewest cores idle on its worker
  fleet.Submit(MakeImageJob("f2", "loud", 0, true));
  const std::string& host = fleet.mHosts.at("f2.0.0.0");
  CHECK(host != "w0");
  CHECK(host != fleet.mHosts.at("s2.0.0.0"));
}

TEST_CASE("sharing: a new holder learns the pace of fillers that were slowed before")
{
  SharedFleet first = MakeCrowdedFleet();
  first.RunFor(seconds(8));
  REQUIRE(first.mPaces.at("f.0.0.0") < 100);
  SharedFleet second(2, first.mNow);
  second.mImages = first.mImages;
  second.mPaces = first.mPaces;
  second.mReports = first.mReports;
  second.mReports["w0"].mRunning.erase(second.mReports["w0"].mRunning.begin());
  second.mScheduler.AddJob(MakeImageJob("f", "loud", 0, true), {}, true, second.mNow);
  second.AddWorker("w0");
  second.RunFor(seconds(3));
  CHECK(second.mPaces.at("f.0.0.0") == 100);
}
