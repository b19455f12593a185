// Life cycle of one resource at the process that owns it. Boost.MSM stays in the source file.
#pragma once

#include <cstdint>
#include <memory>

namespace monsoon {

enum class OwnerState : std::uint8_t
{
  NotOwned,
  Owned,        // may act, while the session lease has margin
  HandingOver,  // acts no more; the hand-over may or may not stand in the journal yet
};

enum class OwnerEvent : std::uint8_t
{
  Gained,           // the journal names this process
  HandoverBegun,    // before the entry is sent
  HandoverRefused,  // the journal went on without the entry
  Lost,             // the journal names another, or the session is over
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
