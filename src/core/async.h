// Asynchronous code: C++20 coroutines on Asio. This header is expensive to compile; keep it out of
// headers that src/policy and the plain data types of src/core include.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/errors.h"
#include "core/time.h"

namespace monsoon {

namespace asio = boost::asio;

template<class T>
using Async = boost::asio::awaitable<T>;

// Completion token that yields [ec, values...] instead of throwing.
inline constexpr auto kNoThrow = boost::asio::as_tuple(boost::asio::use_awaitable);

// Waits for aDelay on the executor of the running coroutine. Returns early only when the coroutine
// is cancelled.
inline Async<void> Sleep(Duration aDelay)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDelay);
  [[maybe_unused]] auto [ec] = co_await timer.async_wait(kNoThrow);
}

}  // namespace monsoon
