#include <catch2/catch.hpp>

#include "app/declarations.h"
#include "command/rows.h"

using namespace monsoon;

namespace {

constexpr std::string_view kFile = "[settings]\nrouting = \"random\"\n"
                                   "[[team]]\nname = \"floor\"\ncores = 1.5\nmemory = \"2GiB\"\n"
                                   "[[job]]\ncommand = 'service \"web\" replicas 2'\n";

}  // namespace

TEST_CASE("apply changes what differs, and withdraws jobs that the file lacks", "[command][apply]")
{
  const auto wanted = ParseDeclarations(kFile, "cell.toml");
  REQUIRE(wanted.mErrors.empty());
  Configuration configuration;
  configuration.mRevision = 7;
  configuration.mSettings["routing"] = "random";
  configuration.mSettings["other"] = "kept";
  configuration.mTeams["floor"] = { "floor", { 1000, 2048, 0, 0, 0 }, true };
  configuration.mDeclared["old"].mId = "old";
  const Difference difference = FindDifference(MakeConfigRows(configuration), wanted.mDeclarations);
  CHECK(difference.mRevision == 7);
  REQUIRE(difference.mLines.size() == 3);
  CHECK(difference.mLines[0].mCommand == "set team \"floor\" quota cores 1.500 memory 2048MiB");
  CHECK(difference.mLines[1].mCommand.find("declare service \"web\" tasks 2") == 0);
  CHECK(difference.mLines[2].mCommand == "withdraw job \"old\"");
}

TEST_CASE("a cell that matches the declarations has no differences", "[command][apply]")
{
  const auto wanted = ParseDeclarations(kFile, "cell.toml").mDeclarations;
  Configuration configuration;
  configuration.mSettings["routing"] = "random";
  configuration.mTeams["floor"] = { "floor", { 1500, 2048, 0, 0, 0 }, true };
  const auto command = ParseCommand(wanted.mJobs.at("web"));
  REQUIRE(command.has_value());
  configuration.mDeclared["web"] = std::get<DeclareJob>(command->mBody).mSpec;
  CHECK(FindDifference(MakeConfigRows(configuration), wanted).mLines.empty());
}

TEST_CASE("every error in a declarations file is reported with its position", "[command][apply]")
{
  const auto result = ParseDeclarations("[setting]\n[settings]\nx = 3\n[[team]]\ncores = -1\n"
                                        "[[job]]\ncommand = 'batsch \"x\"'\n",
                                        "cell.toml");
  REQUIRE(result.mErrors.size() == 5);
  std::string all;
  for (const SettingsError& it : result.mErrors)
    all += FormatError(it) + "\n";
  CHECK(all.find("cell.toml:1:2: setting: unknown section") != std::string::npos);
  CHECK(all.find("cell.toml:3:5: settings.x: not text in quotes") != std::string::npos);
  CHECK(all.find("expected service, batch, gang or watch, found `batsch`") != std::string::npos);
}
