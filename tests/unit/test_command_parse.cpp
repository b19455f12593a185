#include <catch2/catch.hpp>

#include "command/command.h"

using namespace monsoon;

namespace {

template<class T>
T ParseAs(std::string_view aText)
{
  auto command = ParseCommand(aText);
  INFO(aText << " → " << (command ? "" : command.error().mDetail));
  REQUIRE(command.has_value());
  REQUIRE(std::holds_alternative<T>(command->mBody));
  return std::get<T>(command->mBody);
}

std::string GetError(std::string_view aText)
{
  auto command = ParseCommand(aText);
  return command ? "no error" : command.error().mDetail;
}

}  // namespace

TEST_CASE("create takes every clause of a job", "[command]")
{
  const JobSpec spec =
    ParseAs<CreateJob>(
      "create gang \"cure \\\"7\\\"\" tasks 4 team \"floor\" priority urgent cores "
      "0.5 memory 4GiB accelerators 2 of \"a10\" run 30m attempts 2 spread zones "
      "spread racks once payload \"{}\"")
      .mSpec;
  CHECK(spec.mId == "cure \"7\"");
  CHECK(spec.mKind == JobKind::Gang);
  CHECK(spec.mTasks == 4);
  CHECK(spec.mTeam == "floor");
  CHECK(spec.mPriority == Priority::Urgent);
  CHECK(spec.mShape == Resources{ 500, 4096, 2, 0, 0 });
  CHECK(spec.mAcceleratorType == "a10");
  CHECK(spec.mExpectedRun == std::chrono::minutes(30));
  CHECK(spec.mMaxAttempts == 2);
  CHECK(spec.mSpreadZones);
  CHECK(spec.mSpreadRacks);
  CHECK_FALSE(spec.mRepeatable);
  CHECK(ParseAs<CreateJob>("create watch \"w\"").mSpec.mRepeatable);
}

TEST_CASE("change, cancel, withdraw and explain name a job", "[command]")
{
  const auto change = ParseAs<ChangeJob>("change service \"web\" replicas 5 priority low");
  CHECK(change.mId == "web");
  CHECK(change.mChange.mTasks == 5U);
  CHECK(change.mChange.mPriority == Priority::Low);
  CHECK_FALSE(change.mChange.mExpectedRun.has_value());
  CHECK(ParseAs<CancelJob>("cancel batch \"x\"").mId == "x");
  CHECK(ParseAs<WithdrawJob>("withdraw job \"x\"").mId == "x");
  CHECK(ParseAs<ExplainJob>("EXPLAIN job \"x\"").mId == "x");
}

TEST_CASE("show takes conditions, an order and a limit", "[command]")
{
  const Show show = ParseAs<Show>(
    "show tasks where state = running and attempt >= 2 and job != \"a b\" order by worker desc "
    "limit 10");
  CHECK(show.mTarget == ShowTarget::Tasks);
  REQUIRE(show.mWhere.size() == 3);
  CHECK(std::get<std::string>(show.mWhere[0].mValue) == "running");
  CHECK(show.mWhere[1].mComparison == Comparison::GreaterOrEqual);
  CHECK(std::get<std::int64_t>(show.mWhere[1].mValue) == 2);
  CHECK(std::get<std::string>(show.mWhere[2].mValue) == "a b");
  REQUIRE(show.mOrder.has_value());
  CHECK(show.mOrder->mColumn == "worker");
  CHECK(show.mOrder->mDescending);
  CHECK(show.mLimit == 10U);
}

TEST_CASE("set, drain and undrain are parsed, also with a revision", "[command]")
{
  const auto team = ParseAs<SetTeam>("set team \"dairy\" quota cores 10 memory 20GiB no borrowing");
  CHECK(team.mQuota.mTeam == "dairy");
  CHECK(team.mQuota.mGuaranteed == Resources{ 10000, 20480, 0, 0, 0 });
  CHECK_FALSE(team.mQuota.mMayBorrow);
  CHECK(ParseAs<SetSetting>("set routing = two_choices").mValue == "two_choices");
  CHECK(ParseAs<SetSetting>("set teams.limit = 12").mValue == "12");
  CHECK(ParseAs<DrainWorker>("drain worker \"w-1\"").mDrained);
  CHECK_FALSE(ParseAs<DrainWorker>("undrain worker \"w-1\"").mDrained);
  const auto command = ParseCommand("drain worker \"w-1\" if revision 17");
  REQUIRE(command.has_value());
  CHECK(command->mIfRevision == 17U);
}

TEST_CASE("errors point at the column and say what was expected", "[command]")
{
  CHECK(
    GetError("") ==
    "column 1: expected create, change, cancel, declare, withdraw, explain, show, set, drain or "
    "undrain, found the end");
  CHECK(GetError("creat batch \"x\"").find("column 1: expected create, change") == 0);
  CHECK(GetError("create bacth \"x\"") ==
        "column 8: expected service, batch, gang or watch, found `bacth`");
  CHECK(GetError("create batch x") == "column 14: expected text in quotes, found `x`");
  CHECK(GetError("create batch \"x\" tasks 0") ==
        "column 24: expected a whole number from 1, found `0`");
  CHECK(GetError("create batch \"x\" memory 4GB").find("column 25: expected a size such as") == 0);
  CHECK(GetError("create batch \"x\" run 9999999999h").find("column 22: expected a time") == 0);
  CHECK(GetError("create batch \"x\" cores inf").find("column 24: expected a number of cores") ==
        0);
  CHECK(GetError("create batch \"x\" colour") ==
        "column 18: expected a further clause, `if revision N` or the end, found `colour`");
  CHECK(GetError("show robots").find("column 6: expected workers, jobs") == 0);
  CHECK(GetError("show jobs where id ~ 3") ==
        "column 20: expected =, !=, <, <=, > or >=, found `~`");
  CHECK(GetError("drain worker \"x\" if revision y") ==
        "column 30: expected a whole number, found `y`");
  CHECK(GetError("change job \"x\"").find("expected tasks, replicas, priority") !=
        std::string::npos);
}

TEST_CASE("formatted commands parse back to the same values", "[command]")
{
  JobSpec spec;
  spec.mId = "a\"b\\c";
  spec.mKind = JobKind::Service;
  spec.mTasks = 7;
  spec.mShape = { 1500, 2048, 1, 3, 4 };
  spec.mAcceleratorType = "a10";
  spec.mExpectedRun = milliseconds(1500);
  spec.mRepeatable = false;
  spec.mSpreadZones = true;
  spec.mPayload = "{\"run_ms\": 5}";
  const JobSpec back = ParseAs<DeclareJob>(FormatCommand(DeclareJob{ spec })).mSpec;
  CHECK(back.mId == spec.mId);
  CHECK(back.mKind == spec.mKind);
  CHECK(back.mTasks == spec.mTasks);
  CHECK(back.mShape == spec.mShape);
  CHECK(back.mAcceleratorType == spec.mAcceleratorType);
  CHECK(back.mExpectedRun == spec.mExpectedRun);
  CHECK(back.mRepeatable == spec.mRepeatable);
  CHECK(back.mSpreadZones == spec.mSpreadZones);
  CHECK(back.mPayload == spec.mPayload);
  const TeamQuota quota{ "t", { 100, 1, 0, 0, 0 }, false };
  CHECK(ParseAs<SetTeam>(FormatCommand(SetTeam{ quota })).mQuota.mGuaranteed == quota.mGuaranteed);
  CHECK(ParseAs<SetSetting>(FormatCommand(SetSetting{ "a", "b c" })).mValue == "b c");
}
