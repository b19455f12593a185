// The operators' configuration: changes are accepted only after their entry stands in the journal
// `config`, and a lower revision is never shown. Satisfies ConfigurationView.
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
  Duration mConfirmWithin = seconds(5);  // without a confirmed head for longer: not confirmed
  Duration mChangeDeadline = seconds(10);
  Duration mRetryAfter = milliseconds(50);
  Duration mCheckEvery = milliseconds(100);
  FollowerSettings mFollower{};
};

template<JournalLike Journal, Store StoreType, PeerCaller Peers>
class ConfigurationController
{
public:
  // Everything runs on aExecutor's one thread; the views and Change may be called from any.
  // aSelf and aNonce (random per start) make the ids of changes unique.
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

  // aWatches: whether this process watches the store. aStoreOutForAll: this process and all its
  // peers find the store out.
  Async<void> Run(std::function<bool()> aWatches, std::function<bool()> aStoreOutForAll);
  void Stop()
  {
    mStopped = true;
    mFollower.Stop();
  }

  // The revision at which the entries came into force, after they stand.
  // Conflict: aExpected is not the present revision, which the detail and GetConfiguration tell;
  // nothing was changed. StoreUnavailable: nothing was changed. WriteUnknown: it may yet stand.
  Async<Result<Revision>> Change(std::optional<Revision> aExpected,
                                 std::vector<ConfigurationEntry> aEntries)
  {
    auto answer = co_await asio::co_spawn(
      mExecutor, ChangeHere(aExpected, std::move(aEntries)), asio::use_awaitable);
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

  // ConfigurationView: any thread
  [[nodiscard]] std::shared_ptr<const Configuration> GetConfiguration() const
  {
    return mTable.Get();
  }
  [[nodiscard]] bool IsConfirmed() const
  {
    const Duration at(mConfirmedAt.load());
    return mOutForAll.load() ||
           BootClock::now().time_since_epoch() - at <= mSettings.mConfirmWithin;
  }
  [[nodiscard]] const ConfigurationTable& GetTable() const noexcept { return mTable; }

private:
  Async<Result<Revision>> ChangeHere(std::optional<Revision> aExpected,
                                     std::vector<ConfigurationEntry> aEntries);
  Async<void> WatchConfirmation(std::function<bool()> aStoreOutForAll);
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
  std::atomic<bool> mOutForAll = false;
};

template<JournalLike J, Store S, PeerCaller P>
Async<void> ConfigurationController<J, S, P>::WatchConfirmation(
  std::function<bool()> aStoreOutForAll)
{
  while (!mStopped) {
    if (mFollower.GetConfirmedAt() != TimePoint{})
      mConfirmedAt = mFollower.GetConfirmedAt().time_since_epoch().count();
    mOutForAll = mFollower.IsLoaded() && aStoreOutForAll();
    co_await Sleep(mSettings.mCheckEvery);
  }
}

template<JournalLike J, Store S, PeerCaller P>
Async<void> ConfigurationController<J, S, P>::Run(std::function<bool()> aWatches,
                                                  std::function<bool()> aStoreOutForAll)
{
  asio::co_spawn(mExecutor, WatchConfirmation(aStoreOutForAll), asio::detached);
  co_await mFollower.Run(aWatches);
}

// The premise of a change is what is applied when its append is sent: the append takes the very
// next place, or fails. A lost answer is resolved by what stands at that place; until something
// does, the same bytes are sent there again.
template<JournalLike J, Store S, PeerCaller P>
Async<Result<Revision>> ConfigurationController<J, S, P>::ChangeHere(
  std::optional<Revision> aExpected,
  std::vector<ConfigurationEntry> aEntries)
{
  ConfigurationChange change;
  change.mId = mIdPrefix + std::to_string(mNextId++);
  change.mEntries = std::move(aEntries);
  const std::string bytes = Encode(change);
  const TimePoint deadline = BootClock::now() + mSettings.mChangeDeadline;
  std::optional<Sequence> doubt;  // the place at which an append may have taken effect, or may yet
  if (aExpected && *aExpected > mTable.GetApplied())
    co_await mFollower.Refresh();
  while (true) {
    const auto standing = mTable.FindChange(change.mId);
    if (standing)
      co_return *standing;
    if (doubt && mTable.GetApplied() >= *doubt)
      doubt.reset();  // another's entry stands there
    if (!doubt && aExpected && *aExpected != mTable.GetApplied())
      co_return MakeConflict(*aExpected);
    const Sequence place = mTable.GetApplied() + 1;
    const auto appended = co_await mFollower.Append(bytes);
    if (appended)
      co_return *appended;
    const FailureKind kind = appended.error().mKind;
    const bool refused =
      kind == FailureKind::StoreUnavailable || kind == FailureKind::BudgetExhausted;
    if (refused && !doubt)
      co_return appended.error();
    if (!refused && kind != FailureKind::Conflict)
      doubt = place;
    if (BootClock::now() >= deadline && !mTable.FindChange(change.mId))
      co_return MakeFailure(doubt ? FailureKind::WriteUnknown : FailureKind::Timeout,
                            "configuration change " + change.mId);
    if (kind != FailureKind::Conflict)
      co_await Sleep(mSettings.mRetryAfter);
  }
}

}  // namespace monsoon
