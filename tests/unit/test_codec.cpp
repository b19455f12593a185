// Encoding and decoding of peer messages. Invalid bytes must fail as BadInput without a crash or a
// large allocation.
#include <catch2/catch.hpp>

#include "core/archive.h"
#include "peer/codec.h"

using namespace monsoon;

TEST_CASE("a request frame is unchanged by encoding and decoding", "[codec]")
{
  RequestFrame frame;
  frame.mCall = 7;
  frame.mFrom = "entry-1";
  frame.mRequest = GrantRequest{
    .mRequest = "r-1", .mCaller = "c", .mPriority = Priority::Urgent, .mWait = seconds(2)
  };
  const auto decoded = DecodeRequest(Encode(frame));
  REQUIRE(decoded.has_value());
  CHECK(decoded->mCall == 7);
  const auto& request = std::get<GrantRequest>(decoded->mRequest);
  CHECK(request.mRequest == "r-1");
  CHECK(request.mPriority == Priority::Urgent);
  CHECK(request.mWait == seconds(2));
}

TEST_CASE("every truncated frame is bad input, never a crash", "[codec]")
{
  ReplyFrame frame;
  frame.mCall = 9;
  frame.mFailure = MakeFailure(FailureKind::CapacityFull, "no slot");
  const std::string bytes = Encode(frame);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    const auto decoded = DecodeReply(std::span(bytes.data(), n));
    REQUIRE(decoded.has_error());
    CHECK(decoded.error().mKind == FailureKind::BadInput);
  }
  CHECK(DecodeReply(bytes).has_value());
}

TEST_CASE("a length or count larger than the remaining bytes is refused without allocating",
          "[codec]")
{
  Heartbeat heartbeat;
  heartbeat.mFrom = "entry-1";
  heartbeat.mMembers.resize(3);
  const std::string bytes = Encode(heartbeat);
  for (std::size_t at = 0; at + 8 <= bytes.size(); ++at) {
    std::string broken = bytes;
    broken.replace(at, 8, std::string("\xff\xff\xff\xff\xff\x00\x00\x00", 8));
    const auto decoded = DecodeHeartbeat(broken);
    if (decoded.has_value())
      CHECK(decoded->mMembers.size() <= 3);
  }
  std::string longName = bytes;
  longName.replace(3, 8, std::string("\x00\x00\x00\x00\x00\x01\x00\x00", 8));  // 1 TiB
  CHECK(DecodeHeartbeat(longName).has_error());
}

TEST_CASE("a number outside its enumeration is bad input", "[codec]")
{
  RequestFrame frame;
  GrantReturn end;
  end.mEnd = GrantEnd::Unknown;
  frame.mRequest = end;
  std::string bytes = Encode(frame);
  CHECK(DecodeRequest(bytes).has_value());
  bytes.back() = 77;
  REQUIRE(DecodeRequest(bytes).has_error());
  CHECK(DecodeRequest(bytes).error().mKind == FailureKind::BadInput);
}

TEST_CASE("LoadCount refuses a count larger than the remaining bytes before any allocation",
          "[codec]")
{
  const std::string body(100, 'x');
  const std::string claimed = EncodeBytes(std::uint64_t(101)) + body;
  BoundedInputArchive tooMany(claimed);
  CHECK_THROWS_AS(tooMany.LoadCount(), cereal::Exception);
  const std::string honest = EncodeBytes(std::uint64_t(100)) + body;
  BoundedInputArchive fits(honest);
  CHECK(fits.LoadCount() == 100);
}
