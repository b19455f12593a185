#include "tests/integration/proxy.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <random>
#include <set>
#include <vector>

namespace monsoon::testing {

using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr std::size_t kChunkBytes = 64 * 1024;
constexpr std::size_t kSlowChunkBytes = 8 * 1024;  // so that connections share a slow link
constexpr Duration kFreezePoll = milliseconds(5);

struct Pair
{
  explicit Pair(tcp::socket aClient)
    : mClient(std::move(aClient))
    , mServer(mClient.get_executor())
  {
  }
  tcp::socket mClient;
  tcp::socket mServer;
  void Close()
  {
    boost::system::error_code ignored;
    mClient.close(ignored);
    mServer.close(ignored);
  }
};

}  // namespace

struct Proxy::State : std::enable_shared_from_this<State>
{
  State(asio::io_context& aContext, std::uint16_t aTarget, std::uint64_t aSeed)
    : mContext(aContext)
    , mTarget(aTarget)
    , mRandom(aSeed)
    , mAcceptor(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mUdp(aContext,
           udp::endpoint(asio::ip::address_v4::loopback(), mAcceptor.local_endpoint().port()))
  {
  }

  asio::io_context& mContext;
  std::uint16_t mTarget;
  std::mt19937_64 mRandom;
  tcp::acceptor mAcceptor;
  udp::socket mUdp;
  LinkFaults mFaults{};
  bool mStopped = false;
  std::array<TimePoint, 2>
    mFreeAt{};  // of requests and answers, when the link has sent all of them
  std::set<std::shared_ptr<Pair>> mPairs{};

  Duration PickDelay()
  {
    if (mFaults.mJitter <= Duration::zero())
      return mFaults.mDelay;
    return mFaults.mDelay + Duration(std::uniform_int_distribution<Duration::rep>(
                              0, mFaults.mJitter.count())(mRandom));
  }
  // Returns for how long the link is busy with these and earlier bytes of that direction.
  Duration Occupy(std::size_t aBytes, bool aAnswers)
  {
    if (mFaults.mBytesPerS == 0)
      return {};
    const TimePoint now = BootClock::now();
    TimePoint& freeAt = mFreeAt[aAnswers ? 1 : 0];
    freeAt = std::max(now, freeAt) + Duration(seconds(1)) * static_cast<Duration::rep>(aBytes) /
                                       static_cast<Duration::rep>(mFaults.mBytesPerS);
    return freeAt - now;
  }
  Async<void> Accept();
  Async<void> Open(std::shared_ptr<Pair> aPair);
  Async<void> Pump(std::shared_ptr<Pair> aPair, bool aAnswers);
  Async<void> ForwardDatagrams();
  Async<void> SendLater(std::shared_ptr<std::vector<char>> aBytes, Duration aDelay);
  void CloseAll();
};

void Proxy::State::CloseAll()
{
  for (const auto& pair : mPairs)
    pair->Close();
  mPairs.clear();
}

Async<void> Proxy::State::Pump(std::shared_ptr<Pair> aPair, bool aAnswers)
{
  auto self = shared_from_this();
  tcp::socket& from = aAnswers ? aPair->mServer : aPair->mClient;
  tcp::socket& to = aAnswers ? aPair->mClient : aPair->mServer;
  std::vector<char> buf(kChunkBytes);
  while (!mStopped) {
    const std::size_t room = mFaults.mBytesPerS > 0 ? kSlowChunkBytes : buf.size();
    auto [readError, n] = co_await from.async_read_some(asio::buffer(buf, room), kNoThrow);
    if (readError)
      break;
    if (aAnswers && mFaults.mCutAnswers > 0) {
      --mFaults.mCutAnswers;
      break;
    }
    const Duration delay = PickDelay() + Occupy(n, aAnswers);
    if (delay > Duration::zero())
      co_await Sleep(delay);
    while (mFaults.mFrozen && !mStopped)
      co_await Sleep(kFreezePoll);
    if (mFaults.mCut)
      break;
    auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buf, n), kNoThrow);
    if (writeError)
      break;
  }
  aPair->Close();
  mPairs.erase(aPair);
}

