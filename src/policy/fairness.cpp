#include "policy/fairness.h"

#include <algorithm>

namespace monsoon {

WaitingQueue::WaitingQueue(FairnessSettings aSettings)
  : mSettings(std::move(aSettings))
{
}

double WaitingQueue::FindCost(const std::string& aCaller) const
{
  const auto it = mSettings.mWeights.find(aCaller);
  const std::uint32_t weight = it == mSettings.mWeights.end() ? 1 : std::max(it->second, 1U);
  return 1.0 / weight;
}

// Start-time fair queueing. A caller's waiters get tags one cost apart, so a caller with a thousand
// of them stands behind the first few of everybody else. Tags are fixed on arrival, which keeps the
// order a plain sorted set.
Ticket WaitingQueue::Push(Waiter aWaiter)
{
  const auto kind = static_cast<std::size_t>(aWaiter.mPriority);
  const Ticket ticket = mNextTicket++;
  double& next = mNextTag[kind][aWaiter.mCaller];
  Place place;
  place.mTag = std::max(next, mTime[kind]);
  next = place.mTag + FindCost(aWaiter.mCaller);
  place.mKey = { .mRound = static_cast<std::uint64_t>(place.mTag / std::max(mSettings.mBurst, 1U)),
                 .mDeadline = aWaiter.mDeadline,
                 .mArrivedAt = aWaiter.mArrivedAt,
                 .mTicket = ticket };
  place.mWaiter = std::move(aWaiter);
  mOrder[kind].insert(place.mKey);
  mByRequest.emplace(place.mWaiter.mRequest, ticket);
  mPlaces.emplace(ticket, std::move(place));
  return ticket;
}

void WaitingQueue::Erase(std::map<Ticket, Place>::iterator aPlace)
{
  const Place& place = aPlace->second;
  mOrder[static_cast<std::size_t>(place.mWaiter.mPriority)].erase(place.mKey);
  auto [first, last] = mByRequest.equal_range(place.mWaiter.mRequest);
  const auto it =
    std::find_if(first, last, [&](const auto& aEntry) { return aEntry.second == aPlace->first; });
  mByRequest.erase(it);
  mPlaces.erase(aPlace);
}

bool WaitingQueue::Remove(Ticket aTicket)
{
  const auto it = mPlaces.find(aTicket);
  if (it == mPlaces.end())
    return false;
  const Waiter& waiter = it->second.mWaiter;
  const auto kind = static_cast<std::size_t>(waiter.mPriority);
  // A reservation that was served elsewhere cost nothing here.
  const auto next = mNextTag[kind].find(waiter.mCaller);
  if (next != mNextTag[kind].end())
    next->second -= FindCost(waiter.mCaller);
  Erase(it);
  return true;
}

void WaitingQueue::Serve(Ticket aTicket)
{
  const auto it = mPlaces.find(aTicket);
  if (it == mPlaces.end())
    return;
  const auto kind = static_cast<std::size_t>(it->second.mWaiter.mPriority);
  mTime[kind] = std::max(mTime[kind], it->second.mTag);
  ++mServed;
  Erase(it);
  // Callers at or behind the present time are as good as new.
  if (mNextTag[kind].size() > 2 * mOrder[kind].size() + 64)
    std::erase_if(mNextTag[kind], [&](const auto& aEntry) { return aEntry.second <= mTime[kind]; });
}

const Waiter* WaitingQueue::Find(Ticket aTicket) const
{
  const auto it = mPlaces.find(aTicket);
  return it == mPlaces.end() ? nullptr : &it->second.mWaiter;
}

std::vector<Ticket> WaitingQueue::ListNext(std::size_t aCount) const
{
  std::vector<Ticket> tickets;
  const auto append = [&](const std::set<Key>& aOrder) {
    for (auto it = aOrder.begin(); it != aOrder.end() && tickets.size() < aCount; ++it)
      tickets.push_back(it->mTicket);
  };
  // A full stream of urgent work may slow lower classes down but never stop them.
  const bool lowestFirst = mSettings.mLowerClassEvery > 0 &&
                           mServed % mSettings.mLowerClassEvery == mSettings.mLowerClassEvery - 1;
  if (lowestFirst)
    std::for_each(std::rbegin(mOrder), std::rend(mOrder), append);
  else
    std::for_each(std::begin(mOrder), std::end(mOrder), append);
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
  return mPlaces.size();
}

}  // namespace monsoon
