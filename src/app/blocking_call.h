// Blocking HTTP calls, for the command line.
#pragma once

#include "http/client.h"

namespace monsoon {

[[nodiscard]] Result<HttpResponse> CallBlocking(HttpAddress aAddress,
                                                HttpRequest aRequest,
                                                Duration aTimeout);
[[nodiscard]] Result<HttpResponse> GetBlocking(HttpAddress aAddress, const std::string& aTarget);

}  // namespace monsoon
