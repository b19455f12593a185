// The session lease of a process: `session/<name>` in the store, renewed by compare-and-swap. A
// process acts only while its lease has margin left on its own clock, counted from before the
// renewal was sent.
//
// Index
//   SessionSettings
//   SessionRecord       the value of the key
//   SessionAction       what to do next at the store
//   SessionState        pure state: time is passed in; MayAct may be read from any thread
#pragma once

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "core/concepts.h"

namespace monsoon {

struct SessionSettings
{
  Duration mLease = seconds(3);
  Duration mRenewEvery = seconds(1);
  Duration mDrift = milliseconds(300);         // taken off the lease here, added to it by a taker
  Duration mCallTimeout = milliseconds(1200);  // one lost answer must not cost the lease
  Duration mRetryAfter = milliseconds(300);    // after a store failure
  Duration mSlowCallThreshold =
    milliseconds(300);            // an unanswered call counts as an outage from then on
  bool mExtendByPromises = true;  // go on during an outage while all peers promise
};

struct SessionRecord
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mNonce = 0;  // differs with every write
  bool mEnded = false;
  ProcessName mEndedBy{};
};

[[nodiscard]] std::string MakeSessionKey(std::string_view aProcess);
[[nodiscard]] std::string Encode(const SessionRecord& aRecord);
[[nodiscard]] Result<SessionRecord> DecodeSession(const std::string& aBytes);

enum class SessionStep : std::uint8_t
{
  Wait,      // call Next again after mDelay
  Read,      // then OnRead
  Create,    // then OnWritten
  Swap,      // then OnWritten
  Announce,  // tell the peers of mIncarnation (OutagePromiseRequest without duration), OnAnnounced
};

struct SessionAction
{
  SessionStep mStep = SessionStep::Wait;
  Duration mDelay{};
  std::string mValue{};
  std::uint64_t mRevision = 0;
  std::uint64_t mIncarnation = 0;
};

class SessionState
{
public:
  // aNonce: random per start; its low 32 bits are counted up.
  SessionState(ProcessName aName, SessionSettings aSettings, std::uint64_t aNonce);

  // Driving: call Next, do what it says, report how it went, repeat.
  [[nodiscard]] SessionAction Next(TimePoint aNow);
  void OnRead(const Result<std::optional<StoreValue>>& aRead, TimePoint aNow);
  void OnWritten(const Result<std::uint64_t>& aWritten, TimePoint aNow);
  void OnAnnounced(
    bool aKnown);  // a peer knew the incarnation, and did since the first announcement
  void RequestRenewal(TimePoint aNow);  // renew soon: a peer asks whether the store is out
  void RequestEnd();                    // planned stop: end the session instead of renewing it
  // Lengthens the right to act up to aUntil. Ignored once it has lapsed: a gap can't be bridged.
  bool Extend(std::uint64_t aIncarnation, TimePoint aUntil, TimePoint aNow);

  // Any thread
  [[nodiscard]] bool MayAct(TimePoint aNow) const noexcept;
  [[nodiscard]] std::uint64_t GetIncarnation() const noexcept;  // 0: none
  [[nodiscard]] TimePoint GetDeadline() const noexcept;         // MayAct is false from here on
  // The thread that drives
  [[nodiscard]] bool IsStoreReachable(TimePoint aNow) const noexcept;
  [[nodiscard]] bool IsEnded() const noexcept;  // the planned end stands

private:
  enum class Phase : std::uint8_t
  {
    Unread,
    Absent,
    PreviousHolder,  // live under this name; must stand still for lease + drift
    Ended,           // a record that nobody holds
    Held,
    Released,  // ended by ourselves
  };

  struct Attempt  // a write that may have taken effect
  {
    std::uint64_t mNonce = 0;
    std::uint64_t mIncarnation = 0;
    bool mEnds = false;
    TimePoint mSentAt{};
  };

  SessionAction Write(SessionStep aStep, std::uint64_t aIncarnation, TimePoint aNow);
  SessionAction Wait(TimePoint aUntil, TimePoint aNow) const;
  SessionAction ReplacePreviousHolder(TimePoint aNow);  // a predecessor's key
  void Confirm(const Attempt& aAttempt, std::uint64_t aRevision);
  void LoseSession();
  void RecordContact(bool aAnswered, TimePoint aNow);

  ProcessName mName;
  SessionSettings mSettings;
  std::uint64_t mNonce;
  Phase mPhase = Phase::Unread;
  std::uint64_t mRevision = 0;
  std::uint64_t mSeenIncarnation = 0;  // incarnation of the record that was read
  TimePoint mUnchangedSince{};         // the predecessor's record, as first read
  std::uint32_t mAnnouncements = 0;    // 1: a peer knows; 2: and knew all the while
  bool mMustRead = true;               // before any further write
  bool mEndRequested = false;
  bool mLastCallFailed = false;               // the last call failed
  std::optional<TimePoint> mCallStartedAt{};  // of the call that is under way
  TimePoint mNextAt{};
  TimePoint mRenewalRequestedAt{};
  std::vector<Attempt> mAttempts{};
  std::atomic<std::uint64_t> mIncarnation = 0;
  std::atomic<Duration::rep> mDeadline = 0;  // BootClock, nanoseconds
};

}  // namespace monsoon
