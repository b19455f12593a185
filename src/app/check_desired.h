// The check of a desired state of the fleet before it is sent.
#pragma once

#include <string>

namespace monsoon {

// Prints errors to stderr; warnings, and what differs from the version in force, to stdout. Returns
// the process's exit code. aInForce: file of the version in force; empty: none.
int CheckDesired(const std::string& aFile, const std::string& aInForce);

}  // namespace monsoon
