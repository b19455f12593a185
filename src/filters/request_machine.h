// State machine of one request (Boost.MSM): received, reserved, granted, sent, and finally
// answered, refused or unknown. It alone decides whether the caller may be told that the request
// did not run.
#pragma once

#include <memory>

#include "core/errors.h"

namespace monsoon {

enum class RequestState : std::uint8_t
{
  Received,  // has not reserved a slot
  Reserved,  // waits for a grant
  Granted,   // has a grant; no byte was sent to the endpoint
  Sent,      // bytes may have been sent to the endpoint
  Answered,  // final: has a whole answer
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

  // Each event returns false and changes nothing if the current state doesn't allow it.
  bool Reserve();
  bool Grant();
  bool Release();        // the reservation or grant ended unused: back to Received
  bool Send();           // call it before the first byte may be written
  bool Answer();         // a whole answer arrived
  bool RefuseAttempt();  // no byte was written, or the endpoint refused: back to Received
  bool BreakAttempt();   // bytes were written, no whole answer: back to Received, in doubt
  bool MarkInDoubt();    // an earlier call with the same key may have run
  bool Replay();         // the answer of an earlier request with the same key is used
  void GiveUp();         // final: Refused if no attempt can have run, else Unknown

  [[nodiscard]] RequestState GetState() const noexcept;
  [[nodiscard]] bool MayHaveRun() const noexcept;     // sent, or in doubt from an earlier attempt
  [[nodiscard]] Outcome GetOutcome() const noexcept;  // the outcome if the request ended now

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

[[nodiscard]] const char* GetName(RequestState aState) noexcept;

}  // namespace monsoon
