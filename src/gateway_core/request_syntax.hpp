#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace merlinbridge::core {

// The forms that the client protocol gives to the parts of a request. A part that another reader could take
// for something else, such as a path that a host would normalize, has none of these forms. These functions do
// not throw or allocate.

/// The value of a text of exactly 16 hexadecimal digits; nothing for any other text.
std::optional<std::uint64_t> parseHexDigits16(std::string_view text);
/// Whether the target is in origin form, "/" with the method's name as the first part of the path, and no
/// part of the path leads elsewhere: no "." or "..", no backslash, no fragment, and no percent-encoding of
/// '.', '/', '\\', a control character or something that is no hexadecimal number.
bool isTargetOf(std::string_view target, std::string_view methodName);
/// Whether the text can be an idempotency key: 1 to 128 visible ASCII characters without a comma, which would
/// make it a list.
bool isIdempotencyKey(std::string_view text);

/// A parameter in a list such as "units=2,spread=3".
struct ListParameter {
  std::string_view value;  ///< Of the last one, behind its '='; empty if anything else follows the name.
  int count = 0;           ///< How often the list has the parameter.
  bool isPresent() const { return count > 0; }
};
/// Finds the parameter `name`, in any case, in a comma-separated list. A parameter is present wherever its
/// name is, with a value or without one: "units", "units:9" and "units =9" have units without a value.
/// Parameters whose names only begin with `name` are other parameters.
ListParameter findParameter(std::string_view list, std::string_view name);

}  // namespace merlinbridge::core
