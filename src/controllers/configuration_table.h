// State of the configuration journal: the operators' accepted changes, applied in the journal's
// order.
//
// Index
//   Entries               the kinds of modifications that a change consists of
//   ConfigurationChange   the value of one journal entry
//   ConfigurationTable    the configuration that results; no I/O
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
struct ConfigurationChange  // its entries take effect together
{
  std::string mId{};  // unique; finds a change whose append got no answer
  std::vector<ConfigurationEntry> mEntries{};
  std::map<std::string, std::uint64_t> mUnknown{};  // entries of unknown kinds, counted by kind
};

[[nodiscard]] std::string Encode(const ConfigurationChange& aChange);
// Decodes the entries of known kinds and counts the others in mUnknown. CorruptEntry: unreadable.
[[nodiscard]] Result<ConfigurationChange> DecodeConfigurationChange(const std::string& aBytes);

// ConfigurationTable: satisfies JournalSink. Modified on one thread; Get may be called from any.
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
  // Returns the revision at which the change with that id took effect, if it is among the last
  // kMaxRememberedChanges changes.
  [[nodiscard]] std::optional<Revision> FindChange(const std::string& aId) const;
  // Returns how many entries were skipped, by kind; "corrupt" counts unreadable values.
  [[nodiscard]] std::map<std::string, std::uint64_t> CountSkipped() const;

private:
  void Publish(Configuration aConfiguration);

  static constexpr std::size_t kMaxRememberedChanges = 1024;
  mutable std::mutex mLock{};
  std::shared_ptr<const Configuration> mConfiguration;
  std::deque<std::pair<std::string, Revision>> mChanges{};
  std::map<std::string, std::uint64_t> mSkipped{};
};

}  // namespace monsoon
