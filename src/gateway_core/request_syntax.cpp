#include "gateway_core/request_syntax.hpp"

#include <algorithm>
#include <charconv>

#include "http/syntax.hpp"

namespace merlinbridge::core {
namespace {

constexpr std::size_t kIdDigits = 16;
constexpr int kHexBase = 16;
constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kEscapeDigits = 2;  // after the '%'
constexpr unsigned char kFirstVisible = 0x21;
constexpr unsigned char kLastVisible = 0x7e;

bool isVisible(unsigned char character) {
  return character >= kFirstVisible && character <= kLastVisible;
}

bool isHexDigit(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f') || (digit >= 'A' && digit <= 'F');
}

// The value of the digits at the start of `text`; nothing unless the first `count` characters are digits.
std::optional<std::uint64_t> leadingHex(std::string_view text, std::size_t count) {
  if (text.size() < count || !std::all_of(text.begin(), text.begin() + count, isHexDigit))
    return std::nullopt;
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + count, value, kHexBase);
  return value;
}

// Whether a host may decode this character in a path without changing the path's parts.
bool isHarmlessEscape(std::uint64_t character) {
  return isVisible(static_cast<unsigned char>(character)) && character != '.' && character != '/' &&
         character != '\\';
}

bool hasHarmlessEscapes(std::string_view path) {
  for (std::size_t at = path.find('%'); at != std::string_view::npos; at = path.find('%', at + 1)) {
    const auto character = leadingHex(path.substr(at + 1), kEscapeDigits);
    const bool isNonAscii = character && *character > kLastVisible + 1;
    const bool isBlank = character && *character == ' ';
    if (!character || !(isHarmlessEscape(*character) || isNonAscii || isBlank)) return false;
  }
  return true;
}

bool hasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view part = path.substr(0, end);
    if (part == "." || part == "..") return true;
    path.remove_prefix(std::min(path.size(), end + 1));
  }
  return false;
}

}  // namespace

std::optional<std::uint64_t> parseHexDigits16(std::string_view text) {
  if (text.size() != kIdDigits) return std::nullopt;
  return leadingHex(text, kIdDigits);
}

bool isTargetOf(std::string_view target, std::string_view methodName) {
  if (!std::all_of(target.begin(), target.end(), isVisible)) return false;
  if (target.find_first_of("#\\") != std::string_view::npos) return false;
  const std::string_view path = target.substr(0, target.find('?'));
  if (!path.starts_with('/') || hasDotSegment(path) || !hasHarmlessEscapes(path)) return false;
  const std::string_view firstPart = path.substr(1, path.find('/', 1) - 1);
  return firstPart == methodName;
}

bool isIdempotencyKey(std::string_view text) {
  const bool fits = !text.empty() && text.size() <= kMaxKeyBytes;
  return fits && text.find(',') == std::string_view::npos && std::all_of(text.begin(), text.end(), isVisible);
}

ListParameter findParameter(std::string_view list, std::string_view name) {
  ListParameter found;
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    const std::string_view parameter = http::trimmed(list.substr(0, comma));
    list.remove_prefix(std::min(list.size(), comma + 1));
    const auto* const nameEnd = std::find_if_not(parameter.begin(), parameter.end(), http::isTokenCharacter);
    const auto nameSize = static_cast<std::size_t>(nameEnd - parameter.begin());
    if (!http::equalsIgnoringCase(parameter.substr(0, nameSize), name)) continue;
    const std::string_view rest = parameter.substr(nameSize);
    found.value = rest.starts_with('=') ? rest.substr(1) : std::string_view();
    ++found.count;
  }
  return found;
}

}  // namespace merlinbridge::core
