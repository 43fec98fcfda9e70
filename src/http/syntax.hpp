#pragma once

#include <string_view>

namespace merlinbridge::http {

// The small syntax of HTTP header text: tokens, digits, lists. Nothing here throws, allocates or keeps its
// arguments; a returned view is part of the argument.

/// Returns whether two field names, or two keywords in field values, are equal but for the case of ASCII
/// letters.
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Returns whether a comma-separated list contains a word, compared without regard to case. Blanks and tabs
/// round the words of the list do not count.
bool listContains(std::string_view list, std::string_view word);
/// Returns whether the text is a token of RFC 9110, section 5.6.2: what a method or a field name consists of.
/// An empty text is none.
bool isToken(std::string_view text);
/// Returns whether the text consists of decimal digits, one at least.
bool isDigits(std::string_view text);
/// Returns whether the text has no control character and no blank, as the target of a request must not.
bool isTarget(std::string_view text);
/// Returns whether the text has no control character but tabs, as a field value must not.
bool isFieldValue(std::string_view text);
/// Returns the text without blanks and tabs at its ends.
std::string_view trimmed(std::string_view text);

}  // namespace merlinbridge::http
