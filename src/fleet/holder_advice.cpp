// Policy calls, dealt out to the processes that poll.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kAdviceMargin = milliseconds(1500);  // queueing and travel of a policy call
constexpr std::size_t kMembersNamed = 4;                // in one answer to a poll

}  // namespace

std::size_t Holder::CountFreeAdvisors() const
{
  std::size_t n = mSettings.mAdvice && !mLocalAdviceBusy ? 1 : 0;
  for (const auto& [name, it] : mMembers)
    n += it.mWaiting && !it.mOrder ? 1 : 0;
  return n;
}

void Holder::HandOut(AdviceOrder aOrder)
{
  AdviceCall call{ std::move(aOrder), BootClock::now() };
  for (auto& [name, member] : mMembers) {
    if (!member.mWaiting || member.mOrder)
      continue;
    call.mMember = name;
    member.mOrder = call.mOrder;
    member.mWaiting->cancel();
    mAdvice[call.mOrder.mNumber] = std::move(call);
    return;
  }
  if (!mSettings.mAdvice)
    return;
  mLocalAdviceBusy = true;
  mAdvice[call.mOrder.mNumber] = call;
  Spawn(mContext, AskLocally(std::move(call)));
}

Async<void> Holder::AskLocally(AdviceCall aCall)
{
  auto self = shared_from_this();
  auto answer = co_await platform::Advise(mClient,
                                          *mSettings.mAdvice,
                                          aCall.mOrder,
                                          milliseconds(aCall.mOrder.mExpectedMs) + kAdviceMargin);
  mLocalAdviceBusy = false;
  AdviceResult result;
  result.mNumber = aCall.mOrder.mNumber;
  result.mAnswered = answer.has_value();
  if (answer) {
    result.mAdmitted = std::move(answer->mAdmitted);
    result.mValidMs = std::chrono::duration_cast<milliseconds>(answer->mValid).count();
  }
  FinishAdvice(result);
}

void Holder::FinishAdvice(const AdviceResult& aResult)
{
  auto it = mAdvice.find(aResult.mNumber);
  if (it == mAdvice.end() || mDeposed)
    return;
  const AdviceCall call = std::move(it->second);
  mAdvice.erase(it);
  const TimePoint now = BootClock::now();
  mMetrics.GetHistogram("fleet_policy_call_seconds").Record(now - call.mAskedAt);
  Log(LogPart::Place,
      aResult.mAnswered ? LogLevel::Info : LogLevel::Warn,
      aResult.mAnswered ? "the policy service answered" : "the policy service did not answer",
      { { "stage", call.mOrder.mStage },
        { "asked", call.mOrder.mWorkers.size() },
        { "admitted", aResult.mAdmitted.size() },
        { "by", call.mMember },
        { "valid_ms", aResult.mValidMs },
        { "took_ms", now - call.mAskedAt } });
  mScheduler.OnAdvice(call.mOrder,
                      aResult.mAnswered ? &aResult.mAdmitted : nullptr,
                      milliseconds(aResult.mValidMs),
                      call.mAskedAt,
                      now);
  WakePlan();
}

void Holder::ExpireAdvice()
{
  const TimePoint now = BootClock::now();
  std::vector<std::uint64_t> expired;
  for (const auto& [number, call] : mAdvice)
    if (now > call.mAskedAt + milliseconds(call.mOrder.mExpectedMs) + kAdviceMargin + kPollWait)
      expired.push_back(number);
  for (const std::uint64_t number : expired)
    FinishAdvice({ number });
}

// Other members, for probes while this process is silent.
std::vector<HttpAddress> Holder::DrawMembers(const std::string& aExcept)
{
  std::vector<HttpAddress> all;
  for (const auto& [name, it] : mMembers)
    if (name != aExcept && BootClock::now() - it.mPolledAt < kMemberAge)
      all.push_back(it.mAddress);
  std::vector<HttpAddress> drawn;
  std::sample(all.begin(), all.end(), std::back_inserter(drawn), kMembersNamed, mRandom);
  return drawn;
}

Async<PollReply> Holder::Poll(PollRequest aRequest)
{
  auto self = shared_from_this();
  PollReply reply;
  for (const AdviceResult& it : aRequest.mResults)
    FinishAdvice(it);
  if (mDeposed)
    co_return reply;
  Member& member = mMembers[aRequest.mName];
  if (member.mWaiting)
    member.mWaiting->cancel();  // its earlier poll was given up
  auto timer = std::make_unique<asio::steady_timer>(mContext, kPollWait);
  asio::steady_timer* const mine = timer.get();
  member.mWaiting = std::move(timer);
  member.mOrder.reset();
  member.mAddress = aRequest.mAddress;
  member.mCores = aRequest.mCores;
  member.mStoreServedAt = BootClock::now() - milliseconds(aRequest.mStoreServedAgoMs);
  member.mPolledAt = BootClock::now();
  WakePlan();
  co_await mine->async_wait(kNoThrow);
  Member& now = mMembers[aRequest.mName];
  reply.mHasResigned = mHasResigned;
  reply.mMembers = DrawMembers(aRequest.mName);
  if (now.mWaiting.get() != mine)
    co_return reply;
  if (now.mOrder)
    reply.mOrders.push_back(std::move(*now.mOrder));
  now.mOrder.reset();
  now.mWaiting.reset();
  co_return reply;
}

}  // namespace monsoon::fleet
