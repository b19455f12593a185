// Concurrent calls to several processes.
#pragma once

#include <memory>
#include <vector>

#include "core/concepts.h"

namespace monsoon {

struct PeerCall
{
  ProcessName mTo{};
  PeerRequest mRequest{};
};

namespace detail {

struct PendingCalls
{
  explicit PendingCalls(const asio::any_io_executor& aExecutor, std::size_t aCount)
    : mReplies(aCount, MakeFailure(FailureKind::Internal))
    , mRemaining(aCount)
    , mDone(aExecutor, asio::steady_timer::time_point::max())
  {
  }
  std::vector<Result<PeerReply>> mReplies;
  std::size_t mRemaining = 0;
  asio::steady_timer mDone;
};

template<PeerCaller Peers>
Async<void> CallOne(Peers& aPeers,
                    PeerCall aCall,
                    Duration aDeadline,
                    std::shared_ptr<PendingCalls> aCalls,
                    std::size_t aIndex)
{
  auto reply = co_await aPeers.Call(aCall.mTo, aCall.mRequest, aDeadline);
  aCalls->mReplies[aIndex] = std::move(reply);
  if (--aCalls->mRemaining == 0)
    aCalls->mDone.cancel();
}

}  // namespace detail

// Sends all calls at once and returns their replies in the order of the calls. Runs on the calling
// coroutine's executor, which must be a single thread or a strand.
template<PeerCaller Peers>
Async<std::vector<Result<PeerReply>>> CallAll(Peers& aPeers,
                                              std::vector<PeerCall> aCalls,
                                              Duration aDeadline)
{
  if (aCalls.empty())
    co_return std::vector<Result<PeerReply>>();
  const auto executor = co_await asio::this_coro::executor;
  auto calls = std::make_shared<detail::PendingCalls>(executor, aCalls.size());
  for (std::size_t i = 0; i < aCalls.size(); ++i)
    asio::co_spawn(
      executor, detail::CallOne(aPeers, std::move(aCalls[i]), aDeadline, calls, i), asio::detached);
  while (calls->mRemaining > 0) {
    [[maybe_unused]] auto [ec] = co_await calls->mDone.async_wait(kNoThrow);
  }
  co_return std::move(calls->mReplies);
}

}  // namespace monsoon
