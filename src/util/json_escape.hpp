#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace merlinbridge::util {

/// The text as it stands between the quotes of a JSON string.
inline std::string escapeJson(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\') escaped += '\\';
    if (static_cast<unsigned char>(c) < 0x20)
      escaped += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    else
      escaped += c;
  }
  return escaped;
}

}  // namespace merlinbridge::util
