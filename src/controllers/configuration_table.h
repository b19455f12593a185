// State of the configuration journal: the operators' accepted declarations in one total order.
//
// Index
//   Entries               what one change is made of
//   ConfigurationChange   the value of one journal entry
//   ConfigurationTable    pure state
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "controllers/views.h"
#include "core/errors.h"

namespace monsoon {

// Entries
struct TeamSet
{
  TeamQuota mQuota{};
};
struct TeamRemoved
{
  TeamName mTeam{};
};
struct WorkerDrained
{
  WorkerName mWorker{};
};
struct WorkerUndrained
{
  WorkerName mWorker{};
};
struct CellSettingSet
{
  std::string mName{};
  std::string mValue{};
};
struct JobDeclared
{
  JobSpec mSpec{};
};
struct JobWithdrawn
{
  JobId mId{};
};
using ConfigurationEntry = std::variant<TeamSet,
                                        TeamRemoved,
                                        WorkerDrained,
                                        WorkerUndrained,
                                        CellSettingSet,
                                        JobDeclared,
                                        JobWithdrawn>;

// ConfigurationChange
struct ConfigurationChange  // its entries come into force together
{
  std::string mId{};  // unique; tells whether a change whose answer was lost stands
  std::vector<ConfigurationEntry> mEntries{};
  std::map<std::string, std::uint64_t> mUnknown{};  // kinds of a later version, counted
};

[[nodiscard]] std::string Encode(const ConfigurationChange& aChange);
// Entries of kinds that this version doesn't know are counted by name, the others are read.
[[nodiscard]] Result<ConfigurationChange> DecodeConfigurationChange(const std::string& aBytes);

// ConfigurationTable: satisfies JournalSink. Written on one thread, Get from any.
class ConfigurationTable
{
public:
  ConfigurationTable();

  void ApplyEntry(Sequence aSequence, const std::string& aBytes);
  void ApplySnapshot(Sequence aSequence, const std::string& aBytes);
  void SkipTo(Sequence aSequence);
  [[nodiscard]] std::string EncodeState() const;
  [[nodiscard]] Sequence GetApplied() const noexcept;

  [[nodiscard]] std::shared_ptr<const Configuration> Get() const;
  // The revision at which a change of that id came into force, for the last kRemembered changes.
  [[nodiscard]] std::optional<Revision> FindChange(const std::string& aId) const;
  // Entries and values that were passed over, by kind; "corrupt" for unreadable values.
  [[nodiscard]] std::map<std::string, std::uint64_t> CountPassedOver() const;

private:
  void Publish(Configuration aConfiguration);

  static constexpr std::size_t kRemembered = 1024;
  mutable std::mutex mLock{};
  std::shared_ptr<const Configuration> mConfiguration;
  std::deque<std::pair<std::string, Revision>> mChanges{};
  std::map<std::string, std::uint64_t> mPassedOver{};
};

}  // namespace monsoon
