// Ids of jobs that were cancelled while no job of that id was stored. The write of such a job may
// still be on its way: the store may carry out a write that it did not answer seconds later, and a
// process repeats it until its caller's deadline. The holder cancels a job that arrives late, and
// stores the ids for its successor: those that arrive during one write go into the next record.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "fleet/peer_messages.h"

namespace monsoon::fleet {

// Longest deadline of a caller's request; longer ones are cut to it.
inline constexpr Duration kLongestBudget = seconds(60);
// From a caller's request to the last moment at which a write for it may be carried out.
inline constexpr Duration kLongestWrite = kLongestBudget + seconds(30);

class CancelledIds
{
public:
  // Adds an id that is to be stored, again if that was not done lately. Returns false if there are
  // too many.
  [[nodiscard]] bool Add(const CancelledId& aId, TimePoint aNow);
  // Adds a record that is stored under aKey, as of aNow.
  void AddRecord(const std::string& aKey, const CancelledIdsRecord& aRecord, TimePoint aNow);
  // Returns the ids of the next record to be stored, at most kMaxRecordIds; none if all are stored.
  [[nodiscard]] CancelledIdsRecord GetNextRecord() const;
  // aRecord: of GetNextRecord; it was stored under aKey.
  void OnStored(const std::string& aKey, const CancelledIdsRecord& aRecord, TimePoint aNow);
  [[nodiscard]] bool IsStored(const CancelledId& aId) const;  // since it was added
  // Returns whether a caller that may cancel the job has done so.
  [[nodiscard]] bool Contains(const JobSpec& aJob) const;
  // Lists the keys of the records of which no job can arrive any more.
  [[nodiscard]] std::vector<std::string> ListExpired(TimePoint aNow) const;
  void EraseRecord(const std::string& aKey);

private:
  struct Cancellation
  {
    CallerAccess mAccess{};
    std::string mKey{};  // of its newest record; empty: to be stored
  };
  [[nodiscard]] const Cancellation* Find(const CancelledId& aId) const;
  [[nodiscard]] Cancellation* Find(const CancelledId& aId);

  std::multimap<std::string, Cancellation> mById{};
  std::vector<CancelledId> mUnstored{};
  std::map<std::string, TimePoint> mRecords{};  // key → when it was added
};

inline constexpr std::size_t kMaxRecordIds = 1000;
inline constexpr std::size_t kMaxCancelledIds = 20'000;

}  // namespace monsoon::fleet
