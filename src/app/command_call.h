// Commands over HTTP: POST /v1/commands with the command as text; the answer is a JSON table.
#pragma once

#include "command/table.h"
#include "http/client.h"

namespace monsoon {

// A syntax error is found here, without a call. A problem answer becomes a Failure of its kind.
[[nodiscard]] Result<Table> CallCommand(const HttpAddress& aAddress, const std::string& aCommand);

}  // namespace monsoon
