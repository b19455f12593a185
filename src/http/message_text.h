// HTTP/1.1 messages as text; internal to the client and the server.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "http/server.h"

namespace monsoon {

// Returns aStart, the first line of a message without its end, with the fields and the body.
template<bool IsRequest>
std::string FormatMessage(std::initializer_list<std::string_view> aStart,
                          const http::message<IsRequest, http::string_body>& aMessage)
{
  constexpr std::size_t kUsualHeaderBytes = 256;
  std::string text;
  text.reserve(kUsualHeaderBytes + aMessage.body().size());
  const auto append = [&text](auto aPart) { text.append(aPart.data(), aPart.size()); };
  const std::string_view endOfLine = "\r\n";
  for (const std::string_view it : aStart)
    append(it);
  append(endOfLine);
  for (const auto& it : aMessage) {
    append(it.name_string());
    append(std::string_view(": "));
    append(it.value());
    append(endOfLine);
  }
  append(endOfLine);
  return text += aMessage.body();
}

inline std::string_view MakeView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

}  // namespace monsoon
