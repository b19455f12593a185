// Runs the scheduler in the process that holds its lease: connects a Scheduler to the store, the
// workers and the other entry processes (members). Everything runs on one thread; each loop is a
// coroutine that keeps the Holder alive until the Holder has stepped down.
//
// Index
//   HolderGrant   the lease and epoch won in an election
//   Holder        schedules jobs while it holds the lease
#pragma once

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <variant>

#include "fleet/cancelled_ids.h"
#include "fleet/peer_messages.h"
#include "fleet/scheduler.h"
#include "fleet/settings.h"
#include "fleet/worker_records.h"
#include "observe/metrics.h"
#include "platform/store.h"
#include "platform/workers.h"

namespace monsoon::fleet {

// HolderGrant
struct HolderGrant
{
  HolderRecord mRecord{};
  std::uint64_t mKeyRevision = 0;  // of the holder's key; every write is conditional on it
  std::uint64_t mLease = 0;
  TimePoint mRenewedAt{};  // when the last successful renewal was sent
  std::optional<HolderRecord> mPreviousHolder{};
  TimePoint mPreviousSeenAt{};  // when this process first saw that one hold the lease
  // If this process was the previous holder, before or since its restart: its quiet time.
  std::optional<Duration> mOwnQuietTime{};
};

// Holder
// It hands over to a member with this many times its cores, and smaller candidates wait.
inline constexpr double kHandoverCoreRatio = 1.5;

class Holder : public std::enable_shared_from_this<Holder>
{
public:
  Holder(asio::io_context& aContext,
         const EntrySettings& aSettings,
         HttpClient& aClient,
         platform::Store& aStore,
         Metrics& aMetrics,
         HolderGrant aGrant);

  void Start(const FleetConfig& aConfig);
  void SetConfig(const FleetConfig& aConfig);
  void StepDown(std::string_view aWhy);       // stops sending orders at once
  Async<void> Resign(std::string_view aWhy);  // stores unsaved progress, then ends the lease
  [[nodiscard]] bool HasSteppedDown() const { return mSteppedDown; }
  // Time since the newest start order was sent that may still take effect; at most kQuiet.
  [[nodiscard]] Duration GetQuietTime() const;
  [[nodiscard]] std::uint64_t GetEpoch() const { return mGrant.mRecord.mEpoch; }

  [[nodiscard]] double GetLargestCores() const;  // of this process and its members

  // Calls by this entry process and by members
  Async<StateReply> GetState(std::string aId);
  // Returns whether the job of an encoded JobSpec is known to be stored, for the same team.
  [[nodiscard]] bool KnowsJob(const std::string& aId, std::string_view aSpec) const;
  [[nodiscard]] std::optional<std::size_t> CountPending(const std::string& aQueue) const;
  Async<PollReply> Poll(PollRequest aRequest);
  [[nodiscard]] const LoadSummary& GetLoad();  // made lately
  [[nodiscard]] std::vector<HttpAddress> SampleMembers(const std::string& aExcept);
  void OnJobCancelled(const std::string& aId);
  // Cancels an id of which no job is stored: from now on, a job that arrives late is cancelled.
  // Returns once that is stored. Fails with StoreUnavailable if it isn't by aDeadline, and with
  // RateLimited if there are too many.
  Async<Result<void>> CancelUnstored(CancelledId aId, TimePoint aDeadline);
  void OnJobAccepted(const std::string& aId, std::string_view aValue);

private:
  struct Channel  // queue of orders to one worker and the state of its connection
  {
    std::deque<std::variant<StartOrder, StopOrder, PaceOrder>> mQueue{};
    std::size_t mActive = 0;    // coroutines that send orders, kMaxConcurrentOrders at most
    std::int64_t mClockMs = 0;  // the worker's clock when last read; 0: never
    TimePoint mClockAt{};       // when mClockMs was received
    TimePoint mReportSentAt{};  // when the newest applied report was requested
    bool mLoopRuns = false;     // of WatchWorker
    bool mIsIdle = false;       // WatchWorker pauses because nothing runs there
    std::unique_ptr<asio::steady_timer> mWake{};  // cancelled to end the pause between polls
  };
  struct Stats  // counted since they were last logged
  {
    std::size_t mReports = 0;  // of workers
    std::size_t mListedRunning = 0;
    std::size_t mListedEnds = 0;  // each time that an end is listed
    std::size_t mStarts = 0;
    std::size_t mPlans = 0;
    std::size_t mBatches = 0;  // writes of progress that were stored
    std::size_t mStoredJobs = 0;
  };
  struct Member  // another entry process, as described by its polls
  {
    std::unique_ptr<asio::steady_timer> mWaiting{};  // of its pending poll; null: none
    std::optional<AdviceOrder> mOrder{};             // to be returned by the pending poll
    HttpAddress mAddress{};
    double mCores = 0;
    TimePoint mPolledAt{};       // when its last poll arrived
    TimePoint mStoreServedAt{};  // when the store last answered it
  };
  struct AdviceCall  // a call of the policy service in progress
  {
    AdviceOrder mOrder{};
    TimePoint mAskedAt{};
    std::string mMember{};  // the member that makes the call; empty: this process
  };

