// State machine of one resource at the process that owns it. Boost.MSM is included only by the
// source file.
#pragma once

#include <cstdint>
#include <memory>

namespace monsoon {

enum class OwnerState : std::uint8_t
{
  NotOwned,
  Owned,        // may act, until the session lease has expired
  HandingOver,  // must not act; the hand-over may or may not be in the journal yet
};

enum class OwnerEvent : std::uint8_t
{
  Gained,           // the journal names this process as the owner
  HandoverBegun,    // just before the entry is sent
  HandoverRefused,  // the entry was not committed and can't be any more
  Lost,             // the journal names another owner, or the session was lost
};

class OwnerMachine
{
public:
  OwnerMachine();
  ~OwnerMachine();
  OwnerMachine(OwnerMachine&&) noexcept;
  OwnerMachine& operator=(OwnerMachine&&) noexcept;

  void Process(OwnerEvent aEvent);
  [[nodiscard]] OwnerState GetState() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace monsoon
