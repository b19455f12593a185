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

// Settings files that templates of earlier builds have made, while processes are replaced in turn.
TEST_CASE("entry settings: a number of seconds with zeros appended is taken for milliseconds")
{
  const std::string key = GENERATE("shutdown_ms", "keep_ended_ms");
  const std::string text = GENERATE("120.5000", "6.5000", "0.5000", "0000");
  INFO(key << " = " << text);
  CHECK(ParseEntrySettings(kRequired + "[bounds]\n" + key + " = " + text, "entry.toml")
          .mErrors.size() == 1);
  const EntrySettingsResult whole =
    ParseEntrySettings(kRequired + "[bounds]\n" + key + " = 6000", "entry.toml");
  CHECK(whole.mErrors.empty());
  CHECK((key == "shutdown_ms" ? whole.mSettings.mShutdown : whole.mSettings.mKeepEnded) ==
        seconds(6));
  const std::string seconds = key.substr(0, key.size() - 2) + "s = 6";
  const auto both =
    ParseEntrySettings(kRequired + "[bounds]\n" + key + " = 6000\n" + seconds, "entry.toml")
      .mErrors;
  REQUIRE(both.size() == 1);
  CHECK_THAT(both[0], Catch::Contains(key + " is given too"));
}
