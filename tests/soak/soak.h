// A run of the soak: callers, faults and checks. See soak.cpp for what it does, soak_faults.cpp for
// the faults, soak_store.cpp for those of the store.
#pragma once

#include <memory>
#include <random>

#include "tests/integration/entry_fleet.h"
#include "tests/soak/soak_teams.h"

namespace monsoon {

struct SoakOptions
{
  std::uint64_t mSeed = 1;
  Duration mTime = seconds(20);
  std::uint32_t mProcesses = 5;
  std::uint32_t mWorkers = 8;
  bool mFaults = true;
  std::uint32_t mJobsPerS = 0;      // 0: 6 to 25
  bool mTeams = false;              // callers are of teams, and need keys
  Duration mKeyBound = seconds(3);  // from the write of a version to its effect; see SoakTeams
  bool mStoreFaults = false;        // see soak_store.cpp
  Duration mStoreDelay{};           // of all links to the store, unless another fault replaces it
};

struct Submission
{
  std::string mId{};
  std::string mTeam{};  // empty: none
  std::uint64_t mTasks = 0;
  bool mAccepted = false;
  bool mMaybe = false;  // some attempt's outcome is unknown
};

struct Calm  // of a process or of the store
{
  std::uint32_t mFaults = 0;  // under way
  TimePoint mSince = BootClock::now();
};

class Disturbance  // a fault, from its construction to its destruction
{
public:
  explicit Disturbance(Calm& aCalm)
    : mCalm(aCalm)
  {
    ++mCalm.mFaults;
  }
  ~Disturbance()
  {
    --mCalm.mFaults;
    mCalm.mSince = BootClock::now();
  }
  Disturbance(const Disturbance&) = delete;
  Disturbance& operator=(const Disturbance&) = delete;

private:
  Calm& mCalm;
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
  Async<void> ChangeTeams();
  Async<void> RevokeBehindCut();
  Async<void> CheckEnds();
  Async<void> InjectStoreFaults();
  Async<void> DelayWrites(Duration aTime);
  Async<void> LoseHolderWithEnds(std::uint32_t aWorker, Duration aSlow, Duration aSilent);
  Async<void> ChangeLargeConfig(std::uint64_t aChanges, bool aIsKilled);
  Async<void> CancelJobs();
  Async<void> CancelJob(std::string aId, std::size_t aProcess, Duration aBudget);
  Async<void> CheckCancelled();
  void SetStoreLinks(testing::LinkFaults aFaults);
  Async<void> CallAsOther(Submission aSubmission, http::verb aVerb);
  Async<Result<HttpResponse>> Call(http::verb aVerb,
                                   std::string aId,
                                   std::string aBody,
                                   std::string aTeam,
                                   std::string aKey);
  [[nodiscard]] bool IsInTouch(std::size_t aIndex, TimePoint aSince) const;
  [[nodiscard]] static standin::FleetStandinOptions MakePlatformOptions(const SoakOptions& aOptions,
                                                                        const SoakTeams& aTeams);
  std::uint64_t Draw(std::uint64_t aBound) { return mRandom() % aBound; }

  SoakOptions mOptions;
  std::mt19937_64 mRandom;
  SoakTeams mTeams;
  asio::io_context mContext{ 1 };
  testing::EntryFleet mFleet;
  std::vector<Submission> mSubmissions{};
  std::vector<std::string> mCancelled{};  // jobs whose cancellation was acknowledged
  std::size_t mMoreQueues = 0;            // changes of the large configuration
  std::vector<std::string> mFindings{};
  std::vector<Calm> mCalm{};  // of each process, with its links
  Calm mStoreCalm{};
  bool mOver = false;
};

}  // namespace monsoon
