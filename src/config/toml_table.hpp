#pragma once

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/toml_error.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::config {

/// Bounds of a random value.
struct Range {
  double min = 0;
  double max = 0;
};

inline constexpr double kMaxSeconds = 86'400;  ///< The longest duration in a TOML document: one day.

/// Reads one table of a TOML document and records which of its keys were read. The functions that read take
/// the key and a default value (without one, the key is required), and throw TomlError if the value is not
/// allowed. Keeps references to the parsed table and to the file's name, which must outlive it.
class TomlTable {
 public:
  /// `path`: the table's full name; empty for the root table.
  TomlTable(const toml::table& table, std::string path, const std::string& file)
      : table_(table), path_(std::move(path)), file_(file) {}

  /// Throws a TomlError: the key is missing, or its value is not what was expected.
  [[noreturn]] void fail(std::string_view key, const std::string& expected) const {
    const toml::node* const node = table_.get(key);
    std::ostringstream found;
    if (node) node->visit([&found](const auto& value) { found << value; });
    const toml::source_position& place = (node ? node->source() : table_.source()).begin;
    throw TomlError({node ? TomlFault::invalidValue : TomlFault::missingKey, file_, place.line, place.column,
                     nameOf(key), expected, found.str()});
  }

  std::string string(std::string_view key, std::optional<std::string> defaultValue = {}) {
    return read<std::string>(key, std::move(defaultValue), "a string",
                             [](const toml::node& node) { return node.value_exact<std::string>(); });
  }
  bool flag(std::string_view key, bool defaultValue) {
    return read<bool>(key, defaultValue, "true or false",
                      [](const toml::node& node) { return node.value_exact<bool>(); });
  }
  /// A number from `min` to `max`.
  double number(std::string_view key, std::optional<double> defaultValue, double min, double max) {
    return read<double>(key, defaultValue, fmt::format("a number from {} to {}", min, max),
                        [=](const toml::node& node) { return within(node, min, max); });
  }
  /// An integer from `min` to `max`.
  template <class Integer>
  Integer integer(std::string_view key, std::optional<Integer> defaultValue, Integer min, Integer max) {
    return read<Integer>(key, defaultValue, fmt::format("an integer from {} to {}", min, max),
                         [=](const toml::node& node) -> std::optional<Integer> {
                           const auto value = node.value_exact<std::int64_t>();
                           if (!value || *value < std::int64_t{min} || *value > std::int64_t{max}) return {};
                           return static_cast<Integer>(*value);
                         });
  }
  /// A duration with its unit, such as "250ms"; units are ns, us, ms, s, min and h.
  Duration duration(std::string_view key, std::optional<Duration> defaultValue) {
    return read<Duration>(key, defaultValue, "a duration from 0 to 1 day, such as \"250ms\"",
                          [](const toml::node& node) -> std::optional<Duration> {
                            const auto value = secondsOf(node);
                            if (!value) return {};
                            return durationFromSeconds(*value);
                          });
  }
  /// A range of seconds: one duration, or an array of the minimum and the maximum.
  Range range(std::string_view key, std::optional<Range> defaultValue) {
    return read<Range>(key, defaultValue,
                       "a duration, such as \"2s\", or a minimum and a maximum, such as [\"1s\", \"3s\"]",
                       [](const toml::node& node) -> std::optional<Range> {
                         if (const auto one = secondsOf(node)) return Range{*one, *one};
                         const toml::array* const both = node.as_array();
                         if (!both || both->size() != 2) return {};
                         const auto min = secondsOf(*both->get(0));
                         const auto max = secondsOf(*both->get(1));
                         if (!min || !max || *min > *max) return {};
                         return Range{*min, *max};
                       });
  }
  /// The enum value of that name; `words` has pairs of name and value.
  template <class Value, class NameTables>
  Value oneOf(std::string_view key, std::optional<Value> defaultValue, const NameTables& words) {
    std::string all;
    for (const auto& [word, value] : words) all += (all.empty() ? "" : ", ") + std::string(word);
    return read<Value>(key, defaultValue, "one of " + all,
                       [&words](const toml::node& node) -> std::optional<Value> {
                         const auto found = node.value_exact<std::string_view>();
                         for (const auto& [word, value] : words)
                           if (found && *found == word) return value;
                         return {};
                       });
  }
  /// Whether the key exists. Does not record it as read.
  bool has(std::string_view key) const { return table_.contains(key); }
  /// The table under the key; empty if the key is missing.
  TomlTable section(std::string_view key) {
    used_.emplace(key);
    static const toml::table kNone;
    const toml::node* const node = table_.get(key);
    if (node && !node->is_table()) fail(key, "a table");
    return {node ? *node->as_table() : kNone, nameOf(key), file_};
  }
  /// The tables in the array under the key; empty if the key is missing.
  std::vector<TomlTable> sections(std::string_view key) {
    used_.emplace(key);
    std::vector<TomlTable> all;
    const toml::node* const node = table_.get(key);
    if (!node) return all;
    const toml::array* const array = node->as_array();
    if (!array) fail(key, "an array of tables, each written as [[" + nameOf(key) + "]]");
    for (const toml::node& each : *array) {
      if (!each.is_table()) fail(key, "an array of tables, each written as [[" + nameOf(key) + "]]");
      all.emplace_back(*each.as_table(), fmt::format("{}[{}]", nameOf(key), all.size()), file_);
    }
    return all;
  }
  /// Throws if the table has a key that was not read: a misspelt key would otherwise be ignored silently. To
  /// be called after all reads.
  void rejectUnknownKeys() const {
    for (const auto& [key, node] : table_)
      if (!used_.contains(std::string(key.str())))
        throw TomlError({TomlFault::unknownKey,
                         file_,
                         key.source().begin.line,
                         key.source().begin.column,
                         nameOf(key.str()),
                         {},
                         {}});
  }

 private:
  std::string nameOf(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }
  template <class Value, class Read>
  Value read(std::string_view key, std::optional<Value> defaultValue, const std::string& expected,
             Read take) {
    used_.emplace(key);
    const toml::node* const node = table_.get(key);
    if (!node && defaultValue) return *defaultValue;
    if (!node) fail(key, expected);
    const std::optional<Value> value = take(*node);
    if (!value) fail(key, expected);
    return *value;
  }
  static std::optional<double> within(const toml::node& node, double min, double max) {
    const auto value = node.is_number() ? node.value<double>() : std::nullopt;
    if (!value || !(*value >= min && *value <= max)) return {};
    return value;
  }
  static std::optional<double> secondsOf(const toml::node& node) {
    const auto text = node.value_exact<std::string_view>();
    if (!text) return {};
    double value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc{}) return {};
    const std::string_view unit = text->substr(static_cast<std::size_t>(end - text->data()));
    for (const auto& [word, scale] : {std::pair<std::string_view, double>{"ns", 1e-9},
                                      {"us", 1e-6},
                                      {"ms", 1e-3},
                                      {"s", 1},
                                      {"min", 60},
                                      {"h", 3600}}) {
      if (unit != word) continue;
      value *= scale;
      if (!(value >= 0 && value <= kMaxSeconds)) return {};
      return value;
    }
    return {};
  }

  const toml::table& table_;
  std::string path_;
  const std::string& file_;
  std::set<std::string> used_;  ///< The keys that were read.
};

/// Parses a TOML document. `file` is named in errors. Throws TomlError.
inline toml::table parse(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    const toml::source_position& place = e.source().begin;
    throw TomlError(
        {TomlFault::malformed, file, place.line, place.column, {}, std::string(e.description()), {}});
  }
}

}  // namespace merlinbridge::config
