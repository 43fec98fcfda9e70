#pragma once

#include <string_view>

namespace merlinbridge::http {

// Lexical elements of HTTP header text: tokens, digits, lists. These functions do not throw or allocate, and
// keep no reference to their arguments; a returned view refers to the argument.

/// Returns whether two field names, or two keywords in field values, are equal, ignoring the case of
/// ASCII letters.
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Returns whether a comma-separated list contains a word, ignoring case and the blanks and tabs around the
/// words of the list.
bool listContains(std::string_view list, std::string_view word);
/// Returns whether the character may be part of a token.
bool isTokenCharacter(char character);
/// Returns whether the text is a token as in RFC 9110, section 5.6.2: a method or a field name. An empty text
/// is not a token.
bool isToken(std::string_view text);
/// Returns whether the text consists of one or more decimal digits.
bool isDigits(std::string_view text);
/// Returns whether the text contains no control characters and no blanks, as required of a request target.
bool isTarget(std::string_view text);
/// Returns whether the text contains no control characters except tabs, as required of a field value.
bool isFieldValue(std::string_view text);
/// Returns the text without leading and trailing blanks and tabs.
std::string_view trimmed(std::string_view text);

}  // namespace merlinbridge::http
