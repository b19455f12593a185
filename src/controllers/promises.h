// Outage promises: while the store is out, an owner goes on past its lease only while every other
// process of its settings has promised not to take over from it. Sound only if the settings of all
// processes list the same processes.
//
// Index
//   PromiseIssuer    what this process has promised to others
//   PromiseCollector    what others have promised to this process
// Pure state: time is passed in. Users hold their own lock.
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

  // aStoreUnavailable: as this process sees it itself. With mFor zero it only announces an
  // incarnation; then mPromised tells whether this process knew it before.
  [[nodiscard]] OutagePromise Answer(const OutagePromiseRequest& aRequest,
                                     bool aStoreUnavailable,
                                     TimePoint aNow);

  // False while a promise to the victim stands, or while this process is so fresh that its
  // predecessor may have promised. From true on, nothing is promised to the victim until
  // FinishTakeover.
  [[nodiscard]] bool BeginTakeover(const ProcessName& aFailedProcess, TimePoint aNow);
  // aEnded: incarnation that surely ended; 0: the takeover lost, and nothing of it is under way.
  void FinishTakeover(const ProcessName& aFailedProcess, std::uint64_t aEnded);

private:
  struct Peer
  {
    TimePoint mPromisedUntil{};
    std::uint64_t mMinIncarnation = 0;  // incarnations below are superseded or ended
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

  // Each promise counts from this moment, which is before any request is sent.
  std::uint64_t BeginRound(std::uint64_t aIncarnation, TimePoint aNow);
  // Once all have promised: until when this process may act. Late answers of older rounds count
  // nothing.
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
