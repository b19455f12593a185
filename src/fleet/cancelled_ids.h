// Ids of jobs that were cancelled while no job of that id was stored. The write of such a job may
// still be on its way: the store may carry out a write that it did not answer seconds later, and a
// process repeats it until its caller's deadline. The holder cancels a job that arrives late, and
// stores the ids for its successor: those that arrive during one write go into the next record.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "fleet/peer_messages.h"

namespace monsoon::fleet {

// Longest deadline of a caller's request; longer ones are cut to it.
inline constexpr Duration kLongestBudget = seconds(60);
// From a caller's request to the last moment at which a write for it may be carried out.
inline constexpr Duration kLongestWrite = kLongestBudget + seconds(30);

struct CancelledIdsWrite
{
  std::string mKey{};
  CancelledIdsRecord mRecord{};
};

class CancelledIds
{
public:
  // Adds an id that is to be stored, again if that was not done lately. Returns false if there are
  // too many.
  [[nodiscard]] bool Add(const CancelledId& aId, TimePoint aNow);
  // Adds a record that is stored under aKey, as of aNow.
  void AddRecord(const std::string& aKey, const CancelledIdsRecord& aRecord, TimePoint aNow);
  // Returns the next record to be written, of at most kMaxRecordIds; empty if all ids are stored.
  [[nodiscard]] std::optional<CancelledIdsWrite> MakeWrite(std::uint64_t aEpoch, TimePoint aNow);
  void OnStored(const CancelledIdsWrite& aWrite);
  [[nodiscard]] bool IsStored(const CancelledId& aId);  // since it was added
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
  [[nodiscard]] Cancellation* Find(const CancelledId& aId);
  void SetKey(const CancelledIdsRecord& aRecord, const std::string& aKey);

  std::multimap<std::string, Cancellation> mById{};
  std::vector<CancelledId> mUnstored{};
  // Key → when it was added, or was written first; the write may have failed.
  std::map<std::string, TimePoint> mRecords{};
  std::uint64_t mWrites = 0;
};

inline constexpr std::size_t kMaxRecordIds = 1000;
inline constexpr std::size_t kMaxCancelledIds = 20'000;

}  // namespace monsoon::fleet