Async<void> Proxy::State::Open(std::shared_ptr<Pair> aPair)
{
  auto self = shared_from_this();
  const tcp::endpoint target(asio::ip::address_v4::loopback(), mTarget);
  auto [ec] = co_await aPair->mServer.async_connect(target, kNoThrow);
  if (ec || mFaults.mCut) {
    aPair->Close();
    co_return;
  }
  boost::system::error_code ignored;
  aPair->mClient.set_option(tcp::no_delay(true), ignored);
  aPair->mServer.set_option(tcp::no_delay(true), ignored);
  mPairs.insert(aPair);
  asio::co_spawn(mContext, Pump(aPair, false), asio::detached);
  asio::co_spawn(mContext, Pump(aPair, true), asio::detached);
}

Async<void> Proxy::State::Accept()
{
  auto self = shared_from_this();
  while (!mStopped) {
    auto [ec, socket] = co_await mAcceptor.async_accept(kNoThrow);
    if (mStopped)
      break;
    if (ec || mFaults.mCut)
      continue;
    asio::co_spawn(mContext, Open(std::make_shared<Pair>(std::move(socket))), asio::detached);
  }
}

Async<void> Proxy::State::SendLater(std::shared_ptr<std::vector<char>> aBytes, Duration aDelay)
{
  auto self = shared_from_this();
  co_await Sleep(aDelay);
  boost::system::error_code ignored;
  if (!mStopped)
    mUdp.send_to(
      asio::buffer(*aBytes), udp::endpoint(asio::ip::address_v4::loopback(), mTarget), 0, ignored);
}

Async<void> Proxy::State::ForwardDatagrams()
{
  auto self = shared_from_this();
  std::vector<char> buf(kChunkBytes);
  udp::endpoint from;
  while (!mStopped) {
    auto [ec, n] = co_await mUdp.async_receive_from(asio::buffer(buf), from, kNoThrow);
    if (mStopped)
      break;
    if (ec)
      continue;
    const bool lost =
      std::uniform_real_distribution<double>(0, 1)(mRandom) < mFaults.mDropDatagrams;
    if (lost || mFaults.mCut || mFaults.mFrozen)
      continue;
    auto bytes = std::make_shared<std::vector<char>>(buf.begin(),
                                                     buf.begin() + static_cast<std::ptrdiff_t>(n));
    asio::co_spawn(mContext, SendLater(std::move(bytes), PickDelay()), asio::detached);
  }
}

Proxy::Proxy(ProxyThread& aThread, std::uint16_t aTargetPort, std::uint64_t aSeed)
  : mState(std::make_shared<State>(aThread.GetContext(), aTargetPort, aSeed))
{
  asio::co_spawn(mState->mContext, mState->Accept(), asio::detached);
  asio::co_spawn(mState->mContext, mState->ForwardDatagrams(), asio::detached);
}

Proxy::~Proxy()
{
  asio::post(mState->mContext, asio::use_future([state = mState] {
               state->mStopped = true;
               boost::system::error_code ignored;
               state->mAcceptor.close(ignored);
               state->mUdp.close(ignored);
               state->CloseAll();
             }))
    .wait();
}

std::uint16_t Proxy::GetPort() const
{
  return mState->mAcceptor.local_endpoint().port();
}

void Proxy::SetFaults(LinkFaults aFaults)
{
  asio::post(mState->mContext, asio::use_future([state = mState, aFaults] {
               state->mFaults = aFaults;
               if (aFaults.mCut)
                 state->CloseAll();
             }))
    .wait();
}

ProxyThread::ProxyThread()
  : mWork(asio::make_work_guard(mContext))
  , mThread([this] { mContext.run(); })
{
}

ProxyThread::~ProxyThread()
{
  mContext.stop();
  mThread.join();
}

}  // namespace monsoon::testing
