// The order in which waiting requests get slots: priority class, then the caller's share, then
// deadline, then age. Pure; time is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model.h"

namespace monsoon {

using Ticket = std::uint64_t;  // names one waiter of a queue

struct Waiter
{
  RequestId mRequest{};
  std::string mCaller{};
  Priority mPriority = Priority::Normal;
  TimePoint mDeadline{};   // waits no longer
  TimePoint mArrivedAt{};  // at its entry process
  Duration mHold{};        // longest use once granted
};

struct FairnessSettings
{
  std::map<std::string, std::uint32_t> mWeights{};  // share by caller; 1 for all others
  std::uint32_t mBurst = 4;  // requests of one caller that are ordered by deadline only
  std::uint32_t mLowestClassInterval = 16;  // every n-th slot goes to the lowest class that waits
};

class WaitingQueue
{
public:
  explicit WaitingQueue(FairnessSettings aSettings = {});

  Ticket Push(Waiter aWaiter);
  bool Remove(Ticket aTicket);  // withdrawn: it counts against nobody's share
  void Serve(Ticket aTicket);   // got a slot: removed, and the queue's time moves on
  [[nodiscard]] const Waiter* Find(Ticket aTicket) const;
  // The first aCount in order of service.
  [[nodiscard]] std::vector<Ticket> ListNext(std::size_t aCount) const;
  [[nodiscard]] std::vector<Ticket> FindByRequest(const RequestId& aRequest) const;
  [[nodiscard]] std::size_t Count() const noexcept;

private:
  static constexpr std::size_t kClasses = 3;

  struct Key  // order inside a class
  {
    std::uint64_t mRound = 0;  // start tag in units of the burst
    TimePoint mDeadline{};
    TimePoint mArrivedAt{};
    Ticket mTicket = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Entry
  {
    Waiter mWaiter{};
    Key mKey{};
    double mTag = 0;  // virtual start time of its caller's turn
  };

  [[nodiscard]] double ComputeCost(const std::string& aCaller) const;
  void Erase(std::map<Ticket, Entry>::iterator aPosition);

  FairnessSettings mSettings;
  std::map<Ticket, Entry> mEntries{};
  std::multimap<RequestId, Ticket> mByRequest{};
  std::set<Key> mSortedKeys[kClasses]{};
  std::map<std::string, double>
    mNextTag[kClasses]{};           // by caller; only those ahead of mVirtualTime
  double mVirtualTime[kClasses]{};  // virtual time: tag of the last served
  Ticket mNextTicket = 1;
  std::uint64_t mServed = 0;
};

}  // namespace monsoon
