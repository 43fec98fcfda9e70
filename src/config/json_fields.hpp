#pragma once

#include <simdjson.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "policy_api/time.hpp"

namespace merlinbridge::config {

using simdjson::dom::element;

/// What came in cannot be understood; the text names the message and the field.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads the fields of one message, and can say which message and field was at fault.
class Fields {
 public:
  Fields(std::string_view message, std::optional<element> body) : message_(message), body_(body) {}

  [[noreturn]] void blame(std::string_view field, std::string_view what) const {
    throw ConfigError(std::string(message_) + ": field '" + std::string(field) + "' " + std::string(what));
  }
  bool has(std::string_view field) const {
    const auto found = find(field);
    return found && !found->is_null();
  }

  template <class T>
  T need(std::string_view field) const {
    const auto found = find(field);
    if (!found) blame(field, "is missing");
    return read<T>(field, *found);
  }
  template <class T>
  T get(std::string_view field, T otherwise) const {
    return has(field) ? need<T>(field) : otherwise;
  }
  Fields part(std::string_view field) const { return {field, need<element>(field)}; }
  Fields partOrNone(std::string_view field) const { return {field, find(field)}; }
  Duration duration(std::string_view field) const { return asDuration(field, need<double>(field)); }
  Duration duration(std::string_view field, Duration otherwise) const {
    return has(field) ? asDuration(field, need<double>(field)) : otherwise;
  }

 private:
  std::optional<element> find(std::string_view field) const {
    element found;
    if (!body_ || (*body_)[field].get(found)) return std::nullopt;
    return found;
  }
  template <class T>
  T read(std::string_view field, element found) const {
    if constexpr (std::is_same_v<T, element>) {
      return found;
    } else if constexpr (std::is_same_v<T, std::string_view> || std::is_same_v<T, bool>) {
      T value{};
      if (found.get(value)) blame(field, "has the wrong type");
      return value;
    } else {
      double value = 0;
      std::uint64_t whole = 0;
      if (std::is_unsigned_v<T> && !found.get(whole)) return static_cast<T>(whole);
      if (found.get(value)) blame(field, "is not a number");
      if (std::is_unsigned_v<T> && value < 0) blame(field, "is below 0");
      if (std::is_integral_v<T> && !(value > -9e18 && value < 9e18)) blame(field, "is out of range");
      return static_cast<T>(value);
    }
  }
  Duration asDuration(std::string_view field, double micros) const {
    if (!(micros > -9e15 && micros < 9e15)) blame(field, "is out of range");
    return std::chrono::microseconds(static_cast<std::int64_t>(micros));
  }

  std::string_view message_;
  std::optional<element> body_;
};

}  // namespace merlinbridge::config
