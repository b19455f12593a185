// Stand-in of the users' platform for tests and the soak: its key-value store, its policy service
// and its workers, on loopback, in the published forms. Every start is checked against what must
// always hold, from the workers' side.
//
// Index
//   StandinTeam           a team of callers
//   FleetStandinOptions   size and rates
//   StoreMode             how the store (mis)behaves
//   ForeignEntry          what other writers write into the directory
//   FleetStandin          the stand-in
#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>

#include "http/server.h"

namespace monsoon::standin {

// StandinTeam
struct StandinTeam
{
  std::string mName{};
  std::vector<std::string> mKeys{};
  std::uint64_t mMilliCores = 0;  // limit of what its tasks use at one time; 0: none
};

// FleetStandinOptions
struct FleetStandinOptions
{
  std::uint32_t mWorkers = 6;
  std::uint32_t mMilliCores = 16'000;   // of each worker
  Duration mLongestLease = seconds(6);  // of a task
  Duration mAdviceTime = milliseconds(20);
  double mAdmitted = 0.7;         // share of workers that may run a stage
  std::size_t mEndsListed = 500;  // ends in one report of a worker, at most
  std::uint64_t mSeed = 1;
  std::vector<StandinTeam> mTeams{};  // none: callers need no keys
  // Orders that arrive this much later than a change of a team's limit may still follow the former.
  Duration mLimitNotice = seconds(3);
};

// StoreMode
enum class StoreMode : std::uint8_t
{
  Serving,
  Busy,         // answers 503
  Silent,       // answers nothing
  LosesWrites,  // a third of the writes are done and not answered
  DelaysWrites  // a third of the writes are done 1 to 6 s later, and not answered
};

// ForeignEntry
enum class ForeignEntry : std::uint8_t
{
  AtAddress,  // under a key of its own, at the address of a worker; for up to 6 s
  // In place of the entry of a worker, until its next heartbeat:
  OtherAddress,  // of another worker
  NoPort,        // an address that can't be read
  OtherService,  // one that is not configured
  OtherState,    // one that is not known
  NoCapacity,
  Unreadable
};

struct StandinStage  // what the checks need to know of a job
{
  std::uint32_t mCount = 0;
  std::uint32_t mMilliCores = 0;
  std::vector<std::uint32_t> mAfter{};
};

// FleetStandin: everything runs on the context's one thread; the calls below may come from any.
class FleetStandin
{
public:
  FleetStandin(asio::io_context& aContext, FleetStandinOptions aOptions);
  ~FleetStandin();

  Result<void> Start();
  [[nodiscard]] std::uint16_t GetStorePort() const { return mStorePort; }
  [[nodiscard]] std::uint16_t GetAdvicePort() const { return mAdvicePort; }

  void RegisterJob(const std::string& aId,
                   std::vector<StandinStage> aStages,
                   std::string aTeam = {});
  void SetStoreMode(StoreMode aMode) { mMode = aMode; }
  // Carries writes of this key out aTime later, and does not answer them; empty: of none.
  void DelayWrites(std::string aKey, Duration aTime);
  void SetLostAnswers(double aShare) { mLostAnswers = aShare; }  // of orders to workers
  void SetSilent(std::uint32_t aWorker, bool aSilent);           // it runs on and answers nothing
  void SetLateOrders(double aShare) { mLateOrders = aShare; }    // of starts: seconds late
  // Makes a share of the calls to a worker take up to 0.6 s longer, on the way there or on the way
  // back. So starts take effect after their deadline, and reports overtake each other.
  void SetSlowCalls(std::uint32_t aWorker, double aShare);
  void CrashWorker(std::uint32_t aWorker);  // what it runs is lost; it is back under another id
  void RestartWorker(std::uint32_t aWorker, std::uint32_t aMilliCores);  // ... under the same id
  void ResizeWorker(std::uint32_t aWorker, std::uint32_t aMilliCores);   // it runs on
  void HideWorker(std::uint32_t aWorker, Duration aTime);  // it runs on and can't reach the store
  void WriteForeignEntry(std::uint32_t aWorker, ForeignEntry aKind);
  void ReplaceQueue();  // by one of another name that serves the same requests
  // Adds queues that serve /new-N/, N from 0. Returns the size of the configuration in bytes.
  std::size_t AddQueues(std::size_t aCount);
  // Replaces all teams. Callers need a key, except for the queue under /open/.
  void SetTeams(std::vector<StandinTeam> aTeams);

