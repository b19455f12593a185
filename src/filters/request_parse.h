// Reads a request from its HTTP form. Headers:
//   Request-Id        text; unique per call, made up when absent
//   Idempotency-Key   text; required with `Repeatable: no`
//   Request-Timeout   250ms, 30s or 2m; from arrival to the whole answer
//   Priority          urgent, normal or low
//   Caller, Service   text
//   Repeatable        yes or no
#pragma once

#include "core/model.h"
#include "http/server.h"

namespace monsoon {

inline constexpr std::size_t kMaxHeaderText = 256;  // bytes of a Request-Id, key, caller, …
inline constexpr Duration kMaxRequestTimeout = seconds(600);
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kRequestTimeoutHeader = "Request-Timeout";
inline constexpr const char* kPriorityHeader = "Priority";
inline constexpr const char* kCallerHeader = "Caller";
inline constexpr const char* kServiceHeader = "Service";
inline constexpr const char* kRepeatableHeader = "Repeatable";

// BadInput names the header and what it allows. Takes the body out of aRequest. An empty caller
// becomes aPeerAddress; an empty id stays empty.
[[nodiscard]] Result<RequestSpec> ParseRequest(HttpRequest& aRequest,
                                               const std::string& aPeerAddress);
[[nodiscard]] Result<Duration> ParseTimeout(std::string_view aText);  // BadInput

}  // namespace monsoon
