// Fault-injecting proxy of the tests' own, for TCP and UDP. All proxies of a test share one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "core/async.h"

namespace monsoon::testing {

// What a proxy does to what passes. Set while it runs.
struct LinkFaults
{
  Duration mDelay{};             // added one way, each direction
  Duration mJitter{};            // uniformly added on top; datagrams may overtake each other
  std::uint64_t mBytesPerS = 0;  // each direction, over all connections; 0: unlimited
  double mDropDatagrams = 0;     // share of datagrams lost, 0 … 1
  bool mCut = false;             // connections are closed and refused, datagrams lost
  bool mFrozen = false;  // connections stay, nothing passes until thawed; datagrams are lost
  std::uint32_t mCutAnswers = 0;  // so many next answers are swallowed and their connection closed
};

class ProxyThread;

class Proxy
{
public:
  Proxy(ProxyThread& aThread, std::uint16_t aTargetPort, std::uint64_t aSeed);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  [[nodiscard]] std::uint16_t GetPort() const;  // TCP and UDP on loopback
  void SetFaults(LinkFaults aFaults);           // takes effect before this returns

private:
  struct State;
  std::shared_ptr<State> mState;
};

class ProxyThread
{
public:
  ProxyThread();
  ~ProxyThread();
  asio::io_context& GetContext() { return mContext; }

private:
  asio::io_context mContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::thread mThread;
};

}  // namespace monsoon::testing
