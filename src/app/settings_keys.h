// The table of settings keys: which member a key sets, its allowed values and its meaning. The
// reader, the check for unknown keys and the printed reference all use it.
#pragma once

#include <span>
#include <variant>

#include "app/settings.h"

namespace monsoon {

struct AddressTarget
{
  std::string* mHost = nullptr;
  std::uint16_t* mPort = nullptr;
};

using SettingsTarget =
  std::variant<std::string*, std::uint32_t*, Duration*, std::size_t*, LogLevel*, AddressTarget>;

template<class T>
struct SettingsKey
{
  std::string_view mSection{};
  std::string_view mName{};
  SettingsTarget (*mTarget)(T&) = nullptr;
  std::int64_t mMin = 0;  // of a number, a time in ms or a size in bytes; of text, its length
  std::int64_t mMax = 0;
  std::string_view mChoices{};  // of text: "a|b" allows a and b, empty allows any
  std::string_view mHelp{};
};

[[nodiscard]] std::span<const SettingsKey<Settings>> ListSettingsKeys();
[[nodiscard]] std::span<const SettingsKey<PeerSettings>> ListPeerKeys();  // of each [[peer]]

// Parse a whole number with a unit, such as "250ms" or "64MiB". The failure's detail says what is
// allowed.
[[nodiscard]] Result<Duration> ParseDuration(std::string_view aText);
[[nodiscard]] Result<std::size_t> ParseBytes(std::string_view aText);
[[nodiscard]] std::string FormatDuration(Duration aValue);
[[nodiscard]] std::string FormatBytes(std::size_t aValue);

}  // namespace monsoon
