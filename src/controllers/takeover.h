// Ends the session of a failed process: one that no longer renews its lease. Does no I/O; the
// current time is passed in.
#pragma once

#include "controllers/promises.h"

namespace monsoon {

enum class TakeoverStep : std::uint8_t
{
  Wait,     // call Next again soon
  Read,     // then OnRead
  Swap,     // then OnWritten
  Done,     // the incarnations up to GetEnded have certainly ended
  Aborted,  // the process renewed its lease; start anew if it is still suspected
};

struct TakeoverAction
{
  TakeoverStep mStep = TakeoverStep::Wait;
  std::string mValue{};
  std::uint64_t mRevision = 0;
};

class Takeover
{
public:
  // aLatest: newest incarnation of the failed process that owns something.
  Takeover(ProcessName aSelf,
           ProcessName aFailedProcess,
           std::uint64_t aLatest,
           SessionSettings aSettings);

  [[nodiscard]] TakeoverAction Next(PromiseIssuer& aIssuer, TimePoint aNow);
  void OnRead(const Result<std::optional<StoreValue>>& aRead,
              PromiseIssuer& aIssuer,
              TimePoint aNow);
  void OnWritten(const Result<std::uint64_t>& aWritten, PromiseIssuer& aIssuer, TimePoint aNow);

  [[nodiscard]] std::uint64_t GetEnded() const noexcept { return mEnded; }  // 0: none yet
  [[nodiscard]] TimePoint GetInactiveSince() const noexcept { return mInactiveSince; }
  [[nodiscard]] bool IsInProgress() const noexcept { return mInProgress; }  // don't destroy it then

private:
  void Finish(std::uint64_t aEnded, TimePoint aInactiveSince, PromiseIssuer& aIssuer);

  ProcessName mSelf;
  ProcessName mFailedProcess;
  std::uint64_t mLatest;
  SessionSettings mSettings;
  std::optional<StoreValue> mSeenValue{};
  SessionRecord mRecord{};
  TimePoint mUnchangedSince{};
  TimePoint mNextAt{};
  bool mMustRead = true;
  bool mInProgress = false;  // a swap may have taken effect, or still may
  bool mAborted = false;
  std::uint64_t mEnded = 0;
  TimePoint mInactiveSince{};
};

}  // namespace monsoon
