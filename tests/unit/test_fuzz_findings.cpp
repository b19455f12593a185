// Regression tests for inputs that the fuzzers found.
#include <catch2/catch.hpp>

#include "app/settings.h"
#include "core/json.h"

using namespace monsoon;

TEST_CASE("a malformed table header is reported with its line", "[settings]")
{
  for (const char* text : { "[[[[process]\nnamep", "[[[", "[[\x01]]", "[=]" }) {
    const SettingsResult result = ParseSettings(text, "cell.toml");
    REQUIRE(result.mErrors.size() == 1);
    CHECK(result.mErrors.front().mLine == 1);
  }
}

TEST_CASE("durations far out of range are clamped before they can overflow", "[json]")
{
  const auto value = ParseJson(R"({"id": "j", "expected_run_ms": 9223372036854775807})");
  REQUIRE(value.has_value());
  const auto spec = ParseJobSpec(*value);
  REQUIRE(spec.has_value());
  CHECK(spec->mExpectedRun > std::chrono::hours(24 * 365));
  CHECK(spec->mExpectedRun < std::chrono::hours(24 * 365 * 11));
}
