// Internal to entry*.cpp.
#pragma once

#include "fleet/entry.h"

namespace monsoon::fleet {

using platform::StoreItem;
using platform::StoreTransaction;

inline constexpr Duration kStoreWriteDeadline =
  milliseconds(800);  // for a job; then it is relayed to the holder
inline constexpr Duration kWatchWait =
  milliseconds(2000);  // a dead connection is detected 0.5 s later
inline constexpr Duration kRetryStore = milliseconds(100);
inline constexpr Duration kPeerDeadline = milliseconds(900);  // covers a slow store
inline constexpr Duration kPingDeadline = milliseconds(250);  // a cross-zone round trip takes 9 ms
inline constexpr Duration kStoreDownAfter = milliseconds(300);  // of failing calls
inline constexpr std::string_view kRetryAfterOutage = "2";  // s; the store's outages last seconds

inline HttpResponse MakeEmptyResponse(http::status aStatus)
{
  HttpResponse response(aStatus, 11);
  if (aStatus == http::status::service_unavailable || aStatus == http::status::too_many_requests)
    response.set(http::field::retry_after, kRetryAfterOutage);
  return response;
}

}  // namespace monsoon::fleet
