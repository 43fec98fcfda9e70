#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace merlinbridge::util {

/// Bytes below this value are control characters, which JSON strings may contain only in escaped form.
inline constexpr unsigned char kFirstPrintableByte = 0x20;

/// Escapes a text for use between the quotes of a JSON string: double quotes, backslashes and control
/// characters are escaped, all other bytes are unchanged. UTF-8 is not validated.
inline std::string escapeJson(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '"' || character == '\\') escaped += '\\';
    if (static_cast<unsigned char>(character) < kFirstPrintableByte)
      escaped += fmt::format("\\u{:04x}", static_cast<unsigned>(character));
    else
      escaped += character;
  }
  return escaped;
}

}  // namespace merlinbridge::util
