// The process that holds the scheduler's lease: drives a Scheduler with the store, the workers and
// the other processes. Everything runs on one thread; each loop is a coroutine that keeps the
// Holder alive until it sees that the lease is lost.
//
// Index
//   HolderGrant   what makes a process the holder
//   Holder        the calls
#pragma once

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <variant>

#include "fleet/peer_messages.h"
#include "fleet/scheduler.h"
#include "fleet/settings.h"
#include "observe/metrics.h"
#include "platform/store.h"
#include "platform/workers.h"

namespace monsoon::fleet {

// HolderGrant
struct HolderGrant
{
  HolderRecord mRecord{};
  std::uint64_t mKeyRevision = 0;  // of the holder's key; a condition of every write
  std::uint64_t mLease = 0;
  TimePoint mRenewedAt{};  // sending time of the last renewal that was answered
  std::optional<HolderRecord> mPreviousHolder{};
};

// Holder
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
  void StepDown(std::string_view aWhy);       // stops giving orders at once
  Async<void> Resign(std::string_view aWhy);  // stores what is open, then ends the lease
  [[nodiscard]] bool HasSteppedDown() const { return mSteppedDown; }
  [[nodiscard]] std::uint64_t GetEpoch() const { return mGrant.mRecord.mEpoch; }

  [[nodiscard]] double GetLargestCores() const;  // of this process and those that poll it

  // Questions of this and other processes
  Async<StateReply> GetState(std::string aId);
  [[nodiscard]] std::optional<std::size_t> CountPending(const std::string& aQueue) const;
  Async<PollReply> Poll(PollRequest aRequest);
  [[nodiscard]] std::vector<HttpAddress> SampleMembers(const std::string& aExcept);
  void OnJobCancelled(const std::string& aId);
  void OnJobAccepted(const std::string& aId, std::string_view aValue);

private:
  struct Channel  // orders to one worker, a few at a time
  {
    std::deque<std::variant<StartOrder, StopOrder, PaceOrder>> mQueue{};
    std::size_t mActive = 0;
    std::int64_t mClockMs = 0;  // last reading of the worker's clock; 0: none
    TimePoint mClockAt{};
    TimePoint mReportSentAt{};  // of the newest report taken in
    bool mLoopRuns = false;
    std::unique_ptr<asio::steady_timer> mWake{};
  };
  struct Member  // another process, as its polls show it
  {
    std::unique_ptr<asio::steady_timer> mWaiting{};  // null: no poll waits
    std::optional<AdviceOrder> mOrder{};             // handed out with the waiting poll
    HttpAddress mAddress{};
    double mCores = 0;
    TimePoint mPolledAt{};
    TimePoint mStoreServedAt{};  // a call of it that the store served
  };
  struct AdviceCall
  {
    AdviceOrder mOrder{};
    TimePoint mAskedAt{};
    std::string mMember{};  // empty: this process itself
  };

  Async<void> KeepLease();
  Async<void> Load();
  Async<void> AskPreviousHolder();
  Async<void> WatchJobs(std::uint64_t aRevision);
  Async<void> WatchWorkers(std::uint64_t aRevision);
  Async<void> RunPlan();
  Async<void> StoreProgress();
  Async<bool> StoreProgressOnce();  // false: not stored, or another write is under way
  Async<bool> StoreBatch();
  Async<void> RecordWorkers();
  Async<void> CheckHolderKey();
  void ApplyRecordRevisions(
    const platform::StoreOutcome& aOutcome,
    const std::map<std::string, std::optional<std::set<std::string>>>& aWritten);
  Async<void> WatchWorker(std::string aId);
  Async<bool> PollWorker(std::string aId, Duration aWait);
  Async<void> ProbeWorker(std::string aId);
  Async<void> Execute(std::string aId);
  Async<void> ExecuteStart(std::string aId, StartOrder aOrder);
  Async<void> ExecuteStop(std::string aId, StopOrder aOrder);
  Async<void> ExecutePace(std::string aId, PaceOrder aOrder);
  Async<void> CallPolicyServiceLocally(AdviceCall aCall);
  Async<void> ForgetEndedJobs();
  Async<void> YieldToLarger();

  void ApplyJobItem(const platform::StoreItem& aItem, bool aInherited);
  void ApplyWorkerItem(const platform::StoreItem& aItem);
  void EnsureLoop(const std::string& aId);
  void WakePlan();
  void WakeWorker(const std::string& aId);
  void RecordClock(Channel& aChannel, std::int64_t aClockMs, TimePoint aSentAt);
  void FinishAdvice(const AdviceResult& aResult);
  void AssignAdviceCall(AdviceOrder aOrder);
  void ExpireAdvice();
  void Dispatch(Orders aOrders);
  void LogStarts(const std::vector<StartOrder>& aStarts);
  [[nodiscard]] std::size_t CountFreeAdvisors() const;
  [[nodiscard]] bool CanAnotherReachStore() const;
  [[nodiscard]] Duration ChooseReportWait(const Worker& aWorker);
  [[nodiscard]] bool MayStart() const;
  [[nodiscard]] bool MayRenewTaskLeases() const;
  [[nodiscard]] std::int64_t ReadWorkerClock(const Channel& aChannel) const;
  [[nodiscard]] std::optional<platform::WorkerTarget> MakeTarget(const std::string& aId);

  asio::io_context& mContext;
  const EntrySettings& mSettings;
  HttpClient& mClient;
  platform::Store& mStore;
  Metrics& mMetrics;
  HolderGrant mGrant{};
  Scheduler mScheduler;
  FleetConfig mConfig{};
  bool mSteppedDown = false;
  bool mLoaded = false;
  bool mStoring = false;                  // a write of progress is under way
  std::deque<TimePoint> mUnansweredAt{};  // recent calls to workers that got no answer
  bool mRequestsLeaseEnd = false;         // for a member that reaches the store
  bool mPreviousHolderStopped = false;    // it has confirmed that it gives no more orders
  TimePoint mElectedAt{};
  std::map<std::string, Channel> mChannels{};
  std::map<std::string, Member> mMembers{};
  std::map<std::uint64_t, AdviceCall> mAdviceCalls{};  // under way
  bool mLocalAdviceBusy = false;
  std::mt19937_64 mRandom{ std::random_device{}() };
  std::set<std::string> mRecordedWorkers{};  // workers with a record in the store
  std::map<std::string, std::uint64_t> mProgressRevisions{};
  std::map<std::string, std::string> mEarlyProgress{};  // of jobs that are still to be read
  std::set<std::string> mEarlyCancels{};
  asio::steady_timer mPlanTimer;
  bool mPlanWoken = false;
  asio::steady_timer mStoreTimer;
};

}  // namespace monsoon::fleet
