// Life cycle of another process as this one sees it. Boost.MSM stays in the source file.
#pragma once

#include <memory>

#include "peer/messages.h"

namespace monsoon {

enum class MemberEvent : std::uint8_t
{
  HeartbeatReceived,  // a newer heartbeat of the same incarnation
  Restarted,          // a newer incarnation
  TimedOut,           // nothing new within the suspicion bound
  StopAnnounced,      // a planned stop was announced
  SuspicionExpired,   // suspected for the whole suspicion time
};

class MemberMachine
{
public:
  MemberMachine();
  ~MemberMachine();
  MemberMachine(MemberMachine&&) noexcept;
  MemberMachine& operator=(MemberMachine&&) noexcept;

  void Process(MemberEvent aEvent);
  [[nodiscard]] MemberState GetState() const noexcept;  // Dead until first heard of

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace monsoon
