#include "filters/request_parse.h"

#include <algorithm>
#include <charconv>

#include "worker/wire.h"

namespace monsoon {

namespace {

Failure MakeHeaderFailure(std::string_view aHeader, std::string_view aExpected)
{
  return MakeFailure(FailureKind::BadInput,
                     std::string(aHeader) + ": expected " + std::string(aExpected));
}

// Returns the header's value, empty if it is absent. Allows visible ASCII only, because the value
// is copied into logs, keys and other headers.
Result<std::string> ReadText(const HttpRequest& aRequest, const char* aHeader)
{
  if (aRequest.count(aHeader) > 1)
    return MakeHeaderFailure(aHeader, "one value");
  const auto value = aRequest[aHeader];
  const bool visible = std::all_of(
    value.begin(), value.end(), [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
  if (!visible || value.size() > kMaxHeaderTextBytes)
    return MakeHeaderFailure(aHeader, "up to 256 visible characters without spaces");
  return std::string(value);
}

Result<Priority> ParsePriority(std::string_view aText)
{
  if (aText.empty() || aText == "normal")
    return Priority::Normal;
  if (aText == "urgent")
    return Priority::Urgent;
  if (aText == "low")
    return Priority::Low;
  return MakeHeaderFailure(kPriorityHeader, "urgent, normal or low");
}

Result<bool> ParseRepeatable(std::string_view aText)
{
  if (aText.empty() || aText == "yes")
    return true;
  if (aText == "no")
    return false;
  return MakeHeaderFailure(kRepeatableHeader, "yes or no");
}

}  // namespace

Result<Duration> ParseTimeout(std::string_view aText)
{
  const auto fail = [] {
    return MakeHeaderFailure(kRequestTimeoutHeader, "1ms to 10m, such as 250ms, 30s or 2m");
  };
  std::uint32_t n = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  if (ec != std::errc())
    return fail();
  const std::string_view unit(end, static_cast<std::size_t>(aText.data() + aText.size() - end));
  Duration timeout{};
  if (unit == "ms")
    timeout = milliseconds(n);
  else if (unit == "s")
    timeout = seconds(n);
  else if (unit == "m")
    timeout = std::chrono::minutes(n);
  if (timeout <= Duration::zero() || timeout > kMaxRequestTimeout)
    return fail();
  return timeout;
}

Result<RequestSpec> ParseRequest(HttpRequest& aRequest, const std::string& aPeerAddress)
{
  struct TextField
  {
    const char* mHeader;
    std::string RequestSpec::*mMember;
  };
  static constexpr TextField kTextFields[] = { { kRequestIdHeader, &RequestSpec::mId },
                                               { kCallerHeader, &RequestSpec::mCaller },
                                               { kServiceHeader, &RequestSpec::mService },
                                               { kIdempotencyKeyHeader,
                                                 &RequestSpec::mIdempotencyKey } };
  RequestSpec spec;
  for (const TextField& it : kTextFields) {
    auto text = ReadText(aRequest, it.mHeader);
    if (!text)
      return text.error();
    if (!text->empty())
      spec.*it.mMember = std::move(*text);
  }
  if (spec.mCaller.empty())
    spec.mCaller = aPeerAddress;
  if (aRequest.count(kRequestTimeoutHeader)) {
    auto timeout = ParseTimeout(aRequest[kRequestTimeoutHeader]);
    if (!timeout)
      return timeout.error();
    spec.mTimeout = *timeout;
  }
  auto priority = ParsePriority(aRequest[kPriorityHeader]);
  if (!priority)
    return priority.error();
  spec.mPriority = *priority;
  auto repeatable = ParseRepeatable(aRequest[kRepeatableHeader]);
  if (!repeatable)
    return repeatable.error();
  spec.mRepeatable = *repeatable;
  if (!spec.mRepeatable && spec.mIdempotencyKey.empty())
    return MakeHeaderFailure(kIdempotencyKeyHeader, "a key, because Repeatable is no");
  spec.mBody = std::move(aRequest.body());
  return spec;
}

}  // namespace monsoon
