#include "emulator/scenario_keys.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "emulator/scenario.hpp"

namespace merlinbridge::emulator {
namespace {

[[noreturn]] void failChange(const std::string& change, std::string_view why) {
  throw ScenarioError(fmt::format("change '{}': {}", change, why));
}

void warn(const RenamedKey& key, std::vector<std::string>& warnings) {
  const std::string warning =
      fmt::format("key {0}.{1} is now called {0}.{2}", key.table, key.oldName, key.newName);
  if (std::find(warnings.begin(), warnings.end(), warning) == warnings.end()) warnings.push_back(warning);
}

toml::table parseValue(const std::string& change, const std::string& value) {
  try {
    return toml::parse("v = " + value);
  } catch (const toml::parse_error&) {
    // Not a TOML value: taken as a string without quotes.
  }
  try {
    return toml::parse("v = \"" + value + "\"");
  } catch (const toml::parse_error& e) {
    failChange(change, e.description());
  }
}

std::size_t indexOf(const std::string& change, const std::string& word) {
  std::size_t index = 0;
  const char* const last = word.data() + word.size();
  const auto [end, error] = std::from_chars(word.data(), last, index);
  if (error != std::errc{} || end != last)
    failChange(change, fmt::format("expected an array index, found '{}'", word));
  return index;
}

// The child with that name or index. A missing table is added.
toml::node& childOf(toml::node& parent, const std::string& change, const std::string& word) {
  toml::node* child = nullptr;
  if (toml::table* const table = parent.as_table()) {
    child = table->get(word);
    if (!child) child = &table->insert(word, toml::table{}).first->second;
  } else if (toml::array* const array = parent.as_array()) {
    child = array->get(indexOf(change, word));
  }
  if (!child) failChange(change, "there is no '" + word + "'");
  return *child;
}

std::string newPath(const std::string& path, std::vector<std::string>& warnings) {
  for (const RenamedKey& key : renamedKeys()) {
    if (path != fmt::format("{}.{}", key.table, key.oldName)) continue;
    warn(key, warnings);
    return fmt::format("{}.{}", key.table, key.newName);
  }
  return path;
}

}  // namespace

const std::vector<RenamedKey>& renamedKeys() {
  static const std::vector<RenamedKey> kKeys{
      {"hosts", "room", "queue_capacity"},
      {"hosts", "cold", "slow_start_time"},
      {"hosts", "cold_share", "start_capacity"},
      {"hosts", "tip", "overload_window"},
      {"hosts", "tip_multiple", "overload_multiple"},
      {"network", "connect_patience", "connect_timeout"},
      {"clients", "tries", "max_attempts"},
      {"clients", "heeds_advice", "honors_retry_after"},
      {"clients", "leaves", "abandon_probability"},
      {"counter", "room", "queue_capacity"},
      {"counter", "patience", "timeout"},
      {"discovery", "told", "notification_delay"},
      {"rules", "longest_advice", "max_retry_after"},
      {"rules", "may_cancel", "allow_cancel"},
      {"rules", "may_copy", "allow_hedging"},
      {"rules", "most_call_outs", "max_attempts"},
  };
  return kKeys;
}

[[noreturn]] void failOnBothNames(const RenamedKey& key, const std::string& file,
                                  const toml::source_position& place) {
  throw config::TomlError({config::TomlFault::conflictingOldKey, file, place.line, place.column,
                           fmt::format("{}.{}", key.table, key.oldName),
                           fmt::format("{}.{}", key.table, key.newName), ""});
}

void renameKeys(toml::table& root, const std::string& file, std::vector<std::string>& warnings) {
  for (const RenamedKey& key : renamedKeys()) {
    toml::table* const table = root[key.table].as_table();
    toml::node* const node = table ? table->get(key.oldName) : nullptr;
    if (!node) continue;
    if (table->contains(key.newName)) failOnBothNames(key, file, node->source().begin);
    warn(key, warnings);
    table->insert(key.newName, std::move(*node));
    table->erase(key.oldName);
  }
}

void applyChange(toml::table& root, const std::string& change, std::vector<std::string>& warnings) {
  const auto equals = change.find('=');
  if (equals == std::string::npos) failChange(change, "expected path=value");
  const toml::table value = parseValue(change, change.substr(equals + 1));
  std::istringstream path(newPath(change.substr(0, equals), warnings));
  std::vector<std::string> words;
  for (std::string word; std::getline(path, word, '.');) words.push_back(word);
  if (words.empty()) failChange(change, "expected path=value");
  toml::node* at = &root;
  for (std::size_t i = 0; i + 1 < words.size(); ++i) at = &childOf(*at, change, words[i]);
  toml::table* const table = at->as_table();
  if (!table) failChange(change, "the path does not lead to a table");
  table->insert_or_assign(words.back(), *value.get("v"));
}

}  // namespace merlinbridge::emulator
