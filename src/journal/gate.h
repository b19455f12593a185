// Mutual exclusion of coroutines on one thread: the next waiter runs when the holder leaves.
#pragma once

#include <deque>
#include <memory>

#include "core/async.h"

namespace monsoon {

class Gate : public std::enable_shared_from_this<Gate>
{
public:
  class Pass  // leaves the gate when destroyed; keeps it alive until then
  {
  public:
    explicit Pass(std::shared_ptr<Gate> aGate)
      : mGate(std::move(aGate))
    {
    }
    Pass(Pass&& aOther) noexcept = default;
    Pass& operator=(Pass&&) = delete;
    ~Pass()
    {
      if (mGate)
        mGate->Leave();
    }

  private:
    std::shared_ptr<Gate> mGate;
  };

  Async<Pass> Enter()
  {
    auto self = shared_from_this();
    if (std::exchange(mTaken, true)) {
      auto ticket = std::make_shared<Ticket>(co_await asio::this_coro::executor);
      mWaiting.push_back(ticket);
      while (!ticket->mCalled)
        [[maybe_unused]] auto [ec] = co_await ticket->mTimer.async_wait(kNoThrow);
    }
    co_return Pass(self);
  }

private:
  struct Ticket
  {
    explicit Ticket(const asio::any_io_executor& aExecutor)
      : mTimer(aExecutor, asio::steady_timer::time_point::max())
    {
    }
    asio::steady_timer mTimer;  // never expires; cancelled when it is this waiter's turn
    bool mCalled = false;
  };

  // Hands the gate to the next waiter; it stays taken in between.
  void Leave()
  {
    while (!mWaiting.empty()) {
      auto next = mWaiting.front().lock();
      mWaiting.pop_front();
      if (!next)
        continue;  // its coroutine was destroyed while it waited
      next->mCalled = true;
      next->mTimer.cancel();
      return;
    }
    mTaken = false;
  }

  bool mTaken = false;
  std::deque<std::weak_ptr<Ticket>> mWaiting{};
};

}  // namespace monsoon
