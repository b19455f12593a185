#include <catch2/catch.hpp>

#include "fleet/settings.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

const std::string kRequired = R"([process]
name = "entry-1"
zone = "zone-a"
[listen]
callers = "127.0.0.1:1000"
ready = "127.0.0.1:1001"
peers = "127.0.0.1:1002"
[store]
address = "127.0.0.1:1003"
)";

}  // namespace

TEST_CASE("entry settings: workers are not trusted to check tokens unless the settings say so")
{
  const auto plain = ParseEntrySettings(kRequired, "entry.toml");
  CHECK(plain.mErrors.empty());
  CHECK(!plain.mSettings.mTokensChecked);
  const auto checked =
    ParseEntrySettings(kRequired + "[workers]\ntokens_checked = true\n", "entry.toml");
  CHECK(checked.mErrors.empty());
  CHECK(checked.mSettings.mTokensChecked);
}

TEST_CASE("entry settings: a flag that is no boolean is reported with its place")
{
  const auto result =
    ParseEntrySettings(kRequired + "[workers]\ntokens_checked = 1\n", "entry.toml");
  REQUIRE(result.mErrors.size() == 1);
  CHECK(result.mErrors[0] == "entry.toml:11:18: workers.tokens_checked: expected true or false");
}
