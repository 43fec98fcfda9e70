#pragma once

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy_api/time.hpp"

namespace merlinbridge::config {

/// A TOML text that cannot be used; it says where, what was expected and what stands there.
struct TomlError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The least and the most of what is drawn by a seed.
struct Range {
  double least = 0, most = 0;
};

inline constexpr double kLongest = 86'400;  ///< seconds: a day

/// One table of the text; knows which of its keys were asked for.
class TomlTable {
 public:
  TomlTable(const toml::table& table, std::string path, const std::string& file)
      : table_(table), path_(std::move(path)), file_(file) {}

  [[noreturn]] static void blame(const std::string& file, const toml::source_region& at,
                                 const std::string& what) {
    throw TomlError(fmt::format("{}:{}:{}: {}", file, at.begin.line, at.begin.column, what));
  }
  [[noreturn]] void blame(std::string_view key, const std::string& expected) const {
    const toml::node* const node = table_.get(key);
    std::ostringstream found;
    if (node) node->visit([&found](const auto& value) { found << value; });
    blame(file_, node ? node->source() : table_.source(),
          node ? fmt::format("'{}': expected {}, found {}", nameOf(key), expected, found.str())
               : fmt::format("'{}' is missing: expected {}", nameOf(key), expected));
  }

  std::string text(std::string_view key, std::optional<std::string> otherwise = {}) {
    return read<std::string>(key, std::move(otherwise), "a text",
                             [](const toml::node& node) { return node.value_exact<std::string>(); });
  }
  bool flag(std::string_view key, bool otherwise) {
    return read<bool>(key, otherwise, "true or false",
                      [](const toml::node& node) { return node.value_exact<bool>(); });
  }
  double number(std::string_view key, std::optional<double> otherwise, double least, double most) {
    return read<double>(key, otherwise, fmt::format("a number from {} to {}", least, most),
                        [=](const toml::node& node) { return within(node, least, most); });
  }
  template <class Whole>
  Whole whole(std::string_view key, std::optional<Whole> otherwise, Whole least, Whole most) {
    return read<Whole>(key, otherwise, fmt::format("a whole number from {} to {}", least, most),
                       [=](const toml::node& node) -> std::optional<Whole> {
                         const auto value = node.value_exact<std::int64_t>();
                         if (!value || *value < std::int64_t{least} || *value > std::int64_t{most}) return {};
                         return static_cast<Whole>(*value);
                       });
  }
  Duration duration(std::string_view key, std::optional<Duration> otherwise) {
    return read<Duration>(key, otherwise, "a time from 0 to a day, as \"250ms\"",
                          [](const toml::node& node) -> std::optional<Duration> {
                            const auto value = secondsOf(node);
                            if (!value) return {};
                            return durationOf(*value);
                          });
  }
  /// Seconds, either one time or the least and the most.
  Range range(std::string_view key, std::optional<Range> otherwise) {
    return read<Range>(key, otherwise, "a time, as \"2s\", or the least and the most, as [\"1s\", \"3s\"]",
                       [](const toml::node& node) -> std::optional<Range> {
                         if (const auto one = secondsOf(node)) return Range{*one, *one};
                         const toml::array* const both = node.as_array();
                         if (!both || both->size() != 2) return {};
                         const auto least = secondsOf(*both->get(0)), most = secondsOf(*both->get(1));
                         if (!least || !most || *least > *most) return {};
                         return Range{*least, *most};
                       });
  }
  template <class Value, class NameTables>
  Value oneOf(std::string_view key, std::optional<Value> otherwise, const NameTables& words) {
    std::string all;
    for (const auto& [word, value] : words) all += (all.empty() ? "" : ", ") + std::string(word);
    return read<Value>(key, otherwise, "one of " + all,
                       [&words](const toml::node& node) -> std::optional<Value> {
                         const auto found = node.value_exact<std::string_view>();
                         for (const auto& [word, value] : words)
                           if (found && *found == word) return value;
                         return {};
                       });
  }
  /// Whether the key is there, under which it may then be read.
  bool has(std::string_view key) const { return table_.contains(key); }
  TomlTable part(std::string_view key) {
    used_.emplace(key);
    static const toml::table kNone;
    const toml::node* const node = table_.get(key);
    if (node && !node->is_table()) blame(key, "a table");
    return {node ? *node->as_table() : kNone, nameOf(key), file_};
  }
  std::vector<TomlTable> parts(std::string_view key) {
    used_.emplace(key);
    std::vector<TomlTable> all;
    const toml::node* const node = table_.get(key);
    if (!node) return all;
    const toml::array* const array = node->as_array();
    if (!array) blame(key, "tables, each under [[" + nameOf(key) + "]]");
    for (const toml::node& each : *array) {
      if (!each.is_table()) blame(key, "tables, each under [[" + nameOf(key) + "]]");
      all.emplace_back(*each.as_table(), fmt::format("{}[{}]", nameOf(key), all.size()), file_);
    }
    return all;
  }
  /// Guards against a word that is misspelt and so has no effect.
  void done() const {
    for (const auto& [key, node] : table_)
      if (!used_.contains(std::string(key.str())))
        blame(file_, key.source(), fmt::format("'{}' is not known here", nameOf(key.str())));
  }

 private:
  std::string nameOf(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }
  template <class Value, class Read>
  Value read(std::string_view key, std::optional<Value> otherwise, const std::string& expected, Read take) {
    used_.emplace(key);
    const toml::node* const node = table_.get(key);
    if (!node && otherwise) return *otherwise;
    if (!node) blame(key, expected);
    const std::optional<Value> value = take(*node);
    if (!value) blame(key, expected);
    return *value;
  }
  static std::optional<double> within(const toml::node& node, double least, double most) {
    const auto value = node.is_number() ? node.value<double>() : std::nullopt;
    if (!value || !(*value >= least && *value <= most)) return {};
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
      if (!(value >= 0 && value <= kLongest)) return {};
      return value;
    }
    return {};
  }

  const toml::table& table_;
  std::string path_;
  const std::string& file_;
  std::set<std::string> used_;
};

/// The whole text as one table. Throws TomlError.
inline toml::table parse(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    TomlTable::blame(file, e.source(), std::string(e.description()));
  }
}

}  // namespace merlinbridge::config