  [[nodiscard]] std::vector<std::string> ReadViolations() const;
  [[nodiscard]] std::uint64_t CountStarts() const { return mStarts; }
  [[nodiscard]] std::uint64_t CountLateStarts() const { return mLateStarts; }
  // Ends that reports have listed, each one once.
  [[nodiscard]] std::uint64_t CountListedEnds() const;
  // Those that were not acknowledged within aTime since they were first listed.
  [[nodiscard]] std::uint64_t CountLateEnds(Duration aTime) const;
  [[nodiscard]] std::uint64_t CountEnds(const std::string& aJob) const;  // tasks that ended well
  [[nodiscard]] bool IsRunning(const std::string& aJob) const;  // a task of it, on a worker
  // Returns how many workers have crashed while they ran the same task, for the job's worst task.
  [[nodiscard]] std::uint64_t CountCrashes(const std::string& aJob) const;

private:
  struct StoredItem
  {
    std::string mValue{};  // base64
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    std::uint64_t mLease = 0;
  };
  struct Event
  {
    std::uint64_t mRevision = 0;
    std::string mKey{};
    boost::json::object mBody{};
  };
  struct Running;
  struct Ended;
  struct Incarnation;
  struct WorkerState;

  Async<HttpResponse> HandleStore(HttpRequest aRequest);
  Async<HttpResponse> HandleAdvice(HttpRequest aRequest);
  Async<HttpResponse> HandleWorker(std::uint32_t aWorker, HttpRequest aRequest);
  Async<HttpResponse> CarryOut(std::uint32_t aWorker, HttpRequest aRequest, TimePoint aArrivedAt);
  static Async<HttpResponse> NeverAnswer();
  Async<HttpResponse> Watch(std::string aPrefix, std::uint64_t aAfter, Duration aWait);
  Async<HttpResponse> Hold(std::uint32_t aWorker, boost::json::value aBody);
  HttpResponse Commit(const boost::json::value& aBody);
  [[nodiscard]] std::optional<Duration> ChooseDelay(const boost::json::value& aTransaction);
  Async<HttpResponse> CommitLate(boost::json::value aTransaction, Duration aDelay);
  HttpResponse List(const std::string& aPrefix, const std::string& aAfter) const;
  HttpResponse StartTask(std::uint32_t aWorker,
                         const boost::json::value& aBody,
                         TimePoint aArrivedAt);
  HttpResponse StopTask(std::uint32_t aWorker, const boost::json::value& aBody);
  Async<void> StartLate(std::uint32_t aWorker, std::uint32_t aLife, boost::json::value aBody);
  void CheckStart(const WorkerState& aWorker, const std::string& aTask, const StandinStage& aStage);
  void CheckTeamLimit(const std::string& aTask, const StandinStage& aStage, TimePoint aArrivedAt);
  [[nodiscard]] std::uint64_t GetAllowedUse(const std::string& aTeam, TimePoint aArrivedAt) const;
  void Acknowledge(WorkerState& aWorker, std::uint64_t aNumber);
  static bool AcceptToken(WorkerState& aWorker, const boost::json::value& aBody);
  [[nodiscard]] HttpResponse MakeReport(WorkerState& aWorker) const;
  [[nodiscard]] static std::string MakeTicket(const std::string& aStage,
                                              const WorkerState& aWorker);
  [[nodiscard]] static std::uint32_t GetAllowedMilliCores(const WorkerState& aWorker);
  void BeginLife(WorkerState& aWorker, std::uint32_t aMilliCores);
  Async<void> FinishRestart(std::uint32_t aWorker, std::uint32_t aLife, std::uint32_t aMilliCores);
  Async<void> Hide(std::uint32_t aWorker, std::uint32_t aHiding, Duration aTime);
  Async<void> AnnounceLater(std::uint32_t aWorker, Duration aLag);
  Async<void> RemoveLater(std::string aKey, Duration aLag);
  Async<void> RunClock();
  void Advance(WorkerState& aWorker);
  void Write(const std::string& aKey, const std::string& aValue, std::uint64_t aLease);
  void PutText(const std::string& aKey, const std::string& aText);
  void Remove(const std::string& aKey);
  void EndLease(std::uint64_t aLease);
  void Record(const std::string& aKey, boost::json::object aEvent);
  Result<void> ListenAs(std::uint32_t aWorker, WorkerState& aState);  // at its port, if it has one
  [[nodiscard]] static boost::json::object MakeEntry(const WorkerState& aWorker);
  void Announce(std::uint32_t aWorker);
  void WriteConfig();
  [[nodiscard]] boost::json::object MakeQueue(std::string aName, std::string aPrefix) const;
  void Complain(std::string aWhat);
  [[nodiscard]] static boost::json::object MakeItem(const std::string& aKey,
                                                    const StoredItem& aItem);
  [[nodiscard]] const StandinStage* FindStage(const std::string& aTask) const;
  [[nodiscard]] bool Happens(double aShare);
  [[nodiscard]] Duration Draw(Duration aLeast, Duration aMost);

