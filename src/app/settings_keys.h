// The one description of every settings key: where it goes, what is allowed, what it means. The
// reader, the check for unknown keys and the reference are made from it.
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
  std::int64_t mMin = 0;  // numbers, ms or bytes
  std::int64_t mMax = 0;
  std::string_view mChoices{};  // of a string; empty: any text, "a|b": one of these
  std::string_view mHelp{};
};

[[nodiscard]] std::span<const SettingsKey<Settings>> ListSettingsKeys();
[[nodiscard]] std::span<const SettingsKey<PeerSettings>> ListPeerKeys();  // of each [[peer]]

// "250ms", "64MiB": whole number and unit. Fails with what is allowed.
[[nodiscard]] Result<Duration> ParseDuration(std::string_view aText);
[[nodiscard]] Result<std::size_t> ParseBytes(std::string_view aText);
[[nodiscard]] std::string FormatDuration(Duration aValue);
[[nodiscard]] std::string FormatBytes(std::size_t aValue);

}  // namespace monsoon
