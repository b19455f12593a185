// The order in which waiting requests get slots: by priority class, then by the caller's weighted
// fair share, then by deadline, then by arrival. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model.h"

namespace monsoon {

using Ticket = std::uint64_t;  // identifies one waiter of a queue

struct Waiter
{
  RequestId mRequest{};
  std::string mCaller{};
  Priority mPriority = Priority::Normal;
  TimePoint mDeadline{};   // gives up waiting then
  TimePoint mArrivedAt{};  // when its entry process accepted it
  Duration mHold{};        // maximum time that it uses the slot
};

struct FairnessSettings
{
  std::map<std::string, std::uint32_t> mWeights{};  // weight by caller; 1 for callers not listed
  std::uint32_t mBurst = 4;  // consecutive requests of a caller that may be reordered by deadline
  std::uint32_t mLowestClassInterval = 16;  // every n-th slot goes to the lowest waiting class
};

class WaitingQueue
{
public:
  explicit WaitingQueue(FairnessSettings aSettings = {});

  Ticket Push(Waiter aWaiter);
  bool Remove(Ticket aTicket);  // without a slot; not charged to its caller's share
  void Serve(Ticket aTicket);   // removes a waiter that got a slot; advances virtual time
  [[nodiscard]] const Waiter* Find(Ticket aTicket) const;
  // Returns the first aCount waiters in the order in which they get slots.
  [[nodiscard]] std::vector<Ticket> ListNext(std::size_t aCount) const;
  [[nodiscard]] std::vector<Ticket> FindByRequest(const RequestId& aRequest) const;
  [[nodiscard]] std::size_t Count() const noexcept;

private:
  static constexpr std::size_t kClasses = 3;

  struct Key  // order within a priority class
  {
    std::uint64_t mRound = 0;  // start tag divided by mBurst
    TimePoint mDeadline{};
    TimePoint mArrivedAt{};
    Ticket mTicket = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Entry
  {
    Waiter mWaiter{};
    Key mKey{};
    double mTag = 0;  // start tag: the virtual time at which it is to be served
  };

  [[nodiscard]] double ComputeCost(const std::string& aCaller) const;
  void Erase(std::map<Ticket, Entry>::iterator aPosition);

  FairnessSettings mSettings;
  std::map<Ticket, Entry> mEntries{};
  std::multimap<RequestId, Ticket> mByRequest{};
  std::set<Key> mSortedKeys[kClasses]{};
  std::map<std::string, double> mNextTag[kClasses]{};  // by caller; tag of its next waiter
  double mVirtualTime[kClasses]{};                     // largest start tag served so far
  Ticket mNextTicket = 1;
  std::uint64_t mServed = 0;
};

}  // namespace monsoon
