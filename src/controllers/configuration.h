// The operators' configuration. A change is accepted only after its entry was committed to the
// journal `config`, and the revision that readers see never decreases. Satisfies ConfigurationView.
#pragma once

#include <atomic>
#include <functional>

#include "controllers/configuration_table.h"
#include "controllers/journal_follower.h"
#include "observe/log.h"

namespace monsoon {

inline constexpr const char* kConfigurationJournal = "config";

struct ConfigurationSettings
{
  Duration mConfirmWithin = seconds(5);  // IsConfirmed: how recently the head was confirmed
  Duration mChangeDeadline = seconds(10);
  Duration mRetryAfter = milliseconds(50);      // pause between two attempts of one change
  Duration mCheckInterval = milliseconds(100);  // between updates of what IsConfirmed reads
  FollowerSettings mFollower{};
};

template<JournalLike Journal, Store StoreType, PeerCaller Peers>
class ConfigurationController
{
public:
  // Everything runs on aExecutor's one thread; the views and Change may be called from any thread.
  // aSelf and aNonce (random for each start of the process) make the ids of changes unique.
  ConfigurationController(asio::any_io_executor aExecutor,
                          StoreType& aStore,
                          std::unique_ptr<Journal> aJournal,
                          Peers& aPeers,
                          ProcessName aSelf,
                          std::uint64_t aNonce,
                          ConfigurationSettings aSettings)
    : mExecutor(std::move(aExecutor))
    , mJournal(std::move(aJournal))
    , mFollower(aStore, *mJournal, aPeers, mTable, kConfigurationJournal, aSettings.mFollower)
    , mIdPrefix(std::move(aSelf) + "/" + std::to_string(aNonce) + "/")
    , mSettings(aSettings)
  {
  }

  // Keeps the configuration up to date until Stop. aWatches: whether this process watches the
  // store. aStoreDownForAll: whether the store is unavailable to this process and to all its peers.
  Async<void> Run(std::function<bool()> aWatches, std::function<bool()> aStoreDownForAll);
  void Stop()
  {
    mStopped = true;
    mFollower.Stop();
  }

  // Commits the entries and returns the revision at which they took effect. Conflict: aExpected is
  // not the current revision, which is in the failure's detail and in GetConfiguration; nothing was
  // changed. StoreUnavailable: nothing was changed. WriteUnknown: the change may be committed, now
  // or later.
  Async<Result<Revision>> Change(std::optional<Revision> aExpected,
                                 std::vector<ConfigurationEntry> aEntries)
  {
    auto answer = co_await asio::co_spawn(
      mExecutor, ChangeOnExecutor(aExpected, std::move(aEntries)), asio::use_awaitable);
    if (answer)
      Log(LogPart::Config, LogLevel::Info, "accepted a change", { { "revision", *answer } });
    else
      Log(LogPart::Config,
          LogLevel::Warn,
          "did not accept a change",
          { { "reason", GetName(answer.error().mKind) }, { "detail", answer.error().mDetail } });
    co_return answer;
  }

  void OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow)
  {
    for (const JournalHead& head : aHeartbeat.mHeads)
      if (head.mJournal == kConfigurationJournal)
        mFollower.OnHead(aHeartbeat.mFrom, head, aNow);
  }
  void AddHeads(std::vector<JournalHead>& aHeads, TimePoint aNow) const
  {
    if (mFollower.IsLoaded())
      aHeads.push_back(mFollower.GetHead(aNow));
  }
  [[nodiscard]] JournalSlice OnFetch(const JournalFetch& aFetch) const
  {
    return mFollower.OnFetch(aFetch);
  }

  // ConfigurationView: may be called from any thread
  [[nodiscard]] std::shared_ptr<const Configuration> GetConfiguration() const
  {
    return mTable.Get();
  }
  [[nodiscard]] bool IsConfirmed() const
  {
    const Duration at(mConfirmedAt.load());
    return mStoreDownForAll.load() ||
           BootClock::now().time_since_epoch() - at <= mSettings.mConfirmWithin;
  }
  [[nodiscard]] const ConfigurationTable& GetTable() const noexcept { return mTable; }

private:
  Async<Result<Revision>> ChangeOnExecutor(std::optional<Revision> aExpected,
                                           std::vector<ConfigurationEntry> aEntries);
  Async<void> WatchConfirmation(std::function<bool()> aStoreDownForAll);
  [[nodiscard]] Failure MakeConflict(Revision aExpected) const
  {
    return MakeFailure(FailureKind::Conflict,
                       "expected revision " + std::to_string(aExpected) + ", present revision " +
                         std::to_string(mTable.GetApplied()));
  }

