// An entry process: answers callers, follows the configuration, takes part in the election of the
// scheduler's holder, and calls the policy service for the holder.
#pragma once

#include <boost/asio/signal_set.hpp>

#include <deque>
#include <memory>
#include <random>
#include <set>

#include "fleet/holder.h"
#include "fleet/settings.h"
#include "fleet/team_keys.h"
#include "http/server.h"
#include "observe/metrics.h"
#include "policy/return_time.h"

namespace monsoon::fleet {

class Entry
{
public:
  // aFile is reloaded when it changes; only the addresses of the store and the policy service, and
  // the task lease, are applied from it.
  Entry(EntrySettings aSettings, std::string aFile);

  // Serves until SIGTERM. Fails with BadInput for an address that can't be bound.
  Result<void> Run();

private:
  struct HolderView  // the holder of the scheduler's lease, as far as known
  {
    std::optional<HolderRecord> mRecord{};
    std::uint64_t mRevision = 0;
    std::uint64_t mNewestEpoch = 0;  // highest of all records seen
    TimePoint mNewestSeenAt{};       // when the first record with that epoch was seen
  };
  struct ProbeTally  // counts of members, from one round of probes
  {
    std::size_t mAsked = 0;
    std::size_t mAnswered = 0;
    std::size_t mReachHolder = 0;
    std::size_t mServedByStore = 0;
    std::vector<HttpAddress> mServedMembers{};  // by the store, since it failed this process
  };

  // Callers
  Async<HttpResponse> HandleCaller(HttpRequest aRequest);
  Async<HttpResponse> Submit(const QueueConfig& aQueue,
                             CallerAccess aAccess,
                             std::string aId,
                             HttpRequest aRequest);
  Async<HttpResponse> ShowState(CallerAccess aAccess, std::string aId, Duration aBudget);
  Async<HttpResponse> Cancel(CallerAccess aAccess, std::string aId, Duration aBudget);
  Async<HttpResponse> ShowPending(std::string aQueue);
  Async<Result<bool>> StoreJob(std::string aId, const std::string& aValue, Duration aDeadline);
  HttpResponse HandleReady(const HttpRequest& aRequest);
  // Peers
  Async<HttpResponse> HandlePeer(HttpRequest aRequest);
  Async<Result<std::string>> CallHolder(const char* aPath, std::string aBody, CallLimits aLimits);
  Async<Result<std::string>> CallHolder(const char* aPath, std::string aBody, Duration aDeadline)
  {
    return CallHolder(aPath, std::move(aBody), CallLimits{ .mDeadline = aDeadline });
  }
  Async<void> NotifyHolder(const char* aPath, std::string aBody);
  Async<void> PollHolder();
  Async<void> ReplaceLostHolder();
  Async<void> ProbeMember(HttpAddress aAddress,
                          std::string aProbe,
                          std::shared_ptr<ProbeTally> aTally);
  Async<ProbeTally> ProbeMembers(std::uint64_t aEpoch);
  Async<bool> PingHolder(HttpAddress aAddress, std::uint64_t aEpoch);
  Async<void> ProbeStore();
  Async<void> ProbeStoreOnce();
  [[nodiscard]] bool IsStoreDown() const;
  [[nodiscard]] bool IsIsolated() const;
  // Refusals
  [[nodiscard]] OutageView ViewOutage() const;
  HttpResponse MakeRefusal(http::status aStatus);
  Async<Result<void>> RelayJob(std::string aId, std::string aValue);
  Async<Result<void>> StoreThroughMember(HttpAddress aMember, std::string aId, std::string aBody);
  Async<HttpResponse> StoreRelayed(SubmitRequest aJob);
  RefusalDecision JudgeJob(const JobSpec& aSpec);
  Async<bool> MayBeStored(std::string aId);
  HttpResponse MakeHopelessRefusal(const JobSpec& aSpec, const RefusalDecision& aRefusal);
  // Store and election
  Async<std::optional<platform::StorePage>> ReadChanges(
    std::string aPrefix,
    std::uint64_t& aRevision,
    std::size_t aMaxBytes = platform::kMaxResponseBytes);
  Async<void> WatchConfig();
  Async<void> WatchHolder();
  Async<void> Campaign();
  void ApplyConfigItem(const platform::StoreItem& aItem);
  void ApplyConfig(std::string_view aText, std::string_view aSource);
  [[nodiscard]] bool IsConfigDelivered() const;
  void CatchUpConfig(std::uint64_t aVersion);
  Async<void> ReadHolderConfig();
  void ApplyHolderItem(const platform::StoreItem& aItem);
  void SetHolder(HolderRecord aRecord);
  [[nodiscard]] bool IsSelf(const HolderRecord& aRecord) const;
  [[nodiscard]] Duration GetQuietTime() const;
  Async<void> EndHolderLease(std::uint64_t aLease);
  void CampaignIfVacant();
  Async<void> RefreshAfterOutage();
  // Process
  Async<void> WaitForSignals();
  Async<void> WatchSettings();
  Async<void> Stop();
  void Reload(std::string_view aWhy);
  [[nodiscard]] const QueueConfig* FindQueue(std::string_view aHost, std::string_view aPath) const;
  [[nodiscard]] bool IsHolder() const { return mHolder && !mHolder->HasSteppedDown(); }

  asio::io_context mContext{ 1 };
  EntrySettings mSettings{};
  std::string mFile{};
  std::string mFileText{};
  HttpClient mClient{};
  platform::Store mStore;
  FleetConfig mConfig{};
  std::string mConfigText{};                // as stored, for members that the store does not serve
  std::set<std::string> mUnreadPrefixes{};  // whose last read failed
  TimePoint mConfigAt{};                    // when mConfig took effect
  std::uint64_t mAheadVersion = 0;  // of a configuration that the holder has and this process not
  bool mIsReadingConfig = false;    // ReadHolderConfig is running
  TeamKeys mTeamKeys{};
  HolderView mView{};
  std::shared_ptr<Holder> mHolder{};
  std::optional<TimePoint> mHolderFailingSince{};  // first failed call since its last answer
  std::vector<HttpAddress> mMembers{};             // a sample, from the holder's last poll reply
  std::optional<ProbeTally> mTally{};  // set while the store does not serve this process
  TimePoint mTalliedAt{};              // when mTally was last taken
  std::deque<TimePoint> mRefusedAt{};  // recent refusals
  LoadSummary mLoad{};                 // as last published by the holder
  TimePoint mLoadAt{};                 // when it was received
  std::size_t mPendingProbes = 0;      // calls of ProbeStoreOnce in progress
  bool mStopping = false;
  const TimePoint mStartedAt = BootClock::now();
  bool mCampaigning = false;
  std::mt19937_64 mRandom{ std::random_device{}() };
  std::unique_ptr<HttpServer> mCallers{};
  std::unique_ptr<HttpServer> mReady{};
  std::unique_ptr<HttpServer> mPeers{};
  asio::signal_set mSignals;
  Metrics mMetrics{};
};

}  // namespace monsoon::fleet
