// Mutex for coroutines that run on one thread. Waiters acquire the mutex in the order of arrival.
#pragma once

#include <deque>
#include <memory>

#include "core/async.h"

namespace monsoon {

class CoroutineMutex : public std::enable_shared_from_this<CoroutineMutex>
{
public:
  class Guard  // owns the locked mutex; unlocks it when destroyed and keeps it alive until then
  {
  public:
    explicit Guard(std::shared_ptr<CoroutineMutex> aMutex)
      : mMutex(std::move(aMutex))
    {
    }
    Guard(Guard&& aOther) noexcept = default;
    Guard& operator=(Guard&&) = delete;
    ~Guard()
    {
      if (mMutex)
        mMutex->Unlock();
    }

  private:
    std::shared_ptr<CoroutineMutex> mMutex;
  };

  // Waits until the mutex is free and returns a guard that holds it.
  Async<Guard> Lock()
  {
    auto self = shared_from_this();
    if (std::exchange(mLocked, true)) {
      auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
      mWaiters.push_back(waiter);
      while (!waiter->mOwnsMutex)
        [[maybe_unused]] auto [ec] = co_await waiter->mTimer.async_wait(kNoThrow);
    }
    co_return Guard(self);
  }

private:
  struct Waiter  // one coroutine that waits in Lock
  {
    explicit Waiter(const asio::any_io_executor& aExecutor)
      : mTimer(aExecutor, asio::steady_timer::time_point::max())
    {
    }
    asio::steady_timer mTimer;  // never expires; cancelled when this waiter acquires the mutex
    bool mOwnsMutex = false;
  };

  // Passes the mutex to the next waiter without unlocking it in between, so that no other coroutine
  // can acquire it first. Unlocks it when nobody waits.
  void Unlock()
  {
    while (!mWaiters.empty()) {
      auto next = mWaiters.front().lock();
      mWaiters.pop_front();
      if (!next)
        continue;  // the waiter's coroutine was destroyed while it waited
      next->mOwnsMutex = true;
      next->mTimer.cancel();
      return;
    }
    mLocked = false;
  }

  bool mLocked = false;
  std::deque<std::weak_ptr<Waiter>> mWaiters{};
};

}  // namespace monsoon
