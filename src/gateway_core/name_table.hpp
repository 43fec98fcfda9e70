#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace merlinbridge::core {

/// Names and their dense ids, numbered from 0 in the order in which the names were added. `Key` is an Id with
/// a 32-bit value. The table does not limit its size: its user bounds what is added. Not thread-safe.
template <class Key>
class NameTable {
 public:
  NameTable() = default;
  /// The id of each name is its index. For a repeated name, find() returns the first id.
  explicit NameTable(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      ids_.emplace(name, static_cast<std::uint32_t>(names_.size()));
      names_.push_back(name);
    }
  }
  /// Returns the id of a name, or nothing if the name is not in the table. Compares byte by byte.
  std::optional<Key> find(std::string_view name) const {
    const auto found = ids_.find(name);
    return found == ids_.end() ? std::nullopt : std::optional(Key{found->second});
  }
  /// Returns the id of a name; adds the name if it is not in the table.
  Key findOrAdd(std::string_view name) {
    if (const auto known = find(name)) return *known;
    names_.emplace_back(name);
    return {ids_.emplace(name, static_cast<std::uint32_t>(names_.size() - 1)).first->second};
  }
  /// Assigns an existing id to another name, which must not be in the table yet. Removes the id's previous
  /// name.
  void reassign(Key id, std::string_view name) {
    ids_.erase(names_[id.value]);
    names_[id.value] = name;
    ids_.emplace(name, id.value);
  }
  /// Returns the name of an id; valid until reassign() or findOrAdd(). Throws std::out_of_range for an
  /// unknown id.
  const std::string& nameOf(Key id) const { return names_.at(id.value); }
  /// All ids are below this number.
  std::size_t size() const { return names_.size(); }

 private:
  std::map<std::string, std::uint32_t, std::less<>> ids_;
  std::vector<std::string> names_;
};

}  // namespace merlinbridge::core
