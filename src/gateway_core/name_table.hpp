#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace merlinbridge::core {

/// Names to dense ids, in the order in which they were first heard.
template <class Key>
class NameTable {
 public:
  NameTable() = default;
  explicit NameTable(const std::vector<std::string>& names) {
    for (const std::string& name : names) {  ///< each has its place, even one without a name
      ids_.emplace(name, static_cast<std::uint32_t>(names_.size()));
      names_.push_back(name);
    }
  }
  std::optional<Key> find(std::string_view name) const {
    const auto at = ids_.find(name);
    return at == ids_.end() ? std::nullopt : std::optional(Key{at->second});
  }
  Key idOf(std::string_view name) {
    if (const auto known = find(name)) return *known;
    names_.emplace_back(name);
    return {ids_.emplace(name, static_cast<std::uint32_t>(names_.size() - 1)).first->second};
  }
  /// Another name takes over the number of one that is no more.
  void rename(Key id, std::string_view name) {
    ids_.erase(names_[id.value]);
    names_[id.value] = name;
    ids_.emplace(name, id.value);
  }
  const std::string& word(Key id) const { return names_.at(id.value); }
  std::size_t size() const { return names_.size(); }

 private:
  std::map<std::string, std::uint32_t, std::less<>> ids_;
  std::vector<std::string> names_;
};

}  // namespace merlinbridge::core
