#include <catch2/catch.hpp>

#include "app/settings.h"

using namespace monsoon;

namespace {

std::vector<std::string> ListErrors(std::string_view aText)
{
  std::vector<std::string> lines;
  for (const SettingsError& it : ParseSettings(aText, "f.toml").mErrors)
    lines.push_back(FormatError(it));
  return lines;
}

}  // namespace

TEST_CASE("five kinds of mistakes are each reported with file, line and column", "[settings]")
{
  const auto errors = ListErrors("[process]\n"
                                 "name = 7\n"
                                 "theads = 2\n"
                                 "[listen]\n"
                                 "http = \"nowhere\"\n"
                                 "[lease]\n"
                                 "heartbeat = \"250\"\n"
                                 "[limits]\n"
                                 "body = \"4GiB\"\n");
  REQUIRE(errors.size() == 5);
  CHECK(errors[0] ==
        "f.toml:2:8: process.name: not text in quotes, allowed: text of 1 to 64 bytes");
  CHECK(errors[1] ==
        "f.toml:3:1: process.theads: unknown key, allowed: did you mean process.threads");
  CHECK(errors[2].find("f.toml:5:8: listen.http: not an address: \"nowhere\"") == 0);
  CHECK(errors[3] == "f.toml:7:13: lease.heartbeat: not a time: \"250\", allowed: a whole number "
                     "with us, ms, s, m or h");
  CHECK(errors[4] == "f.toml:9:8: limits.body: 4GiB is out of range, allowed: a size in quotes, "
                     "1KiB to 1GiB");
}

TEST_CASE("values with units, lists and choices are read", "[settings]")
{
  const SettingsResult result = ParseSettings("[lease]\nheartbeat = \"100ms\"\n"
                                              "[limits]\nbody = \"64MiB\"\n"
                                              "[log]\nlevel = \"debug\"\n"
                                              "[[peer]]\nname=\"b\"\naddress=\"127.0.0.1:9\"\n",
                                              "f.toml");
  REQUIRE(result.mErrors.empty());
  CHECK(result.mSettings.mLease.mHeartbeat == milliseconds(100));
  CHECK(result.mSettings.mLimits.mBody == 64U << 20);
  CHECK(result.mSettings.mLog.mLevel == LogLevel::Debug);
  REQUIRE(result.mSettings.mPeers.size() == 1);
  CHECK(result.mSettings.mPeers[0].mPort == 9);
}

TEST_CASE("unknown sections, bad syntax, unknown choices and conflicting values are reported",
          "[settings]")
{
  CHECK(
    ListErrors("[leese]\n") ==
    std::vector<std::string>{ "f.toml:1:2: leese: unknown section, allowed: did you mean lease" });
  CHECK(ListErrors("[lease\n").size() == 1);
  CHECK(ListErrors("[requests]\nrouting = \"magic\"\n")[0].find("two_choices") !=
        std::string::npos);
  CHECK(ListErrors("[lease]\nsession = \"2s\"\n")[0].find("renew_every plus drift") !=
        std::string::npos);
  CHECK(ListErrors("[[peer]]\nname = \"x\"\n").size() == 1);
  CHECK(ListErrors("peer = 3\n").size() == 1);
  CHECK(ListErrors("[process]\nthreads = 99999999999\n").size() == 1);
}

TEST_CASE("the reference has every section", "[settings]")
{
  const std::string reference = FormatReference();
  CHECK(reference.find("### [lease]") != std::string::npos);
  CHECK(reference.find("### [[peer]]") != std::string::npos);
  CHECK(reference.find("| `heartbeat` | `\"300ms\"` | a time in quotes, 10ms to 10s |") !=
        std::string::npos);
}
