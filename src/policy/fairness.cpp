#include "policy/fairness.h"

#include <algorithm>

namespace monsoon {

WaitingQueue::WaitingQueue(FairnessSettings aSettings)
  : mSettings(std::move(aSettings))
{
}

double WaitingQueue::ComputeCost(const std::string& aCaller) const
{
  const auto it = mSettings.mWeights.find(aCaller);
  const std::uint32_t weight = it == mSettings.mWeights.end() ? 1 : std::max(it->second, 1U);
  return 1.0 / weight;
}

// Start-time fair queueing. The start tags of one caller's waiters are one cost apart, so a caller
// with a thousand waiters is served after the first few of every other caller. Tags are fixed on
// arrival, so a sorted set is enough to keep the order.
Ticket WaitingQueue::Push(Waiter aWaiter)
{
  const auto classIndex = static_cast<std::size_t>(aWaiter.mPriority);
  const Ticket ticket = mNextTicket++;
  double& next = mNextTag[classIndex][aWaiter.mCaller];
  Entry entry;
  entry.mTag = std::max(next, mVirtualTime[classIndex]);
  next = entry.mTag + ComputeCost(aWaiter.mCaller);
  entry.mKey = { .mRound = static_cast<std::uint64_t>(entry.mTag / std::max(mSettings.mBurst, 1U)),
                 .mDeadline = aWaiter.mDeadline,
                 .mArrivedAt = aWaiter.mArrivedAt,
                 .mTicket = ticket };
  entry.mWaiter = std::move(aWaiter);
  mSortedKeys[classIndex].insert(entry.mKey);
  mByRequest.emplace(entry.mWaiter.mRequest, ticket);
  mEntries.emplace(ticket, std::move(entry));
  return ticket;
}

void WaitingQueue::Erase(std::map<Ticket, Entry>::iterator aPosition)
{
  const Entry& entry = aPosition->second;
  mSortedKeys[static_cast<std::size_t>(entry.mWaiter.mPriority)].erase(entry.mKey);
  auto [first, last] = mByRequest.equal_range(entry.mWaiter.mRequest);
  const auto it =
    std::find_if(first, last, [&](const auto& aPair) { return aPair.second == aPosition->first; });
  mByRequest.erase(it);
  mEntries.erase(aPosition);
}

bool WaitingQueue::Remove(Ticket aTicket)
{
  const auto it = mEntries.find(aTicket);
  if (it == mEntries.end())
    return false;
  const Waiter& waiter = it->second.mWaiter;
  const auto classIndex = static_cast<std::size_t>(waiter.mPriority);
  // The request got no slot from this queue, so its cost is returned to the caller's share.
  const auto next = mNextTag[classIndex].find(waiter.mCaller);
  if (next != mNextTag[classIndex].end())
    next->second -= ComputeCost(waiter.mCaller);
  Erase(it);
  return true;
}

void WaitingQueue::Serve(Ticket aTicket)
{
  const auto it = mEntries.find(aTicket);
  if (it == mEntries.end())
    return;
  const auto classIndex = static_cast<std::size_t>(it->second.mWaiter.mPriority);
  mVirtualTime[classIndex] = std::max(mVirtualTime[classIndex], it->second.mTag);
  ++mServed;
  Erase(it);
  // A caller whose next tag is not ahead of the virtual time is treated like a new one: drop it.
  if (mNextTag[classIndex].size() > 2 * mSortedKeys[classIndex].size() + 64)
    std::erase_if(mNextTag[classIndex],
                  [&](const auto& aPair) { return aPair.second <= mVirtualTime[classIndex]; });
}

const Waiter* WaitingQueue::Find(Ticket aTicket) const
{
  const auto it = mEntries.find(aTicket);
  return it == mEntries.end() ? nullptr : &it->second.mWaiter;
}

std::vector<Ticket> WaitingQueue::ListNext(std::size_t aCount) const
{
  std::vector<Ticket> tickets;
  const auto append = [&](const std::set<Key>& aOrder) {
    for (auto it = aOrder.begin(); it != aOrder.end() && tickets.size() < aCount; ++it)
      tickets.push_back(it->mTicket);
  };
  // Every mLowestClassInterval-th slot goes to the lowest waiting class first, so that constant
  // urgent load slows lower classes down but cannot starve them.
  const bool lowestFirst =
    mSettings.mLowestClassInterval > 0 &&
    mServed % mSettings.mLowestClassInterval == mSettings.mLowestClassInterval - 1;
  if (lowestFirst)
    std::for_each(std::rbegin(mSortedKeys), std::rend(mSortedKeys), append);
  else
    std::for_each(std::begin(mSortedKeys), std::end(mSortedKeys), append);
  return tickets;
}

std::vector<Ticket> WaitingQueue::FindByRequest(const RequestId& aRequest) const
{
  std::vector<Ticket> tickets;
  const auto [first, last] = mByRequest.equal_range(aRequest);
  for (auto it = first; it != last; ++it)
    tickets.push_back(it->second);
  return tickets;
}

std::size_t WaitingQueue::Count() const noexcept
{
  return mEntries.size();
}

}  // namespace monsoon
