#include <catch2/catch.hpp>

#include "app/load.h"

using namespace monsoon;

TEST_CASE("a plan depends on its seed alone", "[load]")
{
  LoadOptions options;
  options.mProfile = *FindProfile("drying");
  options.mRate = 200;
  const auto plan = PlanLoad(options);
  const auto same = PlanLoad(options);
  REQUIRE(plan.size() == same.size());
  for (std::size_t i = 0; i < plan.size(); ++i)
    REQUIRE((plan[i].mAt == same[i].mAt && plan[i].mRun == same[i].mRun));
  options.mSeed = 2;
  CHECK(PlanLoad(options).front().mAt != plan.front().mAt);
  CHECK(plan.size() > 1800);
  CHECK(plan.size() < 2200);
}

TEST_CASE("a plan contains the peak, cancellation waves and wrong sizes", "[load]")
{
  LoadOptions options;
  options.mProfile = *FindProfile("dairy");
  const auto plain = PlanLoad(options);
  options.mPeakFactor = 5;
  options.mCancelShare = 0.5;
  options.mCancelInterval = seconds(2);
  options.mSizeErrorFactor = 10;
  const auto plan = PlanLoad(options);
  CHECK(plan.size() > plain.size() * 3 / 2);
  std::size_t waves = 0;
  bool wrong = false;
  for (const LoadItem& it : plan) {
    waves += it.mCancelWave ? 1 : 0;
    wrong =
      wrong || (!it.mCancelWave && it.mDeclaredRun > 3 * options.mProfile.mClasses[it.mClass].mRun);
  }
  CHECK(waves == 4);
  CHECK(wrong);
  CHECK(FindProfile("other").has_error());
}

TEST_CASE("without a cell all work is reported as not run", "[load]")
{
  LoadOptions options;
  options.mProfile = *FindProfile("drying");
  options.mLength = milliseconds(200);
  const LoadReport report = RunLoad(options, { { "127.0.0.1", 1 } }, seconds(1), nullptr);
  CHECK(report.mAsked > 0);
  CHECK(report.mNotRun == report.mAsked);
  CHECK(FormatSvg(report).find("</svg>") != std::string::npos);
  CHECK(FormatJson(report).find("\"not_run\":" + std::to_string(report.mNotRun)) !=
        std::string::npos);
}
