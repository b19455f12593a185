// Keys in the store.
#pragma once

#include <string>
#include <string_view>

namespace monsoon::fleet {

inline constexpr std::string_view kRoot = "monsoon/";
inline constexpr std::string_view kHolderKey = "monsoon-holder";    // HolderRecord, under its lease
inline constexpr std::string_view kEpochKey = "monsoon-epoch";      // HolderRecord, never deleted
inline constexpr std::string_view kHandoverKey = "monsoon/h";       // HandoverRecord
inline constexpr std::string_view kJobPrefix = "monsoon/j/";        // JobSpec
inline constexpr std::string_view kProgressPrefix = "monsoon/p/";   // progress of a job
inline constexpr std::string_view kCancelledPrefix = "monsoon/c/";  // CancelledIdsRecord
inline constexpr std::string_view kWorkerPrefix = "monsoon/w/";     // WorkerRecord
inline constexpr std::string_view kCancelSuffix = "/x";  // after a job's key: the job is cancelled

[[nodiscard]] inline std::string MakeJobKey(std::string_view aId)
{
  return std::string(kJobPrefix).append(aId);
}
[[nodiscard]] inline std::string MakeCancelKey(std::string_view aId)
{
  return MakeJobKey(aId).append(kCancelSuffix);
}
[[nodiscard]] inline std::string MakeProgressKey(std::string_view aId)
{
  return std::string(kProgressPrefix).append(aId);
}
[[nodiscard]] inline std::string MakeWorkerKey(std::string_view aId)
{
  return std::string(kWorkerPrefix).append(aId);
}

}  // namespace monsoon::fleet
