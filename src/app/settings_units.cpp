#include "app/settings_keys.h"

#include <charconv>

namespace monsoon {

namespace {

struct Unit
{
  std::string_view mName;
  std::int64_t mFactor;
};

constexpr Unit kTimeUnits[] = {
  { "h", 3'600'000'000'000 }, { "m", 60'000'000'000 }, { "s", 1'000'000'000 },
  { "ms", 1'000'000 },        { "us", 1'000 },
};

constexpr Unit kByteUnits[] = { { "GiB", 1LL << 30 },
                                { "MiB", 1LL << 20 },
                                { "KiB", 1LL << 10 },
                                { "B", 1 } };

Result<std::int64_t> ParseUnits(std::string_view aText,
                                std::span<const Unit> aUnits,
                                const char* aAllowed)
{
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  const std::string_view unit = aText.substr(static_cast<std::size_t>(end - aText.data()));
  for (const Unit& it : aUnits) {
    std::int64_t value = 0;
    if (ec == std::errc() && n >= 0 && unit == it.mName &&
        !__builtin_mul_overflow(n, it.mFactor, &value))
      return value;
  }
  return MakeFailure(FailureKind::BadInput, aAllowed);
}

std::string FormatUnits(std::int64_t aValue, std::span<const Unit> aUnits)
{
  for (const Unit& it : aUnits)
    if (aValue != 0 && aValue % it.mFactor == 0)
      return std::to_string(aValue / it.mFactor) + std::string(it.mName);
  return "0" + std::string(aUnits[2].mName);
}

}  // namespace

Result<Duration> ParseDuration(std::string_view aText)
{
  auto value = ParseUnits(aText, kTimeUnits, "a whole number with us, ms, s, m or h");
  if (!value)
    return value.error();
  return Duration(*value);
}

Result<std::size_t> ParseBytes(std::string_view aText)
{
  auto value = ParseUnits(aText, kByteUnits, "a whole number with B, KiB, MiB or GiB");
  if (!value)
    return value.error();
  return static_cast<std::size_t>(*value);
}

std::string FormatDuration(Duration aValue)
{
  return FormatUnits(aValue.count(), kTimeUnits);
}

std::string FormatBytes(std::size_t aValue)
{
  return FormatUnits(static_cast<std::int64_t>(aValue), kByteUnits);
}

}  // namespace monsoon
