#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

namespace merlinbridge::emulator {

/// A key that had another name in an earlier version.
struct RenamedKey {
  std::string_view table;
  std::string_view oldName;
  std::string_view newName;
};
/// All renamed keys of scenarios.
const std::vector<RenamedKey>& renamedKeys();

/// Renames each key that has its old name, and adds a warning for it. Throws ScenarioError if a key is
/// present under both names. `file` is named in errors.
void renameKeys(toml::table& root, const std::string& file, std::vector<std::string>& warnings);

/// Applies a change "path=value" to the document. The last component of the path is a key, under its old or
/// new name; a number is an array index from 0. A value that is not valid TOML is taken as a string. Throws
/// ScenarioError if the path does not lead to a table.
void applyChange(toml::table& root, const std::string& change, std::vector<std::string>& warnings);

}  // namespace merlinbridge::emulator
