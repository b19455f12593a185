// JSON forms of what endpoints and the system say to each other; shared with the stand-ins.
#pragma once

#include <boost/json.hpp>

#include "core/concepts.h"

namespace monsoon {

inline constexpr const char* kRequestIdHeader = "Request-Id";
inline constexpr const char* kGrantEpochHeader = "Grant-Epoch";
inline constexpr const char* kStartBeforeHeader = "Start-Before";  // ms on the worker's own clock
inline constexpr const char* kRefusedHeader = "Refused";  // set on a refusal: the work did not run

[[nodiscard]] boost::json::object MakeJson(const TaskStart& aStart,
                                           std::int64_t aStartBefore,
                                           Duration aLease);
[[nodiscard]] TaskStart ParseTaskStart(const boost::json::value& aValue);
[[nodiscard]] boost::json::object MakeJson(const TaskStop& aStop);
[[nodiscard]] TaskStop ParseTaskStop(const boost::json::value& aValue);
[[nodiscard]] boost::json::object MakeJson(const LeaseRenewal& aRenewal);
[[nodiscard]] LeaseRenewal ParseLeaseRenewal(const boost::json::value& aValue);
[[nodiscard]] boost::json::object MakeJson(const Inventory& aInventory);
[[nodiscard]] Inventory ParseInventory(const boost::json::value& aValue);

}  // namespace monsoon
