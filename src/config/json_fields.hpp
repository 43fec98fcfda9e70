#pragma once

#include <simdjson.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "config/config_error.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::config {

using simdjson::dom::element;

/// Reads the fields of one JSON object; every error names the message and the field. Keeps references to the
/// message's name and to the parsed document, which must outlive it. All functions that read throw
/// ConfigError.
class JsonFields {
 public:
  /// If `body` is empty, every field is missing.
  JsonFields(std::string_view message, std::optional<element> body) : message_(message), body_(body) {}

  /// Throws a ConfigError for this field, with the value that was found.
  [[noreturn]] void fail(std::string_view field, ConfigFault fault) const {
    throw ConfigError({fault, pathOf(field), foundIn(field), {}});
  }
  /// Throws a ConfigError with a description: the text becomes `message: field 'x' <description>`.
  [[noreturn]] void fail(std::string_view field, std::string_view description) const {
    throw ConfigError({ConfigFault::other, pathOf(field), foundIn(field), std::string(description)});
  }

  /// Whether the field exists and is not null.
  bool has(std::string_view field) const {
    const auto found = find(field);
    return found && !found->is_null();
  }
  /// The field's value; fails if the field is missing or of another type.
  template <class Value>
  Value require(std::string_view field) const {
    const auto found = find(field);
    if (!found) fail(field, ConfigFault::missingField);
    return read<Value>(field, *found);
  }
  /// The field's value, or `defaultValue` if it is missing or null.
  template <class Value>
  Value get(std::string_view field, Value defaultValue) const {
    return has(field) ? require<Value>(field) : defaultValue;
  }
  /// The field's elements; fails if the field is missing or not an array.
  simdjson::dom::array array(std::string_view field) const {
    simdjson::dom::array entries;
    if (require<element>(field).get(entries)) fail(field, ConfigFault::notAnArray);
    return entries;
  }
  /// The object in the field; fails if the field is missing. Errors in the object name this field as their
  /// message.
  JsonFields section(std::string_view field) const { return {field, require<element>(field)}; }
  /// The object in the field. If the field is missing, so are all fields of the object.
  JsonFields optionalSection(std::string_view field) const { return {field, find(field)}; }
  /// A duration; the field holds microseconds.
  Duration duration(std::string_view field) const { return asDuration(field, require<double>(field)); }
  Duration duration(std::string_view field, Duration defaultValue) const {
    return has(field) ? duration(field) : defaultValue;
  }

 private:
  // Larger doubles do not fit a signed 64-bit integer, or, as microseconds, a Duration.
  static constexpr double kMaxInteger = 9e18;
  static constexpr double kMaxMicroseconds = 9e15;

  std::string pathOf(std::string_view field) const {
    return std::string(message_) + '.' + std::string(field);
  }
  std::string foundIn(std::string_view field) const {
    const auto found = find(field);
    return found ? simdjson::minify(*found).substr(0, kMaxFoundBytes) : std::string();
  }
  std::optional<element> find(std::string_view field) const {
    element found;
    if (!body_ || (*body_)[field].get(found)) return std::nullopt;
    return found;
  }
  template <class Value>
  Value read(std::string_view field, element found) const {
    if constexpr (std::is_same_v<Value, element>) {
      return found;
    } else if constexpr (std::is_same_v<Value, std::string_view> || std::is_same_v<Value, bool>) {
      Value value{};
      if (found.get(value)) fail(field, ConfigFault::wrongType);
      return value;
    } else {
      return readNumber<Value>(field, found);
    }
  }
  template <class Value>
  Value readNumber(std::string_view field, element found) const {
    std::uint64_t whole = 0;
    if (std::is_unsigned_v<Value> && !found.get(whole)) return static_cast<Value>(whole);
    double value = 0;
    if (found.get(value)) fail(field, ConfigFault::notANumber);
    if (std::is_unsigned_v<Value> && value < 0) fail(field, ConfigFault::negative);
    if (std::is_integral_v<Value> && !(value > -kMaxInteger && value < kMaxInteger))
      fail(field, ConfigFault::outOfRange);
    return static_cast<Value>(value);
  }
  Duration asDuration(std::string_view field, double microseconds) const {
    if (!(microseconds > -kMaxMicroseconds && microseconds < kMaxMicroseconds))
      fail(field, ConfigFault::outOfRange);
    return std::chrono::microseconds(static_cast<std::int64_t>(microseconds));
  }

  std::string_view message_;
  std::optional<element> body_;
};

}  // namespace merlinbridge::config
