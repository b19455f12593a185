// A fleet in virtual time for tests of fleet::Scheduler: workers that run, end, lose answers, carry
// orders out late, crash and fall silent; a policy service; a store that survives the scheduler.
// Every start is checked against what must always hold; mViolations lists what did not.
#pragma once

#include <functional>
#include <random>

#include "fleet/scheduler.h"

namespace monsoon::fleet {

struct FleetFaults
{
  double mLostAnswer = 0;    // share of orders that are carried out without an answer
  double mLate = 0;          // share that gets no answer and is carried out 2 to 12 s later
  double mFailure = 0;       // share of runs that fail
  double mNoConnection = 0;  // share of starts that never reach their worker
  double mCrashPerS = 0;     // of each worker; it is back under another id after a second
  double mSilencePerS = 0;   // of each worker; it runs on and answers nothing for up to 8 s
  double mStallPerS = 0;     // of each worker; its tasks stand still for up to 6 s
  double mTakeoverPerS = 0;  // the scheduler is replaced by an empty one
};

class FleetModel
{
public:
  FleetModel(std::uint64_t aSeed, FleetFaults aFaults, std::size_t aWorkers);

  void SetQueue(QueueConfig aQueue);
  void Submit(JobSpec aSpec);
  void Cancel(const std::string& aId);
  void RunFor(Duration aTime);
  void StopFaults() { mFaults = {}; }
  void TakeOver();
  [[nodiscard]] const Job* FindJob(const std::string& aId) const
  {
    return mScheduler->FindJob(aId);
  }
  [[nodiscard]] std::size_t CountStarts(const std::string& aTask) const;
  [[nodiscard]] Scheduler& GetScheduler() { return *mScheduler; }
  void SetRunTime(std::string aJob, Duration aTime) { mRunTimes[std::move(aJob)] = aTime; }
  // The worker that runs this task runs on and answers nothing for so long.
  void Silence(const std::string& aTask, Duration aTime);
  // The tasks of the worker that runs this one stand still for so long.
  void Stall(const std::string& aTask, Duration aTime);
  // The next start order, and only it, gets this outcome without reaching its worker.
  void FailNextStart(StartOutcome aOutcome) { mNextStart = aOutcome; }

  std::vector<std::string> mViolations{};
  std::size_t mAloneEnds = 0;

private:
  struct Running
  {
    StartOrder mOrder{};
    TimePoint mEndAt{};
    EndKind mEnd = EndKind::Done;
    TimePoint mArrivedAt{};
  };
  struct Node
  {
    WorkerEntry mEntry{};
    bool mUp = true;
    TimePoint mSilentUntil{};
    TimePoint mStalledUntil{};
    TimePoint mAdvancedAt{};
    TimePoint mLeaseUntil{};
    std::uint64_t mToken = 0;
    std::vector<Running> mRunning{};
    std::vector<EndedTask> mEnded{};
    std::uint64_t mNextEnd = 1;
    std::map<std::string, std::uint64_t> mClosed{};  // task → highest run stopped or ended
  };

  void At(Duration aDelay, std::function<void()> aAction);
  [[nodiscard]] bool Happens(double aShare);
  void Tick();
  void Hold(const std::string& aId);
  void Advance(Node& aNode);
  [[nodiscard]] double ReadPercent(const Running& aRunning) const;
  void End(Node& aNode, std::size_t aIndex, EndKind aKind);
  void Deliver(const StartOrder& aOrder, std::uint64_t aEpoch, TimePoint aSentAt);
  void SendStart(const StartOrder& aOrder);
  void SendStop(const StopOrder& aOrder);
  void StoreProgress();
  void RecordWorkers();
  void Inject();
  void AddNode(std::string aId, std::string aAddress);
  void Complain(std::string aWhat);
  [[nodiscard]] const StageSpec* FindStage(const std::string& aTask, const JobSpec** aJob) const;

  std::mt19937_64 mRandom{};
  FleetFaults mFaults{};
  TimePoint mNow{ seconds(1000) };
  std::multimap<TimePoint, std::function<void()>> mEvents{};
  std::map<std::string, Node> mNodes{};
  std::size_t mNextNode = 0;
  std::uint64_t mEpoch = 1;
  std::unique_ptr<Scheduler> mScheduler{};
  FleetConfig mConfig{};
  std::map<std::string, JobSpec> mJobs{};
  std::map<std::string, std::string> mProgress{};
  std::set<std::string> mCancelled{};
  std::map<std::string, std::string> mRecorded{};         // worker → address, as stored
  std::map<std::string, std::set<std::string>> mFinal{};  // what silent workers may run, as stored
  std::map<std::string, std::size_t> mStarts{};
  std::set<std::string> mNoted{};  // tasks whose good end was taken note of
  std::map<std::string, std::size_t> mFailures{};
  std::map<std::string, Duration> mRunTimes{};
  std::optional<StartOutcome> mNextStart{};
  bool mTicking = false;
};

}  // namespace monsoon::fleet