  Async<void> KeepLease();  // renews the lease until this process steps down
  Async<void> Load();
  Async<void> AskPreviousHolder();
  Async<Result<platform::StorePage>> AwaitChanges(std::string aPrefix,
                                                  std::uint64_t aRevision,
                                                  bool& aIsFailing);
  Async<void> WatchJobs(std::uint64_t aRevision);
  Async<void> WatchWorkers(std::uint64_t aRevision);
  Async<void> RunPlan();
  Async<void> StoreProgress();
  Async<bool> StoreProgressOnce();  // false: failed, or a write is already in progress
  Async<bool> StoreBatch();
  void OnBatchStored(const ProgressBatch& aBatch);
  Async<void> RecordWorkers();
  Async<void> StoreHandover();  // call it after StepDown, before the lease is ended
  Async<void> CheckHolderKey();
  Async<void> WatchWorker(std::string aId);
  Async<bool> PollWorker(std::string aId, Duration aWait);
  Async<void> PollListedAddress(std::string aId);
  bool DropClosedConnections(const HttpAddress& aTarget, const std::string& aAddress);
  Async<void> ProbeWorker(std::string aId);
  Async<void> Execute(std::string aId);  // sends the queued orders to a worker
  Async<void> ExecuteStart(std::string aId, StartOrder aOrder);
  Async<void> ExecuteStop(std::string aId, StopOrder aOrder);
  Async<void> ExecutePace(std::string aId, PaceOrder aOrder);
  Async<void> CallPolicyServiceLocally(AdviceCall aCall);
  Async<void> LogStats();
  void LogTeamsAtLimit();
  Async<void> ForgetEndedJobs();  // deletes jobs from the store some time after their end
  Async<void> StoreCancelledIds();
  Async<void> ForgetCancelledIds();
  Async<void> YieldToLarger();

  void ApplyJobItem(const platform::StoreItem& aItem, bool aInherited);
  [[nodiscard]] bool MayBeStarted(const platform::StoreItem& aJob) const;
  Async<void> ReadRevisionOfTakeover();
  void ApplyWorkerItem(const platform::StoreItem& aItem, bool aIsRecent);
  void ApplyHandover(std::string_view aRecord);
  void ApplyCancelledIds(const platform::StoreItem& aItem);
  void VerifyAddress(const std::string& aId);  // polls all workers that may be where it is listed
  void ApplyReport(const std::string& aId,
                   const WorkerReport& aReport,
                   std::string_view aAddress,
                   TimePoint aSentAt);
  void EnsureWatched(const std::string& aId);  // runs WatchWorker unless it runs already
  void LogSharing();
  void WakePlan();
  void WakeWorker(const std::string& aId);  // polls it without further pause
  [[nodiscard]] bool IsClockReset(const Channel& aChannel,
                                  std::int64_t aClockMs,
                                  TimePoint aSentAt) const;
  void RecordClock(Channel& aChannel, std::int64_t aClockMs, TimePoint aSentAt);
  void FinishAdvice(const AdviceResult& aResult);
  void AssignAdviceCall(AdviceOrder aOrder);
  void ExpireAdvice();
  void Dispatch(Orders aOrders);  // queues the orders of a plan
  void LogStarts(const std::vector<StartOrder>& aStarts);
  [[nodiscard]] std::size_t CountFreeAdvisors() const;
  [[nodiscard]] bool CanAnotherReachStore() const;
  [[nodiscard]] Duration ChooseReportWait(const Worker& aWorker);
  [[nodiscard]] bool MayStart() const;
  [[nodiscard]] Duration GetStartGrace() const;
  void SetPredecessorQuietAt(TimePoint aAt);
  void OnPredecessorStopped(Duration aQuiet);  // aQuiet: as in ResignReply
  Async<void> RecordSettled();
  [[nodiscard]] bool MayRenewTaskLeases() const;
  [[nodiscard]] std::int64_t EstimateWorkerClock(const Channel& aChannel, TimePoint aAt) const;
  [[nodiscard]] std::optional<platform::WorkerTarget> MakeTarget(const std::string& aId);

  asio::io_context& mContext;
  const EntrySettings& mSettings;
  HttpClient& mClient;
  platform::Store& mStore;
  Metrics& mMetrics;
  HolderGrant mGrant{};
  Scheduler mScheduler;
  FleetConfig mConfig{};
  LoadSummary mLoad{};
  TimePoint mLoadAt{};  // when mLoad was made
  bool mSteppedDown = false;
  bool mLoaded = false;
  bool mStoring = false;                  // StoreBatch is running
  std::deque<TimePoint> mUnansweredAt{};  // times of recent polls without an answer
  bool mRequestsLeaseEnd = false;         // asks members to end its lease
  bool mPreviousHolderStopped = false;    // confirmed that it sends no orders
  // Of the store when no earlier holder could start tasks any more.
  std::optional<std::uint64_t> mTakeoverRevision{};
  TimePoint mPredecessorQuietAt{};  // from then on no order of an earlier holder can take effect
  std::map<std::uint64_t, TimePoint> mUnsettledStarts{};  // by number: sent, effect not known yet
  std::uint64_t mNextStart = 0;
  TimePoint mElectedAt{};                              // when this Holder was constructed
  std::map<std::string, Channel> mChannels{};          // by worker
  std::map<std::string, Member> mMembers{};            // by process name
  std::map<std::uint64_t, AdviceCall> mAdviceCalls{};  // in progress, by number
  bool mLocalAdviceBusy = false;
  Stats mStats{};
  std::mt19937_64 mRandom{ std::random_device{}() };
  WorkerRecords mRecords{};
  std::map<std::string, std::uint64_t> mProgressRevisions{};  // by job, in the store
  std::map<std::string, std::string> mEarlyProgress{};        // progress of jobs not read yet
  std::set<std::string> mEarlyCancels{};                      // cancelled jobs not read yet
  CancelledIds mCancelledIds{};
  bool mStoringCancelledIds = false;  // StoreCancelledIds is running
  asio::steady_timer mPlanTimer;
  bool mPlanWoken = false;
  asio::steady_timer mStoreTimer;
};

}  // namespace monsoon::fleet
