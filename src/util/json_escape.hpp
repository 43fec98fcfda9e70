#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace merlinbridge::util {

/// Bytes below this one are control characters, which JSON allows in a string only as escapes.
inline constexpr unsigned char kFirstPrintableByte = 0x20;

/// The text as it stands between the quotes of a JSON string: double quotes, backslashes and control
/// characters are escaped, all other bytes stay as they are. UTF-8 is not checked.
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
