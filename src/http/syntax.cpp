#include "http/syntax.hpp"

#include <algorithm>
#include <cstring>

namespace merlinbridge::http {
namespace {

constexpr unsigned char kBlank = 0x20;  // the first character that is not a control character
constexpr unsigned char kDelete = 0x7f;
constexpr char kUpperToLower = 'a' - 'A';

char toLower(char character) {
  const bool isUpper = character >= 'A' && character <= 'Z';
  return isUpper ? static_cast<char>(character + kUpperToLower) : character;
}

bool isDigit(char character) {
  return character >= '0' && character <= '9';
}

bool isBlankOrTab(char character) {
  return character == ' ' || character == '\t';
}

}  // namespace

bool isTokenCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         isDigit(character) || (character != 0 && std::strchr("!#$%&'*+-.^_`|~", character) != nullptr);
}

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  // Fast path: nearly all peers write names in the usual case.
  if (std::memcmp(a.data(), b.data(), a.size()) == 0) return true;
  return std::equal(a.begin(), a.end(), b.begin(),
                    [](char left, char right) { return toLower(left) == toLower(right); });
}

bool listContains(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    if (equalsIgnoringCase(trimmed(list.substr(0, comma)), word)) return true;
    list.remove_prefix(std::min(list.size(), comma + 1));
  }
  return false;
}

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isDigits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isDigit);
}

bool isTarget(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char character) { return character > kBlank && character != kDelete; });
}

bool isFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char character) { return character >= kBlank || character == '\t'; });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && isBlankOrTab(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlankOrTab(text.back())) text.remove_suffix(1);
  return text;
}

}  // namespace merlinbridge::http
