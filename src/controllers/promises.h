// Outage promises: while the store is unavailable, an owner keeps acting past its lease only while
// every other process of its settings has promised not to take over from it. This is safe only if
// the settings of all processes list the same processes.
//
// Index
//   PromiseIssuer       promises that this process gives to others
//   PromiseCollector    promises that others give to this process
// Both do no I/O, take the current time as an argument and are not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>

#include "controllers/session.h"

namespace monsoon {

class PromiseIssuer
{
public:
  PromiseIssuer(SessionSettings aSettings, TimePoint aStartedAt);

  // Promises only while this process finds the store unavailable itself. A request with mFor 0 only
  // announces an incarnation; then mPromised tells whether this process already knew it.
  [[nodiscard]] OutagePromise Answer(const OutagePromiseRequest& aRequest,
                                     bool aStoreUnavailable,
                                     TimePoint aNow);

  // Returns false while a promise to aFailedProcess is in force, or while a promise of this
  // process's previous incarnation may be. Once it has returned true, nothing is promised to
  // aFailedProcess until FinishTakeover.
  [[nodiscard]] bool BeginTakeover(const ProcessName& aFailedProcess, TimePoint aNow);
  // aEnded: newest incarnation that has certainly ended; 0: the takeover was aborted, and none of
  // its writes is pending.
  void FinishTakeover(const ProcessName& aFailedProcess, std::uint64_t aEnded);

private:
  struct Peer
  {
    TimePoint mPromisedUntil{};
    std::uint64_t mMinIncarnation = 0;  // lower ones were superseded or have ended
    std::uint64_t mAnnouncedIncarnation = 0;
    bool mTakeoverInProgress = false;
  };

  SessionSettings mSettings;
  TimePoint mStartedAt;
  std::map<ProcessName, Peer> mPeers{};
};

class PromiseCollector
{
public:
  PromiseCollector(std::vector<ProcessName> aPeers, SessionSettings aSettings);

  // Starts a round of requests and returns its number. Call it before sending the requests:
  // promises count from aNow.
  std::uint64_t BeginRound(std::uint64_t aIncarnation, TimePoint aNow);
  // Returns until when this process may act once all peers have promised in the current round, else
  // std::nullopt. Late answers to older rounds are ignored.
  std::optional<TimePoint> OnAnswer(std::uint64_t aRound, const ProcessName& aPeer, bool aPromised);
  [[nodiscard]] std::span<const ProcessName> ListPeers() const noexcept;
  [[nodiscard]] std::uint64_t GetRoundIncarnation() const noexcept;

private:
  std::vector<ProcessName> mPeers;
  SessionSettings mSettings;
  std::uint64_t mRound = 0;
  std::uint64_t mIncarnation = 0;
  TimePoint mRoundStartedAt{};
  std::set<ProcessName> mPromised{};
};

}  // namespace monsoon
