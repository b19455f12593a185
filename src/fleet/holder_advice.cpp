// Assigns calls of the policy service to members: each polls the holder, which answers with a call
// to make. Without a polling member, the holder makes the call itself.
#include <algorithm>

#include "fleet/holder_impl.h"
#include "fleet/keys.h"

namespace monsoon::fleet {

namespace {

constexpr Duration kAdviceMargin = milliseconds(1500);  // for queueing and network delay
constexpr std::size_t kMembersPerReply = 4;             // in one PollReply

}  // namespace

std::size_t Holder::CountFreeAdvisors() const
{
  std::size_t n = mSettings.mAdvice && !mLocalAdviceBusy ? 1 : 0;
  for (const auto& [name, it] : mMembers)
    n += it.mWaiting && !it.mOrder ? 1 : 0;
  return n;
}

void Holder::AssignAdviceCall(AdviceOrder aOrder)
{
  AdviceCall call{ std::move(aOrder), BootClock::now() };
  for (auto& [name, member] : mMembers) {
    if (!member.mWaiting || member.mOrder)
      continue;
    call.mMember = name;
    member.mOrder = call.mOrder;
    member.mWaiting->cancel();
    mAdviceCalls[call.mOrder.mNumber] = std::move(call);
    return;
  }
  if (!mSettings.mAdvice)
    return;
  mLocalAdviceBusy = true;
  mAdviceCalls[call.mOrder.mNumber] = call;
  Spawn(mContext, CallPolicyServiceLocally(std::move(call)));
}

Async<void> Holder::CallPolicyServiceLocally(AdviceCall aCall)
{
  auto self = shared_from_this();
  auto answer =
    co_await platform::CallPolicyService(mClient,
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
  auto it = mAdviceCalls.find(aResult.mNumber);
  if (it == mAdviceCalls.end() || mSteppedDown)
    return;
  const AdviceCall call = std::move(it->second);
  mAdviceCalls.erase(it);
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
  for (const auto& [number, call] : mAdviceCalls)
    if (now > call.mAskedAt + milliseconds(call.mOrder.mExpectedMs) + kAdviceMargin + kPollWait)
      expired.push_back(number);
  for (const std::uint64_t number : expired)
    FinishAdvice({ number });
}

// Returns a random sample of members. A member probes them when the holder does not answer.
std::vector<HttpAddress> Holder::SampleMembers(const std::string& aExcept)
{
  const TimePoint now = BootClock::now();
  std::vector<const Member*> all;
  for (const auto& [name, it] : mMembers)
    if (name != aExcept && now - it.mPolledAt < kMemberAge)
      all.push_back(&it);
  std::vector<const Member*> drawn;
  std::sample(all.begin(), all.end(), std::back_inserter(drawn), kMembersPerReply, mRandom);
  std::vector<HttpAddress> addresses;
  for (const Member* it : drawn)
    addresses.push_back(it->mAddress);
  return addresses;
}

// Returns a summary of the load that is at most kLoadInterval old.
const LoadSummary& Holder::GetLoad()
{
  const TimePoint now = BootClock::now();
  if (now - mLoadAt > kLoadInterval) {
    mLoad = mLoaded ? mScheduler.SummarizeLoad(mConfig.mTeams, now) : LoadSummary{};
    mLoadAt = now;
  }
  return mLoad;
}

Async<PollReply> Holder::Poll(PollRequest aRequest)
{
  auto self = shared_from_this();
  PollReply reply;
  for (const AdviceResult& it : aRequest.mResults)
    FinishAdvice(it);
  if (mSteppedDown)
    co_return reply;
  Member& member = mMembers[aRequest.mName];
  if (member.mWaiting)
    member.mWaiting->cancel();  // it abandoned its earlier poll
  auto timer = std::make_unique<asio::steady_timer>(mContext, kPollWait);
  asio::steady_timer* const ownTimer = timer.get();
  member.mWaiting = std::move(timer);
  member.mOrder.reset();
  member.mAddress = aRequest.mAddress;
  member.mCores = aRequest.mCores;
  member.mStoreServedAt = BootClock::now() - milliseconds(aRequest.mStoreServedAgoMs);
  member.mPolledAt = BootClock::now();
  WakePlan();
  co_await ownTimer->async_wait(kNoThrow);
  Member& current = mMembers[aRequest.mName];
  reply.mRequestsLeaseEnd = mRequestsLeaseEnd;
  reply.mConfigVersion = mConfig.mVersion;
  reply.mMembers = SampleMembers(aRequest.mName);
  reply.mLoad = GetLoad();
  if (current.mWaiting.get() != ownTimer)
    co_return reply;  // a newer poll of this member replaced this one
  if (current.mOrder)
    reply.mOrders.push_back(std::move(*current.mOrder));
  current.mOrder.reset();
  current.mWaiting.reset();
  co_return reply;
}

}  // namespace monsoon::fleet
