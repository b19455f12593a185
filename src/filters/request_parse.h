// Parses an HTTP request to the entry process. Headers:
//   Request-Id        text; unique per call; generated when absent
//   Idempotency-Key   text; required with `Repeatable: no`
//   Request-Timeout   such as 250ms, 30s or 2m; from arrival to the whole answer; at most 10m
//   Priority          urgent, normal or low
//   Caller, Service   text
//   Repeatable        yes or no
#pragma once

#include "core/model.h"
#include "http/server.h"

namespace monsoon {

inline constexpr std::size_t kMaxHeaderTextBytes = 256;  // of each text header
inline constexpr Duration kMaxRequestTimeout = seconds(600);
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kRequestTimeoutHeader = "Request-Timeout";
inline constexpr const char* kPriorityHeader = "Priority";
inline constexpr const char* kCallerHeader = "Caller";
inline constexpr const char* kServiceHeader = "Service";
inline constexpr const char* kRepeatableHeader = "Repeatable";

// Returns the request, or BadInput that names the invalid header and the values expected. Moves the
// body out of aRequest. Without a Caller header the caller is aPeerAddress; without a Request-Id
// the id stays empty.
[[nodiscard]] Result<RequestSpec> ParseRequest(HttpRequest& aRequest,
                                               const std::string& aPeerAddress);
[[nodiscard]] Result<Duration> ParseTimeout(std::string_view aText);  // BadInput

}  // namespace monsoon