  asio::any_io_executor mExecutor;
  ConfigurationTable mTable{};
  std::unique_ptr<Journal> mJournal;
  JournalFollower<Journal, StoreType, Peers, ConfigurationTable> mFollower;
  std::string mIdPrefix;
  std::uint64_t mNextId = 1;
  ConfigurationSettings mSettings;
  std::atomic<bool> mStopped = false;
  std::atomic<Duration::rep> mConfirmedAt = std::numeric_limits<Duration::rep>::min() / 2;
  std::atomic<bool> mStoreDownForAll = false;
};

template<JournalLike J, Store S, PeerCaller P>
Async<void> ConfigurationController<J, S, P>::WatchConfirmation(
  std::function<bool()> aStoreDownForAll)
{
  while (!mStopped) {
    if (mFollower.GetConfirmedAt() != TimePoint{})
      mConfirmedAt = mFollower.GetConfirmedAt().time_since_epoch().count();
    mStoreDownForAll = mFollower.IsLoaded() && aStoreDownForAll();
    co_await Sleep(mSettings.mCheckInterval);
  }
}

template<JournalLike J, Store S, PeerCaller P>
Async<void> ConfigurationController<J, S, P>::Run(std::function<bool()> aWatches,
                                                  std::function<bool()> aStoreDownForAll)
{
  asio::co_spawn(mExecutor, WatchConfirmation(aStoreDownForAll), asio::detached);
  co_await mFollower.Run(aWatches);
}

// Each attempt appends at exactly the sequence number after what is applied here, so it is
// committed only on top of the revision that was checked; otherwise it fails. When an append's
// answer is lost, the entry that is later read at that number shows whether it was ours. Until an
// entry is there, the same bytes are appended at the same number again.
template<JournalLike J, Store S, PeerCaller P>
Async<Result<Revision>> ConfigurationController<J, S, P>::ChangeOnExecutor(
  std::optional<Revision> aExpected,
  std::vector<ConfigurationEntry> aEntries)
{
  ConfigurationChange change;
  change.mId = mIdPrefix + std::to_string(mNextId++);
  change.mEntries = std::move(aEntries);
  const std::string bytes = Encode(change);
  const TimePoint deadline = BootClock::now() + mSettings.mChangeDeadline;
  // The sequence number at which an append may already be committed, or may be later.
  std::optional<Sequence> uncertain;
  if (aExpected && *aExpected > mTable.GetApplied())
    co_await mFollower.Refresh();
  while (true) {
    const auto committed = mTable.FindChange(change.mId);
    if (committed)
      co_return *committed;
    if (uncertain && mTable.GetApplied() >= *uncertain)
      uncertain.reset();  // another entry was committed there
    if (!uncertain && aExpected && *aExpected != mTable.GetApplied())
      co_return MakeConflict(*aExpected);
    const Sequence next = mTable.GetApplied() + 1;
    const auto appended = co_await mFollower.Append(bytes);
    if (appended)
      co_return *appended;
    const FailureKind kind = appended.error().mKind;
    const bool refused =
      kind == FailureKind::StoreUnavailable || kind == FailureKind::BudgetExhausted;
    if (refused && !uncertain)
      co_return appended.error();
    if (!refused && kind != FailureKind::Conflict)
      uncertain = next;
    if (BootClock::now() >= deadline && !mTable.FindChange(change.mId))
      co_return MakeFailure(uncertain ? FailureKind::WriteUnknown : FailureKind::Timeout,
                            "configuration change " + change.mId);
    if (kind != FailureKind::Conflict)
      co_await Sleep(mSettings.mRetryAfter);
  }
}

}  // namespace monsoon
