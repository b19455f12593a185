// JSON forms and HTTP headers of the messages between monsoonstage and the endpoints of workers.
// The stand-ins use them too.
#pragma once

#include <boost/json.hpp>

#include "core/concepts.h"

namespace monsoon {

inline constexpr const char* kRequestIdHeader = "Request-Id";
inline constexpr const char* kGrantEpochHeader = "Grant-Epoch";
inline constexpr const char* kStartBeforeHeader = "Start-Before";  // ms on the worker's clock
inline constexpr const char* kRefusedHeader = "Refused";  // set by a refusal: nothing was run

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
