// A deadline for reading one request; internal to the server.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <memory>

#include "core/async.h"

namespace monsoon {

// Bounds the reading of one request. tcp_stream's own timeout closes the socket, and then the
// caller could not be told; this one only cancels.
class ReadDeadline
{
public:
  explicit ReadDeadline(boost::beast::tcp_stream& aStream)
    : mTimer(aStream.get_executor())
    , mShared(std::make_shared<Shared>(Shared{ &aStream }))
  {
  }
  ~ReadDeadline() { mShared->mStream = nullptr; }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  void Start(Duration aTimeout)
  {
    mShared->mPassed = false;
    const std::uint64_t round = ++mShared->mRound;
    mTimer.expires_after(aTimeout);
    mTimer.async_wait([shared = mShared, round](boost::system::error_code aError) {
      if (aError || !shared->mStream || shared->mRound != round)
        return;
      shared->mPassed = true;
      shared->mStream->cancel();
    });
  }
  void End()
  {
    ++mShared->mRound;
    mTimer.cancel();
  }
  [[nodiscard]] bool HasPassed() const { return mShared->mPassed; }

private:
  struct Shared  // outlives the connection while a handler is queued
  {
    boost::beast::tcp_stream* mStream = nullptr;
    std::uint64_t mRound = 0;
    bool mPassed = false;
  };

  asio::steady_timer mTimer;
  std::shared_ptr<Shared> mShared;
};

}  // namespace monsoon
