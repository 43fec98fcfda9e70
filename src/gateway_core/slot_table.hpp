#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace merlinbridge::core {

/// A numbered slot, and which of its generations is meant: what comes late for an earlier one finds nothing.
struct SlotRef {
  std::uint32_t slot = 0, generation = 0;  ///< generations count from 1
  std::uint64_t packed() const { return std::uint64_t{generation} << 32 | slot; }
  static SlotRef unpacked(std::uint64_t from) {
    return {static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(from >> 32)};
  }
  explicit operator bool() const { return generation != 0; }
  bool operator==(const SlotRef&) const = default;
};

/// A table of numbered slots. Rows stay where they are while others come and go.
template <class T>
class SlotTable {
 public:
  template <class... Args>
  SlotRef add(Args&&... args) {
    std::uint32_t slot = 0;
    if (free_.empty()) {
      slot = static_cast<std::uint32_t>(rows_.size());
      rows_.emplace_back();
    } else {
      slot = free_.back();
      free_.pop_back();
    }
    Row& row = rows_[slot];
    row.held.emplace(std::forward<Args>(args)...);
    ++held_;
    return {slot, ++row.generation};
  }
  T* find(SlotRef ref) {
    if (ref.slot >= rows_.size()) return nullptr;
    Row& row = rows_[ref.slot];
    return row.held && row.generation == ref.generation ? &*row.held : nullptr;
  }
  void drop(SlotRef ref) {
    if (!find(ref)) return;
    rows_[ref.slot].held.reset();
    free_.push_back(ref.slot);
    --held_;
  }
  std::size_t size() const { return held_; }
  /// In the order of the slots; none may come or go meanwhile.
  template <class What>
  void each(What what) {
    for (std::uint32_t slot = 0; slot < rows_.size(); ++slot)
      if (Row& row = rows_[slot]; row.held) what(SlotRef{slot, row.generation}, *row.held);
  }

 private:
  struct Row {
    std::uint32_t generation = 0;
    std::optional<T> held;
  };
  std::deque<Row> rows_;
  std::vector<std::uint32_t> free_;
  std::size_t held_ = 0;
};

}  // namespace merlinbridge::core
