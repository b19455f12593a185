// A simulated fleet in virtual time for tests of fleet::Scheduler: workers that run tasks, lose
// answers, carry out orders late, crash and become unresponsive; a policy service; and a store that
// outlives the scheduler. Each start is checked against the scheduler's invariants; mViolations
// lists those that were broken.
#pragma once

#include <functional>
#include <random>

#include "fleet/scheduler.h"

namespace monsoon::fleet {

struct FleetFaults
{
  double mLostAnswer = 0;    // share of orders that are carried out, but whose answer is lost
  double mDelayed = 0;       // share of starts without an answer, carried out 2 to 12 s later
  double mFailure = 0;       // share of runs that fail
  double mNoConnection = 0;  // share of starts that never reach their worker
  double mCrashPerS = 0;     // crashes of a worker per second; it restarts 1 s later, with a new id
  // Times per second that a worker answers nothing for 0.5 to 8 s, while its tasks go on.
  double mUnresponsivePerS = 0;
  double mStallPerS = 0;  // times per second that a worker's tasks make no progress for 0.5 to 6 s
  double mTakeoverPerS = 0;  // times per second that a new, empty scheduler takes over
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
  // Makes each worker that starts this task crash; it restarts 3 s later, with a new id.
  void SetPoison(std::string aTask) { mPoison.insert(std::move(aTask)); }
  // Makes the worker that runs this task answer nothing for aTime, while its tasks go on.
  void MakeUnresponsive(const std::string& aTask, Duration aTime);
  // Stops the progress of all tasks on the worker that runs this task for aTime.
  void Stall(const std::string& aTask, Duration aTime);
  // Gives this outcome to the next start order, which does not reach its worker.
  void ForceNextStart(StartOutcome aOutcome) { mForcedOutcome = aOutcome; }

  std::vector<std::string> mViolations{};
  std::size_t mAloneEnds = 0;  // EndKind::Alone rows in all reports, repeated ones included

private:
  struct Running
  {
    StartOrder mOrder{};
    TimePoint mEndAt{};
    EndKind mEnd = EndKind::Done;
    TimePoint mStartedAt{};
  };
  struct Node
  {
    WorkerEntry mEntry{};
    bool mUp = true;
    bool mIsReplaced = false;  // another incarnation answers at its address
    TimePoint mUnresponsiveUntil{};
    TimePoint mStalledUntil{};
    TimePoint mAdvancedAt{};
    TimePoint mLeaseUntil{};
    std::uint64_t mToken = 0;
    std::vector<Running> mRunning{};
    std::vector<EndedTask> mEnded{};
    std::uint64_t mNextEnd = 1;
    std::map<std::string, std::uint64_t> mClosed{};  // task → highest run stopped or ended
  };

  void Schedule(Duration aDelay, std::function<void()> aAction);
  [[nodiscard]] bool Happens(double aShare);
  void Tick();
  void PollWorker(const std::string& aId);
  void Advance(Node& aNode);
  [[nodiscard]] double ComputePercent(const Running& aRunning) const;
  void EndRun(Node& aNode, std::size_t aIndex, EndKind aKind);
  void DeliverStart(const StartOrder& aOrder, std::uint64_t aEpoch, TimePoint aSentAt);
  void SendStart(const StartOrder& aOrder);
  void SendStop(const StopOrder& aOrder);
  void StoreProgress();
  void RecordWorkers();
  void InjectFaults();
  void BreakGang(const StartOrder& aMember);
  void CrashUnderTask(const std::string& aId);
  void AddNode(std::string aId, std::string aAddress);
  void ReportViolation(std::string aWhat);
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
  std::map<std::string, std::string> mRecorded{};  // worker → address, as stored
  // Tasks that unresponsive workers may run, as stored.
  std::map<std::string, std::set<std::string>> mFinalTasksByWorker{};
  std::map<std::string, std::vector<SuspectRun>> mSuspectsByWorker{};  // stored with them
  std::map<std::string, std::size_t> mStarts{};
  std::set<std::string> mAcknowledged{};  // tasks whose successful end was acknowledged
  std::map<std::string, std::size_t> mFailures{};
  std::map<std::string, Duration> mRunTimes{};
  std::set<std::string> mPoison{};  // tasks
  std::optional<StartOutcome> mForcedOutcome{};
  bool mTicking = false;
};

}  // namespace monsoon::fleet
