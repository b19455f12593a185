// State machine of another process as seen by this one. Boost.MSM is included only by the source
// file.
#pragma once

#include <memory>

#include "peer/messages.h"

namespace monsoon {

enum class MemberEvent : std::uint8_t
{
  HeartbeatReceived,  // a newer heartbeat of the same incarnation
  NewIncarnation,     // a heartbeat of a newer incarnation: restarted, or refuted a suspicion
  TimedOut,           // no update within the timeout, or another member suspects it
  StopAnnounced,      // it announced a planned stop
  SuspicionExpired,   // Suspect for mSuspicion, or another member reports it as Dead
};

class MemberMachine
{
public:
  MemberMachine();
  ~MemberMachine();
  MemberMachine(MemberMachine&&) noexcept;
  MemberMachine& operator=(MemberMachine&&) noexcept;

  void Process(MemberEvent aEvent);
  [[nodiscard]] MemberState GetState() const noexcept;  // Dead until the first heartbeat or gossip

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace monsoon