  asio::io_context& mContext;
  FleetStandinOptions mOptions;
  std::mt19937_64 mRandom;
  std::unique_ptr<HttpServer> mStore{};
  std::unique_ptr<HttpServer> mAdvice{};
  std::uint16_t mStorePort = 0;
  std::uint16_t mAdvicePort = 0;
  std::atomic<StoreMode> mMode = StoreMode::Serving;
  std::atomic<double> mLostAnswers = 0;
  std::atomic<double> mLateOrders = 0;
  std::atomic<std::uint64_t> mStarts = 0;
  std::atomic<std::uint64_t> mLateStarts = 0;

  mutable std::recursive_mutex mLock{};  // guards all below
  std::uint64_t mRevision = 1;
  std::map<std::string, StoredItem> mItems{};
  std::vector<Event> mHistory{};
  std::string mDelayedKey{};  // see DelayWrites
  Duration mWriteDelay{};
  std::uint64_t mFirstRevision = 0;  // watches from before it are told to list again
  std::map<std::uint64_t, std::pair<Duration, TimePoint>> mLeases{};  // lifetime, end
  std::uint64_t mNextLease = 1;
  std::uint64_t mNextForeign = 0;
  std::uint64_t mConfigVersion = 0;
  std::size_t mAddedQueues = 0;  // by AddQueues
  std::vector<std::unique_ptr<WorkerState>> mWorkers{};
  std::map<std::string, std::vector<StandinStage>> mJobs{};
  std::map<std::string, std::string> mTeamsOfJobs{};
  std::vector<StandinTeam> mTeams{};
  // Limits that were replaced, by team, with the last time at which an order may follow them.
  std::multimap<std::string, std::pair<TimePoint, std::uint64_t>> mFormerLimits{};
  std::map<std::string, std::uint64_t> mCrashes{};  // task → workers that crashed while they ran it
  std::set<std::string> mDone{};                    // tasks with a good end
  std::set<std::string> mNoted{};                   // ... that was taken note of
  std::map<std::string, TimePoint> mLastStarts{};  // of tasks
  std::vector<Duration> mAcknowledgedAfter{};      // times from the first listing of an end
  std::vector<std::string> mViolations{};
};

}  // namespace monsoon::standin
