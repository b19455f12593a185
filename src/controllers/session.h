// The session lease of a process: the key `session/<name>` in the store, renewed by
// compare-and-swap. A process acts only until its lease, less the allowed clock drift, has expired
// on its own clock, counted from the moment before it sent the renewal.
//
// Index
//   SessionSettings
//   SessionRecord       value of the key
//   SessionAction       next step that the caller must take
//   SessionState        the protocol; does no I/O, the current time is passed in
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
  Duration mDrift = milliseconds(300);  // its holder subtracts it from the lease, others add it
  Duration mCallTimeout = milliseconds(1200);  // so short that one lost answer can't cost the lease
  Duration mRetryAfter = milliseconds(300);    // after a failed store call
  Duration mSlowCallThreshold = milliseconds(300);  // a call pending for longer is an outage
  bool mExtendByPromises = true;  // extend the lease in a store outage while all peers promise
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
  Announce,  // send peers mIncarnation (OutagePromiseRequest with mFor 0), then OnAnnounced
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
  // aNonce: random per start; incremented with every write.
  SessionState(ProcessName aName, SessionSettings aSettings, std::uint64_t aNonce);

  // In a loop: call Next, execute the action, and report its result.
  [[nodiscard]] SessionAction Next(TimePoint aNow);
  void OnRead(const Result<std::optional<StoreValue>>& aRead, TimePoint aNow);
  void OnWritten(const Result<std::uint64_t>& aWritten, TimePoint aNow);
  // aKnown: a peer that took the previous announcement already knew the incarnation.
  void OnAnnounced(bool aKnown);
  void RequestRenewal(TimePoint aNow);  // renew soon: a peer reports a store outage
  void RequestEnd();                    // planned stop: end the session instead of renewing it
  // Extends the deadline to aUntil. Returns false once the deadline has passed: another process may
  // have acted since.
  bool Extend(std::uint64_t aIncarnation, TimePoint aUntil, TimePoint aNow);

  // Any thread
  [[nodiscard]] bool MayAct(TimePoint aNow) const noexcept;
  [[nodiscard]] std::uint64_t GetIncarnation() const noexcept;  // 0: none
  [[nodiscard]] TimePoint GetDeadline() const noexcept;         // MayAct returns false from then on
  // Only the thread that calls Next
  [[nodiscard]] bool IsStoreReachable(TimePoint aNow) const noexcept;
  [[nodiscard]] bool IsEnded() const noexcept;  // the requested end is complete

private:
  enum class Phase : std::uint8_t
  {
    Unread,          // the key was not read yet
    Absent,          // the key does not exist
    PreviousHolder,  // a live record of another incarnation
    Ended,           // the record is ended or unreadable
    Held,            // by this process
    Released,        // ended by this process
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
  SessionAction ReplacePreviousHolder(TimePoint aNow);
  void Confirm(const Attempt& aAttempt, std::uint64_t aRevision);
  void LoseSession();
  void RecordContact(bool aAnswered, TimePoint aNow);

  ProcessName mName;
  SessionSettings mSettings;
  std::uint64_t mNonce;
  Phase mPhase = Phase::Unread;
  std::uint64_t mRevision = 0;
  std::uint64_t mSeenIncarnation = 0;  // incarnation of the record last read or written
  TimePoint mUnchangedSince{};         // of the previous holder's record
  std::uint32_t mAnnouncements = 0;    // 1: a peer knows the incarnation; 2: confirmed
  bool mMustRead = true;               // before the next write
  bool mEndRequested = false;
  bool mLastCallFailed = false;
  std::optional<TimePoint> mCallStartedAt{};  // of the pending store call
  TimePoint mNextAt{};
  TimePoint mRenewalRequestedAt{};
  std::vector<Attempt> mAttempts{};
  std::atomic<std::uint64_t> mIncarnation = 0;
  std::atomic<Duration::rep> mDeadline = 0;  // BootClock, nanoseconds
};

}  // namespace monsoon
