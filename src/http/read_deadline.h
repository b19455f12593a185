// A deadline for reading one HTTP request; internal to the server.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <memory>

#include "core/async.h"

namespace monsoon {

// Cancels the read of a request that takes too long. tcp_stream's own timeout would close the
// socket, so that no error response could be sent; this class only cancels the operation.
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
    mShared->mExpired = false;
    const std::uint64_t generation = ++mShared->mGeneration;
    mTimer.expires_after(aTimeout);
    mTimer.async_wait([shared = mShared, generation](boost::system::error_code aError) {
      if (aError || !shared->mStream || shared->mGeneration != generation)
        return;
      shared->mExpired = true;
      shared->mStream->cancel();
    });
  }
  void Stop()
  {
    ++mShared->mGeneration;
    mTimer.cancel();
  }
  [[nodiscard]] bool HasExpired() const { return mShared->mExpired; }

private:
  struct Shared  // outlives the connection while a timer handler is queued
  {
    boost::beast::tcp_stream* mStream = nullptr;  // null once the ReadDeadline is destroyed
    std::uint64_t mGeneration = 0;                // lets handlers of earlier Starts do nothing
    bool mExpired = false;
  };

  asio::steady_timer mTimer;
  std::shared_ptr<Shared> mShared;
};

}  // namespace monsoon
