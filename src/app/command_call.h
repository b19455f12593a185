// Operators' commands over HTTP: POST /v1/commands with the command as text; the answer is a JSON
// table.
#pragma once

#include "command/table.h"
#include "http/client.h"

namespace monsoon {

// Runs aCommand on the process at aAddress. A syntax error fails without a call; a problem answer
// becomes a Failure of the kind that it names.
[[nodiscard]] Result<Table> CallCommand(const HttpAddress& aAddress, const std::string& aCommand);

}  // namespace monsoon
