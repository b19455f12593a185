// Reads and describes the value of a settings key; internal to the settings. Errors are passed as
// LEAF error objects, which works within one thread and without suspension.
#pragma once

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <toml++/toml.h>

#include "app/settings_keys.h"
#include "http/client.h"

namespace monsoon {

struct ValueProblem  // LEAF error object of one value
{
  std::string mProblem{};
  std::string mAllowed{};
};

inline std::string FormatRange(const std::string& aMin, const std::string& aMax)
{
  return aMin + " to " + aMax;
}

inline std::string FormatChoices(std::string_view aChoices)
{
  std::string out;
  for (const char c : aChoices) {
    if (c == '|')
      out += "\", \"";
    else
      out += c;
  }
  return "one of \"" + out + "\"";
}

inline bool HasChoice(std::string_view aChoices, std::string_view aText)
{
  const std::string bars = "|" + std::string(aChoices) + "|";
  return bars.find("|" + std::string(aText) + "|") != std::string::npos;
}

// Describe returns the allowed values of a key, Read parses the value and stores it in the target.
// Each has one overload per alternative of SettingsTarget.
template<class T>
struct ValueReader
{
  const SettingsKey<T>& mKey;
  const toml::node* mNode = nullptr;  // may be null if only Describe is called

  std::string Describe(std::string*) const
  {
    if (!mKey.mChoices.empty())
      return FormatChoices(mKey.mChoices);
    return "text of " + FormatRange(std::to_string(mKey.mMin), std::to_string(mKey.mMax)) +
           " bytes";
  }
  std::string Describe(std::uint32_t*) const
  {
    return "a whole number, " + FormatRange(std::to_string(mKey.mMin), std::to_string(mKey.mMax));
  }
  std::string Describe(Duration*) const
  {
    return "a time in quotes, " + FormatRange(FormatDuration(milliseconds(mKey.mMin)),
                                              FormatDuration(milliseconds(mKey.mMax)));
  }
  std::string Describe(std::size_t*) const
  {
    return "a size in quotes, " + FormatRange(FormatBytes(static_cast<std::size_t>(mKey.mMin)),
                                              FormatBytes(static_cast<std::size_t>(mKey.mMax)));
  }
  std::string Describe(LogLevel*) const { return FormatChoices(mKey.mChoices); }
  std::string Describe(AddressTarget) const { return "\"IP:PORT\""; }

  boost::leaf::result<std::string> ReadText() const
  {
    if (auto text = mNode->value_exact<std::string>())
      return *text;
    return boost::leaf::new_error(ValueProblem{ "not text in quotes", {} });
  }

  boost::leaf::result<void> Read(std::string* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    const auto size = static_cast<std::int64_t>(text.size());
    if (!mKey.mChoices.empty() && !HasChoice(mKey.mChoices, text))
      return boost::leaf::new_error(ValueProblem{ "unknown value \"" + text + "\"", {} });
    if (mKey.mChoices.empty() && (size < mKey.mMin || size > mKey.mMax))
      return boost::leaf::new_error(ValueProblem{ "has " + std::to_string(size) + " bytes", {} });
    *aOut = std::move(text);
    return {};
  }

  boost::leaf::result<void> Read(std::uint32_t* aOut) const
  {
    const auto n = mNode->value_exact<std::int64_t>();
    if (!n)
      return boost::leaf::new_error(ValueProblem{ "not a whole number", {} });
    if (*n < mKey.mMin || *n > mKey.mMax)
      return boost::leaf::new_error(ValueProblem{ std::to_string(*n) + " is out of range", {} });
    *aOut = static_cast<std::uint32_t>(*n);
    return {};
  }

  boost::leaf::result<void> Read(Duration* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    const auto value = ParseDuration(text);
    if (!value)
      return boost::leaf::new_error(
        ValueProblem{ "not a time: \"" + text + "\"", value.error().mDetail });
    if (*value < milliseconds(mKey.mMin) || *value > milliseconds(mKey.mMax))
      return boost::leaf::new_error(ValueProblem{ text + " is out of range", {} });
    *aOut = *value;
    return {};
  }

  boost::leaf::result<void> Read(std::size_t* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    const auto value = ParseBytes(text);
    if (!value)
      return boost::leaf::new_error(
        ValueProblem{ "not a size: \"" + text + "\"", value.error().mDetail });
    if (*value < static_cast<std::size_t>(mKey.mMin) ||
        *value > static_cast<std::size_t>(mKey.mMax))
      return boost::leaf::new_error(ValueProblem{ text + " is out of range", {} });
    *aOut = *value;
    return {};
  }

  boost::leaf::result<void> Read(LogLevel* aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    for (int i = 0; i <= static_cast<int>(LogLevel::Off); ++i) {
      const auto level = static_cast<LogLevel>(i);
      if (GetName(level) != text)
        continue;
      *aOut = level;
      return {};
    }
    return boost::leaf::new_error(ValueProblem{ "unknown value \"" + text + "\"", {} });
  }

  boost::leaf::result<void> Read(AddressTarget aOut) const
  {
    BOOST_LEAF_AUTO(text, ReadText());
    auto address = ParseAddress(text);
    if (!address)
      return boost::leaf::new_error(ValueProblem{ "not an address: \"" + text + "\"",
                                                  "\"IP:PORT\"; " + address.error().mDetail });
    *aOut.mHost = address->mHost;
    *aOut.mPort = address->mPort;
    return {};
  }
};

}  // namespace monsoon
