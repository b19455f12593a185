// HTTP bodies and targets: jobs from callers, inventories from endpoints, VM lists from the
// platform.
#include <cstdlib>

#include "core/json.h"
#include "worker/wire.h"

using namespace monsoon;

namespace {

void CheckJob(const boost::json::value& aValue)
{
  const auto spec = ParseJobSpec(aValue);
  if (!spec)
    return;
  const auto again = ParseJobSpec(MakeJson(*spec));
  if (!again || MakeJson(*again) != MakeJson(*spec))
    std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  [[maybe_unused]] const std::string query = GetQuery(text, "limit");
  if (DecodeTarget(EncodeTarget(text)) != text)
    std::abort();
  const auto value = ParseJson(text);
  if (!value)
    return 0;
  CheckJob(*value);
  [[maybe_unused]] const auto worker = MakeJson(ParseWorkerSpec(*value));
  [[maybe_unused]] const auto inventory = MakeJson(ParseInventory(*value));
  [[maybe_unused]] const auto start = ParseTaskStart(*value);
  [[maybe_unused]] const auto stop = MakeJson(ParseTaskStop(*value));
  [[maybe_unused]] const auto renewal = MakeJson(ParseLeaseRenewal(*value));
  return 0;
}
