// The states of one request (Boost.MSM): received, reserved, granted, sent, then answered, refused
// or unknown. It alone decides whether "not run" may be told.
#pragma once

#include <memory>

#include "core/errors.h"

namespace monsoon {

enum class RequestState : std::uint8_t
{
  Received,  // no slot is asked for
  Reserved,  // waits for a slot
  Granted,   // has a slot; no byte of the work was written
  Sent,      // bytes of the work may have been written
  Answered,  // final: a whole answer is there
  Refused,   // final: it did not run
  Unknown    // final: it may have run
};

class RequestMachine
{
public:
  RequestMachine();
  ~RequestMachine();
  RequestMachine(RequestMachine&&) noexcept;
  RequestMachine& operator=(RequestMachine&&) noexcept;

  // Each returns false, and changes nothing, when the state does not allow it.
  bool Reserve();
  bool Grant();
  bool Withdraw();       // the reservation or grant ended unused
  bool Send();           // just before the first byte may be written
  bool Answer();         // whole
  bool RefuseAttempt();  // nothing was written, or an explicit refusal: back to Received
  bool BreakAttempt();   // bytes were written and no whole answer came: back to Received, in doubt
  bool Doubt();          // an earlier call with the same key may have run
  bool Replay();         // a recorded answer of an earlier request with the same key
  void GiveUp();         // Refused while no attempt may have run, else Unknown

  [[nodiscard]] RequestState GetState() const noexcept;
  [[nodiscard]] bool MayHaveRun() const noexcept;     // sent now, or an earlier attempt is in doubt
  [[nodiscard]] Outcome GetOutcome() const noexcept;  // what giving up now would tell

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

[[nodiscard]] const char* GetName(RequestState aState) noexcept;

}  // namespace monsoon
