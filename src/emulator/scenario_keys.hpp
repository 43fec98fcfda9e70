#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

namespace merlinbridge::emulator {

/// Keys that an earlier version knew under another name.
struct RenamedKey {
  std::string_view table;
  std::string_view oldName;
  std::string_view newName;
};
/// All renamed keys of scenarios.
const std::vector<RenamedKey>& renamedKeys();

/// Gives every key of the text its new name and adds a warning for each that has its old one. Throws
/// ScenarioError if a key stands there under both names. `file` is named in errors.
void renameKeys(toml::table& root, const std::string& file, std::vector<std::string>& warnings);

/// Applies a change, "path=value", to the text. The last word of the path is a key, under its old or its new
/// name; a number counts the entries of an array from 0. A value that is no TOML is taken as a text. Throws
/// ScenarioError if the path leads nowhere.
void applyChange(toml::table& root, const std::string& change, std::vector<std::string>& warnings);

}  // namespace merlinbridge::emulator
