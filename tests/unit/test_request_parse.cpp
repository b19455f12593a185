// Parsing of request headers: the fields they set, and the failures for invalid values.
#include <catch2/catch.hpp>

#include "filters/request_parse.h"

using namespace monsoon;

namespace {

Result<RequestSpec> Parse(std::vector<std::pair<const char*, std::string>> aHeaders)
{
  HttpRequest request(http::verb::post, "/v1/requests", 11);
  for (const auto& [name, value] : aHeaders)
    request.insert(name, value);
  request.body() = "body";
  return ParseRequest(request, "127.0.0.1");
}

}  // namespace

TEST_CASE("headers set the fields of a request", "[request]")
{
  const auto plain = Parse({});
  REQUIRE(plain.has_value());
  CHECK(plain->mRepeatable);
  CHECK(plain->mCaller == "127.0.0.1");
  CHECK(plain->mBody == "body");
  CHECK(plain->mTimeout == seconds(30));
  const auto full = Parse({ { "Request-Id", "r" },
                            { "Idempotency-Key", "k" },
                            { "Request-Timeout", "250ms" },
                            { "Priority", "urgent" },
                            { "Caller", "farm" },
                            { "Service", "yield" },
                            { "Repeatable", "no" } });
  REQUIRE(full.has_value());
  CHECK(full->mId == "r");
  CHECK(full->mIdempotencyKey == "k");
  CHECK(full->mTimeout == milliseconds(250));
  CHECK(full->mPriority == Priority::Urgent);
  CHECK(full->mCaller == "farm");
  CHECK(full->mService == "yield");
  CHECK_FALSE(full->mRepeatable);
}

TEST_CASE("the failure for an invalid header names the header", "[request]")
{
  const std::vector<std::vector<std::pair<const char*, std::string>>> bad = {
    { { "Request-Id", "has space" } },       { { "Request-Id", std::string(257, 'x') } },
    { { "Request-Timeout", "0s" } },         { { "Request-Timeout", "-1s" } },
    { { "Request-Timeout", "11m" } },        { { "Request-Timeout", "5" } },
    { { "Request-Timeout", "5h" } },         { { "Request-Timeout", "99999999999s" } },
    { { "Priority", "Urgent!" } },           { { "Repeatable", "maybe" } },
    { { "Caller", "a" }, { "Caller", "b" } }
  };
  for (const auto& headers : bad) {
    const auto parsed = Parse(headers);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().mKind == FailureKind::BadInput);
    CHECK(parsed.error().mDetail.starts_with(headers.front().first));
  }
  const auto keyless = Parse({ { "Repeatable", "no" } });
  REQUIRE(keyless.has_error());
  CHECK(keyless.error().mDetail.starts_with("Idempotency-Key"));
}
