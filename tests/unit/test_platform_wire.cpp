// Numbers of the platform's messages in each form that JSON allows: whole, fractions, exponents.
#include <catch2/catch.hpp>

#include "core/json.h"
#include "platform/wire.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

std::string MakeJobBody(const std::string& aEstimate, const std::string& aTarget)
{
  return R"({"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":100,"estimate_ms":)" + aEstimate +
         R"(,"target_ms":)" + aTarget + "}]}";
}

}  // namespace

// A job was refused with 400 for ever, as its estimate was half a millisecond off a whole number.
TEST_CASE("platform: a job is refused for a duration that is a fraction")
{
  const auto half = platform::ParseJob(MakeJobBody("500.5", "30.5"));
  REQUIRE(half.has_value());
  CHECK(half->mStages[0].mEstimateMs == 501);
  CHECK(half->mStages[0].mLatencyTargetMs == 31);
  const auto small = platform::ParseJob(MakeJobBody("0.25", "0.25"));
  REQUIRE(small.has_value());
  CHECK(small->mStages[0].mEstimateMs == 1);
  CHECK(small->mStages[0].mLatencyTargetMs == 1);
  const auto exponent = platform::ParseJob(MakeJobBody("1e3", "2.5e1"));
  REQUIRE(exponent.has_value());
  CHECK(exponent->mStages[0].mEstimateMs == 1000);
  CHECK(exponent->mStages[0].mLatencyTargetMs == 25);
  for (const char* bad : { "-1", "\"500\"", "true", "1e300" }) {
    INFO(bad);
    CHECK_FALSE(platform::ParseJob(MakeJobBody(bad, "30")).has_value());
  }
}

TEST_CASE("platform: occurrences start early as their times are cut to whole milliseconds")
{
  const auto job = platform::ParseJob(
    R"({"spec":"s","steps":[{"count":1,"cpu":1}],"repeat_count":9,"first_ms":1000.25,"interval_ms":500.5})");
  REQUIRE(job.has_value());
  CHECK(job->mFirstMs == 1001);
  CHECK(job->mIntervalMs == 501);
}

// Attempts and priorities counted as not given, so that a job failed at the first failure of a
// task.
TEST_CASE("platform: a whole number with a decimal point or an exponent counts as missing")
{
  const auto config = platform::ParseConfig(
    R"({"version":3.0,"routes":[{"name":"q","priority":2.0,"max_attempts":5e0}],)"
    R"("limits":{"max_body_bytes":1e5}})");
  REQUIRE(config.has_value());
  CHECK(config->mVersion == 3);
  CHECK(config->mQueues[0].mPriority == 2);
  CHECK(config->mQueues[0].mMaxAttempts == 5);
  CHECK(config->mMaxBodyBytes == 100'000);
  const auto report = platform::ParseReport(
    R"({"clock_ms":482113.5,"born":1.7e12,"running":[["a.0.0.0",2.0,"",41.5]],)"
    R"("ended":[[58.0,"a.0.0.1",1e0,"done",""]]})");
  REQUIRE(report.has_value());
  CHECK(report->mClockMs == 482'113);
  CHECK(report->mBornMs == 1'700'000'000'000);
  CHECK(report->mRunning[0].mRun == 2);
  CHECK(report->mRunning[0].mPercent == 41.5);
  CHECK(report->mEnded[0].mNumber == 58);
  CHECK(report->mEnded[0].mRun == 1);
  CHECK(platform::ParseOrderResponse(R"({"clock_ms":7.5})").mClockMs == 7);
}

TEST_CASE("json: a number that is no whole one is read as a whole one")
{
  const boost::json::value value =
    boost::json::parse(R"({"a":1.5,"b":-2.0,"c":1e300,"d":"3","e":true,"f":-3,"g":1e3})");
  CHECK(GetSigned(value, "a", 9) == 9);
  CHECK(GetSigned(value, "b", 9) == -2);
  CHECK(GetUnsigned(value, "b", 9) == 9);
  CHECK(GetUnsigned(value, "c", 9) == 9);
  CHECK(GetSigned(value, "c", 9) == 9);
  CHECK(GetUnsigned(value, "d", 9) == 9);
  CHECK(GetUnsigned(value, "e", 9) == 9);
  CHECK(GetUnsigned(value, "f", 9) == 9);
  CHECK(GetUnsigned(value, "g", 9) == 1000);
}
