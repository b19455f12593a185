// Helpers for reading and writing JSON with Boost.JSON. A missing member, or one of the wrong type,
// reads as its default. ParseJson rejects malformed JSON; callers check the fields that they
// require.
#pragma once

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon {

[[nodiscard]] Result<boost::json::value> ParseJson(
  std::string_view aText,
  boost::json::storage_ptr aStorage = {});  // BadInput; depth at most 32

[[nodiscard]] std::string GetString(const boost::json::value& aValue,
                                    std::string_view aKey,
                                    std::string aDefault = {});
// A whole number may be written with a decimal point or an exponent.
[[nodiscard]] std::optional<std::int64_t> ReadWhole(const boost::json::value& aValue);
[[nodiscard]] std::uint64_t GetUnsigned(const boost::json::value& aValue,
                                        std::string_view aKey,
                                        std::uint64_t aDefault = 0);
[[nodiscard]] std::int64_t GetSigned(const boost::json::value& aValue,
                                     std::string_view aKey,
                                     std::int64_t aDefault = 0);
// Reads a member in ms, clamped to ten years in both directions so that adding it to a time point
// can't overflow.
[[nodiscard]] Duration GetMillis(const boost::json::value& aValue,
                                 std::string_view aKey,
                                 std::int64_t aDefault = 0);
[[nodiscard]] bool GetBool(const boost::json::value& aValue,
                           std::string_view aKey,
                           bool aDefault = false);
[[nodiscard]] const boost::json::array& GetArray(const boost::json::value& aValue,
                                                 std::string_view aKey);
[[nodiscard]] const boost::json::value& GetMember(const boost::json::value& aValue,
                                                  std::string_view aKey);  // null if absent

// Model
[[nodiscard]] boost::json::object MakeJson(const Resources& aResources);
[[nodiscard]] Resources ParseResources(const boost::json::value& aValue);
[[nodiscard]] boost::json::object MakeJson(const WorkerSpec& aWorker);
[[nodiscard]] WorkerSpec ParseWorkerSpec(const boost::json::value& aValue);
[[nodiscard]] boost::json::object MakeJson(const JobSpec& aSpec);
[[nodiscard]] Result<JobSpec> ParseJobSpec(
  const boost::json::value& aValue);  // BadInput names the member

// URLs
[[nodiscard]] std::string EncodeTarget(std::string_view aText);  // percent-encoding, '/' kept
[[nodiscard]] std::string DecodeTarget(std::string_view aText);
[[nodiscard]] std::string GetQuery(std::string_view aTarget,
                                   std::string_view aKey);         // empty if absent
[[nodiscard]] std::string_view GetPath(std::string_view aTarget);  // without the query

}  // namespace monsoon
